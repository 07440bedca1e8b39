"""Tests of the dispatcher task."""

import asyncio
import contextlib
import dataclasses
import socket
from unittest import mock

import pytest

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.body_memory import budget
from berylweir.gateway.dispatch import connection_pool
from berylweir.gateway.dispatch import decisions
from berylweir.gateway.dispatch import probes
from berylweir.gateway.dispatch import task
from berylweir.gateway.exchange import attempt
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.exchange import outcomes
from berylweir.gateway.ownership import tables
from berylweir.observability import counters
from berylweir.router.backends import connection as http
from berylweir.supervision import models as supervision

_SLOTS = 3


class DispatcherHarness:
    """Runs a dispatcher with one group that has one server."""

    def __init__(
        self, bounds: models.Bounds, *, is_keyed: bool = False
    ) -> None:
        self.inbox = task.create_inbox()
        self.metrics = counters.Counters()
        self.prober_inbox = probes.create_inbox()
        self.server = models.BackendServer(
            "s", 1, "g", "127.0.0.1", 1, "a", _SLOTS, False, 0.0, 1
        )
        self._is_keyed = is_keyed
        self._stack = contextlib.AsyncExitStack()
        self._dispatcher = task.Dispatcher(
            models.Environment(
                "vm", "127.0.0.1", "a", ("", 0), ("", 0), 1, ("", 0), bounds
            ),
            self.inbox,
            self.prober_inbox,
            self.metrics,
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
        self.inbox.post(messages.ConfigurationChanged(configuration))
        self.inbox.post(messages.ServersChanged({"s": self.server}))
        table = tables.create("g", [self.server.instance], 1)
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
        connection: http.Connection | None = None,
        *,
        is_retry: bool = False,
    ) -> None:
        """Reports the end of an attempt."""
        self.inbox.post(
            messages.AttemptFinished(
                placement,
                self.requirements(is_retry=is_retry),
                attempt_result,
                connection,
                statements or models.ServerStatements(),
                None,
                0.1,
            )
        )

    async def usage(self) -> messages.KeyUsage:
        """Returns the usage, after all earlier messages were handled."""
        reply = asyncio.get_running_loop().create_future()
        self.inbox.post(messages.CollectKeyUsage(reply))
        return await reply

    async def lose_server(self) -> None:
        """Reports that no connection could be opened, and waits."""
        placement = await self.place()
        self.finish(placement, messages.AttemptResult.UNREACHABLE)
        await self.usage()


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

    @pytest.mark.parametrize(
        "attempt_result",
        [messages.AttemptResult.UNREACHABLE, messages.AttemptResult.STALE],
    )
    async def test_unsent_retry_uses_the_retry_budget(self, attempt_result):
        """Guards against refusals of retries after lost connections."""
        bounds = models.Bounds(retry_ratio=0.0, retry_slack=1.5)
        async with DispatcherHarness(bounds) as harness:
            placement = await harness.place(is_retry=True)
            harness.finish(placement, attempt_result, is_retry=True)
            restarted = dataclasses.replace(harness.server, born_ms=2)
            harness.inbox.post(messages.ServersChanged({"s": restarted}))
            placement = await harness.place(is_retry=True)
            assert isinstance(placement, messages.Placement)
            harness.finish(placement, is_retry=True)
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

    async def test_leaving_server_that_another_gateway_used_is_avoided(self):
        """Guards against sending to it once servers can be reached again."""
        vm = models.Vm("other", "run", "", 1, "a", forward_port=2)
        async with DispatcherHarness(models.Bounds(drain_s=0.0)) as harness:
            forward = messages.Forward(vm, None, messages.GroupUnreachable("g"))
            harness.inbox.post(
                messages.ForwardFinished(
                    forward,
                    messages.ForwardResult.ANSWERED,
                    None,
                    leaving_server=harness.server.instance,
                )
            )
            refusal = await harness.place()
            assert refusal.reason is messages.RefusalReason.NO_SERVER

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

    async def test_paused_server_is_hidden_by_a_full_one(self):
        """Guards against refusals though a pause ends before the deadline."""
        other = models.BackendServer(
            "t", 1, "g", "127.0.0.1", 2, "a", _SLOTS, False, 0.0, 1
        )
        async with DispatcherHarness(models.Bounds()) as harness:
            placement = await harness.place()
            full = models.ServerStatements(models.Load(3, 10_000, 3, 1.0))
            harness.finish(placement, statements=full)
            harness.inbox.post(
                messages.ServersChanged({"s": harness.server, "t": other})
            )
            placement = await harness.place()
            assert placement.server == other
            paused = models.ServerStatements(pause=models.Pause(1.0))
            harness.finish(placement, messages.AttemptResult.SHED, paused)
            refusal = await harness.place(wait_s=0.2)
            assert refusal.retry_after_s <= 1.0
            async with asyncio.timeout(20.0):
                placement = await harness.place(wait_s=5.0)
            assert placement.server == other

    @pytest.mark.parametrize("key", [None, 7])
    async def test_request_waits_for_a_cold_server_in_a_pause(self, key):
        """Guards against callers that wait although no server can be in time.

        Slow start allows this VM no request, so both keep it from the server.
        """
        others = {
            f"vm-{n}": models.Vm(f"vm-{n}", "run", "", 1, "a")
            for n in range(40)
        }
        async with DispatcherHarness(
            models.Bounds(cold_slack=1.0), is_keyed=key is not None
        ) as harness:
            harness.inbox.post(messages.VmsChanged(others))
            placement = await harness.place(key=key)
            statements = models.ServerStatements(
                cold_ms=30_000.0, pause=models.Pause(30.0)
            )
            harness.finish(placement, messages.AttemptResult.SHED, statements)
            async with asyncio.timeout(5.0):
                refusal = await harness.place(key=key, wait_s=20.0)
            assert refusal.reason is messages.RefusalReason.PAUSED
            assert 29.0 < refusal.retry_after_s <= 30.0

    async def test_cold_server_is_hidden_by_a_paused_one(self):
        """Guards against refusals though a cold server takes one soon."""
        other = models.BackendServer(
            "t", 1, "g", "127.0.0.1", 2, "a", _SLOTS, False, 30_000.0, 1
        )
        async with DispatcherHarness(models.Bounds()) as harness:
            placement = await harness.place()
            statements = models.ServerStatements(pause=models.Pause(30.0))
            harness.finish(placement, messages.AttemptResult.SHED, statements)
            harness.inbox.post(
                messages.ServersChanged({"s": harness.server, "t": other})
            )
            async with asyncio.timeout(10.0):
                placements = [await harness.place(wait_s=5.0) for _ in range(3)]
            assert [p.server for p in placements] == [other] * 3

    async def test_refusal_names_the_pause_and_not_the_later_limit(self):
        """Guards against callers that come back and are refused again."""
        async with DispatcherHarness(models.Bounds()) as harness:
            limited = models.ServerStatements(
                rate_limit=models.RateLimited(0.1)
            )
            harness.finish(await harness.place(), statements=limited)
            placements = [await harness.place() for _ in range(2)]
            now_s = asyncio.get_running_loop().time()
            harness.inbox.post(
                messages.PlacementReturned(
                    placements[0], harness.requirements(), now_s + 30.0
                )
            )
            paused = models.ServerStatements(pause=models.Pause(5.0))
            harness.finish(placements[1], messages.AttemptResult.SHED, paused)
            refusal = await harness.place(wait_s=1.0)
            assert refusal.reason is messages.RefusalReason.LIMITED
            assert 29.0 < refusal.retry_after_s <= 30.0

    async def test_absurd_pause_is_shortened_in_silence(self, caplog):
        """Guards against servers whose odd statements nobody notices."""
        async with DispatcherHarness(models.Bounds()) as harness:
            statements = models.ServerStatements(
                pause=models.PauseShortened(60.0, "1e9")
            )
            placements = [await harness.place() for _ in range(3)]
            for placement in placements:
                harness.finish(
                    placement, messages.AttemptResult.SHED, statements
                )
            refusal = await harness.place()
            assert refusal.reason is messages.RefusalReason.PAUSED
            assert 59.0 < refusal.retry_after_s <= 60.0
            counts = harness.metrics.counts
            assert counts["gateway.server_pauses_invalid"] == 3
            lines = [r for r in caplog.records if "invalid" in r.message]
            assert [r.value for r in lines] == ["1e9"]

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


