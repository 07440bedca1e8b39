"""Tests of the search for the process behind a connection."""

import asyncio
import contextlib
import os
import sys

from berylweir.soak import origins


class TestFindProcess:
    """The process at the other end of a connection."""

    async def test_process_is_found_by_its_socket(self):
        """Guards against a fault that affects another gateway."""
        async with contextlib.AsyncExitStack() as stack:
            accepted: asyncio.Queue[asyncio.StreamWriter] = asyncio.Queue()
            server = await asyncio.start_server(
                lambda _, writer: accepted.put_nowait(writer), "127.0.0.1", 0
            )
            stack.callback(server.close)
            port = server.sockets[0].getsockname()[1]
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                "import socket\n"
                f"s = socket.create_connection(('127.0.0.1', {port}))\n"
                "s.recv(1)",
            )
            writer = await accepted.get()
            stack.callback(writer.close)
            peer_port = writer.get_extra_info("peername")[1]
            own_id = os.getpid()
            assert (
                origins.find_process(port, peer_port, [own_id, process.pid])
                == process.pid
            )
            assert origins.find_process(port, peer_port, [own_id]) is None
            writer.close()
            await process.wait()
            assert origins.find_process(port, peer_port, [process.pid]) is None
