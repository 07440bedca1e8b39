"""Runs one soak: starts the deployment, injects faults and checks results."""

import asyncio
from collections.abc import Collection
from collections.abc import Sequence
import contextlib
import logging
import pathlib
import signal
import time
import typing

from berylweir.soak import callers
from berylweir.soak import checks
from berylweir.soak import deployment as deployments
from berylweir.soak import disruptions
from berylweir.soak import fault_classes
from berylweir.soak import fault_schedule
from berylweir.soak import gateways
from berylweir.soak import harmful_request
from berylweir.soak import isolation_checks
from berylweir.soak import live_checks
from berylweir.soak import long_bodies
from berylweir.soak import models
from berylweir.soak import odd_entries
from berylweir.soak import origins
from berylweir.soak import pipelining_callers
from berylweir.soak import pipelining_checks
from berylweir.soak import planned_series
from berylweir.soak import processor_waits
from berylweir.soak import proxy
from berylweir.soak import rollouts
from berylweir.soak import stalls
from berylweir.soak import statement_checks
from berylweir.soak import uneven_load
from berylweir.standin.gateway_platform import store as store_standin

_LOGGER = logging.getLogger(__name__)
DEFAULT_VMS = 3
_CALLERS_PER_GATEWAY = 4
_PIPELINING_CALLERS_PER_GATEWAY = 4
# Signals that end a process whose program hasn't installed a handler yet.
_TERMINATING_SIGNALS = (signal.SIGTERM, signal.SIGHUP)


