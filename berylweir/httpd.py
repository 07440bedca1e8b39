"""Runs uvicorn listeners within an asyncio task.

Signals and logging are left to the process.
"""

import asyncio
from collections.abc import Iterator
import contextlib
import ssl
from typing import Any

import uvicorn

_START_POLL_INTERVAL_S = 0.005


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Does nothing, so that the process keeps its signal handlers."""
        yield

    @property
    def port(self) -> int:
        """The TCP port of the listener."""
        port: int = self.servers[0].sockets[0].getsockname()[1]
        return port

    def close_immediately(self) -> None:
        """Closes the listener and aborts all connections."""
        for listener in getattr(self, "servers", ()):
            listener.close()
        self.abort_connections()

    def abort_connections(self) -> None:
        """Aborts all connections, like the end of the process would."""
        for connection in tuple(self.server_state.connections):
            transport = getattr(connection, "transport", None)
            if transport is not None:
                transport.abort()


async def start(
    stack: contextlib.AsyncExitStack,
    application: Any,
    host: str,
    port: int,
    *,
    shutdown_s: float = 5.0,
    tls: ssl.SSLContext | None = None,
) -> tuple[EmbeddedServer, asyncio.Task[None]]:
    """Starts a listener and waits until it accepts connections.

    Args:
        stack: Stops the listener when the stack is closed.
        application: ASGI application.
        host: IP address to listen on.
        port: TCP port to listen on; 0 selects a free one.
        shutdown_s: Longest time for requests in flight at a shutdown, in
            seconds; fractions are dropped.
        tls: TLS context, or None for no TLS.

    Returns:
        The server, and the task that runs it.

    Raises:
        SystemExit: If the address can't be bound.
    """
    config = uvicorn.Config(
        application,
        host=host,
        port=port,
        http="httptools",
        log_config=None,
        access_log=False,
        lifespan="off",
        server_header=False,
        proxy_headers=False,
        timeout_graceful_shutdown=int(shutdown_s),
    )
    config.load()
    config.ssl = tls
    server = EmbeddedServer(config)
    server_task = asyncio.create_task(server.serve())
    stack.callback(server.close_immediately)
    stack.callback(server_task.cancel)
    while not server.started and not server_task.done():  # noqa: ASYNC110
        # uvicorn offers no event that is set once the server has started.
        await asyncio.sleep(_START_POLL_INTERVAL_S)
    if server_task.done():
        server_task.result()
    return server, server_task
