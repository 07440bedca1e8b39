"""Records of callers and backend servers, and violations found in them.

The history program prints violations as they are, so the names of these
classes and their attributes are part of its output.
"""

import dataclasses
import enum


class Outcome(enum.Enum):
    """Whether a request was executed, according to the response."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True)
class Invocation:
    """One attempt of a caller to have a request executed.

    Attributes:
        request_id: Id of the request, the same in each attempt.
        key: Routing key of the request.
        sent_s: When the attempt was sent, on the monotonic clock, in seconds.
        answered_s: When it ended, with a response or without, on the same
            clock, in seconds.
        outcome: Whether the request was executed, according to the response.
        answer_id: Request id in the body of a response with status 200, else
            empty.
        answer_key: Key in the body of a response with status 200, else empty.
        idempotent: Whether the request may be executed more than once.
    """

    request_id: str
    key: str
    sent_s: float
    answered_s: float
    outcome: Outcome
    answer_id: str = ""
    answer_key: str = ""
    idempotent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One execution of a request at a backend server.

    Attributes:
        server: Name of the server.
        request_id: Id of the request.
        slice: Number of the slice under which the request was sent, or -1;
            unique across server groups.
        token: Fencing token under which the request was sent, or -1.
        started_s: Start on the monotonic clock, in seconds.
        ended_s: End on the monotonic clock, in seconds.
    """

    server: str
    request_id: str
    slice: int
    token: int
    started_s: float
    ended_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TwoOwners:
    """Two servers executed requests of one slice as if both owned it.

    Attributes:
        slice: Number of the slice.
        first: Run that started first.
        second: Run on another server that overlaps the first, or has a lower
            fencing token.
    """

    slice: int
    first: Run
    second: Run


@dataclasses.dataclass(frozen=True, slots=True)
class RunTwice:
    """A non-idempotent request was executed more than once."""

    request_id: str
    runs: tuple[Run, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class RunThoughNotRun:
    """A request was executed though each attempt was answered "not-run"."""

    request_id: str
    run: Run


@dataclasses.dataclass(frozen=True, slots=True)
class AcknowledgedNotRun:
    """A request was answered "done" though no server has executed it."""

    request_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ForeignAnswer:
    """A response has the id or key of another request."""

    invocation: Invocation


Violation = (
    TwoOwners | RunTwice | RunThoughNotRun | AcknowledgedNotRun | ForeignAnswer
)
