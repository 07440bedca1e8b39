"""Tests of how a router closes connections of callers."""

import asyncio
import contextlib
import pathlib
import socket
import ssl
import time

import pytest

from berylweir.observability import counters
from berylweir.router.backends import peers as peer_pools
from berylweir.router.backends import pool
from berylweir.router.ingress import exceptions
from berylweir.router.ingress import forwarding
from berylweir.router.ingress import incoming
from berylweir.router.ingress import models
from berylweir.router.ingress import protocol
from berylweir.transports import lingering
from tests.router import rig

_CERTIFICATES = pathlib.Path(__file__).parents[1] / "certificates"
_REQUEST = b"GET / HTTP/1.1\r\nhost: t\r\n\r\n"
_LARGE_REQUEST = b"GET /large HTTP/1.1\r\nhost: t\r\n\r\n"
_BODY = bytes(900_000)
# Smaller than the body, so that the rest waits in the kernel of the router.
_RECEIVE_BUFFER_BYTES = 16_384


async def serve(
    request: incoming.Request, caller: protocol.CallerConnection
) -> None:
    """Responds, with `_BODY` or a broken response if the target says so."""
    match request.head.target:
        case b"/large":
            caller.start_response(200, (), _BODY, is_complete=True)
        case b"/cut":
            caller.start_response(200, (), b"x", is_complete=False)
            raise exceptions.ResponseCut
        case b"/crash":
            raise ValueError("no such case")
        case _:
            caller.start_response(200, (), b"", is_complete=True)


def create_tls_contexts() -> tuple[ssl.SSLContext, ssl.SSLContext]:
    """Returns the contexts of a router and of its callers."""
    certificate = _CERTIFICATES / "first.pem"
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(certificate, _CERTIFICATES / "first.key")
    return context, ssl.create_default_context(cafile=certificate)


@contextlib.asynccontextmanager
async def open_connection(*, with_tls: bool):
    """Opens a connection that was used once.

    Yields:
        The router's end, and the reader and writer of the caller.
    """
    metrics = counters.Counters()
    ingress = forwarding.Ingress(
        "home",
        models.Limits(),
        peer_pools.PeerPools(pool.PoolLimits(1, 1.0, 1.0)),
        metrics,
    )
    connections: set[protocol.CallerConnection] = set()
    router_context, caller_context = (
        create_tls_contexts() if with_tls else (None, None)
    )
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: protocol.CallerConnection(
            serve, ingress.refuse, models.Limits(), connections, metrics
        ),
        rig.HOST,
        0,
        ssl=router_context,
    )
    caller = socket.socket()
    caller.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    caller.setblocking(False)
    async with server, asyncio.timeout(rig.WAIT_S):
        await loop.sock_connect(caller, server.sockets[0].getsockname())
        # A small limit, so that bytes stay in the socket until they are read.
        reader, writer = await asyncio.open_connection(
            sock=caller,
            ssl=caller_context,
            server_hostname=rig.HOST if with_tls else None,
            limit=1024,
        )
        try:
            writer.write(_REQUEST)
            assert (await rig.read_message(reader)).status == 200
            (connection,) = connections
            yield connection, reader, writer
        finally:
            writer.transport.abort()


def check_idle_limit(connection: protocol.CallerConnection) -> None:
    """Decides that a connection was idle for too long."""
    connection.check_progress(connection.now() + 3600.0, 75.0)


def block_loop() -> None:
    """Keeps the event loop from reading, and makes its next timers late."""
    time.sleep(0.05)


async def send_large_request(
    connection: protocol.CallerConnection, writer: asyncio.StreamWriter
) -> None:
    """Sends a request, and waits until the response is on its way."""
    writer.write(_LARGE_REQUEST)
    await rig.wait_until(
        lambda: (
            lingering.count_unacknowledged(connection._transport)
            > _RECEIVE_BUFFER_BYTES
        )
    )


async def assert_refused(reader: asyncio.StreamReader) -> None:
    """Asserts that the last response is the refusal of a planned stop."""
    refusal = await rig.read_message(reader)
    assert refusal.status == 503
    assert refusal.fields["berylweir-refusal"] == "shutting-down"
    assert refusal.fields["berylweir-outcome"] == "not-run"
    assert refusal.fields["connection"] == "close"
    assert await reader.read() == b""


