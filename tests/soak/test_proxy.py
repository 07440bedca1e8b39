"""Tests of the proxy that injects network faults."""

import asyncio
import contextlib
import socket
import struct

import pytest

from berylweir.soak import models
from berylweir.soak import proxy
from berylweir.standin.gateway_platform import http


class TestFaultProxy:
    """Injection of each kind of network fault."""

    @pytest.mark.parametrize("link_fault", list(models.LinkFault))
    async def test_faults_end(self, link_fault):
        """Guards against a fault that stays active after its duration."""
        async with contextlib.AsyncExitStack() as stack:

            async def handle(_: http.Request) -> http.Response:
                return http.Response(200, {}, b"whole")

            fault_proxy = proxy.FaultProxy(await http.listen(stack, handle))
            port = await fault_proxy.listen(stack)

            async def send_request() -> bytes:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                writer.write(b"GET / HTTP/1.1\r\n\r\n")
                try:
                    await reader.readuntil(b"\r\n\r\n")
                    return await reader.readexactly(5)
                finally:
                    writer.close()

            assert await send_request() == b"whole"
            injection = asyncio.create_task(fault_proxy.inject(link_fault, 0.3))
            await asyncio.sleep(0.01)
            sent_s = asyncio.get_running_loop().time()
            if link_fault in (
                models.LinkFault.RESET,
                models.LinkFault.REFUSE_NEW,
            ):
                with pytest.raises((OSError, asyncio.IncompleteReadError)):
                    await send_request()
            else:
                assert await send_request() == b"whole"
                assert asyncio.get_running_loop().time() - sent_s > 0.2
            await injection
            assert await send_request() == b"whole"

    @pytest.mark.parametrize(
        "link_fault",
        [
            models.LinkFault.SILENT,
            models.LinkFault.RESET,
            models.LinkFault.REFUSE_NEW,
        ],
    )
    async def test_faults_affect_the_given_vms(self, link_fault):
        """Guards against an isolation of gateways that aren't named."""
        async with contextlib.AsyncExitStack() as stack:

            async def handle(_: http.Request) -> http.Response:
                return http.Response(200)

            vms: dict[int, int] = {}
            fault_proxy = proxy.FaultProxy(
                await http.listen(stack, handle),
                lambda _, remote_port: vms.get(remote_port),
            )
            port = await fault_proxy.listen(stack)

            async def is_answered(sock: socket.socket) -> bool:
                loop = asyncio.get_running_loop()
                try:
                    await loop.sock_sendall(sock, b"GET / HTTP/1.1\r\n\r\n")
                    async with asyncio.timeout(0.2):
                        return bool(await loop.sock_recv(sock, 1000))
                except (OSError, TimeoutError):
                    return False

            async def connect(vm: int) -> socket.socket:
                sock = socket.socket()
                stack.callback(sock.close)
                sock.bind(("127.0.0.1", 0))
                vms[sock.getsockname()[1]] = vm
                sock.setblocking(False)
                await asyncio.get_running_loop().sock_connect(
                    sock, ("127.0.0.1", port)
                )
                return sock

            open_sockets = [await connect(vm) for vm in (0, 1)]
            for sock in open_sockets:
                assert await is_answered(sock)
            injection = asyncio.create_task(
                fault_proxy.inject(link_fault, 60.0, (1,))
            )
            await asyncio.sleep(0.01)
            new_sockets = [await connect(vm) for vm in (0, 1)]
            answered = [
                await is_answered(s) for s in (*open_sockets, *new_sockets)
            ]
            is_open_kept = link_fault is models.LinkFault.REFUSE_NEW
            assert answered == [True, is_open_kept, True, False]
            injection.cancel()

    async def test_held_up_data_of_a_reset_connection_is_lost(self):
        """Guards against requests that the platform's network doesn't deliver.

        Bytes that a partition holds up are lost if their sender resets the
        connection, and a keeper relies on that for its grants.
        """
        arrived: list[http.Request] = []
        async with contextlib.AsyncExitStack() as stack:

            async def handle(request: http.Request) -> http.Response:
                arrived.append(request)
                return http.Response(200)

            fault_proxy = proxy.FaultProxy(await http.listen(stack, handle))
            port = await fault_proxy.listen(stack)
            injection = asyncio.create_task(
                fault_proxy.inject(models.LinkFault.SILENT, 0.3)
            )
            await asyncio.sleep(0.01)
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET / HTTP/1.1\r\n\r\n")
            await writer.drain()
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            writer.transport.abort()
            await injection
            await asyncio.sleep(0.1)
            assert arrived == []
