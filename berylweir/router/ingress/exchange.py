"""One exchange: a request goes out and its response comes back."""

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
from berylweir.router.ingress import models
from berylweir.router.ingress import protocol


class RequestBody:
    """The body of a request, read as it is needed.

    The start of a body is kept, so that a request whose body is small can be
    sent again if it has not run. The rest is passed on part by part.
    """

    def __init__(
        self,
        head: models.Head,
        request: protocol.Request,
        limits: models.Limits,
        keep_bytes: int,
    ) -> None:
        """Creates a body of which nothing has been read.

        Args:
            head: Head of the request.
            request: The request as it arrives.
            limits: Limits on what a caller may send.
            keep_bytes: Largest start of a body that is kept, in bytes.
        """
        self._request = request
        self._limits = limits
        self._keep_bytes = keep_bytes
        self._kept: list[bytes] = []
        self._received = 0
        self._is_complete = not head.has_body
        self._is_streamed = False

    @property
    def can_repeat(self) -> bool:
        """Whether the request can be sent once more."""
        return not self._is_streamed

    async def prepare(self) -> refusals.Refusal | None:
        """Reads a small body whole, so that a slow caller holds no server."""
        while not self._is_complete and self._received <= self._keep_bytes:
            part = await self._next_part(started=False)
            if not isinstance(part, bytes):
                return part
            self._kept.append(part)
        return None

    async def parts(
        self, write: Callable[[bytes], Awaitable[None]]
    ) -> refusals.Refusal | None:
        """Writes all parts; returns a refusal if the caller breaks a rule."""
        for part in self._kept:
            if part:
                await write(part)
        if self._is_complete:
            return None
        self._is_streamed = True
        self._kept.clear()
        while not self._is_complete:
            next_part = await self._next_part(started=True)
            if not isinstance(next_part, bytes):
                return next_part
            if next_part:
                await write(next_part)
        return None

    async def _next_part(self, *, started: bool) -> bytes | refusals.Refusal:
        try:
            part = await self._request.read()
        except exceptions.RequestBroken as broken:
            match broken.refusal:
                case refusals.SlowSender(timeout_s=timeout_s):
                    return refusals.SlowSender(timeout_s, started)
                case refusals.BodyCut():
                    return refusals.BodyCut(started)
                case refusal:
                    return refusal
        self._received += len(part)
        if self._received > self._limits.max_body_bytes:
            return refusals.BodyTooLarge(self._limits.max_body_bytes, started)
        self._is_complete = not part
        return part


