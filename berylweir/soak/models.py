"""Faults of a soak, and records of its requests and planned stops."""

from collections.abc import Container
import dataclasses
import enum


class LinkFault(enum.Enum):
    """Fault that a proxy injects into its connections."""

    DELAY = "delay"  # All data arrives late.
    RESET = "reset"  # Connections are reset, and new ones as well.
    ONE_WAY = "one_way"  # Requests arrive, but responses are held back.
    SILENT = "silent"  # Data is held back in both directions.
    REFUSE_NEW = "refuse_new"  # Only new connections are reset.


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """Kills a gateway and starts it again.

    Attributes:
        vm: Number of the gateway's VM.
        downtime_s: Time between the end and the new start, in seconds.
    """

    vm: int
    downtime_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Asks a gateway to end by SIGTERM, then starts it again."""

    vm: int


class RolloutOrder(enum.Enum):
    """Order in which the VMs of a rollout change their build."""

    AS_LISTED = "as_listed"
    HOLDER_FIRST = "holder_first"
    HOLDER_LAST = "holder_last"


@dataclasses.dataclass(frozen=True, slots=True)
class Rollout:
    """Replaces the build of gateways one after the other, by planned stops.

    Attributes:
        build: Index of the new build. Gateways that run it are restarted too.
        vms: Numbers of the gateways' VMs.
        order: Order in which they change.
        pause_s: Time between two of them, in seconds.
        freeze_s: Time for which the lease holder is frozen meanwhile, in
            seconds; 0 if it isn't.
    """

    build: int
    vms: tuple[int, ...]
    order: RolloutOrder
    pause_s: float
    freeze_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """Stops a gateway by SIGSTOP for `duration_s` seconds."""

    vm: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reload:
    """Has a gateway read its settings file again, by SIGHUP."""

    vm: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLinkFault:
    """Injects a fault between gateways and the store.

    Attributes:
        vm: Number of the affected gateway's VM; None for all gateways.
        link_fault: Fault to inject.
        duration_s: How long it lasts, in seconds.
    """

    vm: int | None
    link_fault: LinkFault
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLinkFault:
    """Injects a fault between the gateways and a backend server.

    Attributes:
        server: Number of the backend server.
        link_fault: Fault to inject.
        duration_s: How long it lasts, in seconds.
    """

    server: int
    link_fault: LinkFault
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LateWrites:
    """Has the store drop calls, and apply the writes among them 1 s later.

    Attributes:
        count: Number of calls that the store doesn't respond to.
    """

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reconfigure:
    """Writes a newer configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """Writes a newer configuration with other limits and routes.

    Attributes:
        idle_timeout_ms: Time for which an idle connection is kept, in ms.
        extra_routes: Number of routes in addition to those that are used.
    """

    idle_timeout_ms: int
    extra_routes: int


class PlannedSignal(enum.Enum):
    """Signal that the platform sends to a gateway."""

    TERMINATE = "terminate"  # SIGTERM
    RELOAD = "reload"  # SIGHUP


@dataclasses.dataclass(frozen=True, slots=True)
class SignalStopping:
    """Sends a signal to a gateway at once, even while it is being stopped.

    A gateway that isn't being stopped gets it as by `Stop` or `Reload`.
    """

    vm: int
    signal: PlannedSignal


