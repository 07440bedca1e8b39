"""Tests of servers that send an earlier rejection once more."""

import asyncio
import contextlib

import pytest

from berylweir.standin.gateway_platform import server as server_standin
from tests.gateway import rig as rigs


class RepeatingServer:
    """Rejects the first request of each connection, and repeats that later.

    Attributes:
        executions: Ids of the requests that it executed.
    """

    def __init__(self, *, states_id: bool) -> None:
        self.executions: list[str] = []
        self._states_id = states_id
        self._responses = server_standin.Server("s1")

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection until the peer closes it."""
        rejection = b""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.lower().split("\r\n")
                (request_id,) = (
                    line.removeprefix("request-id: ")
                    for line in lines
                    if line.startswith("request-id: ")
                )
                if not rejection:
                    stated = f"Request-Id: {request_id}\r\n"
                    rejection = (
                        "HTTP/1.1 503 Full\r\nNot-Run: 1\r\n"
                        f"{stated if self._states_id else ''}"
                        "Content-Length: 0\r\n\r\n"
                    ).encode()
                    writer.write(rejection)
                    continue
                writer.write(rejection)
                self.executions.append(request_id)
                await asyncio.sleep(0.05)
                path = head.split(" ")[1]
                response = self._responses.build_response(request_id, path)
                writer.write(
                    b"HTTP/1.1 200 OK\r\n"
                    + b"".join(
                        f"{n}: {v}\r\n".encode()
                        for n, v in response.headers.items()
                    )
                    + b"Content-Length: %d\r\n\r\n" % len(response.body)
                    + response.body
                )
        writer.close()


class TestRepeatedRejection:
    """Rejections that arrive again while a server runs a request."""

    @pytest.mark.parametrize("kind", ["safe", "unsafe"])
    @pytest.mark.parametrize("states_id", [True, False])
    async def test_caller_is_told_that_a_running_request_has_not_run(
        self, kind, states_id
    ):
        """Guards against a retry or a 503 for a request that has run."""
        repeating = RepeatingServer(states_id=states_id)
        async with rigs.Rig() as rig, contextlib.AsyncExitStack() as stack:
            server = await asyncio.start_server(repeating.serve, "127.0.0.1", 0)
            stack.callback(server.close)
            # Requests wait while the gateway backs off from the server.
            route = rigs.route(
                "r", "g", kind=kind, attempts=3, timeout_ms=9000, goal_ms=8000
            )
            await rig.configure({"g": False}, [route])
            port = server.sockets[0].getsockname()[1]
            await rig.store.put(
                "servers", "s1", server_standin.server_spec("s1", "g", port)
            )
            gateway = await rig.add_gateway()
            refused = set()
            for number in range(4):
                request_id = f"a{number}"
                reply = await gateway.ask("/r/x", request_id, deadline_ms=9000)
                if reply.status == 503:
                    refused.add(request_id)
                elif reply.status == 200:
                    assert reply.headers["request-id"] == request_id
            await asyncio.sleep(0.1)
            assert not refused & set(repeating.executions)
            if kind == "unsafe":
                assert len(set(repeating.executions)) == len(
                    repeating.executions
                )
