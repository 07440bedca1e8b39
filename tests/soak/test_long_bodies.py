"""Tests of long bodies in a soak, and of the check of the memory."""

import asyncio
import contextlib
import os
import types

import pytest

from berylweir.soak import long_bodies
from berylweir.soak import models


class TestMemoryCheck:
    """What counts as too much memory."""

    @pytest.mark.parametrize(("limit_mb", "violations"), [(1, 1), (10**6, 0)])
    async def test_process_above_its_limit(
        self, monkeypatch, limit_mb, violations
    ):
        """Guards against a check that never fails, or always."""
        monkeypatch.setattr(long_bodies, "MEMORY_LIMIT_MB", limit_mb)
        gateway = types.SimpleNamespace(vm=0, instance=1, pid=os.getpid())
        check = long_bodies.MemoryCheck([gateway])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.2):
                await check.run()
        assert len(check.violations) == violations


class TestSend:
    """What arrives at a gateway."""

    @pytest.mark.parametrize("direction", models.BodyDirection)
    async def test_bodies_are_sent_at_the_same_time(self, direction):
        """Guards against a class that sends nothing."""
        heads: list[bytes] = []

        async def handle(reader, writer) -> None:
            with contextlib.suppress(OSError, EOFError):
                heads.append(await reader.readuntil(b"\r\n\r\n"))
                await reader.read()
            writer.close()

        listener = await asyncio.start_server(handle, "127.0.0.1", 0)
        gateway = types.SimpleNamespace(
            vm=0, instance=1, port=listener.sockets[0].getsockname()[1]
        )
        await long_bodies.send(gateway, models.LongBodies(0, direction, 4, 0.5))
        listener.close()
        assert len(heads) == 4
        is_upload = direction is models.BodyDirection.UPLOAD
        assert sum(b"chunked" in head for head in heads) == 2 * is_upload
        assert sum(b"Content-Length" in head for head in heads) == 2 * is_upload
