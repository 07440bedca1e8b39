"""The lease: who may move keys, kept by conditional update."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import logging
import random

import result

from berylweir.gateway import clock
from berylweir.gateway import models
from berylweir.gateway.ownership import election
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import witnesses
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.peers import task as peer_task
from berylweir.observability import counters
from berylweir.platform import exceptions
from berylweir.platform import objects
from berylweir.platform import store

_LOGGER = logging.getLogger(__name__)
# Time between two reads by which the holder confirms its lease, in seconds.
_CONFIRM_S = 3.0
# The same while the reads fail, in seconds.
_CONFIRM_AGAIN_S = 0.7
# Pause after an attempt to take the lease that failed, in seconds.
_TAKE_AGAIN_S = 0.4
# Age of the holder's last look at the lease from which a gateway that reaches
# the store takes over, in seconds; longer than _CONFIRM_S.
_RELIEVE_S = 4.0
# Time in which a new holder may be silent, in seconds: it asks all other
# gateways and grants all keys, which keeps a slow VM busy.
_SETTLING_S = 2.0
# Time for the holder's object to arrive after the lease, in seconds.
_BOOTSTRAP_S = 0.15

Report = Callable[[], "asyncio.Future[peers.ReportUsage]"]


class LeaseKeeper:
    """Holds the lease, or watches over its holder and takes it when lost."""

    def __init__(
        self,
        me: models.Vm,
        client: store.StoreClient,
        peer_client: peer_task.PeerClient,
        metrics: counters.Counters,
        *,
        take_report: Report,
        on_take: Callable[[models.Lease, float], None],
        on_former_ended: Callable[[], None],
        on_lose: Callable[[], None],
        on_standing: Callable[[peers.GatewayStatus], None],
        is_store_up: Callable[[], bool],
    ) -> None:
        """Creates a lease keeper that knows no lease.

        Args:
            me: This gateway.
            client: Client of the store that nothing else uses.
            peer_client: Asks other gateways.
            metrics: Counters.
            take_report: Returns what this VM saw, for the holder.
            on_take: Called when this gateway has taken the lease, with the
                time until which a former holder may act, on the boot clock.
            on_former_ended: Called when all former holders certainly act no
                more.
            on_lose: Called when this gateway no longer holds the lease.
            on_standing: Takes what the holder says of itself.
            is_store_up: Whether this VM reaches the store.
        """
        self._me = me
        self._client = client
        self._peers = peer_client
        self._witnesses = witnesses.Witnesses(me, peer_client)
        self._metrics = metrics
        self._take_report = take_report
        self._on_take = on_take
        self._on_former_ended = on_former_ended
        self._on_lose = on_lose
        self._lease: models.Lease | None = None
        self._is_known = False
        self._vms: Mapping[str, models.Vm] = {}
        self._confirmed_s = float("-inf")
        self._failures = 0
        self._changed = asyncio.Event()
        self._is_resigning = False
        self._is_relieving = False
        self._is_store_up = is_store_up
        self._former: models.Lease | None = None
        self._heard_s = float("-inf")
        self._on_standing = on_standing
        self._acting_epoch = 0
        self._seen_s = float("-inf")
        self._reported_epoch = 0

    @property
    def epoch(self) -> int:
        """Newest epoch of the lease that this gateway knows."""
        return self._lease.epoch if self._lease else 0

    @property
    def is_holder(self) -> bool:
        """Whether this gateway was the holder when it last looked."""
        return self._holds(self._lease)

    @property
    def may_act(self) -> bool:
        """Whether nobody else can have taken over long enough ago to act."""
        return (
            self.is_holder
            and self._acting_epoch == self.epoch
            and clock.boot_s() - self._confirmed_s < grant_expiry.AUTHORITY_S
        )

    def standing(self, tables: dict[str, int]) -> peers.GatewayStatus:
        """Returns where this gateway stands, for others.

        Args:
            tables: Revision of each known key table.
        """
        heard_s = clock.boot_s() - self._heard_s
        return peers.GatewayStatus(
            self._me.incarnation,
            self.epoch,
            self.is_holder
            and clock.boot_s() - self._confirmed_s < grant_expiry.AUTHORITY_S,
            heard_s if self._heard_s > float("-inf") else None,
            clock.boot_s() - self._confirmed_s if self.is_holder else None,
            tables,
        )

    def see_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Takes the registered gateways."""
        self._vms = vms
        self._witnesses.see_vms(vms)
        self._changed.set()

    def see_lease(self, lease: models.Lease | None) -> None:
        """Takes the lease as the store has it."""
        self._is_known = True
        known = self._lease
        if lease is not None and (
            known is None or lease.revision > known.revision
        ):
            was_holder = self.is_holder
            self._lease = lease
            self._seen_s = clock.boot_s()
            self._failures = 0
            self._is_relieving = False
            _LOGGER.info(
                "lease changed",
                extra={
                    "holder": lease.holder,
                    "epoch": lease.epoch,
                    "revision": lease.revision,
                },
            )
            if was_holder and not self.is_holder:
                self._on_lose()
        self._changed.set()

    def superseded(self, epoch: int) -> None:
        """Takes another gateway's word that it holds a newer lease."""
        if self._lease is not None and epoch > self._lease.epoch:
            was_holder = self.is_holder
            self._lease = models.Lease("", "", epoch, self._lease.revision)
            if was_holder:
                self._on_lose()

    async def run(self) -> None:
        """Confirms, reports or takes the lease until it is cancelled."""
        while True:
            if not self._is_known or self._is_resigning:
                await self._wait(None)
            elif self.is_holder and self._acting_epoch != self.epoch:
                await self._begin()
            elif self.is_holder:
                await self._confirm()
            elif self._is_lost():
                await self._take()
            else:
                await self._report()

    async def resign(self) -> None:
        """Gives the lease up, so that another gateway takes it at once."""
        self._is_resigning = True
        lease = self._lease
        if lease is None or not self.is_holder:
            return
        self._on_lose()
        empty = models.Lease("", "", lease.epoch, lease.revision)
        found = await self._client.replace(
            objects.GATEWAY_KIND,
            objects.LEASE_NAME,
            objects.encode_lease(empty),
            lease.revision,
        )
        _LOGGER.info("lease resigned", extra={"outcome": type(found).__name__})

    def _holds(self, lease: models.Lease | None) -> bool:
        return (
            lease is not None
            and lease.holder == self._me.name
            and lease.incarnation == self._me.incarnation
        )

    def _is_lost(self) -> bool:
        """Returns whether the holder is known or believed to be gone."""
        lease = self._lease
        if lease is None or not lease.holder:
            return True
        holder = self._vms.get(lease.holder)
        is_other_run = (
            holder is not None and holder.incarnation != lease.incarnation
        )
        return is_other_run or self._failures >= election.FAILURES

    async def _confirm(self) -> None:
        started_s = clock.boot_s()
        found = await self._client.get(objects.GATEWAY_KIND, objects.LEASE_NAME)
        match found:
            case result.Ok(stored):
                match objects.decode_gateway_object(stored):
                    case result.Ok(models.Lease() as lease):
                        self.see_lease(lease)
                        if self._holds(lease):
                            self._confirmed_s = started_s
                    case _:
                        self._metrics.count("lease.undecodable")
                await self._wait(_CONFIRM_S)
            case result.Err(failure):
                self._metrics.count("lease.unconfirmed")
                _LOGGER.warning(
                    "lease not confirmed",
                    extra={
                        "failure": failure,
                        "age_s": round(started_s - self._confirmed_s, 2),
                    },
                )
                await asyncio.sleep(_CONFIRM_AGAIN_S)

    async def _report(self) -> None:
        lease = self._lease
        if lease is None:
            return
        place = self._place(lease)
        interval_s = election.report_interval_s(place, len(self._vms))
        if self._reported_epoch != lease.epoch:
            self._reported_epoch = lease.epoch
            if place >= election.DEPUTIES:
                # A new holder is busy; not all VMs report at once.
                await self._wait(random.uniform(0.0, interval_s))
                return
        holder = self._vms.get(lease.holder)
        if holder is None:
            # The holder's own object may arrive after the lease.
            self._failures += 1
            await self._wait(interval_s)
            return
        report = await self._take_report()
        reply = await self._peers.ask(holder, report)
        if self._lease is not lease:
            return
        match reply:
            case result.Ok(peers.GatewayStatus() as standing) if (
                standing.is_holder
            ):
                self._failures = 0
                self._heard_s = clock.boot_s()
                self._on_standing(standing)
                if self._should_relieve(standing):
                    self._is_relieving = True
                    self._failures = election.FAILURES
            case result.Ok(_):
                # Another run, or one whose authority has run out.
                self._failures = election.FAILURES
            case result.Err(failure):
                if clock.boot_s() - self._seen_s > _SETTLING_S:
                    self._failures += 1
                _LOGGER.warning(
                    "holder silent",
                    extra={
                        "holder": lease.holder,
                        "epoch": lease.epoch,
                        "failures": self._failures,
                        "failure": failure,
                    },
                )
        if self._failures == 0:
            await asyncio.sleep(interval_s)

    def _should_relieve(self, standing: peers.GatewayStatus) -> bool:
        """Returns whether a holder can't move keys though this VM could.

        A holder that the store turns away renews grants but can't write.
        """
        return (
            standing.confirmed_s is not None
            and standing.confirmed_s > _RELIEVE_S
            and self._is_store_up()
        )

    async def _take(self) -> None:
        lease = self._lease
        place = self._place(lease)
        delay_s = election.take_delay_s(place)
        if lease is None:
            delay_s += _BOOTSTRAP_S
        if await self._wait(delay_s) and self._lease is not lease:
            return
        if self._lease is not lease or not self._is_lost():
            return
        if (
            lease is not None
            and not self._is_relieving
            and await self._witnesses.hear(lease)
        ):
            self._failures = 0
            await asyncio.sleep(election.DEPUTY_REPORT_S)
            return
        mine = models.Lease(
            self._me.name,
            self._me.incarnation,
            (lease.epoch if lease else 0) + 1,
            0,
        )
        self._former = lease
        started_s = clock.boot_s()
        spec = objects.encode_lease(mine)
        found = (
            await self._client.create(
                objects.GATEWAY_KIND, objects.LEASE_NAME, spec
            )
            if lease is None
            else await self._client.replace(
                objects.GATEWAY_KIND, objects.LEASE_NAME, spec, lease.revision
            )
        )
        match found:
            case result.Ok(stored):
                self._confirmed_s = started_s
                self.see_lease(
                    dataclasses.replace(mine, revision=stored.revision)
                )
            case result.Err(exceptions.Conflict() as conflict):
                self._see_conflict(conflict)
                await asyncio.sleep(_TAKE_AGAIN_S)
            case result.Err(failure):
                self._failures = 0
                self._is_relieving = False
                self._metrics.count("lease.not_taken")
                _LOGGER.warning("lease not taken", extra={"failure": failure})
                await asyncio.sleep(_TAKE_AGAIN_S)

    async def _begin(self) -> None:
        """Starts to act under a lease that was just taken."""
        mine, former = self._lease, self._former
        if mine is None:
            return
        self._acting_epoch = mine.epoch
        acts_until_s = clock.boot_s()
        if former is not None:
            acts_until_s += grant_expiry.AUTHORITY_S
        self._on_take(mine, acts_until_s)
        has_ended = former is None or await self._witnesses.have_all_ended(mine)
        if has_ended and self._lease is mine:
            self._on_former_ended()
        _LOGGER.info(
            "lease taken",
            extra={
                "epoch": mine.epoch,
                "former": former.holder if former else None,
                "former_have_ended": has_ended,
            },
        )

    def _see_conflict(self, conflict: exceptions.Conflict) -> None:
        stored = store.decode_conflict(conflict)
        if stored is None:
            return
        match objects.decode_gateway_object(stored):
            case result.Ok(models.Lease() as lease):
                self.see_lease(lease)
            case _:
                self._metrics.count("lease.undecodable")

    def _place(self, lease: models.Lease | None) -> int:
        holder = lease.holder if lease else ""
        return election.rank(
            self._me, self._vms, holder, lease.epoch if lease else 0
        )

    async def _wait(self, limit_s: float | None) -> bool:
        """Waits for a change; returns whether there was one in time."""
        self._changed.clear()
        try:
            async with asyncio.timeout(limit_s):
                await self._changed.wait()
        except TimeoutError:
            return False
        return True
