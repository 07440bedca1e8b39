"""What callers send to a gateway, and how they read its answers."""

import asyncio
import dataclasses

HOST = "site.example"


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An answer as a caller sees it.

    Attributes:
        status: HTTP status.
        body: The body.
        seal: The server's signature; empty if there is none.
        closes_connection: Whether the connection ends after it.
    """

    status: int
    body: bytes
    seal: str
    closes_connection: bool


def encode_request(
    path: str,
    request_id: str,
    deadline_ms: int,
    *,
    is_repeatable: bool = True,
    key: int | None = None,
    closes_connection: bool = False,
) -> bytes:
    """Returns a request without a body.

    Args:
        path: Its path.
        request_id: Its id.
        deadline_ms: How long the caller waits, in ms.
        is_repeatable: Whether it may run more than once.
        key: Its key, if it has one.
        closes_connection: Whether the connection is to end after the answer.
    """
    lines = [
        f"{'GET' if is_repeatable else 'POST'} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
    ]
    if key is not None:
        lines.append(f"Shard-Key: {key}")
    if closes_connection:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode()


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Reads one answer whose length is stated.

    Raises:
        EOFError: If the connection ends before it.
        OSError: If the connection is reset.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    status_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip().lower()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Response(
        int(status_line.split(" ")[1]),
        body,
        headers.get("response-seal", ""),
        headers.get("connection") == "close",
    )
