"""Tests of the callers that pipeline requests."""

import asyncio
import contextlib
import time

from berylweir.soak import models
from berylweir.soak import pipelining_callers

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
_LAST_ANSWER = (
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class StubGateway:
    """Waits for some requests on each connection, then answers them.

    Attributes:
        port: TCP port for callers.
        connections: Number of requests that arrived on each connection.
    """

    vm = 0
    instance = 1

    def __init__(self, held: int, answer: bytes) -> None:
        self._held = held
        self._answer = answer
        self.port = 0
        self.connections: list[int] = []

    def record_answer(self, instance: int) -> None:
        """Takes the place of the record of a gateway."""

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers requests once enough of them have arrived."""
        self.connections.append(0)
        number = len(self.connections) - 1
        with contextlib.closing(writer):
            try:
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    self.connections[number] += 1
                    if self.connections[number] == self._held:
                        writer.write(self._held * self._answer)
                    elif self.connections[number] > self._held:
                        writer.write(self._answer)
            except (OSError, EOFError):
                pass  # The caller has closed the connection.


async def run_caller(
    gateway: StubGateway, seconds: float
) -> pipelining_callers.PipeliningCaller:
    """Has a caller send requests to a stub."""
    server = await asyncio.start_server(gateway.handle, "127.0.0.1", 0)
    gateway.port = server.sockets[0].getsockname()[1]
    caller = pipelining_callers.PipeliningCaller(
        "c", gateway, time.monotonic(), "1"
    )
    await caller.run(seconds)
    server.close()
    return caller


class TestPipeliningCaller:
    """When a caller sends requests, and when it leaves."""

    async def test_requests_are_sent_before_the_first_answer(self):
        """Guards against a soak without pipelined requests."""
        gateway = StubGateway(2, _ANSWER)
        caller = await run_caller(gateway, 1.0)
        assert any(e.requests_ahead for e in caller.exchanges)
        assert sum(gateway.connections) == len(caller.exchanges)

    async def test_caller_leaves_at_the_shortest_deadline(self):
        """Guards against callers that wait longer than clients may."""
        caller = await run_caller(StubGateway(1000, _ANSWER), 1.0)
        ends = {e.exchange.ended_s for e in caller.exchanges}
        deadline_s = min(e.deadline_s for e in caller.exchanges)
        assert {e.end for e in caller.exchanges} == {
            models.RequestEnd.LEFT_BY_CALLER
        }
        assert min(ends) >= deadline_s
        assert len({e.deadline_s for e in caller.exchanges}) > 1

    async def test_announced_close_ends_the_requests_behind(self):
        """Guards against callers that wait for answers that can't come."""
        gateway = StubGateway(2, _LAST_ANSWER)
        caller = await run_caller(gateway, 1.0)
        ends = {e.end for e in caller.exchanges}
        assert models.RequestEnd.ANSWERED in ends
        assert models.RequestEnd.CLOSED_BY_GATEWAY in ends
        assert len(gateway.connections) > 1
