"""Messages between the tasks of a gateway."""

import asyncio
from collections.abc import Mapping
import dataclasses
import enum

from berylweir import records
from berylweir.gateway import models
from berylweir.gateway.suspects import messages as suspects
from berylweir.router.backends import connection as http


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """Announces a newer configuration.

    Attributes:
        configuration: The new configuration.
    """

    configuration: models.Configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ServersChanged:
    """Announces the known backend servers.

    Attributes:
        servers: All servers by name. After an outage of the store this
            includes servers whose entries expired and may be written again.
    """

    servers: Mapping[str, models.BackendServer]


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationsChanged:
    """Announces the evacuated zones.

    Attributes:
        availability_zones: All availability zones that get no requests.
    """

    availability_zones: frozenset[str]


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTableChanged:
    """Announces a newer key table of a server group.

    Attributes:
        table: The whole key table.
    """

    table: models.KeyTable


@dataclasses.dataclass(frozen=True, slots=True)
class VmsChanged:
    """Announces the registered gateways.

    Attributes:
        vms: All registered gateways by the name of their VM.
    """

    vms: Mapping[str, models.Vm]


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseChanged:
    """Announces a newer lease of the key tables.

    Attributes:
        lease: The lease; None if it was never written.
    """

    lease: models.Lease | None


StoreUpdate = (
    ConfigurationChanged
    | ServersChanged
    | EvacuationsChanged
    | KeyTableChanged
    | VmsChanged
    | LeaseChanged
    | suspects.QuarantineChanged
)


