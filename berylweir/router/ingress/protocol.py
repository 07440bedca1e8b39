"""Server side of an HTTP/1.1 connection, parsed by httptools."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import http
import logging
import typing

import httptools

from berylweir.observability import counters
from berylweir.refusals import models as refusals
from berylweir.router.ingress import exceptions
from berylweir.router.ingress import incoming
from berylweir.router.ingress import models
from berylweir.transports import lingering

_LOGGER = logging.getLogger(__name__)
# Reading from the socket pauses above the first size of the unread body, and
# resumes below the second.
_PAUSE_READING_BYTES = 262_144
_RESUME_READING_BYTES = 65_536
# Time in which the event loop reads what has arrived before a connection is
# closed, in seconds.
_READ_S = 0.01
# Longest time after a response for which its delivery delays the close of an
# idle TLS connection, in seconds.
_MAX_DELIVERY_S = 15.0
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_STATUS_LINES = {
    s.value: b"HTTP/1.1 %d %b\r\n" % (s.value, s.phrase.encode())
    for s in http.HTTPStatus
}
_BODILESS_STATUSES = frozenset({204, 304})


Handler = Callable[[incoming.Request, "CallerConnection"], Awaitable[None]]


class CallerConnection(asyncio.Protocol):
    """One connection of a caller, with a task that serves its requests.

    Reading from the socket pauses while the task reads too slowly, and
    `write_body` waits while the caller does, so a large body is never held in
    memory as a whole.
    """

    def __init__(
        self,
        handler: Handler,
        refuse: Callable[
            [refusals.Refusal, "CallerConnection"], Awaitable[None]
        ],
        limits: models.Limits,
        connections: "set[CallerConnection]",
        metrics: counters.Counters,
    ) -> None:
        """Creates a connection without a transport.

        Args:
            handler: Serves one request.
            refuse: Sends a refusal to the caller.
            limits: Limits on what a caller may send.
            connections: All open connections of the listener. The connection
                adds and removes itself.
            metrics: Counters.
        """
        self._handler = handler
        self._refuse = refuse
        self._limits = limits
        self._connections = connections
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._queue: collections.deque[incoming.Request | refusals.Refusal] = (
            collections.deque()
        )
        self._incoming_request: incoming.Request | None = None
        self._current_request: incoming.Request | None = None
        self._target = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._head_bytes = 0
        self._head_started_s: float | None = None
        self._is_reading_head = True
        self._ignores_input = False
        self._is_closing = False
        self._is_stopping = False
        self._has_received_eof = False
        self._is_paused = False
        self._is_writable = True
        self._response_started = False
        self._announces_close = False
        self._is_chunked = False
        self._idle_since_s = 0.0

    @property
    def is_busy(self) -> bool:
        """Whether a request is being served or queued."""
        return self._current_request is not None or bool(self._queue)

    @property
    def response_started(self) -> bool:
        """Whether the head of the current response was sent."""
        return self._response_started

    @property
    def buffered_bytes(self) -> int:
        """Bytes that the task has not read or the socket has not sent."""
        total_bytes = (
            self._current_request.buffered_bytes if self._current_request else 0
        )
        if self._transport is not None:
            total_bytes += self._transport.get_write_buffer_size()
        return total_bytes + sum(
            r.buffered_bytes
            for r in self._queue
            if isinstance(r, incoming.Request)
        )

    def now(self) -> float:
        """Returns the time on the clock of the loop, in seconds."""
        return self._loop.time()

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the task that serves the requests."""
        self._transport = typing.cast(asyncio.Transport, transport)
        if self._is_closing:
            self._transport.abort()
            return
        self._connections.add(self)
        self._idle_since_s = self.now()
        self._task = self._loop.create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and queues complete request heads."""
        if self._ignores_input:
            return
        if self._is_reading_head:
            self._head_bytes += len(data)
            if self._head_started_s is None:
                self._head_started_s = self.now()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._stop_input(refusals.BadRequest("upgrades are not supported"))
        except httptools.HttpParserError as error:
            self._stop_input(refusals.BadRequest(str(error)))
        if (
            self._is_reading_head
            and self._head_bytes > self._limits.max_header_bytes
        ):
            self._stop_input(
                refusals.HeadersTooLarge(self._limits.max_header_bytes)
            )
        self._pause_if_behind()
        self._wake()

    def eof_received(self) -> bool:
        """Refuses an incomplete request.

        Returns:
            Whether the connection stays open for a response.
        """
        self._has_received_eof = True
        if (
            self._incoming_request is not None
            or self._head_started_s is not None
        ):
            self._stop_input(refusals.BodyCut())
            return True
        if self._ignores_input:
            # The refusal may not be sent yet.
            return self.is_busy
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the task, and with it the request that is being served."""
        self._connections.discard(self)
        self._is_closing = True
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Makes `write_body` wait."""
        self._is_writable = False

    def resume_writing(self) -> None:
        """Lets `write_body` continue."""
        self._is_writable = True
        self._wake()

    # Called by the parser

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._target = b""
        self._headers = []
        if self._head_started_s is None:
            # The head began behind the end of another request.
            self._head_started_s = self.now()

    def on_url(self, url: bytes) -> None:
        """Adds a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; trailers are dropped."""
        if self._is_reading_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Queues the request, whose body may still follow."""
        self._is_reading_head = False
        self._head_bytes = 0
        self._head_started_s = None
        if self._ignores_input:
            return
        parser = self._parser
        request = incoming.Request(
            models.RawHead(
                parser.get_method().decode("latin-1"),
                self._target,
                self._headers,
                parser.get_http_version() == "1.1",
                parser.should_keep_alive(),
                parser.should_upgrade(),
            ),
            self,
            self._loop.time(),
        )
        self._incoming_request = request
        self._queue.append(request)

    def on_body(self, body: bytes) -> None:
        """Adds a part of the body to the request."""
        if self._incoming_request is not None:
            self._incoming_request.feed(body, self._loop.time())

    def on_message_complete(self) -> None:
        """Marks the request as complete."""
        if self._incoming_request is not None:
            self._incoming_request.complete()
            self._incoming_request = None
        self._is_reading_head = True

    # Called by the listener

    def check_progress(self, now: float, idle_timeout_s: float) -> None:
        """Refuses a request that arrives too slowly; closes if idle.

        Args:
            now: Time on the clock of the loop, in seconds.
            idle_timeout_s: Time without a request after which the connection
                is closed, in seconds.
        """
        limit_s = self._limits.body_timeout_s
        if self._ignores_input:
            return
        if self._head_started_s is not None:
            if now - self._head_started_s > limit_s:
                self._stop_input(refusals.SlowSender(limit_s))
        elif self._incoming_request is not None:
            if not self._is_paused and (
                now - self._incoming_request.last_progress_s > limit_s
            ):
                self._stop_input(refusals.SlowSender(limit_s))
        elif not self.is_busy and now - self._idle_since_s > idle_timeout_s:
            self._request_close()

    def begin_close(self) -> None:
        """Closes the connection once it is idle.

        The request that is being served ends normally, and later ones are
        refused.
        """
        self._is_stopping = True
        self._request_close()

    def _request_close(self) -> None:
        """Closes the connection once it is idle, unless a request arrives."""
        self._is_closing = True
        if not self.is_busy:
            self._wake()

    def abort(self) -> None:
        """Closes the connection at once and drops the buffered bytes."""
        if self._transport is not None:
            self._transport.abort()

    # Called by the task that serves the requests

    async def wait(self) -> None:
        """Waits for received bytes, a failure or space in the write buffer."""
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def on_body_read(self, request: incoming.Request) -> None:
        """Resumes reading from the socket once little is buffered."""
        if self._is_paused and request.buffered_bytes < _RESUME_READING_BYTES:
            self._resume_reading()

    def write_continue(self) -> None:
        """Sends `100 Continue`, so that the caller sends the body."""
        if self._transport is not None and not self._response_started:
            self._transport.write(_CONTINUE_RESPONSE)

    def start_response(
        self,
        status: int,
        headers: Iterable[tuple[bytes, bytes]],
        body: bytes,
        *,
        is_complete: bool,
    ) -> None:
        """Sends the head of the response and the start of its body.

        Without a `content-length` header, the body is sent in chunks.

        Args:
            status: HTTP status.
            headers: Headers with their names in lower case, without hop-by-hop
                headers.
            body: Start of the body.
            is_complete: Whether `body` is the whole body.
        """
        request = self._current_request
        if self._transport is None or request is None:
            return
        lines = [_STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status]
        has_length = False
        for name, value in headers:
            lines.append(name + b": " + value + b"\r\n")
            if name == b"content-length":
                has_length = True
        is_bodiless = (
            request.head.method == "HEAD" or status in _BODILESS_STATUSES
        )
        self._is_chunked = not has_length and not is_bodiless
        if self._is_chunked and is_complete:
            lines.append(b"content-length: %d\r\n" % len(body))
            self._is_chunked = False
        elif self._is_chunked:
            lines.append(b"transfer-encoding: chunked\r\n")
        self._announces_close = self._is_last(request)
        if self._announces_close:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        if body and not is_bodiless:
            lines.append(self._encode_part(body))
        self._response_started = True
        self._transport.write(b"".join(lines))

    async def write_body(self, part: bytes) -> None:
        """Sends a part of the body, then waits while the buffer is full."""
        if self._transport is not None and part:
            self._transport.write(self._encode_part(part))
        while not self._is_writable:
            await self.wait()

    def end_response(self) -> None:
        """Ends the response, with the last chunk if it is sent in chunks."""
        if self._is_chunked and self._transport is not None:
            self._transport.write(b"0\r\n\r\n")

    def _encode_part(self, part: bytes) -> bytes:
        if self._is_chunked:
            return b"%x\r\n%b\r\n" % (len(part), part)
        return part

    def _is_last(self, request: incoming.Request) -> bool:
        """Returns whether the connection closes behind the response."""
        return (
            not request.head.keep_alive
            or request.head.wants_upgrade
            or not request.is_complete
            or (
                self._is_closing
                and not self._queue
                and self._head_started_s is None
            )
        )

    async def _serve(self) -> None:
        try:
            while await self._wait_for_request():
                if not await self._serve_one(self._queue.popleft()):
                    await self._close_lingering()
                    return
            await self._close_idle()
        except exceptions.ResponseCut:
            self._metrics.count("router.response.cut")
            # A reset would lose what the caller hasn't received of earlier
            # responses.
            await self._close_lingering()
        except Exception:
            self._metrics.count("router.request.crashed")
            _LOGGER.exception("unhandled error in a request")
            await self._close_lingering()

    async def _wait_for_request(self) -> bool:
        """Returns whether there is one; if not, the connection is closed."""
        while not self._queue:
            if self._is_closing and self._head_started_s is None:
                if await self._is_quiet():
                    return False
            else:
                await self.wait()
        return True

    async def _is_quiet(self) -> bool:
        """Returns whether no request has arrived.

        The event loop may not have read from the connection for some time, so
        it gets the opportunity first.
        """
        await asyncio.sleep(_READ_S)
        return (
            not self._queue
            and self._head_started_s is None
            and self._transport is not None
            and lingering.count_unread(self._transport) == 0
            and self._can_end(self._transport)
        )

    def _can_end(self, transport: asyncio.Transport) -> bool:
        """Returns whether the caller can be told of the close at once.

        TLS is closed only once all data is acknowledged. Requests that the
        caller sends until then have to be answered.
        """
        return (
            transport.can_write_eof()
            or lingering.count_unacknowledged(transport) == 0
            or self.now() - self._idle_since_s > _MAX_DELIVERY_S
        )

    async def _serve_one(
        self, request_or_refusal: incoming.Request | refusals.Refusal
    ) -> bool:
        """Serves a request, or refuses the input with the given refusal.

        Returns:
            Whether the connection may serve another request.
        """
        self._response_started = False
        if not isinstance(request_or_refusal, incoming.Request):
            self._current_request = incoming.Request(
                models.PLACEHOLDER_HEAD, self, self.now()
            )
            await self._refuse(request_or_refusal, self)
            return False
        self._current_request = request_or_refusal
        if self._is_stopping:
            await self._refuse(refusals.ShuttingDown(), self)
        else:
            await self._handler(request_or_refusal, self)
        if self._announces_close:
            return False
        self._current_request = None
        self._idle_since_s = self.now()
        if self._is_paused:
            self._resume_reading()
        return True

    def _stop_input(self, refusal: refusals.Refusal) -> None:
        """Ignores further input, because it is invalid, too slow or cut.

        The refusal goes to the request that is being received, or is queued
        after the received requests if there is none.
        """
        if self._ignores_input:
            return
        self._ignores_input = True
        if self._incoming_request is not None:
            self._incoming_request.fail(refusal)
            self._incoming_request = None
        else:
            self._queue.append(refusal)
        self._wake()

    async def _close_idle(self) -> None:
        """Closes the connection after all requests were answered."""
        self._ignores_input = True
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if await lingering.close_idle(transport) > 0:
            self._metrics.count("router.closed_unread")

    async def _close_lingering(self) -> None:
        """Closes the connection once the caller has received all data.

        Input is read and dropped until then.
        """
        self._ignores_input = True
        self._queue.clear()
        self._incoming_request = None
        self._current_request = None
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_paused:
            self._resume_reading()
        if self._has_received_eof:
            self._transport.close()
            return
        await lingering.close(self._transport)

    def _pause_if_behind(self) -> None:
        """Pauses reading if requests are queued or much body is unread."""
        incoming_request = self._incoming_request
        if self._is_paused or self._transport is None:
            return
        if len(self._queue) > 1 or (
            incoming_request is not None
            and incoming_request.buffered_bytes > _PAUSE_READING_BYTES
        ):
            self._is_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        self._is_paused = False
        if self._incoming_request is not None:
            self._incoming_request.reset_progress(self._loop.time())
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
