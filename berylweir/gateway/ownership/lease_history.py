"""Remembers the leases that were in force before the store was restored."""

import dataclasses

from berylweir.gateway import models
from berylweir.gateway import revisions

# Age of the last evidence that a lease was in force, in seconds, up to which it
# counts as the last one of its generation. A gateway that was cut off or
# suspended for longer may have missed a later one.
_MAX_EVIDENCE_AGE_S = 4.0
# Number of leases that are remembered.
_MAX_LEASES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class FormerLease:
    """Lease of an earlier generation of the store.

    Attributes:
        holder: Name of the holder's VM; empty if the holder resigned.
        incarnation: Id of the run of the gateway that held it.
        epoch: Its epoch.
    """

    holder: str
    incarnation: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True)
class FormerLeases:
    """Newest leases of earlier generations of the store.

    Attributes:
        leases: Consecutive leases, the newest last; at least one.
        is_last: Whether the newest was certainly in force shortly before the
            restoration, by what a gateway other than its holder knows.
    """

    leases: tuple[FormerLease, ...]
    is_last: bool

    @property
    def newest(self) -> FormerLease:
        """The newest lease."""
        return self.leases[-1]


class LeaseHistory:
    """Leases that this gateway knew in the generation that wrote them.

    A lease that is read from a restored store doesn't count, since the store
    may have lost a later one. All times are on the boot clock, in seconds.
    """

    def __init__(self, local_vm: models.Vm) -> None:
        """Creates the history of a gateway that has read nothing yet.

        Args:
            local_vm: VM of this gateway.
        """
        self._local_vm = local_vm
        # Consecutive leases, the newest last.
        self._leases: tuple[FormerLease, ...] = ()
        self._newest_epoch = 0
        self._evidence_s = float("-inf")
        self._generation = 0
        self._generation_known_s = float("inf")
        self._former: FormerLeases | None = None

    @property
    def former(self) -> FormerLeases | None:
        """Newest known leases of earlier generations; None if none is."""
        return self._former

    @property
    def generation(self) -> int:
        """Highest known generation of the store."""
        return self._generation

    @property
    def generation_known_s(self) -> float:
        """Time at which it became known; infinity in the first one.

        The store was restored before that, so that no holder of an earlier
        generation has confirmed its lease since.
        """
        return self._generation_known_s

    def record_generation(self, generation: int, now_s: float) -> None:
        """Records that the store has reached a generation.

        Args:
            generation: The generation; one that isn't higher than the known
                one is ignored.
            now_s: Current time.
        """
        if generation <= self._generation:
            return
        if self._leases:
            newest = self._leases[-1]
            # A lease is taken over because its holder is suspended or cut off,
            # and such a holder doesn't learn of it.
            is_last = (
                newest.incarnation != self._local_vm.incarnation
                and newest.epoch == self._newest_epoch
                and now_s - self._evidence_s <= _MAX_EVIDENCE_AGE_S
            )
            self._former = FormerLeases(self._leases, is_last)
        self._generation = generation
        self._generation_known_s = now_s

    def record_lease(self, lease: models.Lease, now_s: float) -> None:
        """Records a lease as the store has it.

        Args:
            lease: The lease.
            now_s: Current time.
        """
        read_in = revisions.generation(lease.revision)
        self.record_generation(read_in, now_s)
        if read_in == revisions.epoch_generation(lease.epoch):
            self._record(lease.holder, lease.incarnation, lease.epoch, now_s)

    def record_announcement(
        self, holder: str, incarnation: str, epoch: int, now_s: float
    ) -> None:
        """Records that a gateway said that there is a lease.

        Args:
            holder: Name of the holder's VM; empty if it isn't known.
            incarnation: Id of the run of the holder's gateway.
            epoch: Epoch of the lease.
            now_s: Current time.
        """
        self.record_generation(revisions.epoch_generation(epoch), now_s)
        if holder:
            self._record(holder, incarnation, epoch, now_s)
        self._newest_epoch = max(self._newest_epoch, epoch)

    def record_evidence(self, epoch: int, now_s: float) -> None:
        """Records that a lease was in force at a time.

        Args:
            epoch: Epoch of the lease.
            now_s: The time.
        """
        if epoch == self._newest_epoch:
            self._evidence_s = max(self._evidence_s, now_s)

    def _record(
        self, holder: str, incarnation: str, epoch: int, now_s: float
    ) -> None:
        if epoch < self._newest_epoch:
            return
        self._newest_epoch = epoch
        lease = FormerLease(holder, incarnation, epoch)
        newest = self._leases[-1] if self._leases else None
        if newest is not None and epoch == newest.epoch:
            self._leases = (*self._leases[:-1], lease)
        else:
            self._evidence_s = now_s
            known = self._leases if self._follows(epoch) else ()
            self._leases = (*known, lease)[-_MAX_LEASES:]
        if not holder:
            # A successor takes a released lease at once.
            self._evidence_s = float("-inf")
        if revisions.epoch_generation(epoch) < self._generation:
            # It became known only after the restoration.
            self._former = FormerLeases(self._leases, is_last=False)

    def _follows(self, epoch: int) -> bool:
        """Returns whether no lease can be missing before an epoch."""
        if not self._leases:
            return False
        newest = self._leases[-1].epoch
        generation = revisions.epoch_generation(epoch)
        if revisions.epoch_generation(newest) < generation and not (
            self._former is not None and self._former.is_last
        ):
            return False
        return epoch == revisions.next_epoch(newest, generation)
