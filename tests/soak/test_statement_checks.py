"""Tests of the checks that gateways heed what servers say of themselves."""

from berylweir.soak import models
from berylweir.soak import statement_checks
from berylweir.standin.gateway_platform import server as server_standin


class StatementHarness:
    """A server with given arrivals from one VM, and its violations."""

    def __init__(self) -> None:
        self.server = server_standin.Server("s0")

    def arrive(
        self,
        *times_s: float,
        limit: float | None = None,
        is_leaving: bool = False,
        pause_s: float | None = None,
        has_statements: bool = True,
    ) -> None:
        """Adds arrivals during which the server said the same."""
        for arrived_s in times_s:
            self.server.arrivals.append(
                server_standin.Arrival(
                    f"r{len(self.server.arrivals)}",
                    arrived_s,
                    limit,
                    is_leaving,
                    pause_s,
                    has_statements,
                )
            )

    def violations(self, *disruptions: models.Disruption) -> list[str]:
        """Returns the violations."""
        vms = {a.request_id: 0 for a in self.server.arrivals}
        return statement_checks.find_violations([self.server], vms, disruptions)


class TestStatementChecks:
    """Each rule on statements, kept, violated and excused."""

    def test_limit_holds_after_its_grace(self):
        """Guards against a check that misses requests above a limit."""
        harness = StatementHarness()
        # 6 * 1 + 5 requests are allowed in 4 s.
        harness.arrive(0.0, *(5.0 + n / 10.0 for n in range(11)), limit=1.0)
        assert harness.violations() == []
        harness.arrive(6.5, limit=1.0)
        (violation,) = harness.violations()
        assert "12 requests" in violation
        assert harness.violations(models.Disruption(0, 1.0, 2.0)) == []
        assert harness.violations(models.Disruption(1, 1.0, 2.0)) != []

    def test_requests_before_the_grace_has_passed_do_not_count(self):
        """Guards against a check that is stricter than the rule."""
        harness = StatementHarness()
        harness.arrive(*(n / 10.0 for n in range(30)), limit=1.0)
        harness.arrive(3.2, 3.3)
        harness.arrive(*(3.4 + n / 10.0 for n in range(20)), limit=2.0)
        assert harness.violations() == []

    def test_leaving_server_gets_nothing_after_its_time(self):
        """Guards against a check that misses a late request."""
        harness = StatementHarness()
        harness.arrive(0.0, 1.0, 2.4, is_leaving=True)
        assert harness.violations() == []
        harness.arrive(2.6, is_leaving=True)
        (violation,) = harness.violations()
        assert "leaving" in violation
        assert harness.violations(models.Disruption(0, 0.5, 0.6)) == []

    def test_paused_server_gets_at_most_two_requests(self):
        """Guards against a check that misses requests in a pause."""
        harness = StatementHarness()
        harness.arrive(0.0, pause_s=3.0)
        harness.arrive(0.4, 0.6, 2.0, 3.1)
        assert harness.violations() == []
        harness.arrive(2.5)
        (violation,) = harness.violations()
        assert "pause" in violation
        assert harness.violations(models.Disruption(0, 1.0, 1.1)) == []

    def test_a_gateway_is_told_by_a_response_that_states_it(self):
        """Guards against a check that counts misdirected requests as told."""
        harness = StatementHarness()
        harness.arrive(0.0, is_leaving=True, has_statements=False)
        harness.arrive(2.8, is_leaving=True)
        assert harness.violations() == []
        # Once it has been told, misdirected requests come too late as well.
        harness.arrive(5.4, is_leaving=True, has_statements=False)
        assert len(harness.violations()) == 1

    def test_a_limit_is_told_by_a_response_that_states_it(self):
        """Guards against a check that counts misdirected requests as told."""
        harness = StatementHarness()
        harness.arrive(0.0, limit=1.0, has_statements=False)
        harness.arrive(*(5.0 + n / 50.0 for n in range(20)), limit=1.0)
        assert harness.violations() == []
        harness.arrive(*(6.0 + n / 50.0 for n in range(12)), limit=1.0)
        assert len(harness.violations()) == 1