class Exchange:
    """Sends a request over a lent connection and passes the response on."""

    def __init__(
        self,
        lent: connection.Connection,
        server: str,
        head: models.Head,
        internal: list[tuple[bytes, bytes]],
        send_before_s: float | None,
        *,
        is_peer: bool,
        trace_headers: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        """Creates an exchange.

        Args:
            lent: Connection to use.
            server: Name of what is at its other end.
            head: Head of the request.
            internal: Headers to add.
            send_before_s: Monotonic time before which the request must be
                sent, or None.
            is_peer: Whether another router is at the other end.
            trace_headers: Headers that replace those of the caller's trace,
                or None to pass them on as they are.
        """
        self._connection = lent
        self._server = server
        self._head = head
        self._internal = internal
        self._send_before_s = send_before_s
        self._is_peer = is_peer
        self._trace_headers = trace_headers
        self._ending = admission.Ending.NOT_SENT
        self._response_started = False
        self._is_sent = False

    @property
    def ending(self) -> admission.Ending:
        """How the exchange has ended."""
        return self._ending

    async def run(
        self, body: RequestBody, caller: protocol.CallerConnection
    ) -> refusals.Refusal | None:
        """Runs the exchange.

        Returns:
            None if a response was passed on, else the refusal to answer with.

        Raises:
            ResponseCut: If the response broke off on its way to the caller.
        """
        try:
            return await self._run(body, caller)
        except backend_exceptions.ExchangeError:
            return self._cut()
        except asyncio.CancelledError:
            self._connection.close()
            if self._is_sent:
                self._ending = admission.Ending.CANCELLED
            raise

    async def _run(
        self, body: RequestBody, caller: protocol.CallerConnection
    ) -> refusals.Refusal | None:
        now = time.monotonic()
        if self._send_before_s is not None and now >= self._send_before_s:
            return refusals.NotHome(self._server)
        self._connection.begin(
            self._request_bytes(now), is_head=self._head.method == "HEAD"
        )
        self._ending = admission.Ending.CANCELLED
        self._is_sent = True
        if self._head.has_body:
            refusal = await self._send_body(body)
            if refusal is not None:
                self._connection.close()
                return refusal
        response = await self._connection.read_head()
        if self._is_peer and _is_refusal_of_place(response):
            return await self._take_refusal()
        await self._pass_on(response, caller)
        return None

    def _request_bytes(self, now: float) -> bytes:
        remaining_ms = max(1, int((self._head.deadline_s - now) * 1000))
        lines = [
            self._head.method.encode() + b" " + self._head.target + b" HTTP/1.1"
        ]
        fields = decisions.forward_headers(
            self._head.headers, self._head.fields.get(b"connection", b"")
        )
        if self._trace_headers is not None:
            fields = [
                f
                for f in fields
                if f[0] not in (tracing.TRACEPARENT, tracing.TRACESTATE)
            ]
            fields += self._trace_headers
        fields += self._internal
        fields.append((headers.DEADLINE_MS, b"%d" % remaining_ms))
        if self._head.has_body and self._head.content_length is None:
            fields.append((b"transfer-encoding", b"chunked"))
        lines += [name + b": " + value for name, value in fields]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    async def _send_body(self, body: RequestBody) -> refusals.Refusal | None:
        chunked = self._head.content_length is None

        async def write(part: bytes) -> None:
            if chunked:
                part = b"%x\r\n%b\r\n" % (len(part), part)
            self._connection.write(part)
            await self._connection.drain()

        refusal = await body.parts(write)
        if refusal is None and chunked:
            self._connection.write(b"0\r\n\r\n")
        return refusal

    async def _take_refusal(self) -> refusals.Refusal:
        """Reads the refusal of another router, to try another place."""
        while await self._connection.read_body():
            pass
        self._ending = admission.Ending.SHED
        return refusals.NotHome(self._server)

    async def _pass_on(
        self,
        response: connection.ResponseHead,
        caller: protocol.CallerConnection,
    ) -> None:
        source = self._connection
        fields = decisions.answer_headers(response.headers)
        if not self._is_peer:
            # Only a router may say that a request was refused on its way.
            fields = [f for f in fields if f[0] != headers.REFUSAL]
        first = source.read_available()
        is_complete = source.is_complete
        self._response_started = True
        caller.start(response.status, fields, first, is_complete=is_complete)
        if not is_complete:
            while part := await source.read_body():
                await caller.write(part)
            caller.end()
        self._ending = _ending_of(response)

    def time_out(self) -> refusals.Refusal:
        """Notes that the deadline has passed; returns the refusal.

        Raises:
            ResponseCut: If the response has begun.
        """
        self._connection.expire()
        if not self._is_sent:
            return refusals.DeadlineExceeded(sent=False)
        self._ending = admission.Ending.TIMED_OUT
        if self._response_started:
            raise exceptions.ResponseCut
        return refusals.DeadlineExceeded(sent=True)

    def _cut(self) -> refusals.Refusal:
        self._connection.close()
        if not self._is_sent:
            return refusals.ConnectFailed(self._server)
        self._ending = admission.Ending.CUT
        if self._response_started:
            raise exceptions.ResponseCut
        return refusals.ExchangeCut(self._server)


_PLACE_REFUSALS = frozenset({b"not-home", b"no-owner", b"shutting-down"})


def _is_refusal_of_place(response: connection.ResponseHead) -> bool:
    if response.status != 503:
        return False
    return any(
        n == headers.REFUSAL and v in _PLACE_REFUSALS
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
