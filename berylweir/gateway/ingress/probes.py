"""A minimal HTTP server for readiness checks and metrics."""

import asyncio
from collections.abc import Callable
import dataclasses
import http

from berylweir.supervision import models as supervision


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeResponse:
    """Response to a GET request.

    Attributes:
        status: HTTP status code.
        body: Plain text body.
    """

    status: http.HTTPStatus
    body: str = ""


class ProbeServer:
    """Answers GET requests according to their path."""

    def __init__(
        self, address: tuple[str, int], respond: Callable[[str], ProbeResponse]
    ) -> None:
        """Creates a server that doesn't listen yet.

        Args:
            address: Host and port.
            respond: Returns the response for a path.
        """
        self._host, self._port = address
        self._respond = respond
        self._connections: dict[asyncio.Task[None], asyncio.StreamWriter] = {}
        self._is_closed = False

    async def run(self, context: supervision.ChildContext) -> None:
        """Serves requests until the supervisor stops the child."""
        self._is_closed = False
        context.stack.push_async_callback(self._close_connections)
        server = await asyncio.start_server(
            self._handle_connection, self._host, self._port, reuse_address=True
        )
        context.stack.callback(server.close)
        context.report_ready()
        await context.stop_event.wait()

    async def _close_connections(self) -> None:
        """Ends all connections, and waits until their tasks have ended.

        asyncio logs an error for each such task that is cancelled.
        """
        self._is_closed = True
        # Lets the tasks of connections that were just accepted start.
        await asyncio.sleep(0)
        for writer in self._connections.values():
            if writer.transport.get_write_buffer_size():
                writer.transport.abort()
            else:
                writer.close()
        if self._connections:
            await asyncio.wait(tuple(self._connections))

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections[task] = writer
        try:
            while not self._is_closed:
                head = await reader.readuntil(b"\r\n\r\n")
                path = head.split(b" ", 2)[1].decode("latin-1")
                response = self._respond(path)
                body = response.body.encode()
                writer.write(
                    b"HTTP/1.1 %d %b\r\ncontent-type: text/plain\r\n"
                    b"content-length: %d\r\n\r\n%b"
                    % (
                        response.status,
                        response.status.phrase.encode(),
                        len(body),
                        body,
                    )
                )
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            IndexError,
        ):
            pass  # The client repeats its check, so the error can be ignored.
        finally:
            del self._connections[task]
            writer.close()
