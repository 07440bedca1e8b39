"""Messages of the platform's object API."""

import msgspec


class StoredObject(msgspec.Struct, frozen=True):
    """An object as the platform keeps it.

    Attributes:
        kind: Kind of the object.
        name: Name, unique in its kind.
        version: Rises by one with each accepted write of the object.
        revision: Position of the write among all writes of the platform.
        operation_id: Id that the writer gave to its last write.
        deleted: Whether the last write removed the object.
        value: The object itself, still encoded.
    """

    kind: str
    name: str
    version: int
    revision: int
    operation_id: str = ""
    deleted: bool = False
    value: msgspec.Raw = msgspec.Raw(b"null")


class ObjectList(msgspec.Struct, frozen=True):
    """Answer to a list or watch call.

    Attributes:
        revision: Revision up to which the answer is complete.
        items: Objects that changed since the asked revision.
    """

    revision: int
    items: tuple[StoredObject, ...] = ()


class VmStatus(msgspec.Struct, frozen=True):
    """Entry of the platform's lagging list of VMs."""

    name: str
    leaving: bool = False


class VmList(msgspec.Struct, frozen=True):
    """The platform's lagging list of live and leaving VMs."""

    vms: tuple[VmStatus, ...] = ()
