"""Messages between the tasks of a router."""

import asyncio
import dataclasses

import result

from berylweir import records
from berylweir.objects import schemas
from berylweir.peers import messages as peers
from berylweir.refusals import models as refusals
from berylweir.router.admission import models as admission
from berylweir.router.backends import connection
from berylweir.router.backends import pool


@records.record
class Admitted:
    """A request may run, over a connection that is lent to it.

    Attributes:
        ticket: The request.
        server: Backend server that runs it.
        connection: Connection to use for one exchange.
        valid_until_s: The request must be sent before this monotonic time.
        token: Fencing token to send, or None in an unkeyed group.
    """

    ticket: admission.Ticket
    server: str
    connection: connection.Connection
    valid_until_s: float
    token: int | None


AdmissionResult = result.Result[Admitted, refusals.Refusal]


@records.record
class Admit:
    """Asks a home to let a request run."""

    ticket: admission.Ticket
    reply: asyncio.Future[AdmissionResult]


@records.record
class Withdraw:
    """The request is no longer wanted."""

    ticket: admission.Ticket


@records.record
class ExchangeFinished:
    """An exchange has ended; the connection goes back to its home.

    Attributes:
        admitted: What the home had admitted.
        ending: How the exchange has ended.
        first_byte_s: Time from the sending of the request to the first byte of
            the response, in seconds, or None if it isn't known.
    """

    admitted: Admitted
    ending: admission.Ending
    first_byte_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Authorities:
    """What the keeper allows for the servers of a home.

    Attributes:
        group: The server group as configured now; its slots take effect at
            once.
        servers: Backend servers with what is allowed.
        vm: Name of this VM.
        request_id_homes: VMs that share the ids of non-idempotent work.
    """

    group: schemas.ServerGroup
    servers: tuple[tuple[schemas.BackendServer, admission.Authority], ...]
    vm: str = ""
    request_id_homes: tuple[str, ...] = ()


@records.record
class ConnectFinished:
    """A connection for an admitted request is open, or couldn't be opened.

    Attributes:
        ticket: The request.
        server: Backend server that runs it.
        connection: The connection, or None.
        origin: Pool that the connection belongs to.
    """

    ticket: admission.Ticket
    server: str
    connection: connection.Connection | None
    origin: pool.Pool


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectsReceived:
    """Other homes have found requests that may crash backend servers."""

    suspects: peers.Suspects


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


HomeMessage = (
    Admit
    | Withdraw
    | ExchangeFinished
    | Authorities
    | ConnectFinished
    | SuspectsReceived
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class HomeReport:
    """A home reports what is outstanding at its servers.

    Attributes:
        group: Name of the server group.
        servers: What is outstanding at each server.
        suspects: Requests that this home found to crash servers.
    """

    group: str
    servers: tuple[peers.Drained, ...]
    suspects: peers.Suspects = dataclasses.field(default_factory=peers.Suspects)
