"""Handles requests: matches the route, sends attempts and answers."""

import asyncio
import dataclasses
import logging
import typing

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import task as dispatch
from berylweir.gateway.exchange import attempt
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.exchange import outcomes
from berylweir.gateway.permits import task as permits
from berylweir.gateway.routing import decisions as routing
from berylweir.observability import counters
from berylweir.platform import requests

_LOGGER = logging.getLogger(__name__)
# Longest wait of a request for a server with capacity, as a share of the
# latency goal. After that the caller does better to retry on another VM.
_MAX_QUEUE_WAIT_GOAL_SHARE = 0.6
# Lowest limit of the wait for the owner of a key, in seconds. Moving a key to
# another server takes as long as its longest running request and two calls.
_MIN_OWNER_WAIT_S = 0.8
# Attempts without a usable connection after which a request is refused.
_MAX_UNSENT_ATTEMPTS = 3
# Retry-After if the dispatcher gave none, in seconds.
_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(slots=True)
class _RequestState:
    """Attempts of one request so far.

    Attributes:
        sent_attempts: Attempts in which the request was sent.
        unsent_attempts: Attempts without a usable connection.
        may_have_run: Whether a server may have run the request.
        tried_instances: Server instances that were tried.
        rejecting_instance: The last one that said that it doesn't own the key.
    """

    sent_attempts: int = 0
    unsent_attempts: int = 0
    may_have_run: bool = False
    tried_instances: frozenset[models.ServerInstance] = frozenset()
    rejecting_instance: models.ServerInstance | None = None


