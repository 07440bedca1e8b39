"""Pure functions over the entry VMs that a keeper has heard."""

from collections.abc import Mapping
import dataclasses

from berylweir.keeper.authority import models
from berylweir.objects import schemas

MEMBER_EXPIRY_S = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeartbeatRecord:
    """The newest heartbeat of a VM.

    Attributes:
        incarnation: Incarnation that sent it.
        availability_zone: Availability zone of the VM.
        sequence: Sequence number of the heartbeat.
        received_s: When it arrived, on the monotonic clock, in seconds.
        leaving: Whether the VM is about to end.
    """

    incarnation: schemas.Incarnation
    availability_zone: str
    sequence: int
    received_s: float
    leaving: bool = False


def record_heartbeat(
    heartbeats: Mapping[str, HeartbeatRecord], heartbeat: HeartbeatRecord
) -> dict[str, HeartbeatRecord]:
    """Returns the VMs with one more heartbeat.

    An older heartbeat of the same incarnation changes nothing.
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
    """Returns the members for the decisions.

    Args:
        heartbeats: VMs that have been heard.
        vms: Entry VMs in the configuration.
        zones: Availability zones in the configuration.
        now: Time of the monotonic clock, in seconds.
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
