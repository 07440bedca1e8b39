"""Maps each refusal to its HTTP status, outcome and problem+json body."""

import dataclasses
import re
import typing

import msgspec

from berylweir.refusals import models

MEDIA_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Problem details (RFC 9457), the body of a refusal.

    Attributes:
        type: URN that names the kind of refusal.
        title: One sentence that describes the kind of refusal.
        status: HTTP status.
        outcome: Whether the requested work was done: `not-run`, `unknown` or
            `done`.
        detail: Fields of the refusal, by name.
    """

    type: str
    title: str
    status: int
    outcome: str
    detail: dict[str, str | int | float | bool]


def name_of(refusal: models.Refusal) -> str:
    """Returns the class name of a refusal in kebab case, such as `not-home`."""
    return re.sub(r"(?<!^)(?=[A-Z])", "-", type(refusal).__name__).lower()


def outcome_of(refusal: models.Refusal) -> models.Outcome:
    """Returns whether the requested work was, or may have been, done."""
    match refusal:
        case models.DeadlineExceeded(sent=sent):
            return models.Outcome.UNKNOWN if sent else models.Outcome.NOT_RUN
        case (
            models.SlowSender(started=started)
            | models.BodyCut(started=started)
            | models.BodyTooLarge(started=started)
        ):
            return models.Outcome.UNKNOWN if started else models.Outcome.NOT_RUN
        case (
            models.ExchangeCut()
            | models.RepeatRunning()
            | models.RepeatUnknown()
        ):
            return models.Outcome.UNKNOWN
        case models.RepeatDone():
            return models.Outcome.DONE
        case (
            models.NoSelector()
            | models.BadKey()
            | models.BadRequest()
            | models.InternalHeader()
            | models.BadDeadline()
            | models.HeadersTooLarge()
            | models.NoOwner()
            | models.NotHome()
            | models.NoServer()
            | models.Overloaded()
            | models.DeadlineUnmeetable()
            | models.ConnectFailed()
            | models.Shed()
            | models.BadRequestId()
            | models.Quarantined()
            | models.ShuttingDown()
        ):
            return models.Outcome.NOT_RUN
        case _:
            typing.assert_never(refusal)


def status_of(refusal: models.Refusal) -> int:
    """Returns the HTTP status of the refusal."""
    match refusal:
        case models.NoSelector():
            return 404
        case (
            models.BadKey()
            | models.BadRequest()
            | models.BadRequestId()
            | models.BodyCut()
            | models.InternalHeader()
            | models.BadDeadline()
        ):
            return 400
        case models.SlowSender():
            return 408
        case (
            models.RepeatRunning()
            | models.RepeatDone()
            | models.RepeatUnknown()
        ):
            return 409
        case models.BodyTooLarge():
            return 413
        case models.Quarantined():
            return 422
        case models.Overloaded() | models.Shed():
            return 429
        case models.HeadersTooLarge():
            return 431
        case models.ExchangeCut() | models.ConnectFailed():
            return 502
        case (
            models.NoOwner()
            | models.NotHome()
            | models.NoServer()
            | models.DeadlineUnmeetable()
            | models.ShuttingDown()
        ):
            return 503
        case models.DeadlineExceeded():
            return 504
        case _:
            typing.assert_never(refusal)


def retry_after_s(refusal: models.Refusal) -> float | None:
    """Returns the value of `Retry-After` in seconds, or None to omit it."""
    match refusal:
        case (
            models.Overloaded(retry_after_s=wait_s)
            | models.Shed(retry_after_s=wait_s)
        ):
            return wait_s
        case models.Quarantined(expires_in_s=wait_s):
            return wait_s
        case _:
            return None


def problem_of(refusal: models.Refusal) -> Problem:
    """Returns the problem+json body of the refusal.

    The title is the first line of the class docstring, so rewording that line
    changes the response.
    """
    documentation = (type(refusal).__doc__ or "").splitlines()[0]
    return Problem(
        f"urn:berylweir:refusal:{name_of(refusal)}",
        documentation,
        status_of(refusal),
        outcome_of(refusal).value,
        dataclasses.asdict(refusal),
    )
