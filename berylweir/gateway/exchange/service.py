"""Serves one request: route, servers, repeats, answer."""

import asyncio
import dataclasses
import logging
import typing

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import task as dispatch
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.exchange import outcomes
from berylweir.gateway.exchange import sending
from berylweir.gateway.routing import decisions as routing
from berylweir.observability import counters
from berylweir.platform import requests

_LOGGER = logging.getLogger(__name__)
# Part of the goal for which a request waits for a place at a server. Longer
# waits are better spent by the caller, who can ask another VM.
_PATIENCE = 0.6
# Wait for the owner of a key at least, in seconds: a move takes the longest
# running request and two calls.
_OWNER_PATIENCE_S = 0.8
# Failed attempts to connect after which a request is refused.
_MAX_UNSENT = 3
# Retry-After when no server of the route is known, in seconds.
_RETRY_AFTER_S = 0.5


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far a request has come."""

    sends: int = 0
    unsent: int = 0
    may_have_run: bool = False
    tried: frozenset[models.ServerInstance] = frozenset()
    disowned: models.ServerInstance | None = None


class Service:
    """Serves requests under the configuration in force."""

    def __init__(
        self, inbox: dispatch.Inbox, metrics: counters.Counters
    ) -> None:
        """Creates a service without a configuration.

        Args:
            inbox: Mailbox of the dispatcher.
            metrics: Counters.
        """
        self._inbox = inbox
        self._metrics = metrics
        self._router: routing.RouteTable | None = None
        self._splitter = routing.TrafficSplitter()

    @property
    def router(self) -> routing.RouteTable | None:
        """Routes in force; None until a configuration was read."""
        return self._router

    def configure(self, found: models.Configuration) -> None:
        """Puts a newer configuration in force."""
        self._router = routing.RouteTable(found)

    async def serve(self, request: exchange.CallerRequest) -> exchange.Answer:
        """Returns the answer to a request; cancelled if its caller leaves."""
        head = request.head
        if self._router is None:
            return self._refuse(request, None, "no configuration")
        route = self._router.match(head.host, head.path)
        if route is None:
            return self._own(request, None, 404, "no route matches", None)
        loop = asyncio.get_running_loop()
        limit_ms = min(head.deadline_ms or route.timeout_ms, route.timeout_ms)
        deadline_s = request.arrived_s + limit_ms / 1000.0
        group = self._splitter.choose_group(route)
        progress = _Progress()
        while True:
            wanted = self._wanted(request, route, group, progress, deadline_s)
            if deadline_s <= loop.time():
                return self._expire(request, route, progress)
            reply = loop.create_future()
            self._inbox.post(messages.PlaceRequest(wanted, reply))
            try:
                placed = await reply
            finally:
                self._give_back(reply, wanted)
            match placed:
                case messages.NotPlaced(reason, retry_after_s):
                    if progress.may_have_run:
                        return self._fail(
                            request, route, outcomes.BAD_GATEWAY, reason.value
                        )
                    return self._refuse(
                        request, route, reason.value, retry_after_s
                    )
                case messages.Placement():
                    pass
            step = await self._send(request, route, wanted, placed, progress)
            match step:
                case outcomes.Return(answer):
                    self._note(request, route, answer.status, "served", placed)
                    return answer
                case outcomes.Refuse():
                    return self._refuse(request, route, "not run")
                case outcomes.Fail(status):
                    return self._fail(request, route, status, "no response")
                case outcomes.TryAgain():
                    self._metrics.count("gateway.tried_again")
                case _:
                    typing.assert_never(step)

    async def _send(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        wanted: messages.ServerRequirements,
        placed: messages.Placement,
        progress: _Progress,
    ) -> outcomes.Step:
        outcome = await sending.Sending(self._inbox, wanted, placed).run(
            request
        )
        progress.tried |= {placed.server.instance}
        match outcome:
            case outcomes.NotSent():
                progress.unsent += 1
                if progress.unsent >= _MAX_UNSENT:
                    return (
                        outcomes.Fail(outcomes.BAD_GATEWAY)
                        if progress.may_have_run
                        else outcomes.Refuse()
                    )
            case outcomes.NotRun(evidence):
                progress.sends += 1
                if evidence is messages.AttemptResult.MISDIRECTED:
                    progress.disowned = placed.server.instance
            case _:
                progress.sends += 1
                progress.may_have_run = True
        step = outcomes.next_step(
            outcome,
            route.idempotency,
            sends_left=route.max_servers - progress.sends,
            may_have_run=progress.may_have_run,
        )
        _LOGGER.info(
            "sent",
            extra={
                "request": request.head.request_id,
                "route": route.name,
                "server": placed.server.name,
                "load": round(placed.load, 1),
                "outcome": type(outcome).__name__,
                "step": type(step).__name__,
                "sends": progress.sends,
                "elapsed_ms": self._elapsed_ms(request),
            },
        )
        return step

    def _wanted(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        group: str,
        progress: _Progress,
        deadline_s: float,
    ) -> messages.ServerRequirements:
        now_s = asyncio.get_running_loop().time()
        key = request.head.key
        patience_s = _PATIENCE * route.goal_ms / 1000.0
        return messages.ServerRequirements(
            request_id=request.head.request_id,
            group=group,
            key=key,
            priority=route.priority,
            is_idempotent=(route.idempotency is models.Idempotency.IDEMPOTENT),
            goal_ms=route.goal_ms,
            is_download=route.is_download,
            is_retry=progress.sends > 0,
            tried_instances=progress.tried,
            rejecting_instance=progress.disowned,
            queue_deadline_s=min(deadline_s, now_s + patience_s),
            owner_wait_deadline_s=min(
                deadline_s, now_s + max(_OWNER_PATIENCE_S, patience_s)
            ),
            deadline_s=deadline_s,
        )

    def _give_back(
        self,
        reply: "asyncio.Future[messages.Placement | messages.NotPlaced]",
        wanted: messages.ServerRequirements,
    ) -> None:
        """Returns a place that was given to a caller who had left."""
        if not reply.done():
            reply.cancel()
            return
        task = asyncio.current_task()
        if reply.cancelled() or task is None or not task.cancelling():
            return
        placed = reply.result()
        if isinstance(placed, messages.Placement):
            self._inbox.post(
                messages.AttemptFinished(
                    placed,
                    wanted,
                    messages.AttemptResult.ABANDONED,
                    placed.connection,
                    None,
                    None,
                    None,
                    0.0,
                )
            )

    # Answers of the gateway's own

    def _expire(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        progress: _Progress,
    ) -> exchange.Answer:
        if progress.may_have_run:
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
        return self._own(request, route, 503, reason, retry_after_s)

    def _fail(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        status: int,
        reason: str,
    ) -> exchange.Answer:
        return self._own(request, route, status, reason, None)

    def _own(
        self,
        request: exchange.CallerRequest,
        route: models.Route | None,
        status: int,
        reason: str,
        retry_after_s: float | None,
    ) -> exchange.Answer:
        self._note(request, route, status, reason, None)
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

    def _note(
        self,
        request: exchange.CallerRequest,
        route: models.Route | None,
        status: int,
        reason: str,
        placed: messages.Placement | None,
    ) -> None:
        elapsed_ms = self._elapsed_ms(request)
        self._metrics.count(f"gateway.answered.{status}")
        self._metrics.observe("gateway.latency_ms", elapsed_ms)
        level = logging.INFO if placed is not None else logging.WARNING
        _LOGGER.log(
            level,
            "answered",
            extra={
                "request": request.head.request_id,
                "route": route.name if route else None,
                "configuration": (
                    self._router.configuration.version if self._router else None
                ),
                "key": request.head.key,
                "status": status,
                "reason": reason,
                "server": placed.server.name if placed else None,
                "elapsed_ms": elapsed_ms,
            },
        )

    def _elapsed_ms(self, request: exchange.CallerRequest) -> float:
        now_s = asyncio.get_running_loop().time()
        return round((now_s - request.arrived_s) * 1000.0, 1)
