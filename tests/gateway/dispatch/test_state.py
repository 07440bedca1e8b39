"""Tests of what is learned of a backend server."""

import random

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import decisions
from berylweir.gateway.dispatch import models as dispatch
from berylweir.gateway.ownership import demand


def server(name: str = "s", zone: str = "a") -> models.BackendServer:
    """Returns a server of three slots."""
    return models.BackendServer(
        name, 1, "g", "127.0.0.1", 1, zone, 3, False, 0.0, 1
    )


def finish(
    state: dispatch.ServerState,
    evidence: messages.AttemptResult,
    now_s: float,
    *,
    elapsed_s: float = 0.1,
    load: models.Load | None = None,
    placed_at: float = 0.0,
    vms: int = 1,
) -> None:
    """Ends a request at a server."""
    wanted = messages.ServerRequirements(
        "a", "g", None, 1, True, 400.0, False, False, frozenset(), None, 1, 1, 1
    )
    placement = messages.Placement(state.server, None, now_s, placed_at)
    state.begin()
    state.end(
        messages.AttemptFinished(
            placement, wanted, evidence, None, load, None, None, elapsed_s
        ),
        now_s,
        vms,
    )


class TestServiceTime:
    """Typical duration of a request."""

    def test_a_server_that_is_always_full_is_learned_too(self):
        """Guards against a first lucky guess that stays for good."""
        state = dispatch.ServerState(server())
        finish(state, messages.AttemptResult.SERVED, 0.0, elapsed_s=0.012)
        for number in range(100):
            finish(
                state,
                messages.AttemptResult.SERVED,
                float(number),
                elapsed_s=0.6,
                placed_at=8.0,
            )
        assert 150 < state.service_ms < 250

    def test_a_few_requests_say_little_of_a_server(self):
        """Guards against a server that gets all keys for one fast answer."""
        meter = demand.ServerMeter()
        for name in "abcd":
            meter.add({name: messages.ServerUsage(200, 0, 150.0)})
        meter.add({"new": messages.ServerUsage(1, 0, 12.0)})
        assert meter.service_ms("new") > 90


class TestLoad:
    """Requests that other VMs have at a server."""

    def test_a_report_fades_into_the_average(self):
        """Guards against a full server that looks empty after a moment."""
        state = dispatch.ServerState(server())
        for number in range(40):
            finish(
                state,
                messages.AttemptResult.SERVED,
                number * 0.1,
                load=models.Load(3, 5, 3, 1.0),
            )
        assert state.load(4.9) > 4.0
        assert state.load(60.0) == 0.0

    def test_a_reset_of_a_busy_server_means_that_it_is_full(self):
        """Guards against sending on to a server that resets when full."""
        state = dispatch.ServerState(server())
        finish(
            state,
            messages.AttemptResult.RESET,
            1.0,
            placed_at=6.0,
            elapsed_s=0.01,
        )
        assert decisions.is_full(state, 1.05)

    def test_failures_in_a_row_make_others_preferred(self):
        """Guards against a server that fails with a good health check."""
        states = [dispatch.ServerState(server(name)) for name in "abc"]
        for _ in range(3):
            finish(states[0], messages.AttemptResult.FAILED, 1.0)
        chance = random.Random(1)
        chosen = [
            decisions.choose(
                states, "a", 1.1, chance, goal_ms=400.0, is_download=False
            )
            for _ in range(50)
        ]
        assert all(c is not states[0] for c in chosen)


class TestChoose:
    """Which of some servers takes a request."""

    def zones_chosen(
        self, load: int, *, goal_ms: float, is_download: bool
    ) -> set[str]:
        """Returns the zones of the servers that requests of zone a go to.

        Args:
            load: Requests at each server of zone a; those of zone b are idle.
            goal_ms: Goal of the requests.
            is_download: Whether their responses are large.
        """
        states = [
            dispatch.ServerState(server(f"{zone}{i}", zone))
            for zone in "ab"
            for i in range(3)
        ]
        for state in states:
            near = state.server.availability_zone == "a"
            report = models.Load(load if near else 0, 0, 3, 1.0)
            finish(state, messages.AttemptResult.SERVED, 1.0, load=report)
        chance = random.Random(1)
        chosen = [
            decisions.choose(
                states,
                "a",
                1.0,
                chance,
                goal_ms=goal_ms,
                is_download=is_download,
            )
            for _ in range(50)
        ]
        return {c.server.availability_zone for c in chosen if c is not None}

    def test_the_own_zone_serves_what_it_can_in_time(self):
        """Guards against bytes between zones that serve nobody sooner."""
        for is_download in (False, True):
            found = self.zones_chosen(3, goal_ms=400, is_download=is_download)
            assert found == {"a"}

    def test_another_zone_serves_what_would_be_late(self):
        """Guards against a busy zone beside an idle one."""
        for is_download in (False, True):
            found = self.zones_chosen(6, goal_ms=250, is_download=is_download)
            assert found == {"b"}


