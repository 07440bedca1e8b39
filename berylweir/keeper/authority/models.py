"""State, events and commands of the lease protocol of one partition.

A partition has a holder and a standby, the "pair". The holder renews its lease
with the standby, and the standby takes over once the lease has ended. Each
backend server of the partition has a home: the VM that sends it requests and
grants, under a delegation of the holder.

All times are seconds on the monotonic clock of this VM.
"""

import dataclasses
import math

from berylweir.objects import schemas


@dataclasses.dataclass(frozen=True, slots=True)
class Timings:
    """Intervals of the lease protocol, in seconds.

    Attributes:
        renew_s: Interval between lease renewals, and between heartbeats.
        lease_s: Duration of a lease, from the sending of its renewal.
        margin_s: Clock drift margin: time that others wait after a lease or
            a delegation has ended on their own clock.
        server_loss_s: Silence after which a backend server counts as lost.
        home_loss_s: Silence after which a home, or another entry VM, counts
            as lost.
        silent_pair_s: Silence of both holder and standby after which another
            VM takes over.
        update_timeout_s: Time after which an update without a response counts
            as one with an unknown outcome. Only the replay uses it.
    """

    renew_s: float = 0.25
    lease_s: float = 1.0
    margin_s: float = 0.1
    server_loss_s: float = 0.6
    home_loss_s: float = 0.6
    silent_pair_s: float = 3.0
    update_timeout_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class SafetyRules:
    """Safety rules of the protocol.

    All are in force in production. A test switches one off to show that a
    fault schedule violates an invariant without it.

    Attributes:
        clock_drift_margin: A standby waits for the lease plus `margin_s`
            before it takes over, because its clock may run faster than the
            holder's.
        lease_counts_from_request: A lease starts when its renewal was sent,
            not when the promise arrived.
        wait_for_grant_expiry: A slice leaves an unreachable backend server
            only once the grant of that server has expired.
        only_new_epoch_extends_lease: An accepted update extends the lease of
            the holder only if it starts a new epoch. Other updates don't
            restart the wait of the standby.
        reject_old_versions: An older version of the partition object never
            replaces a newer one.
        respect_unresolved_pairs: While the former pair may still act, the new
            holder completes no move. If the backend servers don't check
            grants, it gives no delegation either.
        check_authority_before_use: Authority is checked right before each use.
        no_promise_for_uncertain_pair: A keeper gives no promise under a pair
            that its own update may have replaced, and counts none that it
            requested after that update.
        single_home_incarnation: Only one incarnation of a home at a time has a
            delegation and can release slices.
        revoke_later_grants: A revocation also covers grants that were sent
            before it and arrive after it.
    """

    clock_drift_margin: bool = True
    lease_counts_from_request: bool = True
    wait_for_grant_expiry: bool = True
    only_new_epoch_extends_lease: bool = True
    reject_old_versions: bool = True
    respect_unresolved_pairs: bool = True
    check_authority_before_use: bool = True
    no_promise_for_uncertain_pair: bool = True
    single_home_incarnation: bool = True
    revoke_later_grants: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """An entry VM of the deployment.

    Attributes:
        incarnation: Its newest incarnation.
        availability_zone: Its availability zone.
        last_heard_s: When its last heartbeat arrived.
        leaving: Whether it is shutting down.
        in_service: Whether it may hold partitions and homes.
    """

    incarnation: schemas.Incarnation
    availability_zone: str
    last_heard_s: float
    leaving: bool = False
    in_service: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class PendingUpdate:
    """A conditional update of the partition object without an outcome yet.

    Attributes:
        operation_id: Id of the update.
        sent_s: When it was first sent.
        partition: The object after the update.
        expected_version: Version that the update replaces.
    """

    operation_id: str
    sent_s: float
    partition: schemas.Partition
    expected_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HomeRecord:
    """What the holder knows of a home.

    Attributes:
        vm: Name of the VM.
        incarnation: Incarnation whose requests are accepted, or None.
        last_request_s: When its last request for a delegation arrived.
        delegated_until_s: Latest end of a delegation given to it.
    """

    vm: str
    incarnation: schemas.Incarnation | None = None
    last_request_s: float = -math.inf
    delegated_until_s: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRecord:
    """What the holder knows of a backend server.

    Attributes:
        server: Name of the backend server.
        healthy: Whether it responds, according to its home.
        reported_s: When the report of its home arrived.
        instance: Newest known server instance, or empty.
    """

    server: str
    healthy: bool
    reported_s: float
    instance: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What a keeper knows about one partition.

    Attributes:
        own_incarnation: Incarnation of this keeper.
        partition_name: Name of the partition object.
        partition: Newest known partition object, or None.
        version: Version of that object, 0 if there is none.
        epoch_known_since_s: When this keeper learnt of the present epoch.
        missing_since_s: When this keeper noticed that the object is missing.
        lease_start_s: Start of the newest lease of this holder. It ends
            `Timings.lease_s` later.
        not_before_s: Time before which this new holder must not act.
        last_promise_s: When this standby gave its last promise.
        partner_resigned_epoch: Epoch under which the partner has resigned.
        resigned_epoch: Epoch under which this keeper has resigned.
        pair_last_heard_s: When holder or standby was last heard from.
        next_renewal_s: When the next renewal is due.
        renewal_nonce: Number of the last renewal.
        unanswered_renewals: Nonce and sending time of each renewal that the
            standby has not answered.
        pending_update: Update whose outcome isn't known yet, or None.
        update_backoff_until_s: Time before which no new update is tried.
        home_records: What is known of each home.
        server_records: What is known of each backend server.
        slice_loads_by_home: Requests per second of each busy slice, by the
            name of the home VM.
        released_slices: Moving slices that their source no longer serves, as
            reported for `version`.
        former_pair_informed_s: When a member of an unresolved pair first
            reported that it knows the present epoch.
        uncertain_pair_version: Version on which the last update of this keeper
            that changes the pair is based. As long as no newer version is
            known, the update may have taken effect.
        uncertain_pair_since_s: When the first such update was sent.
        former_delegations_end_s: Time until which delegations of a holder that
            has resigned may be in force.
    """

    own_incarnation: schemas.Incarnation
    partition_name: str
    partition: schemas.Partition | None = None
    version: int = 0
    epoch_known_since_s: float = -math.inf
    missing_since_s: float = -math.inf
    lease_start_s: float = -math.inf
    not_before_s: float = -math.inf
    last_promise_s: float = -math.inf
    partner_resigned_epoch: int = -1
    resigned_epoch: int = -1
    pair_last_heard_s: float = -math.inf
    next_renewal_s: float = -math.inf
    renewal_nonce: int = 0
    unanswered_renewals: tuple[tuple[int, float], ...] = ()
    pending_update: PendingUpdate | None = None
    update_backoff_until_s: float = -math.inf
    home_records: tuple[HomeRecord, ...] = ()
    server_records: tuple[ServerRecord, ...] = ()
    slice_loads_by_home: tuple[
        tuple[str, tuple[tuple[int, float], ...]], ...
    ] = ()
    released_slices: frozenset[int] = frozenset()
    former_pair_informed_s: float = math.inf
    uncertain_pair_version: int = -1
    uncertain_pair_since_s: float = math.inf
    former_delegations_end_s: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterView:
    """Configuration and membership that the decisions are based on.

    Attributes:
        group: Server group of the partition.
        servers: Backend servers of the partition.
        zones: Availability zones by name.
        members: Entry VMs by name.
        platform_up: Whether the last watch of the platform succeeded.
    """

    group: schemas.ServerGroup
    servers: tuple[schemas.BackendServer, ...]
    zones: dict[str, schemas.AvailabilityZone]
    members: dict[str, Member]
    platform_up: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectReceived:
    """A version of the partition object came from the platform or a keeper."""

    partition: schemas.Partition
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewRequestReceived:
    """The holder renews its lease: it asks this keeper for a promise."""

    sender: schemas.Incarnation
    epoch: int
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseReceived:
    """The standby has promised not to take over before the lease ends."""

    sender: schemas.Incarnation
    epoch: int
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResignationReceived:
    """The sender will never act again under the epoch."""

    sender: schemas.Incarnation
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class EpochReported:
    """A heartbeat says which epoch of the partition its sender knows."""

    sender: schemas.Incarnation
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateAccepted:
    """The platform accepted the pending update as the given version."""

    operation_id: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateRejected:
    """The platform rejected the update: the version is no longer current.

    The newest object arrives separately.
    """

    operation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateOutcomeUnknown:
    """The outcome of the update is unknown; it may still take effect."""

    operation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DelegationRequested:
    """A home asks for a delegation and reports on its backend servers.

    Attributes:
        sender: Incarnation of the home.
        nonce: Number of the request.
        version: Object version that names the sender as home.
        servers: Name, health and server instance of each backend server.
        slice_loads: Slice number and requests per second of each busy slice.
    """

    sender: schemas.Incarnation
    nonce: int
    version: int
    servers: tuple[tuple[str, bool, str], ...]
    slice_loads: tuple[tuple[int, float], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SlicesReleased:
    """A home reports moving slices that the source no longer serves.

    Attributes:
        sender: Incarnation of the home.
        version: Object version that the home acted on.
        server: Backend server that was the source.
        slices: Slices that it no longer serves.
        confirmed: Whether the backend server confirmed the release; otherwise
            its grant has expired.
    """

    sender: schemas.Incarnation
    version: int
    server: str
    slices: tuple[int, ...]
    confirmed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """This VM is shutting down."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """The periodic timer has fired."""


Event = (
    ObjectReceived
    | RenewRequestReceived
    | PromiseReceived
    | ResignationReceived
    | EpochReported
    | UpdateAccepted
    | UpdateRejected
    | UpdateOutcomeUnknown
    | DelegationRequested
    | SlicesReleased
    | ShutdownRequested
    | Tick
)


@dataclasses.dataclass(frozen=True, slots=True)
class SendRenewRequest:
    """Asks the standby for a promise."""

    to: schemas.Incarnation
    epoch: int
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendPromise:
    """Promises the holder not to take over before its lease ends."""

    to: schemas.Incarnation
    epoch: int
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendObject:
    """Sends the newest object to a keeper that has an older one."""

    to: schemas.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class SendResignation:
    """Tells the partner that this keeper never acts again in the epoch."""

    to: schemas.Incarnation
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendDelegation:
    """Gives a home a delegation.

    Attributes:
        to: Incarnation of the home.
        nonce: Number of its request.
        version: Object version under which the delegation is given.
        duration_s: Duration of the delegation, counted by the home from the
            sending of its request.
    """

    to: schemas.Incarnation
    nonce: int
    version: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WritePartition:
    """Sends the update to the platform."""

    update: PendingUpdate


@dataclasses.dataclass(frozen=True, slots=True)
class BroadcastObject:
    """Sends the newest object to all keepers if this keeper is the holder."""


Command = (
    SendRenewRequest
    | SendPromise
    | SendObject
    | SendResignation
    | SendDelegation
    | WritePartition
    | BroadcastObject
)

Step = tuple[State, tuple[Command, ...]]
