"""A link between clients and a machine, with a delay and a small window."""

import asyncio
from collections.abc import Coroutine
import contextlib
import socket
from typing import Any

_READ_BYTES = 16_384
# Largest segment on Ethernet. Loopback's are so long that the kernel of the
# machine would buffer megabytes.
_SEGMENT_BYTES = 1460
# Receive buffer of the machine's side; the kernel doubles it.
_KERNEL_BUFFER_BYTES = 8192


class Link:
    """Forwards connections to a machine.

    It delivers all that the machine's kernel has sent before the end of the
    connection, whether that is a close or a reset, and then closes the
    connection of the client.
    """

    def __init__(
        self, address: str, port: int, delay_s: float, window_bytes: int
    ) -> None:
        """Creates a link that doesn't listen yet.

        Args:
            address: Address of the machine.
            port: TCP port of the machine.
            delay_s: Time that data takes one way, in seconds.
            window_bytes: Bytes that may be on the way to the client or not
                acknowledged yet.
        """
        self.port = 0
        self._target = (address, port)
        self._delay_s = delay_s
        self._window_bytes = window_bytes
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self, stack: contextlib.AsyncExitStack) -> None:
        """Listens on 127.0.0.1 until `stack` closes."""
        loop = asyncio.get_running_loop()
        listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        listener.setblocking(False)
        self.port = listener.getsockname()[1]
        stack.callback(listener.close)

        async def accept() -> None:
            while True:
                client, _ = await loop.sock_accept(listener)
                self._start(self._connect(client))

        self._start(accept())

        def cancel() -> None:
            for task in tuple(self._tasks):
                task.cancel()

        stack.callback(cancel)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        machine = socket.socket()
        try:
            for end in (client, machine):
                end.setblocking(False)
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            machine.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES
            )
            machine.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _KERNEL_BUFFER_BYTES
            )
            try:
                await loop.sock_connect(machine, self._target)
            except OSError:
                return
            async with asyncio.TaskGroup() as group:
                up = group.create_task(self._forward(client, machine, None))
                await self._forward(machine, client, self._window_bytes)
                up.cancel()
        finally:
            machine.close()
            client.close()

    async def _forward(
        self, source: socket.socket, target: socket.socket, window: int | None
    ) -> None:
        """Forwards one direction until its end, which it forwards too."""
        loop = asyncio.get_running_loop()
        chunks: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        unacknowledged = 0
        acknowledged = asyncio.Event()

        def acknowledge(size: int) -> None:
            nonlocal unacknowledged
            unacknowledged -= size
            acknowledged.set()

        async def deliver() -> None:
            while True:
                due_s, data = await chunks.get()
                await asyncio.sleep(max(0.0, due_s - loop.time()))
                if not data:
                    with contextlib.suppress(OSError):
                        target.shutdown(socket.SHUT_WR)
                    return
                with contextlib.suppress(OSError):
                    await loop.sock_sendall(target, data)
                loop.call_later(self._delay_s, acknowledge, len(data))

        delivery = asyncio.create_task(deliver())
        try:
            while True:
                while window is not None and unacknowledged >= window:
                    acknowledged.clear()
                    await acknowledged.wait()
                try:
                    data = await loop.sock_recv(source, _READ_BYTES)
                except OSError:
                    data = b""  # What was received before a reset comes first.
                unacknowledged += len(data)
                chunks.put_nowait((loop.time() + self._delay_s, data))
                if not data:
                    await delivery
                    return
        finally:
            delivery.cancel()
