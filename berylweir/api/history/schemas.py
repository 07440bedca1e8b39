"""Change log objects, as the platform stores them."""

from typing import ClassVar
from typing import Literal

import msgspec


class ChangeRecord(msgspec.Struct, frozen=True):
    """One change that an operator requested.

    Attributes:
        id: Change id, which is also the operation id of the write.
        number: Position among all changes.
        operator: Name of the operator.
        at_ms: Wall clock time at which the change was recorded, in
            milliseconds since 1970.
        reason: Reason that the operator gave.
        action: Name of the action, such as `zone-out`.
        kind: Kind of the object.
        name: Name of the object.
        based_on: Version that the change replaces.
        fingerprint: Hash of the operator and the request. It shows whether a
            request with the same change id is a repeat or a different change.
        forced: Whether the capacity check was skipped.
        state: `intended` until the outcome of the write is recorded, then
            `applied`, or `lost` if another write came first.
        version: Version that the change made; 0 unless it was applied.
        value: New value of the object as JSON, or None if the change removes
            it. Kept only while the change is intended.
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
    """A platform object with consecutive records of changes.

    Attributes:
        next_number: Number for the next record that is appended.
        records: Records in the order of their numbers.
    """

    KIND: ClassVar[str] = "change_log"
    CURRENT_NAME: ClassVar[str] = "current"
    next_number: int = 0
    records: tuple[ChangeRecord, ...] = ()
