"""Tests of how a gateway closes connections of callers."""

import asyncio
import contextlib
import socket

import pytest

from berylweir.gateway import models
from berylweir.gateway.body_memory import budget
from berylweir.gateway.exchange import exceptions
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.ingress import models as ingress
from berylweir.gateway.ingress import protocol
from berylweir.observability import counters
from berylweir.standin.gateway_platform import http
from berylweir.transports import lingering
from tests.gateway import rig

_BODY = bytes(900_000)
_IDLE_TIMEOUT_MS = 2000
# Longer than the idle timeout and an interval of its checks.
_IDLE_S = 3.5
# Smaller than the body, so that the rest waits in the gateway's kernel.
_RECEIVE_BUFFER_BYTES = 16_384


def create_slow_socket() -> socket.socket:
    """Returns a socket, to be connected, that receives little ahead."""
    connection = socket.socket()
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    connection.setblocking(False)
    return connection


@contextlib.asynccontextmanager
async def start_download(**options):
    """Starts a gateway, and a caller that has sent a request for `_BODY`.

    Yields:
        The gateway and the caller, which hasn't read anything.
    """
    async with rig.Rig() as deployment:
        await deployment.configure({"d": False}, [rig.route("r", "d")])
        server = await deployment.add_server("s0", "d", service_s=0.0)
        server.next_responses.append(
            http.Response(200, {"Response-Seal": "x"}, _BODY)
        )
        gateway = await deployment.add_gateway()
        connection = create_slow_socket()
        await asyncio.get_running_loop().sock_connect(
            connection, gateway.environment.caller_address
        )
        # A small limit, so that bytes stay in the socket until they are read.
        caller = rig.Caller(
            *await asyncio.open_connection(sock=connection, limit=1024)
        )
        caller.send("/r/1", "a1", **options)
        await rig.until(lambda: bool(server.executions))
        await asyncio.sleep(0.3)
        yield gateway, caller


async def assert_received(caller: rig.Caller) -> None:
    """Asserts that a caller receives the whole body."""
    reply = await caller.read()
    assert (reply.status, reply.is_whole) == (200, True)
    assert reply.body == _BODY


class TestClosing:
    """Connections that are closed while an answer is on its way."""

    async def test_request_behind_the_last_answer_does_not_cut_it_off(self):
        """Guards against a reset by a request that crosses the last answer."""
        async with start_download(headers="Connection: close\r\n") as (
            _,
            caller,
        ):
            caller.send("/r/2", "a2")
            await asyncio.sleep(0.3)
            await assert_received(caller)

    async def test_idle_connection_is_closed_behind_its_last_answer(self):
        """Guards against a reset by a request that crosses a planned stop."""
        async with start_download() as (gateway, caller):
            stop_task = asyncio.create_task(gateway.stop())
            await asyncio.sleep(3.2)
            caller.send("/r/2", "a2")
            await asyncio.sleep(0.3)
            await assert_received(caller)
            caller.writer.close()
            await stop_task

    async def test_invalid_request_does_not_cut_off_an_earlier_answer(self):
        """Guards against an answer that is lost to a caller that reads slowly.

        The answer to the invalid request ends the connection.
        """
        async with start_download() as (_, caller):
            caller.writer.write(b"no request\r\n\r\n")
            await asyncio.sleep(2.5)
            caller.writer.write(b"no request\r\n\r\n")
            await asyncio.sleep(0.3)
            await assert_received(caller)
            assert (await caller.read()).status == 400


class BrokenAnswers:
    """Answers with `_BODY` first; the next answer breaks off at the gate."""

    def __init__(self, failure: Exception, *, is_begun: bool) -> None:
        self.gate = asyncio.Event()
        self._failure = failure
        self._is_begun = is_begun

    async def handle(self, request: exchange.CallerRequest) -> exchange.Answer:
        """Returns the answer to a request."""
        if request.head.path == "/r/1":
            return exchange.Answer(200, (), _BODY, None, len(_BODY))
        if self._is_begun:
            return exchange.Answer(200, (), b"", self._stream(), len(_BODY))
        await self.gate.wait()
        raise self._failure

    async def _stream(self):
        yield b"x"
        await self.gate.wait()
        raise self._failure


