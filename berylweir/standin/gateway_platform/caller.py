"""Requests of a caller to a gateway, and the parser of its responses."""

import asyncio
import dataclasses

HOST = "site.example"


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """A response as a caller receives it.

    Attributes:
        status: HTTP status.
        body: The body.
        seal: Value of `Response-Seal`; empty if there is none.
        closes_connection: Whether the gateway closes the connection after it.
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
    """Returns the bytes of a request without a body.

    Args:
        path: Path on the host `site.example`.
        request_id: Value of `Request-Id`.
        deadline_ms: Time within which the caller needs the response, in
            milliseconds.
        is_repeatable: Whether it may be executed more than once; the method
            is then GET, else POST.
        key: Value of `Shard-Key`, if it has one.
        closes_connection: Whether it asks the gateway to close the connection
            after the response.
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
    """Reads one response that has a `Content-Length`.

    Raises:
        EOFError: If the connection ends before the response is complete.
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
