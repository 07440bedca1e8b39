"""Sends new key tables to the other gateways directly.

A watch of the store on each VM would cost many more calls to the store.
"""

import asyncio
import collections
from collections.abc import Mapping
import dataclasses

import msgspec
import result

from berylweir.gateway import models
from berylweir.gateway.ownership import table_order
from berylweir.gateway.ownership import tables
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.peers import task as peer_task
from berylweir.gateway.replication import codec
from berylweir.platform import objects
from berylweir.platform import store

# Delay before a table is sent again to a gateway that didn't respond, in
# seconds. It doubles with each attempt up to the maximum.
_RETRY_S = 0.25
_MAX_RETRY_S = 4.0
# Earlier tables of a group that are kept to compute diffs from. A gateway that
# has none of them gets the whole table.
_MAX_EARLIER_TABLES = 64


@dataclasses.dataclass(frozen=True, slots=True)
class _KnownTable:
    """The table that a gateway has.

    Attributes:
        revision: Its revision; 0 if the gateway has none.
        epoch: Its epoch; None if the gateway's build doesn't state it.
    """

    revision: int
    epoch: int | None

    def is_same(self, table: models.KeyTable) -> bool:
        """Returns whether it is a given table, as far as is known."""
        return self.revision == table.revision and (
            self.epoch is None or self.epoch == table.epoch
        )


@dataclasses.dataclass(slots=True)
class _PublishedTable:
    """The newest table of a group and the encoded messages that send it.

    Attributes:
        table: The table.
        stored_table: Its object in the store.
        earlier_tables: Earlier tables by revision, oldest first.
        encoded_table: The whole table, once it was needed.
        encoded_diffs: Diffs that were needed, by the revision of the table
            that they apply to.
    """

    table: models.KeyTable
    stored_table: store.StoredObject
    earlier_tables: collections.OrderedDict[int, models.KeyTable]
    encoded_table: peers.CompressedChanges | None = None
    encoded_diffs: dict[int, peers.CompressedChanges] = dataclasses.field(
        default_factory=dict
    )

    @property
    def previous(self) -> _KnownTable:
        """The table before this one."""
        if not self.earlier_tables:
            return _KnownTable(0, None)
        table = self.earlier_tables[next(reversed(self.earlier_tables))]
        return _KnownTable(table.revision, table.epoch)

    def build_request(
        self, known: _KnownTable
    ) -> peers.PublishTable | peers.PublishTableChanges:
        """Returns the message that brings a gateway the newest table.

        Args:
            known: The table that the gateway has.

        Returns:
            The diff from that table if it is kept, else the whole table.
        """
        base = self.earlier_tables.get(known.revision)
        if base is None or not known.is_same(base):
            if self.encoded_table is None:
                self.encoded_table = codec.encode_objects([self.stored_table])
            return peers.PublishTable(self.encoded_table)
        if base.revision not in self.encoded_diffs:
            table_diff = tables.diff(base, self.table)
            spec = msgspec.Raw(objects.encode_table(table_diff))
            diff_object = store.build_stored_object(
                self.stored_table.name,
                self.stored_table.revision,
                spec,
                self.stored_table.status,
            )
            self.encoded_diffs[base.revision] = codec.encode_objects(
                [diff_object]
            )
        return peers.PublishTableChanges(
            base.revision, self.encoded_diffs[base.revision], base.epoch
        )


class TablePublisher:
    """Sends the newest tables to each gateway, one message at a time."""

    def __init__(
        self, local_vm: models.Vm, client: peer_task.PeerClient
    ) -> None:
        """Creates the publisher without any gateways.

        Args:
            local_vm: VM of this gateway, to which nothing is sent.
            client: Client for requests to other gateways.
        """
        self._local_vm = local_vm
        self._client = client
        self._tables: dict[str, _PublishedTable] = {}
        self._sender_tasks: dict[models.Vm, asyncio.Task[None]] = {}
        self._has_updates: dict[models.Vm, asyncio.Event] = {}

    def update_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Replaces the registered gateways, which get the tables.

        Args:
            vms: All of them by the name of their VM.
        """
        others = {vm for vm in vms.values() if vm.name != self._local_vm.name}
        for vm in self._sender_tasks.keys() - others:
            self._sender_tasks.pop(vm).cancel()
            del self._has_updates[vm]
        for vm in others - self._sender_tasks.keys():
            self._has_updates[vm] = asyncio.Event()
            if self._tables:
                self._has_updates[vm].set()
            self._sender_tasks[vm] = asyncio.create_task(self._send_updates(vm))

    def publish(
        self,
        previous_table: models.KeyTable | None,
        table: models.KeyTable,
        stored_table: store.StoredObject,
    ) -> None:
        """Sends a table to all gateways in the background.

        Args:
            previous_table: The table before it, which most gateways have.
            table: The table.
            stored_table: Its object in the store.
        """
        earlier_tables: collections.OrderedDict[int, models.KeyTable] = (
            collections.OrderedDict()
        )
        current = self._tables.get(stored_table.name)
        if current is not None:
            earlier_tables = current.earlier_tables
        if previous_table is not None and previous_table.order < table.order:
            earlier_tables[previous_table.revision] = previous_table
            while len(earlier_tables) > _MAX_EARLIER_TABLES:
                earlier_tables.popitem(last=False)
        self._tables[stored_table.name] = _PublishedTable(
            table, stored_table, earlier_tables
        )
        for has_updates in self._has_updates.values():
            has_updates.set()

    def stop(self) -> None:
        """Drops the tables, so that none is sent any more."""
        self._tables.clear()
        for has_updates in self._has_updates.values():
            has_updates.clear()

    def close(self) -> None:
        """Cancels the sending tasks."""
        for task in self._sender_tasks.values():
            task.cancel()
        self._sender_tasks.clear()
        self._has_updates.clear()

    async def _send_updates(self, vm: models.Vm) -> None:
        """Keeps one gateway up to date until the task is cancelled."""
        known_tables: dict[str, _KnownTable] = {}
        pause_s = _RETRY_S
        has_updates = self._has_updates[vm]
        while True:
            await has_updates.wait()
            has_updates.clear()
            all_received = True
            for name in list(self._tables):
                all_received = (
                    await self._send_table(vm, name, known_tables)
                    and all_received
                )
            if all_received:
                pause_s = _RETRY_S
            else:
                has_updates.set()
                await asyncio.sleep(pause_s)
                pause_s = min(_MAX_RETRY_S, 2.0 * pause_s)

    async def _send_table(
        self, vm: models.Vm, name: str, known_tables: dict[str, _KnownTable]
    ) -> bool:
        """Sends one table; returns whether the gateway has it."""
        while (latest := self._tables.get(name)) is not None:
            known = known_tables.get(name, latest.previous)
            if known.is_same(latest.table):
                return True
            request = latest.build_request(known)
            match await self._client.ask(vm, request):
                case result.Ok(peers.GatewayStatus() as status):
                    # If the diff didn't apply, the status still says which
                    # table the gateway has; the next request builds on it.
                    known_tables[name] = _KnownTable(
                        status.tables.get(name, 0),
                        status.table_epochs.get(name),
                    )
                    if not table_order.is_older(status, name, latest.table):
                        return True
                    if isinstance(request, peers.PublishTable):
                        return False
                case _:
                    known_tables.pop(name, None)
                    return False
        return True
