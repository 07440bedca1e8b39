"""Tests of the test harness."""

import asyncio

from tests.router import rig


class TestRig:
    """Closing the connections at the end of a test."""

    async def test_ends_after_a_script_that_left_bytes_to_send(self):
        """Guards against aborting a closed transport, which raises."""
        size = 4_000_000

        async def script(stream: rig.Stream) -> None:
            await stream.next_request()
            stream.respond(bytes(size))

        async with rig.Rig(script) as harness:
            reader, writer = await asyncio.open_connection(
                rig.HOST, harness.backend_port
            )
            writer.write(rig.request())
            await rig.read_head(reader)
            await reader.readexactly(size)
            assert await reader.read() == b""
            writer.close()
