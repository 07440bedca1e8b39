"""Outcomes of an attempt to run a request, and the decision on retries."""

import dataclasses
import typing

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.exchange import models as exchange


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The server returned a response that isn't a failure."""

    answer: exchange.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class ServerFailed:
    """The server ran the request and returned a 5xx response."""

    answer: exchange.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The server declared that it didn't run the request.

    Attributes:
        attempt_result: Why: it is overloaded, or it doesn't own the key.
    """

    attempt_result: messages.AttemptResult


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The request wasn't sent, since there was no usable connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Withdrawn:
    """The request wasn't sent, since the server takes it no longer."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request was sent, but no complete valid response was received.

    The server may or may not have run it.
    """


@dataclasses.dataclass(frozen=True, slots=True)
class OutOfTime:
    """The request was sent, but its deadline passed without a response."""


Outcome = (
    Answered | ServerFailed | NotRun | NotSent | Withdrawn | Unknown | OutOfTime
)


@dataclasses.dataclass(frozen=True, slots=True)
class TryAgain:
    """Send the request to a server again.

    Attributes:
        uses_retry_budget: Whether the retry counts against the retry budget.
    """

    uses_retry_budget: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """Return the server's response to the caller."""

    answer: exchange.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer that no server has run the request or will run it later.

    Attributes:
        retry_after_s: Time after which the caller may retry, in seconds; None
            for the default.
    """

    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Answer that the outcome is unknown, or that the deadline has passed.

    Attributes:
        status: HTTP status code of the answer.
    """

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class RefuseUnreachable:
    """Answer another gateway that no server can be reached from here."""


Step = TryAgain | Return | Refuse | RefuseUnreachable | Fail

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


def next_step(
    outcome: Outcome,
    idempotency: models.Idempotency,
    *,
    remaining_attempts: int,
    may_have_run: bool,
) -> Step:
    """Returns the next step after an attempt.

    A request that isn't idempotent is only retried if no server can have run
    it.

    Args:
        outcome: Outcome of the last attempt.
        idempotency: Whether the request may run more than once.
        remaining_attempts: Number of times that it may still be sent.
        may_have_run: Whether a server may have run it, in this attempt or an
            earlier one.
    """
    is_idempotent = idempotency is models.Idempotency.IDEMPOTENT
    match outcome:
        case Answered(answer):
            return Return(answer)
        case ServerFailed(answer):
            if is_idempotent and remaining_attempts > 0:
                return TryAgain(uses_retry_budget=True)
            return Return(answer)
        case NotSent() | Withdrawn():
            return TryAgain(uses_retry_budget=False)
        case NotRun():
            if remaining_attempts > 0:
                return TryAgain(uses_retry_budget=True)
            return Fail(BAD_GATEWAY) if may_have_run else Refuse()
        case Unknown():
            if is_idempotent and remaining_attempts > 0:
                return TryAgain(uses_retry_budget=True)
            return Fail(BAD_GATEWAY)
        case OutOfTime():
            return Fail(GATEWAY_TIMEOUT)
        case _:
            typing.assert_never(outcome)
