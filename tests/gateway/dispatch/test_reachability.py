"""Tests of the circuit breakers for unreachable servers and zones."""

import logging

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import reachability

_UNREACHABLE = messages.AttemptResult.UNREACHABLE
_SERVED = messages.AttemptResult.SERVED


class TestServerReachability:
    """Circuit breaker of one server."""

    def test_unreachable_server_is_retried_with_exponential_backoff(self):
        """Guards against each request waiting for an unreachable server."""
        server_reachability = reachability.ServerReachability()
        assert server_reachability.allows_request(0.0)
        now_s, attempt_times_s = 0.0, []
        while now_s < 30.0:
            if server_reachability.allows_request(now_s):
                attempt_times_s.append(now_s)
                server_reachability.record_attempt(now_s)
                server_reachability.record_result(_UNREACHABLE, now_s)
            now_s += 0.1
        assert len(attempt_times_s) <= 8

    def test_backoff_stays_bounded_after_many_failures(self):
        """Guards against an overflow that ends the dispatcher."""
        server_reachability = reachability.ServerReachability()
        for _ in range(2000):
            server_reachability.record_result(_UNREACHABLE, 0.0)
        assert not server_reachability.allows_request(7.9)
        assert server_reachability.allows_request(8.1)

    def test_only_one_request_at_a_time_probes_an_unreachable_server(self):
        """Guards against many requests that wait for the same dead server."""
        server_reachability = reachability.ServerReachability()
        server_reachability.record_result(_UNREACHABLE, 0.0)
        assert server_reachability.allows_request(1.0)
        server_reachability.record_attempt(1.0)
        assert not server_reachability.allows_request(1.1)

    def test_response_ends_the_backoff(self):
        """Guards against ignoring a server that responds again."""
        server_reachability = reachability.ServerReachability()
        for _ in range(5):
            server_reachability.record_result(_UNREACHABLE, 0.0)
        server_reachability.record_result(messages.AttemptResult.RESET, 0.1)
        assert not server_reachability.allows_request(0.1)
        server_reachability.record_result(_SERVED, 0.1)
        assert server_reachability.allows_request(0.1)
        server_reachability.record_attempt(0.1)
        assert server_reachability.allows_request(0.1)


class TestZoneReachability:
    """Circuit breaker of a zone."""

    def test_three_unreachable_servers_make_the_zone_unreachable(self):
        """Guards against a connect timeout for each server of a lost zone."""
        zone_reachability = reachability.ZoneReachability()
        for name in "aab":
            zone_reachability.record_result(name, _UNREACHABLE, 0.0)
        assert not zone_reachability.is_unreachable
        zone_reachability.record_result("c", _UNREACHABLE, 0.0)
        assert zone_reachability.is_unreachable
        assert not zone_reachability.allows_request(0.1)

    def test_only_one_request_at_a_time_probes_an_unreachable_zone(self):
        """Guards against a zone that is never used again.

        One probe at a time finds out whether the zone responds.
        """
        zone_reachability = reachability.ZoneReachability()
        for name in "abc":
            zone_reachability.record_result(name, _UNREACHABLE, 0.0)
        assert zone_reachability.allows_request(1.0)
        zone_reachability.record_attempt(1.0)
        assert not zone_reachability.allows_request(1.1)
        zone_reachability.record_result("d", _SERVED, 1.2)
        assert zone_reachability.allows_request(1.2)

    def test_zone_with_a_responding_server_stays_reachable(self):
        """Guards against avoiding a whole zone after three server crashes."""
        zone_reachability = reachability.ZoneReachability()
        for name in "abcdef":
            zone_reachability.record_result(name, _UNREACHABLE, 0.0)
            zone_reachability.record_result("z", _SERVED, 0.0)
        assert not zone_reachability.is_unreachable


class TestReachabilityTracker:
    """Circuit breakers of servers and their zones together."""

    def make_server(self, name: str, zone: str) -> models.BackendServer:
        """Returns a server of a zone."""
        return models.BackendServer(
            name, 1, "g", "127.0.0.1", 1, zone, 3, False, 0.0, 1
        )

    def test_unreachable_zone_blocks_its_untried_servers(self):
        """Guards against sending requests into an unreachable zone."""
        tracker = reachability.ReachabilityTracker()
        for name in "abc":
            tracker.record_result(
                self.make_server(name, "far"), _UNREACHABLE, 0.0
            )
        assert not tracker.allows_request(self.make_server("d", "far"), 0.1)
        assert tracker.allows_request(self.make_server("e", "near"), 0.1)

    def test_each_change_of_reachability_is_logged_once(self, caplog):
        """Guards against failed requests without a cause in the log."""
        caplog.set_level(logging.INFO)
        tracker = reachability.ReachabilityTracker()
        server = self.make_server("a", "far")
        for attempt_result in (_UNREACHABLE, _UNREACHABLE, _SERVED, _SERVED):
            tracker.record_result(server, attempt_result, 0.0)
        assert caplog.messages == ["server lost", "server regained"]

    def test_removed_server_is_forgotten(self):
        """Guards against memory that grows with each restart of a server."""
        tracker = reachability.ReachabilityTracker()
        server = self.make_server("a", "far")
        tracker.record_result(server, _UNREACHABLE, 0.0)
        assert not tracker.allows_request(server, 0.1)
        tracker.retain(())
        assert tracker.allows_request(server, 0.1)
