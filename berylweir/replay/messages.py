"""Messages between the actors of a replay."""

import dataclasses

from berylweir.backendapi import schemas as backendapi
from berylweir.keeper.authority import models as authority
from berylweir.keeper.membership import decisions as membership
from berylweir.objects import schemas
from berylweir.peers import messages as peers
from berylweir.replay import models
from berylweir.router.admission import models as admission
from berylweir.router.ingress import models as ingress
from berylweir.router.table import models as table


@dataclasses.dataclass(frozen=True, slots=True)
class Config:
    """Configuration objects that operators manage.

    Attributes:
        groups: Server groups.
        servers: Backend servers.
        zones: Availability zones by name.
        vms: Entry VMs by name.
    """

    groups: tuple[schemas.ServerGroup, ...]
    servers: tuple[schemas.BackendServer, ...]
    zones: dict[str, schemas.AvailabilityZone]
    vms: dict[str, schemas.Vm]


# Messages to routers


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request has reached its entry VM."""

    call: models.Call


@dataclasses.dataclass(frozen=True, slots=True)
class RequestForwarded:
    """An entry VM forwards a request to the home VM of its server.

    Attributes:
        call: Forwarded call.
        target: Server and slice that the entry VM has chosen.
        origin: Name of the entry VM.
    """

    call: models.Call
    target: ingress.RemoteTarget
    origin: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAnswered:
    """The home VM has answered a forwarded request."""

    call: models.Call
    answer: models.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeEnded:
    """The exchange with a backend server has ended.

    Attributes:
        ticket_id: Ticket that the exchange executed.
        server: Name of the backend server.
        ending: How it ended.
    """

    ticket_id: int
    server: str
    ending: admission.Ending


@dataclasses.dataclass(frozen=True, slots=True)
class TicketExpired:
    """The deadline of a ticket has passed."""

    ticket_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallExpired:
    """The deadline of a call that this VM has forwarded has passed."""

    call: models.Call


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDue:
    """The wait before another attempt is over."""

    call: models.Call


@dataclasses.dataclass(frozen=True, slots=True)
class TableUpdated:
    """The keeper on this VM has a newer routing table."""

    table: table.Table


@dataclasses.dataclass(frozen=True, slots=True)
class HomesUpdated:
    """Servers and slices for which this VM is the home."""

    homes: tuple[peers.HomeServer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportDue:
    """The interval between reports to the keeper is over."""


# Messages to direct routers


@dataclasses.dataclass(frozen=True, slots=True)
class UsabilityChanged:
    """A health check or the configuration makes a server usable or unusable."""

    server: str
    is_usable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRequested:
    """A VM requests a credit for a server from the VM that manages them."""

    server: str
    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class CreditGranted:
    """The managing VM grants a credit; it permits one request in flight."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRecalled:
    """The managing VM asks for a credit back, as another VM waits for one."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class CreditReturned:
    """A VM returns a recalled credit."""

    server: str
    vm: str


# Messages to backend servers


@dataclasses.dataclass(frozen=True, slots=True)
class ExecuteRequest:
    """A router sends a request to a server.

    Attributes:
        ticket_id: Id under which the sender expects the answer.
        call: Call to execute.
        token: Fencing token of the slice, or None without fencing.
        reply_to: Actor that gets the answer.
    """

    ticket_id: int
    call: models.Call
    token: int | None
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequest:
    """The sender aborts a request, as its deadline has passed."""

    ticket_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantOrProbe:
    """A keeper sends a grant or a health probe.

    Attributes:
        request: Grant, or None for a probe.
        reply_to: Actor that gets the status.
        sent_s: When it was sent.
    """

    request: backendapi.GrantRequest | None
    reply_to: str
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashServer:
    """The server process crashes."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartServer:
    """The server process starts and is cold for `cold_s` seconds."""

    cold_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SetSlowdown:
    """Requests that start from now on run `factor` times as long."""

    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShedAll:
    """The server sheds all work until it restarts."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutionFinished:
    """The execution time of a request is over.

    Attributes:
        ticket_id: Ticket of the request.
        instance: Instance of the server that started it. After a restart the
            message is stale.
    """

    ticket_id: int
    instance: str


# Messages to keepers


@dataclasses.dataclass(frozen=True, slots=True)
class TickDue:
    """The tick interval is over."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """Another keeper has sent a heartbeat.

    Attributes:
        heartbeat: Sender, its zone and its sequence number.
        epochs: Epochs of the partitions that it takes part in, by name.
    """

    heartbeat: membership.HeartbeatRecord
    epochs: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionEvent:
    """An event for the state machine of the partition `name`."""

    name: str
    event: authority.Event


@dataclasses.dataclass(frozen=True, slots=True)
class DelegationReceived:
    """A partition's holder delegates its authority to a home for a time.

    Attributes:
        nonce: Nonce of the request that it answers.
        name: Name of the partition.
        version: Version of the partition that it applies to.
        duration_s: Validity, counted from the sending of the request.
    """

    nonce: int
    name: str
    version: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReceived:
    """A backend server has answered a grant or a probe.

    Attributes:
        server: Name of the server.
        request: Grant that it answers, or None for a probe.
        status: Status of the server.
        sent_s: When the grant or probe was sent.
    """

    server: str
    request: backendapi.GrantRequest | None
    status: backendapi.ServerStatus
    sent_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouterReportReceived:
    """The router on this VM reports outstanding slices, one item per server."""

    reports: tuple[peers.Drained, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WatchUpdate:
    """The platform's watch delivers all objects, and shows that it is up.

    Attributes:
        config: Current configuration.
        partitions: Partition objects with their versions.
    """

    config: Config
    partitions: tuple[tuple[int, schemas.Partition], ...]


# Messages to the platform


@dataclasses.dataclass(frozen=True, slots=True)
class WritePartition:
    """A keeper sends a conditional update of the partition `name`."""

    name: str
    update: authority.PendingUpdate
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceConfig:
    """Operators replace the configuration."""

    config: Config


@dataclasses.dataclass(frozen=True, slots=True)
class SetOutage:
    """The platform stops responding or is available again."""

    is_down: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WatchRenewalDue:
    """The interval after which idle watches are renewed is over."""


ToRouter = (
    RequestArrived
    | RequestForwarded
    | ForwardAnswered
    | ExchangeEnded
    | TicketExpired
    | CallExpired
    | RetryDue
    | TableUpdated
    | HomesUpdated
    | ReportDue
)
ToDirectRouter = (
    RequestArrived
    | ExchangeEnded
    | TicketExpired
    | UsabilityChanged
    | CreditRequested
    | CreditGranted
    | CreditRecalled
    | CreditReturned
)
ToServer = (
    ExecuteRequest
    | CancelRequest
    | GrantOrProbe
    | CrashServer
    | StartServer
    | SetSlowdown
    | ShedAll
    | ExecutionFinished
)
ToKeeper = (
    TickDue
    | HeartbeatReceived
    | PartitionEvent
    | DelegationReceived
    | StatusReceived
    | RouterReportReceived
    | WatchUpdate
)
ToPlatform = WritePartition | ReplaceConfig | SetOutage | WatchRenewalDue