@dataclasses.dataclass(frozen=True, slots=True)
class Deregister:
    """Removes a backend server from the store for `duration_s` seconds."""

    server: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitServer:
    """Has a backend server name a limit of its requests.

    Attributes:
        server: Number of the backend server.
        per_s: Requests per second that it takes from all gateways.
        duration_s: How long it says so, in seconds.
    """

    server: int
    per_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PauseServer:
    """Has a backend server reject all requests and ask for a pause.

    Attributes:
        server: Number of the backend server.
        pause_s: Time for which it asks for no requests, in seconds.
        duration_s: How long it rejects requests, in seconds.
    """

    server: int
    pause_s: float
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceServer:
    """Has a backend server say that it is leaving, and then start again.

    Attributes:
        server: Number of the backend server.
        duration_s: How long it says so, in seconds.
    """

    server: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreStore:
    """Has the store go away and come back from a copy.

    Attributes:
        age_s: Age of the copy, in seconds.
        away_s: Time for which it is away, in seconds.
    """

    age_s: float
    away_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreUnderFrozenHolder:
    """Restores the store while the holder of the lease is frozen.

    A server is away before, so that the successor moves keys to it.

    Attributes:
        server: Number of the backend server.
        lead_s: Time for which it is away before the freeze, in seconds.
        freeze_s: Time for which the holder is frozen, in seconds.
        thaw_delay_s: Time from the return of the store to the end of the
            freeze, in seconds.
        restoration: The restoration.
    """

    server: int
    lead_s: float
    freeze_s: float
    thaw_delay_s: float
    restoration: RestoreStore


@dataclasses.dataclass(frozen=True, slots=True)
class CopyAnswers:
    """Has a backend server send answers again while its keys are moved away.

    Attributes:
        server: Number of the backend server.
        share: Share of its answers that it sends again.
        service_s: Time that it takes for a request, in seconds.
        duration_s: How long it does so, in seconds. Half-way, its entry says
            that it is draining.
    """

    server: int
    share: float
    service_s: float
    duration_s: float


class OddShape(enum.Enum):
    """What is odd about an entry of another writer."""

    MISSING_FIELDS = "missing_fields"
    WRONG_TYPES = "wrong_types"
    UNKNOWN_STATE = "unknown_state"
    NO_OBJECT = "no_object"
    HALF_SURROGATE = "half_surrogate"
    DEEP = "deep"
    HUGE_NUMBER = "huge_number"
    DUPLICATE_MEMBERS = "duplicate_members"
    TRUNCATED_UTF8 = "truncated_utf8"


@dataclasses.dataclass(frozen=True, slots=True)
class WriteOddEntries:
    """Writes entries of another writer, and starts a gateway again.

    Attributes:
        vm: Number of the gateway's VM, which is killed.
        kind: Kind of the entries.
        name: Prefix of their names.
        shapes: What is odd about each of them.
        duration_s: How long they exist, in seconds.
    """

    vm: int
    kind: str
    name: str
    shapes: tuple[OddShape, ...]
    duration_s: float


class BodyDirection(enum.Enum):
    """Which bodies are long."""

    UPLOAD = "upload"  # Those of requests.
    DOWNLOAD = "download"  # Those of responses, which are read slowly.


@dataclasses.dataclass(frozen=True, slots=True)
class LongBodies:
    """Sends requests with long or endless bodies at the same time.

    Attributes:
        vm: Number of the gateway's VM.
        direction: Which bodies are long.
        count: Number of requests.
        duration_s: Time after which their callers leave, in seconds.
    """

    vm: int
    direction: BodyDirection
    count: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Isolate:
    """Injects a fault between gateways and all backend servers.

    The gateways can still be reached by callers, the store and each other.

    Attributes:
        vms: Numbers of the affected gateways' VMs.
        link_fault: Fault to inject.
        duration_s: How long it lasts, in seconds.
    """

    vms: tuple[int, ...]
    link_fault: LinkFault
    duration_s: float


ClassFault = (
    RestoreUnderFrozenHolder | CopyAnswers | WriteOddEntries | LongBodies
)
Fault = (
    Kill
    | Stop
    | Rollout
    | Freeze
    | Reload
    | StoreLinkFault
    | ServerLinkFault
    | LateWrites
    | Reconfigure
    | ChangeConfiguration
    | SignalStopping
    | Deregister
    | LimitServer
    | PauseServer
    | ReplaceServer
    | RestoreStore
    | Isolate
    | ClassFault
)


