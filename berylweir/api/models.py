"""Changes that operators ask for, and what becomes of them."""

import dataclasses
from typing import Literal

import msgspec

from berylweir.api.access import models as access
from berylweir.objects import schemas

ObjectKey = tuple[str, str]
ServerState = Literal["in_service", "draining", "lost"]


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Creates or replaces an object."""

    value: schemas.ConfigObject


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Removes an object."""

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeLabels:
    """Sets some labels of an object and removes others."""

    kind: str
    name: str
    set: dict[str, str]
    remove: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SetZoneService:
    """Takes an availability zone out of service or brings it back."""

    name: str
    in_service: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SetServerState:
    """Drains a backend server, brings it back or declares it lost."""

    name: str
    state: ServerState


Operation = Apply | Delete | ChangeLabels | SetZoneService | SetServerState


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An operation with the conditions under which it may take effect.

    Attributes:
        id: Change id; a repeat with the same id takes effect once.
        principal: Who asks for it.
        operation: What is asked for.
        expected: Version that the object must have (0 if it must not exist),
            or None for the newest one.
        reason: Why.
        force: Whether to pass over the capacity check.
        dry_run: Whether to apply nothing.
    """

    id: str
    principal: access.Principal
    operation: Operation
    expected: int | None = None
    reason: str = ""
    force: bool = False
    dry_run: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectVersion:
    """An object in one version.

    Attributes:
        version: Version of the object.
        operation_id: Id of the change that made the version.
        value: The object, or None if the version removed it.
    """

    version: int
    operation_id: str
    value: msgspec.Struct | None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectSnapshot:
    """All objects at one time, by kind and name."""

    objects: dict[ObjectKey, ObjectVersion]

    def version(self, key: ObjectKey) -> int:
        """Returns the version of an object; 0 if it doesn't exist."""
        current = self.objects.get(key)
        return (
            0 if current is None or current.value is None else current.version
        )

    def config_object(self, key: ObjectKey) -> schemas.ConfigObject | None:
        """Returns an operators' object, or None if it doesn't exist."""
        current = self.objects.get(key)
        if current is not None and isinstance(
            current.value, schemas.ConfigObject
        ):
            return current.value
        return None

    def groups(self) -> dict[str, schemas.ServerGroup]:
        """Returns the server groups by name."""
        return {
            o.value.name: o.value
            for o in self.objects.values()
            if isinstance(o.value, schemas.ServerGroup)
        }

    def servers(self) -> tuple[schemas.BackendServer, ...]:
        """Returns the backend servers."""
        return tuple(
            o.value
            for o in self.objects.values()
            if isinstance(o.value, schemas.BackendServer)
        )

    def zones(self) -> dict[str, schemas.AvailabilityZone]:
        """Returns the availability zones by name."""
        return {
            o.value.name: o.value
            for o in self.objects.values()
            if isinstance(o.value, schemas.AvailabilityZone)
        }

    def selectors(self) -> tuple[schemas.Selector, ...]:
        """Returns the selectors."""
        return tuple(
            o.value
            for o in self.objects.values()
            if isinstance(o.value, schemas.Selector)
        )

    def vms(self) -> tuple[schemas.Vm, ...]:
        """Returns the entry VMs."""
        return tuple(
            o.value
            for o in self.objects.values()
            if isinstance(o.value, schemas.Vm)
        )

    def partitions(self) -> tuple[tuple[int, schemas.Partition], ...]:
        """Returns the partitions with their versions."""
        return tuple(
            (o.version, o.value)
            for o in self.objects.values()
            if isinstance(o.value, schemas.Partition)
        )

    def with_value(
        self, key: ObjectKey, value: schemas.ConfigObject | None
    ) -> "ObjectSnapshot":
        """Returns the snapshot with another value of one object."""
        current = self.objects.get(key)
        version = 0 if current is None else current.version
        return ObjectSnapshot(
            {**self.objects, key: ObjectVersion(version + 1, "", value)}
        )


@dataclasses.dataclass(frozen=True, slots=True)
class SliceMoves:
    """Slices that would move from one backend server to another.

    Attributes:
        group: Name of the server group.
        partition: Number of the partition.
        source: Present owner.
        target: Next owner.
        slices: The slices.
    """

    group: str
    partition: int
    source: str
    target: str
    slices: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityChange:
    """Backend servers of a partition of a group before and after a change.

    Attributes:
        group: Name of the server group.
        partition: Number of the partition, or None for the whole group.
        before: In service before the change.
        after: In service after the change.
        required: Number that must stay in service.
    """

    group: str
    partition: int | None
    before: int
    after: int
    required: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangePlan:
    """What a change would do.

    Attributes:
        key: Kind and name of the object.
        value: Its next value, or None to remove it.
        based_on: Version that the change replaces; 0 if there is none.
        unchanged: Whether the object is already so.
        moves: Slices that would move.
        capacity: Groups whose number of servers in service would change.
    """

    key: ObjectKey
    value: schemas.ConfigObject | None
    based_on: int
    unchanged: bool
    moves: tuple[SliceMoves, ...]
    capacity: tuple[CapacityChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The change is in the platform.

    Attributes:
        plan: What it did; None if this is a repeat.
        version: Version that it made.
        repeated: Whether an earlier request with the id had taken effect.
    """

    plan: ChangePlan | None
    version: int
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Planned:
    """What the change would do; nothing was applied."""

    plan: ChangePlan


Outcome = Applied | Planned
