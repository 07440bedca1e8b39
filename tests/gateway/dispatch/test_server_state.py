"""Tests of load estimates, outlier ejection and the choice of a server."""

import random

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import decisions
from berylweir.gateway.dispatch import models as dispatch
from berylweir.gateway.ownership import demand


def make_server(name: str = "s", zone: str = "a") -> models.BackendServer:
    """Returns a server with three slots."""
    return models.BackendServer(
        name, 1, "g", "127.0.0.1", 1, zone, 3, False, 0.0, 1
    )


def complete_request(
    state: dispatch.ServerState,
    attempt_result: messages.AttemptResult,
    now_s: float,
    *,
    elapsed_s: float = 0.1,
    load: models.Load | None = None,
    load_at_placement: float = 0.0,
    vm_count: int = 1,
) -> None:
    """Sends a request to a server and finishes it with a result."""
    requirements = messages.ServerRequirements(
        "a", "g", None, 1, True, 400.0, False, False, frozenset(), None, 1, 1, 1
    )
    placement = messages.Placement(state.server, None, now_s, load_at_placement)
    state.start_request()
    state.finish_request(
        messages.AttemptFinished(
            placement,
            requirements,
            attempt_result,
            None,
            models.ServerStatements(load),
            None,
            elapsed_s,
        ),
        now_s,
        vm_count,
    )


class TestServiceTime:
    """Measured service time of a server."""

    def test_service_time_is_measured_on_an_always_full_server(self):
        """Guards against keeping the estimate of one fast first request.

        All later requests of a busy server are queued; if these were ignored,
        the estimate would never change.
        """
        state = dispatch.ServerState(make_server())
        complete_request(
            state, messages.AttemptResult.SERVED, 0.0, elapsed_s=0.012
        )
        for number in range(100):
            complete_request(
                state,
                messages.AttemptResult.SERVED,
                float(number),
                elapsed_s=0.6,
                load_at_placement=8.0,
            )
        assert 150 < state.service_ms < 250

    def test_service_time_from_few_requests_stays_near_the_group_average(self):
        """Guards against giving all keys to a server for one fast response."""
        statistics = demand.ServerStatistics()
        for name in "abcd":
            statistics.record({name: messages.ServerUsage(200, 0, 150.0)})
        statistics.record({"new": messages.ServerUsage(1, 0, 12.0)})
        assert statistics.service_ms("new") > 90


class TestEstimatedLoad:
    """Load of a server, including requests of other VMs."""

    def test_load_report_decays_to_the_moving_average(self):
        """Guards against a full server that looks empty without new reports."""
        state = dispatch.ServerState(make_server())
        for number in range(40):
            complete_request(
                state,
                messages.AttemptResult.SERVED,
                number * 0.1,
                load=models.Load(3, 5, 3, 1.0),
            )
        assert state.estimated_load(4.9) > 4.0
        assert state.estimated_load(60.0) == 0.0

    def test_reset_by_a_busy_server_marks_it_full(self):
        """Guards against sending on to a server that resets when full."""
        state = dispatch.ServerState(make_server())
        complete_request(
            state,
            messages.AttemptResult.RESET,
            1.0,
            load_at_placement=6.0,
            elapsed_s=0.01,
        )
        assert decisions.is_full(state, 1.05)

    def test_consecutive_failures_eject_a_server(self):
        """Guards against a server that fails requests but looks healthy."""
        states = [dispatch.ServerState(make_server(name)) for name in "abc"]
        for _ in range(3):
            complete_request(states[0], messages.AttemptResult.FAILED, 1.0)
        rng = random.Random(1)
        chosen = [
            decisions.choose_server(
                states, "a", 1.1, rng, goal_ms=400.0, is_download=False
            )
            for _ in range(50)
        ]
        assert all(c is not states[0] for c in chosen)


class TestChooseServer:
    """Choice between servers of two zones."""

    def choose_zones(
        self, load: int, *, goal_ms: float, is_download: bool
    ) -> set[str]:
        """Returns the zones of the servers chosen by a VM in zone a.

        Args:
            load: Requests at each server of zone a; those of zone b are idle.
            goal_ms: Latency goal of the requests, in ms.
            is_download: Whether the responses are large.
        """
        states = [
            dispatch.ServerState(make_server(f"{zone}{i}", zone))
            for zone in "ab"
            for i in range(3)
        ]
        for state in states:
            is_local = state.server.availability_zone == "a"
            report = models.Load(load if is_local else 0, 0, 3, 1.0)
            complete_request(
                state, messages.AttemptResult.SERVED, 1.0, load=report
            )
        rng = random.Random(1)
        chosen = [
            decisions.choose_server(
                states,
                "a",
                1.0,
                rng,
                goal_ms=goal_ms,
                is_download=is_download,
            )
            for _ in range(50)
        ]
        return {c.server.availability_zone for c in chosen if c is not None}

    def test_local_zone_is_used_if_it_meets_the_goal(self):
        """Guards against cross-zone traffic that improves no response time."""
        for is_download in (False, True):
            zones = self.choose_zones(3, goal_ms=400, is_download=is_download)
            assert zones == {"a"}

    def test_other_zone_is_used_if_the_local_zone_misses_the_goal(self):
        """Guards against late responses of a busy zone beside an idle one."""
        for is_download in (False, True):
            zones = self.choose_zones(6, goal_ms=250, is_download=is_download)
            assert zones == {"b"}


