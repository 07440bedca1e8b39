"""Tests of how a gateway closes connections of callers."""

import asyncio
import contextlib
import socket

from berylweir.standin.gateway_platform import http
from tests.gateway import rig

_BODY = bytes(900_000)
# Smaller than the body, so that the rest waits in the gateway's kernel.
_RECEIVE_BUFFER_BYTES = 16_384


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
        connection = socket.socket()
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        connection.setblocking(False)
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
