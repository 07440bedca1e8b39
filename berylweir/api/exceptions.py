"""Failures of the administration API, as values."""

import dataclasses

from berylweir.api import models


@dataclasses.dataclass(frozen=True, slots=True)
class Unauthenticated:
    """The request has no valid bearer token."""


@dataclasses.dataclass(frozen=True, slots=True)
class Forbidden:
    """The operator may not change the object."""

    operator: str
    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKind:
    """There is no such kind of object."""

    kind: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoSuchObject:
    """The object doesn't exist."""

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The request or the object breaks a rule."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class InUse:
    """Other objects refer to the object."""

    kind: str
    name: str
    users: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionConflict:
    """The change lost to another one.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        expected: Version that the change was based on.
        found: Version that the object has.
        lost_to: Id of the change that made that version, or empty.
        by: Operator of that change, or empty if the log has no record of it.
        at_ms: When that was, in milliseconds since 1970; 0 if not known.
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
    """The change id belongs to another change."""

    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityTooLow:
    """Groups would be left with too few backend servers in service."""

    groups: tuple[models.CapacityChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ReasonMissing:
    """A forced change needs a reason."""


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformDown:
    """The platform doesn't answer; nothing was changed.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        in_force: Version that is in force on this VM; 0 if there is none.
    """

    kind: str
    name: str
    in_force: int


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The change may have taken effect; a repeat with its id is harmless."""

    change_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class Busy:
    """Too many changes wait."""


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
