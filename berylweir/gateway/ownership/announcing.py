"""Tells the other gateways of new key tables, without the store."""

import asyncio
import collections
from collections.abc import Mapping
import dataclasses

import msgspec
import result

from berylweir.gateway import models
from berylweir.gateway.ownership import tables
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.peers import task as peer_task
from berylweir.gateway.replication import codec
from berylweir.platform import objects
from berylweir.platform import store

# Pause before a gateway that didn't answer is told again, doubled up to the
# longest, in seconds.
_AGAIN_S = 0.25
_AGAIN_MAX_S = 4.0
# Earlier tables of a group to which changes are told; a gateway that knows
# none of them gets the whole table.
_MAX_EARLIER = 64


@dataclasses.dataclass(slots=True)
class _Announced:
    """The newest table of a group, and what leads to it."""

    table: models.KeyTable
    stored: store.StoredObject
    # By revision, oldest first.
    earlier: collections.OrderedDict[int, models.KeyTable]
    whole: peers.CompressedChanges | None = None
    changes: dict[int, peers.CompressedChanges] = dataclasses.field(
        default_factory=dict
    )

    @property
    def last_revision(self) -> int:
        """Revision of the table before; 0 if there is none."""
        return next(reversed(self.earlier), 0)

    def request(
        self, told: int
    ) -> peers.PublishTable | peers.PublishTableChanges:
        """Returns what to tell a gateway that knows the table of a revision."""
        base = self.earlier.get(told)
        if base is None:
            if self.whole is None:
                self.whole = codec.encode_objects([self.stored])
            return peers.PublishTable(self.whole)
        if told not in self.changes:
            changed = tables.diff(base, self.table)
            spec = msgspec.Raw(objects.encode_table(changed))
            found = store.build_stored_object(
                self.stored.name, self.stored.revision, spec, self.stored.status
            )
            self.changes[told] = codec.encode_objects([found])
        return peers.PublishTableChanges(told, self.changes[told])


class Announcer:
    """Brings each gateway the newest tables; one message at a time each."""

    def __init__(self, me: models.Vm, client: peer_task.PeerClient) -> None:
        """Creates an announcer that tells nobody.

        Args:
            me: This gateway.
            client: Asks other gateways.
        """
        self._me = me
        self._client = client
        self._tables: dict[str, _Announced] = {}
        self._tellers: dict[models.Vm, asyncio.Task[None]] = {}
        self._news: dict[models.Vm, asyncio.Event] = {}

    def see_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Takes the registered gateways; only those are told."""
        wanted = {vm for vm in vms.values() if vm.name != self._me.name}
        for vm in self._tellers.keys() - wanted:
            self._tellers.pop(vm).cancel()
            del self._news[vm]
        for vm in wanted - self._tellers.keys():
            self._news[vm] = asyncio.Event()
            if self._tables:
                self._news[vm].set()
            self._tellers[vm] = asyncio.create_task(self._tell_all(vm))

    def announce(
        self,
        before: models.KeyTable | None,
        table: models.KeyTable,
        stored: store.StoredObject,
    ) -> None:
        """Tells all gateways of a table.

        Args:
            before: The table before; most gateways know it.
            table: The table.
            stored: Its object in the store.
        """
        earlier: collections.OrderedDict[int, models.KeyTable] = (
            collections.OrderedDict()
        )
        known = self._tables.get(stored.name)
        if known is not None:
            earlier = known.earlier
        if before is not None and before.revision < table.revision:
            earlier[before.revision] = before
            while len(earlier) > _MAX_EARLIER:
                earlier.popitem(last=False)
        self._tables[stored.name] = _Announced(table, stored, earlier)
        for news in self._news.values():
            news.set()

    def stop(self) -> None:
        """Forgets what was to be told."""
        self._tables.clear()
        for news in self._news.values():
            news.clear()

    def close(self) -> None:
        """Ends all tasks."""
        for teller in self._tellers.values():
            teller.cancel()
        self._tellers.clear()
        self._news.clear()

    async def _tell_all(self, vm: models.Vm) -> None:
        told: dict[str, int] = {}
        pause_s = _AGAIN_S
        news = self._news[vm]
        while True:
            await news.wait()
            news.clear()
            has_all = True
            for name in list(self._tables):
                has_all = await self._tell(vm, name, told) and has_all
            if has_all:
                pause_s = _AGAIN_S
            else:
                news.set()
                await asyncio.sleep(pause_s)
                pause_s = min(_AGAIN_MAX_S, 2.0 * pause_s)

    async def _tell(
        self, vm: models.Vm, name: str, told: dict[str, int]
    ) -> bool:
        """Tells of one table; returns whether the gateway has it."""
        while (announced := self._tables.get(name)) is not None:
            known = told.get(name, announced.last_revision)
            if known >= announced.table.revision:
                return True
            request = announced.request(known)
            match await self._client.ask(vm, request):
                case result.Ok(peers.GatewayStatus() as standing):
                    # Tells what the gateway knows if the changes didn't fit.
                    told[name] = standing.tables.get(name, 0)
                    if told[name] >= announced.table.revision:
                        return True
                    if isinstance(request, peers.PublishTable):
                        return False
                case _:
                    told.pop(name, None)
                    return False
        return True
