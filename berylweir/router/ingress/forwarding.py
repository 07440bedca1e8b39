"""Forwards requests to the home of their backend server, or to the server."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import itertools
import time
from typing import Any

import msgspec
import result

from berylweir import refusals
from berylweir.backendapi import headers
from berylweir.observability import counters
from berylweir.observability import tracing
from berylweir.refusals import decisions as refusal_decisions
from berylweir.refusals import models as refusal_models
from berylweir.router import messages
from berylweir.router.admission import models as admission
from berylweir.router.admission import request_id_homes
from berylweir.router.backends import peers as peer_pools
from berylweir.router.ingress import decisions
from berylweir.router.ingress import exchange
from berylweir.router.ingress import incoming
from berylweir.router.ingress import models
from berylweir.router.ingress import protocol
from berylweir.router.table import models as table_models
from berylweir.router.table import task as table_task
from berylweir.supervision import mailbox

_RETRY_DELAY_S = 0.025
_MAX_PREFETCHED_BODY_BYTES = 65_536


class Ingress:
    """Routes each request to the home of its backend server.

    The home is the VM whose router admits requests to the server. If it is
    this VM, the home task admits the request and lends it a connection to the
    server. Otherwise the request goes to the router of that VM.

    Routing uses an immutable snapshot that the table task replaces. The state
    of homes and connections belongs to their own tasks.

    The private methods that serve a request return None once they have
    forwarded a response, and otherwise the refusal to send.
    """

    def __init__(
        self,
        vm: str,
        limits: models.Limits,
        peers: peer_pools.PeerPools,
        metrics: counters.Counters,
        retry_ratio: float = 0.1,
    ) -> None:
        """Creates the ingress.

        Args:
            vm: Name of this VM.
            limits: Limits on what a caller may send.
            peers: Connections to other routers.
            metrics: Counters.
            retry_ratio: Largest number of retries per request, on average.
        """
        self._vm = vm
        self._limits = limits
        self._peers = peers
        self._metrics = metrics
        self._routing = table_task.RoutingSnapshot(table_models.Table(), {}, {})
        self._ticket_ids = itertools.count(1)
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._is_draining = False
        self._tracer: tracing.Tracer | None = None
        self._retry_budget = decisions.RetryBudget(retry_ratio)

    @property
    def in_flight(self) -> int:
        """Requests that are being served."""
        return self._in_flight

    @property
    def is_ready(self) -> bool:
        """Whether a routing table was received and no shutdown has begun."""
        return bool(self._routing.table.sequence) and not self._is_draining

    @property
    def routing(self) -> table_task.RoutingSnapshot:
        """The current routing snapshot."""
        return self._routing

    def set_routing(self, routing: table_task.RoutingSnapshot) -> None:
        """Replaces the routing snapshot."""
        self._routing = routing

    def begin_drain(self) -> None:
        """Makes readiness fail, so the load balancer sends no new requests."""
        self._is_draining = True

    def set_tracer(self, tracer: tracing.Tracer | None) -> None:
        """Sets the tracer of the spans; None records no spans."""
        self._tracer = tracer

    async def wait_idle(self) -> None:
        """Waits until no request is being served."""
        await self._idle.wait()

    async def serve_caller(
        self, request: incoming.Request, caller: protocol.CallerConnection
    ) -> None:
        """Serves a request of a caller."""
        self._metrics.count("router.requests")
        await self._track_in_flight(self._serve_caller, request, caller)

    async def serve_peer(
        self, request: incoming.Request, caller: protocol.CallerConnection
    ) -> None:
        """Serves a request that another router sent to this home."""
        self._metrics.count("router.peer.requests")
        await self._track_in_flight(self._serve_peer, request, caller)

    async def refuse(
        self,
        refusal: refusal_models.Refusal,
        caller: protocol.CallerConnection,
    ) -> None:
        """Sends a refusal to the caller and counts it."""
        name = refusal_decisions.name_of(refusal)
        self._metrics.count(f"router.refused.{name}")
        content = msgspec.json.encode(refusals.problem_of(refusal))
        response_headers = [
            (b"content-type", refusal_decisions.MEDIA_TYPE.encode()),
            (b"content-length", b"%d" % len(content)),
            (headers.OUTCOME, refusals.outcome_of(refusal).value.encode()),
            (headers.REFUSAL, name.encode()),
        ]
        retry_after_s = refusal_decisions.retry_after_s(refusal)
        if retry_after_s is not None:
            response_headers.append(
                (b"retry-after", b"%d" % max(1, round(retry_after_s)))
            )
        caller.start_response(
            refusals.status_of(refusal),
            response_headers,
            content,
            is_complete=True,
        )

    async def _track_in_flight(
        self,
        serve: Callable[
            [incoming.Request, protocol.CallerConnection],
            Awaitable[refusal_models.Refusal | None],
        ],
        request: incoming.Request,
        caller: protocol.CallerConnection,
    ) -> None:
        self._in_flight += 1
        self._idle.clear()
        try:
            refusal = await serve(request, caller)
            if refusal is not None:
                await self.refuse(refusal, caller)
        finally:
            self._in_flight -= 1
            if not self._in_flight:
                self._idle.set()

    async def _serve_caller(
        self, request: incoming.Request, caller: protocol.CallerConnection
    ) -> refusal_models.Refusal | None:
        match decisions.parse_head(
            request.head,
            self._limits,
            time.monotonic(),
            forbidden_headers=decisions.FORBIDDEN_FROM_CALLERS,
        ):
            case result.Err(refusal):
                return refusal
            case result.Ok(head):
                pass
        body = exchange.RequestBody(
            head, request, self._limits, _MAX_PREFETCHED_BODY_BYTES
        )
        context = _RequestContext(head, body, caller)
        if self._tracer is None:
            return await self._route_with_retries(context)
        return await self._run_with_span(
            "entry", context, self._route_with_retries(context)
        )

    async def _run_with_span(
        self,
        hop: str,
        context: "_RequestContext",
        run: Coroutine[Any, Any, refusal_models.Refusal | None],
    ) -> refusal_models.Refusal | None:
        """Awaits `run` within a span.

        Args:
            hop: Name of the span: `entry` for a request of a caller, `home` for
                a request of another router.
            context: State of the request.
            run: Serves the request.
        """
        if self._tracer is None:
            return await run
        span = self._tracer.start_span(hop, context.head.headers_by_name)
        context.trace_headers = span.headers
        ending = "broken-off"
        try:
            refusal = await run
            ending = (
                refusal_decisions.name_of(refusal) if refusal else "answered"
            )
            return refusal
        finally:
            span.end(
                {
                    "http.request.method": context.head.method,
                    "berylweir.vm": self._vm,
                    "berylweir.ending": ending,
                }
            )

    async def _route_with_retries(
        self, context: "_RequestContext"
    ) -> refusal_models.Refusal | None:
        """Routes a request anew at each attempt, until no retry is allowed."""
        head, body = context.head, context.body
        refusal = await self._prefetch_body(context)
        if refusal is not None:
            return refusal
        self._retry_budget.add_request()
        while True:
            refusal = await self._route_once(context)
            if refusal is None:
                return None
            remaining_s = head.deadline_s - time.monotonic()
            if (
                not body.can_resend
                or remaining_s <= _RETRY_DELAY_S
                or not self._may_retry(refusal, context)
            ):
                return refusal
            self._metrics.count("router.retries")
            await asyncio.sleep(_RETRY_DELAY_S)

    def _may_retry(
        self, refusal: refusal_models.Refusal, context: "_RequestContext"
    ) -> bool:
        """Returns whether to retry, and spends budget on the retry if needed.

        A request that may have run is retried at most once, within the budget.
        Only the deadline limits the other retries.
        """
        match decisions.classify_retry(refusal):
            case models.RetryAlways():
                return True
            case models.RetryIfIdempotent():
                if not context.is_idempotent or context.has_retried:
                    return False
                context.has_retried = True
                if self._retry_budget.try_spend():
                    return True
                self._metrics.count("router.retries.over_budget")
                return False
            case models.NoRetry():
                return False

    async def _prefetch_body(
        self, context: "_RequestContext"
    ) -> refusal_models.Refusal | None:
        """Reads the start of the body; returns a refusal if that fails."""
        if not context.head.has_body:
            return None
        try:
            async with asyncio.timeout(
                context.head.deadline_s - time.monotonic()
            ):
                return await context.body.prefetch()
        except TimeoutError:
            return refusal_models.DeadlineExceeded(sent=False)

    async def _route_once(
        self, context: "_RequestContext"
    ) -> refusal_models.Refusal | None:
        """Chooses the home with the current routing, and sends the request."""
        target_or_refusal = decisions.choose_target(
            context.head,
            self._routing.table,
            self._vm,
            self._limits,
            next(self._ticket_ids),
            time.monotonic(),
        )
        match target_or_refusal:
            case result.Err(refusal):
                return refusal
            case result.Ok(target):
                pass
        match target:
            case models.LocalTarget(group=group, ticket=ticket):
                context.is_idempotent = ticket.idempotent
                return await self._run_local(group, ticket, context)
            case models.RemoteTarget() as remote:
                context.is_idempotent = remote.idempotent
                return await self._run_remote(remote, context)

    async def _serve_peer(
        self, request: incoming.Request, caller: protocol.CallerConnection
    ) -> refusal_models.Refusal | None:
        match decisions.parse_head(
            request.head,
            self._limits,
            time.monotonic(),
            forbidden_headers=decisions.FORBIDDEN_FROM_PEERS,
        ):
            case result.Err(refusal):
                return refusal
            case result.Ok(head):
                pass
        match decisions.parse_peer_headers(head, self._routing.table.groups):
            case result.Err(refusal):
                return refusal
            case result.Ok(peer_headers):
                pass
        body = exchange.RequestBody(
            head, request, self._limits, _MAX_PREFETCHED_BODY_BYTES
        )
        context = _RequestContext(head, body, caller)
        context.is_idempotent = decisions.is_idempotent(
            head, peer_headers.group
        )
        if self._tracer is None:
            return await self._run_local_with_retries(peer_headers, context)
        return await self._run_with_span(
            "home", context, self._run_local_with_retries(peer_headers, context)
        )

    async def _run_local_with_retries(
        self, peer_headers: models.PeerHeaders, context: "_RequestContext"
    ) -> refusal_models.Refusal | None:
        """Serves a request of another router, with one retry if idempotent.

        A refusal because this VM is not the home goes back to that router,
        which then routes the request anew.
        """
        head, body = context.head, context.body
        refusal = await self._prefetch_body(context)
        if refusal is not None:
            return refusal
        self._retry_budget.add_request()
        while True:
            ticket = decisions.make_ticket(
                head,
                next(self._ticket_ids),
                peer_headers.server,
                peer_headers.slice,
                peer_headers.priority,
                idempotent=context.is_idempotent,
                now=time.monotonic(),
            )
            refusal = await self._run_local(
                peer_headers.group.name, ticket, context
            )
            if (
                refusal is None
                or not isinstance(
                    decisions.classify_retry(refusal), models.RetryIfIdempotent
                )
                or not body.can_resend
                or not self._may_retry(refusal, context)
            ):
                return refusal
            self._metrics.count("router.retries")

    def _is_home_of_request_id(
        self, group: str, ticket: admission.Ticket
    ) -> bool:
        """Returns whether the table names this VM as home of the request id.

        Always true for idempotent requests and for keyed groups, where ids
        have no home of their own.
        """
        if ticket.idempotent or ticket.server is not None:
            return True
        vms = self._routing.table.request_id_homes.get(group, ())
        return request_id_homes.home_of(ticket.request_id, vms) == self._vm

    async def _run_local(
        self, group: str, ticket: admission.Ticket, context: "_RequestContext"
    ) -> refusal_models.Refusal | None:
        """Asks the home task of this VM for admission, then sends the request.

        The connection is returned to the home task at the end, even if the
        request is cancelled.
        """
        if not self._is_home_of_request_id(group, ticket):
            return refusal_models.NotHome(group)
        inbox = self._routing.home_inboxes.get(group)
        if inbox is None:
            return refusal_models.NotHome(ticket.server or group)
        reply: asyncio.Future[messages.AdmissionResult] = (
            asyncio.get_running_loop().create_future()
        )
        match inbox.offer(messages.Admit(ticket, reply)):
            case result.Err(mailbox.MailboxClosed()):
                return refusal_models.NotHome(ticket.server or group)
            case result.Err(_):
                return refusal_models.Overloaded(group)
            case result.Ok(_):
                pass
        backend_exchange: exchange.Exchange | None = None
        admitted: messages.Admitted | None = None
        try:
            async with asyncio.timeout(ticket.deadline_s - time.monotonic()):
                admission_result = await reply
                match admission_result:
                    case result.Err(refusal):
                        return refusal
                    case result.Ok(admission_reply):
                        admitted = admission_reply
                backend_exchange = _create_exchange(admitted, context)
                return await backend_exchange.run(context.body, context.caller)
        except TimeoutError:
            if backend_exchange is None:
                return refusal_models.DeadlineExceeded(sent=False)
            return backend_exchange.time_out()
        finally:
            if admitted is None:
                _withdraw(inbox, ticket, reply)
            else:
                ending = (
                    backend_exchange.ending
                    if backend_exchange is not None
                    else admission.Ending.NOT_SENT
                )
                _release(inbox, admitted, ending)

    async def _run_remote(
        self, remote: models.RemoteTarget, context: "_RequestContext"
    ) -> refusal_models.Refusal | None:
        """Sends the request to the router of the home."""
        address = self._routing.table.router_addresses.get(remote.vm)
        if address is None:
            return refusal_models.NotHome(remote.server or remote.group)
        peer_connection = await self._peers.acquire(remote.vm, address)
        if peer_connection is None:
            return refusal_models.ConnectFailed(remote.vm)
        head = context.head
        peer_exchange = exchange.Exchange(
            peer_connection,
            remote.vm,
            head,
            self._create_peer_headers(remote),
            send_before_s=None,
            is_peer=True,
            trace_headers=context.trace_headers,
        )
        try:
            async with asyncio.timeout(head.deadline_s - time.monotonic()):
                return await peer_exchange.run(context.body, context.caller)
        except TimeoutError:
            return peer_exchange.time_out()
        finally:
            self._peers.release(remote.vm, peer_connection)

    def _create_peer_headers(
        self, remote: models.RemoteTarget
    ) -> list[tuple[bytes, bytes]]:
        """Returns the internal headers for the router of the home."""
        internal_headers = [
            (headers.GROUP, remote.group.encode()),
            (headers.PRIORITY, b"%d" % remote.priority),
            (headers.HOP, self._vm.encode()),
        ]
        if remote.server is not None:
            internal_headers.append((headers.SERVER, remote.server.encode()))
        if remote.slice is not None:
            internal_headers.append((headers.SLICE, b"%d" % remote.slice))
        return internal_headers


class _RequestContext:
    """State of one request that all of its attempts share."""

    __slots__ = (
        "body",
        "caller",
        "has_retried",
        "head",
        "is_idempotent",
        "trace_headers",
    )

    def __init__(
        self,
        head: models.Head,
        body: exchange.RequestBody,
        caller: protocol.CallerConnection,
    ) -> None:
        self.head = head
        self.body = body
        self.caller = caller
        self.is_idempotent = False
        self.has_retried = False
        self.trace_headers: list[tuple[bytes, bytes]] | None = None


def _create_exchange(
    admitted: messages.Admitted, context: _RequestContext
) -> exchange.Exchange:
    """Returns the exchange of an admitted request with its backend server."""
    internal_headers = [(headers.SERVER, admitted.server.encode())]
    ticket = admitted.ticket
    if ticket.slice is not None:
        internal_headers.append((headers.SLICE, b"%d" % ticket.slice))
        internal_headers.append((headers.TOKEN, b"%d" % (admitted.token or 0)))
    return exchange.Exchange(
        admitted.connection,
        admitted.server,
        context.head,
        internal_headers,
        send_before_s=(
            admitted.valid_until_s if ticket.slice is not None else None
        ),
        is_peer=False,
        trace_headers=context.trace_headers,
    )


def _withdraw(
    inbox: mailbox.Mailbox[messages.HomeMessage],
    ticket: admission.Ticket,
    reply: asyncio.Future[messages.AdmissionResult],
) -> None:
    """Withdraws a request whose admission nobody waits for any more.

    If the home has admitted it meanwhile, its connection is released unused.
    """
    if not reply.done() or reply.cancelled():
        inbox.post(messages.Withdraw(ticket))
        return
    match reply.result():
        case result.Ok(admitted):
            _release(inbox, admitted, admission.Ending.NOT_SENT)
        case result.Err(_):
            pass


def _release(
    inbox: mailbox.Mailbox[messages.HomeMessage],
    admitted: messages.Admitted,
    ending: admission.Ending,
) -> None:
    """Returns a connection to its home, or closes it if the home has ended."""
    inbox.post(messages.ExchangeFinished(admitted, ending))
    if inbox.is_closed:
        admitted.connection.close()
