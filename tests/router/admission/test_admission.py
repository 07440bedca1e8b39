"""Tests of limits, refusals, crashes and outlier detection at a home."""

import heapq
import itertools
import random

import pytest

from berylweir.refusals import models as refusals
from berylweir.router.admission import decisions
from berylweir.router.admission import models
from berylweir.router.admission import outliers
from tests.router.admission import test_idempotency

_NEVER = float("inf")
_COMPLETED = models.Ending.COMPLETED


class SimulatedHome:
    """The admission state of a home, with simulated time."""

    def __init__(self, servers: int, slots: int = 3, *, keyed: bool) -> None:
        self.now = 100.0
        self.numbers = itertools.count(1)
        self.keyed = keyed
        self.running: dict[int, tuple[models.Ticket, str]] = {}
        self.refused: dict[int, refusals.Refusal] = {}
        self.state = decisions.new_state(models.Limits("g", slots))
        self.names = [f"s{n}" for n in range(servers)]
        self.authorise("x")

    def authorise(self, instance: str, *names: str) -> None:
        """Sets the servers of this home, all by default."""
        tokens = {0: 1} if self.keyed else {}
        self.apply(
            decisions.set_authorities(
                self.state,
                tuple(
                    models.Authority(n, instance, _NEVER, tokens, 0.0)
                    for n in names or self.names
                ),
                self.now,
            )
        )

    def apply(self, new_decisions: decisions.Decisions) -> None:
        """Records decisions."""
        for decision in new_decisions:
            match decision:
                case models.Run(ticket=ticket, server=server):
                    self.running[ticket.id] = (ticket, server)
                case models.Refuse(ticket=ticket, refusal=refusal):
                    self.refused[ticket.id] = refusal

    def submit(
        self,
        server: str | None = None,
        *,
        fingerprint: int | None = None,
        timeout_s: float = 5.0,
        caller: str = "a",
    ) -> int:
        """Submits an idempotent request and returns its number."""
        number = next(self.numbers)
        ticket = models.Ticket(
            number,
            server,
            0 if server and self.keyed else None,
            caller,
            4,
            self.now + timeout_s,
            True,
            "",
            number + 1000 if fingerprint is None else fingerprint,
            self.now,
        )
        self.apply(decisions.submit(self.state, ticket, self.now, self.now))
        return number

    def finish(self, number: int, ending: models.Ending = _COMPLETED) -> None:
        """Finishes a running request."""
        ticket, server = self.running.pop(number)
        self.apply(
            decisions.finish(self.state, server, ticket, ending, self.now)
        )

    def serve(self, server: str, seconds: float, times: int) -> None:
        """Completes requests while the server is as busy as its limit allows.

        Args:
            server: Name of the server.
            seconds: Time between two completions, in seconds.
            times: Number of completions.
        """
        for _ in range(times):
            state = self.state.servers[server]
            while len(state.running) < state.limit:
                self.submit(server)
            self.now += seconds
            self.finish(next(iter(state.running)))

    def limit_of(self, server: str = "s0") -> int:
        """Returns the concurrency limit."""
        return self.state.servers[server].limit


@pytest.fixture
def warm() -> SimulatedHome:
    """A keyed server at its full limit."""
    home = SimulatedHome(1, keyed=True)
    home.serve("s0", 0.01, 30)
    assert home.limit_of() == 3
    for number in tuple(home.running):
        home.finish(number)
    return home


