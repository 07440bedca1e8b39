"""Tests of which servers and zones can't be reached."""

import logging

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import reach

_LOST = messages.AttemptResult.UNREACHABLE
_SERVED = messages.AttemptResult.SERVED


class TestServerReach:
    """One server."""

    def test_a_lost_server_is_tried_less_and_less_often(self):
        """Guards against each request waiting for a lost server."""
        found = reach.ServerReach()
        assert found.may_try(0.0)
        now_s, tries = 0.0, []
        while now_s < 30.0:
            if found.may_try(now_s):
                tries.append(now_s)
                found.tried(now_s)
                found.see(_LOST, now_s)
            now_s += 0.1
        assert len(tries) <= 8

    def test_one_request_at_a_time_tries_a_lost_server(self):
        """Guards against many requests that wait for one answer."""
        found = reach.ServerReach()
        found.see(_LOST, 0.0)
        assert found.may_try(1.0)
        found.tried(1.0)
        assert not found.may_try(1.1)

    def test_a_response_ends_the_pause(self):
        """Guards against a server that is left alone after its return."""
        found = reach.ServerReach()
        for _ in range(5):
            found.see(_LOST, 0.0)
        found.see(messages.AttemptResult.RESET, 0.1)
        assert not found.may_try(0.1)
        found.see(_SERVED, 0.1)
        assert found.may_try(0.1)
        found.tried(0.1)
        assert found.may_try(0.1)


class TestZoneReach:
    """All servers of a zone."""

    def test_a_few_lost_servers_mean_that_the_zone_is_cut_off(self):
        """Guards against a wait for each single server of a zone."""
        found = reach.ZoneReach()
        for name in "aab":
            found.see(name, _LOST, 0.0)
        assert not found.is_lost
        found.see("c", _LOST, 0.0)
        assert found.is_lost
        assert not found.may_try(0.1)

    def test_one_request_at_a_time_tries_a_lost_zone(self):
        """Guards against a zone that is never tried again."""
        found = reach.ZoneReach()
        for name in "abc":
            found.see(name, _LOST, 0.0)
        assert found.may_try(1.0)
        found.tried(1.0)
        assert not found.may_try(1.1)
        found.see("d", _SERVED, 1.2)
        assert found.may_try(1.2)

    def test_lost_servers_of_a_zone_that_responds_are_no_cut(self):
        """Guards against a zone that is left alone for three crashes."""
        found = reach.ZoneReach()
        for name in "abcdef":
            found.see(name, _LOST, 0.0)
            found.see("z", _SERVED, 0.0)
        assert not found.is_lost


class TestReach:
    """Servers and zones together."""

    def server(self, name: str, zone: str) -> models.BackendServer:
        """Returns a server."""
        return models.BackendServer(
            name, 1, "g", "127.0.0.1", 1, zone, 3, False, 0.0, 1
        )

    def test_a_lost_zone_takes_its_servers_along(self):
        """Guards against requests to the servers behind a cut."""
        found = reach.Reach()
        for name in "abc":
            found.see(self.server(name, "far"), _LOST, 0.0)
        assert not found.may_try(self.server("d", "far"), 0.1)
        assert found.may_try(self.server("e", "near"), 0.1)

    def test_a_lost_server_is_told_once(self, caplog):
        """Guards against a failed request whose cause is in no log."""
        caplog.set_level(logging.INFO)
        found = reach.Reach()
        server = self.server("a", "far")
        for evidence in (_LOST, _LOST, _SERVED, _SERVED):
            found.see(server, evidence, 0.0)
        assert caplog.messages == ["server lost", "server regained"]

    def test_a_server_that_is_gone_is_forgotten(self):
        """Guards against a memory that grows with each release."""
        found = reach.Reach()
        server = self.server("a", "far")
        found.see(server, _LOST, 0.0)
        assert not found.may_try(server, 0.1)
        found.keep(())
        assert found.may_try(server, 0.1)
