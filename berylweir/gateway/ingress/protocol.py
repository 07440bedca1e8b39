"""An HTTP/1.1 server connection that handles pipelined requests in parallel."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import logging
import typing

import httptools
import result

from berylweir.gateway import models
from berylweir.gateway.body_memory import budget
from berylweir.gateway.body_memory import models as body_memory
from berylweir.gateway.exchange import exceptions
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.forwarding import codec
from berylweir.gateway.ingress import models as ingress
from berylweir.gateway.ingress import rejections
from berylweir.gateway.ingress import request_queue
from berylweir.gateway.ingress import unanswered
from berylweir.gateway.ingress import writer
from berylweir.observability import counters
from berylweir.platform import requests
from berylweir.transports import lingering

_LOGGER = logging.getLogger(__name__)
# Reading from a connection pauses while this many requests are queued.
_MAX_PIPELINED = 32
# Time in which the event loop reads what has arrived before a connection is
# closed, in seconds.
_READ_S = 0.01
# Received bytes that are parsed at once. A long series of short requests would
# keep the event loop from other connections.
_MAX_PARSED_BYTES = 4096
# Digits of the longest `content-length` that is read.
_MAX_LENGTH_DIGITS = 18

HandleRequest = Callable[[exchange.CallerRequest], Awaitable[exchange.Answer]]
DecodeHead = Callable[[str, bytes, Sequence[requests.Header]], codec.Decoded]


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    Idempotent requests run in parallel; the answers are written in the order of
    the requests.
    """

    def __init__(
        self,
        handle_request: HandleRequest,
        find_traits: Callable[[requests.RequestHead], ingress.RequestTraits],
        get_limits: Callable[[], models.CallerLimits],
        connections: "set[CallerConnection]",
        memory: budget.BodyMemory,
        metrics: counters.Counters,
        decode_head: DecodeHead = codec.decode_caller_request,
        refusal_headers: tuple[requests.Header, ...] = (),
    ) -> None:
        """Creates the protocol of a connection that isn't open yet.

        Args:
            handle_request: Returns the answer to a request.
            find_traits: Returns what the configuration says of a request.
                Requests that aren't idempotent wait until all earlier answers
                have been written.
            get_limits: Returns the newest limits on what a caller may send.
            connections: All open connections of the listener.
            memory: Memory for the bodies of requests.
            metrics: Counters.
            decode_head: Decodes the head of a request and its origin.
            refusal_headers: Added to the refusal of a request that wasn't
                received as a whole.
        """
        self._decode_head = decode_head
        self._handle_request = handle_request
        self._find_traits = find_traits
        self._memory = memory
        self._get_limits = get_limits
        # Limits of the request that is being received.
        self._limits = get_limits()
        self._connections = connections
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._writer: writer.AnswerWriter | None = None
        self._task: asyncio.Task[None] | None = None
        self._queue = request_queue.RequestQueue()
        self._wake = asyncio.Event()
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._incoming: ingress.IncomingRequest | None = None
        self._received_head_bytes = 0
        self._last_progress_s: float | None = None
        self._idle_since_s = self._loop.time()
        self._closed: ingress.Closed | None = None
        self._is_closing = False
        self._requested_close: ingress.CloseReason | None = None
        self._is_parsable = True
        # Bytes that wait until the queue has room.
        self._unparsed = memoryview(b"")
        self._unanswered = unanswered.Recorder(metrics)
        self._rejections = rejections.RejectionWriter(
            memory, metrics, refusal_headers
        )
        self._is_reading_paused = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or handled."""
        return bool(self._queue) or self._last_progress_s is not None

    # Called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and starts the task that writes answers."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._writer = writer.AnswerWriter(self._transport)
        self._connections.add(self)
        self._task = self._loop.create_task(self._answer_requests())

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, as far as the queue has room."""
        self._unparsed = memoryview(
            bytes(self._unparsed) + data if self._unparsed else data
        )
        self._parse_received()

    def _parse_received(self) -> None:
        while self._unparsed and self._is_parsable:
            if self._is_reading_paused:
                return
            part = self._unparsed[:_MAX_PARSED_BYTES]
            self._unparsed = self._unparsed[_MAX_PARSED_BYTES:]
            self._parse(part)

    def _parse(self, data: memoryview) -> None:
        """Parses bytes, and enforces the limit on the head."""
        if self._incoming is None:
            self._received_head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._is_parsable = False
            self._reject(ingress.Violation(400, "upgrades are not supported"))
        except httptools.HttpParserError as error:
            self._is_parsable = False
            self._reject(ingress.Violation(400, f"malformed request: {error}"))
        if (
            self._incoming is None
            and self._received_head_bytes > self._limits.max_header_bytes
        ):
            self._is_parsable = False
            self._reject(ingress.Violation(431, "the headers are too large"))

    def eof_received(self) -> bool:
        """Closes the connection when the caller closes its side."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels all requests, so that backend servers stop running them."""
        self._connections.discard(self)
        self._is_parsable = False
        self._resume_writing()
        if self._task is not None:
            self._task.cancel()
        # A caller may leave while its last requests are still handled.
        self._drop_requests(None)

    def pause_writing(self) -> None:
        """Stops writing while the caller reads more slowly than we write."""
        if self._writer is not None:
            self._writer.pause()

    def resume_writing(self) -> None:
        """Continues writing."""
        self._resume_writing()

    def _resume_writing(self) -> None:
        if self._writer is not None:
            self._writer.resume()

    # Called by the parser

    def on_message_begin(self) -> None:
        """Resets the state for the next request."""
        if self._closed is None:
            self._last_progress_s = self._loop.time()
            self._limits = self._get_limits()
        self._url = b""
        self._headers = []
        self._drop_incoming()

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header field; trailer fields are ignored."""
        if self._incoming is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decodes the head, checks its size and answers `Expect`."""
        self._received_head_bytes = 0
        received_s = self._loop.time()
        if self._closed is None:
            self._last_progress_s = received_s
        decoded = self._decode_head(
            self._parser.get_method().decode("latin-1"),
            self._url,
            self._headers,
        )
        match decoded:
            case result.Ok((head, origin)):
                pass
            case result.Err(failure):
                self._reject(ingress.Violation(400, failure.reason))
                return
        if self._closed is not None:
            self._record_crossed_close(head, self._closed)
            if head.deadline_ms is not None:
                self._queue.limit_by_dropped(
                    received_s + head.deadline_ms / 1000.0
                )
            return
        header_bytes = len(self._url) + sum(
            len(n) + len(v) for n, v in self._headers
        )
        if header_bytes > self._limits.max_header_bytes:
            self._reject(ingress.Violation(431, "the headers are too large"))
            return
        traits = self._find_traits(head)
        stack = contextlib.ExitStack()
        reservation = stack.enter_context(
            self._memory.open(body_memory.RouteRequests(traits.route))
        )
        self._incoming = ingress.IncomingRequest(
            head, origin, traits, received_s, reservation, stack
        )
        stated_bytes = _stated_length(self._headers)
        if stated_bytes > self._limits.max_body_bytes:
            self._reject(ingress.Violation(413, "the body is too large"))
            return
        if not reservation.hold(stated_bytes, body_memory.Upload()):
            self._reject(ingress.NoMemory(head.request_id, stated_bytes))
            return
        expects_continue = any(
            n == b"expect" and v.lower() == b"100-continue"
            for n, v in self._headers
        )
        if expects_continue and not self._queue and self._writer is not None:
            self._writer.write_continue()

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body and checks its size."""
        incoming = self._incoming
        if self._closed is not None or incoming is None:
            return
        incoming.body += body
        received_bytes = len(incoming.body)
        self._last_progress_s = self._loop.time()
        if received_bytes > self._limits.max_body_bytes:
            self._reject(ingress.Violation(413, "the body is too large"))
            return
        # A body in chunks states no length.
        unreserved_bytes = received_bytes - incoming.reservation.held_bytes
        if unreserved_bytes > 0 and not incoming.reservation.hold(
            unreserved_bytes, body_memory.Upload()
        ):
            self._reject(
                ingress.NoMemory(incoming.head.request_id, received_bytes)
            )

    def on_message_complete(self) -> None:
        """Queues the request, and starts it if it can run in parallel."""
        incoming = self._incoming
        self._last_progress_s = None
        if self._closed is not None or incoming is None:
            self._drop_incoming()
            return
        self._incoming = None
        is_idempotent = incoming.traits.is_idempotent
        pending = ingress.PendingRequest(
            exchange.CallerRequest(
                incoming.head,
                incoming.body,
                incoming.received_s,
                incoming.origin,
            ),
            self._parser.should_keep_alive(),
            is_idempotent,
            incoming.stack,
        )
        can_start = is_idempotent and self._queue.may_run_another
        self._queue.append(pending)
        if can_start or len(self._queue) == 1:
            self._start_request(pending)
        if (
            len(self._queue) >= _MAX_PIPELINED
            and self._transport is not None
            and not self._is_reading_paused
        ):
            self._is_reading_paused = True
            self._transport.pause_reading()
        self._wake.set()

    # Called by the listener

    def check_timeouts(self, now_s: float) -> None:
        """Rejects a request that arrives too slowly; closes if idle too long.

        Args:
            now_s: Time on the loop's clock, in seconds.
        """
        if self._closed is not None or self._is_reading_paused:
            return
        if self._last_progress_s is not None:
            is_expired = (
                self._incoming is not None and self._incoming.is_expired(now_s)
            )
            waited_s = now_s - self._last_progress_s
            if is_expired or waited_s > self._limits.header_timeout_s:
                self._reject(
                    ingress.Violation(408, "the request arrives too slowly")
                )
        elif (
            not self._queue
            and now_s - self._idle_since_s > self._get_limits().idle_timeout_s
        ):
            self._request_close(ingress.CloseReason.IDLE)

    def announce_close(self) -> None:
        """Makes the last answer tell the caller to close the connection.

        Requests that are received before that answer is written are answered
        too.
        """
        self._is_closing = True

    def finish(self) -> None:
        """Closes the connection once the requests received are answered.

        To be called again later, since one that is being received isn't
        interrupted.
        """
        if self._last_progress_s is not None:
            return
        if self._queue:
            self._close_input(ingress.CloseReason.STOPPING)
        self._request_close(ingress.CloseReason.STOPPING)

    def interrupt_receiving(self) -> None:
        """Refuses a request that is still being received."""
        if self._last_progress_s is not None:
            incoming = self._incoming
            self._reject(
                ingress.Interrupted(
                    incoming.head.request_id if incoming else ""
                )
            )

    def _request_close(self, reason: ingress.CloseReason) -> None:
        """Closes the connection unless a request arrives first."""
        self._is_closing = True
        if self._requested_close is None:
            self._requested_close = reason
            self._wake.set()

    # The task of the connection

    async def _answer_requests(self) -> None:
        try:
            while await self._wait_for_request():
                if not await self._answer_next():
                    await self._linger()
                    return
            await self._close_idle()
        except exceptions.ResponseTruncatedError:
            self._metrics.count("gateway.response.cut")
            await self._break_off()
        except Exception:
            self._metrics.count("gateway.request.crashed")
            _LOGGER.exception("unhandled error in a request")
            await self._break_off()

    async def _wait_for_request(self) -> bool:
        """Returns whether there is one; if not, the connection is closed."""
        while not self._queue:
            if self._closed is not None:
                return False
            self._wake.clear()
            if self._requested_close is not None and not self.is_busy:
                if await self._is_quiet():
                    self._close_input(self._requested_close)
                    return False
            else:
                await self._wake.wait()
        return True

    async def _is_quiet(self) -> bool:
        """Returns whether no request has arrived.

        The event loop may not have read from the connection for some time, so
        it gets the opportunity first.
        """
        await asyncio.sleep(_READ_S)
        return (
            not self.is_busy
            and self._transport is not None
            and lingering.count_unread(self._transport) == 0
        )

    async def _answer_next(self) -> bool:
        """Answers the oldest request; returns whether the next may follow."""
        match self._queue.oldest:
            case ingress.PendingRequest() as entry:
                return await self._answer_request(entry)
            case (
                ingress.Violation()
                | ingress.NoMemory()
                | ingress.Interrupted() as failure
            ):
                if self._writer is not None:
                    self._rejections.write(failure, self._writer)
                return False
            case _ as unknown:
                typing.assert_never(unknown)

    async def _answer_request(self, entry: ingress.PendingRequest) -> bool:
        """Answers a request; returns whether the next may follow."""
        if entry.task is None:
            self._start_request(entry)
        assert entry.task is not None
        answer = await entry.task
        closes_connection = not entry.keep_alive or (
            self._is_closing
            and len(self._queue) == 1
            and self._last_progress_s is None
        )
        if closes_connection:
            # Requests that arrive from now on count as not received.
            self._close_input(ingress.CloseReason.ANNOUNCED)
        entry.is_being_written = True
        with contextlib.closing(answer):
            if self._writer is not None:
                await self._writer.write(
                    answer,
                    is_head_request=entry.request.head.method == "HEAD",
                    closes_connection=closes_connection,
                )
        self._queue.remove_oldest()
        entry.stack.close()
        if closes_connection:
            self._drop_requests(self._closed)
            return False
        self._idle_since_s = self._loop.time()
        if self._is_reading_paused and len(self._queue) < _MAX_PIPELINED // 2:
            self._resume_reading()
        return True

    def _start_request(self, pending: ingress.PendingRequest) -> None:
        pending.task = self._loop.create_task(
            typing.cast(
                "typing.Coroutine[typing.Any, typing.Any, exchange.Answer]",
                self._handle_request(pending.request),
            )
        )

    async def _close_idle(self) -> None:
        """Closes the connection after all requests were answered."""
        if self._transport is None or self._transport.is_closing():
            return
        idle_s = self._loop.time() - self._idle_since_s
        unread = await lingering.close_idle(self._transport)
        if unread > 0:
            self._unanswered.record_unread(unread, self._closed, idle_s)

    async def _linger(self) -> None:
        """Closes the connection once the caller has received all data."""
        if self._transport is None:
            return
        if self._is_reading_paused:
            self._resume_reading()
        await lingering.close(self._transport)

    async def _break_off(self) -> None:
        """Ends the connection within an answer, behind the earlier answers.

        A reset would lose what the caller hasn't received of those.
        """
        self._closed = ingress.Closed(
            ingress.CloseReason.BROKEN, self._loop.time()
        )
        self._drop_requests(self._closed)
        await self._linger()

    def _resume_reading(self) -> None:
        """Continues to read once the queue has room."""
        self._is_reading_paused = False
        if self._last_progress_s is not None:
            # The caller had to wait.
            self._last_progress_s = self._loop.time()
        self._parse_received()
        if not self._is_reading_paused and self._transport is not None:
            self._transport.resume_reading()

    def _reject(self, failure: ingress.Rejection) -> None:
        if self._closed is not None:
            return
        self._close_input(ingress.CloseReason.REJECTED)
        self._last_progress_s = None
        self._drop_incoming()
        self._queue.append(failure)
        self._wake.set()

    def _close_input(self, reason: ingress.CloseReason) -> None:
        """Drops what arrives from now on."""
        if self._closed is None:
            self._closed = ingress.Closed(reason, self._loop.time())

    def _record_crossed_close(
        self, head: requests.RequestHead, closed: ingress.Closed
    ) -> None:
        self._unanswered.record(
            unanswered.Unanswered(
                head,
                unanswered.Stage.CROSSED_CLOSE,
                0.0,
                len(self._queue),
                closed,
                round(closed.since_s - self._idle_since_s, 3),
                round(self._loop.time() - closed.since_s, 3),
            )
        )

    def _drop_incoming(self) -> None:
        if self._incoming is not None:
            self._incoming.stack.close()
            self._incoming = None

    def _drop_requests(self, close: ingress.Closed | None) -> None:
        """Cancels and records all requests without a complete answer.

        Args:
            close: How the gateway closed the connection; None if the caller
                did.
        """
        pending = self._queue.clear()
        self._unanswered.record_all(
            pending, self._incoming, close, self._loop.time()
        )
        for entry in pending:
            entry.drop()
        self._drop_incoming()


def _stated_length(headers: Iterable[requests.Header]) -> int:
    """Returns the `content-length` of a request, in bytes; 0 if none."""
    for name, value in headers:
        if name == b"content-length" and value.isdigit():
            return int(value[:_MAX_LENGTH_DIGITS])
    return 0