class TestRejections:
    """Servers that reject requests because they are full."""

    def test_each_rejection_lengthens_the_pause(self):
        """Guards against a VM that sends on to a full server."""
        state = dispatch.ServerState(server())
        pauses = []
        now_s = 10.0
        for _ in range(8):
            finish(state, messages.AttemptResult.SHED, now_s)
            assert decisions.is_full(state, now_s + 0.01)
            pauses.append(state.room_from_s - now_s)
            now_s = state.room_from_s + 0.001
        assert max(pauses) <= 2.0
        assert pauses[-1] > 4 * pauses[0]

    def test_requests_that_were_sent_together_count_once(self):
        """Guards against a long pause after one full moment."""
        state = dispatch.ServerState(server())
        for _ in range(8):
            finish(state, messages.AttemptResult.SHED, 10.0)
        assert state.room_from_s < 10.2

    def test_answers_end_the_pauses(self):
        """Guards against a server that is spared for good."""
        state = dispatch.ServerState(server())
        for number in range(5):
            finish(state, messages.AttemptResult.SHED, 10.0 * number)
        for _ in range(5):
            finish(state, messages.AttemptResult.SERVED, 60.0)
        finish(state, messages.AttemptResult.SHED, 70.0)
        assert state.room_from_s < 70.2

    def test_many_vms_leave_each_other_time(self):
        """Guards against a full server that rejects requests of each VM."""
        state = dispatch.ServerState(server())
        finish(state, messages.AttemptResult.SERVED, 0.0, elapsed_s=0.6)
        finish(state, messages.AttemptResult.SHED, 10.0, vms=90)
        # 90 VMs, 600 ms a request, three slots: a turn of all takes 18 s.
        assert 18.0 * 0.25 * 0.5 <= state.room_from_s - 10.0 <= 18.0 * 0.25
        for _ in range(5):
            finish(
                state, messages.AttemptResult.SHED, state.room_from_s, vms=90
            )
        before_s = state.room_from_s
        finish(state, messages.AttemptResult.SHED, before_s, vms=90)
        assert state.room_from_s - before_s <= 18.0

    def test_requests_to_a_rejecting_server_go_one_at_a_time(self):
        """Guards against all waiting requests at the end of a pause."""
        state = dispatch.ServerState(server())
        finish(state, messages.AttemptResult.SHED, 10.0)
        now_s = state.room_from_s + 30.0
        assert not decisions.is_full(state, now_s)
        state.begin()
        assert decisions.is_full(state, now_s)

    def test_a_late_reset_is_no_rejection(self):
        """Guards against sparing a server whose answer was lost."""
        state = dispatch.ServerState(server())
        finish(state, messages.AttemptResult.SERVED, 0.0, elapsed_s=0.2)
        finish(state, messages.AttemptResult.RESET, 1.0, elapsed_s=0.2)
        assert not decisions.is_full(state, 1.01)
        finish(state, messages.AttemptResult.RESET, 1.0, elapsed_s=0.01)
        assert decisions.is_full(state, 1.01)

    def test_room_is_told_from_the_load(self):
        """Guards against a Retry-After that finds the server full again."""
        state = dispatch.ServerState(server())
        for _ in range(50):
            load = models.Load(3, 30, 3, 1.0)
            finish(state, messages.AttemptResult.SERVED, 10.0, load=load)
        assert decisions.is_full(state, 10.0)
        assert decisions.room_s(state, 10.0) > 0.3


class TestSample:
    """Servers that are compared for one request."""

    def test_a_small_group_is_compared_whole(self):
        """Guards against requests at a busy server beside a free one."""
        members = [dispatch.ServerState(server(f"s{i}")) for i in range(30)]
        assert decisions.sample(members, random.Random(1)) is members

    def test_all_servers_of_a_large_group_get_requests(self):
        """Guards against a comparison of hundreds for each request."""
        members = [dispatch.ServerState(server(f"s{i}")) for i in range(230)]
        chance = random.Random(1)
        seen = set()
        for _ in range(200):
            compared = decisions.sample(members, chance)
            assert len(compared) == 32
            seen.update(s.server.name for s in compared)
        assert len(seen) == 230
