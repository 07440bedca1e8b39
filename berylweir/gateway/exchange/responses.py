"""Reads the body of a response, whole or as a stream."""

import asyncio
import collections
from collections.abc import AsyncGenerator
from collections.abc import Callable
import enum

from berylweir.gateway.body_memory import budget
from berylweir.gateway.body_memory import models as body_memory
from berylweir.gateway.exchange import exceptions
from berylweir.gateway.exchange import models as exchange
from berylweir.platform import requests
from berylweir.router.backends import connection as http
from berylweir.router.backends import exceptions as http_exceptions

# A response of up to this many bytes is buffered before it is returned, so that
# the request can be retried on another server if the response is truncated. It
# is buffered less if there is no memory for it.
_MAX_BUFFERED_BYTES = 1_048_576
# A streamed part that is shorter than this, in bytes, isn't the full segment of
# a server that sends what it has. The next part is read after this time, in
# seconds, so that a server that sends single bytes doesn't cost a write for
# each.
_SHORT_PART_BYTES = 512
_SHORT_PART_PAUSE_S = 0.25


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
    reservation: budget.Reservation,
) -> exchange.Answer:
    """Reads a response body, and returns the answer to the caller.

    Args:
        connection: Connection whose response head was read.
        head: That head.
        stream_deadline_s: When a streamed body must have ended, on the loop's
            clock, in seconds.
        on_stream_end: Called once if the answer has a `remaining_body`, after
            its last part.
        reservation: Memory of the body, which the caller of this function
            releases once the answer has been written.

    Raises:
        ExchangeError: If a body that isn't streamed is incomplete.
    """
    chunks: list[bytes] = []
    while chunk := await connection.read_body():
        chunks.append(chunk)
        is_held = reservation.hold(len(chunk), body_memory.Retryable())
        if not is_held:
            reservation.charge(len(chunk))
        if not is_held or reservation.held_bytes > _MAX_BUFFERED_BYTES:
            connection.read_in_small_parts()
            if not is_held:
                reservation.count_unheld()
            return exchange.Answer(
                head.status,
                head.headers,
                b"",
                _stream_body(
                    connection,
                    chunks,
                    stream_deadline_s,
                    on_stream_end,
                    reservation,
                ),
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
    buffered: list[bytes],
    deadline_s: float,
    on_end: Callable[[StreamEnd], None],
    reservation: budget.Reservation,
) -> AsyncGenerator[bytes, None]:
    """Yields the buffered parts of a body, then those that still arrive.

    The memory of a part is free once the next one is asked for.
    """
    loop = asyncio.get_running_loop()
    end = StreamEnd.ABANDONED
    try:
        parts = collections.deque(buffered)
        buffered.clear()
        while parts:
            chunk = parts.popleft()
            yield chunk
            reservation.free(len(chunk))
        while True:
            async with asyncio.timeout_at(deadline_s):
                await reservation.wait_for_room()
                chunk = await connection.read_body()
            if not chunk:
                break
            if loop.time() > deadline_s:
                # The timeout doesn't expire while data is available.
                raise TimeoutError
            reservation.charge(len(chunk))
            yield chunk
            reservation.free(len(chunk))
            if len(chunk) < _SHORT_PART_BYTES and not connection.is_complete:
                await connection.pause(_SHORT_PART_PAUSE_S)
        end = StreamEnd.COMPLETE
    except http_exceptions.ExchangeError as error:
        end = StreamEnd.BROKEN
        raise exceptions.ResponseTruncatedError from error
    except TimeoutError as error:
        end = StreamEnd.EXPIRED
        raise exceptions.ResponseTruncatedError from error
    finally:
        on_end(end)
