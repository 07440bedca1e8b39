"""Messages between keepers, and between a keeper and its router.

Messages are encoded as arrays, without field names, since the control traffic
must stay below 5 KB/s for each VM. A new field is added at the end and has a
default. An older release ignores the field, and a newer one uses the default
if an older sender omits it. A receiver counts and drops messages of an unknown
type.

A partition is a part of the slices of a server group. Its holder is the keeper
that may change the partition object, and its standby is the keeper that takes
over if the holder is lost. The home of a backend server is the VM whose router
admits requests to it.
"""

import msgspec

from berylweir.objects import schemas


class PartitionVersion(msgspec.Struct, frozen=True, array_like=True):
    """The newest version of a partition that a keeper knows.

    Attributes:
        partition: Name of the partition object.
        version: Newest known version of the object.
        epoch: Epoch in that version.
    """

    partition: str
    version: int
    epoch: int


class Heartbeat(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reports that a keeper is alive, and which versions it knows.

    Attributes:
        sequence: Number of the heartbeat, increasing within an incarnation.
        revision: Platform revision up to which its configuration is complete.
        partitions: Partitions of which it is the holder, the standby or a
            former holder or standby that is unresolved.
        leaving: Whether it is shutting down.
    """

    sequence: int
    revision: int
    partitions: tuple[PartitionVersion, ...] = ()
    leaving: bool = False


class RenewRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Request of a holder to its standby to renew leases.

    Attributes:
        nonce: Number of the request.
        epochs: Names of the partitions, each with the holder's epoch.
    """

    nonce: int
    epochs: tuple[tuple[str, int], ...]


class Promise(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Promise of a standby not to take over before the lease ends.

    Attributes:
        nonce: Number of the `RenewRequest`.
        epochs: Names of the partitions, each with the epoch of the lease.
        refused: Partitions with a newer epoch than the requested one.
    """

    nonce: int
    epochs: tuple[tuple[str, int], ...]
    refused: tuple[PartitionVersion, ...] = ()


class Resign(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Promise never to act again as holder or standby in an epoch.

    Attributes:
        epochs: Names of the partitions, each with the epoch that is given up.
    """

    epochs: tuple[tuple[str, int], ...]


class ServerHealth(msgspec.Struct, frozen=True, array_like=True):
    """Report of a home about one of its backend servers.

    Attributes:
        server: Name of the backend server.
        healthy: Whether it has responded recently.
        instance: Id of its newest known instance, or empty.
        load: Requests per second that it served recently.
    """

    server: str
    healthy: bool
    instance: str = ""
    load: float = 0.0


class DelegateRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Request of a home for a delegation, with a report on its servers.

    Attributes:
        nonce: Number of the request.
        partition: Name of the partition object.
        version: Version of the object that names the sender as home.
        servers: Backend servers whose home it is.
        slice_loads: Numbers of busy slices, each with its requests per second.
    """

    nonce: int
    partition: str
    version: int
    servers: tuple[ServerHealth, ...]
    slice_loads: tuple[tuple[int, float], ...] = ()


class Delegation(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Permission of the holder to a home to serve its backend servers.

    Attributes:
        nonce: Number of the `DelegateRequest`.
        partition: Name of the partition object.
        version: Version of the object on which the delegation is based.
        duration_s: How long it is valid, in seconds from the time at which the
            request was sent.
    """

    nonce: int
    partition: str
    version: int
    duration_s: float


class Released(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reports to the holder that the source has released moving slices.

    Attributes:
        partition: Name of the partition object.
        version: Version of the object that the sender used.
        server: Name of the backend server that the slices move from.
        slices: Numbers of the slices that it no longer serves.
        confirmed: Whether the backend server confirmed the release; otherwise
            its grant has expired.
    """

    partition: str
    version: int
    server: str
    slices: tuple[int, ...]
    confirmed: bool = False


class ObjectUpdate(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Forwards a version of an object of the platform.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        version: Version of the object.
        deleted: Whether the object was deleted in that version.
        value: The object as JSON.
    """

    kind: str
    name: str
    version: int
    deleted: bool
    value: bytes


class ObjectsRequest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks a neighbour for its objects; sent by a keeper without any."""


class Suspects(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Fingerprints of requests that may crash backend servers.

    Attributes:
        suspected: Fingerprints of requests that must run alone, each with the
            remaining time in seconds.
        quarantined: Fingerprints of requests to refuse, each with the
            remaining time in seconds.
    """

    suspected: tuple[tuple[int, float], ...] = ()
    quarantined: tuple[tuple[int, float], ...] = ()


KeeperMessage = (
    Heartbeat
    | RenewRequest
    | Promise
    | Resign
    | DelegateRequest
    | Delegation
    | Released
    | ObjectUpdate
    | ObjectsRequest
    | Suspects
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """An encoded message with its sender and its authentication.

    Attributes:
        sender: Incarnation that sent it.
        availability_zone: Availability zone of the sender.
        body: The encoded message.
        sequence: Number of the envelope, increasing within an incarnation of
            the sender.
        key_id: Id of the key of the MAC, or empty.
        mac: Message authentication code over the other fields and the address
            of the receiver, or empty.
    """

    sender: schemas.Incarnation
    availability_zone: str
    body: bytes
    sequence: int = 0
    key_id: str = ""
    mac: bytes = b""


class ServedSlice(msgspec.Struct, frozen=True, array_like=True):
    """A slice that a home may serve on a backend server.

    Attributes:
        slice: Slice number.
        token: Fencing token, sent to the server with each request.
        since_s: Wall-clock time at which the home learned that the server owns
            the slice, in seconds. Until then another home may have served it.
    """

    slice: int
    token: int
    since_s: float


class HomeServer(msgspec.Struct, frozen=True, array_like=True):
    """A backend server whose home is this VM.

    Attributes:
        server: Name of the backend server.
        instance: Id of the instance that responded last, or empty.
        valid_until_s: When the authority to send keyed requests expires, in
            seconds on the monotonic clock, which all processes of a VM share.
        slices: Slices that may be served.
        since_s: Wall-clock time at which this VM became its home, in seconds.
        version: Version of the partition object that the slices come from.
        idle_s: When the server last reported no request in flight, in seconds
            on the monotonic clock. A request abandoned before that time can't
            be running.
    """

    server: str
    instance: str
    valid_until_s: float
    slices: tuple[ServedSlice, ...]
    since_s: float
    version: int = 0
    idle_s: float = 0.0


class TableUpdate(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The objects from which a router builds its routing table.

    Attributes:
        sequence: Number of the update, increasing.
        groups: All server groups.
        servers: All backend servers.
        zones: All availability zones.
        selectors: All selectors, which map paths to server groups.
        vms: All VMs, with the addresses of their routers.
        partitions: Partition objects, each with its version.
    """

    sequence: int
    groups: tuple[schemas.ServerGroup, ...]
    servers: tuple[schemas.BackendServer, ...]
    zones: tuple[schemas.AvailabilityZone, ...]
    selectors: tuple[schemas.Selector, ...]
    vms: tuple[schemas.Vm, ...]
    partitions: tuple[tuple[int, schemas.Partition], ...]


class HomesUpdate(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Backend servers whose home is this VM, with its current authority."""

    homes: tuple[HomeServer, ...]


class Drained(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Reports the slices in use at a backend server.

    The keeper learns from it which slices are drained, that is, neither served
    nor with a request in flight.

    Attributes:
        server: Name of the backend server.
        outstanding: Numbers of the slices with requests in flight.
        served: Numbers of the slices that the home serves.
        slice_counts: Numbers of slices, each with its requests since the last
            report.
        version: Version of the partition object in the newest `HomesUpdate`
            that was applied.
    """

    server: str
    outstanding: tuple[int, ...]
    served: tuple[int, ...]
    slice_counts: tuple[tuple[int, int], ...] = ()
    version: int = 0


class RouterReport(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Periodic report of a router to its keeper."""

    servers: tuple[Drained, ...]
    suspects: Suspects = Suspects()


RouterMessage = RouterReport
ToRouterMessage = TableUpdate | HomesUpdate | Suspects
