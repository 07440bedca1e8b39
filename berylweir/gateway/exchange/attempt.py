"""One attempt: sends a request to a backend server and reads the response."""

import asyncio
import contextlib
import dataclasses

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.body_memory import budget
from berylweir.gateway.body_memory import models as body_memory
from berylweir.gateway.dispatch import connection_pool
from berylweir.gateway.dispatch import task as dispatch
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.exchange import outcomes
from berylweir.gateway.exchange import responses
from berylweir.platform import requests
from berylweir.router.backends import connection as http
from berylweir.router.backends import exceptions as http_exceptions

# The body of a rejection is read, so that the connection can be reused, up to
# this many bytes and for this time in seconds. Rejections are short.
_MAX_REJECTION_BYTES = 65_536
_REJECTION_TIMEOUT_S = 0.2
# Age of a placement up to which it isn't confirmed before the request is sent,
# in seconds. It is short beside the times that the platform allows.
_MAX_UNCONFIRMED_S = 0.05
_RESULTS_OF_STREAMS = {
    responses.StreamEnd.COMPLETE: messages.AttemptResult.SERVED,
    responses.StreamEnd.BROKEN: messages.AttemptResult.BROKEN,
    responses.StreamEnd.EXPIRED: messages.AttemptResult.EXPIRED,
    responses.StreamEnd.ABANDONED: messages.AttemptResult.ABANDONED,
}


