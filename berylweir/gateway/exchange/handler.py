"""Handles requests: matches the route, sends attempts and answers."""

import asyncio
import logging
import typing

from berylweir.crash_suspects import fingerprint
from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.body_memory import budget
from berylweir.gateway.dispatch import task as dispatch
from berylweir.gateway.exchange import answers
from berylweir.gateway.exchange import attempt
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.exchange import outcomes
from berylweir.gateway.exchange import responses
from berylweir.gateway.exchange import stopping
from berylweir.gateway.forwarding import client as forwarding
from berylweir.gateway.forwarding import outcomes as forwarded
from berylweir.gateway.permits import task as permits
from berylweir.gateway.routing import decisions as routing
from berylweir.observability import counters

_LOGGER = logging.getLogger(__name__)
# Longest wait of a request for a server with capacity, as a share of the
# latency goal. After that the caller does better to retry on another VM.
_MAX_QUEUE_WAIT_GOAL_SHARE = 0.6
# Lowest limit of the wait for the owner of a key, in seconds. Moving a key to
# another server takes as long as its longest running request and two calls.
_MIN_OWNER_WAIT_S = 0.8
# Attempts without a usable connection after which a request is refused.
_MAX_UNSENT_ATTEMPTS = 3
# Time after the deadline of a request until which a reply of another task is
# awaited, in seconds. Those tasks refuse requests at the deadline themselves.
_REPLY_MARGIN_S = 0.1

_Reply = typing.TypeVar("_Reply")