class TestBrokenAnswers:
    """Connections that end because an answer breaks off."""

    @pytest.mark.parametrize(
        ("failure", "is_begun"),
        [
            (exceptions.ResponseTruncatedError(), True),
            (ValueError("no such case"), True),
            (ValueError("no such case"), False),
        ],
    )
    async def test_earlier_answer_is_not_cut_off(self, failure, is_begun):
        """Guards against a reset that loses what a slow caller has due."""
        answers = BrokenAnswers(failure, is_begun=is_begun)
        async with listen(answers.handle) as (address, _):
            connection = create_slow_socket()
            await asyncio.get_running_loop().sock_connect(connection, address)
            caller = rig.Caller(
                *await asyncio.open_connection(sock=connection, limit=1024)
            )
            with contextlib.closing(caller.writer):
                caller.send("/r/1", "a1")
                caller.send("/r/2", "a2")
                await asyncio.sleep(0.3)
                answers.gate.set()
                await asyncio.sleep(0.3)
                caller.send("/r/3", "a3")
                await asyncio.sleep(0.3)
                await assert_received(caller)
                reply = await caller.read()
                assert not is_begun or not reply.is_whole
                assert await caller.reader.read() == b""


@contextlib.asynccontextmanager
async def listen(handle: protocol.HandleRequest):
    """Accepts connections of callers.

    Yields:
        The address and the gateway's ends of the connections.
    """
    metrics = counters.Counters()
    connections: set[protocol.CallerConnection] = set()
    server = await asyncio.get_running_loop().create_server(
        lambda: protocol.CallerConnection(
            handle,
            lambda _: ingress.RequestTraits("r", is_idempotent=True),
            models.CallerLimits,
            connections,
            budget.BodyMemory(1_000_000, metrics),
            metrics,
        ),
        "127.0.0.1",
        0,
    )
    async with server:
        yield server.sockets[0].getsockname(), connections


@contextlib.asynccontextmanager
async def open_connection():
    """Opens a connection that was used once.

    Yields:
        The gateway's end and the caller.
    """

    async def handle(_: exchange.CallerRequest) -> exchange.Answer:
        return exchange.Answer(200, (), b"")

    async with listen(handle) as (address, connections):
        caller = rig.Caller(*await asyncio.open_connection(*address))
        with contextlib.closing(caller.writer):
            caller.send("/r/1", "a1")
            assert (await caller.read()).status == 200
            (connection,) = connections
            yield connection, caller


def stop(connection: protocol.CallerConnection) -> None:
    """Decides that a connection isn't needed any more."""
    connection.finish()


def check_idle_limit(connection: protocol.CallerConnection) -> None:
    """Decides that a connection was idle for too long."""
    connection.check_timeouts(asyncio.get_running_loop().time() + 3600.0)


