"""Tests of which lease was in force before a restoration."""

import dataclasses

import pytest

from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.gateway.ownership import lease_history

_LOCAL_VM = models.Vm("vm-9", "run-vm-9", "127.0.0.1", 1, "a")
_RESTORED_EPOCH = revisions.next_epoch(0, 1)


def lease(epoch: int, *, holder: str = "vm-1", read_in: int = 0):
    """Returns a lease as read in a generation of the store."""
    revision = revisions.compose(read_in, 10 + epoch)
    return models.Lease(holder, f"run-{holder}", epoch, revision)


class TestFormerLease:
    """The newest lease that is known of an earlier generation."""

    def test_known_lease_is_named_after_a_restoration(self):
        """Guards against a last holder whom nobody names."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_lease(lease(4), 0.0)
        assert history.former is None
        history.record_generation(1, 1.0)
        assert history.former == lease_history.FormerLeases(
            (lease_history.FormerLease("vm-1", "run-vm-1", 4),), is_last=True
        )

    def test_lease_of_the_restored_copy_does_not_count(self):
        """Guards against an older lease that is taken for the last one."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_lease(lease(4, read_in=1), 0.0)
        assert history.former is None

    def test_older_copy_does_not_replace_the_known_lease(self):
        """Guards against a known lease that is forgotten."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_lease(lease(4), 0.0)
        history.record_lease(lease(3, holder="vm-0", read_in=1), 1.0)
        history.record_lease(
            lease(_RESTORED_EPOCH, holder="vm-2", read_in=1), 2.0
        )
        assert history.former is not None
        assert history.former.newest.holder == "vm-1"

    def test_released_lease_is_not_certainly_the_last(self):
        """Guards against a successor that nobody awaits."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_lease(lease(4), 0.0)
        history.record_evidence(4, 0.5)
        released = dataclasses.replace(
            lease(4), holder="", incarnation="", revision=20
        )
        history.record_lease(released, 1.0)
        history.record_generation(1, 1.5)
        assert history.former is not None
        assert not history.former.is_last

    def test_announced_lease_is_named(self):
        """Guards against a holder whose lease wasn't read in time."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_lease(lease(4), 0.0)
        history.record_announcement("vm-2", "run-vm-2", 5, 1.0)
        history.record_generation(1, 1.5)
        assert history.former is not None
        assert history.former.newest == lease_history.FormerLease(
            "vm-2", "run-vm-2", 5
        )
        assert history.former.is_last

    def test_lease_that_is_read_late_is_named(self):
        """Guards against a lease that comes after the new generation."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_lease(lease(4), 0.0)
        history.record_generation(1, 1.0)
        history.record_lease(lease(5, holder="vm-2"), 1.1)
        assert history.former is not None
        assert history.former.newest.holder == "vm-2"

    def test_resigned_lease_has_no_holder(self):
        """Guards against waiting for a holder that has resigned."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_lease(lease(4), 0.0)
        history.record_lease(lease(4, holder=""), 1.0)
        history.record_generation(1, 1.5)
        assert history.former is not None
        assert not history.former.newest.holder

    def test_later_restoration_replaces_it(self):
        """Guards against naming a holder of two generations ago."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_lease(lease(4), 0.0)
        history.record_lease(
            lease(_RESTORED_EPOCH, holder="vm-2", read_in=1), 5.0
        )
        history.record_generation(2, 6.0)
        assert history.former is not None
        assert history.former.newest.holder == "vm-2"


class TestConsecutiveLeases:
    """The leases before the newest one."""

    def epochs(self, history: lease_history.LeaseHistory) -> list[int]:
        """Returns the epochs of the leases that are named."""
        assert history.former is not None
        return [former.epoch for former in history.former.leases]

    def test_leases_before_are_named(self):
        """Guards against an unknown holder if the next one never acted."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        for epoch in (4, 5, 6):
            history.record_lease(lease(epoch), float(epoch))
        history.record_generation(1, 7.0)
        assert self.epochs(history) == [4, 5, 6]

    def test_missed_lease_ends_the_series(self):
        """Guards against a holder that nobody names."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        for epoch in (3, 4, 6):
            history.record_lease(lease(epoch), float(epoch))
        history.record_generation(1, 7.0)
        assert self.epochs(history) == [6]

    @pytest.mark.parametrize(
        ("restored_s", "expected"),
        [(1.0, [4, _RESTORED_EPOCH]), (60.0, [_RESTORED_EPOCH])],
    )
    def test_lost_leases_end_the_series(self, restored_s, expected):
        """Guards against a last lease that two restorations have hidden."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_lease(lease(4), 0.0)
        history.record_lease(lease(_RESTORED_EPOCH, read_in=1), restored_s)
        history.record_generation(2, restored_s + 1.0)
        assert self.epochs(history) == expected

    def test_own_lease_does_not_continue_after_a_restoration(self):
        """Guards against a successor that two restorations have hidden."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_lease(lease(4, holder="vm-9"), 0.0)
        history.record_lease(
            lease(_RESTORED_EPOCH, holder="vm-9", read_in=1), 1.0
        )
        history.record_generation(2, 2.0)
        assert self.epochs(history) == [_RESTORED_EPOCH]


class TestEvidence:
    """Whether the known lease was certainly the last one."""

    def is_last(self, restored_s: float, *evidence: tuple[int, float]) -> bool:
        """Returns it for a lease of epoch 4 that was read at 0 s."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_lease(lease(4), 0.0)
        for epoch, time_s in evidence:
            history.record_evidence(epoch, time_s)
        history.record_generation(1, restored_s)
        assert history.former is not None
        return history.former.is_last

    def test_gateway_that_was_suspended_is_not_certain(self):
        """Guards against a later lease that this gateway has missed."""
        assert not self.is_last(60.0)

    def test_responding_holder_makes_it_certain(self):
        """Guards against a long wait although the last holder is known."""
        assert self.is_last(60.0, (4, 59.0))

    def test_responses_of_other_holders_do_not_count(self):
        """Guards against evidence of another lease."""
        assert not self.is_last(60.0, (3, 59.0))

    def test_own_lease_is_not_certainly_the_last(self):
        """Guards against a successor that only its frozen predecessor knew."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_lease(lease(4, holder="vm-9"), 0.0)
        history.record_evidence(4, 1.0)
        history.record_generation(1, 1.5)
        assert history.former is not None
        assert not history.former.is_last

    def test_unnamed_later_lease_makes_it_uncertain(self):
        """Guards against a later holder whose name isn't known."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_lease(lease(4), 0.0)
        history.record_announcement("", "", 5, 0.5)
        history.record_generation(1, 1.0)
        assert history.former is not None
        assert not history.former.is_last


class TestGeneration:
    """When a generation of the store became known."""

    def test_first_time_counts(self):
        """Guards against a wait that begins again and again."""
        history = lease_history.LeaseHistory(_LOCAL_VM)
        history.record_generation(1, 3.0)
        history.record_generation(1, 9.0)
        history.record_generation(0, 9.0)
        assert (history.generation, history.generation_known_s) == (1, 3.0)
