"""Free TCP ports for the listeners of test deployments."""

import atexit
import collections
from collections.abc import Iterator
import contextlib
import os
import socket

_HOST = "127.0.0.1"
# Linux assigns local ports of outgoing connections from 32768 upwards.
_LISTENER_PORTS = range(10_000, 32_768)
_PORTS_PER_BLOCK = 128
_BLOCKS = tuple(
    _LISTENER_PORTS[first : first + _PORTS_PER_BLOCK]
    for first in range(0, len(_LISTENER_PORTS), _PORTS_PER_BLOCK)
)
# Newest blocks that a process keeps for itself. Listeners on ports of earlier
# ones have started by then.
_MAX_RESERVED_BLOCKS = 8


class PortAllocator:
    """Gives out ports from blocks that no other process uses meanwhile.

    A port is free until its listener starts, so another process could choose it
    too. Each block is therefore reserved by a UDP socket on its first port.
    """

    def __init__(self) -> None:
        """Creates an allocator without a block."""
        self._next_block = os.getpid() % len(_BLOCKS)
        self._reservations: collections.deque[socket.socket] = (
            collections.deque()
        )
        self._ports: Iterator[int] = iter(())

    def take(self) -> int:
        """Returns the next port; the listener may still find it in use.

        Raises:
            OSError: All blocks are in use by other processes.
        """
        for port in self._ports:
            return port
        self._reserve_block()
        return next(self._ports)

    def _reserve_block(self) -> None:
        for _ in _BLOCKS:
            block = _BLOCKS[self._next_block]
            self._next_block = (self._next_block + 1) % len(_BLOCKS)
            reservation = socket.socket(type=socket.SOCK_DGRAM)
            try:
                reservation.bind((_HOST, block[0]))
            except OSError:
                reservation.close()
                continue
            self._reservations.append(reservation)
            if len(self._reservations) > _MAX_RESERVED_BLOCKS:
                self._reservations.popleft().close()
            self._ports = iter(block)
            return
        raise OSError("all blocks of listener ports are in use")

    def close(self) -> None:
        """Gives up all blocks."""
        while self._reservations:
            self._reservations.pop().close()


_ALLOCATOR = PortAllocator()
atexit.register(_ALLOCATOR.close)


def free_ports(count: int) -> list[int]:
    """Returns TCP ports of the loopback address that are free now.

    The ports are below the range from which the system assigns local ports to
    outgoing connections, because a connection could use a port of that range
    before the listener starts.
    """
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            bound = stack.enter_context(socket.socket())
            port = _ALLOCATOR.take()
            with contextlib.suppress(OSError):
                bound.bind((_HOST, port))
                ports.append(port)
    return ports
