"""Tests of the proxy that disturbs connections."""

import asyncio
import contextlib

import pytest

from berylweir.soak import models
from berylweir.soak import proxy
from berylweir.standin.fleet import http


class TestLink:
    """The proxy that disturbs connections."""

    @pytest.mark.parametrize("trouble", list(models.Trouble))
    async def test_troubles_end(self, trouble):
        """Guards against a link that stays disturbed."""
        async with contextlib.AsyncExitStack() as stack:

            async def handle(_: http.Request) -> http.Response:
                return http.Response(200, {}, b"whole")

            found = proxy.Link(await http.listen(stack, handle))
            port = await found.listen(stack)

            async def ask() -> bytes:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                writer.write(b"GET / HTTP/1.1\r\n\r\n")
                try:
                    await reader.readuntil(b"\r\n\r\n")
                    return await reader.readexactly(5)
                finally:
                    writer.close()

            assert await ask() == b"whole"
            disturbed = asyncio.create_task(found.disturb(trouble, 0.3))
            await asyncio.sleep(0.01)
            began_s = asyncio.get_running_loop().time()
            if trouble is models.Trouble.RESET:
                with pytest.raises((OSError, asyncio.IncompleteReadError)):
                    await ask()
            else:
                assert await ask() == b"whole"
                assert asyncio.get_running_loop().time() - began_s > 0.2
            await disturbed
            assert await ask() == b"whole"
