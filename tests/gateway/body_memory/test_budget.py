"""Tests of the account of body memory."""

import asyncio
import contextlib

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from berylweir.gateway.body_memory import budget
from berylweir.gateway.body_memory import decisions
from berylweir.gateway.body_memory import models
from berylweir.observability import counters

_TOTAL_BYTES = 1000
_SOURCES = (
    models.ServerResponses("s0"),
    models.ServerResponses("s1"),
    models.GatewayResponses("s0"),
    models.RouteRequests("s0"),
)
_USES = (models.Retryable(), models.Streamed(), models.Upload())


def create_memory(total_bytes: int = _TOTAL_BYTES) -> budget.BodyMemory:
    """Returns an account without reservations."""
    return budget.BodyMemory(total_bytes, counters.Counters())


class BodyMemoryMachine(stateful.RuleBasedStateMachine):
    """Reservations of several sources, in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.memory = create_memory()
        self.reservations = [
            budget.Reservation(self.memory, s) for s in _SOURCES for _ in "12"
        ]
        self.held = [0] * len(self.reservations)

    @stateful.rule(
        number=strategies.integers(0, 7),
        use=strategies.sampled_from(_USES),
        size=strategies.integers(0, 600),
    )
    def hold(self, number, use, size):
        """Holds memory, if there is some for the source."""
        if self.reservations[number].hold(size, use):
            self.held[number] += size
            assert self.memory.held_bytes <= _TOTAL_BYTES

    @stateful.rule(
        number=strategies.integers(0, 7), size=strategies.integers(0, 600)
    )
    def free(self, number, size):
        """Frees a part, or all if it holds less."""
        self.reservations[number].free(size)
        self.held[number] = max(0, self.held[number] - size)

    @stateful.rule(number=strategies.integers(0, 7))
    def release(self, number):
        """Releases a reservation, also if it was released before."""
        self.reservations[number].release()
        self.held[number] = 0

    @stateful.invariant()
    def totals_are_the_sums_of_the_reservations(self):
        """Guards against memory that is counted twice or never freed."""
        assert [r.held_bytes for r in self.reservations] == self.held
        assert self.memory.held_bytes == sum(self.held)
        for index, source in enumerate(_SOURCES):
            held = self.held[2 * index] + self.held[2 * index + 1]
            assert self.memory.held_by(source) == held


BodyMemoryMachine.TestCase.settings = hypothesis.settings(
    max_examples=100, derandomize=True, deadline=None
)
TestBodyMemoryMachine = BodyMemoryMachine.TestCase


class TestLimits:
    """Limits of one source."""

    @hypothesis.given(
        use=strategies.sampled_from(_USES),
        sizes=strategies.lists(strategies.integers(1, 400), max_size=40),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_one_source_leaves_memory_for_others(self, use, sizes):
        """Guards against a server or route that uses up all memory."""
        memory = create_memory()
        greedy = budget.Reservation(memory, _SOURCES[0])
        for size in sizes:
            greedy.hold(size, use)
        factor = decisions.source_limit(use, 1)
        assert greedy.held_bytes <= _TOTAL_BYTES * factor / (1 + factor)
        other = budget.Reservation(memory, _SOURCES[1])
        assert other.hold(int(_TOTAL_BYTES * factor / (1 + factor) ** 2), use)

    def test_body_of_64_mb_fits_into_a_vm_of_300_mib(self):
        """Guards against rejecting what the configuration allows."""
        memory = create_memory(decisions.body_bytes(300 * 2**20))
        upload = budget.Reservation(memory, _SOURCES[3])
        assert upload.hold(64_000_000, models.Upload())


class TestWaiting:
    """Streams that wait for room."""

    async def test_waiting_streams_continue_one_after_the_other(self):
        """Guards against streams that are never woken."""
        memory = create_memory()
        streams = [budget.Reservation(memory, _SOURCES[0]) for _ in range(5)]
        holder = budget.Reservation(memory, _SOURCES[0])
        holder.charge(900)
        done = []

        async def stream(number):
            for _ in range(3):
                await streams[number].wait_for_room()
                streams[number].charge(300)
                await asyncio.sleep(0)
                streams[number].free(300)
            done.append(number)

        tasks = [asyncio.create_task(stream(n)) for n in range(5)]
        await asyncio.sleep(0.01)
        assert not done
        holder.release()
        async with asyncio.timeout(5.0):
            await asyncio.gather(*tasks)
        assert sorted(done) == [0, 1, 2, 3, 4]
        assert memory.held_bytes == 0

    async def test_cancelled_stream_passes_its_turn_on(self):
        """Guards against a turn that is lost with a caller that leaves."""
        memory = create_memory()
        holder = budget.Reservation(memory, _SOURCES[0])
        holder.charge(900)
        first, second = (
            asyncio.create_task(memory.wait_for_room(_SOURCES[0]))
            for _ in range(2)
        )
        await asyncio.sleep(0)
        holder.release()
        first.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await first
        async with asyncio.timeout(5.0):
            await second

    async def test_other_sources_do_not_wait(self):
        """Guards against one slow server that stops the others."""
        memory = create_memory()
        budget.Reservation(memory, _SOURCES[0]).charge(700)
        async with asyncio.timeout(5.0):
            await memory.wait_for_room(_SOURCES[1])
