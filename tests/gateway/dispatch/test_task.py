"""Tests of the dispatcher task."""

import asyncio
import contextlib
import dataclasses

import pytest

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import decisions
from berylweir.gateway.dispatch import task
from berylweir.gateway.ownership import tables
from berylweir.observability import counters
from berylweir.supervision import models as supervision

_SLOTS = 3


class DispatcherHarness:
    """Runs a dispatcher with one group that has one server."""

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

    async def __aenter__(self) -> "DispatcherHarness":
        """Starts the dispatcher and posts its configuration."""
        context = supervision.ChildContext(self._stack)
        dispatcher_task = asyncio.create_task(self._dispatcher.run(context))
        self._stack.callback(dispatcher_task.cancel)
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
        """Stops the dispatcher."""
        await self._stack.aclose()

    def requirements(
        self,
        *,
        is_retry: bool = False,
        key: int | None = None,
        wait_s: float = 0.0,
        left_s: float = 60.0,
        may_forward: bool = True,
    ) -> messages.ServerRequirements:
        """Returns the requirements of a request.

        Args:
            is_retry: Whether the request was sent before.
            key: Key, if it is for a keyed group.
            wait_s: Time that it may wait for a server, in seconds.
            left_s: Time until its deadline, in seconds.
            may_forward: Whether no other gateway forwarded it.
        """
        now_s = asyncio.get_running_loop().time()
        return messages.ServerRequirements(
            request_id="a",
            group="g",
            key=key,
            priority=1,
            is_idempotent=True,
            goal_ms=400.0,
            is_download=False,
            is_retry=is_retry,
            tried_instances=frozenset(),
            rejecting_instance=None,
            queue_deadline_s=now_s + wait_s,
            owner_wait_deadline_s=now_s + wait_s,
            deadline_s=now_s + left_s,
            may_forward=may_forward,
        )

    async def place(self, **options):
        """Requests a server and returns the answer."""
        reply = asyncio.get_running_loop().create_future()
        requirements = self.requirements(**options)
        self.inbox.post(messages.PlaceRequest(requirements, reply))
        return await reply

    def finish(
        self,
        placement: messages.Placement,
        attempt_result: messages.AttemptResult = messages.AttemptResult.SERVED,
        statements: models.ServerStatements | None = None,
    ) -> None:
        """Reports the end of an attempt."""
        self.inbox.post(
            messages.AttemptFinished(
                placement,
                self.requirements(),
                attempt_result,
                None,
                statements or models.ServerStatements(),
                None,
                0.1,
            )
        )


class TestDispatcher:
    """Refused requests."""

    async def test_request_for_a_key_of_an_unreachable_owner_is_refused_at_once(
        self,
    ):
        """Guards against callers that wait for a crashed owner of their key."""
        async with DispatcherHarness(models.Bounds(), is_keyed=True) as harness:
            placement = await harness.place(key=7)
            harness.finish(placement, messages.AttemptResult.UNREACHABLE)
            refusal = await harness.place(key=7, wait_s=30.0)
            assert refusal.reason is messages.RefusalReason.UNREACHABLE
            assert refusal.retry_after_s >= 0.5

    async def test_refused_retry_does_not_use_the_retry_budget(self):
        """Guards against using up the budget with retries that aren't sent."""
        bounds = models.Bounds(retry_ratio=0.0, retry_slack=1.5)
        async with DispatcherHarness(bounds) as harness:
            placements = [
                await harness.place()
                for _ in range(_SLOTS + decisions.MAX_QUEUED_PER_SERVER)
            ]
            for _ in range(5):
                refusal = await harness.place(is_retry=True)
                assert refusal.reason is messages.RefusalReason.FULL
            for placement in placements:
                harness.finish(placement)
            assert isinstance(
                await harness.place(is_retry=True), messages.Placement
            )
            refusal = await harness.place(is_retry=True)
            assert refusal.reason is messages.RefusalReason.RETRY_BUDGET


