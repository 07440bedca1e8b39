"""Request and response bodies of the administration API."""

from typing import Any
from typing import Literal

import msgspec

from berylweir.objects import messages as platform_messages
from berylweir.objects import schemas

Source = Literal["platform", "in_force"]


class Objects(msgspec.Struct, frozen=True):
    """Objects and the source that they were read from.

    Attributes:
        source: `platform`, or `in_force` if the platform doesn't respond and
            the objects were read from this VM's keeper.
        vm: Name of this VM.
        items: The objects, removed ones included.
        heard: Whether the platform or the keeper responded.
    """

    source: Source
    vm: str
    items: tuple[platform_messages.StoredObject, ...] = ()
    heard: bool = True


class ObjectView(msgspec.Struct, frozen=True):
    """An object as the API returns it.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        version: Version, which is also the ETag.
        change_id: Id of the change that made the version; empty if unknown.
        value: The object.
    """

    kind: str
    name: str
    version: int
    change_id: str
    value: Any


class ObjectViews(msgspec.Struct, frozen=True):
    """Response to a list request.

    Attributes:
        source: `platform`, or `in_force` if the platform doesn't respond.
        vm: Name of the VM that responds.
        items: The objects.
    """

    source: Source
    vm: str
    items: tuple[ObjectView, ...]


class LabelsPatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Labels to set and to remove; other labels stay.

    Attributes:
        set: Labels to set, by name.
        remove: Names of labels to remove.
    """

    set: schemas.Labels = {}
    remove: tuple[schemas.LabelText, ...] = ()


class Moves(msgspec.Struct, frozen=True):
    """Slices that move from one backend server to another.

    Attributes:
        group: Name of the server group.
        partition: Number of the partition.
        source: Backend server that owns the slices now.
        target: Backend server that will own them.
        slices: Numbers of the slices.
    """

    group: str
    partition: int
    source: str
    target: str
    slices: tuple[int, ...]


class CapacityChange(msgspec.Struct, frozen=True):
    """Number of a group's servers in service before and after a change.

    Attributes:
        group: Name of the server group.
        partition: Number of the partition, or None for the whole group.
        before: Number of servers in service before the change, plus the new
            requirement if the change raises it.
        after: Number of servers in service after the change.
        required: Number of servers that must stay in service.
    """

    group: str
    partition: int | None
    before: int
    after: int
    required: int


class ChangeAnswer(msgspec.Struct, frozen=True):
    """Response to a change.

    Attributes:
        change_id: Id of the change.
        kind: Kind of the object.
        name: Name of the object.
        version: Version that the change made, or the present version for a dry
            run or if nothing had to change.
        applied: Whether the platform has stored the change.
        dry_run: Whether the change was only planned.
        unchanged: Whether the object already had the value.
        repeated: Whether an earlier request with the change id had already
            applied the change.
        value: Value of the object after the change.
        moves: Slices that move.
        slices_moving: Number of slices that move.
        capacity: Groups and partitions whose number of backend servers in
            service changes.
    """

    change_id: str
    kind: str
    name: str
    version: int
    applied: bool
    dry_run: bool
    unchanged: bool = False
    repeated: bool = False
    value: Any = None
    moves: tuple[Moves, ...] = ()
    slices_moving: int = 0
    capacity: tuple[CapacityChange, ...] = ()


class VmVersion(msgspec.Struct, frozen=True):
    """Version of an object that is in force on an entry VM.

    Attributes:
        vm: Name of the entry VM.
        availability_zone: Its availability zone.
        version: Version in force, or None if it is unknown.
        fault: Reason why it is unknown, or empty.
    """

    vm: str
    availability_zone: str
    version: int | None
    fault: str = ""


class Rollout(msgspec.Struct, frozen=True):
    """Version of an object in force on each entry VM.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        newest: Newest version that the platform or an entry VM has.
        platform_up: Whether the platform responded.
        complete: Whether the platform and the keepers of all entry VMs
            responded and each VM has the newest version in force.
        vms: The entry VMs.
    """

    kind: str
    name: str
    newest: int
    platform_up: bool
    complete: bool
    vms: tuple[VmVersion, ...]


class Problem(msgspec.Struct, frozen=True):
    """Problem body of a failed request (RFC 9457).

    Attributes:
        type: URN that names the kind of failure.
        title: What happened, in a sentence.
        status: HTTP status.
        detail: The fields of the failure.
    """

    type: str
    title: str
    status: int
    detail: dict[str, Any] = {}
