"""Builds the answers that the gateway generates itself, and records all."""

import asyncio
import logging
import typing

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.exchange import outcomes
from berylweir.observability import counters
from berylweir.platform import requests

_LOGGER = logging.getLogger(__name__)
# Retry-After if the dispatcher gave none, in seconds.
_RETRY_AFTER_S = 0.5
# Retry-After while this VM stops, in seconds. Other VMs can take the request.
_STOPPING_RETRY_AFTER_S = 0.1


class AnswerBuilder:
    """Builds answers, and writes log lines and counters of all answers."""

    def __init__(self, metrics: counters.Counters) -> None:
        """Creates a builder.

        Args:
            metrics: Counters.
        """
        self._metrics = metrics
        self._configuration_version: str | None = None

    def configure(self, version: str) -> None:
        """Sets the version of the configuration, for log lines."""
        self._configuration_version = version

    def answer_unconfigured(
        self, request: exchange.CallerRequest
    ) -> exchange.Answer:
        """Answers that there is no configuration yet."""
        return self._build(
            request,
            None,
            503,
            "no configuration",
            _RETRY_AFTER_S,
            exchange.AnswerKind.ISOLATED,
        )

    def answer_no_route(
        self, request: exchange.CallerRequest
    ) -> exchange.Answer:
        """Answers that no route matches."""
        match request.origin:
            case exchange.FromCaller():
                return self._build(request, None, 404, "no route matches")
            case exchange.FromGateway():
                # The other gateway has another version of the configuration.
                return self.refuse(request, None, "no route matches")
            case _:
                typing.assert_never(request.origin)

    def answer_not_placed(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        state: exchange.RequestState,
        refusal: messages.NotPlaced,
    ) -> exchange.Answer:
        """Answers that no server can take the request in time."""
        reason = refusal.reason
        if (
            reason is messages.RefusalReason.UNREACHABLE
            and state.may_go_to_third_gateway(request.origin)
        ):
            return self.refuse_unreachable(
                request,
                route,
                refusal.retry_after_s,
                is_isolated=refusal.is_isolated,
            )
        if state.may_have_run:
            return self.fail(request, route, outcomes.BAD_GATEWAY, reason.value)
        return self.refuse(request, route, reason.value, refusal.retry_after_s)

    def answer_timeout(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        state: exchange.RequestState,
    ) -> exchange.Answer:
        """Answers that the deadline has passed between two attempts."""
        if state.may_have_run:
            return self.fail(
                request, route, outcomes.GATEWAY_TIMEOUT, "out of time"
            )
        return self.refuse(request, route, "out of time")

    def answer_given_up(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        state: exchange.RequestState,
    ) -> exchange.Answer:
        """Answers that the requests behind this one can't wait any longer."""
        self._metrics.count("gateway.given_up")
        if state.may_have_run or state.sent_to is not None:
            return self.fail(
                request, route, outcomes.GATEWAY_TIMEOUT, "given up"
            )
        return self.refuse(request, route, "given up")

    def answer_stopping(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        state: exchange.RequestState,
    ) -> exchange.Answer:
        """Answers that this gateway stops before the request could end."""
        if state.may_go_to_third_gateway(request.origin):
            return self.refuse_unreachable(
                request, route, _STOPPING_RETRY_AFTER_S, is_isolated=True
            )
        if state.may_have_run or state.sent_to is not None:
            return self.fail(request, route, outcomes.BAD_GATEWAY, "stopping")
        return self.refuse(request, route, "stopping", _STOPPING_RETRY_AFTER_S)

    def refuse(
        self,
        request: exchange.CallerRequest,
        route: models.Route | None,
        reason: str,
        retry_after_s: float | None = None,
    ) -> exchange.Answer:
        """Answers 503: no server has run the request or will run it later."""
        return self._build(
            request,
            route,
            503,
            reason,
            _RETRY_AFTER_S if retry_after_s is None else retry_after_s,
            exchange.AnswerKind.REFUSED,
        )

    def refuse_unreachable(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        retry_after_s: float | None = None,
        *,
        is_isolated: bool = False,
    ) -> exchange.Answer:
        """Answers another gateway that nothing was sent from here."""
        return self._build(
            request,
            route,
            503,
            messages.RefusalReason.UNREACHABLE.value,
            _RETRY_AFTER_S if retry_after_s is None else retry_after_s,
            exchange.AnswerKind.ISOLATED
            if is_isolated
            else exchange.AnswerKind.UNREACHABLE,
        )

    def fail(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        status: int,
        reason: str,
    ) -> exchange.Answer:
        """Answers that a server may have run the request."""
        return self._build(request, route, status, reason)

    def record(
        self,
        request: exchange.CallerRequest,
        route: models.Route | None,
        status: int,
        reason: str,
        served_by: str | None,
    ) -> None:
        """Writes the log line and the counters of an answer.

        Args:
            request: The request.
            route: Its route, if one matches.
            status: HTTP status of the answer.
            reason: Why it is answered so.
            served_by: Server that ran the request, or gateway that passed it on
                to one; None if the gateway generated the answer.
        """
        now_s = asyncio.get_running_loop().time()
        elapsed_ms = request.elapsed_ms(now_s)
        match request.origin:
            case exchange.FromCaller():
                self._metrics.count(f"gateway.answered.{status}")
                self._metrics.observe("gateway.latency_ms", elapsed_ms)
            case exchange.FromGateway():
                self._metrics.count(f"gateway.answered_gateways.{status}")
            case _:
                typing.assert_never(request.origin)
        level = logging.INFO if served_by is not None else logging.WARNING
        _LOGGER.log(
            level,
            "answered",
            extra={
                "request": request.head.request_id,
                "route": route.name if route else None,
                "configuration": self._configuration_version,
                "key": request.head.key,
                "status": status,
                "reason": reason,
                "server": served_by,
                "elapsed_ms": elapsed_ms,
            },
        )

    def record_abandoned(
        self,
        request: exchange.CallerRequest,
        route: models.Route,
        state: exchange.RequestState,
    ) -> None:
        """Writes the log line of a request that was cancelled.

        Its connection has ended, so that nobody waits for an answer.
        """
        self._metrics.count("gateway.abandoned")
        _LOGGER.info(
            "abandoned",
            extra={
                "request": request.head.request_id,
                "route": route.name,
                "sent_to": state.sent_to,
                "sends": state.sent_attempts,
                "elapsed_ms": request.elapsed_ms(
                    asyncio.get_running_loop().time()
                ),
            },
        )

    def _build(
        self,
        request: exchange.CallerRequest,
        route: models.Route | None,
        status: int,
        reason: str,
        retry_after_s: float | None = None,
        kind: exchange.AnswerKind = exchange.AnswerKind.FAILED,
    ) -> exchange.Answer:
        self.record(request, route, status, reason, None)
        body = b'{"status":%d,"title":"%b"}' % (status, reason.encode())
        return exchange.Answer(
            status,
            requests.encode_error_headers(
                request.head.request_id, retry_after_s
            ),
            body,
            None,
            len(body),
            kind,
        )
