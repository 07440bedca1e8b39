"""Tests of the callers of a soak."""

import asyncio
import time

from berylweir.soak import callers


class StubGateway:
    """Answers requests with given heads, one connection after the other."""

    vm = 0
    instance = 1

    def __init__(self, heads: list[bytes]) -> None:
        self._heads = heads
        self.port = 0
        self.connections: list[int] = []

    def record_answer(self, instance: int) -> None:
        """Takes the place of the record of a gateway."""

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers all requests of a connection, and counts them."""
        self.connections.append(0)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.connections[-1] += 1
                writer.write(
                    self._heads.pop(0)
                    if self._heads
                    else b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                )
        except (OSError, EOFError):
            pass  # The caller has closed the connection.
        finally:
            writer.close()


class TestCaller:
    """How long a caller keeps a connection."""

    async def test_connection_is_used_until_the_gateway_ends_it(self):
        """Guards against a soak whose planned stops meet no connection.

        Neither a refusal nor a failure makes a caller connect again, but a
        response that says so does.
        """
        end = b"Content-Length: 0\r\n\r\n"
        gateway = StubGateway(
            [
                b"HTTP/1.1 503 Service Unavailable\r\n" + end,
                b"HTTP/1.1 502 Bad Gateway\r\n" + end,
                b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + end,
            ]
        )
        server = await asyncio.start_server(gateway.handle, "127.0.0.1", 0)
        gateway.port = server.sockets[0].getsockname()[1]
        caller = callers.Caller("c", gateway, time.monotonic(), "1")
        await caller.run(1.0)
        server.close()
        assert len(gateway.connections) == 2
        assert gateway.connections[0] == 3
        assert gateway.connections[1] == len(caller.exchanges) - 3 > 1