class FaultClass(enum.Enum):
    """Class of faults in addition to the usual ones."""

    FROZEN_HOLDER = "frozen_holder"  # Restorations under a frozen holder.
    LATE_COPIES = "late_copies"  # Answers of servers that arrive again.
    ODD_ENTRIES = "odd_entries"  # Entries of other writers in the store.
    LONG_BODIES = "long_bodies"  # Bodies without end, in both directions.
    UNEVEN_LOAD = "uneven_load"  # Busy keys, once all faults have ended.


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault that starts `start_s` seconds after the start of the soak."""

    start_s: float
    fault: Fault


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One request of a caller, and the response to it.

    Times are in seconds from the start of the soak.

    Attributes:
        request_id: Id of the request.
        path: Path of the request.
        is_idempotent: Whether the request may be executed more than once.
        vm: Number of the VM whose gateway it was sent to.
        instance: Number of that gateway's instance.
        sent_s: When it was sent.
        ended_s: When the response arrived, the connection ended or the caller
            stopped waiting.
        status: HTTP status of the response; None if there was none.
        body: Body of the response.
        seal: Signature of the response, made by the server; empty if there is
            none.
    """

    request_id: str
    path: str
    is_idempotent: bool
    vm: int
    instance: int
    sent_s: float
    ended_s: float
    status: int | None
    body: bytes = b""
    seal: str = ""


class RequestEnd(enum.Enum):
    """How a pipelined request ended for its caller."""

    ANSWERED = "answered"
    CLOSED_BY_GATEWAY = "closed_by_gateway"
    LEFT_BY_CALLER = "left_by_caller"


@dataclasses.dataclass(frozen=True, slots=True)
class PipelinedExchange:
    """A request that was sent behind others, or before others.

    Attributes:
        exchange: The request and its response. It ended when the response
            arrived, when the gateway closed the connection or announced that,
            or when the caller left.
        deadline_s: Its deadline, in seconds from the start of the soak.
        requests_ahead: Requests in front of it without an answer when it was
            sent.
        end: How it ended.
    """

    exchange: Exchange
    deadline_s: float
    requests_ahead: int
    end: RequestEnd


@dataclasses.dataclass(frozen=True, slots=True)
class IdleClose:
    """A connection that a gateway closed while no request was on it.

    Times are in seconds from the start of the soak.

    Attributes:
        vm: Number of the gateway's VM.
        instance: Number of the gateway's instance.
        idle_since_s: Start of the connection or of its last request's end.
        closed_s: When it was closed.
    """

    vm: int
    instance: int
    idle_since_s: float
    closed_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class IdleLimit:
    """Idle limit of a version of the configuration.

    Attributes:
        version: The version.
        written_s: When it was written, on the monotonic clock, in seconds.
        limit_s: Time for which an idle connection is kept, in seconds.
    """

    version: int
    written_s: float
    limit_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class VersionInForce:
    """A version of the configuration that was seen in force at a gateway.

    Attributes:
        vm: Number of the gateway's VM.
        instance: Number of the gateway's instance.
        version: The version.
        seen_s: When it was seen, on the monotonic clock, in seconds.
    """

    vm: int
    instance: int
    version: int
    seen_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LinkDisruption:
    """A fault of the connections to one server.

    Times are on the monotonic clock, in seconds.

    Attributes:
        start_s: Start of the fault.
        end_s: End of the fault.
        vms: VMs whose connections it affects; None for all.
    """

    start_s: float
    end_s: float
    vms: Container[int] | None


@dataclasses.dataclass(frozen=True, slots=True)
class Disruption:
    """A time in which a gateway's process or its links were disturbed.

    Times are on the monotonic clock, in seconds.

    Attributes:
        vm: Number of the gateway's VM.
        start_s: Start of the fault.
        end_s: End of the fault; infinity while it lasts.
    """

    vm: int
    start_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Isolation:
    """A time in which a gateway was cut off from all backend servers.

    Times are in seconds from the start of the soak.

    Attributes:
        vm: Number of the gateway's VM.
        start_s: Start of the fault.
        end_s: End of the fault.
    """

    vm: int
    start_s: float
    end_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """A gateway instance that was asked to end, and did.

    Attributes:
        vm: Number of the gateway's VM.
        instance: Number of the gateway's instance.
        requested_s: When it was asked, in seconds from the start of the soak.
    """

    vm: int
    instance: int
    requested_s: float
