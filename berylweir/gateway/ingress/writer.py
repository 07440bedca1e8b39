"""Writes answers to the connection of a caller."""

import asyncio
import contextlib
import http

from berylweir.gateway.exchange import models as exchange
from berylweir.platform import requests

# Write buffer from which on further parts of a body wait, in bytes.
_WRITE_BUFFER_BYTES = 16_384
# Largest body that is copied behind its head, in bytes.
_MAX_JOINED_BODY_BYTES = 16_384
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_STATUS_LINES = {
    s.value: b"HTTP/1.1 %d %b\r\n" % (s.value, s.phrase.encode())
    for s in http.HTTPStatus
}
_STATUSES_WITHOUT_BODY = frozenset({204, 304})


class AnswerWriter:
    """Encodes answers, and waits while the caller reads more slowly."""

    def __init__(self, transport: asyncio.Transport) -> None:
        """Creates a writer.

        Args:
            transport: An open transport.
        """
        self._transport = transport
        self._transport.set_write_buffer_limits(_WRITE_BUFFER_BYTES)
        self._writable = asyncio.Event()
        self._writable.set()

    def pause(self) -> None:
        """Stops writing while the caller reads more slowly than we write."""
        self._writable.clear()

    def resume(self) -> None:
        """Continues writing."""
        self._writable.set()

    def write_continue(self) -> None:
        """Asks the caller to send the body of its request."""
        self._transport.write(_CONTINUE_RESPONSE)

    def write_last(
        self, status: int, headers: tuple[requests.Header, ...] = ()
    ) -> None:
        """Writes an answer without a body that closes the connection.

        Args:
            status: HTTP status code.
            headers: Header fields.
        """
        lines = [_STATUS_LINES[status]]
        for name, value in headers:
            lines += (name, b": ", value, b"\r\n")
        lines.append(b"content-length: 0\r\nconnection: close\r\n\r\n")
        self._transport.write(b"".join(lines))

    async def write(
        self,
        answer: exchange.Answer,
        *,
        is_head_request: bool,
        closes_connection: bool,
    ) -> None:
        """Writes an answer with its body.

        Args:
            answer: The answer.
            is_head_request: Whether the request asked for the head only.
            closes_connection: Whether it tells the caller that the connection
                is closed behind it.

        Raises:
            ResponseTruncatedError: The server didn't send the whole body.
        """
        transport = self._transport
        status = answer.status
        lines = [_STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status]
        for name, value in answer.headers:
            if name != b"content-length":
                lines += (name, b": ", value, b"\r\n")
        has_body = not is_head_request and status not in _STATUSES_WITHOUT_BODY
        is_chunked = (
            answer.remaining_body is not None and answer.content_length is None
        )
        if is_chunked:
            lines.append(b"transfer-encoding: chunked\r\n")
        elif status not in _STATUSES_WITHOUT_BODY:
            lines.append(
                b"content-length: %d\r\n" % (answer.content_length or 0)
            )
        if closes_connection:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        if has_body and len(answer.body) <= _MAX_JOINED_BODY_BYTES:
            lines.append(answer.body)
            transport.write(b"".join(lines))
        else:
            transport.write(b"".join(lines))
            if has_body:
                transport.write(answer.body)
        await self._writable.wait()
        if answer.remaining_body is None:
            return
        async with contextlib.aclosing(answer.remaining_body) as parts:
            async for part in parts:
                transport.write(_encode_body_part(part, is_chunked))
                del part
                await self._writable.wait()
        if is_chunked:
            transport.write(b"0\r\n\r\n")


def _encode_body_part(part: bytes, is_chunked: bool) -> bytes:
    if is_chunked:
        return b"%x\r\n%b\r\n" % (len(part), part)
    return part
