"""Failures of the settings file and the object store, returned as values."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidSettings:
    """The settings file can't be read or has invalid contents.

    Attributes:
        path: Path of the file.
        reason: What is wrong with it.
    """

    path: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Undecodable:
    """An object or response doesn't match its schema.

    Attributes:
        subject: Name of the object, or kind whose listing or watch failed.
        reason: What is wrong with it.
    """

    subject: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """The store sent no complete response.

    A write may have taken effect, or may still do so later.

    Attributes:
        call: Method and path of the call.
        reason: Error that ended the call.
    """

    call: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The store refused the call with an error status and changed nothing.

    Attributes:
        call: Method and path of the call.
        status: HTTP status of the response.
    """

    call: str
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryExpired:
    """The store no longer keeps the changes after the requested revision.

    Attributes:
        kind: Kind of the objects that were watched.
        revision: Revision after which changes were requested.
    """

    kind: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A conditional write failed because the object has changed or exists.

    Attributes:
        name: Name of the object.
        body: Current state of the object, as JSON.
        generation: Generation of the store that the response states.
    """

    name: str
    body: bytes
    generation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """The object doesn't exist.

    Attributes:
        name: Name of the object.
    """

    name: str


StoreFailure = (
    Undecodable | Unreachable | Rejected | HistoryExpired | Conflict | Missing
)
