"""Failures of the administration API, as values."""

import dataclasses

from berylweir.api import models


@dataclasses.dataclass(frozen=True, slots=True)
class Unauthenticated:
    """The request has no valid bearer token."""


@dataclasses.dataclass(frozen=True, slots=True)
class Forbidden:
    """The operator isn't permitted to change the object."""

    operator: str
    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKind:
    """No object kind has this name, or it can't be changed this way."""

    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchObject:
    """The object doesn't exist."""

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The request or the object is invalid."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class InUse:
    """The object can't be removed, because other objects refer to it.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        users: Kind and name of each object that refers to it.
    """

    kind: str
    name: str
    users: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionConflict:
    """The object has another version than the change was based on.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        expected: Version that the change was based on.
        found: Version that the object has.
        lost_to: Id of the change that made that version, or empty.
        by: Operator of that change, or empty if the log has no record of it.
        at_ms: Time of that change, in milliseconds since 1970; 0 if unknown.
    """

    kind: str
    name: str
    expected: int
    found: int
    lost_to: str = ""
    by: str = ""
    at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeIdReused:
    """The change id was already used for a different change."""

    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityTooLow:
    """The change would leave groups with too few servers in service."""

    groups: tuple[models.CapacityChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReasonMissing:
    """The change is forced but gives no reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformDown:
    """The platform doesn't respond; nothing was changed.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        in_force: Version of the object in force on this VM; 0 if none is.
    """

    kind: str
    name: str
    in_force: int


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may have been applied; it is safe to repeat with its id."""

    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Busy:
    """The API has too many waiting requests; nothing was changed."""


Failure = (
    Unauthenticated
    | Forbidden
    | UnknownKind
    | NoSuchObject
    | Invalid
    | InUse
    | VersionConflict
    | ChangeIdReused
    | CapacityTooLow
    | ReasonMissing
    | PlatformDown
    | OutcomeUnknown
    | Busy
)