class TestConcurrencyLimit:
    """How the concurrency limit rises and falls."""

    def test_limit_rises_only_with_responses_that_use_it(self):
        """Guards against overloading a server after a cold start (P3)."""
        home = SimulatedHome(1, slots=6, keyed=True)
        for responses in range(1, 60):
            home.serve("s0", 0.01, 1)
            limit = home.limit_of()
            assert limit * (limit - 1) <= responses
        assert home.limit_of() == 6

    def test_unused_limit_does_not_rise(self, warm: SimulatedHome):
        """Guards against a limit that rises although it was not reached.

        Requests that run one at a time only show that a limit of 1 is safe.
        """
        warm.authorise("new instance")
        for _ in range(20):
            number = warm.submit("s0")
            warm.now += 0.01
            warm.finish(number)
        assert warm.limit_of() == 2

    @pytest.mark.parametrize("event", ["instance", "connect", "cut", "slow"])
    def test_restart_starts_at_one(self, warm: SimulatedHome, event: str):
        """Guards against a restarted server that gets its full load at once."""
        if event == "instance":
            warm.authorise("new instance")
        elif event == "slow":
            warm.serve("s0", 0.5, 3)
        else:
            numbers = [warm.submit("s0") for _ in range(3)]
            for number in numbers[: 3 if event == "cut" else 1]:
                warm.finish(
                    number,
                    models.Ending.CUT
                    if event == "cut"
                    else models.Ending.CONNECT_FAILED,
                )
        assert warm.limit_of() == 1

    def test_limit_halves_once_for_one_round_trip(self):
        """Guards against one burst of shed requests that lowers it to 1."""
        home = SimulatedHome(1, slots=6, keyed=True)
        home.serve("s0", 0.01, 60)
        for number in tuple(home.running)[:4]:
            home.now += 0.001
            home.finish(number, models.Ending.SHED)
        assert home.limit_of() == 3

    def test_return_to_this_home_counts_what_is_in_flight(
        self, warm: SimulatedHome
    ):
        """Guards against exceeding the slots when a server leaves and returns.

        Requests that were in flight when it left still use its slots.
        """
        numbers = [warm.submit("s0") for _ in range(3)]
        warm.now += 0.01
        warm.authorise("x", "other")
        warm.authorise("x")
        late = warm.submit("s0")
        for number in numbers:
            assert late not in warm.running
            warm.finish(number)
        assert late in warm.running


def goodput(times_capacity: float, *, keyed: bool, timeout_s: float) -> float:
    """Returns the rate of requests that complete in time, in simulated time.

    Args:
        times_capacity: Rate of arrivals as a multiple of the capacity.
        keyed: Whether each request needs one particular server.
        timeout_s: Mean time until the deadline, in seconds.
    """
    home = SimulatedHome(3, keyed=keyed)
    source = random.Random(7)
    per_second = times_capacity * 3 * 3 / 0.01
    events: list[tuple[float, int]] = [(home.now, 0)]
    started: set[int] = set()
    good, next_tick_s = 0, home.now
    end_s = home.now + 8.0
    while (event := heapq.heappop(events))[0] < end_s:
        home.now, number = event
        if number:
            ticket, _ = home.running[number]
            if ticket.deadline_s > home.now:
                good += home.now > end_s - 6.0
                home.finish(number)
            else:
                home.finish(number, models.Ending.TIMED_OUT)
        else:
            home.submit(
                source.choice(home.names) if keyed else None,
                timeout_s=timeout_s * source.uniform(0.5, 1.5),
                caller=source.choice("abcdef"),
            )
            wait_s = source.expovariate(per_second)
            heapq.heappush(events, (home.now + wait_s, 0))
        if home.now >= next_tick_s:
            home.apply(decisions.tick(home.state, home.now))
            next_tick_s = home.now + 0.1
        for number in home.running.keys() - started:
            started.add(number)
            deadline_s = home.running[number][0].deadline_s
            ends_s = home.now + source.expovariate(100.0)
            heapq.heappush(events, (min(ends_s, deadline_s), number))
    return good / 6.0


