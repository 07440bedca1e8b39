"""Starts children in order, restarts them, and stops them in reverse order."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import logging
import random
import time

from berylweir.supervision import exceptions
from berylweir.supervision import models

_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, slots=True)
class ChildCrashed:
    """A child ended with an exception.

    Attributes:
        child: Name of the child.
        error: Exception that it raised.
    """

    child: str
    error: BaseException


@dataclasses.dataclass(frozen=True, slots=True)
class ChildEnded:
    """A child returned or was cancelled, without an exception.

    Attributes:
        child: Name of the child.
    """

    child: str


ChildEvent = ChildCrashed | ChildEnded


@dataclasses.dataclass(slots=True)
class _RunningChild:
    spec: models.ChildSpec
    context: models.ChildContext
    task: asyncio.Task[None]


async def _run_child(
    spec: models.ChildSpec, context: models.ChildContext
) -> None:
    async with context.stack:
        await spec.run(context)


class Supervisor:
    """Runs a fixed list of children, each in its own task.

    Its `run` method can itself be the function of a child, which makes a tree.
    """

    def __init__(
        self,
        name: str,
        children: Sequence[models.ChildSpec],
        *,
        strategy: models.Strategy = models.Strategy.ONE_FOR_ONE,
        intensity: models.Intensity = models.Intensity(),  # noqa: B008
        on_event: Callable[[ChildEvent], None] | None = None,
        seed: int | None = None,
    ) -> None:
        """Creates a supervisor that is not yet running.

        Args:
            name: Name in log lines and errors.
            children: Children, in the order of their start.
            strategy: Which children are restarted with a crashed one.
            intensity: Restarts tolerated before the supervisor gives up.
            on_event: Called when a child ends, before it is restarted.
            seed: Seed of the backoff jitter; None for a random one.
        """
        self._name = name
        self._specs = tuple(children)
        self._strategy = strategy
        self._intensity = intensity
        self._on_event = on_event
        self._random = random.Random(seed)
        self._children: dict[str, _RunningChild] = {}
        self._restarts: collections.deque[float] = collections.deque()
        self._stop_event = asyncio.Event()

    async def run(self, context: models.ChildContext) -> None:
        """Runs the children until `context.stop_event` is set.

        Args:
            context: Reports readiness once all children are ready.

        Raises:
            IntensityExceeded: If children need restarts too often.
            ChildStartTimeout: If a child isn't ready within its start
                timeout.
        """
        self._stop_event = context.stop_event
        try:
            for spec in self._specs:
                await self._start(spec)
                if self._stop_event.is_set():
                    return
            context.report_ready()
            await self._supervise(context.stop_event)
        except asyncio.CancelledError:
            # Cancels all children at once, instead of letting each finish its
            # work within its stop timeout.
            for child in self._children.values():
                child.task.cancel()
            raise
        finally:
            await self._stop_all(tuple(self._children))

    async def _start(self, spec: models.ChildSpec) -> None:
        """Starts a child and waits until it is ready or has ended.

        A stop of the supervisor ends the wait.
        """
        child_context = models.ChildContext(contextlib.AsyncExitStack())
        task = asyncio.create_task(
            _run_child(spec, child_context), name=f"{self._name}/{spec.name}"
        )
        self._children[spec.name] = _RunningChild(spec, child_context, task)
        ready_waiter = asyncio.create_task(child_context.ready_event.wait())
        stop_waiter = asyncio.create_task(self._stop_event.wait())
        try:
            await asyncio.wait(
                (task, ready_waiter, stop_waiter),
                timeout=spec.start_timeout_s,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            ready_waiter.cancel()
            stop_waiter.cancel()
        if not (
            child_context.ready_event.is_set()
            or task.done()
            or self._stop_event.is_set()
        ):
            raise exceptions.ChildStartTimeout(spec.name, spec.start_timeout_s)

    async def _supervise(self, stop_event: asyncio.Event) -> None:
        stop_waiter = asyncio.create_task(stop_event.wait())
        try:
            while not stop_event.is_set():
                tasks = [child.task for child in self._children.values()]
                await asyncio.wait(
                    (stop_waiter, *tasks), return_when=asyncio.FIRST_COMPLETED
                )
                if stop_event.is_set():
                    return
                for child in tuple(self._children.values()):
                    if child.task.done() and not stop_event.is_set():
                        await self._handle_exit(child)
        finally:
            stop_waiter.cancel()

    async def _handle_exit(self, child: _RunningChild) -> None:
        """Reports the end of a child, and restarts it if its policy says so."""
        # The child may have been stopped or replaced by a sibling's restart.
        if self._children.get(child.spec.name) is not child:
            return
        error = None if child.task.cancelled() else child.task.exception()
        event: ChildEvent
        if error is None:
            event = ChildEnded(child.spec.name)
        else:
            event = ChildCrashed(child.spec.name, error)
            _LOGGER.error(
                "child crashed",
                extra={"child": child.spec.name, "supervisor": self._name},
                exc_info=error,
            )
        if self._on_event is not None:
            self._on_event(event)
        match child.spec.restart:
            case models.Restart.PERMANENT:
                await self._restart(child.spec)
            case models.Restart.TRANSIENT if error is not None:
                await self._restart(child.spec)
            case _:
                del self._children[child.spec.name]

    async def _restart(self, spec: models.ChildSpec) -> None:
        """Restarts a child and its affected siblings after a random delay."""
        now = time.monotonic()
        while (
            self._restarts
            and self._restarts[0] < now - self._intensity.window_s
        ):
            self._restarts.popleft()
        if len(self._restarts) >= self._intensity.max_restarts:
            raise exceptions.IntensityExceeded(
                self._name, spec.name, len(self._restarts)
            )
        max_delay_s = spec.backoff.max_delay_s(len(self._restarts))
        self._restarts.append(now)
        affected = self._children_to_restart(spec)
        await self._stop_all(
            tuple(s.name for s in affected if s.name in self._children)
        )
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._random.uniform(0.0, max_delay_s)):
                await self._stop_event.wait()
        for child_spec in affected:
            if self._stop_event.is_set():
                return
            await self._start(child_spec)

    def _children_to_restart(
        self, spec: models.ChildSpec
    ) -> tuple[models.ChildSpec, ...]:
        match self._strategy:
            case models.Strategy.ONE_FOR_ONE:
                return (spec,)
            case models.Strategy.REST_FOR_ONE:
                return self._specs[self._specs.index(spec) :]
            case models.Strategy.ONE_FOR_ALL:
                return self._specs

    async def _stop_all(self, names: Sequence[str]) -> None:
        """Stops children one by one, in reverse order of `names`."""
        for name in reversed(names):
            child = self._children.pop(name)
            child.context.stop_event.set()
            if not child.task.done():
                await asyncio.wait(
                    (child.task,), timeout=child.spec.stop_timeout_s
                )
            if not child.task.done():
                child.task.cancel()
                await asyncio.wait((child.task,))


async def run_root(supervisor: Supervisor, stop_event: asyncio.Event) -> None:
    """Runs `supervisor` as the root of a tree until `stop_event` is set.

    A cancellation ends the tree without a shutdown.

    Args:
        supervisor: Root of the tree.
        stop_event: Ends the tree when it is set.

    Raises:
        SupervisionError: If the root gives up.
    """
    async with contextlib.AsyncExitStack() as stack:
        context = models.ChildContext(stack)
        task = asyncio.create_task(supervisor.run(context))
        stop_waiter = asyncio.create_task(stop_event.wait())
        try:
            await asyncio.wait(
                (task, stop_waiter), return_when=asyncio.FIRST_COMPLETED
            )
            context.stop_event.set()
            await task
        finally:
            stop_waiter.cancel()
            if not task.done():
                # This task was cancelled before it began to wait for that one.
                task.cancel()
                await asyncio.wait((task,))
