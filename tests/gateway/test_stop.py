"""Tests of requests that are late in the grace period of a planned stop."""

import asyncio
import contextlib
import math
import os
import signal
import sys

import pytest

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.body_memory import budget
from berylweir.gateway.dispatch import task as dispatch
from berylweir.gateway.exchange import handler
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.exchange import stopping
from berylweir.gateway.permits import task as permits
from berylweir.observability import counters
from berylweir.platform import requests
from berylweir.platform import settings
from berylweir.standin.gateway_platform import http
from tests.gateway import rig

# Callers and routes that wait beyond the end of the grace period.
_LONG_TIMEOUT_MS = 20_000
# Time after the signal when requests are late, in seconds.
_LATE_S = 3.2


@contextlib.asynccontextmanager
async def start_deployment(*, service_s: float, is_keyed=False, **options):
    """Starts a gateway and, for a group without keys, two servers."""
    async with rig.Rig() as deployment:
        await deployment.configure(
            {"books": is_keyed}, [rig.route("r", "books", **options)]
        )
        if not is_keyed:
            for name in ("s0", "s1"):
                await deployment.add_server(name, "books", service_s=service_s)
        yield deployment, await deployment.add_gateway()


def run_ids(deployment: rig.Rig) -> list[str]:
    """Returns the request ids of all runs on all servers."""
    return [
        r.request_id for s in deployment.servers.values() for r in s.executions
    ]


def assert_refused(reply: rig.Reply | None) -> None:
    """Asserts that a caller was sent to another VM at once."""
    assert reply is not None
    assert (reply.status, reply.is_whole) == (503, True)
    assert float(reply.headers["retry-after"]) < 1.0
    assert reply.headers["connection"] == "close"


def assert_may_have_run(reply: rig.Reply | None) -> None:
    """Asserts that a caller was told that a server may have run its request."""
    assert reply is not None
    assert (reply.status, reply.is_whole) == (502, True)
    assert reply.headers["connection"] == "close"


