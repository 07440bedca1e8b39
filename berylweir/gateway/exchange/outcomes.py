"""What came of sending a request to a server, and what to do next."""

import dataclasses
import typing

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.exchange import models as exchange


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The server's own response has arrived."""

    answer: exchange.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class ServerFailed:
    """The server ran the request and answered with a failure."""

    answer: exchange.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The server promises that it didn't run the request."""

    attempt_result: messages.AttemptResult


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """Nothing of the request was sent."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request was sent, and no whole response of the server came."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutOfTime:
    """The request was sent, and its time is over."""


Outcome = Answered | ServerFailed | NotRun | NotSent | Unknown | OutOfTime


@dataclasses.dataclass(frozen=True, slots=True)
class TryAgain:
    """Send the request to a server once more.

    Attributes:
        uses_retry_budget: Whether this uses the retry budget.
    """

    uses_retry_budget: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Return:
    """Return the server's answer."""

    answer: exchange.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer that the request was not run and never will be."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fail:
    """Answer that the outcome is unknown, or that the time is over."""

    status: int


Step = TryAgain | Return | Refuse | Fail

BAD_GATEWAY = 502
GATEWAY_TIMEOUT = 504


def next_step(
    outcome: Outcome,
    idempotency: models.Idempotency,
    *,
    remaining_attempts: int,
    may_have_run: bool,
) -> Step:
    """Returns what follows from an outcome.

    Args:
        outcome: What came of the last send.
        idempotency: Whether the request may run more than once.
        remaining_attempts: Servers that it may still be sent to.
        may_have_run: Whether an earlier send may have run it.
    """
    is_idempotent = idempotency is models.Idempotency.IDEMPOTENT
    match outcome:
        case Answered(answer):
            return Return(answer)
        case ServerFailed(answer):
            if is_idempotent and remaining_attempts > 0:
                return TryAgain(uses_retry_budget=True)
            return Return(answer)
        case NotSent():
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
