"""An HTTP/1.1 server connection whose requests are served side by side."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import http
import logging
import typing

import httptools

from berylweir.gateway import models
from berylweir.gateway.exchange import exceptions
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.ingress import models as ingress
from berylweir.observability import counters
from berylweir.platform import requests

_LOGGER = logging.getLogger(__name__)
# Requests of one connection that are read before the first is answered.
_MAX_PIPELINED = 32
# A close with unread bytes resets the connection, and the caller may then lose
# the answer. What still arrives is dropped for this long, in seconds.
_LINGER_S = 1.0
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_STATUS_LINES = {
    s.value: b"HTTP/1.1 %d %b\r\n" % (s.value, s.phrase.encode())
    for s in http.HTTPStatus
}
_WITHOUT_BODY = frozenset({204, 304})

Serve = Callable[[exchange.CallerRequest], Awaitable[exchange.Answer]]


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; answers leave in the order of requests."""

    def __init__(
        self,
        serve: Serve,
        is_repeatable: Callable[[requests.RequestHead], bool],
        limits: models.CallerLimits,
        connections: "set[CallerConnection]",
        metrics: counters.Counters,
    ) -> None:
        """Creates a connection that is not yet open.

        Args:
            serve: Answers a request.
            is_repeatable: Whether a request may run more than once; others
                wait until all answers before theirs have left.
            limits: Limits on what a caller may send.
            connections: All open connections of the listener.
            metrics: Counters.
        """
        self._serve = serve
        self._is_repeatable = is_repeatable
        self._limits = limits
        self._connections = connections
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._queue: collections.deque[ingress.Pending | ingress.Violation] = (
            collections.deque()
        )
        self._arrived = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._head: requests.RequestHead | None = None
        self._head_s = 0.0
        self._head_bytes = 0
        self._progress_s: float | None = None
        self._idle_since_s = self._loop.time()
        self._is_broken = False
        self._is_closing = False
        self._is_paused = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is arriving or being served."""
        return bool(self._queue) or self._progress_s is not None

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport and starts the task."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._connections.add(self)
        self._task = self._loop.create_task(self._answer_all())

    def data_received(self, data: bytes) -> None:
        """Parses what has arrived."""
        if self._is_broken:
            return
        if self._progress_s is None:
            self._progress_s = self._loop.time()
        if self._head is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._break(ingress.Violation(400, "upgrades are not supported"))
        except httptools.HttpParserError as error:
            self._break(ingress.Violation(400, f"malformed request: {error}"))
        if (
            self._head is None
            and self._head_bytes > self._limits.max_header_bytes
        ):
            self._break(ingress.Violation(431, "the headers are too large"))

    def eof_received(self) -> bool:
        """Treats the end of the caller's side as the end of both."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels what is being served, so that servers stop too."""
        self._connections.discard(self)
        self._is_broken = True
        self._writable.set()
        if self._task is not None:
            self._task.cancel()
        for item in self._queue:
            if isinstance(item, ingress.Pending) and item.task is not None:
                item.task.cancel()

    def pause_writing(self) -> None:
        """Makes the answer wait while the caller is behind."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets the answer go on."""
        self._writable.set()

    # Called by the parser

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._url = b""
        self._headers = []
        self._body = []
        self._body_bytes = 0
        self._head = None

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes one header; trailers are dropped."""
        if self._head is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decodes the head."""
        self._head_bytes = 0
        self._head_s = self._loop.time()
        self._progress_s = self._head_s
        self._head = requests.decode_request(
            self._parser.get_method().decode("latin-1"),
            self._url,
            self._headers,
        )
        size = len(self._url) + sum(len(n) + len(v) for n, v in self._headers)
        if size > self._limits.max_header_bytes:
            self._break(ingress.Violation(431, "the headers are too large"))
            return
        expects = any(
            n == b"expect" and v.lower() == b"100-continue"
            for n, v in self._headers
        )
        if expects and not self._queue and self._transport is not None:
            self._transport.write(_CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        if self._is_broken:
            return
        self._body.append(body)
        self._body_bytes += len(body)
        self._progress_s = self._loop.time()
        if self._body_bytes > self._limits.max_body_bytes:
            self._break(ingress.Violation(413, "the body is too large"))

    def on_message_complete(self) -> None:
        """Queues the request, and starts it if it may run beside others."""
        head = self._head
        self._head = None
        self._progress_s = None
        if self._is_broken or head is None:
            return
        is_repeatable = self._is_repeatable(head)
        pending = ingress.Pending(
            exchange.CallerRequest(head, b"".join(self._body), self._head_s),
            self._parser.should_keep_alive(),
            is_repeatable,
        )
        self._body = []
        self._queue.append(pending)
        # What isn't started before the connection closes counts as not read.
        may_start = (
            is_repeatable
            and not self._is_closing
            and all(
                isinstance(p, ingress.Pending) and p.keeps_alive
                for p in list(self._queue)[:-1]
            )
        )
        if may_start or len(self._queue) == 1:
            self._start(pending)
        if len(self._queue) >= _MAX_PIPELINED and self._transport is not None:
            self._is_paused = True
            self._transport.pause_reading()
        self._arrived.set()

    # Called by the listener

    def check_progress(self, now_s: float) -> None:
        """Ends a connection whose caller is idle, or too slow.

        Args:
            now_s: Time on the loop's clock, in seconds.
        """
        if self._is_broken:
            return
        if self._progress_s is not None:
            if now_s - self._progress_s > self._limits.header_timeout_s:
                self._break(
                    ingress.Violation(408, "the request arrives too slowly")
                )
        elif (
            not self._queue
            and now_s - self._idle_since_s > self._limits.idle_timeout_s
        ):
            self.close()

    def announce_close(self) -> None:
        """Tells the caller with the next answer to connect anew."""
        self._is_closing = True

    def close_if_idle(self) -> None:
        """Closes the connection unless a request is arriving or served."""
        if not self.is_busy:
            self.close()

    def close(self) -> None:
        """Closes the connection after what was written."""
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Cuts the connection."""
        if self._transport is not None:
            self._transport.abort()

    # The task of the connection

    async def _answer_all(self) -> None:
        try:
            while True:
                while not self._queue:
                    self._arrived.clear()
                    await self._arrived.wait()
                if not await self._answer_first():
                    return
        except exceptions.ResponseCutError:
            self._metrics.count("gateway.response.cut")
            self.abort()
        except Exception:
            self._metrics.count("gateway.request.crashed")
            _LOGGER.exception("a request crashed")
            self.abort()

    async def _answer_first(self) -> bool:
        """Answers the oldest request; returns whether others may follow."""
        item = self._queue[0]
        if isinstance(item, ingress.Violation):
            self._write_violation(item)
            return False
        if item.task is None:
            self._start(item)
        assert item.task is not None
        answer = await item.task
        closes = not item.keeps_alive or (
            self._is_closing and not self._has_started_others()
        )
        if closes:
            # What arrives from now on counts as not read.
            self._is_broken = True
        await self._write(item, answer, closes=closes)
        self._queue.popleft()
        if closes:
            self._cancel_rest()
            self.close()
            return False
        self._idle_since_s = self._loop.time()
        if self._is_paused and len(self._queue) < _MAX_PIPELINED // 2:
            self._is_paused = False
            if self._transport is not None:
                self._transport.resume_reading()
        return True

    def _has_started_others(self) -> bool:
        """Returns whether a request behind the first is being served."""
        return any(
            isinstance(p, ingress.Pending) and p.task is not None
            for p in list(self._queue)[1:]
        )

    def _start(self, pending: ingress.Pending) -> None:
        pending.task = self._loop.create_task(
            typing.cast(
                "typing.Coroutine[typing.Any, typing.Any, exchange.Answer]",
                self._serve(pending.request),
            )
        )

    async def _write(
        self, pending: ingress.Pending, answer: exchange.Answer, *, closes: bool
    ) -> None:
        transport = self._transport
        if transport is None:
            return
        status = answer.status
        lines = [_STATUS_LINES.get(status) or b"HTTP/1.1 %d \r\n" % status]
        for name, value in answer.headers:
            if name != b"content-length":
                lines += (name, b": ", value, b"\r\n")
        has_body = (
            pending.request.head.method != "HEAD"
            and status not in _WITHOUT_BODY
        )
        is_chunked = answer.rest is not None and answer.length is None
        if is_chunked:
            lines.append(b"transfer-encoding: chunked\r\n")
        elif status not in _WITHOUT_BODY:
            lines.append(b"content-length: %d\r\n" % (answer.length or 0))
        if closes:
            lines.append(b"connection: close\r\n")
        lines.append(b"\r\n")
        if has_body and answer.body:
            lines.append(_frame(answer.body, is_chunked))
        transport.write(b"".join(lines))
        await self._writable.wait()
        if answer.rest is None:
            return
        async for part in answer.rest:
            transport.write(_frame(part, is_chunked))
            await self._writable.wait()
        if is_chunked:
            transport.write(b"0\r\n\r\n")

    def _write_violation(self, violation: ingress.Violation) -> None:
        self._metrics.count(f"gateway.violation.{violation.status}")
        _LOGGER.warning(
            "violation",
            extra={"status": violation.status, "reason": violation.reason},
        )
        if self._transport is not None:
            self._transport.write(
                _STATUS_LINES[violation.status]
                + b"content-length: 0\r\nconnection: close\r\n\r\n"
            )
            if self._transport.can_write_eof():
                self._transport.write_eof()
            self._loop.call_later(_LINGER_S, self.abort)

    def _break(self, violation: ingress.Violation) -> None:
        if self._is_broken:
            return
        self._is_broken = True
        self._progress_s = None
        self._queue.append(violation)
        self._arrived.set()

    def _cancel_rest(self) -> None:
        for item in self._queue:
            if isinstance(item, ingress.Pending) and item.task is not None:
                item.task.cancel()


def _frame(part: bytes, is_chunked: bool) -> bytes:
    if is_chunked:
        return b"%x\r\n%b\r\n" % (len(part), part)
    return part
