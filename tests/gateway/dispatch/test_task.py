"""Tests of the task that chooses servers."""

import asyncio
import contextlib
import dataclasses

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import decisions
from berylweir.gateway.dispatch import task
from berylweir.gateway.ownership import tables
from berylweir.observability import counters
from berylweir.supervision import models as supervision

_SLOTS = 3


class Running:
    """A dispatcher with one server of one group."""

    def __init__(
        self, bounds: models.Bounds, *, is_keyed: bool = False
    ) -> None:
        self.inbox = task.create_inbox()
        self._is_keyed = is_keyed
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
        group = models.ServerGroup("g", 100, 8.0, self._is_keyed)
        configuration = models.Configuration(
            "1", 1, (), {"g": group}, models.CallerLimits()
        )
        server = models.BackendServer(
            "s", 1, "g", "127.0.0.1", 1, "a", _SLOTS, False, 0.0, 1
        )
        self.inbox.post(messages.ConfigurationChanged(configuration))
        self.inbox.post(messages.ServersChanged({"s": server}))
        table = tables.create("g", [server.instance], 1)
        self.inbox.post(
            messages.KeyTableChanged(dataclasses.replace(table, revision=1))
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends it."""
        await self._stack.aclose()

    def wanted(
        self,
        *,
        is_repeat: bool = False,
        key: int | None = None,
        wait_s: float = 0.0,
    ) -> messages.ServerRequirements:
        """Returns a request that waits for a server for some time."""
        now_s = asyncio.get_running_loop().time()
        return messages.ServerRequirements(
            request_id="a",
            group="g",
            key=key,
            priority=1,
            is_idempotent=True,
            goal_ms=400.0,
            is_download=False,
            is_retry=is_repeat,
            tried_instances=frozenset(),
            rejecting_instance=None,
            queue_deadline_s=now_s + wait_s,
            owner_wait_deadline_s=now_s + wait_s,
            deadline_s=now_s + 60.0,
        )

    async def place(self, **options):
        """Asks for a server."""
        reply = asyncio.get_running_loop().create_future()
        wanted = self.wanted(**options)
        self.inbox.post(messages.PlaceRequest(wanted, reply))
        return await reply

    def finish(
        self,
        placement: messages.Placement,
        evidence: messages.AttemptResult = messages.AttemptResult.SERVED,
    ) -> None:
        """Ends a request."""
        self.inbox.post(
            messages.AttemptFinished(
                placement,
                self.wanted(),
                evidence,
                None,
                None,
                None,
                None,
                0.1,
            )
        )


class TestDispatcher:
    """Requests that get a server, or don't."""

    async def test_a_key_of_a_lost_server_is_refused_at_once(self):
        """Guards against callers that wait for a server that crashed."""
        async with Running(models.Bounds(), is_keyed=True) as running:
            placement = await running.place(key=7)
            running.finish(placement, messages.AttemptResult.UNREACHABLE)
            found = await running.place(key=7, wait_s=30.0)
            assert found.reason is messages.RefusalReason.UNREACHABLE
            assert found.retry_after_s >= 0.5

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
