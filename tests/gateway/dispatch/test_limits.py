"""Tests of limits that VMs share without exchanging messages."""

import random

import hypothesis
from hypothesis import strategies as st

from berylweir.gateway.dispatch import retry_budget
from berylweir.gateway.dispatch import slow_start


class TestRetryBudget:
    """Retries of a server group, summed over all VMs."""

    @hypothesis.given(
        vms=st.integers(1, 80),
        requests=st.integers(0, 400),
        attempts=st.integers(0, 400),
    )
    def test_retries_of_all_vms_stay_within_the_budget(
        self, vms, requests, attempts
    ):
        """Guards against VMs whose retries add up to more than is allowed."""
        window_s, ratio, slack = 10.0, 0.2, 60.0
        acquired = 0
        for _ in range(vms):
            budget = retry_budget.RetryBudget(ratio, slack, window_s)
            for number in range(requests):
                budget.record_request(number * window_s / (requests + 1))
            acquired += sum(
                budget.try_acquire(window_s, vms) for _ in range(attempts)
            )
        assert acquired <= ratio * requests * vms + slack

    def test_requests_outside_the_window_do_not_count(self):
        """Guards against a budget that accumulates over time."""
        budget = retry_budget.RetryBudget(0.2, 0.0, 10.0)
        for _ in range(100):
            budget.record_request(0.0)
        assert not budget.try_acquire(10.5, 1)


class TestSlowStartShare:
    """Requests of all VMs to a cold server."""

    @hypothesis.given(
        vms=st.integers(1, 80),
        rate=st.floats(2.0, 40.0),
        slack=st.integers(1, 10),
        seed=st.integers(0, 100),
    )
    def test_total_rate_stays_within_what_the_server_tolerates(
        self, vms, rate, slack, seed
    ):
        """Guards against overloading a cold server from all VMs at once."""
        rng = random.Random(seed)
        names = [f"vm{i}" for i in range(vms)]
        send_times_s = []
        for name in names:
            share = slow_start.compute_share(name, names, "s", rate, slack)
            pacer = slow_start.Pacer()
            now_s = rng.random()
            while share.rate > 0 and now_s < 4.0:
                now_s += pacer.delay_s(now_s)
                send_times_s.append(now_s)
                pacer.record_request(now_s, share.rate)
        for start_s in send_times_s:
            requests_in_second = [
                s for s in send_times_s if start_s <= s < start_s + 1.0
            ]
            assert len(requests_in_second) <= rate * 1.5 + slack

    def test_all_vms_select_the_same_senders(self):
        """Guards against a cold server that gets requests from no VM."""
        names = [f"vm{i}" for i in range(10)]
        rates = [
            slow_start.compute_share(n, names, "s", 8.0, 5.0).rate
            for n in names
        ]
        assert sum(r > 0 for r in rates) == 5
