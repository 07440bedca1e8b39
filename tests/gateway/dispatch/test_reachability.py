"""Tests of the circuit breakers for unreachable servers and zones."""

import logging

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import reachability

_UNREACHABLE = messages.AttemptResult.UNREACHABLE
_SERVED = messages.AttemptResult.SERVED


class TestServerReachability:
    """Circuit breaker of one server."""

    def test_unreachable_server_is_probed_with_exponential_backoff(self):
        """Guards against probes that cost more than the server is worth."""
        server_reachability = reachability.ServerReachability()
        server_reachability.record_failure(0.0, is_probe=False)
        now_s, probe_times_s = 0.0, []
        while now_s < 30.0:
            if server_reachability.is_probe_due(now_s):
                probe_times_s.append(now_s)
                server_reachability.start_probe(now_s)
                server_reachability.record_failure(now_s, is_probe=True)
            now_s += 0.1
        assert 5 <= len(probe_times_s) <= 7
        assert 0.6 <= probe_times_s[0] <= 0.71

    def test_backoff_stays_bounded_after_many_failures(self):
        """Guards against an overflow that ends the dispatcher."""
        server_reachability = reachability.ServerReachability()
        for _ in range(2000):
            server_reachability.record_failure(0.0, is_probe=True)
        assert not server_reachability.is_probe_due(7.9)
        assert server_reachability.is_probe_due(8.1)

    def test_only_one_probe_at_a_time(self):
        """Guards against several probes that wait for the same dead server."""
        server_reachability = reachability.ServerReachability()
        server_reachability.record_failure(0.0, is_probe=False)
        assert server_reachability.is_probe_due(1.0)
        server_reachability.start_probe(1.0)
        assert server_reachability.is_probing(1.1)
        assert not server_reachability.is_probe_due(1.1)

    def test_concurrent_failures_count_once(self):
        """Guards against a backoff of 8 s after one failure of many requests.

        They are sent at the same time, so they say no more than one of them.
        """
        server_reachability = reachability.ServerReachability()
        for _ in range(5):
            server_reachability.record_failure(0.0, is_probe=False)
        assert server_reachability.is_probe_due(0.6)

    def test_open_connection_ends_the_backoff(self):
        """Guards against ignoring a server that can be reached again."""
        server_reachability = reachability.ServerReachability()
        for _ in range(5):
            server_reachability.record_failure(0.0, is_probe=True)
        assert server_reachability.is_unreachable
        server_reachability.record_connected()
        assert not server_reachability.is_unreachable
        assert server_reachability.is_probe_due(0.1)


class TestZoneReachability:
    """Circuit breaker of a zone."""

    def test_three_unreachable_servers_make_the_zone_unreachable(self):
        """Guards against a connect timeout for each server of a lost zone."""
        zone_reachability = reachability.ZoneReachability()
        for name in "aab":
            zone_reachability.record_failure(name, 0.0)
        assert not zone_reachability.is_unreachable
        zone_reachability.record_failure("c", 0.0)
        assert zone_reachability.is_unreachable
        assert not zone_reachability.is_probe_due(0.1)

    def test_unreachable_zone_is_probed_at_intervals(self):
        """Guards against a zone that is never used again.

        One probe at a time finds out whether the zone can be reached.
        """
        zone_reachability = reachability.ZoneReachability()
        for name in "abc":
            zone_reachability.record_failure(name, 0.0)
        assert zone_reachability.is_probe_due(1.0)
        zone_reachability.start_probe(1.0)
        assert not zone_reachability.is_probe_due(1.1)
        assert zone_reachability.is_probe_due(1.4)
        zone_reachability.record_connected()
        assert not zone_reachability.is_unreachable

    def test_zone_with_a_responding_server_stays_reachable(self):
        """Guards against avoiding a whole zone after three server crashes."""
        zone_reachability = reachability.ZoneReachability()
        for name in "abcdef":
            zone_reachability.record_failure(name, 0.0)
            zone_reachability.record_response("z")
        assert not zone_reachability.is_unreachable

    def test_idle_connections_of_a_silent_zone_are_not_trusted(self):
        """Guards against requests that hang one by one on old connections."""
        zone_reachability = reachability.ZoneReachability()
        zone_reachability.record_overdue("a")
        assert not zone_reachability.trusts_idle_connections("a")
        assert zone_reachability.trusts_idle_connections("b")
        for name in "bcd":
            zone_reachability.record_failure(name, 0.0)
        assert zone_reachability.is_unreachable
        assert not zone_reachability.trusts_idle_connections("b")
        zone_reachability.record_response("a")
        assert zone_reachability.trusts_idle_connections("a")


def make_server(name: str, zone: str = "far") -> models.BackendServer:
    """Returns a server of a zone."""
    return models.BackendServer(
        name, 1, "g", "127.0.0.1", 1, zone, 3, False, 0.0, 1
    )