class Soak:
    """Owns a small deployment and records violations of its guarantees.

    The store and the backend servers run in this process, and the gateways as
    processes of their own. The gateways reach the store and the servers
    through proxies that can inject faults.
    """

    def __init__(
        self,
        seed: int,
        seconds: float,
        directory: pathlib.Path,
        vms: int = DEFAULT_VMS,
        *,
        has_isolations: bool = False,
        checks_isolated: bool = False,
        has_harmful_request: bool = False,
        has_rollouts: bool = False,
        has_pipelining: bool = False,
        classes: Collection[models.FaultClass] = (),
        builds: Sequence[pathlib.Path] = (),
    ) -> None:
        """Creates a soak that has not started.

        Args:
            seed: Seed of the faults and requests; equal seeds give equal ones.
            seconds: Its length, in seconds.
            directory: Directory for the gateways' settings and logs.
            vms: Number of gateways.
            has_isolations: Whether gateways are cut off from all servers.
            checks_isolated: Whether it is a violation if isolated gateways
                serve too few requests.
            has_harmful_request: Whether a caller sends a request that ends each
                server that runs it.
            has_rollouts: Whether the build of the gateways is changed by
                rollouts only, instead of by each restart.
            has_pipelining: Whether callers pipeline requests, and planned work
                comes in series that overlap.
            classes: Classes of faults in addition to the usual ones.
            builds: Source trees of the builds that each gateway runs in turn;
                none for the build of this process.
        """
        self._builds = builds
        self._has_rollouts = has_rollouts
        self._has_pipelining = has_pipelining
        self._classes = classes
        self._has_long_bodies = models.FaultClass.LONG_BODIES in classes
        self._pipelining_result: pipelining_checks.Result | None = None
        self._vms = vms
        self._has_harmful_request = has_harmful_request
        self._has_isolations = has_isolations
        self._checks_isolated = checks_isolated
        self._isolations: list[models.Isolation] = []
        self._isolated_counts = isolation_checks.ServedCounts()
        self._seed = seed
        self._seconds = seconds
        self._directory = directory
        self._deployment = deployments.Deployment(
            self._find_vm,
            has_slow_group=has_pipelining,
            has_long_bodies=self._has_long_bodies,
        )
        self._stall_meter = stalls.StallMeter()
        self._live_checks = live_checks.LiveChecks(self._deployment)
        self._store_proxies: list[proxy.FaultProxy] = []
        self._gateways: list[gateways.Gateway] = []
        self._memory_check = long_bodies.MemoryCheck(self._gateways)
        self._wait_meter = processor_waits.WaitMeter(self._gateways)
        self._planned_stops: list[models.PlannedStop] = []
        self._killed_instances: set[tuple[int, int]] = set()
        self._disruptions: list[models.Disruption] = []
        # Those in which the process of a gateway didn't run.
        self._interruptions: list[models.Disruption] = []
        # Those of the store and the links to it.
        self._store_faults: list[models.Disruption] = []
        self._violations: list[str] = []
        self._started_s = time.monotonic()
        self._uneven_load = uneven_load.UnevenLoad((), (), 0.0, "")

    @property
    def moved_after_s(self) -> float | None:
        """Time until a busy key was moved, after `run`, in seconds."""
        return self._uneven_load.moved_after_s

    @property
    def isolated_counts(self) -> isolation_checks.ServedCounts:
        """Requests that isolated gateways have served, after `run`."""
        return self._isolated_counts

    @property
    def pipelining_result(self) -> pipelining_checks.Result | None:
        """Result of the checks on pipelined requests, after `run`."""
        return self._pipelining_result

    @property
    def ended_by_harmful(self) -> int:
        """Servers that ended under the request that crashes them."""
        return harmful_request.count_ended(self._deployment.servers)

    async def run(self) -> list[str]:
        """Runs the soak; returns a line for each violation of a guarantee."""
        async with contextlib.AsyncExitStack() as stack:
            await self._start_deployment(stack)
            self._started_s = time.monotonic()
            self._uneven_load = uneven_load.UnevenLoad(
                self._gateways,
                self._deployment.servers,
                self._started_s,
                f"{self._seed}/uneven-load",
            )
            request_callers = [
                callers.Caller(
                    f"c{gateway.vm}-{number}",
                    gateway,
                    self._started_s,
                    f"{self._seed}/{gateway.vm}/{number}",
                )
                for gateway in self._gateways
                for number in range(_CALLERS_PER_GATEWAY)
            ]
            pipelining = self._create_pipelining_callers()
            async with asyncio.TaskGroup() as group:
                check_tasks = [
                    group.create_task(self._live_checks.check_single_owner()),
                    group.create_task(self._deployment.copy_store()),
                    group.create_task(self._stall_meter.run()),
                    group.create_task(self._wait_meter.run()),
                ]
                for gateway in self._gateways:
                    check = self._live_checks.check_configuration_version(
                        gateway
                    )
                    check_tasks.append(group.create_task(check))
                harmful_caller = harmful_request.HarmfulCaller(
                    self._gateways, f"{self._seed}/harmful"
                )
                if self._has_long_bodies:
                    check_tasks.append(
                        group.create_task(self._memory_check.run())
                    )
                if self._has_harmful_request:
                    check_tasks.append(group.create_task(harmful_caller.run()))
                fault_task = group.create_task(self._disturb())
                await asyncio.gather(
                    *(c.run(self._seconds) for c in request_callers),
                    *(c.run(self._seconds) for c in pipelining),
                )
                await fault_task
                for check_task in check_tasks:
                    check_task.cancel()
            exchanges = [
                e
                for request_caller in (
                    *request_callers,
                    *self._uneven_load.callers,
                )
                for e in request_caller.exchanges
            ]
        answered_count = sum(e.status == 200 for e in exchanges)
        _LOGGER.info(
            "soak ended",
            extra={
                "seed": self._seed,
                "requests": len(exchanges),
                "answered": answered_count,
            },
        )
        self._isolated_counts = isolation_checks.count_served(
            exchanges, self._isolations, self._vms
        )
        if self._checks_isolated:
            self._violations += isolation_checks.find_violations(
                self._isolated_counts
            )
        if not answered_count:
            self._violations.append("no request was answered")
        if models.FaultClass.ODD_ENTRIES in self._classes:
            self._violations += odd_entries.find_violations(
                exchanges, self._disruptions, self._started_s
            )
        pipelined = [e.exchange for c in pipelining for e in c.exchanges]
        self._pipelining_result = self._check_pipelining(pipelining)
        return (
            self._violations
            + self._uneven_load.violations
            + self._memory_check.violations
            + self._pipelining_result.violations
            + self._live_checks.violations
            + checks.find_violations(
                exchanges + [e for e in pipelined if e.status is not None],
                self._deployment.servers,
                self._planned_stops,
                frozenset(self._killed_instances),
            )
            + statement_checks.find_violations(
                self._deployment.servers,
                {e.request_id: e.vm for e in exchanges + pipelined},
                self._disruptions,
            )
            + harmful_request.find_violations(
                self._deployment.servers,
                harmful_caller.vms,
                self._interruptions,
                self._store_faults,
            )
        )

    def _create_pipelining_callers(
        self,
    ) -> list[pipelining_callers.PipeliningCaller]:
        if not self._has_pipelining:
            return []
        return [
            pipelining_callers.PipeliningCaller(
                f"pipelining{gateway.vm}-{number}",
                gateway,
                self._started_s,
                f"{self._seed}/pipelining/{gateway.vm}/{number}",
            )
            for gateway in self._gateways
            for number in range(_PIPELINING_CALLERS_PER_GATEWAY)
        ]

    def _check_pipelining(
        self, pipelining: Sequence[pipelining_callers.PipeliningCaller]
    ) -> pipelining_checks.Result:
        """Checks the records of callers that pipeline requests."""
        return pipelining_checks.check(
            pipelining_checks.Records(
                self._started_s,
                [e for c in pipelining for e in c.exchanges],
                [close for c in pipelining for close in c.idle_closes],
                self._deployment.servers,
                unplanned_faults=[
                    f for g in self._gateways for f in g.unplanned_faults
                ],
                interruptions=self._interruptions,
                terminated_s={
                    (g.vm, instance): s
                    for g in self._gateways
                    for instance, s in g.terminated_s.items()
                },
                link_faults=self._deployment.link_faults,
                versions_in_force=self._live_checks.versions_in_force,
                idle_limits=self._deployment.idle_limits,
                stalls=self._stall_meter.stalls,
                processor_waits=self._wait_meter.waits,
                sent_to={
                    request_id: server
                    for gateway in self._gateways
                    for request_id, server in gateway.read_sent_to().items()
                },
            )
        )

    async def _start_deployment(self, stack: contextlib.AsyncExitStack) -> None:
        store_port = await self._deployment.start(stack)
        for vm in range(self._vms):
            store_proxy = proxy.FaultProxy(store_port)
            self._store_proxies.append(store_proxy)
            gateway = gateways.Gateway(
                vm,
                await store_proxy.listen(stack),
                self._directory,
                self._builds,
                long_bodies.MEMORY_LIMIT_MB if self._has_long_bodies else None,
            )
            self._gateways.append(gateway)
            if self._has_rollouts:
                gateway.select_build(0)
            await gateway.start(stack)

    def _find_vm(self, local_port: int, remote_port: int) -> int | None:
        """Returns the VM that has opened a connection to a server's proxy."""
        if not self._has_isolations:
            return None
        vms = {gateway.pid: gateway.vm for gateway in self._gateways}
        process_id = origins.find_process(local_port, remote_port, vms)
        return vms[process_id] if process_id is not None else None

    async def _disturb(self) -> None:
        """Injects the faults, and what is to be checked after the last one."""
        await self._inject_faults()
        if models.FaultClass.UNEVEN_LOAD in self._classes:
            await self._uneven_load.run(self._seconds)

    # Faults

    async def _inject_faults(self) -> None:
        schedule = fault_schedule.generate(
            self._seed,
            self._seconds,
            self._vms,
            deployments.FAULTY_SERVERS,
            has_isolations=self._has_isolations,
        )
        if self._has_rollouts:
            schedule += rollouts.generate(self._seed, self._seconds, self._vms)
        if self._has_pipelining:
            schedule += planned_series.generate(
                self._seed, self._seconds, self._vms
            )
        if self._classes:
            schedule = fault_classes.thin_out(self._seed, schedule)
        schedule += fault_classes.generate(
            self._seed,
            self._seconds,
            self._vms,
            deployments.FAULTY_SERVERS,
            self._classes,
        )
        schedule.sort(key=lambda scheduled: scheduled.start_s)
        if models.FaultClass.UNEVEN_LOAD in self._classes:
            last_s = self._seconds - uneven_load.QUIET_S
            schedule = [s for s in schedule if s.start_s < last_s]
        async with asyncio.TaskGroup() as group:
            for scheduled_fault in schedule:
                pause_s = (
                    self._started_s + scheduled_fault.start_s - time.monotonic()
                )
                await asyncio.sleep(max(0.0, pause_s))
                _LOGGER.info(
                    "fault", extra={"fault": repr(scheduled_fault.fault)}
                )
                group.create_task(self._apply_fault(scheduled_fault.fault))

    async def _apply_fault(self, fault: models.Fault) -> None:
        start_s = time.monotonic()
        affected = (
            (self._disruptions, disruptions.disrupted_vms(fault, self._vms)),
            (self._interruptions, disruptions.interrupted_vms(fault)),
            (
                self._store_faults,
                disruptions.vms_cut_from_store(fault, self._vms),
            ),
        )
        for records, vms in affected:
            records += [
                models.Disruption(vm, start_s, float("inf")) for vm in vms
            ]
        await self._run_fault(fault)
        end_s = time.monotonic()
        for records, vms in affected:
            for vm in vms:
                records.append(models.Disruption(vm, start_s, end_s))
                records.remove(models.Disruption(vm, start_s, float("inf")))

    async def _run_fault(self, fault: models.Fault) -> None:
        match fault:
            case models.Kill(vm, downtime_s):
                gateway = self._gateways[vm]
                self._killed_instances.add((vm, gateway.instance))
                await gateway.kill_and_restart(downtime_s)
                # Another fault of the VM may have restarted the gateway while
                # this one waited, so the killed instance is the last but one.
                self._killed_instances.add((vm, gateway.instance - 1))
            case (
                models.Stop()
                | models.SignalStopping()
                | models.Reload()
                | models.Rollout()
                | models.Reconfigure()
                | models.ChangeConfiguration()
            ):
                await self._do_planned_work(fault)
            case models.Freeze(vm, duration_s):
                await self._gateways[vm].freeze(duration_s)
            case models.StoreLinkFault(vm, link_fault, duration_s):
                proxies = self._store_proxies
                await asyncio.gather(
                    *(
                        store_proxy.inject(link_fault, duration_s)
                        for number, store_proxy in enumerate(proxies)
                        if vm is None or vm == number
                    )
                )
            case models.ServerLinkFault(server, link_fault, duration_s):
                await self._deployment.server_proxies[server].inject(
                    link_fault, duration_s
                )
            case models.Isolate():
                await self._isolate(fault)
            case models.LateWrites(count):
                self._deployment.store.next_faults += count * [
                    store_standin.Fault.APPLY_LATE
                ]
                await asyncio.sleep(1.0)
                await self._deployment.store.apply_late_writes()
            case models.Deregister(server, duration_s):
                name = f"s{server}"
                if self._deployment.store.get("servers", name) is not None:
                    await self._deployment.store.remove("servers", name)
                    await asyncio.sleep(duration_s)
                    await self._deployment.register_server(server)
            case (
                models.LimitServer()
                | models.PauseServer()
                | models.ReplaceServer()
            ):
                await self._deployment.make_statement(fault)
            case models.RestoreStore(age_s, away_s):
                await self._deployment.restore_store(age_s, away_s)
            case (
                models.RestoreUnderFrozenHolder()
                | models.CopyAnswers()
                | models.WriteOddEntries()
                | models.LongBodies()
            ):
                await self._run_class_fault(fault)
            case _:
                typing.assert_never(fault)

    async def _run_class_fault(self, fault: models.ClassFault) -> None:
        match fault:
            case models.CopyAnswers():
                await self._deployment.copy_answers(fault)
            case models.WriteOddEntries(vm):
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._deployment.write_odd_entries(fault))
                    await self._apply_fault(models.Kill(vm, 0.0))
            case models.LongBodies(vm):
                await long_bodies.send(self._gateways[vm], fault)
            case models.RestoreUnderFrozenHolder():
                await self._restore_under_frozen_holder(fault)
            case _:
                typing.assert_never(fault)

    async def _do_planned_work(
        self,
        work: models.Stop
        | models.SignalStopping
        | models.Reload
        | models.Rollout
        | models.Reconfigure
        | models.ChangeConfiguration,
    ) -> None:
        match work:
            case models.Stop(vm):
                await self._stop_gateway(self._gateways[vm])
            case models.SignalStopping(vm, planned_signal):
                await self._signal_stopping(self._gateways[vm], planned_signal)
            case models.Reload(vm):
                await self._gateways[vm].reload_settings()
            case models.Rollout():
                await self._roll_out(work)
            case models.Reconfigure():
                await self._deployment.write_configuration()
            case models.ChangeConfiguration():
                await self._deployment.change_configuration(work)

    async def _roll_out(self, rollout: models.Rollout) -> None:
        """Replaces the build of gateways one after the other."""
        holder = self._deployment.lease_holder
        async with asyncio.TaskGroup() as group:
            if rollout.freeze_s > 0.0 and holder is not None:
                freeze = models.Freeze(holder, rollout.freeze_s)
                group.create_task(self._apply_fault(freeze))
            for vm in rollouts.sort_vms(rollout, holder):
                self._gateways[vm].select_build(rollout.build)
                await self._apply_fault(models.Stop(vm))
                await asyncio.sleep(rollout.pause_s)

    async def _restore_under_frozen_holder(
        self, fault: models.RestoreUnderFrozenHolder
    ) -> None:
        """Restores the store right before its frozen lease holder continues."""
        away_s = fault.restoration.away_s
        frozen_away_s = fault.freeze_s - fault.thaw_delay_s - away_s
        async with asyncio.TaskGroup() as group:
            # The server is back while the successor can still write.
            departure = models.Deregister(
                fault.server, fault.lead_s + frozen_away_s / 2.0
            )
            group.create_task(self._apply_fault(departure))
            await asyncio.sleep(fault.lead_s)
            holder = self._deployment.lease_holder
            if holder is None:
                return
            freeze = models.Freeze(holder, fault.freeze_s)
            group.create_task(self._apply_fault(freeze))
            await asyncio.sleep(frozen_away_s)
            await self._apply_fault(fault.restoration)

    async def _isolate(self, fault: models.Isolate) -> None:
        """Cuts gateways off from all servers for some time."""
        start_s = time.monotonic() - self._started_s
        await asyncio.gather(
            *(
                server_proxy.inject(
                    fault.link_fault, fault.duration_s, fault.vms
                )
                for server_proxy in self._deployment.server_proxies
            )
        )
        end_s = time.monotonic() - self._started_s
        self._isolations += [
            models.Isolation(vm, start_s, end_s) for vm in fault.vms
        ]

    async def _signal_stopping(
        self, gateway: gateways.Gateway, planned_signal: models.PlannedSignal
    ) -> None:
        match planned_signal:
            case models.PlannedSignal.TERMINATE:
                if not gateway.signal_while_stopping(signal.SIGTERM):
                    await self._stop_gateway(gateway)
            case models.PlannedSignal.RELOAD:
                if not gateway.signal_while_stopping(signal.SIGHUP):
                    await gateway.reload_settings()
            case _:
                typing.assert_never(planned_signal)

    async def _stop_gateway(self, gateway: gateways.Gateway) -> None:
        instance = gateway.instance
        status, signalled_s = await gateway.stop_and_restart()
        stop = models.PlannedStop(
            gateway.vm, instance, signalled_s - self._started_s
        )
        if gateway.instance != stop.instance + 1:
            return  # Another fault ended that instance first.
        if status == 0:
            self._planned_stops.append(stop)
        elif (
            -status in _TERMINATING_SIGNALS
            and gateway.newest_answering_instance < stop.instance
        ):
            # The signal arrived while the interpreter was still starting, so
            # the program had no handler for it.
            pass
        elif (stop.vm, stop.instance) not in self._killed_instances:
            self._violations.append(f"vm-{stop.vm} ended with status {status}")