class TestOverload:
    """Refusals under overload."""

    @pytest.mark.parametrize("keyed", [True, False])
    @pytest.mark.parametrize("timeout_s", [0.1, 0.5])
    def test_goodput_holds_at_three_times_capacity(
        self, keyed: bool, timeout_s: float
    ):
        """Guards against serving requests that miss their deadline anyway."""
        at_capacity = goodput(1.0, keyed=keyed, timeout_s=timeout_s)
        at_three = goodput(3.0, keyed=keyed, timeout_s=timeout_s)
        assert at_three >= 0.95 * at_capacity

    def test_unmeetable_deadline_is_refused_at_once(self, warm: SimulatedHome):
        """Guards against queueing a request that can't meet its deadline."""
        for _ in range(9):
            warm.submit("s0")
        late = warm.submit("s0", timeout_s=0.015)
        assert isinstance(warm.refused[late], refusals.DeadlineUnmeetable)

    def test_full_queue_states_a_retry_delay(self, warm: SimulatedHome):
        """Guards against a retry delay shorter than the queue needs."""
        numbers = [warm.submit("s0") for _ in range(3 + 256 + 1)]
        refusal = warm.refused[numbers[-1]]
        assert isinstance(refusal, refusals.Overloaded)
        # The time to serve half of the 256 waiting requests, one per 10 ms.
        assert 0.8 < refusal.retry_after_s < 1.6

    def test_queue_of_a_slow_keyed_server_is_short(self, warm: SimulatedHome):
        """Guards against a long queue of keyed requests at a frozen server."""
        numbers = [warm.submit("s0", timeout_s=60.0) for _ in range(3)]
        warm.now += 1.0
        warm.apply(decisions.tick(warm.state, warm.now))
        numbers += [warm.submit("s0", timeout_s=60.0) for _ in range(5)]
        assert [n for n in numbers if n in warm.refused] == numbers[-2:]
        urgent = warm.submit("s0", timeout_s=0.5)
        assert isinstance(warm.refused[urgent], refusals.DeadlineUnmeetable)


class TestCrashes:
    """Requests that crash backend servers."""

    def test_repeated_request_crashes_at_most_two_servers(self):
        """Guards against a request that crashes one server after another.

        Harmless requests run on the same servers all the time.
        """
        home = SimulatedHome(6, keyed=False)
        crashed = 0
        for _ in range(20):
            others = [home.submit() for _ in range(5)]
            poison = home.submit(fingerprint=7)
            while poison not in home.running and poison not in home.refused:
                home.finish(next(n for n in others if n in home.running))
            if poison in home.running:
                crashed += 1
                server = home.running[poison][1]
                for number, (_, name) in tuple(home.running.items()):
                    if name == server:
                        home.finish(number, models.Ending.CUT)
            home.now += 0.05
            for number in tuple(home.running):
                home.finish(number)
        assert crashed == 2
        assert isinstance(home.refused[poison], refusals.Quarantined)
        home.now += 601.0
        assert home.submit(fingerprint=7) in home.running

    def test_suspect_runs_alone_until_it_completes(self, warm: SimulatedHome):
        """Guards against running other requests beside a suspect.

        Also guards against a suspect that stays isolated after it completed.
        """
        first = [warm.submit("s0", fingerprint=f) for f in (1, 2)]
        for number in first:
            warm.finish(number, models.Ending.CUT)
        warm.state.servers["s0"].concurrency_limit.value = 3
        beside = warm.submit("s0", fingerprint=3)
        suspect = warm.submit("s0", fingerprint=1)
        after = warm.submit("s0", fingerprint=4)
        assert list(warm.running) == [beside]
        warm.finish(beside)
        assert list(warm.running) == [suspect]
        warm.finish(suspect)
        assert list(warm.running) == [after]
        warm.submit("s0", fingerprint=1)
        assert len(warm.running) == 2

    def test_suspects_are_reported_to_other_homes(self, warm: SimulatedHome):
        """Guards against a request that crashes servers of VM after VM."""
        for _ in range(2):
            number = warm.submit("s0", fingerprint=1)
            warm.finish(number, models.Ending.CUT)
        report = decisions.suspects_to_report(warm.state, warm.now)
        assert report is not None and report.quarantined == ((1, 600.0),)
        assert decisions.suspects_to_report(warm.state, warm.now) is None
        other = SimulatedHome(1, keyed=True)
        other.submit("s0")
        waiting = other.submit("s0", fingerprint=1)
        other.apply(
            decisions.merge_suspects(
                other.state, (), report.quarantined, other.now
            )
        )
        assert isinstance(other.refused[waiting], refusals.Quarantined)
        # Received reports are not passed on, or they would circulate forever.
        assert decisions.suspects_to_report(other.state, other.now) is None