class TestConfirmation:
    """Requests that waited since their server was chosen."""

    async def is_confirmed(
        self, harness: DispatcherHarness, placement: messages.Placement
    ) -> bool:
        """Returns whether a request may still be sent."""
        reply = asyncio.get_running_loop().create_future()
        harness.inbox.post(
            messages.ConfirmPlacement(
                placement, harness.requirements(key=7), reply
            )
        )
        return await reply

    @pytest.mark.parametrize(
        "change",
        [
            messages.StatementsReceived(
                models.ServerInstance("s", 1),
                models.ServerStatements(is_leaving=True),
            ),
            messages.StatementsReceived(
                models.ServerInstance("s", 1),
                models.ServerStatements(pause=models.Pause(5.0)),
            ),
            messages.StatementsReceived(
                models.ServerInstance("s", 1),
                models.ServerStatements(rate_limit=models.RateLimited(9.0)),
            ),
            messages.ServersChanged({}),
            messages.EvacuationsChanged(frozenset("a")),
            messages.KeyTableChanged(
                dataclasses.replace(
                    tables.create("g", [models.ServerInstance("t", 1)], 2),
                    revision=2,
                )
            ),
        ],
    )
    async def test_server_gets_a_request_that_it_no_longer_takes(self, change):
        """Guards against requests that were placed before a change."""
        bounds = models.Bounds(drain_s=0.0)
        async with DispatcherHarness(bounds, is_keyed=True) as harness:
            placement = await harness.place(key=7)
            assert await self.is_confirmed(harness, placement)
            harness.inbox.post(change)
            assert not await self.is_confirmed(harness, placement)

    async def test_request_outlasts_its_deadline_without_a_reply(self):
        """Guards against callers that wait for a dispatcher that has failed."""
        inbox = task.create_inbox()
        requirements = DispatcherHarness(models.Bounds()).requirements(
            left_s=0.2
        )
        server = models.BackendServer(
            "s", 1, "g", "127.0.0.1", 1, "a", _SLOTS, False, 0.0, 1
        )
        connection = mock.create_autospec(http.Connection)
        placed_s = asyncio.get_running_loop().time() - 1.0
        sending = attempt.Attempt(
            inbox,
            requirements,
            messages.Placement(server, connection, placed_s, 0.0),
            budget.BodyMemory(1, counters.Counters()),
        )
        async with asyncio.timeout(10.0):
            outcome = await sending.run(
                mock.create_autospec(exchange.CallerRequest)
            )
        assert outcome == outcomes.Withdrawn()
        assert not connection.begin.called

    async def test_request_with_a_permit_is_withdrawn(self):
        """Guards against requests to a limited server that are never sent."""
        async with DispatcherHarness(models.Bounds(), is_keyed=True) as harness:
            limited = models.ServerStatements(
                rate_limit=models.RateLimited(9.0)
            )
            harness.finish(await harness.place(key=7), statements=limited)
            placement = await harness.place(key=7)
            assert await self.is_confirmed(harness, placement)