class TestLateRequests:
    """Requests that can't be finished before the grace period ends."""

    async def test_upload_that_ends_late_is_not_cut_off(self, tmp_path):
        """Guards against losing a request that may not be repeated.

        The body of the request ends late in the grace period of a real
        process, and the server needs more time than is left.
        """
        async with start_deployment(
            service_s=4.0, kind="unsafe", timeout_ms=_LONG_TIMEOUT_MS
        ) as (deployment, _):
            async with start_program(deployment, tmp_path) as (port, process):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                caller = rig.Caller(reader, writer)
                caller.send(
                    "/r/1",
                    "a1",
                    method="POST",
                    deadline_ms=_LONG_TIMEOUT_MS,
                    headers="Content-Length: 2\r\n",
                )
                await asyncio.sleep(0.2)
                process.send_signal(signal.SIGTERM)
                await asyncio.sleep(_LATE_S / 2)
                writer.write(b"x")
                await asyncio.sleep(_LATE_S / 2)
                writer.write(b"y")
                reply = await caller.read()
                assert await process.wait() == 0
            assert reply is not None, run_ids(deployment)
            assert_refused(reply)
            assert run_ids(deployment) == []

    async def test_upload_that_ends_late_is_served_if_it_ends_in_time(self):
        """Guards against refusing requests for which there is time."""
        async with start_deployment(
            service_s=0.1, kind="unsafe", timeout_ms=5000
        ) as (_, gateway):
            caller = await gateway.connect()
            caller.send(
                "/r/1",
                "a1",
                method="POST",
                deadline_ms=4500,
                headers="Content-Length: 2\r\n",
            )
            await asyncio.sleep(0.2)
            stop_task = asyncio.create_task(gateway.stop())
            for part in (b"x", b"y"):
                await asyncio.sleep(_LATE_S / 2)
                caller.writer.write(part)
            assert (await caller.read()).status == 200
            await stop_task

    async def test_request_behind_a_long_download_is_not_sent(self):
        """Guards against starting a queued request late.

        The response in front of it began before the stop, so it doesn't tell
        the caller that the connection closes.
        """
        async with start_deployment(
            service_s=0.0, kind="unsafe", timeout_ms=_LONG_TIMEOUT_MS
        ) as (deployment, gateway):
            body = bytes(48_000_000)
            deployment.servers["s0"].next_responses.append(
                http.Response(200, {"Response-Seal": "x"}, body)
            )
            deployment.servers["s1"].next_responses.append(
                http.Response(200, {"Response-Seal": "x"}, body)
            )
            caller = await gateway.connect()
            caller.send(
                "/r/1", "a1", method="POST", deadline_ms=_LONG_TIMEOUT_MS
            )
            await rig.until(lambda: run_ids(deployment) == ["a1"])
            await asyncio.sleep(0.5)
            stop_task = asyncio.create_task(gateway.stop())
            await asyncio.sleep(0.1)
            caller.send(
                "/r/2", "a2", method="POST", deadline_ms=_LONG_TIMEOUT_MS
            )
            await asyncio.sleep(_LATE_S)
            download = await caller.read()
            assert (download.status, download.is_whole) == (200, True)
            assert_refused(await caller.read())
            assert run_ids(deployment) == ["a1"]
            await stop_task

    async def test_request_without_an_owner_does_not_wait_to_the_end(self):
        """Guards against a wait that outlasts the grace period."""
        async with start_deployment(
            service_s=0.0,
            is_keyed=True,
            timeout_ms=_LONG_TIMEOUT_MS,
            goal_ms=_LONG_TIMEOUT_MS,
        ) as (_, gateway):
            caller = await gateway.connect()
            caller.send(
                "/r/1",
                "a1",
                deadline_ms=_LONG_TIMEOUT_MS,
                headers="Shard-Key: 7\r\n",
            )
            await asyncio.sleep(0.1)
            stop_task = asyncio.create_task(gateway.stop())
            read_task = asyncio.create_task(caller.read())
            await asyncio.wait(
                (stop_task, read_task), return_when=asyncio.FIRST_COMPLETED
            )
            assert not stop_task.done()
            assert_refused(await read_task)
            await stop_task

    async def test_request_is_not_sent_once_more_late(self):
        """Guards against a retry that the end of the process cuts off."""
        async with start_deployment(
            service_s=_LATE_S, kind="unsafe", timeout_ms=_LONG_TIMEOUT_MS
        ) as (deployment, gateway):
            for server in deployment.servers.values():
                server.next_responses.append(
                    http.Response(503, {"Not-Run": "1", "Request-Id": "a1"})
                )
            caller = await gateway.connect()
            caller.send(
                "/r/1", "a1", method="POST", deadline_ms=_LONG_TIMEOUT_MS
            )
            await rig.until(lambda: run_ids(deployment) == ["a1"])
            stop_task = asyncio.create_task(gateway.stop())
            assert_refused(await caller.read())
            assert run_ids(deployment) == ["a1"]
            await stop_task


