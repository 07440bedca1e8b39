"""Decides whether the lease holder is cut off from servers that others reach.

A holder that can't reach the owners of keys can't renew their grants, although
the store and the other gateways reach it.
"""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

from berylweir.gateway import messages
from berylweir.gateway import models

# Owners without contact that other VMs must have reached meanwhile. Fewer may
# have lost only their own links to the holder.
_MIN_REACHED_BY_OTHERS = 3
# Time without a response after which an owner counts as silent, in seconds. A
# grant that fails is repeated within it.
_MIN_SILENCE_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class KeepLease:
    """The holder reaches the owners as well as any other gateway."""


@dataclasses.dataclass(frozen=True, slots=True)
class HandOverLease:
    """Another gateway reaches owners that the holder can't reach.

    Attributes:
        vms: VMs that reach more owners than the holder, the best ones first.
    """

    vms: tuple[str, ...]


Verdict = KeepLease | HandOverLease


class OwnerContact:
    """Contact of the lease holder and of the other VMs with the owners.

    All times are on the boot clock, in seconds.
    """

    def __init__(self) -> None:
        """Creates the state of a holder that has sent no grants."""
        self._silent_since_s: dict[models.ServerInstance, float] = {}
        # When each VM last reported, and the servers in that report whose
        # requests certainly ended after the report before it.
        self._reported_s: dict[str, float] = {}
        self._served_since_s: dict[str, dict[str, float]] = {}

    def start_epoch(self) -> None:
        """Forgets what was known under an earlier lease."""
        self._silent_since_s.clear()
        self._reported_s.clear()
        self._served_since_s.clear()

    def record_grant(
        self,
        instance: models.ServerInstance,
        sent_s: float,
        *,
        has_response: bool,
    ) -> None:
        """Records a grant that this gateway sent to a server.

        Args:
            instance: The server instance.
            sent_s: When it was sent.
            has_response: Whether the server responded, in whatever way.
        """
        if has_response:
            self._silent_since_s.pop(instance, None)
        else:
            self._silent_since_s.setdefault(instance, sent_s)

    def record_report(
        self,
        vm: str,
        servers: Mapping[str, messages.ServerUsage],
        now_s: float,
    ) -> None:
        """Records which servers have served requests of another VM.

        Args:
            vm: Name of the VM.
            servers: Its requests since its last report, by server name.
            now_s: When the report arrived.
        """
        previous_s = self._reported_s.get(vm)
        self._reported_s[vm] = now_s
        if previous_s is not None:
            self._served_since_s[vm] = {
                name: previous_s for name, u in servers.items() if u.served > 0
            }

    @property
    def has_silent_owners(self) -> bool:
        """Whether the last grant to any server got no response."""
        return bool(self._silent_since_s)

    def decide(
        self, owners: Collection[models.ServerInstance], now_s: float
    ) -> Verdict:
        """Returns whether another gateway should hold the lease.

        It should if most owners don't respond to the holder, but have served
        requests of other VMs since they stopped doing so, and one of these VMs
        reaches more of them than still respond to the holder.

        Args:
            owners: The servers that own keys now.
            now_s: Current time.
        """
        silent = {
            owner.server: self._silent_since_s[owner]
            for owner in owners
            if now_s - self._silent_since_s.get(owner, now_s) >= _MIN_SILENCE_S
        }
        responding = len(owners) - len(silent)
        if len(silent) <= responding:
            return KeepLease()
        reached_by_vm = {
            vm: {
                server
                for server, since_s in served_since_s.items()
                if server in silent and since_s >= silent[server]
            }
            for vm, served_since_s in self._served_since_s.items()
        }
        reached = set().union(*reached_by_vm.values())
        vms = [
            vm for vm, found in reached_by_vm.items() if len(found) > responding
        ]
        if not vms or len(reached) < min(_MIN_REACHED_BY_OTHERS, len(silent)):
            return KeepLease()
        vms.sort(key=lambda vm: (-len(reached_by_vm[vm]), vm))
        return HandOverLease(tuple(vms))
