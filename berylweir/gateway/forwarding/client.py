"""Sends a request to another gateway and reads the answer."""

import asyncio
import contextlib
import dataclasses

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.body_memory import budget
from berylweir.gateway.body_memory import models as body_memory
from berylweir.gateway.dispatch import task as dispatch
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.exchange import responses
from berylweir.gateway.forwarding import codec
from berylweir.gateway.forwarding import outcomes
from berylweir.platform import requests
from berylweir.router.backends import connection as http
from berylweir.router.backends import exceptions as http_exceptions

# Connect timeout, in seconds. It is below the 1 s after which TCP retransmits a
# SYN that was dropped.
_CONNECT_TIMEOUT_S = 0.6
_CLOSE_HEADER = (b"connection", b"close")

_Result = messages.ForwardResult
_RESULTS_OF_STREAMS = {
    responses.StreamEnd.COMPLETE: _Result.ANSWERED,
    responses.StreamEnd.BROKEN: _Result.ANSWERED,
    responses.StreamEnd.EXPIRED: _Result.ABANDONED,
    responses.StreamEnd.ABANDONED: _Result.ABANDONED,
}


class ForwardAttempt:
    """Runs a request through another gateway and reports the result.

    It reports to the dispatcher once: at the end of `run`, or after the last
    part of a streamed body.
    """

    def __init__(
        self,
        inbox: dispatch.Inbox,
        forward: messages.Forward,
        deadline_s: float,
        memory: budget.BodyMemory,
    ) -> None:
        """Prepares an attempt; nothing is sent yet.

        Args:
            inbox: Mailbox of the dispatcher.
            forward: The gateway that was chosen, and a connection to it.
            deadline_s: When the request times out, on the loop's clock, in
                seconds.
            memory: Memory for the answer.
        """
        self._inbox = inbox
        self._forward = forward
        self._memory = memory
        self._connection = forward.connection
        self._deadline_s = deadline_s
        self._is_reported = False
        self._is_draining = False
        self._leaving_server: models.ServerInstance | None = None
        self._loop = asyncio.get_running_loop()

    async def run(
        self, request: exchange.CallerRequest, origin: exchange.FromGateway
    ) -> outcomes.Outcome:
        """Sends the request and returns the outcome.

        The call is cancelled when the caller disconnects. That resets the
        connection, so that the other gateway cancels the request.

        Args:
            request: The caller's request.
            origin: What the other gateway is to know of it.
        """
        forward_result = _Result.ABANDONED
        is_streaming = False
        try:
            outcome, forward_result = await self._send(request, origin)
            match outcome:
                case outcomes.Served(answer):
                    is_streaming = answer.remaining_body is not None
                case _:
                    pass
            return outcome
        finally:
            if not is_streaming:
                self._report(forward_result)

    async def _send(
        self, request: exchange.CallerRequest, origin: exchange.FromGateway
    ) -> tuple[outcomes.Outcome, messages.ForwardResult]:
        connection = self._connection or await self._connect()
        if connection is None:
            return outcomes.NotConnected(), _Result.NOT_CONNECTED
        self._connection = connection
        stream_deadline_s = responses.stream_deadline_s(
            request, self._deadline_s
        )
        try:
            connection.begin(
                codec.encode_request(
                    request,
                    origin,
                    (stream_deadline_s - self._loop.time()) * 1000.0,
                ),
                is_head_request=request.head.method == "HEAD",
                matches_request=lambda headers: requests.matches_request_id(
                    request.head.request_id, headers
                ),
                request_id=request.head.request_id,
            )
            if request.body:
                connection.write(request.body)
        except http_exceptions.ExchangeError:
            return outcomes.NotConnected(), _Result.ABANDONED
        try:
            async with asyncio.timeout_at(self._deadline_s):
                return await self._read_answer(connection, stream_deadline_s)
        except TimeoutError:
            return outcomes.OutOfTime(), _Result.ABANDONED
        except http_exceptions.ExchangeError:
            return outcomes.Unknown(), _Result.UNKNOWN

    async def _connect(self) -> http.Connection | None:
        vm = self._forward.vm
        remaining_s = self._deadline_s - self._loop.time()
        try:
            connection = await http.connect(
                vm.host,
                vm.forward_port,
                max(0.0, min(_CONNECT_TIMEOUT_S, remaining_s)),
                reset_on_close=True,
            )
            connection.enable_keepalive()
        except (OSError, TimeoutError):
            return None
        return connection

    async def _read_answer(
        self, connection: http.Connection, stream_deadline_s: float
    ) -> tuple[outcomes.Outcome, messages.ForwardResult]:
        raw_head = await connection.read_head()
        head, kind = codec.decode_response(raw_head.status, raw_head.headers)
        self._is_draining = _CLOSE_HEADER in raw_head.headers
        self._leaving_server = codec.decode_leaving_server(raw_head.headers)
        if kind is None:
            return outcomes.Unknown(), _Result.UNKNOWN
        source = body_memory.GatewayResponses(self._forward.vm.name)
        with contextlib.ExitStack() as stack:
            answer = await responses.read_answer(
                connection,
                head,
                stream_deadline_s,
                self._finish_stream,
                stack.enter_context(self._memory.open(source)),
            )
            if kind is exchange.AnswerKind.SERVED and head.is_signed:
                if answer.remaining_body is not None:
                    self._report_leaving()
                    # The stream itself doesn't end if it was never begun.
                    stack.callback(
                        self._finish_stream, responses.StreamEnd.ABANDONED
                    )
                answer = dataclasses.replace(answer, stack=stack.pop_all())
        match kind:
            case exchange.AnswerKind.SERVED:
                if not head.is_signed:
                    return outcomes.Unknown(), _Result.UNKNOWN
                return outcomes.Served(answer), _Result.ANSWERED
            case exchange.AnswerKind.REFUSED:
                return outcomes.Refused(head.retry_after_s), _Result.ANSWERED
            case exchange.AnswerKind.UNREACHABLE:
                return outcomes.Unreachable(False), _Result.UNREACHABLE
            case exchange.AnswerKind.ISOLATED:
                return outcomes.Unreachable(True), _Result.ISOLATED
            case exchange.AnswerKind.FAILED:
                return outcomes.Failed(head.status), _Result.ANSWERED

    def _report_leaving(self) -> None:
        """Reports it at once; the end of a stream may be far away."""
        if self._leaving_server is not None:
            self._inbox.post(
                messages.StatementsReceived(
                    self._leaving_server,
                    models.ServerStatements(is_leaving=True),
                )
            )

    def _finish_stream(self, end: responses.StreamEnd) -> None:
        self._report(_RESULTS_OF_STREAMS[end])

    def _report(self, forward_result: messages.ForwardResult) -> None:
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
        self._inbox.post(
            messages.ForwardFinished(
                self._forward,
                forward_result,
                connection,
                self._is_draining,
                self._leaving_server,
            )
        )
