"""Order and timing in which gateways take over a lost lease."""

from collections.abc import Mapping

import xxhash

from berylweir.gateway import models
from berylweir.gateway.peers import task as peers

# Number of gateways, first in the order of succession, that report to the
# holder at the shortest interval and take over first.
DEPUTY_COUNT = 4
# Time between two reports to the holder, in seconds: exactly for a deputy, and
# at least for the other gateways.
DEPUTY_REPORT_INTERVAL_S = 0.5
MIN_REPORT_INTERVAL_S = 0.8
# Reports per second that all gateways together send to the holder. Each costs
# it about 0.4 ms of processor time, so these take a twentieth of a small VM.
MAX_REPORTS_PER_S = 80.0
# Consecutive reports without a response after which the holder is considered
# lost.
LOST_AFTER_FAILED_REPORTS = 2
# Additional takeover delay per rank, in seconds, so that gateways that come
# earlier in the order normally take the lease first.
_TAKEOVER_STAGGER_S = 0.3
# Allowance for timers and messages that are late on a busy VM, in seconds.
_DELAY_MARGIN_S = 0.3


def succession_rank(
    local_vm: models.Vm, vms: Mapping[str, models.Vm], holder: str, epoch: int
) -> int:
    """Returns the rank of a gateway in the order of succession, from 0.

    Large VMs come first, because the holder grants all keys and sends each
    change of the key tables to all other gateways. VMs of the same size are
    ordered by a hash that depends on the epoch, so that a VM which is down
    doesn't come first each time.

    Args:
        local_vm: VM of the gateway to rank.
        vms: All known VMs by name.
        holder: Name of the holder's VM, which is not ranked.
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
    """Returns the time between two reports to the holder, in seconds.

    Args:
        rank: Rank of the reporting gateway in the order of succession.
        gateway_count: Number of gateways.
    """
    if rank < DEPUTY_COUNT:
        return DEPUTY_REPORT_INTERVAL_S
    return max(MIN_REPORT_INTERVAL_S, gateway_count / MAX_REPORTS_PER_S)


def max_response_age_s(gateway_count: int) -> float:
    """Returns how old the last response of a live holder can be, in seconds.

    A gateway with an older response has lost contact with the holder. The age
    covers the longest report interval, the wait for the response and a margin.

    Args:
        gateway_count: Number of gateways.
    """
    return (
        report_interval_s(DEPUTY_COUNT, gateway_count)
        + peers.REPLY_TIMEOUT_S
        + _DELAY_MARGIN_S
    )


def takeover_delay_s(
    rank: int, *, was_offered: bool = False, reaches_servers: bool = True
) -> float:
    """Returns how long to wait before taking a lost lease, in seconds.

    A gateway that reaches no servers couldn't grant keys to them, so it comes
    after all others.

    Args:
        rank: Rank of the gateway in the order of succession.
        was_offered: Whether the last holder offered this gateway the lease.
        reaches_servers: Whether the gateway reaches any server.
    """
    if was_offered:
        return 0.0
    steps = min(rank, DEPUTY_COUNT + 2)
    if not reaches_servers:
        steps += DEPUTY_COUNT + 3
    return _TAKEOVER_STAGGER_S * steps