class TestOutlierDetection:
    """Ejection of servers that are slow or don't accept connections."""

    @pytest.mark.parametrize("servers", [2, 3, 7])
    def test_at_most_a_third_is_ejected_and_returns_cold(self, servers: int):
        """Guards against ejections that leave too few servers."""
        home = SimulatedHome(servers, keyed=False)
        for n, name in enumerate(home.names):
            home.serve(name, 0.01 if n < servers - 3 or n == 0 else 0.2, 12)
        home.apply(decisions.tick(home.state, home.now))
        ejected = {
            n
            for n, s in home.state.servers.items()
            if s.outlier.ejected_until_s > home.now
        }
        assert len(ejected) == servers // 3
        for number in tuple(home.running):
            home.finish(number)
        for _ in range(servers * 3):
            home.submit()
        assert not ejected & {s for _, s in home.running.values()}
        home.now += 1.1
        home.apply(decisions.tick(home.state, home.now))
        for name in ejected:
            assert home.limit_of(name) == 1
            assert len(home.state.servers[name].running) <= 1

    def test_ejections_after_a_recovery_start_short_again(self):
        """Guards against long ejections for slowness that is long over."""
        server = outliers.OutlierState()
        lengths = []
        now = 0.0
        for sound_s in (0.0, 1.0, 1.0, 1.0, 30.0, 1.0):
            now += sound_s
            outliers.eject(server, now)
            lengths.append(server.ejected_until_s - now)
            now = server.ejected_until_s
        assert lengths == [1.0, 2.0, 4.0, 8.0, 1.0, 2.0]

    def test_server_that_refuses_connections_gets_no_work(self):
        """Guards against a dead server chosen because it has no load."""
        home = SimulatedHome(2, keyed=False)
        failed = home.submit()
        dead = home.running[failed][1]
        home.finish(failed, models.Ending.CONNECT_FAILED)
        for _ in range(5):
            home.submit()
        assert dead not in {s for _, s in home.running.values()}


class TestMovedSlice:
    """Non-idempotent requests of a slice that moved to a server of this home.

    The home of the former owner may have run them, and this VM was home of the
    new owner before the move.
    """

    def test_only_ids_from_after_the_move_are_run(self):
        """Guards against running again what the former owner has run."""
        home_since_s, moved_s = 1000.0, 1100.0
        state = decisions.new_state(models.Limits("g", 3))
        authority = models.Authority(
            "s0",
            "x",
            _NEVER,
            {0: 1, 1: 7},
            home_since_s,
            owned_since_s={0: home_since_s, 1: moved_s},
        )
        decisions.set_authorities(state, (authority,), 0.0)

        def submit(number: int, index: int, created_s: float) -> object:
            request_id = test_idempotency.uuid7(created_s, number)
            ticket = models.Ticket(
                number, "s0", index, "a", 4, 9.0, False, request_id, number, 0.0
            )
            (decision,) = decisions.submit(state, ticket, 0.0, moved_s + 2.0)
            match decision:
                case models.Run():
                    decisions.finish(state, "s0", ticket, _COMPLETED, 0.0)
                    return "run"
                case models.Refuse(refusal=refusal):
                    return refusal.__class__

        assert [
            submit(1, 1, moved_s - 2.0),
            submit(2, 1, moved_s + 1.0),
            submit(3, 1, moved_s + 1.1),
            submit(4, 0, moved_s - 2.0),
        ] == [refusals.RepeatUnknown, refusals.RepeatUnknown, "run", "run"]
