"""A caller's request and its answer."""

from collections.abc import AsyncIterator

from berylweir import records
from berylweir.platform import requests


@records.record
class CallerRequest:
    """A caller's request with its complete body.

    Attributes:
        head: Request line and headers, decoded.
        body: The body.
        head_received_s: When the head was complete, on the loop's clock, in
            seconds.
    """

    head: requests.RequestHead
    body: bytes
    head_received_s: float


@records.record
class Answer:
    """An answer to a caller.

    Attributes:
        status: HTTP status code.
        headers: Header fields.
        body: The body, or its first part if `remaining_body` is set.
        remaining_body: Streams the rest of a large body while the server sends
            it; raises `ResponseTruncatedError` if the server doesn't send all
            of it.
        content_length: Length of the whole body, in bytes; None if unknown.
    """

    status: int
    headers: tuple[requests.Header, ...]
    body: bytes
    remaining_body: AsyncIterator[bytes] | None = None
    content_length: int | None = None
