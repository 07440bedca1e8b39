"""HTTP status and problem+json body (RFC 9457) of each failure."""

import re
import typing

import msgspec

from berylweir.api import exceptions
from berylweir.api import schemas

MEDIA_TYPE = "application/problem+json"


def problem_of(failure: exceptions.Failure) -> schemas.Problem:
    """Returns the problem+json body of a failure.

    The type is made from the class name: `NoSuchObject` becomes
    `urn:berylweir:problem:no-such-object`.
    """
    status, title = _status_and_title(failure)
    name = re.sub(r"(?<!^)(?=[A-Z])", "-", type(failure).__name__).lower()
    return schemas.Problem(
        f"urn:berylweir:problem:{name}",
        title,
        status,
        msgspec.to_builtins(failure),
    )


def _status_and_title(
    failure: exceptions.Failure,
) -> tuple[int, str]:
    match failure:
        case exceptions.Unauthenticated():
            return 401, "the request has no valid bearer token"
        case exceptions.Forbidden(operator=operator, kind=kind, name=name):
            return 403, f"operator {operator} may not change {kind} {name}"
        case exceptions.UnknownKind(kind=kind):
            return 404, f"there is no object kind {kind!r} for this request"
        case exceptions.NoSuchObject(kind=kind, name=name):
            return 404, f"there is no {kind} {name}"
        case exceptions.Invalid(reason=reason):
            return 422, reason
        case exceptions.InUse(kind=kind, name=name, users=users):
            return 409, f"{kind} {name} is used by {', '.join(users[:8])}"
        case exceptions.VersionConflict() as conflict:
            winner_clause = f" by {conflict.by}" if conflict.by else ""
            change_clause = (
                f" with change {conflict.lost_to}" if conflict.lost_to else ""
            )
            return 412, (
                f"{conflict.kind} {conflict.name} has version "
                f"{conflict.found}, made{winner_clause}{change_clause}; the "
                f"change was based on version {conflict.expected}"
            )
        case exceptions.ChangeIdReused(change_id=change_id):
            return 409, f"change id {change_id} was used for a different change"
        case exceptions.CapacityTooLow(groups=groups):
            shortfalls = "; ".join(
                f"{c.group}"
                + ("" if c.partition is None else f" partition {c.partition}")
                + f" would have {c.after} in service, needs {c.required}"
                for c in groups
            )
            return 409, f"too few backend servers would be left: {shortfalls}"
        case exceptions.ReasonMissing():
            return 422, "a change with force needs a reason"
        case exceptions.PlatformDown(kind=kind, name=name, in_force=version):
            return 503, (
                f"the platform doesn't respond, so nothing was changed; this "
                f"VM has version {version} of {kind} {name} in force"
            )
        case exceptions.OutcomeUnknown(change_id=change_id):
            return 504, (
                "the change may have been applied; repeat it with change id "
                f"{change_id} to learn the outcome"
            )
        case exceptions.Busy():
            return 503, "too many requests wait; nothing was changed"
        case _:
            typing.assert_never(failure)
