"""Tests of the check whether the lease holder is cut off from the owners."""

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.ownership import owner_contact

_OWNERS = [models.ServerInstance(f"s{n}", 1) for n in range(8)]


def usage(served: int) -> messages.ServerUsage:
    """Returns what a VM reports on one server."""
    return messages.ServerUsage(served, 0, 20.0)


class TestOwnerContact:
    """Whether the lease is handed over."""

    def contact(
        self, silent: int, reported: int, reports_s: tuple[float, ...]
    ) -> owner_contact.OwnerContact:
        """Returns the contact of a holder after some grants and reports.

        Args:
            silent: Owners that didn't respond to the grants sent at 10 s.
            reported: Owners that the reports of another VM name as served.
            reports_s: When these reports arrive, in seconds.
        """
        contact = owner_contact.OwnerContact()
        for index, owner in enumerate(_OWNERS):
            contact.record_grant(owner, 10.0, has_response=index >= silent)
        for now_s in reports_s:
            servers = {o.server: usage(2) for o in _OWNERS[:reported]}
            contact.record_report("other", servers, now_s)
        return contact

    def test_a_holder_without_contact_hands_over(self):
        """Guards against keys without owners while the holder is cut off.

        The store and all other gateways reach it, so nobody replaces it.
        """
        contact = self.contact(silent=8, reported=8, reports_s=(10.1, 10.6))
        verdict = contact.decide(_OWNERS, 11.1)
        assert verdict == owner_contact.HandOverLease(("other",))

    def test_the_gateway_that_reaches_the_most_owners_comes_first(self):
        """Guards against a successor that hardly reaches the servers."""
        contact = self.contact(silent=8, reported=8, reports_s=(10.1, 10.6))
        for now_s in (10.2, 10.7):
            contact.record_report("busy", {"s0": usage(50)}, now_s)
        verdict = contact.decide(_OWNERS, 11.1)
        assert verdict == owner_contact.HandOverLease(("other", "busy"))

    def test_a_vm_that_reaches_no_more_owners_gets_no_lease(self):
        """Guards against a lease that goes round between zones cut apart."""
        contact = self.contact(silent=5, reported=3, reports_s=(10.1, 10.6))
        assert contact.decide(_OWNERS, 11.1) == owner_contact.KeepLease()

    def test_one_lost_grant_keeps_the_holder(self):
        """Guards against a hand-over before the grants were repeated."""
        contact = self.contact(silent=8, reported=8, reports_s=(10.1, 10.6))
        assert contact.decide(_OWNERS, 10.9) == owner_contact.KeepLease()

    def test_responses_from_before_the_silence_don_t_count(self):
        """Guards against a hand-over because all servers have crashed."""
        contact = self.contact(silent=8, reported=8, reports_s=(9.5, 10.0))
        assert contact.decide(_OWNERS, 11.1) == owner_contact.KeepLease()
        # The requests of this report may have ended before 10 s.
        contact = self.contact(silent=8, reported=8, reports_s=(9.9, 10.4))
        assert contact.decide(_OWNERS, 11.1) == owner_contact.KeepLease()

    def test_servers_that_nobody_reaches_keep_the_holder(self):
        """Guards against a lease that changes hands for nothing."""
        contact = self.contact(silent=8, reported=0, reports_s=(10.1, 10.6))
        assert contact.decide(_OWNERS, 11.1) == owner_contact.KeepLease()

    def test_a_few_silent_servers_keep_the_holder(self):
        """Guards against a hand-over for the links of single servers."""
        contact = self.contact(silent=4, reported=8, reports_s=(10.1, 10.6))
        assert contact.decide(_OWNERS, 11.1) == owner_contact.KeepLease()

    def test_a_response_ends_the_silence(self):
        """Guards against a hand-over after the contact has returned."""
        contact = self.contact(silent=8, reported=8, reports_s=(10.1, 10.6))
        for owner in _OWNERS[:4]:
            contact.record_grant(owner, 10.7, has_response=True)
        assert contact.decide(_OWNERS, 11.1) == owner_contact.KeepLease()

    def test_reports_to_an_earlier_lease_are_forgotten(self):
        """Guards against a new holder that hands over at once."""
        contact = self.contact(silent=8, reported=8, reports_s=(10.1, 10.6))
        contact.start_epoch()
        assert not contact.has_silent_owners
        assert contact.decide(_OWNERS, 11.1) == owner_contact.KeepLease()