class TestReachabilityTracker:
    """Circuit breakers of servers and their zones together."""

    def test_unreachable_zone_blocks_its_untried_servers(self):
        """Guards against sending requests into an unreachable zone."""
        tracker = reachability.ReachabilityTracker()
        for name in "abc":
            tracker.record_result(make_server(name), _UNREACHABLE, 0.0)
        assert not tracker.allows_connection(make_server("d"))
        assert tracker.allows_connection(make_server("e", "near"))

    def test_no_request_is_sent_before_a_probe_succeeds(self):
        """Guards against requests that wait for a connection in vain."""
        tracker = reachability.ReachabilityTracker()
        server = make_server("a")
        tracker.retain([server, make_server("b")])
        tracker.record_result(server, _UNREACHABLE, 0.0)
        assert not tracker.start_probes([server], 0.5)
        assert tracker.start_probes([server], 60.0) == [server]
        assert not tracker.allows_connection(server)
        tracker.record_probe(server, True, 60.1)
        assert tracker.allows_connection(server)

    def test_reset_proves_nothing_but_a_response_does(self):
        """Guards against using a server whose connections are only reset."""
        tracker = reachability.ReachabilityTracker()
        server = make_server("a")
        tracker.record_result(server, _UNREACHABLE, 0.0)
        tracker.record_result(server, messages.AttemptResult.RESET, 0.1)
        assert not tracker.allows_connection(server)
        tracker.record_result(server, _SERVED, 0.1)
        assert tracker.allows_connection(server)

    def test_response_on_an_earlier_connection_makes_a_probe_due(self):
        """Guards against opening connections that a server refuses.

        Its earlier connections may live on while it refuses new ones.
        """
        tracker = reachability.ReachabilityTracker()
        server = make_server("a")
        tracker.retain([server, make_server("b")])
        tracker.record_result(server, _UNREACHABLE, 0.0)
        tracker.record_result(server, _SERVED, 0.1, is_new_connection=False)
        assert not tracker.allows_connection(server)
        assert tracker.start_probes([server], 0.1) == [server]
        tracker.record_probe(server, False, 0.15)
        tracker.record_result(server, _SERVED, 0.2, is_new_connection=False)
        assert not tracker.start_probes([server], 0.2)
        assert tracker.start_probes([server], 0.7) == [server]

    def test_servers_of_an_unreachable_zone_are_probed_in_turn(self):
        """Guards against a zone that is lost because one server is gone."""
        tracker = reachability.ReachabilityTracker()
        servers = [make_server(name) for name in "abcd"]
        tracker.retain(servers)
        for server in servers:
            tracker.record_result(server, _UNREACHABLE, 0.0)
        probed = []
        for tenth in range(1, 14):
            now_s = tenth / 10
            for server in tracker.start_probes(servers, now_s):
                probed.append(server.name)
                tracker.record_probe(server, False, now_s)
        assert sorted(probed) == ["a", "b", "c", "d"]

    def test_regained_zone_makes_probes_of_its_servers_due(self):
        """Guards against a zone that is used only in part for seconds."""
        tracker = reachability.ReachabilityTracker()
        servers = [make_server(name) for name in "abcd"]
        tracker.retain(servers)
        for server in servers:
            for _ in range(6):
                tracker.record_probe(server, False, 0.0)
        tracker.record_probe(servers[0], True, 1.0)
        assert tracker.start_probes(servers[1:], 1.0) == servers[1:]
        # A probe that was sent before the links returned may still fail.
        tracker.record_probe(servers[1], False, 1.0)
        assert tracker.start_probes(servers[1:], 2.3) == servers[1:]

    def test_probe_after_an_overdue_response_is_limited(self):
        """Guards against a connection for each request to slow servers."""
        tracker = reachability.ReachabilityTracker()
        servers = [make_server(name) for name in "abcd"]
        tracker.retain(servers)
        assert tracker.record_overdue(servers[0], 0.0, 0.3)
        assert not tracker.record_overdue(servers[0], 0.0, 0.4)
        assert not tracker.record_overdue(servers[1], 0.0, 1.2)
        assert tracker.record_overdue(servers[1], 0.0, 1.3)
        # Once a probe has failed, the others are urgent.
        tracker.record_probe(servers[1], False, 1.4)
        assert tracker.record_overdue(servers[2], 0.0, 1.4)

    def test_server_that_responds_to_others_is_not_overdue(self):
        """Guards against paying a connection for each slow request."""
        tracker = reachability.ReachabilityTracker()
        server = make_server("a")
        tracker.retain([server])
        tracker.record_result(server, _SERVED, 0.2, is_new_connection=False)
        assert not tracker.record_overdue(server, 0.1, 0.4)
        assert tracker.record_overdue(server, 0.3, 0.6)

    def test_zone_with_three_crashed_servers_does_not_flap(self):
        """Guards against losing a zone whenever its dead servers are probed."""
        tracker = reachability.ReachabilityTracker()
        servers = [make_server(name) for name in "abcd"]
        tracker.retain(servers)
        for server in servers[:3]:
            tracker.record_result(server, _UNREACHABLE, 0.0)
        assert tracker.start_probes(servers, 0.3) == [servers[3]]
        tracker.record_probe(servers[3], True, 0.3)
        assert tracker.start_probes(servers[:3], 0.3) == servers[:3]
        for server in servers[:3]:
            tracker.record_probe(server, False, 0.3)
        assert tracker.allows_connection(servers[3])
        tracker.record_result(servers[3], _UNREACHABLE, 0.4)
        assert not tracker.allows_connection(make_server("e"))

    def test_responses_on_earlier_connections_do_not_regain_a_zone(self):
        """Guards against a zone that is lost and regained many times a second.

        Its connections may live on while it refuses new ones.
        """
        tracker = reachability.ReachabilityTracker()
        servers = [make_server(name) for name in "abcd"]
        tracker.retain(servers)
        for server in servers[:3]:
            tracker.record_result(server, _UNREACHABLE, 0.0)
        tracker.record_result(servers[0], _SERVED, 0.1, is_new_connection=False)
        assert not tracker.allows_connection(servers[3])

    def test_each_change_of_reachability_is_logged_once(self, caplog):
        """Guards against failed requests without a cause in the log."""
        caplog.set_level(logging.INFO)
        tracker = reachability.ReachabilityTracker()
        server = make_server("a")
        for attempt_result in (_UNREACHABLE, _UNREACHABLE, _SERVED, _SERVED):
            tracker.record_result(server, attempt_result, 0.0)
        assert caplog.messages == ["server lost", "server regained"]

    def test_removed_server_is_forgotten(self):
        """Guards against memory that grows with each restart of a server."""
        tracker = reachability.ReachabilityTracker()
        server = make_server("a")
        tracker.record_result(server, _UNREACHABLE, 0.0)
        assert not tracker.allows_connection(server)
        tracker.retain(())
        assert tracker.allows_connection(server)

    def test_removed_servers_do_not_make_a_zone_unreachable(self):
        """Guards against a zone that is avoided after a release."""
        tracker = reachability.ReachabilityTracker()
        servers = [make_server(name) for name in "abcd"]
        tracker.retain(servers)
        for server in servers[:3]:
            tracker.record_result(server, _UNREACHABLE, 0.0)
        tracker.retain(servers[2:])
        assert tracker.allows_connection(servers[3])

    def test_excluded_server_is_not_probed(self):
        """Guards against probes of draining and evacuated servers."""
        tracker = reachability.ReachabilityTracker()
        server = make_server("a")
        tracker.record_result(server, _UNREACHABLE, 0.0)
        tracker.retain([make_server("b")])
        assert not tracker.start_probes([server], 60.0)
        assert not tracker.record_overdue(server, 59.0, 60.0)