class TestLoadShedding:
    """Backoff from servers that reject requests because they are full."""

    def test_backoff_grows_with_each_rejection(self):
        """Guards against a VM that keeps sending to a full server."""
        state = dispatch.ServerState(make_server())
        backoffs_s = []
        now_s = 10.0
        for _ in range(8):
            complete_request(state, messages.AttemptResult.SHED, now_s)
            assert decisions.is_full(state, now_s + 0.01)
            backoffs_s.append(state.full_until_s - now_s)
            now_s = state.full_until_s + 0.001
        assert max(backoffs_s) <= 2.0
        assert backoffs_s[-1] > 4 * backoffs_s[0]

    def test_concurrent_rejections_count_once(self):
        """Guards against a long backoff after a single overload."""
        state = dispatch.ServerState(make_server())
        for _ in range(8):
            complete_request(state, messages.AttemptResult.SHED, 10.0)
        assert state.full_until_s < 10.2

    def test_served_requests_shorten_the_backoff(self):
        """Guards against a backoff that stays long after an overload."""
        state = dispatch.ServerState(make_server())
        for number in range(5):
            complete_request(state, messages.AttemptResult.SHED, 10.0 * number)
        for _ in range(5):
            complete_request(state, messages.AttemptResult.SERVED, 60.0)
        complete_request(state, messages.AttemptResult.SHED, 70.0)
        assert state.full_until_s < 70.2

    def test_backoff_scales_with_the_number_of_vms(self):
        """Guards against VMs that together keep a server full.

        With a fixed backoff, the server gets more requests than it can run
        when many VMs send to it.
        """
        state = dispatch.ServerState(make_server())
        complete_request(
            state, messages.AttemptResult.SERVED, 0.0, elapsed_s=0.6
        )
        complete_request(state, messages.AttemptResult.SHED, 10.0, vm_count=90)
        # 90 VMs, 600 ms per request, 3 slots: one round of all VMs takes 18 s.
        assert 18.0 * 0.25 * 0.5 <= state.full_until_s - 10.0 <= 18.0 * 0.25
        for _ in range(5):
            complete_request(
                state,
                messages.AttemptResult.SHED,
                state.full_until_s,
                vm_count=90,
            )
        previous_s = state.full_until_s
        complete_request(
            state, messages.AttemptResult.SHED, previous_s, vm_count=90
        )
        assert state.full_until_s - previous_s <= 18.0

    def test_shedding_server_gets_one_request_at_a_time(self):
        """Guards against sending all waiting requests when the backoff ends."""
        state = dispatch.ServerState(make_server())
        complete_request(state, messages.AttemptResult.SHED, 10.0)
        now_s = state.full_until_s + 30.0
        assert not decisions.is_full(state, now_s)
        state.start_request()
        assert decisions.is_full(state, now_s)

    def test_late_reset_does_not_count_as_a_rejection(self):
        """Guards against a backoff from a server that ran the request.

        Only an early reset means that the server is full.
        """
        state = dispatch.ServerState(make_server())
        complete_request(
            state, messages.AttemptResult.SERVED, 0.0, elapsed_s=0.2
        )
        complete_request(
            state, messages.AttemptResult.RESET, 1.0, elapsed_s=0.2
        )
        assert not decisions.is_full(state, 1.01)
        complete_request(
            state, messages.AttemptResult.RESET, 1.0, elapsed_s=0.01
        )
        assert decisions.is_full(state, 1.01)

    def test_time_until_capacity_follows_the_reported_load(self):
        """Guards against a Retry-After that ends with the server still full."""
        state = dispatch.ServerState(make_server())
        for _ in range(50):
            load = models.Load(3, 30, 3, 1.0)
            complete_request(
                state, messages.AttemptResult.SERVED, 10.0, load=load
            )
        assert decisions.is_full(state, 10.0)
        assert decisions.time_until_capacity_s(state, 10.0) > 0.3


class TestSampleServers:
    """Sample of servers that are compared for one request."""

    def test_small_group_is_not_sampled(self):
        """Guards against missing the only free server of a small group."""
        servers = [
            dispatch.ServerState(make_server(f"s{i}")) for i in range(30)
        ]
        assert decisions.sample_servers(servers, random.Random(1)) is servers

    def test_every_server_of_a_large_group_is_sampled_eventually(self):
        """Guards against comparing hundreds of servers for each request."""
        servers = [
            dispatch.ServerState(make_server(f"s{i}")) for i in range(230)
        ]
        rng = random.Random(1)
        chosen_names = set()
        for _ in range(200):
            compared = decisions.sample_servers(servers, rng)
            assert len(compared) == 32
            chosen_names.update(s.server.name for s in compared)
        assert len(chosen_names) == 230
