"""Tests of when the grants of servers expire."""

from berylweir.gateway import models
from berylweir.gateway.ownership import grant_expiry

_INSTANCE = models.ServerInstance("s", 1)


class TestGrantExpiries:
    """Expiry of grants, and the loss of servers."""

    def test_a_rejected_grant_does_not_extend_the_expiry(self):
        """Guards against a lost server whose grants never count as expired."""
        expiries = grant_expiry.GrantExpiries()
        expiry = expiries.for_server(_INSTANCE)
        expiry.is_fenced = True
        expiry.record_sent(10.0)
        expires_s = expiries.expires_s(_INSTANCE)
        for attempt in range(20):
            expiry.record_sent(11.0 + attempt)
            expiry.record_rejected()
        assert expiries.expires_s(_INSTANCE) == expires_s

    def test_an_unanswered_grant_expires_counted_from_its_timeout(self):
        """Guards against a late grant that expires after the keeper's wait."""
        expiries = grant_expiry.GrantExpiries()
        expiry = expiries.for_server(_INSTANCE)
        expiry.is_fenced = True
        expiry.record_sent(10.0)
        expiry.record_unanswered(10.5)
        assert (
            expiries.expires_s(_INSTANCE)
            >= 10.5 + 1.02 * grant_expiry.GRANT_DURATION_S
        )
        assert expiry.unanswered_expires_s == expiries.expires_s(_INSTANCE)

    def test_only_a_server_with_failed_grants_is_lost(self):
        """Guards against moving all keys after the keeper was suspended.

        All grants have expired then, but no server has failed to accept one.
        """
        expiries = grant_expiry.GrantExpiries()
        expiry = expiries.for_server(_INSTANCE)
        expiry.is_fenced = True
        expiry.record_sent(10.0)
        expiry.record_accepted(10.1)
        assert not expiries.is_lost(_INSTANCE, 20.0)
        for _ in range(grant_expiry.LOST_AFTER_FAILURES):
            expiry.record_sent(20.0)
            expiry.record_rejected()
        assert expiries.is_lost(_INSTANCE, 20.0)
        expiry.record_sent(21.0)
        expiry.record_accepted(21.0)
        assert not expiries.is_lost(_INSTANCE, 30.0)

    def test_a_server_is_not_lost_before_its_grants_expire(self):
        """Guards against a second owner while a paused server may resume."""
        expiries = grant_expiry.GrantExpiries()
        expiry = expiries.for_server(_INSTANCE)
        expiry.is_fenced = True
        for _ in range(grant_expiry.LOST_AFTER_FAILURES):
            expiry.record_sent(10.0)
            expiry.record_unanswered(10.5)
        assert not expiries.is_lost(
            _INSTANCE, 10.5 + grant_expiry.GRANT_DURATION_S
        )
        assert expiries.is_lost(
            _INSTANCE, 10.5 + grant_expiry.max_grant_lifetime_s()
        )

    def test_the_expiry_includes_the_grants_of_an_earlier_keeper(self):
        """Guards against moving keys that an earlier keeper may still renew."""
        expiries = grant_expiry.GrantExpiries()
        expiries.start_epoch(30.0)
        assert expiries.expires_s(_INSTANCE) == 30.0
        expiries.for_server(_INSTANCE).record_sent(10.0)
        assert expiries.expires_s(_INSTANCE) == 30.0
        expiries.limit_inherited(15.0)
        assert expiries.expires_s(_INSTANCE) == 15.0

    def test_a_fenced_server_ignores_the_grants_of_an_earlier_keeper(self):
        """Guards against a wait for grants that the server would reject."""
        expiries = grant_expiry.GrantExpiries()
        expiries.start_epoch(30.0)
        expiry = expiries.for_server(_INSTANCE)
        expiry.record_sent(10.0)
        expiry.is_fenced = True
        assert expiries.expires_s(_INSTANCE) < 13.0