class RequestHandler:
    """Handles requests by the current configuration."""

    def __init__(
        self,
        vm: str,
        inbox: dispatch.Inbox,
        permits_inbox: permits.Inbox,
        memory: budget.BodyMemory,
        metrics: counters.Counters,
    ) -> None:
        """Creates a handler without a configuration; it refuses all requests.

        Args:
            vm: Name of this VM.
            inbox: Mailbox of the dispatcher.
            permits_inbox: Mailbox of the task that gives permits.
            memory: Memory for the bodies of responses.
            metrics: Counters.
        """
        self._vm = vm
        self._inbox = inbox
        self._permits_inbox = permits_inbox
        self._memory = memory
        self._metrics = metrics
        self._answers = answers.AnswerBuilder(metrics)
        self._route_table: routing.RouteTable | None = None
        self._traffic_splitter = routing.TrafficSplitter()
        self._stop_limits = stopping.StopLimits()

    @property
    def route_table(self) -> routing.RouteTable | None:
        """Routes of the current configuration; None until one was read."""
        return self._route_table

    def on_store_update(self, message: messages.StoreUpdate) -> None:
        """Uses a newer configuration for all further requests."""
        match message:
            case messages.ConfigurationChanged(configuration):
                self._route_table = routing.RouteTable(configuration)
                self._answers.configure(configuration.version)
                _LOGGER.info(
                    "configuration in force",
                    extra={
                        "configuration": configuration.version,
                        "revision": configuration.revision,
                        "routes": len(configuration.routes),
                    },
                )
            case _:
                pass

    def begin_stop(self, stop: stopping.Stopping) -> None:
        """Answers requests that can't be finished before the gateway ends."""
        self._stop_limits.begin_stop(stop)

    async def handle(self, request: exchange.CallerRequest) -> exchange.Answer:
        """Returns the answer to a request.

        The call is cancelled when the caller disconnects.
        """
        if self._route_table is None:
            return self._answers.answer_unconfigured(request)
        route = self._route_table.match(request.head.host, request.head.path)
        if route is None:
            return self._answers.answer_no_route(request)
        group, state, timeout_ms = self._prepare(request, route)
        deadline_s = request.head_received_s + timeout_ms / 1000.0
        limited = _limit_stop(request, route, deadline_s)
        run = self._stop_limits.begin_run(limited)
        try:
            async with (
                run,
                request.answer_limit.enforce(
                    lambda: self._may_give_up(route, state)
                ),
            ):
                return await self._serve(
                    request, route, group, state, deadline_s, limited
                )
        except TimeoutError:
            if run.expired():
                return self._answers.answer_stopping(request, route, state)
            return self._answers.answer_given_up(request, route, state)
        except asyncio.CancelledError:
            self._answers.record_abandoned(request, route, state)
            raise
        except Exception:
            # The connection has other requests, which are answered.
            self._metrics.count("gateway.request.crashed")
            _LOGGER.exception(
                "unhandled error in a request",
                extra={"request": request.head.request_id},
            )
            return self._answers.fail(
                request, route, outcomes.BAD_GATEWAY, "unhandled error"
            )
        finally:
            self._stop_limits.end_run(run)

    def _may_give_up(
        self, route: models.Route, state: exchange.RequestState
    ) -> bool:
        """Returns whether a request may end before its deadline.

        The caller of one that may not be repeated couldn't tell whether it has
        run. In a planned stop, what was sent to a server isn't broken off.
        """
        return route.idempotency is models.Idempotency.IDEMPOTENT and (
            state.sent_to is None or not self._stop_limits.is_stopping
        )

    async def _serve(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        group: str,
        state: exchange.RequestState,
        deadline_s: float,
        limited: stopping.Limited,
    ) -> exchange.Answer:
        """Sends a request to servers until there is an answer."""
        loop = asyncio.get_running_loop()
        request_fingerprint = request.fingerprint()
        while True:
            requirements = self._build_requirements(
                request, route, group, state, deadline_s, request_fingerprint
            )
            if deadline_s <= loop.time():
                return self._answers.answer_timeout(request, route, state)
            if not self._stop_limits.allows(limited, loop.time()):
                return self._answers.answer_stopping(request, route, state)
            wait = self._stop_limits.begin_wait(limited)
            try:
                async with wait:
                    placement = await self._find_server(requirements)
            except TimeoutError:
                return self._answers.answer_stopping(request, route, state)
            finally:
                self._stop_limits.end_wait(wait)
            match placement:
                case messages.NotPlaced():
                    return self._answers.answer_not_placed(
                        request, route, state, placement
                    )
                case messages.Forward():
                    step = await self._forward(
                        request, route, requirements, placement, state
                    )
                    served_by = placement.vm.name
                case messages.Placement():
                    step = await self._run_attempt(
                        request, route, requirements, placement, state
                    )
                    served_by = placement.server.name
                case None:
                    continue
                case _:
                    typing.assert_never(placement)
            answer = self._take_step(request, route, step, served_by)
            if answer is not None:
                return answer

    def _prepare(
        self, request: exchange.CallerRequest, route: models.Route
    ) -> tuple[str, exchange.RequestState, float]:
        """Returns the server group, the state and the timeout in ms."""
        timeout_ms = min(
            request.head.deadline_ms or route.timeout_ms, route.timeout_ms
        )
        match request.origin:
            case exchange.FromCaller():
                group = self._traffic_splitter.choose_group(route)
                return group, exchange.RequestState(), timeout_ms
            case exchange.FromGateway() as origin:
                group = (
                    origin.group
                    if any(s.group == origin.group for s in route.shares)
                    else self._traffic_splitter.choose_group(route)
                )
                state = exchange.RequestState(
                    origin.sent_attempts, may_have_run=origin.may_have_run
                )
                return group, state, min(timeout_ms, origin.timeout_ms)
            case _:
                typing.assert_never(request.origin)

    def _take_step(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        step: outcomes.Step,
        served_by: str,
    ) -> exchange.Answer | None:
        """Returns the answer; None if the request is to be tried again."""
        match step:
            case outcomes.Return(answer):
                self._answers.record(
                    request, route, answer.status, "served", served_by
                )
                return answer
            case outcomes.Refuse(retry_after_s):
                return self._answers.refuse(
                    request, route, "not run", retry_after_s
                )
            case outcomes.RefuseUnreachable():
                return self._answers.refuse_unreachable(request, route)
            case outcomes.Fail(status):
                return self._answers.fail(request, route, status, "no response")
            case outcomes.TryAgain():
                self._metrics.count("gateway.tried_again")
                return None
            case _:
                typing.assert_never(step)

    async def _run_attempt(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        requirements: messages.ServerRequirements,
        placement: messages.Placement,
        state: exchange.RequestState,
    ) -> outcomes.Step:
        sending = attempt.Attempt(
            self._inbox, requirements, placement, self._memory
        )
        state.sent_to = placement.server.name
        outcome = await sending.run(request)
        state.sent_to = None
        match outcome:
            case outcomes.Withdrawn():
                pass
            case _:
                state.tried_instances |= {placement.server.instance}
        match outcome:
            case outcomes.NotSent():
                state.unsent_attempts += 1
                if state.may_go_to_third_gateway(request.origin):
                    return outcomes.RefuseUnreachable()
                if state.unsent_attempts >= _MAX_UNSENT_ATTEMPTS:
                    return (
                        outcomes.Fail(outcomes.BAD_GATEWAY)
                        if state.may_have_run
                        else outcomes.Refuse()
                    )
            case outcomes.Withdrawn():
                self._metrics.count("gateway.withdrawn")
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
        match (outcome, step):
            case (outcomes.ServerFailed(answer), outcomes.TryAgain()):
                answer.close()
            case _:
                pass
        _LOGGER.info(
            "sent",
            extra={
                "request": request.head.request_id,
                "route": route.name,
                "server": placement.server.name,
                "load": round(placement.load, 1),
                "outcome": type(outcome).__name__,
                "result": sending.result.value,
                "step": type(step).__name__,
                "fingerprint": fingerprint.to_text(requirements.fingerprint),
                "sends": state.sent_attempts,
                "elapsed_ms": request.elapsed_ms(_now_s()),
            },
        )
        return step

    async def _forward(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        requirements: messages.ServerRequirements,
        forward: messages.Forward,
        state: exchange.RequestState,
    ) -> outcomes.Step:
        """Runs the request through another gateway."""
        remaining_s = requirements.deadline_s - _now_s()
        origin = exchange.FromGateway(
            self._vm,
            requirements.group,
            state.sent_attempts,
            state.may_have_run,
            remaining_s * 1000.0,
        )
        state.sent_to = forward.vm.name
        outcome = await forwarding.ForwardAttempt(
            self._inbox, forward, requirements.deadline_s, self._memory
        ).run(request, origin)
        state.sent_to = None
        state.tried_vms |= {forward.vm.name}
        if forwarded.may_have_run(outcome):
            state.sent_attempts += 1
            state.may_have_run = True
        step = forwarded.next_step(
            outcome,
            route.idempotency,
            remaining_attempts=route.max_servers - state.sent_attempts,
            may_have_run=state.may_have_run,
        )
        _LOGGER.info(
            "forwarded",
            extra={
                "request": request.head.request_id,
                "vm": forward.vm.name,
                "cause": type(forward.cause).__name__,
                "outcome": type(outcome).__name__,
                "step": type(step).__name__,
                "elapsed_ms": request.elapsed_ms(_now_s()),
            },
        )
        return step

    def _build_requirements(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        group: str,
        state: exchange.RequestState,
        deadline_s: float,
        request_fingerprint: int,
    ) -> messages.ServerRequirements:
        now_s = _now_s()
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
            unsent_attempts=state.unsent_attempts,
            may_forward=request.origin == exchange.FromCaller(),
            tried_vms=state.tried_vms,
            tried_instances=state.tried_instances,
            rejecting_instance=state.rejecting_instance,
            queue_deadline_s=min(deadline_s, now_s + queue_wait_s),
            owner_wait_deadline_s=min(
                deadline_s, now_s + max(_MIN_OWNER_WAIT_S, queue_wait_s)
            ),
            deadline_s=deadline_s,
            fingerprint=request_fingerprint,
        )

    async def _find_server(
        self, requirements: messages.ServerRequirements
    ) -> messages.PlacementReply | None:
        """Waits for a server, and for a permit if the server is limited.

        Returns:
            The placement, another gateway or why there is neither; None if the
            permit was denied, or if there was no reply by the deadline.
        """
        reply: asyncio.Future[messages.PlacementReply] = (
            asyncio.get_running_loop().create_future()
        )
        self._inbox.post(messages.PlaceRequest(requirements, reply))
        try:
            placement = await _wait_for_reply(reply, requirements)
        finally:
            self._release_abandoned(reply, requirements)
        match placement:
            case None:
                return None
            case messages.NotPlaced() | messages.Forward():
                return placement
            case messages.Placement():
                is_permitted = await self._acquire_permit(
                    requirements, placement
                )
                return placement if is_permitted else None
            case _:
                typing.assert_never(placement)

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
            match await _wait_for_reply(reply, requirements):
                case None:
                    pass
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
        reply: "asyncio.Future[messages.PlacementReply]",
        requirements: messages.ServerRequirements,
    ) -> None:
        """Releases what was assigned after the caller disconnected."""
        if not reply.done():
            reply.cancel()
            return
        task = asyncio.current_task()
        if reply.cancelled() or task is None or not task.cancelling():
            return
        placement = reply.result()
        match placement:
            case messages.Placement():
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
            case messages.Forward():
                self._inbox.post(
                    messages.ForwardFinished(
                        placement,
                        messages.ForwardResult.ABANDONED,
                        placement.connection,
                    )
                )
            case messages.NotPlaced():
                pass
            case _:
                typing.assert_never(placement)


async def _wait_for_reply(
    reply: "asyncio.Future[_Reply]",
    requirements: messages.ServerRequirements,
) -> _Reply | None:
    """Returns the reply of another task; None if there is none in time.

    A task that crashes on a message never replies to it.
    """
    try:
        async with asyncio.timeout_at(
            requirements.deadline_s + _REPLY_MARGIN_S
        ):
            return await reply
    except TimeoutError:
        # A reply that came at that moment may have to be given back.
        has_reply = reply.done() and not reply.cancelled()
        return reply.result() if has_reply else None


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _limit_stop(
    request: exchange.CallerRequest, route: models.Route, deadline_s: float
) -> stopping.Limited:
    """Returns what limits a request in a planned stop."""
    # A download may take longer than the route's timeout.
    finish_s = (
        responses.stream_deadline_s(request, deadline_s)
        if route.is_download
        else deadline_s
    )
    match request.origin:
        case exchange.FromCaller():
            return stopping.Limited(finish_s)
        case exchange.FromGateway():
            return stopping.Limited(finish_s, was_forwarded=True)
        case _:
            typing.assert_never(request.origin)