class TestProbes:
    """Servers to which no connection can be opened."""

    @contextlib.asynccontextmanager
    async def open_connection(self):
        """Yields a connection to a server that accepts it."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            server = models.BackendServer(
                "s", 1, "g", host, port, "a", _SLOTS, False, 0.0, 1
            )
            connection = await connection_pool.connect(server)
            try:
                yield connection
            finally:
                connection.close()

    async def probe_of(
        self, harness: DispatcherHarness
    ) -> messages.ProbeServer | None:
        """Returns the probe that requests have started, if there is one."""
        async with asyncio.timeout(20.0):
            while not len(harness.prober_inbox):
                await harness.place(key=7)
                await asyncio.sleep(0.02)
        return await harness.prober_inbox.get()

    async def test_refused_request_starts_a_probe(self):
        """Guards against callers' requests that are used as probes."""
        async with DispatcherHarness(models.Bounds(), is_keyed=True) as harness:
            placement = await harness.place(key=7)
            harness.finish(placement, messages.AttemptResult.UNREACHABLE)
            probe = await self.probe_of(harness)
            assert probe.server == harness.server
            refusal = await harness.place(key=7)
            assert refusal.reason is messages.RefusalReason.UNREACHABLE
            assert not len(harness.prober_inbox)

    async def test_connection_of_a_probe_is_used_for_the_next_request(self):
        """Guards against paying for a connection twice."""
        async with (
            self.open_connection() as connection,
            DispatcherHarness(models.Bounds(), is_keyed=True) as harness,
        ):
            placement = await harness.place(key=7)
            harness.finish(placement, messages.AttemptResult.UNREACHABLE)
            harness.inbox.post(
                messages.ServerProbed(harness.server, connection)
            )
            placement = await harness.place(key=7)
            assert placement.connection is connection
            # Further requests may open connections.
            assert (await harness.place(key=7)).connection is None

    async def test_connection_to_a_server_that_may_not_be_used_is_closed(self):
        """Guards against a leaving server that is kept from shutting down."""
        for servers in (
            {},
            {"s": dataclasses.replace(self.draining_server(), revision=2)},
        ):
            async with (
                self.open_connection() as connection,
                DispatcherHarness(models.Bounds()) as harness,
            ):
                harness.inbox.post(messages.ServersChanged(servers))
                harness.inbox.post(
                    messages.ServerProbed(harness.server, connection)
                )
                await harness.usage()
                await asyncio.sleep(0)
                assert connection.is_closed

    def draining_server(self) -> models.BackendServer:
        """Returns the harness's server while it drains."""
        return models.BackendServer(
            "s", 1, "g", "127.0.0.1", 1, "a", _SLOTS, True, 0.0, 1
        )

    async def test_paused_server_is_not_probed(self):
        """Guards against work for a server that asked for a pause."""
        async with DispatcherHarness(models.Bounds(), is_keyed=True) as harness:
            placements = [await harness.place(key=7) for _ in range(2)]
            harness.finish(
                placements[0],
                messages.AttemptResult.SHED,
                models.ServerStatements(pause=models.Pause(30.0)),
            )
            harness.finish(placements[1], messages.AttemptResult.UNREACHABLE)
            await asyncio.sleep(0.7)
            refusal = await harness.place(key=7)
            assert refusal.reason is messages.RefusalReason.UNREACHABLE
            assert not len(harness.prober_inbox)

    async def test_idle_connection_of_an_unreachable_server_is_used(self):
        """Guards against refusing what an open connection could serve.

        A link may refuse new connections while the earlier ones live on.
        """
        async with (
            self.open_connection() as connection,
            DispatcherHarness(models.Bounds(), is_keyed=True) as harness,
        ):
            placements = [await harness.place(key=7) for _ in range(2)]
            harness.finish(placements[0], connection=connection)
            harness.finish(placements[1], messages.AttemptResult.UNREACHABLE)
            placement = await harness.place(key=7)
            assert placement.connection is connection
            refusal = await harness.place(key=7)
            assert refusal.reason is messages.RefusalReason.UNREACHABLE
            harness.finish(placement, connection=connection)
            placement = await harness.place(key=7)
            assert placement.connection is connection

    async def test_silent_connections_of_an_unreachable_server_are_not_used(
        self,
    ):
        """Guards against requests that hang although the server is lost."""
        async with (
            self.open_connection() as idle,
            self.open_connection() as silent,
            DispatcherHarness(models.Bounds(), is_keyed=True) as harness,
        ):
            placements = [await harness.place(key=7) for _ in range(3)]
            harness.finish(placements[0], connection=idle)
            harness.finish(placements[1], connection=silent)
            overdue = await harness.place(key=7)
            assert overdue.connection is silent
            harness.finish(placements[2], messages.AttemptResult.UNREACHABLE)
            harness.inbox.post(messages.ResponseOverdue(overdue))
            refusal = await harness.place(key=7)
            assert refusal.reason is messages.RefusalReason.UNREACHABLE
            assert not idle.is_closed

    async def test_overdue_response_starts_one_probe(self):
        """Guards against isolation that goes unnoticed for seconds.

        Requests on earlier connections may hang until their deadlines.
        """
        async with DispatcherHarness(models.Bounds()) as harness:
            placement = await harness.place()
            assert placement.overdue_after_s >= 0.3
            for _ in range(2):
                harness.inbox.post(messages.ResponseOverdue(placement))
            await harness.usage()
            probe = await harness.prober_inbox.get()
            assert probe.server == harness.server
            assert not len(harness.prober_inbox)
            harness.inbox.post(messages.ServerProbed(harness.server, None))
            assert (await harness.usage()).is_isolated

    async def test_isolated_vm_without_requests_probes_with_its_reports(self):
        """Guards against an isolation that lasts until a request arrives."""
        async with DispatcherHarness(models.Bounds()) as harness:
            await harness.lose_server()
            assert (await harness.usage()).is_isolated
            assert len(harness.prober_inbox) == 1
            async with self.open_connection() as connection:
                harness.inbox.post(
                    messages.ServerProbed(harness.server, connection)
                )
                assert not (await harness.usage()).is_isolated

    async def test_server_of_an_evacuated_zone_is_not_probed(self):
        """Guards against traffic to a zone that must get none."""
        async with DispatcherHarness(models.Bounds()) as harness:
            placement = await harness.place()
            harness.finish(placement, messages.AttemptResult.UNREACHABLE)
            harness.inbox.post(messages.EvacuationsChanged(frozenset("a")))
            harness.inbox.post(messages.ResponseOverdue(placement))
            assert not (await harness.usage()).is_isolated
            assert not len(harness.prober_inbox)


