"""Records of changes, kept in the platform."""

from typing import ClassVar
from typing import Literal

import msgspec


class ChangeRecord(msgspec.Struct, frozen=True):
    """One change that an operator asked for.

    Attributes:
        id: Change id, which is also the operation id of the write.
        number: Position among all changes.
        operator: Who asked for it.
        at_ms: When, in milliseconds of the wall clock since 1970.
        reason: Why, in the operator's words.
        action: What was asked for.
        kind: Kind of the object.
        name: Name of the object.
        based_on: Version that the change replaces.
        fingerprint: Hash of the operator and the request, so that a change id
            isn't taken for another change.
        forced: Whether the capacity check was passed over.
        state: `intended` until the outcome of the write is recorded.
        version: Version that the change made, once applied.
        value: The object as JSON, or None if the change removes it. Kept only
            while the change is intended.
    """

    id: str
    number: int
    operator: str
    at_ms: int
    reason: str
    action: str
    kind: str
    name: str
    based_on: int
    fingerprint: str
    forced: bool = False
    state: Literal["intended", "applied", "lost"] = "intended"
    version: int = 0
    value: str | None = None


class ChangeLog(msgspec.Struct, frozen=True):
    """A platform object that holds consecutive records.

    Attributes:
        next_number: Number of the next record.
        records: Records in the order of their numbers.
    """

    KIND: ClassVar[str] = "change_log"
    CURRENT_NAME: ClassVar[str] = "current"
    next_number: int = 0
    records: tuple[ChangeRecord, ...] = ()
