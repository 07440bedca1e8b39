"""An HTTP/1.1 client connection that uses the response parser of httptools."""

import asyncio
import collections
from collections.abc import Callable
import select
import socket
import struct
import typing

import httptools

from berylweir import records
from berylweir.router.backends import exceptions
from berylweir.router.backends import response_limits

# Bytes that are read from a socket at once. Reading pauses while as many are
# buffered, so that a connection holds twice as many at most.
_READ_BYTES = 65_536
_SMALL_READ_BYTES = 16_384
# Receive buffer of the socket, in bytes. The kernel would enlarge it to
# megabytes, which stay in use while the body isn't read.
_RECEIVE_BUFFER_BYTES = 131_072
# TCP keepalive ends a silent connection after 3 s: the first probe is sent
# after 1 s without data, the second 1 s later, and the connection ends if
# there is no reply to either within another second.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# Time within which the other end must acknowledge sent data, in ms.
_USER_TIMEOUT_MS = 2000

# Ids of earlier requests that are remembered, from the last one on.
_MAX_CARRIED_REQUEST_IDS = 16
# `struct linger` with l_onoff=1 and l_linger=0: close() sends a TCP reset.
_LINGER_RESET = struct.pack("ii", 1, 0)

Headers = tuple[tuple[bytes, bytes], ...]


