"""Policies, calls and the recorded history of a replay.

All times are seconds of virtual time unless stated otherwise.
"""

import dataclasses

from berylweir.keeper.authority import models as authority
from berylweir.refusals import models as refusals
from berylweir.replay import schemas


@dataclasses.dataclass(frozen=True, slots=True)
class ImmediateReturn:
    """Puts all servers of a returning zone in service at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class TimedSteps:
    """Puts an equal share of the zone's servers in service per interval.

    Attributes:
        step_count: Number of shares.
        interval_s: Time between two steps.
    """

    step_count: int = 3
    interval_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class GatedSteps:
    """Puts the next share in service when latency and refusals are low.

    A step whose measurements exceed a limit is undone.

    Attributes:
        step_count: Number of shares.
        window_s: Time over which each step is measured.
        max_latency_factor: Limit of the lookups' 99th percentile latency, as
            a multiple of the one before the zone was taken out of service.
        max_refused_share: Limit of the refused share of all requests.
    """

    step_count: int = 3
    window_s: float = 1.0
    max_latency_factor: float = 1.2
    max_refused_share: float = 0.01


ZoneReturn = ImmediateReturn | TimedSteps | GatedSteps


@dataclasses.dataclass(frozen=True, slots=True)
class NoSpareCapacity:
    """The remaining servers carry the load of a zone out of service."""


@dataclasses.dataclass(frozen=True, slots=True)
class DedicatedFallback:
    """Standby servers serve only while a zone is out of service.

    Each group has as many of them as it has servers in its largest zone.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadSpareServers:
    """Extra servers, spread over all zones, serve at all times.

    Each group has as many of them as it has servers in its largest zone.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class ShedZoneTraffic:
    """The zone keeps its slices, and its servers shed all requests."""


SpareCapacity = (
    NoSpareCapacity | DedicatedFallback | SpreadSpareServers | ShedZoneTraffic
)


@dataclasses.dataclass(frozen=True, slots=True)
class HomeRouting:
    """Requests pass through the server's home VM, which enforces its slots.

    Attributes:
        zone_return: How a zone is put back in service.
        spare_capacity: What serves while a zone is out of service.
        safety: Safety rules of the keepers.
    """

    zone_return: ZoneReturn = ImmediateReturn()
    spare_capacity: SpareCapacity = NoSpareCapacity()
    safety: authority.SafetyRules = dataclasses.field(
        default_factory=authority.SafetyRules
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Baseline:
    """Consistent hashing with a limit that each entry VM applies by itself.

    An entry VM counts only its own requests against the slots of a server, so
    all VMs together can exceed them.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class PerVmLimit:
    """Each entry VM may use a fixed share of a server's slots, at least one.

    With more VMs than slots, all VMs together can exceed them.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class SlotCredits:
    """Each request in flight needs a credit, of which there is one per slot.

    One VM manages the credits of a server and grants them on request.
    """


DirectPolicy = Baseline | PerVmLimit | SlotCredits
Policy = HomeRouting | DirectPolicy


def policy_name(policy: Policy) -> str:
    """Returns the name of the policy in the results."""
    match policy:
        case Baseline():
            return "baseline"
        case PerVmLimit():
            return "per_vm_limit"
        case SlotCredits():
            return "credits"
        case HomeRouting(spare_capacity=DedicatedFallback()):
            return "dedicated_fallback"
        case HomeRouting(spare_capacity=SpreadSpareServers()):
            return "spread_spare"
        case HomeRouting(spare_capacity=ShedZoneTraffic()):
            return "shed_instead"
        case HomeRouting(zone_return=TimedSteps()):
            return "timed_steps"
        case HomeRouting(zone_return=GatedSteps()):
            return "gated_steps"
        case HomeRouting():
            return "home"


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A request that a caller has sent.

    Attributes:
        id: Index of the request in the trace.
        request: Request as the trace describes it.
        slice: Slice of its key, or None in an unkeyed group.
        sent_s: Time at which the caller sent it.
        deadline_s: Time by which the entry VM must answer.
    """

    id: int
    request: schemas.Request
    slice: int | None
    sent_s: float
    deadline_s: float

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may be executed more than once."""
        return not self.request.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """The caller received the complete response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The caller received a refusal."""

    refusal: refusals.Refusal


Answer = Served | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Answer to a call as the caller received it.

    Attributes:
        call: Call that was answered.
        answer: Response or refusal.
        ended_s: Time at which the answer reached the caller.
        hop_delay_s: Network delay between entry VMs, summed over attempts.
    """

    call: Call
    answer: Answer
    ended_s: float
    hop_delay_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Run:
    """One execution of a call on a backend server.

    Attributes:
        server: Name of the server.
        group: Name of its server group.
        call: Call that it executes.
        started_s: Start of the execution.
        ended_s: End of the execution; infinite while it runs.
        completed: Whether it finished, rather than being aborted.
    """

    server: str
    group: str
    call: Call
    started_s: float
    ended_s: float = float("inf")
    completed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Interval in which a server accepts requests for a slice.

    Attributes:
        server: Name of the server.
        group: Name of its server group.
        slice: Index of the slice.
        from_s: Start of the interval.
        until_s: End of the interval, exclusive.
    """

    server: str
    group: str
    slice: int
    from_s: float
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Requests in flight at a server, valid until its next sample.

    Attributes:
        server: Name of the server.
        at_s: Time of the change.
        in_flight: Requests that the server executes.
        slots: Requests that it may execute at a time.
    """

    server: str
    at_s: float
    in_flight: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class CoverageSample:
    """Slices of the lookup group that were reachable at one time.

    Attributes:
        at_s: Time of the sample.
        served: Slices whose requests would reach a server.
        slices: All slices of the group.
    """

    at_s: float
    served: int
    slices: int


@dataclasses.dataclass(slots=True)
class History:
    """Everything that a replay has recorded.

    Attributes:
        trace: Trace that is replayed.
        begin_s: Virtual time at which the trace starts.
        end_s: Virtual time at which the trace ends.
        call_count: Number of calls that callers have sent.
        outcomes: Answers that callers received.
        runs: Executions on the servers.
        attempt_count: Number of requests that reached a running server,
            shed ones included.
        ownerships: Intervals in which a server accepted a slice.
        load_samples: Requests in flight, one sample per change.
        coverage_samples: Reachable slices at regular intervals.
        move_times_s: Times at which a slice changed its owner.
        service_gaps_s: Durations for which a slice was not reachable.
    """

    trace: schemas.Trace
    begin_s: float = 0.0
    end_s: float = 0.0
    call_count: int = 0
    outcomes: list[Outcome] = dataclasses.field(default_factory=list)
    runs: list[Run] = dataclasses.field(default_factory=list)
    attempt_count: int = 0
    ownerships: list[Ownership] = dataclasses.field(default_factory=list)
    load_samples: list[LoadSample] = dataclasses.field(default_factory=list)
    coverage_samples: list[CoverageSample] = dataclasses.field(
        default_factory=list
    )
    move_times_s: list[float] = dataclasses.field(default_factory=list)
    service_gaps_s: list[float] = dataclasses.field(default_factory=list)
