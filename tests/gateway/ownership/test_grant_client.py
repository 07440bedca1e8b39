"""Tests of commands to one backend server."""

import asyncio
import contextlib

import pytest

from berylweir.gateway.ownership import grant_client
from berylweir.platform import grants

_GRANT = grants.Grant(0, 9, 5, 2500)
_RELEASE = grants.Release(0, 9, 6)


class ScriptedServer:
    """Answers commands, or sends the answer to a grant once more.

    The copy is sent when the next command arrives, whose own answer never is.
    """

    def __init__(
        self, *, repeats_ids: bool, copies_answers: bool = True
    ) -> None:
        self.connections = 0
        self._repeats_ids = repeats_ids
        self._copies_answers = copies_answers

    async def serve(self, reader, writer):
        """Serves one connection."""
        self.connections += 1
        answer = b""
        with contextlib.suppress(OSError, EOFError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(
                    line.split(": ", 1) for line in head.split("\r\n")[1:-2]
                )
                await reader.readexactly(int(fields["content-length"]))
                if not answer or not self._copies_answers:
                    answer = self._build_answer(fields["request-id"])
                    if "/release" in head and self._copies_answers:
                        continue
                writer.write(answer)
        writer.close()

    def _build_answer(self, request_id: str) -> bytes:
        lines = ["HTTP/1.1 200 OK", "content-length: 0"]
        if self._repeats_ids:
            lines.append(f"request-id: {request_id}")
        return "\r\n".join([*lines, "", ""]).encode()


@contextlib.asynccontextmanager
async def connect(server: ScriptedServer):
    """Yields a client of a server."""
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    client = grant_client.GrantClient("s0", "127.0.0.1", port)
    try:
        yield client
    finally:
        client.close()
        listener.close()


class TestCopiedAnswers:
    """Answers that a server sends once more."""

    @pytest.mark.parametrize("repeats_ids", [True, False])
    async def test_copy_does_not_end_the_wait_for_a_release(self, repeats_ids):
        """Guards against keys that are granted while their owner is at work."""
        server = ScriptedServer(repeats_ids=repeats_ids)
        async with connect(server) as client:
            assert await client.send(_GRANT) == grants.Accepted(None)
            assert await client.send(_RELEASE) == grant_client.NoResponse()

    async def test_copy_is_not_the_answer_to_a_grant(self):
        """Guards against a token that a server seems to have accepted."""
        server = ScriptedServer(repeats_ids=True)
        async with connect(server) as client:
            assert await client.send(_GRANT) == grants.Accepted(None)
            assert await client.send(_GRANT) == grant_client.NoResponse()

    @pytest.mark.parametrize("repeats_ids", [True, False])
    async def test_grants_share_a_connection(self, repeats_ids):
        """Guards against a new connection for each renewal."""
        server = ScriptedServer(repeats_ids=repeats_ids, copies_answers=False)
        async with connect(server) as client:
            for _ in range(3):
                assert await client.send(_GRANT) == grants.Accepted(None)
        assert server.connections == 1
