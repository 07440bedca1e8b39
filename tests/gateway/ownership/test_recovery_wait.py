"""Tests of which gateways a holder awaits after a restoration."""

from collections.abc import Mapping

from berylweir.gateway import models
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import lease_history
from berylweir.gateway.ownership import recovery_wait

_STARTED_S = 100.0
_LIFETIME_S = grant_expiry.max_grant_lifetime_s()
_LATEST_S = _STARTED_S + grant_expiry.AUTHORITY_S + _LIFETIME_S
_RESTORED_LEASE = models.Lease("vm-0", "run", 3, 1)


def former(
    *holders: str, epoch: int = 4, is_last: bool = True
) -> lease_history.FormerLeases:
    """Returns leases of holders that a gateway knows, from an epoch on."""
    return lease_history.FormerLeases(
        tuple(
            lease_history.FormerLease(holder, "run", epoch + n)
            for n, holder in enumerate(holders)
        ),
        is_last,
    )


def response(
    known: lease_history.FormerLeases | None,
    *,
    incarnation: str = "run",
    responded_s: float = _STARTED_S,
    restored_s: float = _STARTED_S,
    are_tables_known: bool = True,
) -> recovery_wait.Response:
    """Returns the response of a gateway."""
    return recovery_wait.Response(
        incarnation, responded_s, known, restored_s, are_tables_known
    )


def plan(
    responses: Mapping[str, recovery_wait.Response],
    *,
    registered: tuple[str, ...] = ("vm-0", "vm-1", "vm-2"),
    restored_lease: models.Lease | None = _RESTORED_LEASE,
    acted_epoch: int = 4,
) -> recovery_wait.Wait:
    """Returns the wait of vm-1."""
    return recovery_wait.plan(
        _STARTED_S, restored_lease, responses, registered, acted_epoch
    )


class TestKnownHolder:
    """A responding gateway certainly knows the last holder."""

    def test_holder_that_responded_is_not_awaited(self):
        """Guards against keys that are unserved for no reason."""
        known = former("vm-2")
        wait = plan({"vm-1": response(known), "vm-2": response(known)})
        assert wait == recovery_wait.Wait(_STARTED_S, frozenset())

    def test_only_the_holder_is_awaited(self):
        """Guards against a long wait for a VM that is always down."""
        names = tuple(f"vm-{n}" for n in range(195))
        responses = {n: response(None) for n in names if n != "vm-7"}
        responses["vm-1"] = response(former("vm-2"))
        responses["vm-2"] = response(former("vm-2"))
        wait = plan(responses, registered=names)
        assert wait == recovery_wait.Wait(_STARTED_S, frozenset())

    def test_silent_holder_is_awaited_until_its_grants_have_expired(self):
        """Guards against a second owner by moves that nobody knows."""
        wait = plan({"vm-1": response(former("vm-2"))})
        assert wait == recovery_wait.Wait(_LATEST_S, frozenset({"vm-2"}))

    def test_newest_lease_names_the_holder(self):
        """Guards against waiting for the holder of an older lease."""
        wait = plan(
            {
                "vm-0": response(former("vm-0", epoch=3)),
                "vm-1": response(former("vm-2", epoch=4)),
            }
        )
        assert wait.awaited == {"vm-2"}

    def test_grants_of_an_ended_holder_expire(self):
        """Guards against a second owner by moves that ended with it."""
        responded_s = _STARTED_S + 5.0
        wait = plan(
            {
                "vm-1": response(former("vm-2")),
                "vm-2": response(
                    None, incarnation="later", responded_s=responded_s
                ),
            }
        )
        assert wait == recovery_wait.Wait(
            responded_s + _LIFETIME_S, frozenset()
        )

    def test_grants_of_a_holder_whose_tables_are_unread_expire(self):
        """Guards against a second owner if reading the tables failed."""
        known = former("vm-2")
        wait = plan(
            {
                "vm-1": response(known),
                "vm-2": response(known, are_tables_known=False),
            }
        )
        assert wait.until_s == _STARTED_S + _LIFETIME_S

    def test_grants_of_a_resigned_holder_expire(self):
        """Guards against a second owner by its last moves."""
        wait = plan({"vm-1": response(former(""))})
        assert wait == recovery_wait.Wait(_STARTED_S + _LIFETIME_S, frozenset())

    def test_copy_from_before_a_resignation_is_not_trusted(self):
        """Guards against waiting for a VM that was shut down."""
        restored_lease = models.Lease("vm-2", "run", 4, 1)
        wait = plan(
            {"vm-1": response(former(""))}, restored_lease=restored_lease
        )
        assert wait == recovery_wait.Wait(_STARTED_S + _LIFETIME_S, frozenset())

    def test_lease_that_was_only_announced_was_not_resigned(self):
        """Guards against a second owner by the moves of a live holder."""
        announced = models.Lease("", "", 4, 1)
        wait = plan(
            {"vm-1": response(former("vm-2"))}, restored_lease=announced
        )
        assert wait.awaited == {"vm-2"}

    def test_most_gateways_suffice(self):
        """Guards against a long wait if the store was down before."""
        known = former("vm-2", is_last=False)
        wait = plan({"vm-1": response(known), "vm-2": response(known)})
        assert wait.until_s == _STARTED_S

    def test_holder_before_one_that_never_acted_is_awaited(self):
        """Guards against moves of a holder that is still granting."""
        known = former("vm-2", "vm-0")
        wait = plan({"vm-0": response(known), "vm-1": response(known)})
        assert wait.awaited == {"vm-2"}

    def test_holder_before_one_that_acted_is_not_awaited(self):
        """Guards against waiting for each holder there ever was."""
        known = former("vm-2", "vm-0")
        wait = plan(
            {"vm-0": response(known), "vm-1": response(known)}, acted_epoch=5
        )
        assert wait.until_s == _STARTED_S


