"""Replays a trace through the decision code on virtual time."""

from collections.abc import Generator
import dataclasses
import random
import typing
from typing import Any

import simpy

from berylweir.keeper.assignment import decisions as assignment
from berylweir.keeper.authority import models as authority
from berylweir.objects import schemas as objects
from berylweir.replay import deployments
from berylweir.replay import direct_routers
from berylweir.replay import generator
from berylweir.replay import keepers
from berylweir.replay import messages
from berylweir.replay import models
from berylweir.replay import platform
from berylweir.replay import routers
from berylweir.replay import schemas
from berylweir.replay import servers
from berylweir.replay import simulation
from berylweir.replay import zone_operator

# Actor that applies network partitions; no network delay applies to it.
_FAULT_INJECTOR = "faults"
_SAMPLE_INTERVAL_S = 0.1
# A server that sheds all work crashes this long before its restart.
_SHED_RESTART_S = 0.1
# Time after the last deadline in which pending messages are delivered.
_DRAIN_S = 1.0
# Direct routers learn of a change after a uniformly distributed delay.
_LOSS_DETECTION_RANGE_S = (0.35, 0.6)
_RECOVERY_DETECTION_RANGE_S = (0.0, 0.25)
_CONFIG_UPDATE_RANGE_S = (0.0, 1.0)


