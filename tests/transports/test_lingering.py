"""Tests of closing connections whose data is still on its way."""

import asyncio
import contextlib
import socket

import pytest
import uvloop

from berylweir.transports import lingering

_DATA = bytes(600_000)


class Owner(asyncio.Protocol):
    """Owns a transport, and closes it when it is told to."""

    def __init__(self) -> None:
        self.transport = None
        self.is_lost = asyncio.Event()
        self.received = b""

    def connection_made(self, transport):
        """Stores the transport."""
        self.transport = transport

    def data_received(self, data):
        """Stores what is received."""
        self.received += data

    def connection_lost(self, exc):
        """Records the end."""
        self.is_lost.set()


@contextlib.asynccontextmanager
async def open_connection(receive_buffer_bytes: int = 8192):
    """Yields the owner of one end of a connection, and the other end."""
    loop = asyncio.get_running_loop()
    owner = Owner()
    server = await loop.create_server(lambda: owner, "127.0.0.1", 0)
    with socket.socket() as other:
        other.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
        other.setblocking(False)
        await loop.sock_connect(other, server.sockets[0].getsockname())
        await asyncio.sleep(0.05)
        try:
            yield owner, other
        finally:
            owner.transport.abort()
            server.close()


async def receive_all(other: socket.socket) -> int:
    """Returns how many bytes arrive until the end of the data."""
    received = 0
    while part := await asyncio.get_running_loop().sock_recv(other, 65_536):
        received += len(part)
    return received


class TestClose:
    """`lingering.close`."""

    async def test_data_is_delivered_to_a_slow_reader(self):
        """Guards against closing before the other end has received all."""
        async with open_connection() as (owner, other):
            owner.transport.write(_DATA)
            task = asyncio.create_task(lingering.close(owner.transport))
            await asyncio.sleep(2.5)
            assert not owner.is_lost.is_set()
            await asyncio.get_running_loop().sock_sendall(other, b"late")
            assert await receive_all(other) == len(_DATA)
            await task

    async def test_connection_ends_when_the_other_end_closes(self):
        """Guards against connections that stay open for nothing."""
        async with open_connection() as (owner, other):
            task = asyncio.create_task(lingering.close(owner.transport))
            assert await receive_all(other) == 0
            other.close()
            await owner.is_lost.wait()
            await task

    async def test_connection_ends_if_the_other_end_stays_open(self):
        """Guards against callers that never close their connections."""
        async with open_connection() as (owner, other):
            await lingering.close(owner.transport)
            await owner.is_lost.wait()
            assert await receive_all(other) == 0


class TestCountUnacknowledged:
    """`lingering.count_unacknowledged`."""

    async def test_unread_data_counts(self):
        """Guards against taking data in the kernel for delivered."""
        async with open_connection() as (owner, other):
            owner.transport.write(_DATA)
            await asyncio.sleep(0.1)
            count = lingering.count_unacknowledged(owner.transport)
            assert 0 < count < len(_DATA)
            owner.transport.write_eof()
            assert await receive_all(other) == len(_DATA)
            await asyncio.sleep(0.2)
            assert lingering.count_unacknowledged(owner.transport) == 0


class TestCloseIdle:
    """`lingering.close_idle`."""

    async def test_crossing_data_is_left_unread(self):
        """Guards against receiving what can't be answered any more."""
        async with open_connection() as (owner, other):
            close_task = asyncio.create_task(
                lingering.close_idle(owner.transport)
            )
            assert await receive_all(other) == 0
            other.send(b"request")
            assert await close_task == len(b"request")
            assert owner.received == b""

    @pytest.mark.parametrize(
        "new_event_loop", [asyncio.new_event_loop, uvloop.new_event_loop]
    )
    def test_other_end_is_told_at_once(self, new_event_loop):
        """Guards against requests that arrive before a delayed end."""

        async def run() -> None:
            async with open_connection() as (owner, other):
                seen = asyncio.get_running_loop().create_future()

                def look() -> None:
                    try:
                        seen.set_result(other.recv(1, socket.MSG_PEEK))
                    except BlockingIOError:
                        seen.set_result(None)

                close_task = asyncio.create_task(
                    lingering.close_idle(owner.transport)
                )
                # Runs at the same turn of the loop, behind the task.
                asyncio.get_running_loop().call_soon(look)
                assert await seen == b""
                other.close()
                await close_task

        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            runner.run(run())

    async def test_connection_ends_with_the_other_end(self):
        """Guards against a stop that waits for connections that have ended."""
        async with open_connection() as (owner, other):
            close_task = asyncio.create_task(
                lingering.close_idle(owner.transport)
            )
            assert await receive_all(other) == 0
            other.close()
            assert await close_task == 0
            await owner.is_lost.wait()

    async def test_unacknowledged_data_is_delivered(self):
        """Guards against a reset that cuts off the last answer."""
        async with open_connection() as (owner, other):
            owner.transport.write(_DATA)
            close_task = asyncio.create_task(
                lingering.close_idle(owner.transport)
            )
            await asyncio.sleep(0.2)
            other.send(b"request")
            assert await receive_all(other) == len(_DATA)
            other.close()
            assert await close_task == 0
