"""Tests of the check on a request that crashes servers."""

from berylweir.soak import harmful_request
from berylweir.soak import models
from berylweir.standin.gateway_platform import server as server_standin

_VMS = {f"harmful-{n}": 0 for n in range(20)}


def server_with(started_s, arrived_s):
    """Returns a server that ended at some times, and got some attempts."""
    server = server_standin.Server("s")
    server.executions = [
        server_standin.Execution("x", "GET", harmful_request.PATH, None, 1.0, s)
        for s in started_s
    ]
    server.arrivals = [
        server_standin.Arrival(f"harmful-{n}", s, None, False, None)
        for n, s in enumerate(arrived_s)
    ]
    return server


class TestFindViolations:
    """What servers see of a request that crashes them."""

    def test_attempts_long_after_the_third_end_are_allowed(self):
        """Guards against a check that never fails."""
        server = server_with((1.0, 2.0, 3.0), (6.5, 7.0, 8.0, 9.0))
        assert len(harmful_request.find_violations([server], _VMS, [], [])) == 1

    def test_attempts_soon_after_the_third_end_are_violations(self):
        """Guards against blaming gateways that can't know of it yet."""
        server = server_with((1.0, 2.0, 3.0), (3.5, 4.0, 5.0, 5.5, 6.1))
        assert harmful_request.find_violations([server], _VMS, [], []) == []

    def test_restarted_gateway_is_blamed(self):
        """Guards against blaming a gateway that has just started."""
        server = server_with((1.0, 2.0, 3.0), (6.5, 7.0, 8.0, 9.0))
        restart = models.Disruption(0, 6.0, 8.0)
        assert (
            harmful_request.find_violations([server], _VMS, [restart], []) == []
        )

    def test_gateway_that_restarted_without_the_store_is_blamed(self):
        """Guards against blaming a gateway for what nobody can tell it."""
        server = server_with((1.0, 2.0, 3.0), (16.5, 17.0, 18.0, 19.0))
        restart = models.Disruption(0, 6.0, 8.0)
        outage = models.Disruption(0, 5.0, 9.0)
        find = harmful_request.find_violations
        assert len(find([server], _VMS, [restart], [])) == 1
        assert len(find([server], _VMS, [], [outage])) == 1
        assert find([server], _VMS, [restart], [outage]) == []
