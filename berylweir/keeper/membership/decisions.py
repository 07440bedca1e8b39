"""Pure functions that derive the members from received heartbeats."""

from collections.abc import Mapping
import dataclasses

from berylweir.keeper.authority import models
from berylweir.objects import schemas

# A VM without a heartbeat for this long is no member any more.
MEMBER_EXPIRY_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatRecord:
    """The newest heartbeat of an entry VM.

    Attributes:
        incarnation: Incarnation of the keeper that sent it.
        availability_zone: Availability zone of the VM.
        sequence: Sequence number of the heartbeat.
        received_s: When it arrived, on the monotonic clock, in seconds.
        leaving: Whether the VM is shutting down.
    """

    incarnation: schemas.Incarnation
    availability_zone: str
    sequence: int
    received_s: float
    leaving: bool = False


def record_heartbeat(
    heartbeats: Mapping[str, HeartbeatRecord], heartbeat: HeartbeatRecord
) -> dict[str, HeartbeatRecord]:
    """Returns the newest heartbeats by VM name, including the one received.

    A heartbeat replaces that of another incarnation of the VM. Within the same
    incarnation, one whose sequence number isn't higher is ignored.
    """
    previous = heartbeats.get(heartbeat.incarnation.vm)
    if (
        previous is not None
        and previous.incarnation == heartbeat.incarnation
        and previous.sequence >= heartbeat.sequence
    ):
        return dict(heartbeats)
    return {**heartbeats, heartbeat.incarnation.vm: heartbeat}


def build_members(
    heartbeats: Mapping[str, HeartbeatRecord],
    vms: Mapping[str, schemas.Vm],
    zones: Mapping[str, schemas.AvailabilityZone],
    now: float,
) -> dict[str, models.Member]:
    """Returns the entry VMs with a heartbeat in the last 60 s, by name.

    A VM or zone that isn't in the configuration counts as in service.

    Args:
        heartbeats: Newest heartbeats by VM name.
        vms: Entry VMs in the configuration, by name.
        zones: Availability zones in the configuration, by name.
        now: Monotonic time, in seconds.
    """
    members = {}
    for name, heartbeat in heartbeats.items():
        if now - heartbeat.received_s > MEMBER_EXPIRY_S:
            continue
        vm = vms.get(name)
        zone = zones.get(heartbeat.availability_zone)
        members[name] = models.Member(
            heartbeat.incarnation,
            heartbeat.availability_zone,
            heartbeat.received_s,
            heartbeat.leaving,
            (vm is None or vm.in_service) and (zone is None or zone.in_service),
        )
    return members