class TestUnknownHolder:
    """No responding gateway certainly knows the last holder."""

    def test_all_silent_gateways_are_awaited(self):
        """Guards against a last holder that nobody knows (soak seed 218)."""
        wait = plan({"vm-1": response(None)})
        assert wait == recovery_wait.Wait(
            _LATEST_S, frozenset({"vm-0", "vm-2"})
        )

    def test_lease_of_the_copy_is_not_trusted(self):
        """Guards against a holder after the one in the restored copy."""
        responses = {"vm-0": response(former("vm-0", epoch=3, is_last=False))}
        responses["vm-1"] = response(None)
        assert plan(responses, acted_epoch=3).awaited == {"vm-2"}

    def test_holder_that_is_not_registered_is_awaited(self):
        """Guards against a holder whose registration the store has lost."""
        wait = plan({"vm-1": response(None)}, registered=("vm-1",))
        assert wait.awaited == {"vm-0"}

    def test_there_is_no_wait_if_all_have_responded(self):
        """Guards against keys that are unserved for no reason."""
        known = former("vm-0", epoch=3, is_last=False)
        wait = plan(
            {
                "vm-0": response(known),
                "vm-1": response(former("vm-2", epoch=2, is_last=False)),
                "vm-2": response(former("vm-2", epoch=2, is_last=False)),
            }
        )
        assert wait == recovery_wait.Wait(_STARTED_S, frozenset())

    def test_grants_of_earlier_runs_expire(self):
        """Guards against a holder that has started again."""
        responses = {
            "vm-0": response(None, incarnation="later"),
            "vm-1": response(None),
            "vm-2": response(None, responded_s=_STARTED_S + 1.0),
        }
        assert plan(responses) == recovery_wait.Wait(
            _STARTED_S + 1.0 + _LIFETIME_S, frozenset()
        )

    def test_holders_before_the_known_ones_are_awaited(self):
        """Guards against holders from before a gateway started."""
        known = former("vm-1", epoch=6)
        wait = plan({"vm-1": response(known)}, registered=("vm-1", "vm-2"))
        assert wait.awaited == {"vm-2"}

    def test_nothing_is_known_at_all(self):
        """Guards against a copy of the store that has no lease."""
        wait = plan({"vm-1": response(None)}, restored_lease=None)
        assert wait.awaited == {"vm-0", "vm-2"}


class TestEnd:
    """The time after which no wait is needed."""

    def test_wait_counts_from_the_restoration(self):
        """Guards against a long wait of each holder that follows another."""
        known_s = _STARTED_S - 10.0
        wait = plan(
            {
                "vm-0": response(None, restored_s=known_s),
                "vm-1": response(None),
            }
        )
        assert wait.until_s == _LATEST_S - 10.0

    def test_there_is_no_wait_long_after_the_restoration(self):
        """Guards against a wait for a VM that is gone for good."""
        wait = plan({"vm-1": response(None, restored_s=0.0)})
        assert wait.until_s < _STARTED_S