class RequestHandler:
    """Handles requests by the current configuration."""

    def __init__(
        self,
        inbox: dispatch.Inbox,
        permits_inbox: permits.Inbox,
        metrics: counters.Counters,
    ) -> None:
        """Creates a handler without a configuration; it refuses all requests.

        Args:
            inbox: Mailbox of the dispatcher.
            permits_inbox: Mailbox of the task that gives permits.
            metrics: Counters.
        """
        self._inbox = inbox
        self._permits_inbox = permits_inbox
        self._metrics = metrics
        self._route_table: routing.RouteTable | None = None
        self._traffic_splitter = routing.TrafficSplitter()

    @property
    def route_table(self) -> routing.RouteTable | None:
        """Routes of the current configuration; None until one was read."""
        return self._route_table

    def configure(self, configuration: models.Configuration) -> None:
        """Uses a newer configuration for all further requests."""
        self._route_table = routing.RouteTable(configuration)

    async def handle(self, request: exchange.CallerRequest) -> exchange.Answer:
        """Returns the answer to a request.

        The call is cancelled when the caller disconnects.
        """
        head = request.head
        if self._route_table is None:
            return self._refuse(request, None, "no configuration")
        route = self._route_table.match(head.host, head.path)
        if route is None:
            return self._build_answer(
                request, None, 404, "no route matches", None
            )
        loop = asyncio.get_running_loop()
        effective_timeout_ms = min(
            head.deadline_ms or route.timeout_ms, route.timeout_ms
        )
        deadline_s = request.head_received_s + effective_timeout_ms / 1000.0
        group = self._traffic_splitter.choose_group(route)
        state = _RequestState()
        while True:
            requirements = self._build_requirements(
                request, route, group, state, deadline_s
            )
            if deadline_s <= loop.time():
                return self._answer_timeout(request, route, state)
            reply = loop.create_future()
            self._inbox.post(messages.PlaceRequest(requirements, reply))
            try:
                placement = await reply
            finally:
                self._release_abandoned(reply, requirements)
            match placement:
                case messages.NotPlaced(reason, retry_after_s):
                    if state.may_have_run:
                        return self._fail(
                            request, route, outcomes.BAD_GATEWAY, reason.value
                        )
                    return self._refuse(
                        request, route, reason.value, retry_after_s
                    )
                case messages.Placement():
                    pass
            if not await self._acquire_permit(requirements, placement):
                continue
            step = await self._run_attempt(
                request, route, requirements, placement, state
            )
            match step:
                case outcomes.Return(answer):
                    self._record_answer(
                        request, route, answer.status, "served", placement
                    )
                    return answer
                case outcomes.Refuse():
                    return self._refuse(request, route, "not run")
                case outcomes.Fail(status):
                    return self._fail(request, route, status, "no response")
                case outcomes.TryAgain():
                    self._metrics.count("gateway.tried_again")
                case _:
                    typing.assert_never(step)

    async def _run_attempt(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        requirements: messages.ServerRequirements,
        placement: messages.Placement,
        state: _RequestState,
    ) -> outcomes.Step:
        outcome = await attempt.Attempt(
            self._inbox, requirements, placement
        ).run(request)
        state.tried_instances |= {placement.server.instance}
        match outcome:
            case outcomes.NotSent():
                state.unsent_attempts += 1
                if state.unsent_attempts >= _MAX_UNSENT_ATTEMPTS:
                    return (
                        outcomes.Fail(outcomes.BAD_GATEWAY)
                        if state.may_have_run
                        else outcomes.Refuse()
                    )
            case outcomes.NotRun(attempt_result):
                state.sent_attempts += 1
                if attempt_result is messages.AttemptResult.MISDIRECTED:
                    state.rejecting_instance = placement.server.instance
            case _:
                state.sent_attempts += 1
                state.may_have_run = True
        step = outcomes.next_step(
            outcome,
            route.idempotency,
            remaining_attempts=route.max_servers - state.sent_attempts,
            may_have_run=state.may_have_run,
        )
        _LOGGER.info(
            "sent",
            extra={
                "request": request.head.request_id,
                "route": route.name,
                "server": placement.server.name,
                "load": round(placement.load, 1),
                "outcome": type(outcome).__name__,
                "step": type(step).__name__,
                "sends": state.sent_attempts,
                "elapsed_ms": self._elapsed_ms(request),
            },
        )
        return step

    def _build_requirements(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        group: str,
        state: _RequestState,
        deadline_s: float,
    ) -> messages.ServerRequirements:
        now_s = asyncio.get_running_loop().time()
        key = request.head.key
        queue_wait_s = _MAX_QUEUE_WAIT_GOAL_SHARE * route.goal_ms / 1000.0
        return messages.ServerRequirements(
            request_id=request.head.request_id,
            group=group,
            key=key,
            priority=route.priority,
            is_idempotent=(route.idempotency is models.Idempotency.IDEMPOTENT),
            goal_ms=route.goal_ms,
            is_download=route.is_download,
            is_retry=state.sent_attempts > 0,
            tried_instances=state.tried_instances,
            rejecting_instance=state.rejecting_instance,
            queue_deadline_s=min(deadline_s, now_s + queue_wait_s),
            owner_wait_deadline_s=min(
                deadline_s, now_s + max(_MIN_OWNER_WAIT_S, queue_wait_s)
            ),
            deadline_s=deadline_s,
        )

    async def _acquire_permit(
        self,
        requirements: messages.ServerRequirements,
        placement: messages.Placement,
    ) -> bool:
        """Waits until the server's limit allows the request, if it names one.

        Returns:
            Whether the request may be sent. If not, the placement was returned
            to the dispatcher.
        """
        if placement.limit is None:
            return True
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[messages.Permit] = loop.create_future()
        available_s: float | None = None
        is_permitted = False
        try:
            self._permits_inbox.post(
                messages.AcquirePermit(
                    placement.server.instance,
                    placement.limit,
                    max(0.0, requirements.queue_deadline_s - loop.time()),
                    reply,
                )
            )
            match await reply:
                case messages.PermitGranted(start_s):
                    await asyncio.sleep(max(0.0, start_s - loop.time()))
                    is_permitted = True
                case messages.PermitDenied(available_s):
                    pass
        finally:
            if not is_permitted:
                self._inbox.post(
                    messages.PlacementReturned(
                        placement, requirements, available_s
                    )
                )
        return is_permitted

    def _release_abandoned(
        self,
        reply: "asyncio.Future[messages.Placement | messages.NotPlaced]",
        requirements: messages.ServerRequirements,
    ) -> None:
        """Releases a server that was assigned after the caller disconnected."""
        if not reply.done():
            reply.cancel()
            return
        task = asyncio.current_task()
        if reply.cancelled() or task is None or not task.cancelling():
            return
        placement = reply.result()
        if isinstance(placement, messages.Placement):
            self._inbox.post(
                messages.AttemptFinished(
                    placement,
                    requirements,
                    messages.AttemptResult.ABANDONED,
                    placement.connection,
                    models.ServerStatements(),
                    None,
                    0.0,
                )
            )

    # Answers that the gateway generates itself

    def _answer_timeout(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        state: _RequestState,
    ) -> exchange.Answer:
        if state.may_have_run:
            return self._fail(
                request, route, outcomes.GATEWAY_TIMEOUT, "out of time"
            )
        return self._refuse(request, route, "out of time")

    def _refuse(
        self,
        request: exchange.CallerRequest,
        route: models.Route | None,
        reason: str,
        retry_after_s: float = _RETRY_AFTER_S,
    ) -> exchange.Answer:
        """Answers 503: no server has run the request or will run it later."""
        return self._build_answer(request, route, 503, reason, retry_after_s)

    def _fail(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        status: int,
        reason: str,
    ) -> exchange.Answer:
        """Answers that a server may have run the request."""
        return self._build_answer(request, route, status, reason, None)

    def _build_answer(
        self,
        request: exchange.CallerRequest,
        route: models.Route | None,
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> exchange.Answer:
        self._record_answer(request, route, status, reason, None)
        body = b'{"status":%d,"title":"%b"}' % (status, reason.encode())
        return exchange.Answer(
            status,
            requests.encode_error_headers(
                request.head.request_id, retry_after_s
            ),
            body,
            None,
            len(body),
        )

    def _record_answer(
        self,
        request: exchange.CallerRequest,
        route: models.Route | None,
        status: int,
        reason: str,
        placement: messages.Placement | None,
    ) -> None:
        elapsed_ms = self._elapsed_ms(request)
        self._metrics.count(f"gateway.answered.{status}")
        self._metrics.observe("gateway.latency_ms", elapsed_ms)
        level = logging.INFO if placement is not None else logging.WARNING
        _LOGGER.log(
            level,
            "answered",
            extra={
                "request": request.head.request_id,
                "route": route.name if route else None,
                "configuration": (
                    self._route_table.configuration.version
                    if self._route_table
                    else None
                ),
                "key": request.head.key,
                "status": status,
                "reason": reason,
                "server": placement.server.name if placement else None,
                "elapsed_ms": elapsed_ms,
            },
        )

    def _elapsed_ms(self, request: exchange.CallerRequest) -> float:
        now_s = asyncio.get_running_loop().time()
        return round((now_s - request.head_received_s) * 1000.0, 1)
