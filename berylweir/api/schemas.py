"""Messages of the administration API."""

from typing import Any
from typing import Literal

import msgspec

from berylweir.objects import messages as platform_messages
from berylweir.objects import schemas

Source = Literal["platform", "in_force"]


class Objects(msgspec.Struct, frozen=True):
    """Objects and where they were read.

    Attributes:
        source: `in_force` if the platform doesn't answer and this VM's keeper
            was asked instead.
        vm: Name of this VM.
        items: The objects, removed ones included.
        heard: Whether any source answered.
    """

    source: Source
    vm: str
    items: tuple[platform_messages.StoredObject, ...] = ()
    heard: bool = True


class ObjectView(msgspec.Struct, frozen=True):
    """An object as the API shows it.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        version: Version, which is also the ETag.
        change_id: Change that made the version, if known.
        value: The object.
    """

    kind: str
    name: str
    version: int
    change_id: str
    value: Any


class ObjectViews(msgspec.Struct, frozen=True):
    """Answer to a list call.

    Attributes:
        source: `in_force` if the platform doesn't answer.
        vm: Name of the VM that answers.
        items: The objects.
    """

    source: Source
    vm: str
    items: tuple[ObjectView, ...]


class LabelsPatch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Change of some labels.

    Attributes:
        set: Labels to set.
        remove: Labels to remove.
    """

    set: schemas.Labels = {}
    remove: tuple[schemas.LabelText, ...] = ()


class Moves(msgspec.Struct, frozen=True):
    """Slices that move from one backend server to another."""

    group: str
    partition: int
    source: str
    target: str
    slices: tuple[int, ...]


class CapacityChange(msgspec.Struct, frozen=True):
    """Backend servers in service of a group before and after a change."""

    group: str
    partition: int | None
    before: int
    after: int
    required: int


class ChangeAnswer(msgspec.Struct, frozen=True):
    """Answer to a change.

    Attributes:
        change_id: Id of the change.
        kind: Kind of the object.
        name: Name of the object.
        version: Version that the change made; the present one for a dry run or
            if nothing had to change.
        applied: Whether the platform has the change.
        dry_run: Whether nothing was to be applied.
        unchanged: Whether the object was already so.
        repeated: Whether an earlier request with the id had taken effect.
        value: Next value of the object.
        moves: Slices that move.
        slices_moving: Number of slices that move.
        capacity: Groups that gain or lose backend servers in service.
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
        version: Version in force, or None if the VM can't be heard.
        fault: Why it can't be heard, or empty.
    """

    vm: str
    availability_zone: str
    version: int | None
    fault: str = ""


class Rollout(msgspec.Struct, frozen=True):
    """Which entry VMs have which version of an object in force.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        newest: Newest version that the platform or an entry VM has.
        platform_up: Whether the platform answered.
        complete: Whether each entry VM was heard and has the newest version
            that the platform has.
        vms: The entry VMs.
    """

    kind: str
    name: str
    newest: int
    platform_up: bool
    complete: bool
    vms: tuple[VmVersion, ...]


class Problem(msgspec.Struct, frozen=True):
    """Body of a failure (RFC 9457).

    Attributes:
        type: URN that names the kind of failure.
        title: What happened, in a sentence.
        status: HTTP status.
        detail: The values behind it.
    """

    type: str
    title: str
    status: int
    detail: dict[str, Any] = {}