class TestRequestsThatOutlastTheStop:
    """Requests that are still running when the grace period ends."""

    @pytest.mark.parametrize(
        ("kind", "method"), [("safe", "GET"), ("unsafe", "POST")]
    )
    async def test_caller_is_told_that_it_may_have_run(
        self, tmp_path, kind, method
    ):
        """Guards against a process whose end cuts requests off."""
        async with (
            start_deployment(
                service_s=20.0, kind=kind, timeout_ms=_LONG_TIMEOUT_MS
            ) as (deployment, _),
            start_program(deployment, tmp_path) as (port, process),
        ):
            callers = []
            for number, pause_s in enumerate((0.5, 1.7)):
                if not callers:
                    process.send_signal(signal.SIGTERM)
                await asyncio.sleep(pause_s)
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                callers.append(rig.Caller(reader, writer))
                callers[-1].send(
                    f"/r/{number}",
                    f"a{number}",
                    method=method,
                    deadline_ms=_LONG_TIMEOUT_MS,
                )
            for caller in callers:
                assert_may_have_run(await caller.read())
                assert await caller.reader.read() == b""
            assert await process.wait() == 0
            assert sorted(run_ids(deployment)) == ["a0", "a1"]

    @pytest.mark.parametrize(
        ("kind", "statuses"), [("safe", [502, 200]), ("unsafe", [502, 503])]
    )
    async def test_requests_behind_it_are_answered(self, kind, statuses):
        """Guards against losing ready answers, and requests that wait."""
        async with start_deployment(
            service_s=20.0, kind=kind, timeout_ms=_LONG_TIMEOUT_MS
        ) as (deployment, gateway):
            caller = await gateway.connect()
            caller.send("/r/1", "a1", deadline_ms=_LONG_TIMEOUT_MS)
            await rig.until(lambda: run_ids(deployment) == ["a1"])
            for server in deployment.servers.values():
                server.service_s = 0.0
            caller.send("/r/2", "a2", deadline_ms=_LONG_TIMEOUT_MS)
            await asyncio.sleep(0.1)
            stop_task = asyncio.create_task(gateway.stop())
            replies = [await caller.read() for _ in statuses]
            assert [r and r.status for r in replies] == statuses
            assert replies[-1].headers["connection"] == "close"
            assert await caller.reader.read() == b""
            await stop_task

    async def test_incomplete_upload_is_refused(self):
        """Guards against a caller that sends to a process that ends."""
        async with start_deployment(
            service_s=0.0, kind="unsafe", timeout_ms=_LONG_TIMEOUT_MS
        ) as (deployment, gateway):
            caller = await gateway.connect()
            caller.send(
                "/r/1",
                "a1",
                method="POST",
                deadline_ms=_LONG_TIMEOUT_MS,
                headers="Content-Length: 99\r\n",
            )
            await asyncio.sleep(0.1)
            stop_task = asyncio.create_task(gateway.stop())
            for _ in range(4):
                await asyncio.sleep(1.0)
                caller.writer.write(b"x")
            async with asyncio.timeout(_LONG_TIMEOUT_MS / 1000.0):
                reply = await caller.read()
            assert_refused(reply)
            assert reply.headers["request-id"] == "a1"
            await stop_task
            assert run_ids(deployment) == []

    async def test_download_that_is_being_written_goes_on(self):
        """Guards against ending a download before the process ends."""
        async with start_deployment(
            service_s=0.0, kind="download", timeout_ms=_LONG_TIMEOUT_MS
        ) as (deployment, gateway):
            body = bytes(48_000_000)
            for server in deployment.servers.values():
                server.next_responses.append(
                    http.Response(200, {"Response-Seal": "x"}, body)
                )
            caller = await gateway.connect()
            caller.send("/r/1", "a1", deadline_ms=_LONG_TIMEOUT_MS)
            await rig.until(lambda: run_ids(deployment) == ["a1"])
            await asyncio.sleep(0.5)
            stop_task = asyncio.create_task(gateway.stop())
            await stop_task
            assert (await caller.read()).is_whole


