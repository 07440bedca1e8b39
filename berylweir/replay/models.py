"""Policies, messages' subjects and the history of a replay.

All times are seconds of virtual time unless stated otherwise.
"""

import dataclasses

from berylweir.keeper.authority import models as authority
from berylweir.refusals import models as refusals
from berylweir.replay import schemas


@dataclasses.dataclass(frozen=True, slots=True)
class ImmediateReturn:
    """All servers of a returning zone are put in service at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class TimedSteps:
    """A part of the servers is put in service after each interval."""

    steps: int = 3
    interval_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class GatedSteps:
    """The next step waits until the last one shows good figures.

    Attributes:
        steps: Number of parts.
        window_s: Time over which a step is judged.
        max_latency_factor: Largest 99th percentile of the lookups, against the
            one before the return.
        max_refused_share: Largest share of refused requests.
    """

    steps: int = 3
    window_s: float = 1.0
    max_latency_factor: float = 1.2
    max_refused_share: float = 0.01


ZoneReturn = ImmediateReturn | TimedSteps | GatedSteps


@dataclasses.dataclass(frozen=True, slots=True)
class NoSpareCapacity:
    """The servers of the deployment carry the load of a lost zone."""


@dataclasses.dataclass(frozen=True, slots=True)
class DedicatedFallback:
    """Servers for the largest zone stand by and serve while a zone is out."""


@dataclasses.dataclass(frozen=True, slots=True)
class SpreadSpareServers:
    """As many more servers are spread over the zones and always serve."""


@dataclasses.dataclass(frozen=True, slots=True)
class ShedZoneTraffic:
    """Slices stay with the servers of the zone, and are refused."""


SpareCapacity = (
    NoSpareCapacity | DedicatedFallback | SpreadSpareServers | ShedZoneTraffic
)


@dataclasses.dataclass(frozen=True, slots=True)
class HomeRouting:
    """One home a server, with the exact limit."""

    zone_return: ZoneReturn = ImmediateReturn()
    spare_capacity: SpareCapacity = NoSpareCapacity()
    safety: authority.SafetyRules = dataclasses.field(
        default_factory=authority.SafetyRules
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Baseline:
    """Consistent hashing; each entry VM limits what it has in flight."""


@dataclasses.dataclass(frozen=True, slots=True)
class PerVmLimit:
    """Each entry VM has a fixed share of the slots, at least one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Credits:
    """Entry VMs borrow slot credits from the VM that keeps them."""


DirectPolicy = Baseline | PerVmLimit | Credits
Policy = HomeRouting | DirectPolicy


def policy_name(policy: Policy) -> str:
    """Returns the name of the policy in the results."""
    match policy:
        case Baseline():
            return "baseline"
        case PerVmLimit():
            return "per_vm_limit"
        case Credits():
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
    """A request of the trace on its way.

    Attributes:
        id: Line of the trace.
        request: The request.
        slice: Slice of its key, or None in an unkeyed group.
        sent_s: When the caller sent it.
        deadline_s: When the caller gives up.
    """

    id: int
    request: schemas.Request
    slice: int | None
    sent_s: float
    deadline_s: float

    @property
    def is_idempotent(self) -> bool:
        """Whether it may run more than once."""
        return not self.request.request_id


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """The caller got the whole response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The caller got a refusal."""

    refusal: refusals.Refusal


Answer = Served | Refused


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller saw.

    Attributes:
        call: The request.
        answer: What came back.
        ended_s: When it arrived.
        hop_s: Delay of messages between routers on the way.
    """

    call: Call
    answer: Answer
    ended_s: float
    hop_delay_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Run:
    """A request that a backend server has begun to run.

    Attributes:
        server: Name of the server.
        group: Its server group.
        call: The request.
        started_s: When it began.
        ended_s: When it ended.
        completed: Whether it ran to its end.
    """

    server: str
    group: str
    call: Call
    started_s: float
    ended_s: float = float("inf")
    completed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Time in which a server would serve a slice."""

    server: str
    group: str
    slice: int
    from_s: float
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSample:
    """Work in flight at a server from a time on."""

    server: str
    at_s: float
    in_flight: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class CoverageSample:
    """How many slices of a group are served at a time."""

    at_s: float
    served: int
    slices: int


@dataclasses.dataclass(slots=True)
class History:
    """Everything that a replay has recorded.

    Attributes:
        trace: The trace.
        begin_s: Virtual time at which the trace began.
        end_s: Virtual time at which it ended.
        call_count: Requests that callers have sent.
        outcomes: What the callers saw.
        runs: What the servers ran.
        attempt_count: Requests that reached a server, shed ones included.
        ownerships: Who would have served each slice, and when.
        load_samples: Work in flight at the servers.
        coverage_samples: Slices that were served.
        move_times_s: Times at which a slice got another owner.
        service_gaps_s: Times for which a slice was not served, in seconds.
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
