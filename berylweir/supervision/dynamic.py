"""A supervisor whose children come and go at run time."""

import asyncio
import contextlib
import logging
import random

from berylweir.supervision import models

_LOGGER = logging.getLogger(__name__)


class DynamicSupervisor:
    """Runs children that are started and stopped by name.

    Each child restarts on its own after a crash, with back-off. Its restarts
    are not bounded: one server group that fails must not end the others.
    """

    def __init__(self, name: str, seed: int | None = None) -> None:
        """Creates a supervisor without children.

        Args:
            name: Name in log lines.
            seed: Seed of the back-off jitter.
        """
        self._name = name
        self._random = random.Random(seed)
        self._children: dict[
            str, tuple[asyncio.Task[None], asyncio.Event, models.ChildSpec]
        ] = {}

    @property
    def child_names(self) -> frozenset[str]:
        """Names of the children."""
        return frozenset(self._children)

    def start_child(self, spec: models.ChildSpec) -> None:
        """Starts a child; one of the same name must not be running."""
        stop_event = asyncio.Event()
        task = asyncio.create_task(
            self._run_with_restarts(spec, stop_event),
            name=f"{self._name}/{spec.name}",
        )
        self._children[spec.name] = (task, stop_event, spec)

    async def stop_child(self, name: str) -> None:
        """Asks a child to end, and cancels it after its stop timeout."""
        task, stop_event, spec = self._children.pop(name)
        stop_event.set()
        await asyncio.wait((task,), timeout=spec.stop_timeout_s)
        if not task.done():
            task.cancel()
            await asyncio.wait((task,))

    async def stop_all(self) -> None:
        """Stops all children, the newest first."""
        for name in reversed(tuple(self._children)):
            await self.stop_child(name)

    async def _run_with_restarts(
        self, spec: models.ChildSpec, stop_event: asyncio.Event
    ) -> None:
        restarts = 0
        while not stop_event.is_set():
            context = models.ChildContext(contextlib.AsyncExitStack())
            stop_forwarder = asyncio.create_task(
                _forward_event(stop_event, context.stop_event)
            )
            try:
                async with context.stack:
                    await spec.run(context)
            except Exception as error:
                _LOGGER.error(
                    "child crashed",
                    extra={"child": spec.name, "supervisor": self._name},
                    exc_info=error,
                )
            finally:
                stop_forwarder.cancel()
            if stop_event.is_set() or spec.restart is models.Restart.TEMPORARY:
                return
            max_delay_s = spec.backoff.max_delay_s(restarts)
            restarts += 1
            await asyncio.sleep(self._random.uniform(0.0, max_delay_s))


async def _forward_event(source: asyncio.Event, target: asyncio.Event) -> None:
    await source.wait()
    target.set()