@records.record
class ServerRequirements:
    """What a request needs of a backend server.

    All deadlines are times on the event loop's clock, in seconds.

    Attributes:
        request_id: Id of the request, for log lines.
        group: Name of the server group.
        key: Key of the request, if the group's servers own keys.
        priority: Priority of the request; 0 is the most urgent.
        is_idempotent: Whether the request may run more than once.
        goal_ms: Latency goal of the route, in ms.
        is_download: Whether the response is large.
        is_retry: Whether the request was sent to a server before.
        tried_instances: Instances that it was sent to.
        rejecting_instance: Instance that answered that it doesn't own the
            key, if any.
        queue_deadline_s: Until when to wait for a server with free capacity.
        owner_wait_deadline_s: Until when to wait for an owner of the key.
        deadline_s: When the whole request times out.
        unsent_attempts: Attempts without a usable connection.
        may_forward: Whether another gateway may get the request; False if
            this gateway received it from another one.
        tried_vms: Names of the VMs to which it was forwarded.
        fingerprint: Hash that repeats of the request have in common.
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
    unsent_attempts: int = 0
    may_forward: bool = True
    tried_vms: frozenset[str] = frozenset()
    fingerprint: int = 0

    @property
    def was_forwarded(self) -> bool:
        """Whether it came from another gateway, or was forwarded to one."""
        return not self.may_forward or bool(self.tried_vms)


@records.record
class Placement:
    """Server that was chosen for a request.

    Attributes:
        server: The server.
        connection: Open connection to use; None to open one.
        placed_s: When it was chosen, on the event loop's clock, in seconds.
        load: Estimated number of requests at the server at that moment.
        limit: Requests per second that the server takes from all VMs together;
            None if it takes any number. With a limit, the request may be sent
            once there is a permit for it.
        overdue_after_s: Time in seconds after which a missing response is
            reported with `ResponseOverdue`; None if it isn't.
    """

    server: models.BackendServer
    connection: http.Connection | None
    placed_s: float
    load: float
    limit: float | None = None
    overdue_after_s: float | None = None


@records.record
class OwnerUnreachable:
    """This VM can't reach the owner of a key.

    Attributes:
        owner: The owner.
    """

    owner: models.ServerInstance


@records.record
class GroupUnreachable:
    """This VM can't reach any available server of a group.

    Attributes:
        group: Name of the server group.
    """

    group: str


ForwardCause = OwnerUnreachable | GroupUnreachable


@records.record
class Forward:
    """Another gateway that was chosen to get a request.

    Attributes:
        vm: Its VM.
        connection: Open connection to use; None to open one.
        cause: Why this VM doesn't send the request to a server.
    """

    vm: models.Vm
    connection: http.Connection | None
    cause: ForwardCause


class RefusalReason(enum.Enum):
    """Why no server was chosen."""

    NO_SERVER = "no_server"
    NO_OWNER = "no_owner"
    UNREACHABLE = "unreachable"
    FULL = "full"
    COLD = "cold"
    LIMITED = "limited"
    PAUSED = "paused"
    RETRY_BUDGET = "retry_budget"
    # It is being found out whether the request has just ended a server.
    INVESTIGATED = "investigated"
    # Servers ended under the request, too few to be sure of the cause.
    SUSPECTED = "suspected"
    CRASHES_SERVERS = "crashes_servers"


@records.record
class NotPlaced:
    """Says that no server can take the request in time.

    Attributes:
        reason: Why no server was chosen.
        retry_after_s: Time after which the caller may retry, in seconds.
        capacity_wait_s: Estimated time until a full server has capacity
            again, in seconds.
        is_isolated: Whether this VM can't reach any server.
    """

    reason: RefusalReason
    retry_after_s: float
    capacity_wait_s: float = 0.0
    is_isolated: bool = False


PlacementReply = Placement | Forward | NotPlaced


@records.record
class PlaceRequest:
    """Asks the dispatcher to choose a server for a request.

    Attributes:
        requirements: What the request needs.
        reply: Receives the result; cancelled if the caller disconnects.
    """

    requirements: ServerRequirements
    reply: "asyncio.Future[PlacementReply]"


class AttemptResult(enum.Enum):
    """How an attempt to send a request to a server ended."""

    SERVED = "served"
    # The server itself answered with a failure.
    FAILED = "failed"
    # The server didn't run the request because it is full.
    SHED = "shed"
    # The server didn't run the request because it doesn't own the key.
    MISDIRECTED = "misdirected"
    # The connection was closed before the first byte of a response.
    RESET = "reset"
    # The response was incomplete, or not sent by the server itself.
    BROKEN = "broken"
    # No response came in time.
    EXPIRED = "expired"
    # No connection could be opened.
    UNREACHABLE = "unreachable"
    # A pooled connection had been closed; nothing was sent.
    STALE = "stale"
    # The caller disconnected.
    ABANDONED = "abandoned"


@records.record
class AttemptFinished:
    """Reports the end of an attempt to the dispatcher.

    Attributes:
        placement: Server and connection of the attempt.
        requirements: What the request needed.
        attempt_result: How the attempt ended.
        connection: Connection that can be reused, if any.
        statements: What the server said of itself in the response, unless it
            was reported before.
        keep_alive_timeout_s: Time for which the server keeps an idle
            connection, if it said so, in seconds.
        elapsed_s: Time since the server was chosen, in seconds.
    """

    placement: Placement
    requirements: ServerRequirements
    attempt_result: AttemptResult
    connection: http.Connection | None
    statements: models.ServerStatements
    keep_alive_timeout_s: float | None
    elapsed_s: float


class ForwardResult(enum.Enum):
    """What forwarding a request showed of the other gateway."""

    # It answered, and a server can be reached from there.
    ANSWERED = "answered"
    # It answered that it can't reach the server either.
    UNREACHABLE = "unreachable"
    # It answered that it can't use any server.
    ISOLATED = "isolated"
    # No connection could be opened.
    NOT_CONNECTED = "not_connected"
    # The request was sent, but no complete answer was received.
    UNKNOWN = "unknown"
    # The caller disconnected, or the deadline passed.
    ABANDONED = "abandoned"


@records.record
class ForwardFinished:
    """Reports the end of a forwarded request to the dispatcher.

    Attributes:
        forward: The gateway that got it.
        result: What that showed.
        connection: Connection that can be reused, if any.
        is_draining: Whether the other gateway closes its connections.
        leaving_server: Server that said in its response that it is leaving.
    """

    forward: Forward
    result: ForwardResult
    connection: http.Connection | None
    is_draining: bool = False
    leaving_server: models.ServerInstance | None = None


@records.record
class ConfirmPlacement:
    """Asks the dispatcher whether a request may still be sent.

    Attributes:
        placement: Server that was chosen for it.
        requirements: What the request needs.
        reply: Receives the answer; cancelled if the caller disconnects.
    """

    placement: Placement
    requirements: ServerRequirements
    reply: "asyncio.Future[bool]"


@records.record
class StatementsReceived:
    """Reports what a server says of itself, before its response has ended.

    Attributes:
        server: The server.
        statements: What it said in the head of the response.
    """

    server: models.ServerInstance
    statements: models.ServerStatements


@records.record
class ResponseOverdue:
    """Reports that a request on an earlier connection waits for its response.

    Attributes:
        placement: Server and connection of the request.
    """

    placement: Placement


@records.record
class ProbeServer:
    """Asks the prober to open a connection to a server.

    Attributes:
        server: The server.
    """

    server: models.BackendServer


@records.record
class ServerProbed:
    """Reports the result of a probe to the dispatcher.

    Attributes:
        server: The server.
        connection: The open connection; None if none could be opened.
        is_refused: Whether nothing listens at the server's address.
    """

    server: models.BackendServer
    connection: http.Connection | None
    is_refused: bool = False


@records.record
class PlacementReturned:
    """Returns a placement to the dispatcher; the request wasn't sent.

    Attributes:
        placement: Server and connection.
        requirements: What the request needed.
        permit_available_s: When the server's limit allows another request, on
            the event loop's clock, in seconds; None if that isn't the reason.
    """

    placement: Placement
    requirements: ServerRequirements
    permit_available_s: float | None


@records.record
class PermitGranted:
    """Allows a request to a server with a limit.

    Attributes:
        start_s: When it may be sent, on the event loop's clock, in seconds.
    """

    start_s: float


@records.record
class PermitDenied:
    """Says that a server's limit allows no request in time.

    Attributes:
        available_s: When it will allow the next one, on the event loop's
            clock, in seconds.
    """

    available_s: float


Permit = PermitGranted | PermitDenied


@records.record
class AcquirePermit:
    """Asks for permission to send a request to a server with a limit.

    Attributes:
        server: The server.
        limit: Requests per second that it takes from all VMs together.
        max_wait_s: Longest wait of the request, in seconds.
        reply: Receives the permit; cancelled if the caller disconnects.
    """

    server: models.ServerInstance
    limit: float
    max_wait_s: float
    reply: "asyncio.Future[Permit]"


@records.record
class CountRequest:
    """Asks this VM, as the counter of a server, for a permit.

    Attributes:
        server: The server.
        rate: Requests per second to grant.
        max_wait_s: Longest wait of the request, in seconds.
        reply: Receives the permit.
    """

    server: models.ServerInstance
    rate: float
    max_wait_s: float
    reply: "asyncio.Future[Permit]"


PermitMessage = VmsChanged | AcquirePermit | CountRequest


@dataclasses.dataclass(frozen=True, slots=True)
class ServerUsage:
    """Requests of one VM to a server since its last report.

    Attributes:
        served: Number of requests that were served.
        failed: Number of requests that got no response or a failure.
        service_ms: Typical duration of a request that didn't wait in a queue,
            in ms; 0 if there was none.
        limit: Requests per second that the server said it takes from all VMs
            together; None if it named no limit.
        leaving_born_ms: Start of the instance that said that it is leaving,
            as Unix time in ms; None if none did.
    """

    served: int
    failed: int
    service_ms: float
    limit: float | None = None
    leaving_born_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyUsage:
    """Keys and servers of a VM's requests since its last report.

    Attributes:
        vm: Name of the VM.
        keys: Keys of the requests by keyed group, one per request.
        servers: Requests to each server, by the server's name.
        is_isolated: Whether the VM can't open a connection to any server. It
            isn't sent to other gateways.
    """

    vm: str
    keys: Mapping[str, tuple[int, ...]]
    servers: Mapping[str, ServerUsage]
    is_isolated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class CollectKeyUsage:
    """Asks the dispatcher for the key usage since the last such message.

    Attributes:
        reply: Receives the usage.
    """

    reply: "asyncio.Future[KeyUsage]"


DispatcherMessage = (
    StoreUpdate
    | PlaceRequest
    | ConfirmPlacement
    | PlacementReturned
    | AttemptFinished
    | ForwardFinished
    | StatementsReceived
    | ResponseOverdue
    | ServerProbed
    | CollectKeyUsage
    | suspects.ToDispatcher
)
