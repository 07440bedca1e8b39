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
        arrived_s: When its head had arrived, on the loop's clock, in seconds.
    """

    head: requests.RequestHead
    body: bytes
    arrived_s: float


@records.record
class Answer:
    """An answer to a caller.

    Attributes:
        status: HTTP status.
        headers: Headers.
        body: The body, or its beginning if `rest` follows.
        rest: Parts of the body that are still arriving; ends with
            `ResponseCutError` if they don't all arrive.
        length: Length of the body if it is known.
    """

    status: int
    headers: tuple[requests.Header, ...]
    body: bytes
    rest: AsyncIterator[bytes] | None = None
    length: int | None = None
