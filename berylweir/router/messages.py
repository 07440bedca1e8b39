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
    """Reply of a home: the request may run, on a connection lent to it.

    Attributes:
        ticket: The request.
        server: Name of the backend server that runs it.
        connection: Connection to use for one exchange.
        valid_until_s: Time before which the request must be sent, in seconds
            on the monotonic clock.
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
    """Asks a home to admit a request.

    Attributes:
        ticket: The request.
        reply: Future that the home resolves with its decision.
    """

    ticket: admission.Ticket
    reply: asyncio.Future[AdmissionResult]


@records.record
class Withdraw:
    """Tells a home that the caller no longer waits for a request."""

    ticket: admission.Ticket


@records.record
class ExchangeFinished:
    """Tells a home that an exchange has ended, and returns its connection.

    Attributes:
        admitted: The reply with which the home admitted the request.
        ending: How the exchange ended.
        first_byte_s: Time from sending the request to the first byte of the
            response, in seconds, or None if it isn't known.
    """

    admitted: Admitted
    ending: admission.Ending
    first_byte_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Authorities:
    """Sets the servers of a home, and what the keeper allows for each.

    Attributes:
        group: The server group as configured now. A changed number of slots
            takes effect at once.
        servers: Each backend server with its authority.
        vm: Name of this VM.
        request_id_homes: VMs among which the request ids of an unkeyed group
            are distributed.
    """

    group: schemas.ServerGroup
    servers: tuple[tuple[schemas.BackendServer, admission.Authority], ...]
    vm: str = ""
    request_id_homes: tuple[str, ...] = ()


@records.record
class ConnectFinished:
    """Tells a home that an attempt to connect to a backend server has ended.

    Attributes:
        ticket: The request that needs the connection.
        server: Name of the backend server.
        connection: The open connection, or None if the attempt failed.
        origin: Pool that the connection belongs to.
    """

    ticket: admission.Ticket
    server: str
    connection: connection.Connection | None
    origin: pool.Pool


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectsReceived:
    """Passes on another VM's report of requests that may crash servers."""

    suspects: peers.Suspects


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Tells a home to make the decisions that depend on time."""


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
    """Report of a home about its servers, for the keeper.

    Attributes:
        group: Name of the server group.
        servers: Slices with outstanding requests and numbers of requests, for
            each server; empty in a report of suspects.
        suspects: Requests that may crash servers, as detected by this home.
    """

    group: str
    servers: tuple[peers.Drained, ...]
    suspects: peers.Suspects = dataclasses.field(default_factory=peers.Suspects)
