"""Validated models of the objects stored in the platform's object API."""

from typing import Annotated
from typing import ClassVar
from typing import Literal

import msgspec

Name = Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")
]
LabelText = Annotated[str, msgspec.Meta(min_length=1, max_length=63)]
Labels = dict[LabelText, LabelText]
Port = Annotated[int, msgspec.Meta(ge=1, le=65535)]
IpAddress = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:]+$")]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]


class Keyed(
    msgspec.Struct, frozen=True, tag="keyed", forbid_unknown_fields=True
):
    """Each key of the group is owned by one backend server.

    Attributes:
        slices: Number of slices that the keys are hashed to, a power of two.
        partitions: Number of partitions that the slices are divided into.
        checks_grants: Whether the backend servers verify grants and fencing
            tokens.
        standby_zone: Whether the standby of a partition is placed in another
            availability zone than its holder, or in the same one.
    """

    slices: PositiveInt = 256
    partitions: PositiveInt = 1
    checks_grants: bool = True
    standby_zone: Literal["other", "same"] = "other"


class Unkeyed(
    msgspec.Struct, frozen=True, tag="unkeyed", forbid_unknown_fields=True
):
    """Any backend server of the group can serve any request.

    Attributes:
        partitions: Number of partitions that the backend servers are divided
            into.
    """

    partitions: PositiveInt = 1


Routing = Keyed | Unkeyed


class ServerGroup(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group of interchangeable backend servers.

    Attributes:
        name: Name of the group.
        routing: Whether each key is owned by one backend server.
        slots: Number of requests that a backend server runs concurrently.
        connections: Maximum number of connections to a backend server.
        idempotent: Whether every request of the group can safely be repeated.
        spare_servers: Number of backend servers that must stay in service; at
            least one must in any case.
        team: Team that may change the group.
        labels: Labels that selectors can match.
    """

    KIND: ClassVar[str] = "server_group"
    name: Name
    routing: Routing
    slots: PositiveInt = 3
    connections: PositiveInt = 120
    idempotent: bool = False
    spare_servers: NonNegativeInt = 0
    team: Name = "default"
    labels: Labels = {}


class BackendServer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A server that runs requests of one server group.

    Attributes:
        name: Name of the backend server.
        group: Name of its server group.
        availability_zone: Name of its availability zone.
        address: IP address.
        port: TCP port.
        partition: Number of the partition that it belongs to, from 0.
        state: `in_service` if it may get new work.
        labels: Labels that selectors can match.
    """

    KIND: ClassVar[str] = "backend_server"
    name: Name
    group: Name
    availability_zone: Name
    address: IpAddress
    port: Port
    partition: NonNegativeInt = 0
    state: Literal["in_service", "draining", "lost"] = "in_service"
    labels: Labels = {}


class AvailabilityZone(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An availability zone and whether it may get new work.

    Attributes:
        name: Name of the zone.
        region: Name of its region.
        in_service: Whether its VMs and backend servers may get new work.
        labels: Labels that selectors can match.
    """

    KIND: ClassVar[str] = "availability_zone"
    name: Name
    region: Name = "default"
    in_service: bool = True
    labels: Labels = {}


class Vm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An entry VM and the addresses of its processes.

    Attributes:
        name: Name of the VM.
        availability_zone: Name of its availability zone.
        address: IP address.
        router_port: TCP port of the router for other routers.
        keeper_port: TCP port of the keeper for other keepers.
        in_service: Whether it may hold partitions and be a home VM.
        status_port: TCP port on which the keeper reports which object versions
            are in force.
    """

    KIND: ClassVar[str] = "vm"
    name: Name
    availability_zone: Name
    address: IpAddress
    router_port: Port
    keeper_port: Port
    in_service: bool = True
    labels: Labels = {}
    status_port: Port = 7103


class KeyFromHeader(msgspec.Struct, frozen=True, tag="header"):
    """The key is the value of a request header.

    Attributes:
        header: Name of the header, in any case.
    """

    header: str = "berylweir-key"


class KeyFromPath(msgspec.Struct, frozen=True, tag="path"):
    """The key is a segment of the path.

    Attributes:
        segment: Index of the segment, from 0.
    """

    segment: NonNegativeInt


KeySource = KeyFromHeader | KeyFromPath


class Selector(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Routes requests with a path prefix to a server group.

    Attributes:
        name: Name of the selector.
        path_prefix: Requests whose path starts with it match; the longest
            matching prefix wins.
        group: Name of the server group that gets the requests.
        key: Part of the request that holds the key.
        priority: Priority in a queue; 0 is the highest.
        server_labels: Labels that a backend server must have to get the
            requests.
        team: Team that may change the selector.
    """

    KIND: ClassVar[str] = "selector"
    name: Name
    path_prefix: Annotated[str, msgspec.Meta(pattern="^/")]
    group: Name
    key: KeySource = KeyFromHeader()
    priority: Annotated[int, msgspec.Meta(ge=0, le=7)] = 4
    server_labels: Labels = {}
    team: Name = "default"


class Incarnation(msgspec.Struct, frozen=True):
    """One run of the keeper of a VM, between its start and its end.

    Attributes:
        vm: Name of the VM.
        nonce: Random id that is new with each start.
    """

    vm: Name
    nonce: str


class Owned(msgspec.Struct, frozen=True, tag="owned"):
    """A backend server owns the slice.

    Attributes:
        server: Name of the backend server.
        token: Fencing token; the version of the partition object that made the
            server the owner.
    """

    server: Name
    token: int


class Moving(msgspec.Struct, frozen=True, tag="moving"):
    """The slice moves from one backend server to another.

    No server serves it until the source has released it.

    Attributes:
        source: Name of the previous owner.
        target: Name of the next owner.
        token: Fencing token of the next owner.
    """

    source: Name
    target: Name
    token: int


class Unassigned(msgspec.Struct, frozen=True, tag="unassigned"):
    """No backend server has ever owned the slice."""


SliceState = Owned | Moving | Unassigned


class Partition(msgspec.Struct, frozen=True):
    """Holder, standby, owners and homes of one partition of a server group.

    Attributes:
        group: Name of the server group.
        index: Number of the partition within the group, from 0.
        epoch: Increases by one when the holder or the standby changes.
        holder: Keeper incarnation that may change the object.
        standby: Keeper incarnation that may take over, or None.
        unresolved: Former holders and standbys that may still renew grants.
        first_slice: Number of the slice that `slices[0]` describes.
        slices: State of each slice of the partition.
        homes: Home VM of each backend server of the partition, by name.
        operation_id: Id of the last update, by which its writer recognises it
            after a lost response.
    """

    KIND: ClassVar[str] = "partition"
    group: Name
    index: NonNegativeInt
    epoch: int
    holder: Incarnation
    standby: Incarnation | None
    unresolved: tuple[Incarnation, ...] = ()
    first_slice: int = 0
    slices: tuple[SliceState, ...] = ()
    homes: dict[Name, Name] = {}
    operation_id: str = ""

    @property
    def name(self) -> str:
        """Name of the object in the object API."""
        return f"{self.group}.{self.index}"


ConfigObject = ServerGroup | BackendServer | AvailabilityZone | Vm | Selector
CONFIG_KINDS: dict[str, type[ConfigObject]] = {
    t.KIND: t
    for t in (ServerGroup, BackendServer, AvailabilityZone, Vm, Selector)
}
