"""State, events and commands of the authority over one partition.

All times are seconds on the monotonic clock of the VM.
"""

import dataclasses
import math

from berylweir.objects import schemas


@dataclasses.dataclass(frozen=True, slots=True)
class Timings:
    """Intervals of the lease protocol, in seconds.

    Attributes:
        renew_s: Interval between renewals.
        lease_s: How long evidence lets a holder act.
        margin_s: Allowance for clocks that run at different rates.
        server_loss_s: Silence after which a backend server counts as lost.
        home_loss_s: Silence after which a home counts as lost.
        silent_pair_s: Silence of holder and standby after which another VM
            takes over.
        update_timeout_s: Time after which an unanswered update is repeated.
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
    """Safety rules that a test can switch off to show that they matter.

    Attributes:
        clock_drift_margin: The standby waits the margin on top of the lease.
        lease_counts_from_request: A lease is counted from before its renewal
            was sent.
        wait_for_grant_expiry: A move from an unreachable server waits for its
            grant.
        only_new_epoch_extends_lease: Only an update that starts a new epoch is
            evidence.
        reject_old_versions: An older object never replaces a newer one.
        respect_unresolved_pairs: A VM outside the pair doesn't move unreachable
            slices.
        check_authority_before_use: Authority is checked right before each use.
        no_promise_for_uncertain_pair: No promise is given or taken for a pair
            that an own update may have replaced.
        single_home_incarnation: Only one incarnation of a home at a time has a
            delegation and can release slices.
        revoke_later_grants: A revocation also covers grants on their way.
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
    """An entry VM as the membership sees it.

    Attributes:
        incarnation: Its newest incarnation.
        availability_zone: Its availability zone.
        last_heard_s: When it was heard last.
        leaving: Whether it is about to end.
        in_service: Whether it may hold partitions and homes.
    """

    incarnation: schemas.Incarnation
    availability_zone: str
    last_heard_s: float
    leaving: bool = False
    in_service: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class PendingUpdate:
    """An update of the object whose outcome isn't known yet.

    Attributes:
        operation_id: Id of the update.
        sent_s: When it was first sent.
        partition: The object as it would be.
        expected_version: Version that it is based on.
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
        incarnation: Incarnation that has the last delegation.
        last_request_s: When its last request for a delegation arrived.
        delegated_until_s: End of the last delegation given to it.
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
        healthy: Whether its home reports that it answers.
        reported_s: When the report arrived.
        instance: Its newest instance, or empty.
    """

    server: str
    healthy: bool
    reported_s: float
    instance: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Everything a keeper keeps about one partition.

    Attributes:
        own_incarnation: Incarnation of this keeper.
        partition_name: Name of the partition object.
        partition: Newest object known, if any.
        version: Version of that object, 0 if none.
        epoch_known_since_s: When its epoch was first learnt.
        missing_since_s: When the need for the partition was first seen.
        lease_start_s: Time from which the lease of this holder counts.
        not_before_s: Time before which this new holder must not act.
        last_promise_s: When this standby gave its last promise.
        partner_resigned_epoch: Epoch under which the partner has resigned.
        resigned_epoch: Epoch under which this keeper has resigned.
        pair_last_heard_s: When holder or standby was last heard.
        next_renewal_s: When the next renewal is due.
        renewal_nonce: Number of the last renewal.
        unanswered_renewals: Sending times of unanswered renewals, by nonce.
        pending_update: Update in flight, if any.
        update_backoff_until_s: Time before which no new update is tried.
        home_records: Homes, by VM name.
        server_records: Backend servers, by name.
        slice_loads_by_home: Requests per second of each busy slice, by home.
        released_slices: Slices that have left their source, with the version.
        former_pair_informed_s: When a member of an unresolved pair was heard to
            know the present epoch.
        uncertain_pair_version: Version on which the last update of this keeper
            that changes the pair is based. While it is the newest one known,
            the update may have taken effect.
        uncertain_pair_since_s: When the first such update was sent.
        former_delegations_end_s: Time until which delegations of a holder that
            has resigned to this keeper may be in force.
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
    """What the decisions may know of the configuration and the membership.

    Attributes:
        group: Server group of the partition.
        servers: Backend servers of the partition.
        zones: Availability zones by name.
        members: Entry VMs by name.
        platform_up: Whether the platform answered lately.
    """

    group: schemas.ServerGroup
    servers: tuple[schemas.BackendServer, ...]
    zones: dict[str, schemas.AvailabilityZone]
    members: dict[str, Member]
    platform_up: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ObjectReceived:
    """A version of the object arrived from the platform or a peer."""

    partition: schemas.Partition
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RenewRequestReceived:
    """The holder asks this keeper for a promise."""

    sender: schemas.Incarnation
    epoch: int
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class PromiseReceived:
    """The standby has promised."""

    sender: schemas.Incarnation
    epoch: int
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResignationReceived:
    """The partner will never act again under the epoch."""

    sender: schemas.Incarnation
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class EpochReported:
    """A peer told which epoch of the partition it knows."""

    sender: schemas.Incarnation
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateAccepted:
    """The platform accepted the pending update."""

    operation_id: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateRejected:
    """Another update came first; the newest object arrives separately."""

    operation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateOutcomeUnknown:
    """The platform didn't answer; the update may still take effect."""

    operation_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class DelegationRequested:
    """A home asks for a delegation.

    Attributes:
        sender: Incarnation of the home.
        nonce: Number of the request.
        version: Object version under which it is home.
        servers: Health of its backend servers.
        slice_loads: Requests per second of its busy slices.
    """

    sender: schemas.Incarnation
    nonce: int
    version: int
    servers: tuple[tuple[str, bool, str], ...]
    slice_loads: tuple[tuple[int, float], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class SlicesReleased:
    """A home reports that moving slices have left their source.

    Attributes:
        sender: Incarnation of the home.
        version: Object version that the home acted on.
        server: Backend server that was the source.
        slices: Slices that it no longer serves.
        confirmed: Whether the backend server said so itself; otherwise its
            grant has expired.
    """

    sender: schemas.Incarnation
    version: int
    server: str
    slices: tuple[int, ...]
    confirmed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownRequested:
    """This VM is about to end."""


@dataclasses.dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


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
    """Ask the standby for a promise."""

    to: schemas.Incarnation
    epoch: int
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendPromise:
    """Promise to the holder."""

    to: schemas.Incarnation
    epoch: int
    nonce: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendObject:
    """Pass the newest object on to a peer that has an older one."""

    to: schemas.Incarnation


@dataclasses.dataclass(frozen=True, slots=True)
class SendResignation:
    """Resign to the partner."""

    to: schemas.Incarnation
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class SendDelegation:
    """Answer a home.

    Attributes:
        to: Incarnation of the home.
        nonce: Number of its request.
        version: Object version under which the delegation is given.
        duration_s: Time counted from the sending of its request, in seconds.
    """

    to: schemas.Incarnation
    nonce: int
    version: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class WritePartition:
    """Send the update to the platform."""

    update: PendingUpdate


@dataclasses.dataclass(frozen=True, slots=True)
class BroadcastObject:
    """Tell all keepers and the own router of the newest object."""


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
