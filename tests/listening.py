"""A listener for tests that leaves no connection behind."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


@contextlib.asynccontextmanager
async def listen(serve: Serve) -> AsyncIterator[int]:
    """Serves connections on loopback, and yields the TCP port.

    At the end, all connections are aborted and their tasks have ended. A
    `StreamWriter` that is still open when the event loop closes raises an
    error in whichever test the garbage collector runs next.

    Args:
        serve: Serves one connection; it may be cancelled or find the connection
            lost.
    """
    tasks: set[asyncio.Task[None]] = set()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        try:
            with contextlib.suppress(
                asyncio.IncompleteReadError, ConnectionError
            ):
                await serve(reader, writer)
                writer.close()
                await writer.wait_closed()
        finally:
            if not writer.transport.is_closing():
                writer.transport.abort()
            tasks.discard(task)

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()
        for task in tuple(tasks):
            task.cancel()
        if tasks:
            await asyncio.wait(tuple(tasks))
        # Lets the transports close their sockets.
        await asyncio.sleep(0)
