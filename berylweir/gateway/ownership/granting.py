"""Renews grants and carries moves out while this gateway holds the lease."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import logging
import typing

from berylweir.gateway import clock
from berylweir.gateway import models
from berylweir.gateway.ownership import courier
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import lives
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
_BROADCAST_DELAY_S = 0.02

_GRANT_DURATION_MS = int(grant_expiry.GRANT_DURATION_S * 1000)

TableOf = Callable[[str], models.KeyTable | None]


@dataclasses.dataclass(frozen=True, slots=True)
class Transfer:
    """A range on its way from one life to another."""

    group: str
    range: models.KeyRange


class Granter:
    """Owns the couriers; the keeper tells it what the tables say."""

    def __init__(
        self,
        table_of: TableOf,
        may_act: Callable[[], bool],
        on_settled: Callable[[], None],
        on_superseded: Callable[[], None],
        on_server_lost: Callable[[], None],
        metrics: counters.Counters,
    ) -> None:
        """Creates a granter that does nothing yet.

        Args:
            table_of: Returns the newest key table of a group.
            may_act: Whether this gateway may grant now.
            on_settled: Called when a moved range is held by its new owner.
            on_superseded: Called when a server has seen a higher token.
            on_server_lost: Called when a server that stopped answering holds
                nothing.
            metrics: Counters.
        """
        self._table_of = table_of
        self._may_act = may_act
        self._on_settled = on_settled
        self._on_superseded = on_superseded
        self._on_server_lost = on_server_lost
        self._metrics = metrics
        self._servers: Mapping[str, models.BackendServer] = {}
        self._ended: frozenset[models.ServerInstance] = frozenset()
        self._couriers: dict[models.ServerInstance, courier.Courier] = {}
        self._locks: dict[models.ServerInstance, asyncio.Lock] = {}
        self._expiries = grant_expiry.GrantExpiries()
        self._renewals: dict[
            tuple[str, models.ServerInstance], asyncio.Task[None]
        ] = {}
        self._transfers: dict[Transfer, asyncio.Task[None]] = {}
        self._cleared: set[Transfer] = set()
        self._settled: set[Transfer] = set()
        # Keys that a former keeper may still be granting to the target of a
        # move, which hasn't accepted a token of this one for them.
        self._doubtful: dict[models.ServerInstance, set[tuple[int, int]]] = {}
        self._inherited: set[str] = set()
        self._is_active = False

    def begin(self, former_acts_until_s: float) -> None:
        """Starts to act for a new epoch.

        Args:
            former_acts_until_s: Until when a former keeper may grant, on the
                boot clock.
        """
        self.stop()
        self._expiries.start_epoch(
            former_acts_until_s + grant_expiry.max_grant_lifetime_s()
        )
        self._doubtful.clear()
        self._inherited.clear()
        self._is_active = True

    def former_ended(self) -> None:
        """Notes that the former keeper grants no more from now on."""
        self._expiries.limit_inherited(
            clock.boot_s() + grant_expiry.max_grant_lifetime_s()
        )

    def stop(self) -> None:
        """Stops granting at once."""
        self._is_active = False
        for task in (*self._renewals.values(), *self._transfers.values()):
            task.cancel()
        self._renewals.clear()
        self._transfers.clear()
        self._cleared.clear()
        self._settled.clear()

    def close(self) -> None:
        """Stops and closes the connections."""
        self.stop()
        for found in self._couriers.values():
            found.close()
        self._couriers.clear()

    def see_servers(self, servers: Mapping[str, models.BackendServer]) -> None:
        """Takes the known backend servers."""
        self._servers = servers
        self._ended = lives.ended(servers.values())
        taken = {
            (s.host, s.port): s.instance
            for s in servers.values()
            if s.instance not in self._ended
        }
        for life, found in list(self._couriers.items()):
            if taken.get(found.address, life) != life:
                # The address belongs to another server by now.
                found.close()
                del self._couriers[life]
        for server in servers.values():
            if server.instance not in self._couriers.keys() | self._ended:
                self._couriers[server.instance] = courier.Courier(
                    server.name, server.host, server.port
                )

    def is_lost(self, life: models.ServerInstance) -> bool:
        """Returns whether a server is lost and holds nothing."""
        return self._has_ended(life) or self._expiries.is_lost(
            life, clock.boot_s()
        )

    def is_cleared(self, group: str, found: models.KeyRange) -> bool:
        """Returns whether the former owner of a range holds none of it."""
        return Transfer(group, found) in self._cleared

    def is_settled(self, group: str, found: models.KeyRange) -> bool:
        """Returns whether the new owner of a range holds it."""
        return Transfer(group, found) in self._settled

    def follow(self, table: models.KeyTable) -> None:
        """Renews and moves as a table says."""
        if not self._is_active:
            return
        self._inherit(table)
        owners = {r.owner for r in table.ranges if r.previous_owner is None}
        wanted = {(table.group, o) for o in owners if o is not None}
        for key in [k for k in self._renewals if k[0] == table.group]:
            if key not in wanted:
                self._renewals.pop(key).cancel()
        for group, life in wanted:
            if (group, life) not in self._renewals:
                self._renewals[(group, life)] = asyncio.create_task(
                    self._renew(group, life)
                )
        moving = {
            Transfer(table.group, r)
            for r in table.ranges
            if r.previous_owner is not None
        }
        for transfer in [t for t in self._transfers if t.group == table.group]:
            if transfer not in moving:
                self._transfers.pop(transfer).cancel()
                self._cleared.discard(transfer)
                self._settled.discard(transfer)
        for transfer in moving:
            if transfer not in self._transfers:
                self._transfers[transfer] = asyncio.create_task(
                    self._carry_out(transfer)
                )

    def _inherit(self, table: models.KeyTable) -> None:
        """Notes the moves that a former keeper left under way."""
        if table.group in self._inherited:
            return
        self._inherited.add(table.group)
        for found in table.ranges:
            if found.previous_owner is not None and found.owner is not None:
                keys = self._doubtful.setdefault(found.owner, set())
                keys.add((found.first, found.last))

    # Renewals

    async def _renew(self, group: str, life: models.ServerInstance) -> None:
        while True:
            await self._wait_for_expiry(life)
            is_accepted = False
            async with self._lock(life):
                is_accepted = await self._grant_all(group, life)
            await asyncio.sleep(
                RENEW_INTERVAL_S if is_accepted else _RENEW_RETRY_S
            )

    async def _wait_for_expiry(self, life: models.ServerInstance) -> None:
        """Waits until a server that doesn't answer holds nothing."""
        if (
            self._expiries.for_server(life).consecutive_timeouts
            < grant_expiry.LOST_AFTER_FAILURES
        ):
            return
        await _sleep_until(self._expiries.expires_s(life))
        # The keeper looks for another owner before this one is tried again.
        self._on_server_lost()
        await asyncio.sleep(_RENEW_RETRY_S)

    async def _grant_all(self, group: str, life: models.ServerInstance) -> bool:
        """Grants all settled ranges of a life; returns whether it took all."""
        sender = self._couriers.get(life)
        if sender is None:
            return False
        expiry = self._expiries.for_server(life)
        done: set[tuple[int, int, int]] = set()
        while True:
            # The table may have changed during the last call.
            table = self._table_of(group)
            due = [
                r
                for r in (table.ranges if table else ())
                if r.owner == life
                and r.previous_owner is None
                and (r.first, r.last, r.token) not in done
            ]
            if not due:
                expiry.is_fenced = True
                return True
            if not self._may_act():
                return False
            found = due[0]
            done.add((found.first, found.last, found.token))
            expiry.record_sent(clock.boot_s())
            delivery = await sender.deliver(
                grants.Grant(
                    found.first, found.last, found.token, _GRANT_DURATION_MS
                )
            )
            if not self._take_delivery(delivery, life, found):
                return False

    def _take_delivery(
        self,
        delivery: courier.Delivery,
        life: models.ServerInstance,
        found: models.KeyRange,
    ) -> bool:
        expiry = self._expiries.for_server(life)
        match delivery:
            case grants.Accepted():
                expiry.record_accepted(clock.boot_s())
                self._doubtful[life] = {
                    (first, last)
                    for first, last in self._doubtful.get(life, ())
                    if first < found.first or last > found.last
                }
                return True
            case courier.NotDelivered() | grants.Rejected():
                # Another server that took over the address refuses orders.
                expiry.record_rejected()
            case courier.Unanswered():
                expiry.record_unanswered(clock.boot_s())
            case grants.Superseded():
                expiry.record_rejected()
                self._on_superseded()
            case _:
                typing.assert_never(delivery)
        self._metrics.count("grants.failed")
        _LOGGER.warning(
            "grant failed",
            extra={
                "server": life.server,
                "first": found.first,
                "last": found.last,
                "token": found.token,
                "delivery": delivery,
                "held_for_s": round(
                    self._expiries.expires_s(life) - clock.boot_s(), 2
                ),
            },
        )
        return False

    # Moves

    async def _carry_out(self, transfer: Transfer) -> None:
        found = transfer.range
        former, owner = found.previous_owner, found.owner
        if former is None or owner is None:
            return
        started_s = clock.boot_s()
        handover = await self._clear(former, found)
        self._cleared.add(transfer)
        while True:
            await self._wait_for_expiry(owner)
            if await self._grant_moved(owner, found, handover):
                break
            await asyncio.sleep(_GRANT_RETRY_S)
        _LOGGER.info(
            "keys moved",
            extra={
                "group": transfer.group,
                "first": found.first,
                "last": found.last,
                "token": found.token,
                "from": former.server,
                "to": owner.server,
                "is_warm": handover is not None,
                "took_s": round(clock.boot_s() - started_s, 3),
            },
        )
        self._settled.add(transfer)
        self._on_settled()
        # Until the table says that the move has ended, nothing else renews it.
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            await self._grant_moved(owner, found, handover)

    async def _grant_moved(
        self,
        owner: models.ServerInstance,
        found: models.KeyRange,
        handover: str | None,
    ) -> bool:
        sender = self._couriers.get(owner)
        if sender is None or not self._may_act():
            return False
        async with self._lock(owner):
            self._expiries.for_server(owner).record_sent(clock.boot_s())
            delivery = await sender.deliver(
                grants.Grant(
                    found.first,
                    found.last,
                    found.token,
                    _GRANT_DURATION_MS,
                    handover,
                )
            )
            return self._take_delivery(delivery, owner, found)

    async def _clear(
        self, former: models.ServerInstance, found: models.KeyRange
    ) -> str | None:
        """Waits until `former` holds no key of a range.

        Returns:
            What the next owner needs to be warm, if the former gave it.
        """
        if self._has_ended(former):
            return None
        async with self._lock(former):
            # No renewal of the range is under way, and none will follow.
            frozen_s = self._expiries.for_server(former).expires_s
            is_fenced = self._expiries.for_server(former).is_fenced
        is_doubtful = any(
            first <= found.last and last >= found.first
            for first, last in self._doubtful.get(former, ())
        )
        await asyncio.sleep(_BROADCAST_DELAY_S)

        def expires_s() -> float:
            # The bound on a former keeper's grants may still be shortened.
            if is_doubtful:
                return max(frozen_s, self._expiries.inherited_expires_s)
            return frozen_s if is_fenced else self._expiries.expires_s(former)

        while clock.boot_s() < expires_s() and not self._has_ended(former):
            sender = self._couriers.get(former)
            if sender is not None:
                delivery = await sender.deliver(
                    grants.Release(found.first, found.last, found.token)
                )
                if isinstance(delivery, grants.Accepted):
                    # A grant that got no answer may still be carried out.
                    free_s = self._expiries.for_server(
                        former
                    ).unanswered_expires_s
                    if is_doubtful:
                        # The former keeper may grant the keys once more.
                        free_s = expires_s()
                    await _sleep_until(min(free_s, expires_s()))
                    return delivery.handover
            await asyncio.sleep(
                max(0.0, min(_GRANT_RETRY_S, expires_s() - clock.boot_s()))
            )
        return None

    def _has_ended(self, life: models.ServerInstance) -> bool:
        """Returns whether another life has its id or its address."""
        current = self._servers.get(life.server)
        return life in self._ended or (
            current is not None and current.born_ms != life.born_ms
        )

    def _lock(self, life: models.ServerInstance) -> asyncio.Lock:
        return self._locks.setdefault(life, asyncio.Lock())


async def _sleep_until(time_s: float) -> None:
    await asyncio.sleep(max(0.0, time_s - clock.boot_s()))