class TestServerThatReturns:
    """Servers whose entries lapse and are written again."""

    @pytest.mark.parametrize(
        ("statements", "reason"),
        [
            (
                models.ServerStatements(pause=models.Pause(30.0)),
                messages.RefusalReason.PAUSED,
            ),
            (
                models.ServerStatements(cold_ms=30_000.0),
                messages.RefusalReason.COLD,
            ),
        ],
    )
    async def test_what_it_said_is_forgotten(self, statements, reason):
        """Guards against requests in a pause because of an outage."""
        async with DispatcherHarness(models.Bounds(cold_slack=0.0)) as harness:
            placement = await harness.place()
            harness.finish(placement, messages.AttemptResult.SHED, statements)
            harness.inbox.post(messages.ServersChanged({}))
            harness.inbox.post(messages.ServersChanged({"s": harness.server}))
            for _ in range(3):
                refusal = await harness.place()
            assert refusal.reason is reason

    async def test_another_instance_inherits_it(self):
        """Guards against a pause that outlives the server that wanted it."""
        async with DispatcherHarness(models.Bounds()) as harness:
            placement = await harness.place()
            statements = models.ServerStatements(pause=models.Pause(30.0))
            harness.finish(placement, messages.AttemptResult.SHED, statements)
            harness.inbox.post(messages.ServersChanged({}))
            restarted = dataclasses.replace(harness.server, born_ms=2)
            harness.inbox.post(messages.ServersChanged({"s": restarted}))
            placement = await harness.place()
            assert placement.server == restarted
