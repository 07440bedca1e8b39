"""Reads the body of a response, whole or as a stream."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import enum

from berylweir.gateway.exchange import exceptions
from berylweir.gateway.exchange import models as exchange
from berylweir.platform import requests
from berylweir.router.backends import connection as http
from berylweir.router.backends import exceptions as http_exceptions

# A response of up to this many bytes is buffered before it is returned, so that
# the request can be retried on another server if the response is truncated.
_MAX_BUFFERED_BYTES = 1_048_576


class StreamEnd(enum.Enum):
    """How a streamed body ended."""

    COMPLETE = "complete"
    # The connection ended, or its bytes are no valid response.
    BROKEN = "broken"
    # The deadline passed.
    EXPIRED = "expired"
    # The caller disconnected.
    ABANDONED = "abandoned"


async def read_answer(
    connection: http.Connection,
    head: requests.ResponseHead,
    stream_deadline_s: float,
    on_stream_end: Callable[[StreamEnd], None],
) -> exchange.Answer:
    """Reads a response body, and returns the answer to the caller.

    Args:
        connection: Connection whose response head was read.
        head: That head.
        stream_deadline_s: When a streamed body must have ended, on the loop's
            clock, in seconds.
        on_stream_end: Called once if the answer has a `remaining_body`, after
            its last part.

    Raises:
        ExchangeError: If a body that isn't streamed is incomplete.
    """
    chunks: list[bytes] = []
    size = 0
    while chunk := await connection.read_body():
        chunks.append(chunk)
        size += len(chunk)
        if size > _MAX_BUFFERED_BYTES:
            return exchange.Answer(
                head.status,
                head.headers,
                b"".join(chunks),
                _stream_body(connection, stream_deadline_s, on_stream_end),
                head.content_length,
            )
    body = b"".join(chunks)
    headers = tuple(h for h in head.headers if h[0] != b"content-length")
    return exchange.Answer(head.status, headers, body, None, len(body))


def stream_deadline_s(
    request: exchange.CallerRequest, deadline_s: float
) -> float:
    """Returns when a streamed response must have ended, on the loop's clock.

    A response that has begun may take longer than the route's timeout, but not
    longer than the caller waits.

    Args:
        request: The request.
        deadline_s: When its response must have begun, on the same clock.
    """
    if request.head.deadline_ms is None:
        return deadline_s
    return max(
        deadline_s, request.head_received_s + request.head.deadline_ms / 1000.0
    )


async def _stream_body(
    connection: http.Connection,
    deadline_s: float,
    on_end: Callable[[StreamEnd], None],
) -> AsyncIterator[bytes]:
    loop = asyncio.get_running_loop()
    end = StreamEnd.ABANDONED
    try:
        while True:
            async with asyncio.timeout_at(deadline_s):
                chunk = await connection.read_body()
            if not chunk:
                break
            if loop.time() > deadline_s:
                # The timeout doesn't expire while data is available.
                raise TimeoutError
            yield chunk
        end = StreamEnd.COMPLETE
    except http_exceptions.ExchangeError as error:
        end = StreamEnd.BROKEN
        raise exceptions.ResponseTruncatedError from error
    except TimeoutError as error:
        end = StreamEnd.EXPIRED
        raise exceptions.ResponseTruncatedError from error
    finally:
        on_end(end)
