"""A loopback proxy that disturbs what it carries."""

import asyncio
import contextlib
import socket
import struct

from berylweir.soak import models

_READ_BYTES = 65_536
# How long a disturbed link holds bytes back, in seconds.
_DELAY_S = 0.3
# struct linger: on, for no time.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Link:
    """Forwards connections to one address, well or badly."""

    def __init__(self, port: int) -> None:
        """Creates a link to a TCP port on loopback."""
        self._target = port
        self._troubles: list[models.Trouble] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._clear = asyncio.Event()
        self._clear.set()

    async def listen(self, stack: contextlib.AsyncExitStack) -> int:
        """Forwards until `stack` closes; returns the port to connect to."""
        server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        stack.callback(self._cut)
        stack.callback(server.close)
        address: tuple[str, int] = server.sockets[0].getsockname()
        return address[1]

    async def disturb(self, trouble: models.Trouble, for_s: float) -> None:
        """Disturbs the link for a time, in seconds; troubles may overlap."""
        self._troubles.append(trouble)
        self._clear.clear()
        if trouble is models.Trouble.RESET:
            self._cut()
        try:
            await asyncio.sleep(for_s)
        finally:
            self._troubles.remove(trouble)
            if not self._troubles:
                self._clear.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if models.Trouble.RESET in self._troubles:
                return
            there = await asyncio.open_connection("127.0.0.1", self._target)
            self._writers.add(there[1])
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._carry(reader, there[1], is_answer=False)
                    )
                    group.create_task(
                        self._carry(there[0], writer, is_answer=True)
                    )
            finally:
                self._end(there[1])
        except* (OSError, asyncio.CancelledError):
            pass  # either end has gone
        finally:
            self._end(writer)

    async def _carry(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            await self._hold_back(is_answer=is_answer)
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError

    async def _hold_back(self, *, is_answer: bool) -> None:
        if models.Trouble.DELAY in self._troubles:
            await asyncio.sleep(_DELAY_S)
        while models.Trouble.SILENT in self._troubles or (
            is_answer and models.Trouble.ONE_WAY in self._troubles
        ):
            await self._clear.wait()

    def _cut(self) -> None:
        for writer in tuple(self._writers):
            self._end(writer)

    def _end(self, writer: asyncio.StreamWriter) -> None:
        if writer not in self._writers:
            return
        self._writers.discard(writer)
        found = writer.get_extra_info("socket")
        if found is not None and found.fileno() >= 0:
            found.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            writer.transport.abort()