class TestIsolation:
    """A VM that can't reach any server."""

    def test_vm_is_isolated_once_each_zone_is_unreachable(self, caplog):
        """Guards against a VM that accepts requests which it can't serve."""
        tracker = reachability.ReachabilityTracker()
        assert not tracker.is_isolated
        far = [make_server(name) for name in "abcd"]
        near = [make_server(name, "near") for name in "ef"]
        tracker.retain([*far, *near])
        for server in (*far[:3], near[0]):
            tracker.record_result(server, _UNREACHABLE, 0.0)
        assert not tracker.is_isolated
        tracker.record_result(near[1], _UNREACHABLE, 0.0)
        assert tracker.is_isolated
        tracker.record_probe(far[3], True, 1.0)
        assert not tracker.is_isolated
        assert caplog.messages == [
            "zone lost",
            "isolated from all servers",
            "zone regained",
            "regained servers",
        ]

    def test_responses_on_earlier_connections_do_not_end_it(self):
        """Guards against isolation that flaps while connections live on."""
        tracker = reachability.ReachabilityTracker()
        servers = [make_server(name) for name in "ab"]
        tracker.retain(servers)
        for server in servers:
            tracker.record_result(server, _UNREACHABLE, 0.0)
        tracker.record_result(servers[0], _SERVED, 0.1, is_new_connection=False)
        assert tracker.is_isolated

    def test_isolated_vm_probes_small_zones_at_the_interval_of_zones(self):
        """Guards against an isolation that lasts until a backoff of 8 s."""
        tracker = reachability.ReachabilityTracker()
        server = make_server("a")
        tracker.retain([server])
        for _ in range(6):
            tracker.record_probe(server, False, 0.0)
        assert tracker.start_probes([server], 0.3) == [server]

    def test_evacuated_zone_does_not_count(self):
        """Guards against isolation that goes unnoticed during evacuations."""
        tracker = reachability.ReachabilityTracker()
        far, near = make_server("a"), make_server("b", "near")
        tracker.retain([far, near])
        tracker.record_result(near, _UNREACHABLE, 0.0)
        assert not tracker.is_isolated
        tracker.retain([near])
        assert tracker.is_isolated
        tracker.retain([])
        assert not tracker.is_isolated
