"""HTTP/1.1 on loopback for the stand-ins of the second review.

It uses the standard library only, so that nothing has to be installed.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import socket
import urllib.parse

# Longest head of a request or a response, in bytes.
_MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class Request:
    """A request that was received as a whole.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        query: Query parameters.
        headers: Headers with names in lower case.
        body: The body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Response:
    """A response with a stated length.

    Attributes:
        status: HTTP status.
        headers: Headers.
        body: The body.
        break_after: Number of bytes of the body after which the connection
            is closed; None to send all of it.
    """

    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    break_after: int | None = None


Handler = Callable[[Request], Awaitable[Response]]


def free_address(host: str, count: int) -> list[int]:
    """Returns TCP ports of a loopback address that are free now.

    Args:
        host: The address.
        count: Number of ports.
    """
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for bound in sockets:
            bound.bind((host, 0))
        return [int(bound.getsockname()[1]) for bound in sockets]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers of a message.

    Raises:
        EOFError: The connection has ended.
        OSError: The connection was reset.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


class Listener:
    """Serves requests at one loopback address."""

    def __init__(self, handler: Handler) -> None:
        """Creates a listener that doesn't listen yet.

        Args:
            handler: Returns the response to each request.
        """
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.host = ""
        self.port = 0

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> int:
        """Listens, and returns the port.

        Args:
            host: Loopback address.
            port: TCP port; 0 for one that the system chooses.
        """
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=_MAX_HEAD_BYTES
        )
        self.host, self.port = self._server.sockets[0].getsockname()[:2]
        return self.port

    def stop(self) -> None:
        """Ends the listener and its connections."""
        if self._server is not None:
            self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, EOFError, asyncio.CancelledError):
            pass  # The other end has closed, or the listener stops.
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns whether the connection stays open."""
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ", 2)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        url = urllib.parse.urlsplit(target)
        response = await self._handler(
            Request(
                method,
                urllib.parse.unquote(url.path),
                dict(urllib.parse.parse_qsl(url.query)),
                headers,
                body,
            )
        )
        lines = [f"HTTP/1.1 {response.status} -\r\n"]
        lines += [f"{n}: {v}\r\n" for n, v in response.headers.items()]
        lines.append(f"Content-Length: {len(response.body)}\r\n\r\n")
        writer.write("".join(lines).encode("latin-1"))
        writer.write(response.body[: response.break_after])
        await writer.drain()
        return response.break_after is None
