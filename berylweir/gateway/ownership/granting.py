"""Renews grants and carries moves out while this gateway holds the lease."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import logging
import typing

from berylweir.gateway import clock
from berylweir.gateway import models
from berylweir.gateway.ownership import address_reuse
from berylweir.gateway.ownership import grant_client
from berylweir.gateway.ownership import grant_expiry
from berylweir.observability import counters
from berylweir.platform import grants

_LOGGER = logging.getLogger(__name__)
# Time between two renewals of a server's grants, in seconds.
RENEW_INTERVAL_S = 0.6
# The same while a server doesn't answer, in seconds.
_RENEW_RETRY_S = 0.3
_GRANT_RETRY_S = 0.15
# Time for the other gateways to learn that keys are moving before their owner
# stops serving them, in seconds.
_PUBLISH_DELAY_S = 0.02

_GRANT_DURATION_MS = int(grant_expiry.GRANT_DURATION_S * 1000)

GetTable = Callable[[str], models.KeyTable | None]


@dataclasses.dataclass(frozen=True, slots=True)
class RangeMove:
    """A range on its way from one life to another."""

    group: str
    range: models.KeyRange


class Granter:
    """Owns the couriers; the keeper tells it what the tables say."""

    def __init__(
        self,
        get_table: GetTable,
        may_act: Callable[[], bool],
        on_move_completed: Callable[[], None],
        on_superseded: Callable[[], None],
        on_server_lost: Callable[[], None],
        metrics: counters.Counters,
    ) -> None:
        """Creates a granter that does nothing yet.

        Args:
            get_table: Returns the newest key table of a group.
            may_act: Whether this gateway may grant now.
            on_move_completed: Called when a moved range is held by its new
                owner.
            on_superseded: Called when a server has seen a higher token.
            on_server_lost: Called when a server that stopped answering holds
                nothing.
            metrics: Counters.
        """
        self._get_table = get_table
        self._may_act = may_act
        self._on_move_completed = on_move_completed
        self._on_superseded = on_superseded
        self._on_server_lost = on_server_lost
        self._metrics = metrics
        self._servers: Mapping[str, models.BackendServer] = {}
        self._replaced_instances: frozenset[models.ServerInstance] = frozenset()
        self._clients: dict[
            models.ServerInstance, grant_client.GrantClient
        ] = {}
        self._locks: dict[models.ServerInstance, asyncio.Lock] = {}
        self._expiries = grant_expiry.GrantExpiries()
        self._renewal_tasks: dict[
            tuple[str, models.ServerInstance], asyncio.Task[None]
        ] = {}
        self._move_tasks: dict[RangeMove, asyncio.Task[None]] = {}
        self._released_moves: set[RangeMove] = set()
        self._completed_moves: set[RangeMove] = set()
        # Keys that a former keeper may still be granting to the target of a
        # move, which hasn't accepted a token of this one for them.
        self._unfenced_ranges: dict[
            models.ServerInstance, set[tuple[int, int]]
        ] = {}
        self._inherited_moves_recorded: set[str] = set()
        self._is_active = False

    def start_epoch(self, predecessors_stop_s: float) -> None:
        """Starts to act for a new epoch.

        Args:
            predecessors_stop_s: Until when a former keeper may grant, on the
                boot clock.
        """
        self.stop()
        self._expiries.start_epoch(
            predecessors_stop_s + grant_expiry.max_grant_lifetime_s()
        )
        self._unfenced_ranges.clear()
        self._inherited_moves_recorded.clear()
        self._is_active = True

    def confirm_predecessors_stopped(self) -> None:
        """Notes that the former keeper grants no more from now on."""
        self._expiries.limit_inherited(
            clock.boot_s() + grant_expiry.max_grant_lifetime_s()
        )

    def stop(self) -> None:
        """Stops granting at once."""
        self._is_active = False
        for task in (*self._renewal_tasks.values(), *self._move_tasks.values()):
            task.cancel()
        self._renewal_tasks.clear()
        self._move_tasks.clear()
        self._released_moves.clear()
        self._completed_moves.clear()

    def close(self) -> None:
        """Stops and closes the connections."""
        self.stop()
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def update_servers(
        self, servers: Mapping[str, models.BackendServer]
    ) -> None:
        """Takes the known backend servers."""
        self._servers = servers
        self._replaced_instances = address_reuse.replaced_instances(
            servers.values()
        )
        live_by_address = {
            (s.host, s.port): s.instance
            for s in servers.values()
            if s.instance not in self._replaced_instances
        }
        for instance, client in list(self._clients.items()):
            if live_by_address.get(client.address, instance) != instance:
                # The address belongs to another server by now.
                client.close()
                del self._clients[instance]
        for server in servers.values():
            if (
                server.instance
                not in self._clients.keys() | self._replaced_instances
            ):
                self._clients[server.instance] = grant_client.GrantClient(
                    server.name, server.host, server.port
                )

    def is_lost(self, instance: models.ServerInstance) -> bool:
        """Returns whether a server is lost and holds nothing."""
        return self._was_replaced(instance) or self._expiries.is_lost(
            instance, clock.boot_s()
        )

    def is_released(self, group: str, key_range: models.KeyRange) -> bool:
        """Returns whether the former owner of a range holds none of it."""
        return RangeMove(group, key_range) in self._released_moves

    def is_completed(self, group: str, key_range: models.KeyRange) -> bool:
        """Returns whether the new owner of a range holds it."""
        return RangeMove(group, key_range) in self._completed_moves

    def apply_table(self, table: models.KeyTable) -> None:
        """Renews and moves as a table says."""
        if not self._is_active:
            return
        self._record_inherited_moves(table)
        owners = {r.owner for r in table.ranges if r.previous_owner is None}
        owner_keys = {(table.group, o) for o in owners if o is not None}
        for renewal in [k for k in self._renewal_tasks if k[0] == table.group]:
            if renewal not in owner_keys:
                self._renewal_tasks.pop(renewal).cancel()
        for group, instance in owner_keys:
            if (group, instance) not in self._renewal_tasks:
                self._renewal_tasks[(group, instance)] = asyncio.create_task(
                    self._renew_grants(group, instance)
                )
        moves = {
            RangeMove(table.group, r)
            for r in table.ranges
            if r.previous_owner is not None
        }
        for move in [t for t in self._move_tasks if t.group == table.group]:
            if move not in moves:
                self._move_tasks.pop(move).cancel()
                self._released_moves.discard(move)
                self._completed_moves.discard(move)
        for move in moves:
            if move not in self._move_tasks:
                self._move_tasks[move] = asyncio.create_task(
                    self._execute_move(move)
                )

    def _record_inherited_moves(self, table: models.KeyTable) -> None:
        """Notes the moves that a former keeper left under way."""
        if table.group in self._inherited_moves_recorded:
            return
        self._inherited_moves_recorded.add(table.group)
        for key_range in table.ranges:
            if (
                key_range.previous_owner is not None
                and key_range.owner is not None
            ):
                unfenced = self._unfenced_ranges.setdefault(
                    key_range.owner, set()
                )
                unfenced.add((key_range.first, key_range.last))

    # Renewals

    async def _renew_grants(
        self, group: str, instance: models.ServerInstance
    ) -> None:
        while True:
            await self._wait_for_expiry(instance)
            is_accepted = False
            async with self._lock(instance):
                is_accepted = await self._grant_owned_ranges(group, instance)
            await asyncio.sleep(
                RENEW_INTERVAL_S if is_accepted else _RENEW_RETRY_S
            )

    async def _wait_for_expiry(self, instance: models.ServerInstance) -> None:
        """Waits until a server that doesn't answer holds nothing."""
        if (
            self._expiries.for_server(instance).consecutive_timeouts
            < grant_expiry.LOST_AFTER_FAILURES
        ):
            return
        await _sleep_until(self._expiries.expires_s(instance))
        # The keeper looks for another owner before this one is tried again.
        self._on_server_lost()
        await asyncio.sleep(_RENEW_RETRY_S)

    async def _grant_owned_ranges(
        self, group: str, instance: models.ServerInstance
    ) -> bool:
        """Grants all settled ranges of a life; returns whether it took all."""
        client = self._clients.get(instance)
        if client is None:
            return False
        expiry = self._expiries.for_server(instance)
        attempted: set[tuple[int, int, int]] = set()
        while True:
            # The table may have changed during the last call.
            table = self._get_table(group)
            pending = [
                r
                for r in (table.ranges if table else ())
                if r.owner == instance
                and r.previous_owner is None
                and (r.first, r.last, r.token) not in attempted
            ]
            if not pending:
                expiry.is_fenced = True
                return True
            if not self._may_act():
                return False
            key_range = pending[0]
            attempted.add((key_range.first, key_range.last, key_range.token))
            expiry.record_sent(clock.boot_s())
            outcome = await client.send(
                grants.Grant(
                    key_range.first,
                    key_range.last,
                    key_range.token,
                    _GRANT_DURATION_MS,
                )
            )
            if not self._handle_outcome(outcome, instance, key_range):
                return False

    def _handle_outcome(
        self,
        outcome: grant_client.SendOutcome,
        instance: models.ServerInstance,
        key_range: models.KeyRange,
    ) -> bool:
        expiry = self._expiries.for_server(instance)
        match outcome:
            case grants.Accepted():
                expiry.record_accepted(clock.boot_s())
                self._unfenced_ranges[instance] = {
                    (first, last)
                    for first, last in self._unfenced_ranges.get(instance, ())
                    if first < key_range.first or last > key_range.last
                }
                return True
            case grant_client.NotSent() | grants.Rejected():
                # Another server that took over the address refuses orders.
                expiry.record_rejected()
            case grant_client.NoResponse():
                expiry.record_unanswered(clock.boot_s())
            case grants.Superseded():
                expiry.record_rejected()
                self._on_superseded()
            case _:
                typing.assert_never(outcome)
        self._metrics.count("grants.failed")
        _LOGGER.warning(
            "grant failed",
            extra={
                "server": instance.server,
                "first": key_range.first,
                "last": key_range.last,
                "token": key_range.token,
                "delivery": outcome,
                "held_for_s": round(
                    self._expiries.expires_s(instance) - clock.boot_s(), 2
                ),
            },
        )
        return False

    # Moves

    async def _execute_move(self, move: RangeMove) -> None:
        key_range = move.range
        source, target = key_range.previous_owner, key_range.owner
        if source is None or target is None:
            return
        started_s = clock.boot_s()
        handover = await self._release_from_previous_owner(source, key_range)
        self._released_moves.add(move)
        while True:
            await self._wait_for_expiry(target)
            if await self._grant_moved_range(target, key_range, handover):
                break
            await asyncio.sleep(_GRANT_RETRY_S)
        _LOGGER.info(
            "keys moved",
            extra={
                "group": move.group,
                "first": key_range.first,
                "last": key_range.last,
                "token": key_range.token,
                "from": source.server,
                "to": target.server,
                "is_warm": handover is not None,
                "took_s": round(clock.boot_s() - started_s, 3),
            },
        )
        self._completed_moves.add(move)
        self._on_move_completed()
        # Until the table says that the move has ended, nothing else renews it.
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            await self._grant_moved_range(target, key_range, handover)

    async def _grant_moved_range(
        self,
        target: models.ServerInstance,
        key_range: models.KeyRange,
        handover: str | None,
    ) -> bool:
        client = self._clients.get(target)
        if client is None or not self._may_act():
            return False
        async with self._lock(target):
            self._expiries.for_server(target).record_sent(clock.boot_s())
            outcome = await client.send(
                grants.Grant(
                    key_range.first,
                    key_range.last,
                    key_range.token,
                    _GRANT_DURATION_MS,
                    handover,
                )
            )
            return self._handle_outcome(outcome, target, key_range)

    async def _release_from_previous_owner(
        self, source: models.ServerInstance, key_range: models.KeyRange
    ) -> str | None:
        """Waits until `former` holds no key of a range.

        Returns:
            What the next owner needs to be warm, if the former gave it.
        """
        if self._was_replaced(source):
            return None
        async with self._lock(source):
            # No renewal of the range is under way, and none will follow.
            last_expires_s = self._expiries.for_server(source).expires_s
            is_fenced = self._expiries.for_server(source).is_fenced
        may_be_granted_by_predecessor = any(
            first <= key_range.last and last >= key_range.first
            for first, last in self._unfenced_ranges.get(source, ())
        )
        await asyncio.sleep(_PUBLISH_DELAY_S)

        def expires_s() -> float:
            # The bound on a former keeper's grants may still be shortened.
            if may_be_granted_by_predecessor:
                return max(last_expires_s, self._expiries.inherited_expires_s)
            return (
                last_expires_s
                if is_fenced
                else self._expiries.expires_s(source)
            )

        while clock.boot_s() < expires_s() and not self._was_replaced(source):
            client = self._clients.get(source)
            if client is not None:
                outcome = await client.send(
                    grants.Release(
                        key_range.first, key_range.last, key_range.token
                    )
                )
                if isinstance(outcome, grants.Accepted):
                    # A grant that got no answer may still be carried out.
                    released_s = self._expiries.for_server(
                        source
                    ).unanswered_expires_s
                    if may_be_granted_by_predecessor:
                        # The former keeper may grant the keys once more.
                        released_s = expires_s()
                    await _sleep_until(min(released_s, expires_s()))
                    return outcome.handover
            await asyncio.sleep(
                max(0.0, min(_GRANT_RETRY_S, expires_s() - clock.boot_s()))
            )
        return None

    def _was_replaced(self, instance: models.ServerInstance) -> bool:
        """Returns whether another life has its id or its address."""
        current = self._servers.get(instance.server)
        return instance in self._replaced_instances or (
            current is not None and current.born_ms != instance.born_ms
        )

    def _lock(self, instance: models.ServerInstance) -> asyncio.Lock:
        return self._locks.setdefault(instance, asyncio.Lock())


async def _sleep_until(time_s: float) -> None:
    await asyncio.sleep(max(0.0, time_s - clock.boot_s()))