@pytest.mark.parametrize("with_tls", [False, True])
class TestArrivedRequests:
    """Requests that have arrived when an idle connection is to be closed."""

    async def test_unread_request_is_refused_in_a_planned_stop(self, with_tls):
        """Guards against dropping a request that waits in the kernel."""
        async with open_connection(with_tls=with_tls) as (
            connection,
            reader,
            writer,
        ):
            writer.write(_REQUEST)
            connection.begin_close()
            await assert_refused(reader)

    async def test_request_that_arrives_while_the_loop_is_behind_is_refused(
        self, with_tls
    ):
        """Guards against a close before the event loop has caught up."""
        async with open_connection(with_tls=with_tls) as (
            connection,
            reader,
            writer,
        ):
            connection.begin_close()
            await asyncio.sleep(0)
            asyncio.get_running_loop().call_later(0.005, writer.write, _REQUEST)
            block_loop()
            await assert_refused(reader)

    async def test_unread_request_is_served_at_the_idle_limit(self, with_tls):
        """Guards against dropping or refusing a request that crosses it."""
        async with open_connection(with_tls=with_tls) as (
            connection,
            reader,
            writer,
        ):
            writer.write(_REQUEST)
            check_idle_limit(connection)
            response = await rig.read_message(reader)
            assert response.status == 200
            assert response.fields["connection"] == "close"
            assert await reader.read() == b""

    async def test_head_in_several_parts_is_refused(self, with_tls):
        """Guards against a close between the parts of a head."""
        async with open_connection(with_tls=with_tls) as (
            connection,
            reader,
            writer,
        ):
            # The first part arrives together with a whole request.
            writer.write(_REQUEST + _REQUEST[:5])
            assert (await rig.read_message(reader)).status == 200
            connection.begin_close()
            for part in (_REQUEST[5:10], _REQUEST[10:]):
                await asyncio.sleep(0.05)
                writer.write(part)
            await assert_refused(reader)

    @pytest.mark.parametrize(
        "decide", [protocol.CallerConnection.begin_close, check_idle_limit]
    )
    async def test_connection_without_a_request_is_closed(
        self, decide, with_tls
    ):
        """Guards against a stop that waits for idle connections."""
        async with open_connection(with_tls=with_tls) as (
            connection,
            reader,
            _,
        ):
            decide(connection)
            assert await reader.read() == b""


class TestPipelinedRequests:
    """Whole requests that were read before the response that closes."""

    async def test_request_behind_a_started_response_is_refused(self):
        """Guards against a close that the response didn't announce."""
        gate = asyncio.Event()

        async def script(stream: rig.Stream) -> None:
            await stream.next_request()
            stream.writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nab"
            )
            await gate.wait()
            stream.writer.write(b"cd")
            await stream.reader.read()

        async with (
            rig.Rig(script) as harness,
            asyncio.timeout(rig.WAIT_S),
            rig.open_caller_connection(harness.home.port) as (reader, writer),
        ):
            writer.write(rig.request())
            response = await rig.read_head(reader)
            assert "connection" not in response.fields
            (connection,) = harness.home.callers._connections
            connection.begin_close()
            writer.write(rig.request())
            await rig.wait_until(lambda: bool(connection._queue))
            gate.set()
            assert await reader.readexactly(4) == b"abcd"
            await assert_refused(reader)

    async def test_request_ahead_of_an_invalid_one_is_served(self):
        """Guards against dropping requests because a later one is invalid."""
        async with open_connection(with_tls=False) as (_, reader, writer):
            writer.write(_REQUEST * 3 + b"no request\r\n\r\n")
            for _ in range(3):
                response = await rig.read_message(reader)
                assert response.status == 200
                assert "connection" not in response.fields
            refusal = await rig.read_message(reader)
            assert refusal.status == 400
            assert refusal.fields["connection"] == "close"
            assert await reader.read() == b""

    async def test_request_ahead_of_one_that_is_cut_is_served(self):
        """Guards against dropping requests because a later one is cut."""
        gate = asyncio.Event()

        async def script(stream: rig.Stream) -> None:
            while True:
                await stream.next_request()
                await gate.wait()
                stream.respond(b"whole")

        async with (
            rig.Rig(script) as harness,
            asyncio.timeout(rig.WAIT_S),
            rig.open_caller_connection(harness.home.port) as (reader, writer),
        ):
            writer.write(rig.request())
            await rig.wait_until(lambda: bool(harness.streams))
            writer.write(rig.request() + rig.request()[:20])
            writer.write_eof()
            (connection,) = harness.home.callers._connections
            await rig.wait_until(lambda: connection._has_received_eof)
            gate.set()
            for _ in range(2):
                assert (await rig.read_message(reader)).body == b"whole"
            assert (await rig.read_message(reader)).status == 400
            assert await reader.read() == b""

    async def test_request_behind_an_announced_close_is_dropped(self):
        """Guards against serving requests that count as not received."""
        async with open_connection(with_tls=False) as (_, reader, writer):
            last = _REQUEST.replace(b"host", b"connection: close\r\nhost")
            writer.write(last + _REQUEST)
            response = await rig.read_message(reader)
            assert response.fields["connection"] == "close"
            assert await reader.read() == b""


