"""Entries in the queue of a caller's connection."""

import asyncio
import contextlib
import dataclasses
import enum
import math

from berylweir.gateway.body_memory import budget
from berylweir.gateway.exchange import models as exchange
from berylweir.platform import requests

# Time before the deadline of a caller at which its answers are written, so that
# they arrive in time: in seconds, and as a share of its whole time.
_MAX_ANSWER_LEAD_S = 0.1
_ANSWER_LEAD_SHARE = 0.1


class CloseReason(enum.Enum):
    """Why a gateway closes the connection of a caller."""

    # No request came within the idle timeout.
    IDLE = "idle"
    # The gateway stops.
    STOPPING = "stopping"
    # The last answer announced it.
    ANNOUNCED = "announced"
    # A request was invalid, or its body didn't fit into the memory.
    REJECTED = "rejected"
    # The response of a server broke off.
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True)
class Closed:
    """The gateway answers no further request of a connection.

    Attributes:
        reason: Why.
        since_s: Since when, on the loop's clock, in seconds.
    """

    reason: CloseReason
    since_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """An invalid request: it violates HTTP or exceeds a limit.

    Attributes:
        status: HTTP status code of the answer.
        reason: Description of the violation, for the log.
    """

    status: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoMemory:
    """A request whose body doesn't fit into the memory for bodies.

    Attributes:
        request_id: Id of the request; empty if it has none.
        size_bytes: Size of the body as far as it is known, in bytes.
    """

    request_id: str
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Interrupted:
    """A request that was still being received when the gateway stopped.

    Attributes:
        request_id: Id of the request; empty if it has none, or if its head
            wasn't complete.
    """

    request_id: str


Rejection = Violation | NoMemory | Interrupted


@dataclasses.dataclass(frozen=True, slots=True)
class RequestTraits:
    """What the configuration says of a request.

    Attributes:
        route: Name of its route; empty if no route matches.
        is_idempotent: Whether it may run more than once.
    """

    route: str
    is_idempotent: bool


@dataclasses.dataclass(slots=True)
class IncomingRequest:
    """A request whose head has been received.

    Attributes:
        head: The head, decoded.
        origin: From whom it was received.
        traits: What the configuration says of it.
        received_s: When the head was complete, on the loop's clock, in seconds.
        reservation: Memory of the body.
        stack: Releases the memory.
        body: The body as far as it was received.
    """

    head: requests.RequestHead
    origin: exchange.Origin
    traits: RequestTraits
    received_s: float
    reservation: budget.Reservation
    stack: contextlib.ExitStack
    body: bytearray = dataclasses.field(default_factory=bytearray)

    def is_expired(self, now_s: float) -> bool:
        """Returns whether the caller waits no longer.

        Args:
            now_s: Time on the loop's clock, in seconds.
        """
        deadline_ms = self.head.deadline_ms or math.inf
        return now_s > self.received_s + deadline_ms / 1000.0


@dataclasses.dataclass(slots=True, eq=False)
class PendingRequest:
    """A request whose answer hasn't been written completely.

    Attributes:
        request: The request.
        keep_alive: Whether the caller keeps the connection open after it.
        is_idempotent: Whether the request may run more than once.
        stack: Releases the memory of its body.
        task: Produces the answer; None until the request is started.
        is_being_written: Whether a part of the answer has been written.
    """

    request: exchange.CallerRequest
    keep_alive: bool
    is_idempotent: bool
    stack: contextlib.ExitStack
    task: "asyncio.Task[exchange.Answer] | None" = None
    is_being_written: bool = False

    def limit_answer(self, next_deadline_s: float) -> None:
        """Makes room for the answer to a request behind this one.

        A caller closes the connection at the shortest deadline of its requests,
        and none of them is answered then.

        Args:
            next_deadline_s: Deadline of the request behind this one, on the
                loop's clock, in seconds.
        """
        deadline_s = min(self.request.deadline_s, next_deadline_s)
        time_s = deadline_s - self.request.head_received_s
        lead_s = min(_MAX_ANSWER_LEAD_S, time_s * _ANSWER_LEAD_SHARE)
        self.request.answer_limit.lower(deadline_s - lead_s)

    def drop(self) -> None:
        """Cancels the request, or drops its answer."""
        self.stack.close()
        if self.task is not None:
            self.task.cancel()
            self.task.add_done_callback(_close_answer)


Entry = PendingRequest | Rejection


def _close_answer(task: "asyncio.Task[exchange.Answer]") -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()
