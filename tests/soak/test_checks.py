"""Tests of the checks that a soak makes on its records."""

import pytest

from berylweir.soak import checks
from berylweir.soak import models
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin


def make_exchange(**changes) -> models.Exchange:
    """Returns a refused request (status 503); `changes` replace its fields."""
    fields = {
        "request_id": "r1",
        "path": "/unsafe/1",
        "is_idempotent": False,
        "vm": 0,
        "instance": 1,
        "sent_s": 5.0,
        "ended_s": 5.1,
        "status": 503,
    }
    return models.Exchange(**(fields | changes))


async def execute(server: server_standin.Server, request_id: str) -> None:
    """Has a server execute a request."""
    headers = {"request-id": request_id}
    await server.handle(http.Request("POST", "/unsafe/1", {}, headers, b""))


class TestViolations:
    """Each guarantee, kept and violated."""

    async def test_a_refused_request_must_not_run(self):
        """Guards against a check that misses an executed, refused request."""
        server = server_standin.Server("s0")
        assert not checks.find_violations(
            [make_exchange()], [server], [], frozenset()
        )
        await execute(server, "r1")
        (violation,) = checks.find_violations(
            [make_exchange()], [server], [], frozenset()
        )
        assert "yet run" in violation

    async def test_a_request_that_may_not_repeat_runs_once(self):
        """Guards against a check that misses a second execution."""
        servers = [server_standin.Server("s0"), server_standin.Server("s1")]
        await execute(servers[0], "r1")
        exchanges = [make_exchange(status=502)]
        assert not checks.find_violations(exchanges, servers, [], frozenset())
        await execute(servers[1], "r1")
        (violation,) = checks.find_violations(
            exchanges, servers, [], frozenset()
        )
        assert "run 2 times" in violation

    @pytest.mark.parametrize("change", [{}, {"body": b"s0 /x"}, {"seal": "0"}])
    async def test_an_answer_is_the_request_s_own(self, change):
        """Guards against a check that accepts another request's response."""
        server = server_standin.Server("s0")
        response = server.build_response("r1", "/unsafe/1")
        fields = {
            "status": 200,
            "body": response.body,
            "seal": response.headers["Response-Seal"],
        }
        violations = checks.find_violations(
            [make_exchange(**(fields | change))], [server], [], frozenset()
        )
        assert len(violations) == len(change)

    async def test_a_planned_stop_answers_what_was_sent_before(self):
        """Guards against a check that ignores requests lost at a stop."""
        exchanges = [make_exchange(status=None)]
        stop = models.PlannedStop(0, 1, 5.05)
        (violation,) = checks.find_violations(
            exchanges, [], [stop], frozenset()
        )
        assert "planned stop" in violation
        assert not checks.find_violations(
            exchanges, [], [stop], frozenset({(0, 1)})
        )
        earlier_stop = models.PlannedStop(0, 1, 4.0)
        assert not checks.find_violations(
            exchanges, [], [earlier_stop], frozenset()
        )

    async def test_a_caller_that_had_given_up_is_not_lost_at_a_stop(self):
        """Guards against blaming a stop for a freeze before it."""
        exchanges = [make_exchange(status=None, ended_s=5.04)]
        stop = models.PlannedStop(0, 1, 5.05)
        assert not checks.find_violations(exchanges, [], [stop], frozenset())