class Attempt:
    """Runs a request on one backend server and reports the result.

    It reports to the dispatcher once: at the end of `run`, or after the last
    part of a streamed body.
    """

    def __init__(
        self,
        inbox: dispatch.Inbox,
        requirements: messages.ServerRequirements,
        placement: messages.Placement,
        memory: budget.BodyMemory,
    ) -> None:
        """Prepares an attempt; nothing is sent yet.

        Args:
            inbox: Mailbox of the dispatcher.
            requirements: What the request needs of a server.
            placement: The server that was chosen, and a connection to it.
            memory: Memory for the response.
        """
        self._inbox = inbox
        self._requirements = requirements
        self._placement = placement
        self._memory = memory
        self._connection = placement.connection
        self._is_finished = False
        self._result = messages.AttemptResult.ABANDONED
        self._response_head: requests.ResponseHead | None = None
        self._statements = models.ServerStatements()
        self._loop = asyncio.get_running_loop()

    @property
    def result(self) -> messages.AttemptResult:
        """How the attempt ended, or would end if the body is complete."""
        return self._result

    async def run(self, request: exchange.CallerRequest) -> outcomes.Outcome:
        """Sends the request and returns the outcome.

        The call is cancelled when the caller disconnects. That closes the
        connection, so that the server stops working on the request.
        """
        attempt_result = messages.AttemptResult.ABANDONED
        is_streaming = False
        try:
            outcome, attempt_result = await self._send_request(request)
            self._result = attempt_result
            match outcome:
                case outcomes.Answered(answer) if (
                    answer.remaining_body is not None
                ):
                    is_streaming = True
                case _:
                    pass
            return outcome
        finally:
            if not is_streaming:
                self._report_result(attempt_result)

    async def _send_request(
        self, request: exchange.CallerRequest
    ) -> tuple[outcomes.Outcome, messages.AttemptResult]:
        requirements = self._requirements
        server = self._placement.server
        if self._connection is None:
            remaining_s = requirements.deadline_s - self._loop.time()
            try:
                self._connection = await connection_pool.connect(
                    server, remaining_s
                )
            except (OSError, TimeoutError):
                return outcomes.NotSent(), messages.AttemptResult.UNREACHABLE
        if not await self._is_confirmed():
            self._return_placement()
            return outcomes.Withdrawn(), messages.AttemptResult.STALE
        connection = self._connection
        remaining_s = requirements.deadline_s - self._loop.time()
        try:
            connection.begin(
                requests.encode_request(
                    request.head,
                    len(request.body),
                    server.name,
                    remaining_s * 1000,
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
            return outcomes.NotSent(), messages.AttemptResult.STALE
        try:
            async with asyncio.timeout(max(0.0, remaining_s)):
                return await self._read_response(
                    request,
                    connection,
                    responses.stream_deadline_s(
                        request, requirements.deadline_s
                    ),
                )
        except TimeoutError:
            return outcomes.OutOfTime(), messages.AttemptResult.EXPIRED
        except http_exceptions.ExchangeError:
            attempt_result = (
                messages.AttemptResult.BROKEN
                if connection.has_response_bytes
                else messages.AttemptResult.RESET
            )
            return outcomes.Unknown(), attempt_result

    async def _is_confirmed(self) -> bool:
        """Returns whether the server still takes the request, by its deadline.

        It may have said or shown something else while the request waited for
        a permit or a connection.
        """
        waited_s = self._loop.time() - self._placement.placed_s
        if waited_s < _MAX_UNCONFIRMED_S:
            return True
        reply: asyncio.Future[bool] = self._loop.create_future()
        self._inbox.post(
            messages.ConfirmPlacement(
                self._placement, self._requirements, reply
            )
        )
        try:
            async with asyncio.timeout_at(self._requirements.deadline_s):
                return await reply
        except TimeoutError:
            return False

    def _return_placement(self) -> None:
        """Returns the placement in place of a report on the attempt."""
        self._is_finished = True
        self._inbox.post(
            messages.PlacementReturned(
                dataclasses.replace(
                    self._placement, connection=self._connection
                ),
                self._requirements,
                None,
            )
        )

    async def _read_response(
        self,
        request: exchange.CallerRequest,
        connection: http.Connection,
        stream_deadline_s: float,
    ) -> tuple[outcomes.Outcome, messages.AttemptResult]:
        raw_head = await self._read_head(connection)
        if (
            request.head.request_id
            and connection.is_reused
            and not requests.states_request_id(raw_head.headers)
        ):
            # It may be an earlier response that the server sent once more.
            return outcomes.Unknown(), messages.AttemptResult.BROKEN
        head = requests.decode_server_response(
            raw_head.status, raw_head.headers
        )
        self._response_head = head
        self._statements = head.statements
        if head.reports_not_run:
            await _skip_body(connection)
            attempt_result = (
                messages.AttemptResult.MISDIRECTED
                if head.status == 421
                else messages.AttemptResult.SHED
            )
            return outcomes.NotRun(attempt_result), attempt_result
        if not head.is_signed or head.has_content_encoding:
            # The body isn't the server's response and may have no end.
            return outcomes.Unknown(), messages.AttemptResult.BROKEN
        source = body_memory.ServerResponses(self._placement.server.name)
        with contextlib.ExitStack() as stack:
            answer = await responses.read_answer(
                connection,
                head,
                stream_deadline_s,
                self._finish_stream,
                stack.enter_context(self._memory.open(source)),
            )
            if answer.remaining_body is not None:
                self._report_statements()
                # The stream itself doesn't end if it was never begun.
                stack.callback(
                    self._finish_stream, responses.StreamEnd.ABANDONED
                )
            answer = dataclasses.replace(answer, stack=stack.pop_all())
        if head.statements.is_leaving:
            answer = dataclasses.replace(
                answer, leaving_server=self._placement.server.instance
            )
        if head.status >= 500 and answer.remaining_body is None:
            return outcomes.ServerFailed(answer), messages.AttemptResult.FAILED
        return outcomes.Answered(answer), messages.AttemptResult.SERVED

    def _report_statements(self) -> None:
        """Reports them at once; the end of a stream may be far away."""
        self._inbox.post(
            messages.StatementsReceived(
                self._placement.server.instance, self._statements
            )
        )
        self._statements = models.ServerStatements()

    def _finish_stream(self, end: responses.StreamEnd) -> None:
        self._report_result(_RESULTS_OF_STREAMS[end])

    async def _read_head(
        self, connection: http.Connection
    ) -> http.ResponseHead:
        """Reads the head, and reports if it is overdue.

        Only an earlier connection may have lost its server unnoticed.
        """
        overdue_after_s = self._placement.overdue_after_s
        if self._placement.connection is None or overdue_after_s is None:
            return await connection.read_head()
        timer = self._loop.call_later(
            overdue_after_s,
            self._inbox.post,
            messages.ResponseOverdue(self._placement),
        )
        try:
            return await connection.read_head()
        finally:
            timer.cancel()

    def _report_result(self, attempt_result: messages.AttemptResult) -> None:
        if self._is_finished:
            return
        self._is_finished = True
        connection = self._connection
        if connection is not None and (
            not connection.is_reusable
            or not connection.is_complete
            or connection.buffered_bytes
        ):
            connection.close()
            connection = None
        head = self._response_head
        self._inbox.post(
            messages.AttemptFinished(
                self._placement,
                self._requirements,
                attempt_result,
                connection,
                self._statements,
                head.keep_alive_timeout_s if head else None,
                self._loop.time() - self._placement.placed_s,
            )
        )


async def _skip_body(connection: http.Connection) -> None:
    """Reads the body of a rejection, unless it is long, slow or malformed."""
    size = 0
    try:
        async with asyncio.timeout(_REJECTION_TIMEOUT_S):
            while chunk := await connection.read_body():
                size += len(chunk)
                if size > _MAX_REJECTION_BYTES:
                    return
    except (TimeoutError, http_exceptions.ExchangeError):
        pass  # The connection is closed, since its response isn't complete.
