"""Who should take the lease, and when."""

from collections.abc import Mapping

import xxhash

from berylweir.gateway import models
from berylweir.gateway.peers import task as peers

# Gateways that ask the holder often, and take over first.
DEPUTY_COUNT = 4
# Time between two reports to the holder, in seconds: of a deputy, and of the
# others at least.
DEPUTY_REPORT_INTERVAL_S = 0.5
MIN_REPORT_INTERVAL_S = 0.8
# Reports a second that the holder takes from all gateways. One costs it about
# 0.4 ms of processor time, so these are a twentieth of a small VM.
MAX_REPORTS_PER_S = 80.0
# Reports in a row without an answer after which a holder counts as lost.
LOST_AFTER_FAILED_REPORTS = 2
# Time that each deputy leaves to those before it, in seconds.
_TAKEOVER_STAGGER_S = 0.3
# Delay of a timer or a message on a busy VM, in seconds.
_DELAY_MARGIN_S = 0.3


def succession_rank(
    local_vm: models.Vm, vms: Mapping[str, models.Vm], holder: str, epoch: int
) -> int:
    """Returns the place of a gateway in the order of succession, from 0.

    Large VMs come first: the holder grants all keys and tells all others of
    moves. Among equals the order differs from epoch to epoch, so that VMs
    which are down don't come first each time.

    Args:
        local_vm: The gateway.
        vms: All known gateways by name.
        holder: Name of the holder, who is not ranked.
        epoch: Epoch of the holder's lease.
    """

    def sort_key(vm: models.Vm) -> tuple[float, float, int]:
        digest = xxhash.xxh3_64_intdigest(f"{epoch}/{vm.name}".encode())
        return -vm.size.link_mbps, -vm.size.cores, digest

    others = [
        other
        for other in vms.values()
        if other.name not in (local_vm.name, holder)
    ]
    return sum(sort_key(vm) < sort_key(local_vm) for vm in others)


def report_interval_s(rank: int, gateway_count: int) -> float:
    """Returns the time between two reports, in seconds.

    Args:
        rank: Place in the order of succession.
        gateway_count: Number of gateways.
    """
    if rank < DEPUTY_COUNT:
        return DEPUTY_REPORT_INTERVAL_S
    return max(MIN_REPORT_INTERVAL_S, gateway_count / MAX_REPORTS_PER_S)


def max_response_age_s(gateway_count: int) -> float:
    """Returns the age of the holder's last answer that counts as hearing it.

    A gateway that reports last may have sent its report just before the
    holder was lost, and then waits for the answer.

    Args:
        gateway_count: Number of gateways.
    """
    return (
        report_interval_s(DEPUTY_COUNT, gateway_count)
        + peers.REPLY_TIMEOUT_S
        + _DELAY_MARGIN_S
    )


def takeover_delay_s(rank: int) -> float:
    """Returns how long to leave the lease to others, in seconds."""
    return _TAKEOVER_STAGGER_S * min(rank, DEPUTY_COUNT + 2)
