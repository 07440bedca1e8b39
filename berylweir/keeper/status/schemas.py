"""Response bodies of a keeper's status endpoint."""

import msgspec

from berylweir.objects import messages as platform


class VersionInForce(msgspec.Struct, frozen=True):
    """Version of one object that is in force on a VM.

    Attributes:
        vm: Name of the VM.
        kind: Kind of the object.
        name: Name of the object.
        version: Version in force; 0 if the VM doesn't know the object.
    """

    vm: str
    kind: str
    name: str
    version: int


class ObjectsInForce(msgspec.Struct, frozen=True):
    """All objects that are in force on a VM.

    Attributes:
        vm: Name of the VM.
        incarnation: Id of the keeper's incarnation.
        revision: Platform revision up to which the keeper has all changes.
        platform_up: Whether the keeper's last call to the platform succeeded.
        objects: Objects in the versions in force, removed ones included.
    """

    vm: str
    incarnation: str
    revision: int
    platform_up: bool
    objects: tuple[platform.StoredObject, ...] = ()
