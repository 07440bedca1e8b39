"""Outcomes of forwarding a request, and the decision on the next step."""

import dataclasses
import typing

from berylweir.gateway import models
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.exchange import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class Served:
    """The other gateway returned the response of a server."""

    answer: exchange.Answer


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The other gateway refused the request; it wasn't run.

    Attributes:
        retry_after_s: Time after which the caller may retry, in seconds; None
            if it isn't known.
    """

    retry_after_s: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The other gateway can't reach the server either; it sent nothing.

    Attributes:
        is_isolated: Whether it can't use any server.
    """

    is_isolated: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The other gateway answered that a server may have run the request.

    Attributes:
        status: HTTP status of its answer.
    """

    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotConnected:
    """The request wasn't sent, since there was no usable connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request was sent, but no complete valid answer was received."""


@dataclasses.dataclass(frozen=True, slots=True)
class OutOfTime:
    """The request was sent, but its deadline passed without an answer."""


Outcome = (
    Served | Refused | Unreachable | Failed | NotConnected | Unknown | OutOfTime
)


def may_have_run(outcome: Outcome) -> bool:
    """Returns whether a server may have run the request."""
    match outcome:
        case Refused() | Unreachable() | NotConnected():
            return False
        case Served() | Failed() | Unknown() | OutOfTime():
            return True
        case _:
            typing.assert_never(outcome)


def next_step(
    outcome: Outcome,
    idempotency: models.Idempotency,
    *,
    remaining_attempts: int,
    may_have_run: bool,
) -> outcomes.Step:
    """Returns the next step after a request was forwarded.

    Args:
        outcome: What came of it.
        idempotency: Whether the request may run more than once.
        remaining_attempts: Number of times that it may still be sent.
        may_have_run: Whether a server may have run it, this time or earlier.
    """
    match outcome:
        case Served(answer):
            return outcomes.Return(answer)
        case Refused(retry_after_s):
            if may_have_run:
                return outcomes.Fail(outcomes.BAD_GATEWAY)
            return outcomes.Refuse(retry_after_s)
        case Unreachable() | NotConnected():
            return outcomes.TryAgain(uses_retry_budget=False)
        case Failed(status):
            return outcomes.Fail(status)
        case Unknown():
            return outcomes.next_step(
                outcomes.Unknown(),
                idempotency,
                remaining_attempts=remaining_attempts,
                may_have_run=may_have_run,
            )
        case OutOfTime():
            return outcomes.Fail(outcomes.GATEWAY_TIMEOUT)
        case _:
            typing.assert_never(outcome)
