"""Supervisor whose children are added and removed at run time."""

import asyncio
import contextlib
import logging
import random

from berylweir.supervision import models

_LOGGER = logging.getLogger(__name__)


class DynamicSupervisor:
    """Runs children that are started and stopped by name.

    Each child is restarted on its own, with backoff. The number of restarts is
    not limited, so that a server group whose child keeps crashing doesn't end
    the other groups.
    """

    def __init__(self, name: str, seed: int | None = None) -> None:
        """Creates a supervisor without children.

        Args:
            name: Name in log lines.
            seed: Seed of the backoff jitter; None for a random one.
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
        """Starts a child, without waiting until it is ready.

        Args:
            spec: The child; no other child of its name may be running.
        """
        stop_event = asyncio.Event()
        task = asyncio.create_task(
            self._run_with_restarts(spec, stop_event),
            name=f"{self._name}/{spec.name}",
        )
        self._children[spec.name] = (task, stop_event, spec)

    async def stop_child(self, name: str) -> None:
        """Stops a child, and cancels it if it exceeds its stop timeout.

        Raises:
            KeyError: If there is no child of that name.
        """
        task, stop_event, spec = self._children.pop(name)
        stop_event.set()
        await asyncio.wait((task,), timeout=spec.stop_timeout_s)
        if not task.done():
            task.cancel()
            await asyncio.wait((task,))

    async def stop_all(self) -> None:
        """Stops all children one by one, the most recently started first."""
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
