"""Which part of the requests for a busy server the VMs send to it.

A server's queue is shared by all VMs, and each of them sees little of it. The
holder of the lease hears from all of them.
"""

from collections.abc import Mapping
import dataclasses

from berylweir.gateway import messages
from berylweir.gateway.ownership import demand

# Requests that wait at a server, in parts of its slots, from which on it counts
# as busy.
_BUSY = 0.5
# Part of what a busy server serves that it is sent, and how much less it is
# while its queue is long: the queue has to become shorter.
_KEPT = 0.95
_KEPT_LESS = 0.3
_LONG = 2.0  # a long queue, in parts of the slots
# Factor by which a share grows in each round once the server isn't busy.
_GROWTH = 1.2
# Weight of one response in the average queue of a server.
_WAITING_WEIGHT = 0.1
# Requests a second below which the share of a server isn't limited.
_MIN_RATE = 1.0
_MIN_SHARE = 0.05


@dataclasses.dataclass(slots=True)
class _Server:
    served: demand.Rate = dataclasses.field(default_factory=demand.Rate)
    waiting: float = 0.0
    share: float = 1.0


class Admission:
    """Shares of the requests for each server, from the VMs' reports."""

    def __init__(self) -> None:
        """Creates an admission without limits."""
        self._servers: dict[str, _Server] = {}

    @property
    def shares(self) -> dict[str, float]:
        """Share by name of the server; servers without a limit are left out."""
        return {
            name: round(server.share, 3)
            for name, server in self._servers.items()
            if server.share < 1.0
        }

    def add(self, servers: Mapping[str, messages.ServerUse]) -> None:
        """Takes one VM's report."""
        for name, use in servers.items():
            server = self._servers.setdefault(name, _Server())
            server.served.add(use.served)
            weight = min(1.0, _WAITING_WEIGHT * use.served)
            server.waiting += weight * (use.waiting - server.waiting)

    def update(
        self,
        rates: Mapping[str, float],
        slots: Mapping[str, int],
        now_s: float,
    ) -> None:
        """Sets the shares anew.

        Args:
            rates: Requests a second for the keys of each server, by its name.
            slots: Slots of each server, by its name.
            now_s: Time, in seconds.
        """
        for gone in self._servers.keys() - slots.keys():
            del self._servers[gone]
        for name, server in self._servers.items():
            served = server.served.per_s(now_s)
            rate = rates.get(name, 0.0)
            if server.waiting > _BUSY * slots[name] and rate > _MIN_RATE:
                length = min(1.0, server.waiting / (_LONG * slots[name]))
                kept = _KEPT - _KEPT_LESS * length
                server.share = min(1.0, max(_MIN_SHARE, kept * served / rate))
            else:
                server.share = min(1.0, _GROWTH * server.share)
