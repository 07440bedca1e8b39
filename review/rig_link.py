"""A loopback proxy that delays single requests on their way to the store."""

import asyncio
from collections.abc import Callable
import contextlib

_READ_BYTES = 65_536


class Link:
    """Forwards connections to one loopback port."""

    def __init__(
        self, port: int, choose_delay_s: Callable[[bytes], float]
    ) -> None:
        """Creates a link that doesn't listen yet.

        Args:
            port: TCP port of the other end.
            choose_delay_s: Returns by how much bytes of the calling side are
                delayed, in seconds.
        """
        self._port = port
        self._choose_delay_s = choose_delay_s
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Listens, and returns the port."""
        self._server = await asyncio.start_server(self._connect, "127.0.0.1", 0)
        return int(self._server.sockets[0].getsockname()[1])

    def stop(self) -> None:
        """Ends the listener and its connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", self._port
            )
            try:
                directions = [
                    asyncio.create_task(self._send(reader, far_writer)),
                    asyncio.create_task(self._answer(far_reader, writer)),
                ]
                try:
                    await asyncio.wait(
                        directions, return_when=asyncio.FIRST_COMPLETED
                    )
                finally:
                    for direction in directions:
                        direction.cancel()
            finally:
                far_writer.close()
        except (OSError, asyncio.CancelledError):
            pass  # An end has closed, or the link stops.
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                delay_s = self._choose_delay_s(data)
                if delay_s > 0.0:
                    await asyncio.sleep(delay_s)
                writer.write(data)
                await writer.drain()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                writer.write(data)
                await writer.drain()
