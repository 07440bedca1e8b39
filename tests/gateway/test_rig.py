"""Tests of the deployment that other tests run."""

import asyncio

from tests import listening
from tests.gateway import rig


class TestConnections:
    """Connections that a test leaves open when it fails.

    A `StreamWriter` that is still open when its event loop closes raises an
    error in whichever test the garbage collector runs next.
    """

    async def test_callers_are_disconnected_at_the_end(self):
        """Guards against an error in a test that hasn't failed."""
        async with rig.Rig() as deployment:
            await deployment.configure({"books": False}, [])
            gateway = await deployment.add_gateway()
            caller = await gateway.connect()
        assert caller.writer.transport.is_closing()

    async def test_unanswered_readiness_check_is_closed(self):
        """Guards against a check that stays open when its test gives up."""
        is_open, is_closed = asyncio.Event(), asyncio.Event()

        async def serve(
            reader: asyncio.StreamReader, _: asyncio.StreamWriter
        ) -> None:
            is_open.set()
            await reader.read()
            is_closed.set()

        async with listening.listen(serve) as port, asyncio.timeout(10.0):
            check = asyncio.create_task(rig.is_ready(("127.0.0.1", port)))
            await is_open.wait()
            check.cancel()
            await is_closed.wait()
