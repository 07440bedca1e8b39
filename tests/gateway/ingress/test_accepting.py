"""Tests of connections that arrive when a gateway stops accepting them."""

import asyncio
import contextlib
import socket
import threading
import time

import pytest
import uvloop

from berylweir.gateway import models
from berylweir.gateway.body_memory import budget
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.forwarding import codec
from berylweir.gateway.ingress import task as ingress
from berylweir.observability import counters
from berylweir.standin import ports
from berylweir.supervision import models as supervision

# How long the event loop is busy when the accepting ends, in seconds.
_BUSY_S = 0.3


class RequestHandler:
    """A handler without a configuration."""

    route_table = None

    def begin_stop(self, stop) -> None:
        """Takes no notice."""


class BusyReader(asyncio.Protocol):
    """Keeps the event loop busy while it reads from sockets."""

    def __init__(self, is_busy: threading.Event) -> None:
        self._is_busy = is_busy

    def data_received(self, data: bytes) -> None:
        """Takes long."""
        self._is_busy.set()
        time.sleep(_BUSY_S)


async def handle(_: exchange.CallerRequest) -> exchange.Answer:
    """Answers a request."""
    return exchange.Answer(200, (), b"")


async def ask_at_the_end() -> bytes:
    """Returns what a caller receives that connects while the loop is busy."""
    loop = asyncio.get_running_loop()
    metrics = counters.Counters()
    address = ("127.0.0.1", ports.free_ports(1)[0])
    listener = ingress.Listener(
        ingress.Peer.CALLERS, address, codec.decode_caller_request
    )
    server = ingress.Ingress(
        listener,
        models.Bounds(),
        RequestHandler(),
        handle,
        asyncio.Event(),
        budget.BodyMemory(1_000_000, metrics),
        metrics,
    )
    is_busy = threading.Event()

    def ask() -> bytes:
        is_busy.wait()
        with socket.create_connection(address) as connection:
            connection.sendall(b"GET /r/1 HTTP/1.1\r\nHost: h\r\n\r\n")
            return connection.recv(4096)

    near, far = socket.socketpair()
    near.setblocking(False)
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(far.close)
        context = supervision.ChildContext(stack)
        run_task = loop.create_task(server.run(context))
        transport, _ = await loop.create_connection(
            lambda: BusyReader(is_busy), sock=near
        )
        stack.callback(transport.close)
        await asyncio.sleep(0.05)
        context.stop_event.set()
        # The loop is busy from before the end of the accepting until after it.
        loop.call_later(ingress._ACCEPT_S - _BUSY_S / 2.0, far.send, b"x")
        received = await loop.run_in_executor(None, ask)
        await run_task
    return received


class TestAccepting:
    """The end of accepting connections in a planned stop."""

    @pytest.mark.parametrize(
        "new_event_loop", [asyncio.new_event_loop, uvloop.new_event_loop]
    )
    def test_connection_that_has_arrived_is_served(self, new_event_loop):
        """Guards against resetting connections that carry whole requests."""
        with asyncio.Runner(loop_factory=new_event_loop) as runner:
            received = runner.run(ask_at_the_end())
        assert received.startswith(b"HTTP/1.1 200")
