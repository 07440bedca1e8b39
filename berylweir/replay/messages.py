"""Messages between the parts of a replay."""

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
    """What operators have configured."""

    groups: tuple[schemas.ServerGroup, ...]
    servers: tuple[schemas.BackendServer, ...]
    zones: dict[str, schemas.AvailabilityZone]
    vms: dict[str, schemas.Vm]


# To routers


@dataclasses.dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's request reaches its entry VM."""

    call: models.Call


@dataclasses.dataclass(frozen=True, slots=True)
class RequestForwarded:
    """A request reaches the home of its server."""

    call: models.Call
    target: ingress.RemoteTarget
    origin: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForwardAnswered:
    """The home has answered a forwarded request."""

    call: models.Call
    answer: models.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeEnded:
    """A backend server has ended an exchange."""

    ticket_id: int
    server: str
    ending: admission.Ending


@dataclasses.dataclass(frozen=True, slots=True)
class TicketExpired:
    """The deadline of a ticket has passed."""

    ticket_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallExpired:
    """The deadline of a forwarded call has passed."""

    call: models.Call


@dataclasses.dataclass(frozen=True, slots=True)
class RetryDue:
    """It is time for another attempt."""

    call: models.Call


@dataclasses.dataclass(frozen=True, slots=True)
class TableUpdated:
    """The keeper has a newer table."""

    table: table.Table


@dataclasses.dataclass(frozen=True, slots=True)
class HomesUpdated:
    """What this VM may do as a home."""

    homes: tuple[peers.HomeServer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReportDue:
    """It is time to report to the keeper."""


# To plain routers


@dataclasses.dataclass(frozen=True, slots=True)
class UsabilityChanged:
    """A health check or the configuration says whether a server is usable."""

    server: str
    is_usable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRequested:
    """A VM without a credit for a server asks for one."""

    server: str
    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class CreditGranted:
    """The keeper of the credits lends one."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class CreditRecalled:
    """Another VM needs a credit."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class CreditReturned:
    """A VM gives a credit back."""

    server: str
    vm: str


# To backend servers


@dataclasses.dataclass(frozen=True, slots=True)
class ExecuteRequest:
    """A request for a server; `token` is None if it is not fenced."""

    ticket_id: int
    call: models.Call
    token: int | None
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True)
class CancelRequest:
    """The sender no longer wants the answer."""

    ticket_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class GrantOrProbe:
    """A grant, or a probe if `request` is None."""

    request: backendapi.GrantRequest | None
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True)
class CrashServer:
    """The server ends now."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartServer:
    """The server starts cold."""

    cold_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class SetSlowdown:
    """Requests that begin from now on take `factor` times as long."""

    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShedAll:
    """The server sheds all work until it restarts."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExecutionFinished:
    """A request has run for its time."""

    ticket_id: int
    instance: str


# To keepers


@dataclasses.dataclass(frozen=True, slots=True)
class TickDue:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatReceived:
    """Heartbeat of another keeper, with the epochs that it knows."""

    heartbeat: membership.HeartbeatRecord
    epochs: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionEvent:
    """An event for the decisions about one partition."""

    name: str
    event: authority.Event


@dataclasses.dataclass(frozen=True, slots=True)
class DelegationReceived:
    """The holder lets a home act."""

    nonce: int
    name: str
    version: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class StatusReceived:
    """A backend server has answered a grant or a probe."""

    server: str
    request: backendapi.GrantRequest | None
    status: backendapi.ServerStatus


@dataclasses.dataclass(frozen=True, slots=True)
class RouterReportReceived:
    """The router reports what is outstanding."""

    servers: tuple[peers.Drained, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class WatchUpdate:
    """The platform's watch delivers its state, and shows that it is up."""

    config: Config
    partitions: tuple[tuple[int, schemas.Partition], ...]


# To the platform


@dataclasses.dataclass(frozen=True, slots=True)
class WritePartition:
    """A conditional update of a partition."""

    name: str
    update: authority.PendingUpdate
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReplaceConfig:
    """Operators replace the configuration."""

    config: Config


@dataclasses.dataclass(frozen=True, slots=True)
class SetOutage:
    """The platform goes down or comes back."""

    is_down: bool


@dataclasses.dataclass(frozen=True, slots=True)
class WatchRenewalDue:
    """It is time to serve the watches."""


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
