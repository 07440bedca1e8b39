"""Sends a request to a backend server or router and forwards the response."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import time

from berylweir.backendapi import headers
from berylweir.observability import tracing
from berylweir.refusals import models as refusals
from berylweir.router.admission import models as admission
from berylweir.router.backends import connection
from berylweir.router.backends import exceptions as backend_exceptions
from berylweir.router.ingress import decisions
from berylweir.router.ingress import exceptions
from berylweir.router.ingress import incoming
from berylweir.router.ingress import models
from berylweir.router.ingress import protocol


class RequestBody:
    """The body of a request, read from the caller on demand.

    The start of the body is kept in memory, so that a request with a small
    body can be sent again. The rest is streamed part by part, and a request
    can't be sent again once streaming has begun.
    """

    def __init__(
        self,
        head: models.Head,
        request: incoming.Request,
        limits: models.Limits,
        max_prefetched_bytes: int,
    ) -> None:
        """Creates a body of which nothing has been read.

        Args:
            head: Head of the request.
            request: The request as it arrives.
            limits: Limits on what a caller may send.
            max_prefetched_bytes: Largest start of a body to keep, in bytes.
        """
        self._request = request
        self._limits = limits
        self._max_prefetched_bytes = max_prefetched_bytes
        self._prefetched_parts: list[bytes] = []
        self._received_bytes = 0
        self._is_complete = not head.has_body
        self._is_streamed = False

    @property
    def can_resend(self) -> bool:
        """Whether the request can be sent again with the same body."""
        return not self._is_streamed

    async def prefetch(self) -> refusals.Refusal | None:
        """Reads a small body whole before the request asks for admission.

        Otherwise a slow caller would occupy a slot of a backend server.
        Returns a refusal if the body is invalid, cut, too large or too slow.
        """
        while (
            not self._is_complete
            and self._received_bytes <= self._max_prefetched_bytes
        ):
            part = await self._next_part(started=False)
            if not isinstance(part, bytes):
                return part
            self._prefetched_parts.append(part)
        return None

    async def write_parts(
        self, write: Callable[[bytes], Awaitable[None]]
    ) -> refusals.Refusal | None:
        """Writes the whole body; returns a refusal as `prefetch` does."""
        for part in self._prefetched_parts:
            if part:
                await write(part)
        if self._is_complete:
            return None
        self._is_streamed = True
        self._prefetched_parts.clear()
        while not self._is_complete:
            next_part = await self._next_part(started=True)
            if not isinstance(next_part, bytes):
                return next_part
            if next_part:
                await write(next_part)
        return None

    async def _next_part(self, *, started: bool) -> bytes | refusals.Refusal:
        """Returns the next part, empty at the end of the body, or a refusal.

        Args:
            started: Whether the request was already sent in part, so that its
                outcome is unknown after a refusal.
        """
        try:
            part = await self._request.read()
        except exceptions.RequestIncomplete as error:
            match error.refusal:
                case refusals.SlowSender(timeout_s=timeout_s):
                    return refusals.SlowSender(timeout_s, started)
                case refusals.BodyCut():
                    return refusals.BodyCut(started)
                case refusal:
                    return refusal
        self._received_bytes += len(part)
        if self._received_bytes > self._limits.max_body_bytes:
            return refusals.BodyTooLarge(self._limits.max_body_bytes, started)
        self._is_complete = not part
        return part


class Exchange:
    """Sends one request over a connection and forwards the response."""

    def __init__(
        self,
        upstream: connection.Connection,
        upstream_name: str,
        head: models.Head,
        internal_headers: list[tuple[bytes, bytes]],
        send_before_s: float | None,
        *,
        is_peer: bool,
        trace_headers: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        """Creates an exchange.

        Args:
            upstream: Connection to a backend server or to another router.
            upstream_name: Name of the backend server, or of the router's VM.
            head: Head of the request.
            internal_headers: Headers to add.
            send_before_s: Time on the monotonic clock before which the request
                must be sent, in seconds, or None.
            is_peer: Whether the connection leads to another router.
            trace_headers: Headers that replace the caller's trace headers, or
                None to forward those unchanged.
        """
        self._upstream = upstream
        self._upstream_name = upstream_name
        self._head = head
        self._internal_headers = internal_headers
        self._send_before_s = send_before_s
        self._is_peer = is_peer
        self._trace_headers = trace_headers
        self._ending = admission.Ending.NOT_SENT
        self._response_started = False
        self._has_started_sending = False

    @property
    def ending(self) -> admission.Ending:
        """How the exchange has ended."""
        return self._ending

    async def run(
        self, body: RequestBody, caller: protocol.CallerConnection
    ) -> refusals.Refusal | None:
        """Runs the exchange.

        Returns:
            None if a response was forwarded, else the refusal to send.

        Raises:
            ResponseCut: If the response ended early, after its head was sent
                to the caller.
        """
        try:
            return await self._run(body, caller)
        except backend_exceptions.ExchangeError:
            return self._handle_connection_error()
        except asyncio.CancelledError:
            self._upstream.close()
            if self._has_started_sending:
                self._ending = admission.Ending.CANCELLED
            raise

    async def _run(
        self, body: RequestBody, caller: protocol.CallerConnection
    ) -> refusals.Refusal | None:
        now = time.monotonic()
        if self._send_before_s is not None and now >= self._send_before_s:
            return refusals.NotHome(self._upstream_name)
        self._upstream.begin(
            self._encode_request_head(now),
            is_head_request=self._head.method == "HEAD",
        )
        self._ending = admission.Ending.CANCELLED
        self._has_started_sending = True
        if self._head.has_body:
            refusal = await self._send_body(body)
            if refusal is not None:
                self._upstream.close()
                return refusal
        response = await self._upstream.read_head()
        if self._is_peer and _is_routing_refusal(response):
            return await self._read_peer_refusal()
        await self._forward_response(response, caller)
        return None

    def _encode_request_head(self, now: float) -> bytes:
        remaining_ms = max(1, int((self._head.deadline_s - now) * 1000))
        lines = [
            self._head.method.encode() + b" " + self._head.target + b" HTTP/1.1"
        ]
        request_headers = decisions.select_request_headers(self._head.headers)
        if self._trace_headers is not None:
            request_headers = [
                f
                for f in request_headers
                if f[0] not in (tracing.TRACEPARENT, tracing.TRACESTATE)
            ]
            request_headers += self._trace_headers
        request_headers += self._internal_headers
        request_headers.append((headers.DEADLINE_MS, b"%d" % remaining_ms))
        if self._head.has_body and self._head.content_length is None:
            request_headers.append((b"transfer-encoding", b"chunked"))
        lines += [name + b": " + value for name, value in request_headers]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    async def _send_body(self, body: RequestBody) -> refusals.Refusal | None:
        chunked = self._head.content_length is None

        async def write(part: bytes) -> None:
            if chunked:
                part = b"%x\r\n%b\r\n" % (len(part), part)
            self._upstream.write(part)
            await self._upstream.drain()

        refusal = await body.write_parts(write)
        if refusal is None and chunked:
            self._upstream.write(b"0\r\n\r\n")
        return refusal

    async def _read_peer_refusal(self) -> refusals.Refusal:
        """Reads the rest of another router's refusal.

        It means that the request did not run there and may be routed anew.
        """
        while await self._upstream.read_body():
            pass
        self._ending = admission.Ending.SHED
        return refusals.NotHome(self._upstream_name)

    async def _forward_response(
        self,
        response: connection.ResponseHead,
        caller: protocol.CallerConnection,
    ) -> None:
        upstream = self._upstream
        response_headers = decisions.select_response_headers(response.headers)
        if not self._is_peer:
            # A backend server must not forge the refusal of a router.
            response_headers = [
                f for f in response_headers if f[0] != headers.REFUSAL
            ]
        first_part = upstream.read_available()
        is_complete = upstream.is_complete
        self._response_started = True
        caller.start_response(
            response.status,
            response_headers,
            first_part,
            is_complete=is_complete,
        )
        if not is_complete:
            while part := await upstream.read_body():
                await caller.write_body(part)
            caller.end_response()
        self._ending = _ending_of(response)

    def time_out(self) -> refusals.Refusal:
        """Ends the exchange at its deadline and returns the refusal to send.

        Raises:
            ResponseCut: If the head of the response was sent to the caller.
        """
        self._upstream.expire()
        if not self._has_started_sending:
            return refusals.DeadlineExceeded(sent=False)
        self._ending = admission.Ending.TIMED_OUT
        if self._response_started:
            raise exceptions.ResponseCut
        return refusals.DeadlineExceeded(sent=True)

    def _handle_connection_error(self) -> refusals.Refusal:
        self._upstream.close()
        if not self._has_started_sending:
            return refusals.ConnectFailed(self._upstream_name)
        self._ending = admission.Ending.CUT
        if self._response_started:
            raise exceptions.ResponseCut
        return refusals.ExchangeCut(self._upstream_name)


_ROUTING_REFUSALS = frozenset({b"not-home", b"no-owner", b"shutting-down"})


def _is_routing_refusal(response: connection.ResponseHead) -> bool:
    if response.status != 503:
        return False
    return any(
        n == headers.REFUSAL and v in _ROUTING_REFUSALS
        for n, v in response.headers
    )


def _ending_of(response: connection.ResponseHead) -> admission.Ending:
    if response.status in (429, 503) and any(
        n == headers.OUTCOME and v == b"not-run" for n, v in response.headers
    ):
        return admission.Ending.SHED
    if response.status >= 500:
        return admission.Ending.FAILED
    return admission.Ending.COMPLETED