def build_config(
    deployment: deployments.Deployment, spare_capacity: models.SpareCapacity
) -> messages.Config:
    """Returns the initial configuration, with the spare servers added.

    Each group has as many spare servers as it has servers in its largest zone.
    """
    backend_servers: list[objects.BackendServer] = []
    for group in deployment.groups:
        name = group.server_group.name
        backend_servers += [
            _build_server(name, i, deployments.zone_of(i))
            for i in range(group.server_count)
        ]
        largest_zone_size = -(-group.server_count // len(deployments.ZONES))
        spare_indexes = range(
            group.server_count, group.server_count + largest_zone_size
        )
        match spare_capacity:
            case models.DedicatedFallback():
                backend_servers += [
                    _build_server(name, i, zone_operator.FALLBACK_ZONE)
                    for i in spare_indexes
                ]
            case models.SpreadSpareServers():
                backend_servers += [
                    _build_server(name, i, deployments.zone_of(i))
                    for i in spare_indexes
                ]
            case models.NoSpareCapacity() | models.ShedZoneTraffic():
                pass
            case _:
                typing.assert_never(spare_capacity)
    zones = {z: objects.AvailabilityZone(z) for z in deployments.ZONES}
    zones[zone_operator.FALLBACK_ZONE] = objects.AvailabilityZone(
        zone_operator.FALLBACK_ZONE, in_service=False
    )
    vms = {
        name: objects.Vm(name, deployments.zone_of(i), "127.0.0.1", 1, 2)
        for i, name in enumerate(deployment.vm_names())
    }
    return messages.Config(
        tuple(g.server_group for g in deployment.groups),
        tuple(backend_servers),
        zones,
        vms,
    )


def _build_server(group: str, index: int, zone: str) -> objects.BackendServer:
    return objects.BackendServer(
        f"{group}-{index}", group, zone, "127.0.0.1", 1
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneCutChanged:
    """The network partition of a zone starts or ends."""

    zone: str
    is_cut: bool


class Replay:
    """One replay of a trace under a policy; `run` may be called once."""

    def __init__(self, trace: schemas.Trace, policy: models.Policy) -> None:
        """Creates all actors.

        Args:
            trace: Trace to replay.
            policy: Policy of the routers and operators.
        """
        self._trace = trace
        self._policy = policy
        self._deployment = deployments.DEPLOYMENTS[trace.header.deployment]
        self._history = models.History(trace, generator.SETUP_S)
        self._sim = simulation.Simulation(
            self._deployment, self._history, trace.header.seed
        )
        no_spare_capacity = models.NoSpareCapacity()
        match policy:
            case models.HomeRouting(spare_capacity=spare_capacity):
                config = build_config(self._deployment, spare_capacity)
            case _:
                config = build_config(self._deployment, no_spare_capacity)
        self._config = config
        groups = {g.name: g for g in config.groups}
        self._servers = {
            s.name: servers.ServerActor(self._sim, s, groups[s.group])
            for s in config.servers
        }
        self._sim.register(_FAULT_INJECTOR, _FAULT_INJECTOR, self._set_zone_cut)
        self._routers: dict[str, routers.RouterActor] = {}
        self._direct_routers: dict[str, direct_routers.DirectRouterActor] = {}
        match policy:
            case models.HomeRouting():
                self._build_home_routers(policy)
            case models.Baseline() | models.PerVmLimit() | models.SlotCredits():
                self._build_direct_routers(policy)
            case _:
                typing.assert_never(policy)

    def run(self) -> models.History:
        """Replays the whole trace and returns what was recorded."""
        # The ingress chooses among homes with the module-level generator.
        random.seed(self._trace.header.seed)
        env = self._sim.env
        env.process(self._send_requests())
        env.process(self._sample_coverage())
        for fault in self._trace.header.faults:
            self._schedule_fault(fault)
        end_s = generator.SETUP_S + self._trace.header.duration_s
        self._history.end_s = end_s
        deadlines_ms = (r.deadline_ms for r in self._trace.requests)
        max_deadline_s = max(deadlines_ms, default=0) / 1000
        env.run(until=end_s + max_deadline_s + _DRAIN_S)
        for server in self._servers.values():
            server.close()
        return self._history

    def _build_home_routers(self, policy: models.HomeRouting) -> None:
        config = self._config
        platform.PlatformActor(self._sim, config)
        for vm in config.vms.values():
            self._routers[vm.name] = routers.RouterActor(
                self._sim, vm, config.groups
            )
        for vm in config.vms.values():
            keepers.KeeperActor(self._sim, vm, config, policy.safety)
        zone_operator.ZoneOperatorActor(
            self._sim,
            config,
            policy,
            self._deployment.lookup_group.server_group.name,
        )

    def _build_direct_routers(self, policy: models.DirectPolicy) -> None:
        config = self._config
        members = {
            vm.name: authority.Member(
                objects.Incarnation(vm.name, "1"), vm.availability_zone, 0.0
            )
            for vm in config.vms.values()
        }
        credit_vms: dict[str, str] = {}
        for group in config.groups:
            view = authority.ClusterView(
                group,
                tuple(s for s in config.servers if s.group == group.name),
                config.zones,
                members,
            )
            credit_vms |= assignment.choose_homes(
                {}, view, frozenset(), frozenset()
            )
        for vm in config.vms.values():
            self._direct_routers[vm.name] = direct_routers.DirectRouterActor(
                self._sim, vm, config, policy, credit_vms
            )

    # Traffic

    def _send_requests(self) -> Generator[simpy.Event, Any, None]:
        """Delivers each request of the trace to its entry VM at its time."""
        env = self._sim.env
        vms = self._deployment.vm_names()
        groups = {g.name: g for g in self._config.groups}
        for index, request in enumerate(self._trace.requests):
            sent_s = generator.SETUP_S + request.at_ms / 1000.0
            yield env.timeout(max(0.0, sent_s - env.now))
            client_delay_s = self._deployment.client_delay_s
            call = models.Call(
                index,
                request,
                servers.slice_of(request.key, groups[request.group]),
                sent_s,
                sent_s + client_delay_s + request.deadline_ms / 1000.0,
            )
            self._history.call_count += 1
            self._sim.deliver_after(
                client_delay_s,
                f"router.{vms[request.entry]}",
                messages.RequestArrived(call),
            )

    def _sample_coverage(self) -> Generator[simpy.Event, Any, None]:
        """Records the reachable slices, from each entry VM in turn."""
        env = self._sim.env
        vms = self._deployment.vm_names()
        group = self._deployment.lookup_group.server_group.name
        routing = self._deployment.lookup_group.server_group.routing
        slices = routing.slices if isinstance(routing, objects.Keyed) else 0
        yield env.timeout(generator.SETUP_S)
        sample_index = 0
        unserved_since_s: dict[int, float] = {}
        owners: dict[int, str | None] = {}
        while env.now < self._history.end_s:
            vm = vms[sample_index % len(vms)]
            sample_index += 1
            now = self._sim.now
            served = {i for i in range(slices) if self._is_served(vm, group, i)}
            self._history.coverage_samples.append(
                models.CoverageSample(now, len(served), slices)
            )
            for index in range(slices):
                if index not in served:
                    unserved_since_s.setdefault(index, now)
                elif index in unserved_since_s:
                    self._history.service_gaps_s.append(
                        now - unserved_since_s.pop(index)
                    )
            self._record_direct_moves(group, slices, owners)
            yield env.timeout(_SAMPLE_INTERVAL_S)
        self._history.service_gaps_s += [
            self._sim.now - s for s in unserved_since_s.values()
        ]

    def _record_direct_moves(
        self, group: str, slices: int, owners: dict[int, str | None]
    ) -> None:
        """Records moves by the hash ring of the first entry VM."""
        if not self._direct_routers:
            return
        first_router = next(iter(self._direct_routers.values()))
        for index in range(slices):
            owner = first_router.owner(group, index)
            if owners.setdefault(index, owner) != owner:
                owners[index] = owner
                self._history.move_times_s.append(self._sim.now)

    def _is_served(self, vm: str, group: str, slice_index: int) -> bool:
        """Returns whether a request at the VM would be accepted by a server."""
        sim = self._sim
        entry = f"router.{vm}"
        if vm in self._direct_routers:
            server = self._direct_routers[vm].owner(group, slice_index)
            return (
                server is not None
                and self._servers[server].is_up
                and sim.can_reach(entry, server)
            )
        owner_and_home = self._routers[vm].home_of(group, slice_index)
        if owner_and_home is None:
            return False
        owner, home = owner_and_home
        token = self._routers[home].token_of(group, owner, slice_index)
        return (
            token is not None
            and sim.can_reach(entry, f"router.{home}")
            and sim.can_reach(f"router.{home}", owner)
            and self._servers[owner].accepts(slice_index, token)
        )

    # Faults

    def _schedule_fault(self, fault: schemas.Fault) -> None:
        match fault:
            case schemas.ServerCrash():
                self._deliver_at(
                    self._crash_time_s(fault),
                    fault.server,
                    messages.CrashServer(),
                )
                self._schedule_detection(
                    fault.at_s, fault.server, False, _LOSS_DETECTION_RANGE_S
                )
                if fault.back_s is not None:
                    start = messages.StartServer(fault.cold_s)
                    self._deliver_at(fault.back_s, fault.server, start)
                    self._schedule_detection(
                        fault.back_s,
                        fault.server,
                        True,
                        _RECOVERY_DETECTION_RANGE_S,
                    )
            case schemas.ServerSlow():
                self._deliver_at(
                    fault.at_s, fault.server, messages.SetSlowdown(fault.factor)
                )
                self._deliver_at(
                    fault.until_s, fault.server, messages.SetSlowdown(1.0)
                )
            case schemas.ZoneService():
                self._schedule_zone_service(fault)
            case schemas.ZoneCut():
                self._schedule_zone_cut(fault)
            case schemas.PlatformDown():
                if self._routers:
                    down, up = (
                        messages.SetOutage(True),
                        messages.SetOutage(False),
                    )
                    self._deliver_at(fault.at_s, simulation.PLATFORM, down)
                    self._deliver_at(fault.until_s, simulation.PLATFORM, up)
            case _:
                typing.assert_never(fault)

    def _crash_time_s(self, fault: schemas.ServerCrash) -> float:
        """Returns when a server crashes.

        With `models.ShedZoneTraffic` a server that comes back keeps running
        and sheds; it crashes just before its restart.
        """
        match self._policy:
            case models.HomeRouting(
                spare_capacity=models.ShedZoneTraffic()
            ) if fault.back_s:
                return fault.back_s - _SHED_RESTART_S
            case _:
                return fault.at_s

    def _deliver_at(self, at_s: float, actor: str, message: Any) -> None:
        """Delivers a message at a time counted from the start of the trace."""
        delay_s = generator.SETUP_S + at_s - self._sim.now
        self._sim.deliver_after(delay_s, actor, message)

    def _schedule_detection(
        self,
        at_s: float,
        server: str,
        is_usable: bool,
        delay_range_s: tuple[float, float],
    ) -> None:
        """Notifies each direct router of a change after a random delay."""
        for vm in self._direct_routers:
            self._deliver_at(
                at_s + self._sim.rng.uniform(*delay_range_s),
                f"router.{vm}",
                messages.UsabilityChanged(server, is_usable),
            )

    def _schedule_zone_service(self, fault: schemas.ZoneService) -> None:
        if self._routers:
            change = zone_operator.ZoneServiceRequested(
                fault.zone, fault.in_service
            )
            self._deliver_at(fault.at_s, zone_operator.NAME, change)
        for server in self._config.servers:
            if server.availability_zone == fault.zone:
                self._schedule_detection(
                    fault.at_s,
                    server.name,
                    fault.in_service,
                    _CONFIG_UPDATE_RANGE_S,
                )

    def _set_zone_cut(self, message: ZoneCutChanged) -> None:
        self._sim.set_zone_cut(message.zone, is_cut=message.is_cut)

    def _schedule_zone_cut(self, fault: schemas.ZoneCut) -> None:
        """Schedules a network partition and its detection by routers."""
        sim = self._sim
        self._deliver_at(
            fault.at_s, _FAULT_INJECTOR, ZoneCutChanged(fault.zone, True)
        )
        self._deliver_at(
            fault.until_s, _FAULT_INJECTOR, ZoneCutChanged(fault.zone, False)
        )
        for server in self._config.servers:
            for vm in self._direct_routers:
                is_in_cut_zone = server.availability_zone == fault.zone
                vm_zone = self._config.vms[vm].availability_zone
                if is_in_cut_zone != (vm_zone == fault.zone):
                    for at_s, is_usable, delay_range_s in (
                        (fault.at_s, False, _LOSS_DETECTION_RANGE_S),
                        (fault.until_s, True, _RECOVERY_DETECTION_RANGE_S),
                    ):
                        self._deliver_at(
                            at_s + sim.rng.uniform(*delay_range_s),
                            f"router.{vm}",
                            messages.UsabilityChanged(server.name, is_usable),
                        )


def replay(trace: schemas.Trace, policy: models.Policy) -> models.History:
    """Replays a trace under a policy and returns what was recorded."""
    return Replay(trace, policy).run()
