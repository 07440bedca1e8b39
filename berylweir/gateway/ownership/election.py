"""Who should take the lease, and when."""

from collections.abc import Mapping

import xxhash

from berylweir.gateway import models
from berylweir.gateway.peers import task as peers

# Gateways that ask the holder often, and take over first.
DEPUTIES = 4
# Time between two reports to the holder, in seconds: of a deputy, and of the
# others at least.
DEPUTY_REPORT_S = 0.5
REPORT_S = 0.8
# Reports a second that the holder takes from all gateways. One costs it about
# 0.4 ms of processor time, so these are a twentieth of a small VM.
MAX_REPORTS_PER_S = 80.0
# Reports in a row without an answer after which a holder counts as lost.
FAILURES = 2
# Time that each deputy leaves to those before it, in seconds.
_STEP_S = 0.3
# Delay of a timer or a message on a busy VM, in seconds.
_SLACK_S = 0.3


def rank(
    me: models.Vm, vms: Mapping[str, models.Vm], holder: str, epoch: int
) -> int:
    """Returns the place of a gateway in the order of succession, from 0.

    Large VMs come first: the holder grants all keys and tells all others of
    moves. Among equals the order differs from epoch to epoch, so that VMs
    which are down don't come first each time.

    Args:
        me: The gateway.
        vms: All known gateways by name.
        holder: Name of the holder, who is not ranked.
        epoch: Epoch of the holder's lease.
    """

    def place(vm: models.Vm) -> tuple[float, float, int]:
        digest = xxhash.xxh3_64_intdigest(f"{epoch}/{vm.name}".encode())
        return -vm.size.link_mbps, -vm.size.cores, digest

    others = [v for v in vms.values() if v.name not in (me.name, holder)]
    return sum(place(vm) < place(me) for vm in others)


def report_interval_s(place: int, vms: int) -> float:
    """Returns the time between two reports, in seconds.

    Args:
        place: Place in the order of succession.
        vms: Number of gateways.
    """
    if place < DEPUTIES:
        return DEPUTY_REPORT_S
    return max(REPORT_S, vms / MAX_REPORTS_PER_S)


def heard_limit_s(vms: int) -> float:
    """Returns the age of the holder's last answer that counts as hearing it.

    A gateway that reports last may have sent its report just before the
    holder was lost, and then waits for the answer.

    Args:
        vms: Number of gateways.
    """
    return report_interval_s(DEPUTIES, vms) + peers.REPLY_TIMEOUT_S + _SLACK_S


def take_delay_s(place: int) -> float:
    """Returns how long to leave the lease to others, in seconds."""
    return _STEP_S * min(place, DEPUTIES + 2)
