"""Simulated operator who takes zones out of service and back."""

from collections.abc import Generator
import dataclasses
import typing
from typing import Any

import msgspec
import simpy

from berylweir.replay import messages
from berylweir.replay import models
from berylweir.replay import simulation

NAME = "zone-operator"
# Zone of the standby servers of `models.DedicatedFallback`.
FALLBACK_ZONE = "fallback"
_OPERATORS_ZONE = "operators"
# Limit of the steps of a gated return, which may alternate without end.
_MAX_STEPS = 40


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneServiceRequested:
    """The trace requires a zone in or out of service."""

    zone: str
    in_service: bool


class ZoneOperatorActor:
    """Owns the operators' configuration and sends it to the platform."""

    def __init__(
        self,
        sim: simulation.Simulation,
        config: messages.Config,
        policy: models.HomeRouting,
        lookup_group: str,
    ) -> None:
        """Creates an operator who has changed nothing.

        Args:
            sim: Simulation that delivers its messages.
            config: Initial configuration.
            policy: How zones return, and what serves in the meantime.
            lookup_group: Group whose latency decides a gated return.
        """
        self._sim = sim
        self._config = config
        self._policy = policy
        self._lookup_group = lookup_group
        self._reference_p99_s = 0.0
        self._taken_out_s = 0.0
        sim.register(NAME, _OPERATORS_ZONE, self.receive)

    def receive(self, message: ZoneServiceRequested) -> None:
        """Handles a message."""
        if message.in_service:
            self._bring_zone_back(message.zone)
        else:
            self._take_zone_out(message.zone)

    def _take_zone_out(self, zone: str) -> None:
        self._taken_out_s = self._sim.now
        match self._policy.spare_capacity:
            case models.ShedZoneTraffic():
                # The zone keeps its slices, and its servers shed until restart.
                for server in self._config.servers:
                    if server.availability_zone == zone:
                        self._sim.deliver_after(
                            0, server.name, messages.ShedAll()
                        )
                return
            case models.DedicatedFallback():
                self._set_zone_service(FALLBACK_ZONE, in_service=True)
            case models.NoSpareCapacity() | models.SpreadSpareServers():
                pass
            case _:
                typing.assert_never(self._policy.spare_capacity)
        self._set_zone_service(zone, in_service=False)
        self._publish()

    def _bring_zone_back(self, zone: str) -> None:
        match self._policy.spare_capacity:
            case models.ShedZoneTraffic():
                return
            case models.DedicatedFallback():
                self._set_zone_service(FALLBACK_ZONE, in_service=False)
            case models.NoSpareCapacity() | models.SpreadSpareServers():
                pass
            case _:
                typing.assert_never(self._policy.spare_capacity)
        match self._policy.zone_return:
            case models.ImmediateReturn():
                self._set_zone_service(zone, in_service=True)
                self._publish()
            case models.TimedSteps() as timed:
                self._apply_return_step(zone, 0, timed.step_count)
                self._sim.env.process(self._return_in_timed_steps(zone, timed))
            case models.GatedSteps() as gated:
                self._apply_return_step(zone, 0, gated.step_count)
                self._sim.env.process(self._return_in_gated_steps(zone, gated))
            case _:
                typing.assert_never(self._policy.zone_return)

    def _return_in_timed_steps(
        self, zone: str, timed: models.TimedSteps
    ) -> Generator[simpy.Event, Any, None]:
        for step in range(1, timed.step_count + 1):
            self._apply_return_step(zone, step, timed.step_count)
            yield self._sim.env.timeout(timed.interval_s)

    def _return_in_gated_steps(
        self, zone: str, gated: models.GatedSteps
    ) -> Generator[simpy.Event, Any, None]:
        # The reference is the 4 s before the zone was taken out of service.
        # Latency during the outage is no reference: the other servers carry
        # the zone's load, which the return is meant to end.
        reference_s = self._p99_s(self._taken_out_s - 4.0, self._taken_out_s)
        step = 1
        self._apply_return_step(zone, step, gated.step_count)
        for _ in range(_MAX_STEPS):
            window_start_s = self._sim.now
            yield self._sim.env.timeout(gated.window_s)
            is_within_limits = (
                self._p99_s(window_start_s, self._sim.now)
                <= reference_s * gated.max_latency_factor
                and self._refused_share(window_start_s)
                <= gated.max_refused_share
            )
            if is_within_limits and step == gated.step_count:
                return
            step = step + 1 if is_within_limits else max(1, step - 1)
            self._apply_return_step(zone, step, gated.step_count)

    def _p99_s(self, from_s: float, until_s: float) -> float:
        """Returns the 99th percentile latency of lookups in an interval."""
        latencies = sorted(
            o.ended_s - o.call.sent_s
            for o in self._sim.history.outcomes
            if from_s <= o.ended_s < until_s
            and o.call.request.group == self._lookup_group
            and isinstance(o.answer, models.Served)
        )
        return latencies[int(len(latencies) * 0.99)] if latencies else 0.0

    def _refused_share(self, from_s: float) -> float:
        """Returns the refused share of all requests that ended since then."""
        recent = [o for o in self._sim.history.outcomes if o.ended_s >= from_s]
        refused = sum(isinstance(o.answer, models.Refused) for o in recent)
        return refused / len(recent) if recent else 0.0

    def _set_zone_service(self, zone: str, *, in_service: bool) -> None:
        updated_zone = msgspec.structs.replace(
            self._config.zones[zone], in_service=in_service
        )
        self._config = dataclasses.replace(
            self._config, zones={**self._config.zones, zone: updated_zone}
        )

    def _apply_return_step(self, zone: str, step: int, step_count: int) -> None:
        """Puts the first `step` of `step_count` shares of the zone in service.

        The shares are per group. The other servers of the zone drain.
        """
        self._set_zone_service(zone, in_service=True)
        server_counts: dict[str, int] = {}
        for server in self._config.servers:
            if server.availability_zone == zone:
                server_counts[server.group] = (
                    server_counts.get(server.group, 0) + 1
                )
        next_indexes: dict[str, int] = {}
        updated_servers = []
        for server in self._config.servers:
            if server.availability_zone == zone:
                index = next_indexes.get(server.group, 0)
                next_indexes[server.group] = index + 1
                is_in_service = (
                    index * step_count < step * server_counts[server.group]
                )
                server = msgspec.structs.replace(
                    server, state="in_service" if is_in_service else "draining"
                )
            updated_servers.append(server)
        self._config = dataclasses.replace(
            self._config, servers=tuple(updated_servers)
        )
        self._publish()

    def _publish(self) -> None:
        """Sends the configuration; it reaches the platform after 5 ms."""
        self._sim.deliver_after(
            0.005, simulation.PLATFORM, messages.ReplaceConfig(self._config)
        )
