"""TCP proxy on loopback that injects network faults."""

import asyncio
import contextlib
import socket
import struct

from berylweir.soak import models

_READ_BYTES = 65_536
# Delay of each chunk read while `LinkFault.DELAY` is active.
_CHUNK_DELAY_S = 0.3
# SO_LINGER on with a time of 0: closing the socket sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class FaultProxy:
    """Forwards connections to one port, with the faults that are active."""

    def __init__(self, port: int) -> None:
        """Creates a proxy that doesn't listen yet.

        Args:
            port: TCP port on loopback to forward connections to.
        """
        self._target_port = port
        self._active_faults: list[models.LinkFault] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._no_faults_event = asyncio.Event()
        self._no_faults_event.set()

    async def listen(self, stack: contextlib.AsyncExitStack) -> int:
        """Listens until `stack` closes; returns the TCP port to connect to."""
        server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0
        )
        stack.callback(self._reset_connections)
        stack.callback(server.close)
        address: tuple[str, int] = server.sockets[0].getsockname()
        return address[1]

    async def inject(self, fault: models.LinkFault, duration_s: float) -> None:
        """Keeps a fault active for a time.

        Several faults may be active at the same time.

        Args:
            fault: Fault to inject.
            duration_s: How long it is active, in seconds.
        """
        self._active_faults.append(fault)
        self._no_faults_event.clear()
        if fault is models.LinkFault.RESET:
            self._reset_connections()
        try:
            await asyncio.sleep(duration_s)
        finally:
            self._active_faults.remove(fault)
            if not self._active_faults:
                self._no_faults_event.set()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            if models.LinkFault.RESET in self._active_faults:
                return
            upstream = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
            self._writers.add(upstream[1])
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._forward(reader, upstream[1], is_response=False)
                    )
                    group.create_task(
                        self._forward(upstream[0], writer, is_response=True)
                    )
            finally:
                self._reset_connection(upstream[1])
        except* (OSError, asyncio.CancelledError):
            pass  # Either peer has closed or reset the connection.
        finally:
            self._reset_connection(writer)

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_response: bool,
    ) -> None:
        """Forwards one direction of a connection until its end.

        Data that is held back is lost if its sender resets the connection.

        Raises:
            ConnectionResetError: At the end, so that the task group cancels
                the other direction and both sockets are closed.
        """
        while data := await reader.read(_READ_BYTES):
            await self._apply_faults(is_response=is_response)
            if reader.exception() is not None:
                break  # Its sender has reset the connection meanwhile.
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError

    async def _apply_faults(self, *, is_response: bool) -> None:
        """Waits while data is delayed or held back.

        Data that is held back waits until no fault of any kind is active.
        """
        if models.LinkFault.DELAY in self._active_faults:
            await asyncio.sleep(_CHUNK_DELAY_S)
        while models.LinkFault.SILENT in self._active_faults or (
            is_response and models.LinkFault.ONE_WAY in self._active_faults
        ):
            await self._no_faults_event.wait()

    def _reset_connections(self) -> None:
        for writer in tuple(self._writers):
            self._reset_connection(writer)

    def _reset_connection(self, writer: asyncio.StreamWriter) -> None:
        """Closes a connection with a reset, unless that is done already."""
        if writer not in self._writers:
            return
        self._writers.discard(writer)
        raw_socket = writer.get_extra_info("socket")
        if raw_socket is not None and raw_socket.fileno() >= 0:
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            writer.transport.abort()
