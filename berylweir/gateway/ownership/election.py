"""Who should take the lease, and when."""

from collections.abc import Collection

import xxhash

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


def rank(vm: str, vms: Collection[str], holder: str, epoch: int) -> int:
    """Returns the place of `vm` in the order of succession, from 0.

    The order differs from epoch to epoch, so that VMs which are down don't
    come first each time.
    """
    ranked = sorted(
        {*vms, vm} - {holder},
        key=lambda name: xxhash.xxh3_64_intdigest(f"{epoch}/{name}".encode()),
    )
    return ranked.index(vm) if vm in ranked else len(ranked)


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
