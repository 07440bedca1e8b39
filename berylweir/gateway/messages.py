"""Messages between the tasks of a gateway."""

import asyncio
from collections.abc import Mapping
import dataclasses
import enum

from berylweir import records
from berylweir.gateway import models
from berylweir.router.backends import connection as http


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A newer configuration was read."""

    configuration: models.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ServersChanged:
    """The known backend servers, by name.

    Attributes:
        servers: All of them. Around an outage of the store, those whose
            entries may come back are included.
    """

    servers: Mapping[str, models.BackendServer]


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsChanged:
    """Availability zones that get no requests."""

    availability_zones: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTableChanged:
    """Owners of the keys of a server group."""

    table: models.KeyTable


@dataclasses.dataclass(frozen=True, slots=True)
class VmsChanged:
    """The gateways that have registered, by the name of their VM."""

    vms: Mapping[str, models.Vm]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseChanged:
    """The gateway that may move keys."""

    lease: models.Lease | None


StoreUpdate = (
    ConfigurationChanged
    | ServersChanged
    | EvacuationsChanged
    | KeyTableChanged
    | VmsChanged
    | LeaseChanged
)


@records.record
class ServerRequirements:
    """What a request needs of a backend server.

    Attributes:
        request_id: Id of the request, for log lines.
        group: Server group.
        key: Key, if the group's servers own keys.
        priority: 0 is the most urgent.
        is_idempotent: Whether the request may run more than once.
        goal_ms: Time within which a response earns its full credit.
        is_download: Whether the response is large.
        is_retry: Whether the request was sent to a server before.
        tried_instances: Servers that it was sent to.
        rejecting_instance: Instance that said that it doesn't hold the key,
            if any.
        queue_deadline_s: Until when to wait for room, on the loop's clock, in
            seconds.
        owner_wait_deadline_s: Until when to wait for the owner of the key.
        deadline_s: When its time is over, on the loop's clock, in seconds.
    """

    request_id: str
    group: str
    key: int | None
    priority: int
    is_idempotent: bool
    goal_ms: float
    is_download: bool
    is_retry: bool
    tried_instances: frozenset[models.ServerInstance]
    rejecting_instance: models.ServerInstance | None
    queue_deadline_s: float
    owner_wait_deadline_s: float
    deadline_s: float


@records.record
class Placement:
    """The server that a request goes to.

    Attributes:
        server: The server.
        connection: Open connection to use; None to open one.
        placed_s: When it was chosen, on the loop's clock, in seconds.
        load: Requests at the server as estimated at that moment.
    """

    server: models.BackendServer
    connection: http.Connection | None
    placed_s: float
    load: float


class RefusalReason(enum.Enum):
    """Why no server was chosen."""

    NO_SERVER = "no_server"
    NO_OWNER = "no_owner"
    UNREACHABLE = "unreachable"
    FULL = "full"
    COLD = "cold"
    RETRY_BUDGET = "retry_budget"


@records.record
class NotPlaced:
    """No server can take the request in time.

    Attributes:
        reason: Why.
        retry_after_s: When to ask again, in seconds.
        capacity_wait_s: Time until a full server is likely to have room, in
            seconds.
    """

    reason: RefusalReason
    retry_after_s: float
    capacity_wait_s: float = 0.0


@records.record
class PlaceRequest:
    """Asks for a server.

    Attributes:
        requirements: What the request needs.
        reply: Gets the answer; cancelled if the caller has left.
    """

    requirements: ServerRequirements
    reply: "asyncio.Future[Placement | NotPlaced]"


class AttemptResult(enum.Enum):
    """What a request showed of its server."""

    SERVED = "served"
    FAILED = "failed"  # the server's own failure response
    SHED = "shed"  # not run, because it is full
    MISDIRECTED = "misdirected"  # not run, because it lacks the key
    RESET = "reset"  # the connection ended before any byte of a response
    BROKEN = "broken"  # no whole response, or not the server's
    EXPIRED = "expired"  # no response in time
    UNREACHABLE = "unreachable"  # no connection
    STALE = "stale"  # a kept connection had ended; nothing was sent
    ABANDONED = "abandoned"  # the caller left


@records.record
class AttemptFinished:
    """Ends the use of a server by a request.

    Attributes:
        placement: What was used.
        requirements: What the request needed.
        attempt_result: What it showed of the server.
        connection: Connection that can be used again.
        load: Load that the server reported.
        cold_ms: Time for which the server stays cold, if it said so.
        idle_s: Time for which it keeps an idle connection, in seconds.
        elapsed_s: Time since the request was sent, in seconds.
    """

    placement: Placement
    requirements: ServerRequirements
    attempt_result: AttemptResult
    connection: http.Connection | None
    load: models.Load | None
    cold_ms: float | None
    idle_s: float | None
    elapsed_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerUsage:
    """What one VM saw of a server since its last report.

    Attributes:
        served: Responses.
        failed: Requests that got none, or a failure.
        service_ms: Typical duration of a request that didn't wait, in ms; 0
            if none was seen.
    """

    served: int
    failed: int
    service_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class KeyUsage:
    """Requests of keyed groups that a VM received since its last report.

    Attributes:
        vm: Name of the VM.
        keys: For each group, the key of each request.
        servers: What was seen of each server, by name.
    """

    vm: str
    keys: Mapping[str, tuple[int, ...]]
    servers: Mapping[str, ServerUsage]


@dataclasses.dataclass(frozen=True, slots=True)
class CollectKeyUsage:
    """Asks the dispatcher for what it saw since the last time."""

    reply: "asyncio.Future[KeyUsage]"


DispatcherMessage = (
    StoreUpdate | PlaceRequest | AttemptFinished | CollectKeyUsage
)
