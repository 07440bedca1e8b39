"""Failures of a command, as values, with their exit codes and messages."""

import dataclasses
import enum
from typing import Any


class ExitCode(enum.IntEnum):
    """Exit codes of `berylweirctl`."""

    OK = 0
    FAILED = 1
    USAGE = 2
    CONFLICT = 3
    REFUSED = 4
    NOT_PERMITTED = 5
    UNREACHABLE = 6
    OUTCOME_UNKNOWN = 7
    DIFFERENCES_FOUND = 8
    ROLLOUT_INCOMPLETE = 9
    NOT_FOUND = 10


@dataclasses.dataclass(frozen=True, slots=True)
class BadInput:
    """A file or an option is invalid.

    Attributes:
        source: Path of the file, or the option.
        reason: Why it is invalid.
    """

    source: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No connection to the administration API; nothing was sent.

    Attributes:
        url: Base URL of the API.
        reason: Error of the connection attempt.
    """

    url: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """A request was sent, but no response arrived.

    Attributes:
        url: Base URL of the API.
        reason: Error of the request.
        change_id: Id of the change, or empty for a read.
    """

    url: str
    reason: str
    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProblemResponse:
    """The administration API responded with a problem body.

    Attributes:
        status: HTTP status.
        problem_type: Last part of the type URN, such as `version-conflict`.
        title: What happened, in a sentence.
        detail: The fields of the failure.
    """

    status: int
    problem_type: str
    title: str
    detail: dict[str, Any] = dataclasses.field(default_factory=dict)


Failure = BadInput | Unreachable | NoResponse | ProblemResponse


def exit_code(failure: Failure) -> ExitCode:
    """Returns the exit code of a failure."""
    match failure:
        case BadInput():
            return ExitCode.USAGE
        case Unreachable():
            return ExitCode.UNREACHABLE
        case NoResponse(change_id=change_id):
            return (
                ExitCode.OUTCOME_UNKNOWN if change_id else ExitCode.UNREACHABLE
            )
        case ProblemResponse(
            problem_type="version-conflict" | "change-id-reused"
        ):
            return ExitCode.CONFLICT
        case ProblemResponse(problem_type="capacity-too-low" | "in-use"):
            return ExitCode.REFUSED
        case ProblemResponse(problem_type="outcome-unknown"):
            return ExitCode.OUTCOME_UNKNOWN
        case ProblemResponse(status=401 | 403):
            return ExitCode.NOT_PERMITTED
        case ProblemResponse(status=404):
            return ExitCode.NOT_FOUND
        case ProblemResponse(status=503):
            return ExitCode.UNREACHABLE
        case ProblemResponse(status=400 | 422):
            return ExitCode.USAGE
        case ProblemResponse():
            return ExitCode.FAILED


def message(failure: Failure) -> str:
    """Returns the message about a failure for the operator, in one line."""
    match failure:
        case BadInput(source=source, reason=reason):
            return f"{source}: {reason}"
        case Unreachable(url=url, reason=reason):
            return (
                f"the administration API at {url} can't be reached: {reason}; "
                "nothing was changed"
            )
        case NoResponse(url=url, reason=reason, change_id=""):
            return f"the administration API at {url} didn't respond: {reason}"
        case NoResponse(url=url, reason=reason, change_id=change_id):
            return (
                f"the administration API at {url} didn't respond: {reason}; "
                f"repeat with --change-id {change_id} to learn the outcome"
            )
        case ProblemResponse(title=title):
            return title
