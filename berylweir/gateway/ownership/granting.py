"""Renews grants and executes moves while this gateway holds the lease."""

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
from berylweir.gateway.ownership import unfenced_ranges
from berylweir.observability import counters
from berylweir.platform import grants

_LOGGER = logging.getLogger(__name__)
# Time between two renewals of a server's grants, in seconds.
RENEW_INTERVAL_S = 0.6
# Delay before the grants of a server that didn't accept them are sent again, in
# seconds.
_RENEW_RETRY_S = 0.3
# The same for a release, or for the first grant to the target of a move, in
# seconds. It is shorter because nobody serves the keys meanwhile.
_GRANT_RETRY_S = 0.15
# Delay between writing a move and releasing its keys, in seconds, so that the
# other gateways know of the move before the owner stops serving the keys.
_PUBLISH_DELAY_S = 0.02

GetTable = Callable[[str], models.KeyTable | None]
# Gets the server of a grant, when it was sent on the boot clock, in seconds,
# and whether the server responded.
OnGrantSent = Callable[[models.ServerInstance, float, bool], None]


@dataclasses.dataclass(frozen=True, slots=True)
class RangeMove:
    """A key range of a group that is moving to another server instance.

    Attributes:
        group: Name of the server group.
        range: The range with its previous and new owner.
    """

    group: str
    range: models.KeyRange