class TestRepeatedSignals:
    """Signals that follow each other at a real process."""

    @pytest.mark.parametrize(
        "signals",
        [
            (signal.SIGTERM, signal.SIGTERM, signal.SIGTERM),
            (signal.SIGTERM, signal.SIGINT),
            (signal.SIGINT, signal.SIGTERM),
            (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
        ],
    )
    async def test_running_request_is_answered(self, tmp_path, signals):
        """Guards against a second signal that cuts off all requests."""
        async with (
            start_deployment(service_s=2.0, kind="unsafe", timeout_ms=5000) as (
                deployment,
                _,
            ),
            start_program(deployment, tmp_path) as (port, process),
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            caller = rig.Caller(reader, writer)
            caller.send("/r/1", "a1", method="POST", deadline_ms=5000)
            await rig.until(lambda: run_ids(deployment) == ["a1"])
            for number in signals:
                process.send_signal(number)
                await asyncio.sleep(0.3)
            reply = await caller.read()
            assert (reply.status, reply.is_whole) == (200, True)
            writer.close()
            assert await process.wait() == 0

    async def test_signals_until_the_end_keep_the_exit_status(self, tmp_path):
        """Guards against a late signal that makes a stop look like a crash."""
        async with (
            start_deployment(service_s=0.0) as (deployment, _),
            start_program(deployment, tmp_path) as (_, process),
        ):
            while process.returncode is None:
                for number in (signal.SIGTERM, signal.SIGHUP):
                    with contextlib.suppress(ProcessLookupError):
                        process.send_signal(number)
                await asyncio.sleep(0.005)
            assert process.returncode == 0

    async def test_second_interrupt_ends_at_once(self, tmp_path):
        """Guards against a program that a user can't stop from a terminal."""
        async with (
            start_deployment(
                service_s=20.0, kind="unsafe", timeout_ms=_LONG_TIMEOUT_MS
            ) as (deployment, _),
            start_program(deployment, tmp_path) as (port, process),
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            caller = rig.Caller(reader, writer)
            caller.send(
                "/r/1", "a1", method="POST", deadline_ms=_LONG_TIMEOUT_MS
            )
            await rig.until(lambda: run_ids(deployment) == ["a1"])
            process.send_signal(signal.SIGINT)
            await asyncio.sleep(0.3)
            assert process.returncode is None
            process.send_signal(signal.SIGINT)
            assert await caller.read() is None
            await process.wait()


@contextlib.asynccontextmanager
async def start_program(deployment: rig.Rig, directory):
    """Starts the gateway program; yields its port for callers and itself."""
    front, ready, peer, metrics = (rig.free_port() for _ in range(4))
    async with contextlib.AsyncExitStack() as stack:
        store = await http.listen(stack, deployment.store.handle)
        settings_file = directory / "settings.toml"
        settings_file.write_text(
            'node = "vm-2"\nip = "127.0.0.1"\nzone = "a"\n'
            f"portRange = [{peer}, {peer}]\n"
            f'listen = {{ front = "127.0.0.1:{front}", '
            f'ready = "127.0.0.1:{ready}" }}\n'
            f'infra = {{ addr = "127.0.0.1:{store}" }}\n'
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "berylweir.gateway.program",
            "--metrics-port",
            str(metrics),
            stdout=asyncio.subprocess.DEVNULL,
            env=os.environ
            | {settings.SETTINGS_PATH_VARIABLE: str(settings_file)},
        )
        try:
            await rig.until(lambda: rig.is_ready(("127.0.0.1", ready)))
            yield front, process
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()


class HandlerHarness:
    """A handler of requests whose other tasks are played by the test."""

    def __init__(self, *, kind: str, timeout_ms: float) -> None:
        self.inbox = dispatch.create_inbox()
        self.permits_inbox = permits.create_inbox()
        self.handler = handler.RequestHandler(
            "vm-0",
            self.inbox,
            self.permits_inbox,
            budget.BodyMemory(1_000_000, counters.Counters()),
            counters.Counters(),
        )
        route = models.Route(
            "r",
            rig.HOST,
            "/r/",
            models.Idempotency.NON_IDEMPOTENT,
            is_download=kind == "download",
            timeout_ms=timeout_ms,
            goal_ms=timeout_ms,
            priority=1,
            max_servers=2,
            shares=(models.Share("books", 1.0),),
        )
        self.handler.on_store_update(
            messages.ConfigurationChanged(
                models.Configuration(
                    "1", 1, (route,), {}, models.CallerLimits()
                )
            )
        )

    async def place(self, port: int, limit: float | None = None) -> None:
        """Places the next request on a server at a port of this machine."""
        place_request = await self.inbox.get()
        server = models.BackendServer(
            "s0", 1, "books", "127.0.0.1", port, "a", 3, False, 0.0, 1
        )
        now_s = asyncio.get_running_loop().time()
        place_request.reply.set_result(
            messages.Placement(server, None, now_s, 0.0, limit=limit)
        )

    def begin_stop(self, *, accepts_s: float, ends_s: float) -> None:
        """Begins a stop whose times are given from now on, in seconds."""
        now_s = asyncio.get_running_loop().time()
        self.handler.begin_stop(
            stopping.Stopping(now_s + accepts_s, now_s + ends_s)
        )

    def handle(
        self, deadline_ms: float, origin: exchange.Origin | None = None
    ) -> "asyncio.Task[exchange.Answer]":
        """Begins to handle a request that has just arrived."""
        loop = asyncio.get_running_loop()
        head = requests.decode_request(
            "POST",
            b"/r/1",
            [
                (b"host", rig.HOST.encode()),
                (b"deadline-ms", b"%d" % deadline_ms),
            ],
        )
        request = exchange.CallerRequest(
            head, b"", loop.time(), origin or exchange.FromCaller()
        )
        return loop.create_task(self.handler.handle(request))


class TestWaits:
    """Waits of requests in the gateway when it stops."""

    @pytest.mark.parametrize("is_stopping", [False, True])
    async def test_wait_for_a_server_ends(self, is_stopping):
        """Guards against a wait that began before the stop, or in it."""
        harness = HandlerHarness(kind="unsafe", timeout_ms=9000.0)
        if is_stopping:
            harness.begin_stop(accepts_s=0.1, ends_s=5.0)
        answer_task = harness.handle(9000.0)
        place_request = await harness.inbox.get()
        if not is_stopping:
            harness.begin_stop(accepts_s=0.1, ends_s=5.0)
        answer = await answer_task
        assert answer.status == 503
        assert place_request.reply.cancelled()

    async def test_wait_for_a_permit_ends(self):
        """Guards against sending a request once a late permit allows it."""
        harness = HandlerHarness(kind="unsafe", timeout_ms=9000.0)
        answer_task = harness.handle(9000.0)
        await harness.place(1, limit=1.0)
        acquire = await harness.permits_inbox.get()
        now_s = asyncio.get_running_loop().time()
        acquire.reply.set_result(messages.PermitGranted(now_s + 3.0))
        harness.begin_stop(accepts_s=0.1, ends_s=5.0)
        assert (await answer_task).status == 503
        returned = await harness.inbox.get()
        assert isinstance(returned, messages.PlacementReturned)

    async def test_late_request_is_refused_at_once(self):
        """Guards against asking for a server when it is too late."""
        harness = HandlerHarness(kind="unsafe", timeout_ms=9000.0)
        harness.begin_stop(accepts_s=0.0, ends_s=5.0)
        assert (await harness.handle(9000.0)).status == 503
        assert len(harness.inbox) == 0

    async def test_forwarded_request_is_given_back(self):
        """Guards against cutting off what another gateway could serve."""
        harness = HandlerHarness(kind="unsafe", timeout_ms=9000.0)
        harness.begin_stop(accepts_s=2.8, ends_s=5.0)
        origin = exchange.FromGateway("vm-1", "books", 0, False, 9000.0)
        answer = await harness.handle(9000.0, origin)
        assert answer.kind is exchange.AnswerKind.ISOLATED
        assert len(harness.inbox) == 0

    async def test_late_request_that_ends_in_time_is_sent(self):
        """Guards against refusing what the time left is enough for."""
        harness = HandlerHarness(kind="unsafe", timeout_ms=9000.0)
        harness.begin_stop(accepts_s=0.0, ends_s=5.0)
        answer_task = harness.handle(4000.0)
        place_request = await harness.inbox.get()
        assert isinstance(place_request, messages.PlaceRequest)
        answer_task.cancel()

    async def test_late_download_may_last_as_long_as_its_caller_waits(self):
        """Guards against a download that the end of the process cuts off."""
        harness = HandlerHarness(kind="download", timeout_ms=1000.0)
        harness.begin_stop(accepts_s=0.0, ends_s=5.0)
        assert (await harness.handle(9000.0)).status == 503


class TestRuns:
    """Requests that run when the gateway stops."""

    @pytest.mark.parametrize(
        ("finish_s", "was_forwarded", "latest_s"),
        [(5.1, False, 4.8), (5.0, False, math.inf), (9.0, True, math.inf)],
    )
    def test_only_requests_of_callers_that_outlast_the_stop_are_ended(
        self, finish_s, was_forwarded, latest_s
    ):
        """Guards against breaking off what ends in time.

        A gateway that forwarded a request sends it elsewhere if it may.
        """
        latest = stopping.latest_run_s(
            stopping.Stopping(2.8, 5.0),
            stopping.Limited(finish_s, was_forwarded),
        )
        assert latest == pytest.approx(latest_s)

    async def test_answer_tells_whether_the_request_was_sent(self):
        """Guards against promising that a request at a server hasn't run."""
        harness = HandlerHarness(kind="unsafe", timeout_ms=9000.0)
        async with rig.Rig() as deployment:
            server = await deployment.add_server("s0", "books", service_s=20.0)
            tasks = [harness.handle(9000.0) for _ in range(2)]
            await harness.place(deployment.ports["s0"])
            await rig.until(lambda: bool(server.executions))
            harness.begin_stop(accepts_s=0.1, ends_s=1.0)
            assert [(await t).status for t in tasks] == [502, 503]


class TestLostReplies:
    """Tasks that crash on the message of a request, and don't reply to it."""

    async def test_request_without_a_server_is_refused(self):
        """Guards against requests that wait until their callers leave."""
        harness = HandlerHarness(kind="unsafe", timeout_ms=200.0)
        answer_task = harness.handle(200.0)
        await harness.inbox.get()
        answer = await asyncio.wait_for(answer_task, 5.0)
        assert answer.status == 503

    async def test_request_without_a_permit_is_refused(self):
        """Guards against a server whose slot such a request keeps."""
        harness = HandlerHarness(kind="unsafe", timeout_ms=200.0)
        answer_task = harness.handle(200.0)
        await harness.place(1, limit=1.0)
        await harness.permits_inbox.get()
        returned = await asyncio.wait_for(harness.inbox.get(), 5.0)
        assert isinstance(returned, messages.PlacementReturned)
        assert (await answer_task).status == 503
