"""Tests of the task that chooses servers."""

import asyncio
import contextlib

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import decisions
from berylweir.gateway.dispatch import task
from berylweir.observability import counters
from berylweir.supervision import models as supervision

_SLOTS = 3


class Running:
    """A dispatcher with one server of one group."""

    def __init__(self, bounds: models.Bounds) -> None:
        self.inbox = task.create_inbox()
        self._stack = contextlib.AsyncExitStack()
        self._dispatcher = task.Dispatcher(
            models.Environment(
                "vm", "127.0.0.1", "a", ("", 0), ("", 0), 1, ("", 0), bounds
            ),
            self.inbox,
            counters.Counters(),
        )

    async def __aenter__(self) -> "Running":
        """Starts it."""
        context = supervision.ChildContext(self._stack)
        running = asyncio.create_task(self._dispatcher.run(context))
        self._stack.callback(running.cancel)
        group = models.ServerGroup("g", 100, 8.0, is_keyed=False)
        configuration = models.Configuration(
            "1", 1, (), {"g": group}, models.CallerLimits()
        )
        server = models.BackendServer(
            "s", 1, "g", "127.0.0.1", 1, "a", _SLOTS, False, 0.0, 1
        )
        self.inbox.post(messages.ConfigurationInForce(configuration))
        self.inbox.post(messages.ServersInForce({"s": server}))
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends it."""
        await self._stack.aclose()

    def wanted(self, *, is_repeat: bool) -> messages.Wanted:
        """Returns a request that doesn't wait."""
        now_s = asyncio.get_running_loop().time()
        return messages.Wanted(
            request_id="a",
            group="g",
            key=None,
            priority=1,
            is_repeatable=True,
            goal_ms=400.0,
            is_download=False,
            is_repeat=is_repeat,
            tried=frozenset(),
            disowned=None,
            expires_s=now_s,
            owner_expires_s=now_s,
            deadline_s=now_s + 5.0,
        )

    async def place(self, *, is_repeat: bool = False):
        """Asks for a server."""
        reply = asyncio.get_running_loop().create_future()
        wanted = self.wanted(is_repeat=is_repeat)
        self.inbox.post(messages.Place(wanted, reply))
        return await reply

    def finish(self, placement: messages.Placement) -> None:
        """Ends a request."""
        self.inbox.post(
            messages.Finished(
                placement,
                self.wanted(is_repeat=False),
                messages.Evidence.SERVED,
                None,
                None,
                None,
                None,
                0.1,
            )
        )


class TestDispatcher:
    """Requests that get a server, or don't."""

    async def test_a_repeat_that_is_not_sent_costs_no_budget(self):
        """Guards against a budget that is spent on refusals."""
        bounds = models.Bounds(retry_ratio=0.0, retry_slack=1.5)
        async with Running(bounds) as running:
            places = [
                await running.place()
                for _ in range(_SLOTS + decisions.QUEUE_AT_SERVER)
            ]
            for _ in range(5):
                found = await running.place(is_repeat=True)
                assert found.reason is messages.RefusalReason.FULL
            for placement in places:
                running.finish(placement)
            assert isinstance(
                await running.place(is_repeat=True), messages.Placement
            )
            found = await running.place(is_repeat=True)
            assert found.reason is messages.RefusalReason.RETRY_BUDGET
