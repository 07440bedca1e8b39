"""Refusals as data classes.

The class name and the first docstring line of each refusal are part of the
response (`type` and `title`), as are its fields (`detail`).
"""

import dataclasses
import enum


class Outcome(enum.Enum):
    """Whether the work that a refused request asked for was done.

    `UNKNOWN` means that the work may have been done in full, in part or not at
    all.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    DONE = "done"


@dataclasses.dataclass(frozen=True, slots=True)
class NoSelector:
    """No selector matches the path.

    Attributes:
        path: Path of the request.
    """

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class BadKey:
    """The key of a keyed request is missing or too long.

    Attributes:
        reason: What is wrong with the key.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class BadRequest:
    """The request breaks a rule of the protocol.

    Attributes:
        reason: The rule that it breaks.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeadersTooLarge:
    """The headers exceed the limit.

    Attributes:
        limit_bytes: Largest accepted size of all headers, in bytes.
    """

    limit_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class BodyTooLarge:
    """The body exceeds the limit.

    Attributes:
        limit_bytes: Largest accepted body, in bytes.
        started: Whether part of it had reached a backend server.
    """

    limit_bytes: int
    started: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class BodyCut:
    """The caller ended the connection before its request was whole.

    Attributes:
        started: Whether part of it had reached a backend server.
    """

    started: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class InternalHeader:
    """The request has a header that only routers may send.

    Attributes:
        header: Name of the header.
    """

    header: str


@dataclasses.dataclass(frozen=True, slots=True)
class BadDeadline:
    """The deadline is not a whole number of milliseconds."""


@dataclasses.dataclass(frozen=True, slots=True)
class SlowSender:
    """The caller took too long to send its request.

    Attributes:
        timeout_s: Time allowed, in seconds.
        started: Whether part of it had reached a backend server.
    """

    timeout_s: float
    started: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NoOwner:
    """The slice has no owner that may serve it now.

    Attributes:
        group: Name of the server group.
        slice: Slice number, from 0.
    """

    group: str
    slice: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotHome:
    """This VM is not the home of the backend server now.

    Attributes:
        server: Name of the backend server.
    """

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoServer:
    """No backend server of the group is in service.

    Attributes:
        group: Name of the server group.
    """

    group: str


@dataclasses.dataclass(frozen=True, slots=True)
class Overloaded:
    """A queue is full or the backend servers shed load.

    Attributes:
        group: Name of the server group.
        retry_after_s: Time after which to try again, in seconds.
    """

    group: str
    retry_after_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineUnmeetable:
    """The request would not be done before its deadline.

    Attributes:
        remaining_s: Time left until the deadline, in seconds.
    """

    remaining_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The deadline passed.

    Attributes:
        sent: Whether a backend server may have begun to run the request.
    """

    sent: bool


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectFailed:
    """No connection to the backend server could be opened.

    Attributes:
        server: Name of the backend server.
    """

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeCut:
    """The connection broke after the request was sent.

    Attributes:
        server: Name of the backend server.
    """

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """The backend server refused the request without running it.

    Attributes:
        server: Name of the backend server.
        retry_after_s: Time after which to try again, in seconds.
    """

    server: str
    retry_after_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatRunning:
    """A request with the same id is running.

    Attributes:
        request_id: Idempotency key of the request.
    """

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatDone:
    """A request with the same id was run before.

    Attributes:
        request_id: Idempotency key of the request.
    """

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class RepeatUnknown:
    """A request with the same id may have been run before.

    Attributes:
        request_id: Idempotency key of the request.
    """

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class BadRequestId:
    """Non-idempotent work needs an Idempotency-Key with a version 7 UUID.

    Attributes:
        reason: What is wrong with the key.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """Requests like this one crashed backend servers.

    Attributes:
        expires_in_s: Time until such requests are accepted again, in seconds.
    """

    expires_in_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ShuttingDown:
    """This VM takes no new requests."""


Refusal = (
    NoSelector
    | BadKey
    | BadRequest
    | HeadersTooLarge
    | BodyTooLarge
    | BodyCut
    | InternalHeader
    | BadDeadline
    | SlowSender
    | NoOwner
    | NotHome
    | NoServer
    | Overloaded
    | DeadlineUnmeetable
    | DeadlineExceeded
    | ConnectFailed
    | ExchangeCut
    | Shed
    | RepeatRunning
    | RepeatDone
    | RepeatUnknown
    | BadRequestId
    | Quarantined
    | ShuttingDown
)