class TestArrivedRequests:
    """Requests that have arrived when their connection is to be closed."""

    @pytest.mark.parametrize("decide", [stop, check_idle_limit])
    async def test_request_that_was_not_read_yet_is_answered(self, decide):
        """Guards against dropping a request that waits in the kernel."""
        async with open_connection() as (connection, caller):
            caller.send("/r/2", "a2")
            decide(connection)
            reply = await caller.read()
            assert reply is not None
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert await caller.reader.read() == b""

    async def test_request_that_arrives_last_is_answered(self, monkeypatch):
        """Guards against a close that doesn't ask the kernel."""
        count_unread = lingering.count_unread
        async with open_connection() as (connection, caller):

            def send_and_count(transport: asyncio.Transport) -> int:
                monkeypatch.setattr(lingering, "count_unread", count_unread)
                caller.send("/r/2", "a2")
                return count_unread(transport)

            monkeypatch.setattr(lingering, "count_unread", send_and_count)
            stop(connection)
            reply = await caller.read()
            assert reply is not None
            assert (reply.status, reply.headers["connection"]) == (200, "close")

    async def test_part_behind_a_whole_request_is_waited_for(self):
        """Guards against dropping a request whose rest is on its way."""
        async with open_connection() as (connection, caller):
            writer = caller.writer
            request = b"GET /r/%d HTTP/1.1\r\nHost: h\r\n\r\n"
            writer.write(request % 3 + (request % 4)[:20])
            assert (await caller.read()).status == 200
            connection.announce_close()
            stop(connection)
            await asyncio.sleep(0.2)
            writer.write((request % 4)[20:])
            reply = await caller.read()
            assert reply is not None
            assert (reply.status, reply.headers["connection"]) == (200, "close")

    async def test_long_series_is_read_in_parts(self):
        """Guards against one caller that keeps the event loop busy."""
        async with open_connection() as (connection, caller):
            request = b"GET /r/1 HTTP/1.1\r\nHost: h\r\n\r\n"
            count = 3000
            caller.writer.write(request * count)
            longest = 0
            for _ in range(count):
                assert (await caller.read()).status == 200
                longest = max(longest, len(connection._queue))
            assert longest < 200

    @pytest.mark.parametrize("decide", [stop, check_idle_limit])
    async def test_connection_without_a_request_is_closed(self, decide):
        """Guards against a stop that waits for idle connections."""
        async with open_connection() as (connection, caller):
            decide(connection)
            assert await caller.reader.read() == b""

    async def test_pipelined_requests_are_answered_in_a_planned_stop(self):
        """Guards against dropping requests behind the answer that closes."""
        async with rig.Rig() as deployment:
            await deployment.configure({"d": False}, [rig.route("r", "d")])
            await deployment.add_server("s0", "d", service_s=0.6)
            gateway = await deployment.add_gateway()
            caller = await gateway.connect()
            with contextlib.closing(caller.writer):
                caller.send("/r/1", "a1")
                await asyncio.sleep(0.2)
                stop_task = asyncio.create_task(gateway.stop())
                for number in (2, 3):
                    await asyncio.sleep(0.1)
                    caller.send(f"/r/{number}", f"a{number}")
                replies = [await caller.read() for _ in range(3)]
                assert [r and r.status for r in replies] == [200, 200, 200]
                assert [r.headers.get("connection") for r in replies] == [
                    None,
                    None,
                    "close",
                ]
                assert await caller.reader.read() == b""
            await stop_task


class TestChangedLimits:
    """Limits on callers, which the operator may change."""

    async def test_raised_idle_limit_holds_for_open_connections(self):
        """Guards against closing connections that callers may still use."""
        async with rig.Rig() as deployment:
            routes = [rig.route("r", "d")]
            await deployment.configure(
                {"d": False}, routes, idle_timeout_ms=_IDLE_TIMEOUT_MS
            )
            await deployment.add_server("s0", "d", service_s=0.0)
            gateway = await deployment.add_gateway()
            caller = await gateway.connect()
            with contextlib.closing(caller.writer):
                await deployment.configure(
                    {"d": False}, routes, 2, idle_timeout_ms=60_000
                )
                await asyncio.sleep(1.0)
                caller.send("/r/1", "a1")
                assert (await caller.read()).status == 200
                await asyncio.sleep(_IDLE_S)
                caller.send("/r/2", "a2")
                reply = await caller.read()
                assert reply is not None
                assert reply.status == 200

    async def test_lowered_limit_spares_a_body_in_progress(self):
        """Guards against refusing an upload that was allowed."""
        async with rig.Rig() as deployment:
            routes = [rig.route("r", "d", kind="unsafe")]
            await deployment.configure({"d": False}, routes)
            await deployment.add_server("s0", "d", service_s=0.0)
            gateway = await deployment.add_gateway()
            caller = await gateway.connect()
            with contextlib.closing(caller.writer):
                caller.send(
                    "/r/1",
                    "a1",
                    method="POST",
                    headers="Content-Length: 300\r\n",
                )
                await asyncio.sleep(0.2)
                await deployment.configure(
                    {"d": False}, routes, 2, max_body_bytes=100
                )
                await asyncio.sleep(1.0)
                caller.writer.write(bytes(300))
                assert (await caller.read()).status == 200
