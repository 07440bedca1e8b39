"""Failures of calls to the object API, returned as values."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform sent no usable response.

    It sent none, or one with a status of 429 or 5xx, or one that can't be
    decoded.

    Attributes:
        call: Method and path of the call.
        reason: Kind of network error, HTTP status, or decoding error.
    """

    call: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A conditional update failed because the object has another version.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        expected: Version that the update was based on.
        found: Version that the object has.
    """

    kind: str
    name: str
    expected: int
    found: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotFound:
    """The object doesn't exist.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
    """

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """An update may have taken effect or may still do so.

    Attributes:
        call: Method and path of the call.
        operation_id: Id of the update. A later read of the object shows it if
            the update was the last to take effect.
    """

    call: str
    operation_id: str


PlatformFailure = Unavailable | Conflict | NotFound | OutcomeUnknown
