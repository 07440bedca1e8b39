"""Tests of the limits and the end of a connection to a backend server."""

import asyncio
import contextlib
import os
import signal
import socket
import sys

import pytest

from berylweir.router.backends import connection
from berylweir.router.backends import exceptions
from tests import listening

_HEAD = b"HTTP/1.1 200 OK\r\n"
_CHUNKED_HEAD = _HEAD + b"transfer-encoding: chunked\r\n\r\n"
_WAIT_S = 10.0
# Far more than any limit, so that a limit that isn't enforced shows.
_MAX_SENT_BYTES = 64 * 1024 * 1024


class EndlessServer:
    """Sends a start and then the same bytes again until the caller closes."""

    def __init__(self, start: bytes, repeated: bytes) -> None:
        self.sent_bytes = 0
        self._start = start
        self._repeated = repeated * (65_536 // len(repeated))

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._start)
        while self.sent_bytes < _MAX_SENT_BYTES:
            writer.write(self._repeated)
            self.sent_bytes += len(self._repeated)
            await writer.drain()


async def fetch(port: int, **options) -> bytes:
    """Sends a request on a new connection and reads the whole response."""
    opened = await connection.connect("127.0.0.1", port, _WAIT_S, **options)
    try:
        opened.begin(b"GET / HTTP/1.1\r\n\r\n", is_head_request=False)
        await opened.read_head()
        parts = []
        while part := await opened.read_body():
            parts.append(part)
        return b"".join(parts)
    finally:
        opened.close()


class TestResponseLimits:
    """Bytes without end that are no response."""

    @pytest.mark.parametrize(
        ("start", "repeated"),
        [
            (b"HTTP/1.1 200 ", b"x"),
            (_HEAD, b"x-field: value\r\n"),
            (_HEAD + b"x-field: ", b"v"),
            (_HEAD, b"n"),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
            (_CHUNKED_HEAD + b"1;", b"e"),
            (_CHUNKED_HEAD + b"1\r\nx\r\n0\r\n", b"x-trailer: value\r\n"),
            (_CHUNKED_HEAD + b"1\r\nx\r\n0\r\nx-trailer: ", b"v"),
        ],
        ids=[
            "status line",
            "header fields",
            "header value",
            "header name",
            "informational responses",
            "chunk extension",
            "trailer fields",
            "trailer value",
        ],
    )
    async def test_endless_bytes_end_the_exchange(self, start, repeated):
        """Guards against reading them until the deadline."""
        server = EndlessServer(start, repeated)
        async with listening.listen(server.serve) as port:
            with pytest.raises(exceptions.MalformedResponse):
                await asyncio.wait_for(fetch(port), _WAIT_S)
            # Socket buffers hold some megabytes beyond what was read.
            assert server.sent_bytes < _MAX_SENT_BYTES // 2

    async def test_endless_responses_to_another_request_end_the_exchange(self):
        """Guards against skipping late duplicate responses forever."""
        stale = _HEAD + b"request-id: old\r\ncontent-length: 4000\r\n\r\n"
        server = EndlessServer(b"", stale + b"x" * 4000)
        async with listening.listen(server.serve) as port:
            opened = await connection.connect("127.0.0.1", port, _WAIT_S)
            opened.begin(
                b"GET / HTTP/1.1\r\n\r\n",
                is_head_request=False,
                matches_request=lambda headers: False,
            )
            with pytest.raises(exceptions.MalformedResponse):
                await asyncio.wait_for(opened.read_head(), _WAIT_S)
            assert opened.is_closed

    async def test_smallest_chunks_are_within_the_limits(self):
        """Guards against rejecting a valid body in chunks of one byte."""
        body_bytes = 50_000

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_CHUNKED_HEAD + b"1\r\nx\r\n" * body_bytes)
            writer.write(b"0\r\n\r\n")
            await writer.drain()

        async with listening.listen(serve) as port:
            assert await fetch(port) == b"x" * body_bytes


_WRITE_AND_WAIT = """
import asyncio, sys
from berylweir.router.backends import connection

async def main():
    opened = await connection.connect(
        "127.0.0.1", int(sys.argv[1]), 10.0, reset_on_close=True
    )
    opened.begin(b"x" * 100_000, is_head_request=False)
    print("written", flush=True)
    await asyncio.sleep(60)

asyncio.run(main())
"""


@contextlib.contextmanager
def listen_without_reading():
    """Listens on a socket that takes only a few kilobytes from the network."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        yield listener


async def read_to_end(accepted: socket.socket) -> int:
    """Returns the number of bytes that still arrive on a connection."""
    loop = asyncio.get_running_loop()
    accepted.setblocking(False)
    received_bytes = 0
    with contextlib.suppress(ConnectionResetError):
        while data := await loop.sock_recv(accepted, 65_536):
            received_bytes += len(data)
    return received_bytes


class TestReset:
    """Sent bytes that are still on their way when a connection ends."""

    async def test_lost_connection_delivers_nothing_afterwards(self):
        """Guards against a grant that arrives after its keys have moved."""
        with listen_without_reading() as listener:
            opened = await connection.connect(
                *listener.getsockname(), _WAIT_S, reset_on_close=True
            )
            accepted, _ = listener.accept()
            with accepted:
                opened.begin(b"x" * 100_000, is_head_request=False)
                # The event loop closes the socket like this once keepalive has
                # failed.
                opened._transport.abort()
                received_bytes = await asyncio.wait_for(
                    read_to_end(accepted), _WAIT_S
                )
                assert received_bytes < 100_000

    async def test_killed_process_delivers_nothing_afterwards(self):
        """Guards against a dead keeper's grant that arrives later."""
        with listen_without_reading() as listener:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                _WRITE_AND_WAIT,
                str(listener.getsockname()[1]),
                stdout=asyncio.subprocess.PIPE,
            )
            assert await process.stdout.readline() == b"written\n"
            accepted, _ = listener.accept()
            with accepted:
                os.kill(process.pid, signal.SIGKILL)
                await process.wait()
                received_bytes = await asyncio.wait_for(
                    read_to_end(accepted), _WAIT_S
                )
                assert received_bytes < 100_000
