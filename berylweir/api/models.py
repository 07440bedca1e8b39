"""Changes that operators request, their plans and their outcomes."""

import dataclasses
from typing import Literal

import msgspec

from berylweir.api.access import models as access
from berylweir.objects import schemas

ObjectKey = tuple[str, str]
ServerState = Literal["in_service", "draining", "lost"]


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Operation that creates or replaces an object."""

    value: schemas.ConfigObject


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Operation that removes an object."""

    kind: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeLabels:
    """Operation that sets some labels of an object and removes others."""

    kind: str
    name: str
    set: dict[str, str]
    remove: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SetZoneService:
    """Operation that takes a zone out of service or brings it back.

    Attributes:
        name: Name of the availability zone.
        in_service: Whether the zone is to be in service.
    """

    name: str
    in_service: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SetServerState:
    """Operation that drains a backend server, restores it or marks it lost."""

    name: str
    state: ServerState


Operation = Apply | Delete | ChangeLabels | SetZoneService | SetServerState


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A requested operation and the conditions for applying it.

    Attributes:
        id: Change id; requests with the same id are applied once.
        principal: Operator who requests the change.
        operation: What to change.
        expected: Version that the object must have (0 if it must not exist),
            or None to change whichever version is the newest.
        reason: Reason that the operator gives.
        force: Whether to skip the capacity check.
        dry_run: Whether to return the plan without applying it.
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
    """One version of an object.

    Attributes:
        version: Version of the object.
        operation_id: Id of the write that made the version, which is the id of
            the change if an operator made it.
        value: The object, or None if the version removed it.
    """

    version: int
    operation_id: str
    value: msgspec.Struct | None


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectSnapshot:
    """All objects as of one moment, by kind and name."""

    objects: dict[ObjectKey, ObjectVersion]

    def version(self, key: ObjectKey) -> int:
        """Returns the version of an object; 0 if it doesn't exist."""
        current = self.objects.get(key)
        return (
            0 if current is None or current.value is None else current.version
        )

    def config_object(self, key: ObjectKey) -> schemas.ConfigObject | None:
        """Returns an object that operators configure; None if there is none."""
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
        """Returns a copy of the snapshot in which one object is changed.

        Args:
            key: Kind and name of the object.
            value: Its new value, or None to remove it.
        """
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
        source: Backend server that owns the slices now.
        target: Backend server that would own them.
        slices: Numbers of the slices.
    """

    group: str
    partition: int
    source: str
    target: str
    slices: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityChange:
    """Number of a group's servers in service before and after a change.

    Attributes:
        group: Name of the server group.
        partition: Number of the partition, or None for the whole group.
        before: Number of servers in service before the change, plus the new
            requirement if the change raises it: a raised requirement counts
            as a loss of servers.
        after: Number of servers in service after the change.
        required: Number of servers that must stay in service.
    """

    group: str
    partition: int | None
    before: int
    after: int
    required: int


@dataclasses.dataclass(frozen=True, slots=True)
class ChangePlan:
    """Effects that a change would have.

    Attributes:
        key: Kind and name of the object.
        value: New value of the object, or None to remove it.
        based_on: Version that the change replaces; 0 if the object doesn't
            exist.
        unchanged: Whether the object already has the new value.
        moves: Slices that would move.
        capacity: Groups and partitions whose number of servers in service
            would change.
    """

    key: ObjectKey
    value: schemas.ConfigObject | None
    based_on: int
    unchanged: bool
    moves: tuple[SliceMoves, ...]
    capacity: tuple[CapacityChange, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Applied:
    """The platform has stored the change.

    Attributes:
        plan: Effects of the change; None if an earlier request applied it.
        version: Version that the change made.
        repeated: Whether an earlier request with the same change id had
            already applied it.
    """

    plan: ChangePlan | None
    version: int
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Planned:
    """The outcome of a dry run: the plan, of which nothing was applied."""

    plan: ChangePlan


Outcome = Applied | Planned
