"""Share of a cold server's rate that one VM may use."""

from collections.abc import Collection
import dataclasses

import xxhash

# Part of the tolerated rate that is used, as clocks and delays differ.
_RATE_SHARE = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class SlowStartShare:
    """What one VM may send to a cold server.

    Attributes:
        rate: Requests a second; 0 if other VMs have all of it.
    """

    rate: float


def compute_share(
    vm: str,
    vms: Collection[str],
    server: str,
    rate: float,
    burst_slack: float,
) -> SlowStartShare:
    """Returns the share of `vm` in what a cold server tolerates.

    Each VM that sends may begin with one request, so only as many VMs send as
    the tolerated excess in a second. All of them rank the VMs alike, by a hash
    of VM and server.

    Args:
        vm: Name of this VM.
        vms: Names of all VMs.
        server: Name of the server.
        rate: Requests a second that the server tolerates.
        burst_slack: Requests beyond the rate that it tolerates in a second.
    """
    ranked_vms = sorted(
        {*vms, vm},
        key=lambda name: xxhash.xxh3_64_intdigest((name + server).encode()),
    )
    sender_count = max(1, min(len(ranked_vms), int(burst_slack)))
    if ranked_vms.index(vm) >= sender_count:
        return SlowStartShare(0.0)
    return SlowStartShare(_RATE_SHARE * rate / sender_count)


class Pacer:
    """Spaces requests evenly; nothing is saved up for a burst."""

    def __init__(self) -> None:
        """Creates a pacer that allows a request at once."""
        self._next_send_s = float("-inf")

    def delay_s(self, now_s: float) -> float:
        """Returns the time until the next request may go, in seconds."""
        return max(0.0, self._next_send_s - now_s)

    def record_request(self, now_s: float, rate: float) -> None:
        """Counts a request.

        Args:
            now_s: Time, in seconds.
            rate: Requests a second, above 0.
        """
        self._next_send_s = now_s + 1.0 / rate
