"""Tests of the counts of requests that isolated gateways serve."""

import pytest

from berylweir.soak import isolation_checks
from berylweir.soak import models

_ISOLATION = models.Isolation(0, 10.0, 16.0)


def make_exchange(
    vm: int, sent_s: float, status: int | None = 200
) -> models.Exchange:
    """Returns a request to a gateway, and the response to it."""
    return models.Exchange(
        "r", "/safe/1", True, vm, 1, sent_s, sent_s + 0.1, status
    )


class TestServedCounts:
    """Which requests count, and whether enough were served."""

    @pytest.mark.parametrize("sent_s", [9.0, 12.9, 16.1])
    @pytest.mark.parametrize("vm", [0, 1])
    def test_other_times_do_not_count(self, vm, sent_s):
        """Guards against counts of requests before a gateway has reacted."""
        counts = isolation_checks.count_served(
            [make_exchange(vm, sent_s)], [_ISOLATION], 3
        )
        assert counts == isolation_checks.ServedCounts()

    def test_nothing_counts_while_all_gateways_are_isolated(self):
        """Guards against a bound that nobody can meet."""
        exchanges = [make_exchange(vm, 14.0) for vm in (0, 1)]
        later = models.Isolation(1, 13.5, 20.0)
        assert isolation_checks.count_served(
            exchanges, [_ISOLATION, later], 2
        ) == (isolation_checks.ServedCounts())
        # With a third gateway, the later isolation is too short yet.
        assert isolation_checks.count_served(
            exchanges, [_ISOLATION, later], 3
        ) == (isolation_checks.ServedCounts(1, 1, 0, 0))

    @pytest.mark.parametrize(("isolated", "is_enough"), [(6, True), (5, False)])
    def test_isolated_gateways_serve_two_thirds(self, isolated, is_enough):
        """Guards against a check that misses refused requests."""
        exchanges = [
            *(make_exchange(0, 14.0, 200) for _ in range(isolated)),
            *(make_exchange(0, 14.0, 503) for _ in range(10 - isolated)),
            *(make_exchange(1, 14.0, 200) for _ in range(9)),
            make_exchange(1, 14.0, None),
        ]
        counts = isolation_checks.count_served(exchanges, [_ISOLATION], 3)
        assert counts == isolation_checks.ServedCounts(10, isolated, 10, 9)
        assert (isolation_checks.find_violations(counts) == []) == is_enough