class Granter:
    """Sends grants and releases to servers as the key tables require.

    Each owner's grants are renewed by one task and each move is executed by
    another.
    """

    def __init__(
        self,
        get_table: GetTable,
        may_act: Callable[[], bool],
        on_move_completed: Callable[[], None],
        on_superseded: Callable[[], None],
        on_server_lost: Callable[[], None],
        metrics: counters.Counters,
        *,
        max_grant_ms: float = grant_expiry.GRANT_DURATION_S * 1000.0,
        on_grant_sent: OnGrantSent = lambda instance, sent_s, responded: None,
    ) -> None:
        """Creates the granter; `start_epoch` activates it.

        Args:
            get_table: Returns the newest key table of a group; None if there
                is none.
            may_act: Returns whether this gateway may grant keys now.
            on_move_completed: Called when the new owner of a moved range has
                accepted its grant.
            on_superseded: Called when a server has seen a higher token.
            on_server_lost: Called when the grants of a server that stopped
                responding have expired.
            metrics: Counters.
            max_grant_ms: Longest duration of a grant that servers accept, in
                ms.
            on_grant_sent: Called after each grant.
        """
        self._get_table = get_table
        self._grant_duration_ms = int(
            min(grant_expiry.GRANT_DURATION_S * 1000.0, max_grant_ms)
        )
        self._may_act = may_act
        self._on_move_completed = on_move_completed
        self._on_superseded = on_superseded
        self._on_server_lost = on_server_lost
        self._on_grant_sent = on_grant_sent
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
        self._unfenced = unfenced_ranges.UnfencedRanges()
        self._is_active = False

    def start_epoch(self, predecessors_stop_s: float) -> None:
        """Starts granting under a newly acquired lease.

        Args:
            predecessors_stop_s: Time on the boot clock until which an earlier
                keeper may grant keys, in seconds.
        """
        self.stop()
        self._expiries.start_epoch(
            predecessors_stop_s + grant_expiry.max_grant_lifetime_s()
        )
        self._unfenced.start_epoch()
        self._is_active = True

    def confirm_predecessors_stopped(self) -> None:
        """Records that no earlier keeper grants keys from now on."""
        self._expiries.limit_inherited(
            clock.boot_s() + grant_expiry.max_grant_lifetime_s()
        )

    def stop(self) -> None:
        """Cancels all renewals and moves."""
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
        """Replaces the known backend servers.

        Args:
            servers: All of them by name.
        """
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
                # Another server has taken over the address.
                client.close()
                del self._clients[instance]
        for server in servers.values():
            if (
                server.instance
                not in self._clients.keys() | self._replaced_instances
            ):
                self._clients[server.instance] = grant_client.GrantClient(
                    server.name, server.host, server.port, self._may_act
                )

    def is_lost(self, instance: models.ServerInstance) -> bool:
        """Returns whether a server is lost and its grants have expired."""
        return self._was_replaced(instance) or self._expiries.is_lost(
            instance, clock.boot_s()
        )

    def is_released(self, group: str, key_range: models.KeyRange) -> bool:
        """Returns whether no grant of the previous owner is left on a range."""
        return RangeMove(group, key_range) in self._released_moves

    def awaits_first_grant(self, key_range: models.KeyRange) -> bool:
        """Returns whether a range's owner is about to accept the first grant.

        Until then an earlier keeper may grant it the range as well, and a move
        of the range would wait for the end of these grants. Once they have
        ended, a move needn't wait for the first grant.
        """
        owner = key_range.owner
        return (
            owner is not None
            and clock.boot_s() < self._expiries.inherited_expires_s
            and self._unfenced.has_any(owner, key_range)
            and owner in self._clients
            and self._expiries.for_server(owner).consecutive_failures == 0
        )

    def is_completed(self, group: str, key_range: models.KeyRange) -> bool:
        """Returns whether the new owner of a range has accepted its grant."""
        return RangeMove(group, key_range) in self._completed_moves

    def apply_table(self, table: models.KeyTable) -> None:
        """Starts and cancels renewals and moves to match a table."""
        if not self._is_active:
            return
        self._unfenced.record_table(table)
        owners = {r.owner for r in table.ranges if r.previous_owner is None}
        required_renewals = {(table.group, o) for o in owners if o is not None}
        for renewal in [k for k in self._renewal_tasks if k[0] == table.group]:
            if renewal not in required_renewals:
                self._renewal_tasks.pop(renewal).cancel()
        for group, instance in required_renewals:
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
                self._move_tasks[move] = asyncio.create_task(self._move(move))

    # Renewals

    async def _renew_grants(
        self, group: str, instance: models.ServerInstance
    ) -> None:
        """Renews the grants of an owner until the task is cancelled."""
        while True:
            is_accepted = False
            try:
                await self._wait_for_expiry(instance)
                async with self._lock(instance):
                    is_accepted = await self._grant_owned_ranges(
                        group, instance
                    )
            except Exception:
                # Without renewals the server would lose its keys.
                self._report_unexpected_error(instance)
            await asyncio.sleep(
                RENEW_INTERVAL_S if is_accepted else _RENEW_RETRY_S
            )

    async def _wait_for_expiry(self, instance: models.ServerInstance) -> None:
        """Waits for the grants of an unresponsive server to expire."""
        if (
            self._expiries.for_server(instance).consecutive_timeouts
            < grant_expiry.LOST_AFTER_FAILURES
        ):
            return
        await _sleep_until(self._expiries.expires_s(instance))
        # The delay lets the keeper choose another owner before the next grant
        # to this one.
        self._on_server_lost()
        await asyncio.sleep(_RENEW_RETRY_S)

    async def _grant_owned_ranges(
        self, group: str, instance: models.ServerInstance
    ) -> bool:
        """Grants a server all its ranges that aren't moving.

        Returns:
            Whether the server accepted all of them.
        """
        client = self._clients.get(instance)
        if client is None:
            return False
        expiry = self._expiries.for_server(instance)
        attempted: set[tuple[int, int, int]] = set()
        while True:
            # The table may have changed during the last request.
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
            outcome = await self._send_grant(client, instance, key_range, None)
            if not self._handle_outcome(outcome, instance, key_range):
                return False

    async def _send_grant(
        self,
        client: grant_client.GrantClient,
        instance: models.ServerInstance,
        key_range: models.KeyRange,
        handover: str | None,
    ) -> grant_client.SendOutcome:
        """Sends a grant and records when it expires."""
        expiry = self._expiries.for_server(instance)
        sent_s = clock.boot_s()
        expiry.record_sent(sent_s)
        try:
            outcome = await client.send(
                grants.Grant(
                    key_range.first,
                    key_range.last,
                    key_range.token,
                    self._grant_duration_ms,
                    handover,
                )
            )
        except asyncio.CancelledError:
            expiry.record_abandoned(clock.boot_s())
            raise
        self._on_grant_sent(
            instance,
            sent_s,
            not isinstance(
                outcome, grant_client.NotSent | grant_client.NoResponse
            ),
        )
        return outcome

    def _handle_outcome(
        self,
        outcome: grant_client.SendOutcome,
        instance: models.ServerInstance,
        key_range: models.KeyRange,
    ) -> bool:
        """Records the outcome of a grant; returns whether it was accepted."""
        expiry = self._expiries.for_server(instance)
        match outcome:
            case grants.Accepted():
                expiry.record_accepted(clock.boot_s())
                self._unfenced.record_accepted(instance, key_range)
                return True
            case grant_client.NotSent() | grants.Rejected():
                # A server that took over the address rejects commands that are
                # meant for another one.
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
                "delivery": type(outcome).__name__,
                "held_for_s": round(
                    self._expiries.expires_s(instance) - clock.boot_s(), 2
                ),
            },
        )
        return False

    # Moves

    async def _move(self, move: RangeMove) -> None:
        """Executes a move, again after an unexpected error."""
        while True:
            try:
                await self._execute_move(move)
                return
            except Exception:
                self._report_unexpected_error(move.range.owner)
                await asyncio.sleep(_GRANT_RETRY_S)

    def _report_unexpected_error(
        self, instance: models.ServerInstance | None
    ) -> None:
        self._metrics.count("grants.crashed")
        if instance is not None:
            # The error may have come after a grant was sent.
            self._expiries.for_server(instance).record_unanswered(
                clock.boot_s()
            )
        _LOGGER.exception(
            "unhandled error in a grant",
            extra={"server": instance.server if instance else None},
        )

    async def _execute_move(self, move: RangeMove) -> None:
        """Releases a range at its previous owner and grants it to the new one.

        It then renews the grant until the task is cancelled.
        """
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
        # The renewal task of the owner covers this range only once the table
        # says that the move is completed.
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            await self._grant_moved_range(target, key_range, handover)

    async def _grant_moved_range(
        self,
        target: models.ServerInstance,
        key_range: models.KeyRange,
        handover: str | None,
    ) -> bool:
        """Grants a moving range to its target; returns whether it accepted."""
        async with self._lock(target):
            client = self._clients.get(target)
            if client is None or not self._may_act():
                return False
            outcome = await self._send_grant(
                client, target, key_range, handover
            )
            return self._handle_outcome(outcome, target, key_range)

    async def _release_from_previous_owner(
        self, source: models.ServerInstance, key_range: models.KeyRange
    ) -> str | None:
        """Waits until no grant of the previous owner is left on a range.

        The previous owner is asked to release the range. If it doesn't, the
        wait ends when its grants have expired.

        Returns:
            The hand-over state with which the new owner starts warm; None if
            the previous owner sent none.
        """
        if source in self._replaced_instances:
            return None
        async with self._lock(source):
            # While the lock is held no renewal is in flight, and none that
            # includes this range will follow.
            last_expires_s = self._expiries.for_server(source).expires_s
            # A server that has started again has forgotten the tokens.
            may_be_granted_by_predecessor = self._unfenced.has_any(
                source, key_range
            ) or self._was_replaced(source)
        await asyncio.sleep(_PUBLISH_DELAY_S)

        def expires_s() -> float:
            # Computed anew each time, as the bound on an earlier keeper's
            # grants may be lowered meanwhile. Later grants of this keeper don't
            # count: they renew other ranges.
            if (
                may_be_granted_by_predecessor
                or not self._expiries.for_server(source).is_fenced
            ):
                return max(last_expires_s, self._expiries.inherited_expires_s)
            return last_expires_s

        while (
            clock.boot_s() < expires_s()
            and source not in self._replaced_instances
        ):
            client = self._newest_client(source)
            if client is not None and self._may_act():
                outcome = await client.send(
                    grants.Release(
                        key_range.first, key_range.last, key_range.token
                    )
                )
                if isinstance(outcome, grants.Accepted):
                    # The server may still apply a grant that it received but
                    # didn't respond to.
                    released_s = self._expiries.for_server(
                        source
                    ).unanswered_expires_s
                    if may_be_granted_by_predecessor:
                        # The earlier keeper may grant the keys again.
                        released_s = expires_s()
                    await _sleep_until(min(released_s, expires_s()))
                    return outcome.handover
            await asyncio.sleep(
                max(0.0, min(_GRANT_RETRY_S, expires_s() - clock.boot_s()))
            )
        return None

    def _newest_client(
        self, instance: models.ServerInstance
    ) -> grant_client.GrantClient | None:
        """Returns the client of the newest instance with an instance's id.

        A server that has started again under its id may have accepted grants
        that were meant for its previous instance.
        """
        current = self._servers.get(instance.server)
        return self._clients.get(current.instance if current else instance)

    def _was_replaced(self, instance: models.ServerInstance) -> bool:
        """Returns whether another instance has its name or its address."""
        current = self._servers.get(instance.server)
        return instance in self._replaced_instances or (
            current is not None and current.born_ms != instance.born_ms
        )

    def _lock(self, instance: models.ServerInstance) -> asyncio.Lock:
        return self._locks.setdefault(instance, asyncio.Lock())


async def _sleep_until(time_s: float) -> None:
    await asyncio.sleep(max(0.0, time_s - clock.boot_s()))
