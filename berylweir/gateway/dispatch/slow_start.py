"""Slow start: limits the request rate to a server that is still cold."""

from collections.abc import Collection
import dataclasses

import xxhash

# Share of the tolerated rate that all VMs use together. The rest allows for
# differences between their clocks and for varying network delays.
_RATE_SHARE = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class SlowStartShare:
    """Request rate that one VM may send to a cold server.

    Attributes:
        rate: Requests per second; 0 if only other VMs may send.
    """

    rate: float


def compute_share(
    vm: str,
    vms: Collection[str],
    server: str,
    rate: float,
    burst_slack: float,
) -> SlowStartShare:
    """Returns the part of a cold server's tolerated rate that `vm` may use.

    Each sending VM may send its first request at once, so their number is
    limited to the excess that the server tolerates in a second. All VMs select
    the same senders without communication: they rank the VMs by a hash of the
    names of VM and server (rendezvous hashing).

    Args:
        vm: Name of this VM.
        vms: Names of all VMs.
        server: Name of the server.
        rate: Requests per second that the server tolerates.
        burst_slack: Requests that it tolerates in a second beyond the rate.
    """
    ranked_vms = sorted(
        {*vms, vm},
        key=lambda name: xxhash.xxh3_64_intdigest((name + server).encode()),
    )
    sender_count = max(1, min(len(ranked_vms), int(burst_slack)))
    if ranked_vms.index(vm) >= sender_count:
        return SlowStartShare(0.0)
    return SlowStartShare(_RATE_SHARE * rate / sender_count)


class SlowStartShares:
    """Shares of this VM in the rates of cold servers."""

    def __init__(self, vm: str, burst_slack: float) -> None:
        """Creates the shares of a VM that knows no other one.

        Args:
            vm: Name of this VM.
            burst_slack: Requests that a server tolerates in a second beyond
                the rate.
        """
        self._vm = vm
        self._burst_slack = burst_slack
        self._vms: Collection[str] = ()
        # The key is the name of the server and the rate that it tolerates.
        self._shares: dict[tuple[str, float], SlowStartShare] = {}

    def update_vms(self, vms: Collection[str]) -> None:
        """Replaces the names of all VMs."""
        self._vms = vms
        self._shares.clear()

    def of(self, server: str, rate: float) -> SlowStartShare:
        """Returns the share of a server.

        Args:
            server: Name of the server.
            rate: Requests per second that it tolerates.
        """
        key = (server, rate)
        share = self._shares.get(key)
        if share is None:
            share = self._shares[key] = compute_share(
                self._vm, self._vms, server, rate, self._burst_slack
            )
        return share


class Pacer:
    """Spaces requests evenly; unused time doesn't allow a later burst."""

    def __init__(self) -> None:
        """Creates a pacer that allows the first request at once."""
        self._next_send_s = float("-inf")

    def delay_s(self, now_s: float) -> float:
        """Returns the time until the next request may be sent, in seconds."""
        return max(0.0, self._next_send_s - now_s)

    def record_request(self, now_s: float, rate: float) -> None:
        """Schedules the earliest time of the next request.

        Args:
            now_s: Time at which a request is sent, in seconds.
            rate: Requests per second, above 0.
        """
        self._next_send_s = now_s + 1.0 / rate