class TestUnacknowledgedResponses:
    """Idle connections whose last response is on its way to the caller.

    The end of TLS can't be announced behind it.
    """

    async def test_request_behind_one_is_refused_with_tls(self):
        """Guards against dropping requests of a caller that isn't told."""
        async with open_connection(with_tls=True) as (
            connection,
            reader,
            writer,
        ):
            await send_large_request(connection, writer)
            connection.begin_close()
            await asyncio.sleep(0.1)
            writer.write(_REQUEST)
            response = await rig.read_message(reader)
            assert response.body == _BODY
            assert "connection" not in response.fields
            await assert_refused(reader)

    async def test_connection_is_closed_once_it_is_received(self):
        """Guards against a stop that waits for idle connections."""
        async with open_connection(with_tls=True) as (
            connection,
            reader,
            writer,
        ):
            await send_large_request(connection, writer)
            connection.begin_close()
            assert (await rig.read_message(reader)).body == _BODY
            assert await reader.read() == b""

    async def test_connection_is_closed_if_it_is_never_received(
        self, monkeypatch
    ):
        """Guards against callers that hold up a stop by not reading."""
        monkeypatch.setattr(protocol, "_MAX_DELIVERY_S", 0.1)
        monkeypatch.setattr(lingering, "_STALLED_LINGER_S", 0.1)
        async with open_connection(with_tls=True) as (connection, _, writer):
            await send_large_request(connection, writer)
            connection.begin_close()
            await rig.wait_until(
                lambda: connection not in connection._connections
            )


@pytest.mark.parametrize("with_tls", [False, True])
class TestBrokenResponses:
    """Connections that end because a response breaks off."""

    @pytest.mark.parametrize(
        ("target", "heads", "body"),
        [(b"/cut", 1, b"1\r\nx\r\n"), (b"/crash", 0, b"")],
    )
    async def test_earlier_response_is_not_cut_off(
        self, with_tls, target, heads, body
    ):
        """Guards against a reset that loses what a slow caller has due."""
        async with open_connection(with_tls=with_tls) as (
            connection,
            reader,
            writer,
        ):
            await send_large_request(connection, writer)
            writer.write(_REQUEST.replace(b"/ ", target + b" "))
            await asyncio.sleep(0.3)
            writer.write(_REQUEST)
            await asyncio.sleep(0.3)
            assert (await rig.read_message(reader)).body == _BODY
            rest = await reader.read()
            assert rest.count(b"HTTP/1.1 ") == heads
            assert rest.rpartition(b"\r\n\r\n")[2] == body


class TestCrossingRequests:
    """Requests that cross the close of an idle connection."""

    async def test_request_is_not_received(self):
        """Guards against receiving a request that can't be answered."""
        async with open_connection(with_tls=False) as (
            connection,
            reader,
            writer,
        ):
            connection.begin_close()
            assert await reader.read() == b""
            writer.write(_REQUEST)
            await connection._task
            counts = connection._metrics.counts
            assert counts.get("router.closed_unread") == 1
