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
class Arrived:
    """A caller's request reaches its entry VM."""

    call: models.Call


@dataclasses.dataclass(frozen=True, slots=True)
class Forwarded:
    """A request reaches the home of its server."""

    call: models.Call
    target: ingress.RemoteTarget
    origin: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswered:
    """The home has answered a forwarded request."""

    call: models.Call
    answer: models.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAnswered:
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
class Retry:
    """It is time for another attempt."""

    call: models.Call


@dataclasses.dataclass(frozen=True, slots=True)
class TableNews:
    """The keeper has a newer table."""

    table: table.Table


@dataclasses.dataclass(frozen=True, slots=True)
class HomesNews:
    """What this VM may do as a home."""

    homes: tuple[peers.HomeServer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """It is time to report to the keeper."""


# To plain routers


@dataclasses.dataclass(frozen=True, slots=True)
class Usable:
    """A health check or the configuration says whether a server is usable."""

    server: str
    usable: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CreditAsked:
    """A VM without a credit for a server asks for one."""

    server: str
    vm: str


@dataclasses.dataclass(frozen=True, slots=True)
class CreditLent:
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
class Work:
    """A request for a server; `token` is None if it is not fenced."""

    ticket_id: int
    call: models.Call
    token: int | None
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """The sender no longer wants the answer."""

    ticket_id: int


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """A grant, or a probe if `request` is None."""

    request: backendapi.GrantRequest | None
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """The server ends now."""


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """The server starts cold."""

    cold_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Slow:
    """Requests that begin from now on take `factor` times as long."""

    factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShedAll:
    """The server sheds all work until it restarts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Done:
    """A request has run for its time."""

    ticket_id: int
    instance: str


# To keepers


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Beat:
    """Heartbeat of another keeper, with the epochs that it knows."""

    heard: membership.HeartbeatRecord
    epochs: tuple[tuple[str, int], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ToPartition:
    """An event for the decisions about one partition."""

    name: str
    event: authority.Event


@dataclasses.dataclass(frozen=True, slots=True)
class Delegated:
    """The holder lets a home act."""

    nonce: int
    name: str
    version: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """A backend server has answered a grant or a probe."""

    server: str
    request: backendapi.GrantRequest | None
    status: backendapi.ServerStatus


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """The router reports what is outstanding."""

    servers: tuple[peers.Drained, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Watched:
    """The platform's watch delivers its state, and shows that it is up."""

    config: Config
    partitions: tuple[tuple[int, schemas.Partition], ...]


# To the platform


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A conditional update of a partition."""

    name: str
    update: authority.PendingUpdate
    reply_to: str


@dataclasses.dataclass(frozen=True, slots=True)
class Configure:
    """Operators replace the configuration."""

    config: Config


@dataclasses.dataclass(frozen=True, slots=True)
class SetDown:
    """The platform goes down or comes back."""

    down: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Notify:
    """It is time to serve the watches."""


ToRouter = (
    Arrived
    | Forwarded
    | PeerAnswered
    | ServerAnswered
    | TicketExpired
    | CallExpired
    | Retry
    | TableNews
    | HomesNews
    | Report
)
ToDirectRouter = (
    Arrived
    | ServerAnswered
    | TicketExpired
    | Usable
    | CreditAsked
    | CreditLent
    | CreditRecalled
    | CreditReturned
)
ToServer = Work | Cancel | Asked | Crash | Start | Slow | ShedAll | Done
ToKeeper = Tick | Beat | ToPartition | Delegated | Answered | Drained | Watched
ToPlatform = Write | Configure | SetDown | Notify
