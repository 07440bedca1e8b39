"""A caller's request and its answer."""

from collections.abc import AsyncIterator

from berylweir import records
from berylweir.platform import requests


@records.record
class CallerRequest:
    """A request that has arrived whole.

    Attributes:
        head: Its head.
        body: Its body.
        head_received_s: When its head had arrived, on the loop's clock, in
            seconds.
    """

    head: requests.RequestHead
    body: bytes
    head_received_s: float


@records.record
class Answer:
    """An answer to a caller.

    Attributes:
        status: HTTP status.
        headers: Headers.
        body: The body, or its beginning if `remaining_body` follows.
        remaining_body: Parts of the body that are still arriving; ends with
            `ResponseTruncatedError` if they don't all arrive.
        content_length: Length of the body if it is known.
    """

    status: int
    headers: tuple[requests.Header, ...]
    body: bytes
    remaining_body: AsyncIterator[bytes] | None = None
    content_length: int | None = None
