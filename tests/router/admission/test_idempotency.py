"""Tests of the table of non-idempotent requests."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest
import result

from berylweir.refusals import models as refusals
from berylweir.router.admission import idempotency

_WALL_S = 1_800_000_000.0


def uuid7(created_at_s: float, number: int) -> str:
    """Returns a version 7 UUID created at a wall-clock time."""
    value = int(created_at_s * 1000) << 80 | 7 << 76 | 2 << 62 | number
    digits = f"{value:032x}"
    return "-".join(
        (digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:])
    )


class TestRegister:
    """Whether a request may run."""

    def test_other_spelling_of_an_id_is_a_repeat(self):
        """Guards against running a request once for each spelling of its id."""
        table = idempotency.IdempotencyTable(600.0, 1.0)
        request_id = uuid7(_WALL_S, 0xABC)
        assert table.register(request_id, 0.0, _WALL_S).is_ok()
        for spelling in (request_id.upper(), request_id.replace("-", "")):
            assert table.register(spelling, 0.0, _WALL_S) == result.Err(
                refusals.RepeatRunning(spelling)
            )

    @pytest.mark.parametrize(
        "request_id",
        ["", "x", "0" * 32, "1_" * 16, uuid7(_WALL_S, 1) + "0"],
    )
    def test_bad_id_is_refused(self, request_id: str):
        """Guards against running requests whose repeats aren't recognised."""
        answer = idempotency.IdempotencyTable(600.0, 1.0).register(
            request_id, 0.0, _WALL_S
        )
        assert isinstance(answer.unwrap_err(), refusals.BadRequestId)

    @pytest.mark.parametrize("started_at_s", [0.0, _WALL_S])
    def test_id_from_before_the_table_is_unknown(self, started_at_s: float):
        """Guards against running a request that a predecessor has run.

        The predecessor is the former home, or the former router process on
        this VM. The keeper's `since_s` doesn't change when only the router
        process restarts, so the table needs its own start time.
        """
        table = idempotency.IdempotencyTable(
            600.0, 1.0, started_at_s=started_at_s
        )
        since_s = 0.0 if started_at_s else _WALL_S
        for created_at_s in (_WALL_S - 1, _WALL_S + 1):
            request_id = uuid7(created_at_s, 1)
            assert table.register(
                request_id, since_s, _WALL_S + 2
            ) == result.Err(refusals.RepeatUnknown(request_id))
        assert table.register(
            uuid7(_WALL_S + 1.1, 1), since_s, _WALL_S + 2
        ).is_ok()

    def test_old_request_in_flight_does_not_keep_the_others(self):
        """Guards against one long request that keeps all later ids alive."""
        table = idempotency.IdempotencyTable(600.0, 1.0)
        table.register(uuid7(_WALL_S, 1), 0.0, _WALL_S)
        for number in range(2, 100):
            request_id = uuid7(_WALL_S, number)
            table.register(request_id, 0.0, _WALL_S)
            table.finish(request_id, has_response=True)
        table.register(uuid7(_WALL_S + 700, 1), 0.0, _WALL_S + 700)
        assert len(table) == 2

    def test_size_limit_raises_the_floor(self):
        """Guards against running an id that was removed at the size limit."""
        table = idempotency.IdempotencyTable(600.0, 1.0, max_entries=10)
        ids = [uuid7(_WALL_S + n, n) for n in range(20)]
        for offset_s, request_id in enumerate(ids):
            assert table.register(request_id, 0.0, _WALL_S + offset_s).is_ok()
            table.finish(request_id, has_response=True)
        assert len(table) == 10
        answers = [table.register(i, 0.0, _WALL_S + 20) for i in ids]
        assert answers == [
            result.Err(
                refusals.RepeatUnknown(i) if n < 10 else refusals.RepeatDone(i)
            )
            for n, i in enumerate(ids)
        ]


class IdempotencyMachine(stateful.RuleBasedStateMachine):
    """Any order of admissions and endings, with a clock that may go back."""

    def __init__(self) -> None:
        super().__init__()
        self.table = idempotency.IdempotencyTable(20.0, 1.0, max_entries=4)
        self.wall_s = _WALL_S
        self.running: set[str] = set()
        self.sent: set[str] = set()

    @stateful.rule(seconds=st.integers(-10, 15))
    def step_clock(self, seconds: int):
        """Moves the wall clock."""
        self.wall_s += seconds

    @stateful.rule(age_s=st.integers(-2, 30), number=st.integers(0, 3))
    def begin(self, age_s: int, number: int):
        """Registers an id, which must fail if the id was sent before."""
        request_id = uuid7(self.wall_s - age_s, number)
        if self.table.register(request_id, 0.0, self.wall_s).is_ok():
            assert request_id not in self.running | self.sent
            self.running.add(request_id)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), sent=st.booleans(), known=st.booleans())
    def finish(self, data: st.DataObject, sent: bool, known: bool):
        """Finishes a request that was or was not sent."""
        request_id = data.draw(st.sampled_from(sorted(self.running)))
        self.running.remove(request_id)
        if sent:
            self.sent.add(request_id)
            self.table.finish(request_id, has_response=known)
        else:
            self.table.remove_unsent(request_id)

    @stateful.invariant()
    def memory_is_bounded(self):
        """Checks that at most four ended ids are kept."""
        assert len(self.table) <= 4 + len(self.running)


class TestIdempotencyMachine(IdempotencyMachine.TestCase):
    """Guards against sending an id twice when the clock changes."""

    settings = hypothesis.settings(max_examples=200, stateful_step_count=40)
