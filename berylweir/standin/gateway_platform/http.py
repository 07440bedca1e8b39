"""A small HTTP/1.1 server for stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import urllib.parse


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that has arrived whole.

    Attributes:
        method: HTTP method.
        path: Path, decoded.
        query: Query parameters.
        headers: Headers with names in lower case.
        body: The body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response, or a fault in place of one.

    Attributes:
        status: HTTP status.
        headers: Headers.
        body: The body.
        is_cut: Whether the connection is reset after half of the body; with
            status 0 nothing is sent before.
        is_unframed: Whether the body ends with the connection, unstated.
        extra: Bytes that follow the response.
    """

    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_cut: bool = False
    is_unframed: bool = False
    extra: bytes = b""


Handler = Callable[[Request], Awaitable[Response]]


async def listen(
    stack: contextlib.AsyncExitStack, handler: Handler, port: int = 0
) -> int:
    """Serves on loopback until `stack` closes; returns the port."""
    tasks: set[asyncio.Task[None] | None] = set()

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        tasks.add(task)
        try:
            while await _serve_one(reader, writer, handler):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the other end has gone, or the stand-in is closed
        finally:
            tasks.discard(task)
            writer.transport.abort()

    server = await asyncio.start_server(connected, "127.0.0.1", port)

    def close() -> None:
        server.close()
        for task in tuple(tasks):
            if task is not None:
                task.cancel()

    stack.callback(close)
    address: tuple[str, int] = server.sockets[0].getsockname()
    return address[1]


async def _serve_one(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handler: Handler,
) -> bool:
    """Serves a request; returns whether another may follow."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    parts = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(parts.query))
    path = urllib.parse.unquote(parts.path)
    response = await handler(Request(method, path, query, headers, body))
    if response.status == 0:
        writer.transport.abort()
        return False
    out = [f"HTTP/1.1 {response.status} -\r\n"]
    out += [f"{n}: {v}\r\n" for n, v in response.headers.items()]
    if not response.is_unframed:
        out.append(f"content-length: {len(response.body)}\r\n")
    writer.write("".join(out).encode("latin-1") + b"\r\n")
    sent = response.body
    if response.is_cut:
        sent = sent[: len(sent) // 2]
    writer.write(sent + response.extra)
    await writer.drain()
    if response.is_cut:
        writer.transport.abort()
        return False
    return not response.is_unframed
