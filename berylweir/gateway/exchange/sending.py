"""Sends a request to one backend server and reads the response."""

import asyncio
from collections.abc import AsyncIterator

from berylweir.gateway import messages
from berylweir.gateway.dispatch import task as dispatch
from berylweir.gateway.exchange import exceptions
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.exchange import outcomes
from berylweir.platform import requests
from berylweir.router.backends import connection as http
from berylweir.router.backends import exceptions as http_exceptions

# Longest time to open a connection, in seconds; a full queue of new
# connections drops the first packet, which is sent again after a second.
_CONNECT_TIMEOUT_S = 0.6
# A response up to this size is read whole before it is returned, so that
# another server can take over if it breaks off.
_WHOLE_BYTES = 1_048_576


class Sending:
    """One use of a backend server; reports its end to the dispatcher."""

    def __init__(
        self,
        inbox: dispatch.Inbox,
        wanted: messages.ServerRequirements,
        placement: messages.Placement,
    ) -> None:
        """Prepares a send.

        Args:
            inbox: Mailbox of the dispatcher.
            wanted: What the request needs.
            placement: Where it goes.
        """
        self._inbox = inbox
        self._wanted = wanted
        self._placement = placement
        self._connection = placement.connection
        self._is_reported = False
        self._head: requests.ResponseHead | None = None
        self._loop = asyncio.get_running_loop()

    async def run(self, request: exchange.CallerRequest) -> outcomes.Outcome:
        """Sends the request and returns what came of it.

        A caller that leaves cancels this, which closes the connection so that
        the server stops.
        """
        evidence = messages.AttemptResult.ABANDONED
        is_streaming = False
        try:
            outcome, evidence = await self._exchange(request)
            match outcome:
                case outcomes.Answered(answer) if answer.rest is not None:
                    is_streaming = True
                case _:
                    pass
            return outcome
        finally:
            if not is_streaming:
                self._report(evidence)

    async def _exchange(
        self, request: exchange.CallerRequest
    ) -> tuple[outcomes.Outcome, messages.AttemptResult]:
        wanted = self._wanted
        server = self._placement.server
        if self._connection is None:
            left_s = wanted.deadline_s - self._loop.time()
            try:
                self._connection = await http.connect(
                    server.host,
                    server.port,
                    max(0.0, min(_CONNECT_TIMEOUT_S, left_s)),
                    allow_close_delimited=True,
                    reset_on_close=True,
                )
                self._connection.enable_keepalive()
            except (OSError, TimeoutError):
                return outcomes.NotSent(), messages.AttemptResult.UNREACHABLE
        connection = self._connection
        left_s = wanted.deadline_s - self._loop.time()
        try:
            connection.begin(
                requests.encode_request(
                    request.head, len(request.body), server.name, left_s * 1000
                ),
                is_head=request.head.method == "HEAD",
                matches_request=lambda headers: requests.matches_request_id(
                    request.head.request_id, headers
                ),
            )
            if request.body:
                connection.write(request.body)
        except http_exceptions.ExchangeError:
            return outcomes.NotSent(), messages.AttemptResult.STALE
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                return await self._read(connection)
        except TimeoutError:
            return outcomes.OutOfTime(), messages.AttemptResult.EXPIRED
        except http_exceptions.ExchangeError:
            evidence = (
                messages.AttemptResult.BROKEN
                if connection.has_response_bytes
                else messages.AttemptResult.RESET
            )
            return outcomes.Unknown(), evidence

    async def _read(
        self, connection: http.Connection
    ) -> tuple[outcomes.Outcome, messages.AttemptResult]:
        raw = await connection.read_head()
        head = requests.decode_response(raw.status, raw.headers)
        self._head = head
        parts: list[bytes] = []
        size = 0
        while part := await connection.read_body():
            parts.append(part)
            size += len(part)
            if (
                size > _WHOLE_BYTES
                and head.is_signed
                and not head.has_content_encoding
            ):
                rest = self._stream(connection)
                answer = exchange.Answer(
                    head.status,
                    head.headers,
                    b"".join(parts),
                    rest,
                    head.content_length,
                )
                return outcomes.Answered(answer), messages.AttemptResult.SERVED
        body = b"".join(parts)
        if head.is_not_run:
            evidence = (
                messages.AttemptResult.MISDIRECTED
                if head.status == 421
                else messages.AttemptResult.SHED
            )
            return outcomes.NotRun(evidence), evidence
        if not head.is_signed or head.has_content_encoding:
            return outcomes.Unknown(), messages.AttemptResult.BROKEN
        answer = exchange.Answer(
            head.status, _without_length(head.headers), body, None, len(body)
        )
        if head.status >= 500:
            return outcomes.ServerFailed(answer), messages.AttemptResult.FAILED
        return outcomes.Answered(answer), messages.AttemptResult.SERVED

    async def _stream(
        self, connection: http.Connection
    ) -> AsyncIterator[bytes]:
        evidence = messages.AttemptResult.ABANDONED
        try:
            while part := await connection.read_body():
                yield part
            evidence = messages.AttemptResult.SERVED
        except http_exceptions.ExchangeError as error:
            evidence = messages.AttemptResult.BROKEN
            raise exceptions.ResponseCutError from error
        finally:
            self._report(evidence)

    def _report(self, evidence: messages.AttemptResult) -> None:
        if self._is_reported:
            return
        self._is_reported = True
        connection = self._connection
        if connection is not None and (
            not connection.is_reusable
            or not connection.is_complete
            or connection.buffered_bytes
        ):
            connection.close()
            connection = None
        head = self._head
        self._inbox.post(
            messages.AttemptFinished(
                self._placement,
                self._wanted,
                evidence,
                connection,
                head.load if head else None,
                head.warmup_ms if head else None,
                head.keep_alive_timeout_s if head else None,
                self._loop.time() - self._placement.placed_s,
            )
        )


def _without_length(
    headers: tuple[requests.Header, ...],
) -> tuple[requests.Header, ...]:
    return tuple(h for h in headers if h[0] != b"content-length")