class TestForwarding:
    """Requests for servers that this VM can't reach."""

    @pytest.mark.parametrize("key", [None, 7])
    async def test_request_goes_to_another_gateway(self, key):
        """Guards against refusing what another gateway can pass on."""
        vm = models.Vm("other", "run", "", 1, "a", forward_port=2)
        async with DispatcherHarness(
            models.Bounds(), is_keyed=key is not None
        ) as harness:
            harness.inbox.post(messages.VmsChanged({"other": vm}))
            placement = await harness.place(key=key)
            assert isinstance(placement, messages.Placement)
            harness.finish(placement, messages.AttemptResult.UNREACHABLE)
            assert (await harness.place(key=key)).vm == vm

    async def test_forwarded_request_is_refused_at_once(self):
        """Guards against requests that go to and fro between gateways."""
        vm = models.Vm("other", "run", "", 1, "a", forward_port=2)
        async with DispatcherHarness(models.Bounds()) as harness:
            harness.inbox.post(messages.VmsChanged({"other": vm}))
            placement = await harness.place()
            harness.finish(placement, messages.AttemptResult.UNREACHABLE)
            refusal = await harness.place(may_forward=False, wait_s=30.0)
            assert refusal.reason is messages.RefusalReason.UNREACHABLE
            assert refusal.is_isolated

    async def test_request_without_time_left_is_not_forwarded(self):
        """Guards against work for callers that have gone."""
        vm = models.Vm("other", "run", "", 1, "a", forward_port=2)
        async with DispatcherHarness(models.Bounds(), is_keyed=True) as harness:
            harness.inbox.post(messages.VmsChanged({"other": vm}))
            placement = await harness.place(key=7)
            harness.finish(placement, messages.AttemptResult.UNREACHABLE)
            refusal = await harness.place(key=7, left_s=0.0)
            assert refusal.reason is messages.RefusalReason.UNREACHABLE


class TestStatements:
    """Requests for servers that say that they are leaving or paused."""

    async def test_leaving_server_does_not_return_with_its_entry(self):
        """Guards against requests to a server whose entry is written again."""
        async with DispatcherHarness(models.Bounds(drain_s=0.0)) as harness:
            placement = await harness.place()
            harness.finish(
                placement, statements=models.ServerStatements(is_leaving=True)
            )
            harness.inbox.post(messages.ServersChanged({}))
            harness.inbox.post(messages.ServersChanged({"s": placement.server}))
            refusal = await harness.place(wait_s=0.0)
            assert refusal.reason is messages.RefusalReason.NO_SERVER
            restarted = dataclasses.replace(placement.server, born_ms=2)
            harness.inbox.post(messages.ServersChanged({"s": restarted}))
            assert isinstance(await harness.place(), messages.Placement)

    async def test_refusal_names_the_end_of_the_pause(self):
        """Guards against callers who wait or come back during a pause."""
        async with DispatcherHarness(models.Bounds()) as harness:
            statements = models.ServerStatements(pause=models.Pause(5.0))
            placement = await harness.place()
            harness.finish(placement, messages.AttemptResult.SHED, statements)
            refusal = await harness.place(wait_s=1.0)
            assert refusal.reason is messages.RefusalReason.PAUSED
            assert 4.0 < refusal.retry_after_s <= 5.0

    async def test_shorter_pause_replaces_a_longer_one(self):
        """Guards against a server that isn't used although it is ready."""
        async with DispatcherHarness(models.Bounds()) as harness:
            placements = [await harness.place() for _ in range(2)]
            for placement, pause_s in zip(placements, (30.0, 0.0), strict=True):
                statements = models.ServerStatements(
                    pause=models.Pause(pause_s)
                )
                harness.finish(
                    placement, messages.AttemptResult.SHED, statements
                )
            # It backs off for a moment after the rejections.
            assert isinstance(
                await harness.place(wait_s=10.0), messages.Placement
            )
