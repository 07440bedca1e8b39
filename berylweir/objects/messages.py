"""Messages of the platform's object API."""

import msgspec


class StoredObject(msgspec.Struct, frozen=True):
    """An object with the metadata that the platform keeps about it.

    Attributes:
        kind: Kind of the object.
        name: Name, unique in its kind.
        version: Increases by one with each accepted write of the object.
        revision: Position of the last write among all writes to the platform.
        operation_id: Id of the last write, chosen by its writer.
        deleted: Whether the last write removed the object.
        value: The object itself, as JSON.
    """

    kind: str
    name: str
    version: int
    revision: int
    operation_id: str = ""
    deleted: bool = False
    value: msgspec.Raw = msgspec.Raw(b"null")


class ObjectList(msgspec.Struct, frozen=True):
    """Response to a list or watch call.

    Attributes:
        revision: Revision up to which the list is complete.
        items: Objects that changed after the requested revision.
    """

    revision: int
    items: tuple[StoredObject, ...] = ()


class VmStatus(msgspec.Struct, frozen=True):
    """Entry of the platform's list of VMs.

    Attributes:
        name: Name of the VM.
        leaving: Whether the VM is about to be removed.
    """

    name: str
    leaving: bool = False


class VmList(msgspec.Struct, frozen=True):
    """The platform's list of live and leaving VMs; it lags behind."""

    vms: tuple[VmStatus, ...] = ()