@records.record
class ResponseHead:
    """Status and headers of a response.

    Attributes:
        status: Status code.
        headers: Names and values of the headers; names are in lower case.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]


# All connections of a loop read into the same buffer: the event loop fills it
# and passes it on in one step.
_READ_BUFFER = memoryview(bytearray(_READ_BYTES))


class Connection(asyncio.BufferedProtocol):
    """A connection that carries one exchange at a time.

    Reading from the socket pauses while the response body is not consumed, and
    `drain` waits while the other end doesn't read the request. A large body is
    therefore never held in memory as a whole.
    """

    def __init__(
        self,
        *,
        allow_close_delimited: bool = False,
        reset_on_close: bool = False,
        limits: response_limits.ResponseLimits | None = None,
    ) -> None:
        """Creates a connection that is not open yet.

        Args:
            allow_close_delimited: Whether the end of the connection may mark
                the end of a response without Content-Length and
                Transfer-Encoding.
            reset_on_close: Whether the end of the connection sends a TCP reset,
                which discards bytes that the other end hasn't received. This
                includes the end by keepalive and the end of the process.
            limits: Limits on each response; None for the defaults.
        """
        self._limits = limits or response_limits.ResponseLimits()
        self._allow_close_delimited = allow_close_delimited
        self._reset_on_close = reset_on_close
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._opened_s = 0.0
        self._exchange_started_s = 0.0
        self._last_received_s = float("-inf")
        self._loop = asyncio.get_running_loop()
        self._poll = select.poll()
        self._is_closed = False
        self._is_expired = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._waiter: asyncio.Future[None] | None = None
        self._exchange_count = 0
        self._carried_request_ids: collections.deque[str] = collections.deque(
            maxlen=_MAX_CARRIED_REQUEST_IDS
        )
        self._reset(is_head_request=False)

    @property
    def is_reused(self) -> bool:
        """Whether the present exchange isn't the first one.

        The response may then be one to an earlier request, sent once more.
        """
        return self._exchange_count > 1

    def has_carried(self, request_id: str) -> bool:
        """Returns whether it was used for a request with this id before."""
        return request_id in self._carried_request_ids

    @property
    def opened_s(self) -> float:
        """When the connection was opened, in seconds on the loop's clock."""
        return self._opened_s

    @property
    def exchange_started_s(self) -> float:
        """When the last exchange started, in seconds on the loop's clock."""
        return self._exchange_started_s

    @property
    def last_received_s(self) -> float:
        """When bytes last arrived, in seconds on the loop's clock."""
        return self._last_received_s

    @property
    def is_expired(self) -> bool:
        """Whether the connection was closed because a deadline had passed."""
        return self._is_expired

    @property
    def buffered_bytes(self) -> int:
        """Bytes that the exchange has not read or the socket has not sent."""
        buffered = self._buffered
        if self._transport is not None and not self._is_closed:
            buffered += self._transport.get_write_buffer_size()
        return buffered

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self._is_closed

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may be used for another exchange."""
        return self._complete and self._keep_alive and not self._is_closed

    @property
    def has_response_bytes(self) -> bool:
        """Whether any byte of the response has arrived."""
        return self._has_response_bytes

    def _reset(self, *, is_head_request: bool) -> None:
        self._is_head_request = is_head_request
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._head: ResponseHead | None = None
        self._body: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._complete = False
        self._keep_alive = True
        self._has_response_bytes = False
        self._failure: exceptions.ExchangeError | None = None
        self._is_paused = False
        self._has_framing = False
        self._is_skipped = False
        self._read_bytes = _READ_BYTES
        self._matches_request: Callable[[Headers], bool] | None = None
        self._meter = response_limits.ResponseMeter(self._limits)
        self._body_bytes = 0

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and registers its socket for polling."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._opened_s = self._loop.time()
        self._complete = True
        sock = self._transport.get_extra_info("socket")
        self._poll.register(sock.fileno(), select.POLLIN)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        if self._reset_on_close:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next bytes."""
        return _READ_BUFFER[: self._read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Passes received bytes to the parser."""
        self._receive(_READ_BUFFER[:nbytes])

    def _receive(self, data: memoryview) -> None:
        self._has_response_bytes = True
        self._last_received_s = self._loop.time()
        if self._complete:
            # No request is waiting for these bytes. If the connection were
            # kept, they could be taken for the response to the next request.
            self._fail(exceptions.MalformedResponse("unexpected bytes"))
            return
        was_head_complete = self._head is not None
        body_bytes_before = self._body_bytes
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._fail(exceptions.MalformedResponse(str(error)))
            return
        exceeded_limit: str | None = None
        if self._is_skipped:
            exceeded_limit = self._meter.count_skipped(len(data))
        elif self._head is None:
            exceeded_limit = self._meter.count_head(len(data))
        elif was_head_complete and not self._complete:
            exceeded_limit = self._meter.count_body(
                len(data), self._body_bytes - body_bytes_before
            )
        if exceeded_limit is not None:
            self._fail(exceptions.MalformedResponse(exceeded_limit))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails an exchange in progress with `ConnectionCut`."""
        self._is_closed = True
        self._writable.set()
        if not self._complete:
            self._failure = self._failure or exceptions.ConnectionCut()
        self._wake()

    def eof_received(self) -> bool:
        """Closes the connection; this completes a close-delimited response."""
        if (
            self._head is not None
            and not self._has_framing
            and not self._complete
        ):
            self._complete = True
            self._wake()
        return False

    def pause_writing(self) -> None:
        """Makes `drain` wait until the write buffer has emptied."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets `drain` return."""
        self._writable.set()

    # Called by the parser

    def on_message_begin(self) -> None:
        """Checks that a response is expected.

        Raises:
            MalformedResponse: If the expected response is already complete.
        """
        if self._complete:
            raise exceptions.MalformedResponse("a second response")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores one header field."""
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding"):
            self._has_framing = True
        self._headers.append((lower, value))

    def on_headers_complete(self) -> None:
        """Processes the status and the headers."""
        self._status = self._parser.get_status_code()
        if self._status < 200:
            return
        headers = tuple(self._headers)
        if self._matches_request is not None and not self._matches_request(
            headers
        ):
            self._is_skipped = True
            return
        self._head = ResponseHead(self._status, headers)
        self._keep_alive = self._parser.should_keep_alive()
        if self._is_head_request or self._status in (204, 304):
            self._keep_alive = self._keep_alive and not self._is_head_request
            self._complete = True
        elif not self._has_framing and self._allow_close_delimited:
            self._keep_alive = False
        elif not self._has_framing:
            self._fail(
                exceptions.MalformedResponse("the body has no stated end")
            )
        self._wake()

    def on_body(self, body: bytes) -> None:
        """Buffers a part of the body, and pauses reading above a limit."""
        if self._is_skipped:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        self._buffered += len(body)
        if self._buffered >= self._read_bytes:
            self._pause_reading()
        self._wake()

    def on_message_complete(self) -> None:
        """Completes the response, or drops an informational or skipped one."""
        if self._status < 200 or self._is_skipped:
            self._headers = []
            self._has_framing = False
            self._is_skipped = False
            return
        self._complete = True
        self._wake()

    # Called by the pool and the exchange

    def has_unread(self) -> bool:
        """Returns whether the socket has unread bytes or has been closed.

        The event loop may not have processed them yet, and they would be taken
        for the response to a request that is sent now.
        """
        return self._is_closed or bool(self._poll.poll(0))

    def enable_keepalive(self) -> None:
        """Enables TCP keepalive, which ends a connection silent for 3 s.

        A firewall or load balancer may drop the state of a connection without
        a reset. Without probes, a read would then wait forever.
        """
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
            (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
            (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)

    def begin(
        self,
        head: bytes,
        *,
        is_head_request: bool,
        matches_request: Callable[[Headers], bool] | None = None,
        request_id: str = "",
    ) -> None:
        """Starts an exchange by sending the head of a request.

        Args:
            head: Request line and headers, including the final empty line.
            is_head_request: Whether the method is HEAD, whose response has no
                body.
            matches_request: Returns whether a response with these headers
                belongs to the request. Other responses are skipped.
            request_id: Id of the request, for `has_carried`.

        Raises:
            ConnectionCut: If the connection has ended.
        """
        if self._is_closed or self._transport is None:
            raise exceptions.ConnectionCut
        self._reset(is_head_request=is_head_request)
        self._matches_request = matches_request
        self._exchange_count += 1
        if request_id:
            self._carried_request_ids.append(request_id)
        self._exchange_started_s = self._loop.time()
        self._transport.write(head)

    def write(self, data: bytes | bytearray) -> None:
        """Sends a part of the request body.

        Raises:
            ConnectionCut: If the connection has ended.
        """
        if self._is_closed or self._transport is None:
            raise exceptions.ConnectionCut
        self._transport.write(data)

    async def drain(self) -> None:
        """Waits until the write buffer is below its limit."""
        await self._writable.wait()

    async def read_head(self) -> ResponseHead:
        """Waits for the head of the response.

        Raises:
            ConnectionCut: If the connection ended first.
            MalformedResponse: If the response is not valid HTTP.
        """
        while self._head is None:
            if self._failure is not None:
                raise self._failure
            await self._wait()
        return self._head

    async def read_body(self) -> bytes:
        """Waits for the next part of the body; returns b"" at its end.

        Raises:
            ConnectionCut: If the connection ended before the whole body
                arrived.
            MalformedResponse: If the response is not valid HTTP.
        """
        while not self._body:
            if self._complete:
                return b""
            if self._failure is not None:
                raise self._failure
            await self._wait()
        return self.read_available()

    async def read_whole(self, limit_bytes: int) -> bytes:
        """Reads a body that is short if the server is sound.

        Args:
            limit_bytes: Longest body, in bytes.

        Raises:
            ConnectionCut: If the connection ended before the whole body
                arrived.
            MalformedResponse: If the response is not valid HTTP, or its body
                is longer.
        """
        parts = []
        size_bytes = 0
        while part := await self.read_body():
            size_bytes += len(part)
            if size_bytes > limit_bytes:
                raise exceptions.MalformedResponse(
                    f"the body exceeds {limit_bytes} bytes"
                )
            parts.append(part)
        return b"".join(parts)

    def read_in_small_parts(self) -> None:
        """Buffers little of the rest of the response."""
        self._read_bytes = _SMALL_READ_BYTES

    def read_available(self) -> bytes:
        """Returns the buffered part of the body without waiting."""
        if not self._body:
            return b""
        part = self._join_body()
        self._buffered = 0
        self._resume_reading()
        return part

    @property
    def is_complete(self) -> bool:
        """Whether the whole response has arrived and was read."""
        return self._complete and not self._body

    def close(self) -> None:
        """Closes the connection and fails an exchange in progress.

        Without `reset_on_close`, the operating system continues to send bytes
        that were not yet delivered, and the server may run the request.
        """
        if self._transport is not None and not self._is_closed:
            self._transport.abort()
        self._is_closed = True

    def expire(self) -> None:
        """Closes the connection because the deadline has passed."""
        self._is_expired = True
        self.close()

    async def pause(self, duration_s: float) -> None:
        """Reads nothing from the socket for a time.

        Args:
            duration_s: The time, in seconds.
        """
        self._pause_reading()
        try:
            await asyncio.sleep(duration_s)
        finally:
            if not self._body:
                self._resume_reading()

    def _pause_reading(self) -> None:
        if not self._is_paused:
            self._is_paused = True
            if self._transport is not None and not self._is_closed:
                self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_paused:
            self._is_paused = False
            if self._transport is not None and not self._is_closed:
                self._transport.resume_reading()

    def _join_body(self) -> bytes:
        if len(self._body) == 1:
            return self._body.popleft()
        part = b"".join(self._body)
        self._body.clear()
        return part

    def _fail(self, failure: exceptions.ExchangeError) -> None:
        self._failure = failure
        self.close()
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self) -> None:
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None


async def connect(
    host: str,
    port: int,
    timeout_s: float,
    *,
    allow_close_delimited: bool = False,
    reset_on_close: bool = False,
) -> Connection:
    """Opens a connection.

    Args:
        host: IP address.
        port: TCP port.
        timeout_s: Time limit for opening it, in seconds.
        allow_close_delimited: Whether the end of the connection may mark the
            end of a response without Content-Length and Transfer-Encoding.
        reset_on_close: Whether the end of the connection sends a TCP reset.

    Raises:
        OSError: If it can't be opened.
        TimeoutError: If it takes longer than `timeout_s`.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(
            lambda: Connection(
                allow_close_delimited=allow_close_delimited,
                reset_on_close=reset_on_close,
            ),
            host,
            port,
        )
    return connection
