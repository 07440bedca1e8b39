"""Free TCP ports for the listeners of test deployments."""

import contextlib
import itertools
import os
import socket

_HOST = "127.0.0.1"
# Linux assigns local ports of outgoing connections from 32768 upwards.
_LISTENER_PORTS = range(10_000, 32_768)
_PORTS_PER_PROCESS = 128
_FIRST_PORT = os.getpid() * _PORTS_PER_PROCESS % len(_LISTENER_PORTS)
_NEXT_PORT = itertools.cycle(
    (*_LISTENER_PORTS[_FIRST_PORT:], *_LISTENER_PORTS[:_FIRST_PORT])
)


def free_ports(count: int) -> list[int]:
    """Returns TCP ports of the loopback address that are free now.

    The ports are below the range from which the system assigns local ports to
    outgoing connections, because a connection could use a port of that range
    before the listener starts. Each process starts at an offset that depends
    on its process id and returns each port once, so that deployments that
    start at the same time don't choose the same port.
    """
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            bound = stack.enter_context(socket.socket())
            port = next(_NEXT_PORT)
            with contextlib.suppress(OSError):
                bound.bind((_HOST, port))
                ports.append(port)
    return ports
