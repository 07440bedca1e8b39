"""Stand-in of the platform's clients."""

import asyncio
import dataclasses

HOST = "site.example"


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer as a client has received it.

    Attributes:
        status: HTTP status; 0 if the connection ended without an answer.
        headers: Headers with names in lower case.
        body: The body as far as it arrived.
        is_whole: Whether the whole body arrived.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool


def encode(
    method: str,
    path: str,
    request_id: str,
    deadline_ms: int,
    key: int | None = None,
) -> bytes:
    """Returns the bytes of a request without a body."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
    ]
    if key is not None:
        lines.append(f"Shard-Key: {key}")
    if method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join([*lines, "", ""]).encode()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer."""
    status = 0
    headers: dict[str, str] = {}
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.split("\r\n")
        status = int(first.split(" ")[1])
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        return Answer(status, headers, error.partial, is_whole=False)
    except OSError:
        return Answer(status, headers, b"", is_whole=False)
    return Answer(status, headers, body, is_whole=True)


async def ask(
    address: str,
    port: int,
    method: str,
    path: str,
    request_id: str,
    *,
    deadline_ms: int = 2500,
    key: int | None = None,
) -> Answer:
    """Sends one request on a connection of its own."""
    try:
        async with asyncio.timeout(deadline_ms / 1000.0 + 1.0):
            reader, writer = await asyncio.open_connection(address, port)
            try:
                writer.write(encode(method, path, request_id, deadline_ms, key))
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return Answer(0, {}, b"", is_whole=False)
