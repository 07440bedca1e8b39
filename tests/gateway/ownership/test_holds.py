"""Tests of until when servers may hold keys."""

from berylweir.gateway import models
from berylweir.gateway.ownership import holds

_LIFE = models.ServerInstance("s", 1)


class TestHolds:
    """Waits before keys may be granted to another server."""

    def test_a_grant_that_was_not_taken_prolongs_nothing(self):
        """Guards against a lost server that holds its keys for ever."""
        found = holds.Holds()
        hold = found.of(_LIFE)
        hold.is_fenced = True
        hold.sent(10.0)
        until_s = found.until_s(_LIFE)
        for attempt in range(20):
            hold.sent(11.0 + attempt)
            hold.not_taken()
        assert found.until_s(_LIFE) == until_s

    def test_a_grant_without_an_answer_counts_from_its_end(self):
        """Guards against a late grant that outlives the wait."""
        found = holds.Holds()
        hold = found.of(_LIFE)
        hold.is_fenced = True
        hold.sent(10.0)
        hold.unanswered(10.5)
        assert found.until_s(_LIFE) >= 10.5 + 1.02 * holds.HOLD_S
        assert hold.unanswered_until_s == found.until_s(_LIFE)

    def test_only_a_server_that_fails_is_lapsed(self):
        """Guards against moving all keys after the keeper was suspended."""
        found = holds.Holds()
        hold = found.of(_LIFE)
        hold.is_fenced = True
        hold.sent(10.0)
        hold.accepted(10.1)
        assert not found.is_lapsed(_LIFE, 20.0)
        for _ in range(holds.MAX_FAILURES):
            hold.sent(20.0)
            hold.not_taken()
        assert found.is_lapsed(_LIFE, 20.0)
        hold.sent(21.0)
        hold.accepted(21.0)
        assert not found.is_lapsed(_LIFE, 30.0)

    def test_a_server_that_may_hold_a_grant_is_not_lapsed(self):
        """Guards against a second owner beside a frozen server."""
        found = holds.Holds()
        hold = found.of(_LIFE)
        hold.is_fenced = True
        for _ in range(holds.MAX_FAILURES):
            hold.sent(10.0)
            hold.unanswered(10.5)
        assert not found.is_lapsed(_LIFE, 10.5 + holds.HOLD_S)
        assert found.is_lapsed(_LIFE, 10.5 + holds.longest_hold_s())

    def test_a_former_keepers_grants_are_waited_for(self):
        """Guards against keys that a lost keeper may still be renewing."""
        found = holds.Holds()
        found.begin(30.0)
        assert found.until_s(_LIFE) == 30.0
        found.of(_LIFE).sent(10.0)
        assert found.until_s(_LIFE) == 30.0
        found.shorten(15.0)
        assert found.until_s(_LIFE) == 15.0

    def test_a_server_that_took_a_new_token_refuses_the_former_keeper(self):
        """Guards against waiting for grants that can't come any more."""
        found = holds.Holds()
        found.begin(30.0)
        hold = found.of(_LIFE)
        hold.sent(10.0)
        hold.is_fenced = True
        assert found.until_s(_LIFE) < 13.0
