"""Holds or monitors the lease, whose holder alone may move keys.

The lease is an object in the store that is written by conditional update, and
only when its holder changes.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import logging
import random
import typing

import result

from berylweir.gateway import clock
from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.gateway.ownership import election
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import holder_check
from berylweir.gateway.ownership import holder_monitor
from berylweir.gateway.ownership import lease_history
from berylweir.gateway.ownership import lease_store
from berylweir.gateway.ownership import succession
from berylweir.gateway.ownership import suspension
from berylweir.gateway.ownership import table_order
from berylweir.gateway.ownership import table_recovery
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.peers import task as peer_task
from berylweir.observability import counters
from berylweir.platform import store

_LOGGER = logging.getLogger(__name__)
# Time between two reads with which the holder confirms that it still has the
# lease, in seconds.
_CONFIRM_INTERVAL_S = 3.0
# Time between them while the reads fail, in seconds.
_CONFIRM_RETRY_S = 0.7
# Delay after a failed attempt to acquire the lease, in seconds.
_ACQUIRE_RETRY_S = 0.4
# Additional delay before the first lease is created, in seconds, so that the
# other gateways don't get the object with its holder's address after the lease.
_FIRST_LEASE_DELAY_S = 0.15
# Shortest time between two reports to the holder, in seconds, however urgent.
_MIN_REPORT_PAUSE_S = 0.2

CollectReport = Callable[[], Awaitable[peers.ReportUsage]]


class LeaseManager:
    """Holds the lease, or monitors its holder and takes over when it is lost.

    A gateway that isn't the holder sends it reports at an interval. If some in
    a row fail, the gateway asks others whether the holder responds to them,
    and takes the lease if not.
    """

    def __init__(
        self,
        local_vm: models.Vm,
        client: store.StoreClient,
        peer_client: peer_task.PeerClient,
        metrics: counters.Counters,
        *,
        collect_report: CollectReport,
        on_acquired: Callable[[models.Lease, float], None],
        on_predecessors_stopped: Callable[[], None],
        is_recovery_due: Callable[[int], bool],
        get_acted_epoch: Callable[[], int],
        get_table_orders: Callable[[], table_order.Orders],
        on_newer_tables: Callable[[models.Vm], Awaitable[None]],
        on_lost: Callable[[], None],
        on_authority_confirmed: Callable[[], None],
        on_holder_status: Callable[[peers.GatewayStatus], None],
        is_store_up: Callable[[], bool],
        is_isolated: Callable[[], bool] = lambda: False,
    ) -> None:
        """Creates a manager that hasn't read the lease yet.

        Args:
            local_vm: VM of this gateway.
            client: Client of the store that nothing else uses.
            peer_client: Client for requests to other gateways.
            metrics: Counters.
            collect_report: Returns this VM's report for the holder.
            on_acquired: Called when this gateway has taken the lease, with the
                time on the boot clock, in seconds, until which an earlier
                holder may still grant keys.
            on_predecessors_stopped: Called when all earlier holders have
                certainly stopped granting keys.
            is_recovery_due: Returns whether the newest key tables must be got
                from the other gateways before this one acts in an epoch.
            get_acted_epoch: Returns the lowest epoch under which a known key
                table was written; 0 if none is known.
            get_table_orders: Returns the order of each known key table,
                by name.
            on_newer_tables: Called then with a gateway that has newer key
                tables than this one.
            on_lost: Called when this gateway no longer holds the lease.
            on_authority_confirmed: Called when it may act again after a time
                without confirmation of its lease.
            on_holder_status: Called with the status in each response of the
                holder.
            is_store_up: Returns whether the store answers this VM or a gateway
                that it follows.
            is_isolated: Returns whether this VM reaches no backend server.
        """
        self._local_vm = local_vm
        self._store = lease_store.LeaseStore(client, metrics)
        self._peer_client = peer_client
        self._holder_check = holder_check.HolderCheck(local_vm, peer_client)
        self._history = lease_history.LeaseHistory(local_vm)
        self._table_recovery = table_recovery.TableRecovery(
            local_vm,
            self._holder_check,
            self._history,
            is_due=is_recovery_due,
            get_acted_epoch=get_acted_epoch,
            get_table_orders=get_table_orders,
            on_newer_tables=on_newer_tables,
        )
        self._metrics = metrics
        self._collect_report = collect_report
        self._on_acquired = on_acquired
        self._on_predecessors_stopped = on_predecessors_stopped
        self._on_lost = on_lost
        self._on_authority_confirmed = on_authority_confirmed
        self._lease: models.Lease | None = None
        self._has_read_lease = False
        self._succession = succession.Succession(local_vm, is_isolated)
        # When this gateway last read or wrote itself as the holder. This and
        # the other times are on the boot clock, in seconds.
        self._confirmed_s = float("-inf")
        # When this gateway learned that it has its newest own lease.
        self._acquired_s = float("-inf")
        self._holder = holder_monitor.HolderMonitor()
        self._state_changed = asyncio.Event()
        self._suspension = suspension.SuspensionMonitor(self._state_changed.set)
        self._report_requested = asyncio.Event()
        self._is_resigning = False
        # A lease that was given up but not yet released, and the VM to which
        # it is offered.
        self._handed_over: tuple[models.Lease, models.Vm | None] | None = None
        self._is_store_up = is_store_up
        self._previous_lease: models.Lease | None = None
        self._on_holder_status = on_holder_status
        # Epoch of its own for which this gateway has started to act.
        self._acting_epoch = 0
        # When this gateway last stopped acting in an epoch that it holds.
        self._suspended_s = float("-inf")
        # Last epoch to whose holder this gateway has started to report.
        self._reported_epoch = 0
        client.subscribe(self._on_store_restored)

    @property
    def epoch(self) -> int:
        """Highest epoch of the lease that this gateway knows; 0 if none."""
        return self._lease.epoch if self._lease else 0

    @property
    def is_holder(self) -> bool:
        """Whether this gateway holds the newest lease that it knows."""
        return self._is_own(self._lease)

    @property
    def may_act(self) -> bool:
        """Whether this gateway may grant and move keys now.

        It may for `AUTHORITY_S` after it last read itself as the holder, unless
        it was suspended since: a server that has started again meanwhile would
        take its outdated grants. A later holder takes into account that it
        grants keys until then.
        """
        return (
            self.is_holder
            and self._acting_epoch == self.epoch
            and clock.boot_s() - self._confirmed_s < grant_expiry.AUTHORITY_S
            and self._suspension.was_running_since(self._confirmed_s)
        )

    def status(self, orders: table_order.Orders) -> peers.GatewayStatus:
        """Returns this gateway's status for a response to another one.

        Args:
            orders: Order of each known key table, by name.
        """
        now_s = clock.boot_s()
        heard_age_s = now_s - self._holder.responded_s
        generation_age_s = now_s - self._history.generation_known_s
        return peers.GatewayStatus(
            self._local_vm.incarnation,
            self.epoch,
            self.is_holder
            and now_s - self._confirmed_s < grant_expiry.AUTHORITY_S,
            heard_age_s if heard_age_s < float("inf") else None,
            now_s - self._confirmed_s if self.is_holder else None,
            table_order.revisions(orders),
            peers.encode_former_leases(self._history.former),
            self._history.generation,
            generation_age_s if self._history.generation else None,
            table_order.epochs(orders),
        )

    def report_soon(self) -> None:
        """Has the next report to the holder made at once."""
        self._report_requested.set()

    def update_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Replaces the registered gateways.

        Args:
            vms: All of them by the name of their VM.
        """
        self._succession.update_vms(vms)
        self._holder_check.update_vms(vms)
        self._state_changed.set()

    def update_lease(self, lease: models.Lease | None) -> None:
        """Applies the lease as read from the store; an older one is ignored.

        Args:
            lease: The lease; None if none was ever written.
        """
        self._has_read_lease = True
        if lease is not None:
            self._history.record_lease(lease, clock.boot_s())
        current = self._lease
        if lease is not None and (
            current is None or lease.order > current.order
        ):
            was_holder = self.is_holder
            self._lease = lease
            if self._is_own(lease):
                self._acquired_s = clock.boot_s()
            self._holder.record_lease_change(clock.boot_s())
            _LOGGER.info(
                "lease changed",
                extra={
                    "holder": lease.holder,
                    "epoch": lease.epoch,
                    "revision": lease.revision,
                },
            )
            if was_holder and not self.is_holder:
                self._on_lost()
        elif (
            lease is not None
            and current is not None
            and lease.revision > current.revision
        ):
            # The restored store has an older lease. The next write replaces it.
            self._lease = dataclasses.replace(current, revision=lease.revision)
        self._state_changed.set()

    def handle_newer_epoch(
        self, epoch: int, holder: str = "", incarnation: str = ""
    ) -> None:
        """Gives up a lease that another gateway has superseded.

        Args:
            epoch: Epoch that the other gateway announced. One that isn't
                higher than the known epoch is ignored.
            holder: Name of the VM of the new holder, if it is known.
            incarnation: Id of the run of its gateway.
        """
        self._history.record_announcement(
            holder, incarnation, epoch, clock.boot_s()
        )
        if self._lease is not None and epoch > self._lease.epoch:
            was_holder = self.is_holder
            self._lease = models.Lease("", "", epoch, self._lease.revision)
            if was_holder:
                self._on_lost()

    def restart_epoch(self) -> None:
        """Has this gateway start its epoch again, if it acts in one.

        It counts among the earlier holders then, as it no longer knows when the
        grants that it sent expire.
        """
        if self._acting_epoch > 0:
            self._acting_epoch = 0
            self._suspended_s = clock.boot_s()

    async def run(self) -> None:
        """Confirms, monitors or acquires the lease until it is cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            watching = asyncio.create_task(self._suspension.run())
            stack.callback(watching.cancel)
            await self._maintain_lease()

    async def _maintain_lease(self) -> typing.NoReturn:
        while True:
            if not self._has_read_lease or self._is_resigning:
                await self._wait_for_change(None)
            elif self._handed_over is not None:
                lease, successor = self._handed_over
                self._handed_over = None
                await self._release_handed_over(lease, successor)
            elif self.is_holder and self._is_of_earlier_generation():
                await self._write_own_lease()
            elif self.is_holder and self._acting_epoch != self.epoch:
                await self._start_epoch()
            elif self.is_holder:
                await self._confirm_lease()
            elif self._is_holder_lost():
                await self._acquire_lease()
            else:
                await self._report_to_holder()

    async def resign(self) -> None:
        """Releases the lease so that another gateway can take it at once."""
        self._is_resigning = True
        lease = self._lease
        if lease is None or not self.is_holder:
            return
        self._on_lost()
        await self._release(lease)

    def hand_over(self, vms: Sequence[str]) -> None:
        """Gives up the lease at once, and has it released and offered.

        Args:
            vms: VMs whose gateways can hold it, the preferred ones first.
        """
        lease = self._lease
        if lease is None or not self.is_holder:
            return
        self._succession.record_hand_over(clock.boot_s())
        self._lease = dataclasses.replace(lease, holder="", incarnation="")
        self._handed_over = lease, self._succession.first_registered(vms)
        self._on_lost()
        self._state_changed.set()

    async def _release_handed_over(
        self, lease: models.Lease, successor: models.Vm | None
    ) -> None:
        """Writes that a lease that was given up has no holder, and offers it.

        Args:
            lease: The lease.
            successor: VM of the gateway that gets the offer, if any.
        """
        match await self._release(lease):
            case lease_store.Written(released):
                self.update_lease(released)
                if successor is not None:
                    await self._peer_client.ask(
                        successor,
                        peers.OfferLease(released.epoch, released.revision),
                    )
            case lease_store.Superseded(stored):
                if stored is not None:
                    self.update_lease(stored)
            case lease_store.NotWritten():
                # The other gateways take the lease once it isn't confirmed.
                self._metrics.count("lease.not_released")

    def accept_offer(self, epoch: int, revision: int) -> None:
        """Has a lease taken that its holder released and offered.

        Args:
            epoch: Epoch of the released lease.
            revision: Revision of the store at which it was released.
        """
        if self._is_resigning or not self._succession.reaches_servers(
            clock.boot_s()
        ):
            return
        self._succession.record_offer(revision)
        self.update_lease(models.Lease("", "", epoch, revision))
        self.report_soon()

    async def _release(self, lease: models.Lease) -> lease_store.WriteOutcome:
        """Writes that a lease has no holder."""
        outcome = await self._store.release(lease)
        _LOGGER.info(
            "lease resigned", extra={"outcome": type(outcome).__name__}
        )
        return outcome

    def _is_own(self, lease: models.Lease | None) -> bool:
        return (
            lease is not None
            and lease.holder == self._local_vm.name
            and lease.incarnation == self._local_vm.incarnation
        )

    def _is_of_earlier_generation(self) -> bool:
        """Returns whether the store was restored since the lease was taken.

        The store may have lost a later lease then, so that the lease must be
        taken again.
        """
        return revisions.epoch_generation(self.epoch) < self._store.generation

    def _on_store_restored(self) -> None:
        self._history.record_generation(self._store.generation, clock.boot_s())
        self._state_changed.set()

    def _is_holder_lost(self) -> bool:
        """Returns whether the lease is free or its holder considered lost."""
        lease = self._lease
        if lease is None or not lease.holder:
            return True
        holder = self._succession.vms.get(lease.holder)
        is_other_run = (
            holder is not None and holder.incarnation != lease.incarnation
        )
        return is_other_run or self._holder.is_lost

    async def _confirm_lease(self) -> None:
        """Confirms that this gateway still holds the lease, then waits."""
        is_read = await self._read_own_lease()
        if not is_read or not self._suspension.was_running_since(
            self._confirmed_s
        ):
            await asyncio.sleep(_CONFIRM_RETRY_S)
        elif self.is_holder:
            await self._wait_for_change(_CONFIRM_INTERVAL_S)

    async def _read_own_lease(self) -> bool:
        """Reads the lease, which confirms it if it is still this gateway's.

        The confirmation counts from before the read, as the lease may have
        changed since the store handled it.

        Returns:
            Whether the store answered.
        """
        read_started_s = clock.boot_s()
        match await self._store.read():
            case result.Ok(lease):
                if lease is not None:
                    self.update_lease(lease)
                    if (
                        self._is_own(lease)
                        and not self._is_of_earlier_generation()
                    ):
                        self._record_confirmation(lease, read_started_s)
                return True
            case result.Err(failure):
                self._metrics.count("lease.unconfirmed")
                _LOGGER.warning(
                    "lease not confirmed",
                    extra={
                        "failure": failure,
                        "age_s": round(read_started_s - self._confirmed_s, 2),
                    },
                )
        return False

    def _record_confirmation(
        self, lease: models.Lease, read_started_s: float
    ) -> None:
        could_act = self.may_act
        self._confirmed_s = read_started_s
        self._history.record_evidence(lease.epoch, read_started_s)
        if self.may_act and not could_act:
            self._on_authority_confirmed()

    async def _report_to_holder(self) -> None:
        """Sends the holder a report and checks that it responds as such."""
        lease = self._lease
        if lease is None:
            return
        rank = self._succession.rank(lease)
        interval_s = election.report_interval_s(rank, len(self._succession.vms))
        if self._reported_epoch != lease.epoch:
            self._reported_epoch = lease.epoch
            if rank >= election.DEPUTY_COUNT:
                # Spreads the first reports to a new holder, which is busy.
                await self._wait_for_change(random.uniform(0.0, interval_s))
                return
        holder = self._succession.vms.get(lease.holder)
        if holder is None:
            # The object with the holder's address may be read after the lease.
            self._holder.record_no_address()
            await self._wait_for_change(interval_s)
            return
        report = await self._collect_report()
        reply = await self._peer_client.ask(holder, report)
        if self._lease is not lease:
            return
        match reply:
            case result.Ok(peers.GatewayStatus() as status) if status.is_holder:
                now_s = clock.boot_s()
                self._holder.record_holder(
                    status, now_s, is_store_up=self._is_store_up()
                )
                self._history.record_evidence(status.epoch, now_s)
                self._on_holder_status(status)
            case result.Ok(_):
                # The gateway was restarted, or it was the holder but hasn't
                # confirmed the lease within `AUTHORITY_S`.
                self._holder.record_other_gateway()
            case result.Err(failure):
                self._holder.record_no_response(clock.boot_s())
                _LOGGER.warning(
                    "holder silent",
                    extra={
                        "holder": lease.holder,
                        "epoch": lease.epoch,
                        "failures": self._holder.failed_reports,
                        "failure": failure,
                    },
                )
        if self._holder.failed_reports == 0:
            await self._wait_for_next_report(interval_s)

    async def _wait_for_next_report(self, interval_s: float) -> None:
        """Waits for the interval, or less if a report is urgent."""
        await asyncio.sleep(min(interval_s, _MIN_REPORT_PAUSE_S))
        try:
            async with asyncio.timeout(interval_s - _MIN_REPORT_PAUSE_S):
                await self._report_requested.wait()
        except TimeoutError:
            pass  # The report is due.
        self._report_requested.clear()

    async def _acquire_lease(self) -> None:
        """Takes the lease, unless it changes first or its holder seems alive.

        The later a gateway comes in the order of succession, the longer it
        waits, so that gateways rarely compete.
        """
        lease = self._lease
        delay_s = self._succession.takeover_delay_s(lease, clock.boot_s())
        if lease is None:
            delay_s += _FIRST_LEASE_DELAY_S
        take_over_s = clock.boot_s() + delay_s
        while (
            self._lease is lease
            and (remaining_s := take_over_s - clock.boot_s()) > 0.0
        ):
            await self._wait_for_change(remaining_s)
        if self._lease is not lease or not self._is_holder_lost():
            return
        if (
            lease is not None
            and not self._holder.is_replacing
            and await self._holder_check.should_defer_takeover(lease)
        ):
            self._holder.record_deferral()
            await asyncio.sleep(election.DEPUTY_REPORT_INTERVAL_S)
            return
        await self._write_own_lease()

    async def _write_own_lease(self) -> None:
        """Writes a new lease of this gateway over the one that it knows."""
        lease = self._lease
        new_lease = models.Lease(
            self._local_vm.name,
            self._local_vm.incarnation,
            revisions.next_epoch(
                lease.epoch if lease else 0, self._store.generation
            ),
            0,
        )
        self._previous_lease = lease
        write_started_s = clock.boot_s()
        match await self._store.write(new_lease, lease):
            case lease_store.Written(written):
                self._confirmed_s = write_started_s
                self.update_lease(written)
            case lease_store.Superseded(stored):
                if stored is not None:
                    self.update_lease(stored)
                await asyncio.sleep(_ACQUIRE_RETRY_S)
            case lease_store.NotWritten(failure):
                self._holder.record_failed_takeover()
                self._metrics.count("lease.not_taken")
                _LOGGER.warning("lease not taken", extra={"failure": failure})
                await asyncio.sleep(
                    _ACQUIRE_RETRY_S * 2.0**self._holder.failed_takeovers
                )

    async def _start_epoch(self) -> None:
        """Starts acting under a lease that this gateway has just acquired."""
        own_lease, previous = self._lease, self._previous_lease
        if own_lease is None:
            return
        is_recovery_due = self._table_recovery.is_due(own_lease.epoch)
        if is_recovery_due and not await self._recover_tables(
            own_lease, previous
        ):
            return
        self._acting_epoch = own_lease.epoch
        # A restored store may have lost all leases.
        is_first = previous is None and not is_recovery_due
        # No earlier holder has confirmed its lease since.
        predecessors_stop_s = self._acquired_s
        if not is_first:
            predecessors_stop_s += grant_expiry.AUTHORITY_S
        self._on_acquired(
            own_lease, max(predecessors_stop_s, self._suspended_s)
        )
        have_resigned = is_first or await self._holder_check.ask_all_to_resign(
            own_lease
        )
        if have_resigned and self._lease is own_lease:
            self._on_predecessors_stopped()
        _LOGGER.info(
            "lease taken",
            extra={
                "epoch": own_lease.epoch,
                "former": previous.holder if previous else None,
                "former_have_ended": have_resigned,
            },
        )

    async def _recover_tables(
        self, own_lease: models.Lease, previous: models.Lease | None
    ) -> bool:
        """Gets the newest key tables, and confirms the lease meanwhile.

        Without confirmation another gateway would take the lease, and wait
        again.

        Returns:
            Whether this gateway still holds the lease.
        """
        async with contextlib.AsyncExitStack() as stack:
            recovery = asyncio.create_task(
                self._table_recovery.run(own_lease, previous)
            )
            stack.callback(recovery.cancel)
            recovery.add_done_callback(lambda _: self._state_changed.set())
            while (
                self._lease is own_lease
                and not self._is_of_earlier_generation()
            ):
                if recovery.done():
                    recovery.result()
                    return True
                due_s = self._confirmed_s + _CONFIRM_INTERVAL_S
                if clock.boot_s() < due_s:
                    await self._wait_for_change(due_s - clock.boot_s())
                elif not await self._read_own_lease():
                    await self._wait_for_change(_CONFIRM_RETRY_S)
        return False

    async def _wait_for_change(self, timeout_s: float | None) -> bool:
        """Waits for a change of the lease or of the registered gateways.

        Args:
            timeout_s: Longest time to wait, in seconds; None for no limit.

        Returns:
            Whether there was a change in time.
        """
        self._state_changed.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._state_changed.wait()
        except TimeoutError:
            return False
        return True
