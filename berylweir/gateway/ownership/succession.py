"""When this gateway takes a lease that has no holder or a lost one."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence

from berylweir.gateway import models
from berylweir.gateway.ownership import election

# Time for which a gateway that handed the lease over because it was cut off
# from the servers counts as still cut off, in seconds.
_HAND_OVER_PAUSE_S = 10.0


class Succession:
    """Place of this gateway among those that can hold the lease.

    All times are on the boot clock, in seconds.
    """

    def __init__(
        self, local_vm: models.Vm, is_isolated: Callable[[], bool]
    ) -> None:
        """Creates the succession without other gateways.

        Args:
            local_vm: VM of this gateway.
            is_isolated: Returns whether this VM reaches no backend server.
        """
        self._local_vm = local_vm
        self._is_isolated = is_isolated
        self._vms: Mapping[str, models.Vm] = {}
        self._handed_over_s = float("-inf")
        # Revision of a released lease that its holder offered this gateway.
        self._offered_revision: int | None = None

    @property
    def vms(self) -> Mapping[str, models.Vm]:
        """Registered gateways by the name of their VM."""
        return self._vms

    def update_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Replaces the registered gateways."""
        self._vms = vms

    def first_registered(self, names: Sequence[str]) -> models.Vm | None:
        """Returns the first of some VMs that is registered."""
        return next((self._vms[n] for n in names if n in self._vms), None)

    def reaches_servers(self, now_s: float) -> bool:
        """Returns whether this VM reaches backend servers, as far as known."""
        return not (
            self._is_isolated()
            or now_s - self._handed_over_s < _HAND_OVER_PAUSE_S
        )

    def record_hand_over(self, now_s: float) -> None:
        """Records that this gateway handed the lease over."""
        self._handed_over_s = now_s

    def record_offer(self, revision: int) -> None:
        """Records that a holder offered this gateway the lease.

        Args:
            revision: Revision of the store at which it was released.
        """
        self._offered_revision = revision

    def rank(self, lease: models.Lease | None) -> int:
        """Returns the rank of this gateway as the successor, from 0."""
        return election.succession_rank(
            self._local_vm,
            self._vms,
            lease.holder if lease else "",
            lease.epoch if lease else 0,
        )

    def takeover_delay_s(
        self, lease: models.Lease | None, now_s: float
    ) -> float:
        """Returns how long to wait before taking a lease, in seconds."""
        return election.takeover_delay_s(
            self.rank(lease),
            was_offered=(
                lease is not None and lease.revision == self._offered_revision
            ),
            reaches_servers=self.reaches_servers(now_s),
        )
