"""Tests of the supervisor."""

import asyncio
import contextlib

import pytest

from berylweir.supervision import exceptions
from berylweir.supervision import models
from berylweir.supervision import supervisor


def _context() -> models.ChildContext:
    return models.ChildContext(contextlib.AsyncExitStack())


class Recorder:
    """Creates children that record when they start and close."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def child(self, name: str, crashes: int = 0) -> models.ChildSpec:
        """Returns a child that crashes `crashes` times, then runs."""
        remaining_crashes = crashes

        async def run(context: models.ChildContext) -> None:
            nonlocal remaining_crashes
            self.events.append(f"start {name}")
            context.stack.callback(self.events.append, f"close {name}")
            context.report_ready()
            if remaining_crashes:
                remaining_crashes -= 1
                raise ValueError(name)
            await context.stop_event.wait()

        return models.ChildSpec(
            name, run, backoff=models.Backoff(initial_s=0.0, max_s=0.0)
        )


class TestSupervisor:
    """Order of start and stop, restarts and escalation."""

    async def test_stops_in_reverse_order(self):
        """Guards against stopping a child before those that depend on it."""
        recorder = Recorder()
        context = _context()
        parent = supervisor.Supervisor(
            "tree", [recorder.child("a"), recorder.child("b")]
        )
        task = asyncio.create_task(parent.run(context))
        await context.ready_event.wait()
        context.stop_event.set()
        await task
        assert recorder.events == ["start a", "start b", "close b", "close a"]

    async def test_crash_restarts_the_child_and_emits_an_event(self):
        """Guards against a crash that is neither handled nor reported."""
        recorder = Recorder()
        events: list[supervisor.ChildEvent] = []
        context = _context()
        parent = supervisor.Supervisor(
            "tree", [recorder.child("a", crashes=1)], on_event=events.append
        )
        task = asyncio.create_task(parent.run(context))
        while recorder.events.count("start a") < 2:
            await asyncio.sleep(0)
        context.stop_event.set()
        await task
        assert [type(e) for e in events] == [supervisor.ChildCrashed]

    async def test_rest_for_one_restarts_later_children(self):
        """Guards against a child that depends on a sibling's previous run."""
        recorder = Recorder()
        context = _context()
        parent = supervisor.Supervisor(
            "tree",
            [recorder.child("a", crashes=1), recorder.child("b")],
            strategy=models.Strategy.REST_FOR_ONE,
        )
        task = asyncio.create_task(parent.run(context))
        while recorder.events.count("start b") < 2:
            await asyncio.sleep(0)
        context.stop_event.set()
        await task
        assert recorder.events.count("start a") == 2

    async def test_too_many_crashes_escalate(self):
        """Guards against a child that is restarted forever."""
        recorder = Recorder()
        parent = supervisor.Supervisor(
            "tree",
            [recorder.child("a", crashes=100)],
            intensity=models.Intensity(3, 60.0),
        )
        with pytest.raises(exceptions.IntensityExceeded):
            await parent.run(_context())
        assert recorder.events.count("start a") == 4

    async def test_child_that_is_not_ready_fails_the_start(self):
        """Guards against a startup that waits for one child forever."""

        async def run(context: models.ChildContext) -> None:
            await context.stop_event.wait()

        spec = models.ChildSpec("slow", run, start_timeout_s=0.01)
        with pytest.raises(exceptions.ChildStartTimeout):
            await supervisor.Supervisor("tree", [spec]).run(_context())


class TestStopBeforeReady:
    """A stop while children start, or wait for their restart."""

    async def test_stop_does_not_wait_for_the_start(self):
        """Guards against a stop that ends as a start that took too long."""
        recorder = Recorder()
        context = _context()

        async def start_slowly(child: models.ChildContext) -> None:
            recorder.events.append("start slowly")
            await child.stop_event.wait()

        parent = supervisor.Supervisor(
            "tree",
            [
                recorder.child("a"),
                models.ChildSpec("slow", start_slowly, start_timeout_s=60.0),
                recorder.child("b"),
            ],
        )
        task = asyncio.create_task(parent.run(context))
        async with asyncio.timeout(10.0):
            while "start slowly" not in recorder.events:
                await asyncio.sleep(0)
            context.stop_event.set()
            await task
        assert recorder.events == ["start a", "start slowly", "close a"]
        assert not context.ready_event.is_set()

    async def test_stop_does_not_wait_for_the_backoff(self):
        """Guards against a stop that starts a crashed child once more."""
        starts = 0

        async def crash(child: models.ChildContext) -> None:
            nonlocal starts
            starts += 1
            child.report_ready()
            raise ValueError

        crashed = asyncio.Event()
        parent = supervisor.Supervisor(
            "tree",
            [
                models.ChildSpec(
                    "a", crash, backoff=models.Backoff(3600.0, max_s=3600.0)
                )
            ],
            on_event=lambda _: crashed.set(),
            seed=1,
        )
        context = _context()
        task = asyncio.create_task(parent.run(context))
        async with asyncio.timeout(10.0):
            await crashed.wait()
            context.stop_event.set()
            await task
        assert starts == 1


class TestRoot:
    """The root of a tree."""

    async def test_cancellation_does_not_wait_for_the_shutdown(self):
        """Guards against a second Ctrl-C without effect if it follows at once.

        The root hasn't seen the stop yet when it is cancelled.
        """
        recorder = Recorder()

        async def drain(child: models.ChildContext) -> None:
            child.report_ready()
            recorder.events.append("start drain")
            await child.stop_event.wait()
            await asyncio.sleep(3600.0)

        stop_event = asyncio.Event()
        parent = supervisor.Supervisor(
            "tree", [models.ChildSpec("drain", drain, stop_timeout_s=60.0)]
        )
        task = asyncio.create_task(supervisor.run_root(parent, stop_event))
        async with asyncio.timeout(10.0):
            while "start drain" not in recorder.events:
                await asyncio.sleep(0)
            stop_event.set()
            task.cancel()
            await asyncio.wait((task,))
        assert task.cancelled()
