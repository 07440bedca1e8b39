"""Tests of the schedule of a limited server and the choice of its counter."""

import hypothesis
from hypothesis import strategies as st

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.permits import decisions
from tests.gateway import limit_rule


def make_vms(count: int) -> dict[str, models.Vm]:
    """Returns VMs by name."""
    return {
        f"vm-{n}": models.Vm(f"vm-{n}", f"run-{n}", "127.0.0.1", n, "a")
        for n in range(count)
    }


class TestPermitSchedule:
    """Start times of the requests to one server."""

    @hypothesis.given(
        st.floats(0.0, 50.0),
        st.lists(
            st.tuples(st.floats(0.0, 3.0), st.integers(1, 20)), max_size=30
        ),
        st.floats(0.0, 2.0),
    )
    def test_no_window_has_more_requests_than_the_limit_allows(
        self, limit, bursts, max_wait_s
    ):
        """Guards against a pause that allows a burst beyond the limit."""
        schedule = decisions.PermitSchedule()
        starts_s = []
        now_s = 0.0
        for pause_s, size in bursts:
            now_s += pause_s
            for _ in range(size):
                permit = schedule.reserve(now_s, limit, max_wait_s)
                if isinstance(permit, messages.PermitGranted):
                    assert now_s <= permit.start_s <= now_s + max_wait_s
                    starts_s.append(permit.start_s)
                else:
                    assert permit.available_s > now_s + max_wait_s
        assert limit_rule.most_in_window(
            starts_s
        ) <= limit_rule.allowed_in_window(limit)

    def test_denied_request_uses_no_permit(self):
        """Guards against requests that push others back and aren't sent."""
        schedule = decisions.PermitSchedule()
        first = schedule.reserve(0.0, 1.0, 0.0)
        denied = [schedule.reserve(0.0, 1.0, 0.5) for _ in range(50)]
        assert isinstance(first, messages.PermitGranted)
        assert {d.available_s for d in denied} == {1.0}
        assert isinstance(
            schedule.reserve(1.0, 1.0, 0.0), messages.PermitGranted
        )

    def test_all_of_the_limit_can_be_used(self):
        """Guards against a schedule that wastes what a server could take."""
        schedule = decisions.PermitSchedule()
        granted = 0
        for tick in range(1000):
            permit = schedule.reserve(tick / 50.0, 7.0, 0.1)
            granted += isinstance(permit, messages.PermitGranted)
        assert 138 <= granted <= 146

    def test_server_with_a_limit_of_0_still_gets_a_request_now_and_then(self):
        """Guards against a limit that can't be lifted by any response."""
        schedule = decisions.PermitSchedule()
        starts_s = [
            p.start_s
            for p in (schedule.reserve(float(n), 0.0, 0.0) for n in range(60))
            if isinstance(p, messages.PermitGranted)
        ]
        assert 3 <= len(starts_s) <= 8


class TestCounterSelector:
    """The VM that counts the requests to a server."""

    def test_all_vms_select_the_same_counter(self):
        """Guards against VMs that each use the whole limit of a server."""
        vms = make_vms(20)
        counters = set()
        for vm in vms.values():
            selector = decisions.CounterSelector(vm)
            selector.update_vms(vms)
            step = selector.steps("s", 5.0, 0.0)[0]
            match step:
                case decisions.AskVm(other, rate):
                    counters.add((other.name, rate))
                case decisions.CountHere(rate):
                    counters.add((vm.name, rate))
        assert len(counters) == 1
        assert next(iter(counters))[1] == 5.0

    def test_substitutes_get_half_of_the_limit(self):
        """Guards against two VMs that both grant the whole limit."""
        vms = make_vms(5)
        ranking = decisions.rank_vms("s", vms)
        selector = decisions.CounterSelector(vms[ranking[4]])
        selector.update_vms(vms)
        selector.record_failure(vms[ranking[0]], 0.0)
        assert selector.steps("s", 8.0, 1.0) == [
            decisions.AskVm(vms[ranking[1]], 4.0),
            decisions.AskVm(vms[ranking[2]], 4.0),
            decisions.UseOwnShare(0.8),
        ]

    def test_counter_that_is_gone_is_replaced_for_good(self):
        """Guards against half of a limit unused after a VM was removed."""
        vms = make_vms(5)
        ranking = decisions.rank_vms("s", vms)
        selector = decisions.CounterSelector(vms[ranking[4]])
        selector.update_vms(vms)
        for second in (0.0, 2.1, 6.2):
            selector.record_failure(vms[ranking[0]], second)
        assert selector.steps("s", 8.0, 11.0)[0] == decisions.AskVm(
            vms[ranking[1]], 8.0
        )

    def test_restarted_counter_is_asked_again_at_once(self):
        """Guards against two counters of a server after a restart."""
        vms = make_vms(3)
        ranking = decisions.rank_vms("s", vms)
        selector = decisions.CounterSelector(vms[ranking[2]])
        selector.update_vms(vms)
        selector.record_failure(vms[ranking[0]], 0.0)
        restarted = models.Vm(ranking[0], "next run", "127.0.0.1", 1, "a")
        selector.update_vms({**vms, ranking[0]: restarted})
        assert selector.steps("s", 8.0, 0.1)[0] == decisions.AskVm(
            restarted, 8.0
        )
