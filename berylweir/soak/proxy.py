"""TCP proxy on loopback that injects network faults."""

import asyncio
from collections.abc import Callable
from collections.abc import Container
import contextlib
import dataclasses
import socket
import struct
import time

from berylweir.soak import models
from berylweir.standin import ports

_READ_BYTES = 65_536
# Delay of each chunk read while `LinkFault.DELAY` is active.
_CHUNK_DELAY_S = 0.3
# SO_LINGER on with a time of 0: closing the socket sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


# Finds the VM that has opened a connection, by the proxy's port and the VM's.
FindVm = Callable[[int, int], int | None]


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class _ActiveFault:
    link_fault: models.LinkFault
    vms: Container[int] | None

    def affects(self, vm: int | None) -> bool:
        """Returns whether it affects the connections of a VM."""
        return self.vms is None or (vm is not None and vm in self.vms)


class FaultProxy:
    """Forwards connections to one port, with the faults that are active."""

    def __init__(
        self, port: int, find_vm: FindVm = lambda local, remote: None
    ) -> None:
        """Creates a proxy that doesn't listen yet.

        Args:
            port: TCP port on loopback to forward connections to.
            find_vm: Finds the VM that has opened a connection.
        """
        self._target_port = port
        self._find_vm = find_vm
        self._active_faults: list[_ActiveFault] = []
        self._past_faults: list[models.LinkDisruption] = []
        # The sockets of both sides of each connection, with its VM.
        self._writers: dict[asyncio.StreamWriter, int | None] = {}
        self._fault_end_event = asyncio.Event()
        self._listener: asyncio.Server | None = None
        self._port = 0

    @property
    def past_faults(self) -> list[models.LinkDisruption]:
        """Faults that have ended."""
        return self._past_faults

    async def listen(self, stack: contextlib.AsyncExitStack) -> int:
        """Listens until `stack` closes; returns the TCP port to connect to."""
        self._port = ports.free_ports(1)[0]
        await self._start_listening()
        stack.callback(self._stop_listening)
        return self._port

    async def refuse(self, duration_s: float) -> None:
        """Resets all connections, and refuses new ones for a time.

        That is what the end of the process behind the proxy looks like.

        Args:
            duration_s: How long connections are refused, in seconds.
        """
        start_s = time.monotonic()
        self._stop_listening()
        await asyncio.sleep(duration_s)
        await self._start_listening()
        self._past_faults.append(
            models.LinkDisruption(start_s, time.monotonic(), None)
        )

    async def _start_listening(self) -> None:
        self._listener = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", self._port
        )

    def _stop_listening(self) -> None:
        if self._listener is not None:
            self._listener.close()
        self._reset_connections()

    async def inject(
        self,
        link_fault: models.LinkFault,
        duration_s: float,
        vms: Container[int] | None = None,
    ) -> None:
        """Keeps a fault active for a time.

        Several faults may be active at the same time.

        Args:
            link_fault: Fault to inject.
            duration_s: How long it is active, in seconds.
            vms: VMs whose connections it affects; None for all connections.
        """
        fault = _ActiveFault(link_fault, vms)
        self._active_faults.append(fault)
        start_s = time.monotonic()
        if link_fault is models.LinkFault.RESET:
            for writer, vm in tuple(self._writers.items()):
                if fault.affects(vm):
                    self._reset_connection(writer)
        try:
            await asyncio.sleep(duration_s)
        finally:
            self._active_faults.remove(fault)
            self._past_faults.append(
                models.LinkDisruption(start_s, time.monotonic(), vms)
            )
            self._fault_end_event.set()
            self._fault_end_event = asyncio.Event()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers[writer] = None
        try:
            # Finding the process of a connection takes long while the system
            # has many connections.
            vm = await asyncio.to_thread(self._find_peer, writer)
            self._writers[writer] = vm
            if self._is_active(
                vm, models.LinkFault.RESET, models.LinkFault.REFUSE_NEW
            ):
                return
            upstream = await asyncio.open_connection(
                "127.0.0.1", self._target_port
            )
            self._writers[upstream[1]] = vm
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._forward(
                            reader, upstream[1], vm, is_response=False
                        )
                    )
                    group.create_task(
                        self._forward(upstream[0], writer, vm, is_response=True)
                    )
            finally:
                self._reset_connection(upstream[1])
        except* (OSError, asyncio.CancelledError):
            pass  # Either peer has closed or reset the connection.
        finally:
            self._reset_connection(writer)

    def _find_peer(self, writer: asyncio.StreamWriter) -> int | None:
        """Returns the VM that has opened a connection, if that is known."""
        local_address = writer.get_extra_info("sockname")
        peer_address = writer.get_extra_info("peername")
        if peer_address is None:
            return None  # The connection was reset already.
        return self._find_vm(local_address[1], peer_address[1])

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        vm: int | None,
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
            await self._apply_faults(vm, is_response=is_response)
            if reader.exception() is not None:
                break  # Its sender has reset the connection meanwhile.
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError

    async def _apply_faults(self, vm: int | None, *, is_response: bool) -> None:
        """Waits while data is delayed or held back.

        Data that is held back waits until no fault of any kind affects the VM.
        """
        if self._is_active(vm, models.LinkFault.DELAY):
            await asyncio.sleep(_CHUNK_DELAY_S)
        while self._is_active(vm, models.LinkFault.SILENT) or (
            is_response and self._is_active(vm, models.LinkFault.ONE_WAY)
        ):
            while any(fault.affects(vm) for fault in self._active_faults):
                await self._fault_end_event.wait()

    def _is_active(
        self, vm: int | None, *link_faults: models.LinkFault
    ) -> bool:
        """Returns whether one of some faults affects a VM's connections."""
        return any(
            fault.link_fault in link_faults and fault.affects(vm)
            for fault in self._active_faults
        )

    def _reset_connections(self) -> None:
        for writer in tuple(self._writers):
            self._reset_connection(writer)

    def _reset_connection(self, writer: asyncio.StreamWriter) -> None:
        """Closes a connection with a reset, unless that is done already."""
        if writer not in self._writers:
            return
        del self._writers[writer]
        raw_socket = writer.get_extra_info("socket")
        if raw_socket is not None and raw_socket.fileno() >= 0:
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            writer.transport.abort()
