"""HTTP/1.1 server on loopback that can send faulty responses."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import urllib.parse


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A complete request.

    Attributes:
        method: HTTP method.
        path: Path, with percent-encoding decoded.
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
    """A response, complete or faulty.

    Attributes:
        status: HTTP status; 0 resets the connection without a response.
        headers: Headers.
        body: The body.
        is_truncated: Whether the connection is reset after half of the body.
        is_head_truncated: Whether the connection is closed within the last
            header.
        ends_with_connection: Whether the end of the connection ends the body,
            without a `Content-Length`.
        trailing_bytes: Bytes that are sent after the response.
        repeats_body: Whether the body is sent again and again in chunks, until
            the peer closes the connection.
        comes_again: Whether a copy of it is sent once the next request has
            arrived on the connection, before the response to that one.
    """

    status: int = 200
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    is_truncated: bool = False
    is_head_truncated: bool = False
    ends_with_connection: bool = False
    trailing_bytes: bytes = b""
    repeats_body: bool = False
    comes_again: bool = False


Handler = Callable[[Request], Awaitable[Response]]


async def listen(
    stack: contextlib.AsyncExitStack, handler: Handler, port: int = 0
) -> int:
    """Serves requests on loopback until `stack` closes.

    Args:
        stack: Closes the listener and all connections.
        handler: Returns the response to each request.
        port: TCP port; 0 for one that the system chooses.

    Returns:
        The TCP port.
    """
    tasks: set[asyncio.Task[None] | None] = set()

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        tasks.add(task)
        copies: list[bytes] = []
        try:
            while await _serve_one(reader, writer, handler, copies):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer closed the connection, or `stack` is closing.
        finally:
            tasks.discard(task)
            writer.transport.abort()

    server = await asyncio.start_server(serve_connection, "127.0.0.1", port)

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
    copies: list[bytes],
) -> bool:
    """Serves one request; returns whether the connection stays open.

    Args:
        reader: Reads from the connection.
        writer: Writes to the connection.
        handler: Returns the response.
        copies: Earlier responses to send once more. The response is added if
            it comes again.
    """
    request_head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *lines = request_head.split("\r\n")
    method, target, _ = request_line.split(" ", 2)
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    url = urllib.parse.urlsplit(target)
    query = dict(urllib.parse.parse_qsl(url.query))
    path = urllib.parse.unquote(url.path)
    writer.writelines(copies)
    copies.clear()
    response = await handler(Request(method, path, query, headers, body))
    if response.status == 0:
        writer.transport.abort()
        return False
    head_lines = [f"HTTP/1.1 {response.status} -\r\n"]
    head_lines += [f"{n}: {v}\r\n" for n, v in response.headers.items()]
    if response.repeats_body:
        head_lines.append("transfer-encoding: chunked\r\n")
    elif not response.ends_with_connection:
        head_lines.append(f"content-length: {len(response.body)}\r\n")
    head = "".join(head_lines).encode("latin-1")
    if response.is_head_truncated:
        writer.write(head[: -len(head_lines[-1]) // 2])
        await writer.drain()
        writer.close()
        return False
    writer.write(head + b"\r\n")
    while response.repeats_body:
        writer.write(b"%x\r\n%b\r\n" % (len(response.body), response.body))
        await writer.drain()
    if response.comes_again:
        copies.append(head + b"\r\n" + response.body)
    body_sent = response.body
    if response.is_truncated:
        body_sent = body_sent[: len(body_sent) // 2]
    writer.write(body_sent + response.trailing_bytes)
    await writer.drain()
    if response.is_truncated:
        writer.transport.abort()
        return False
    return not response.ends_with_connection
