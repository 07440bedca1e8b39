"""The data path: carries requests to the home of their backend server."""

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
from berylweir.router.ingress import models
from berylweir.router.ingress import protocol
from berylweir.router.table import models as table_models
from berylweir.router.table import task as table_task
from berylweir.supervision import mailbox

_RETRY_WAIT_S = 0.025
_MAX_BUFFERED_BODY_BYTES = 65_536


class Ingress:
    """Finds the home of each request and carries it there.

    The routing is a snapshot that the table task replaces; the state of homes
    and connections belongs to their own tasks.
    """

    def __init__(
        self,
        vm: str,
        limits: models.Limits,
        peers: peer_pools.PeerPools,
        metrics: counters.Counters,
        retry_share: float = 0.1,
    ) -> None:
        """Creates the ingress.

        Args:
            vm: Name of this VM.
            limits: Limits on what a caller may send.
            peers: Connections to other routers.
            metrics: Counters.
            retry_share: Retries for each request, on average.
        """
        self._vm = vm
        self._limits = limits
        self._peers = peers
        self._metrics = metrics
        self._routing = table_task.RoutingSnapshot(table_models.Table(), {}, {})
        self._ids = itertools.count(1)
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._is_draining = False
        self._tracer: tracing.Tracer | None = None
        self._retries = decisions.RetryBudget(retry_share)

    @property
    def in_flight(self) -> int:
        """Requests that are being served."""
        return self._in_flight

    @property
    def is_ready(self) -> bool:
        """Whether a table has arrived and no shutdown has begun."""
        return bool(self._routing.table.sequence) and not self._is_draining

    @property
    def routing(self) -> table_task.RoutingSnapshot:
        """The routing in force."""
        return self._routing

    def set_routing(self, routing: table_task.RoutingSnapshot) -> None:
        """Replaces the routing."""
        self._routing = routing

    def begin_drain(self) -> None:
        """Makes readiness fail, so that the balancer sends no new work."""
        self._is_draining = True

    def set_tracer(self, tracer: tracing.Tracer | None) -> None:
        """Records a span for each hop with `tracer`, or none."""
        self._tracer = tracer

    async def wait_idle(self) -> None:
        """Waits until no request is being served."""
        await self._idle.wait()

    async def serve_caller(
        self, request: protocol.Request, caller: protocol.CallerConnection
    ) -> None:
        """Serves a request of a caller."""
        self._metrics.count("router.requests")
        await self._counted(self._serve_caller, request, caller)

    async def serve_peer(
        self, request: protocol.Request, caller: protocol.CallerConnection
    ) -> None:
        """Serves a request that another router has sent to this home."""
        self._metrics.count("router.peer.requests")
        await self._counted(self._serve_peer, request, caller)

    async def refuse(
        self,
        refusal: refusal_models.Refusal,
        caller: protocol.CallerConnection,
    ) -> None:
        """Answers with a refusal."""
        name = refusal_decisions.name_of(refusal)
        self._metrics.count(f"router.refused.{name}")
        content = msgspec.json.encode(refusals.problem_of(refusal))
        fields = [
            (b"content-type", refusal_decisions.MEDIA_TYPE.encode()),
            (b"content-length", b"%d" % len(content)),
            (headers.OUTCOME, refusals.outcome_of(refusal).value.encode()),
            (headers.REFUSAL, name.encode()),
        ]
        wait_s = refusal_decisions.retry_after_s(refusal)
        if wait_s is not None:
            fields.append((b"retry-after", b"%d" % max(1, round(wait_s))))
        caller.start(
            refusals.status_of(refusal), fields, content, is_complete=True
        )

    async def _counted(
        self,
        serve: Callable[
            [protocol.Request, protocol.CallerConnection],
            Awaitable[refusal_models.Refusal | None],
        ],
        request: protocol.Request,
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
        self, request: protocol.Request, caller: protocol.CallerConnection
    ) -> refusal_models.Refusal | None:
        match decisions.parse_head(
            request.head,
            self._limits,
            time.monotonic(),
            internal=decisions.CALLER_MUST_NOT_SEND,
        ):
            case result.Err(refusal):
                return refusal
            case result.Ok(head):
                pass
        body = exchange.RequestBody(
            head, request, self._limits, _MAX_BUFFERED_BODY_BYTES
        )
        attempt = _Attempt(head, body, caller)
        if self._tracer is None:
            return await self._run_caller(attempt)
        return await self._traced("entry", attempt, self._run_caller(attempt))

    async def _traced(
        self,
        hop: str,
        attempt: "_Attempt",
        run: Coroutine[Any, Any, refusal_models.Refusal | None],
    ) -> refusal_models.Refusal | None:
        if self._tracer is None:
            return await run
        span = self._tracer.start_span(hop, attempt.head.fields)
        attempt.trace_headers = span.headers
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
                    "http.request.method": attempt.head.method,
                    "berylweir.vm": self._vm,
                    "berylweir.ending": ending,
                }
            )

    async def _run_caller(
        self, attempt: "_Attempt"
    ) -> refusal_models.Refusal | None:
        head, body = attempt.head, attempt.body
        failed = await self._prepare(attempt)
        if failed is not None:
            return failed
        self._retries.add_request()
        while True:
            failed = await self._attempt(attempt)
            if failed is None:
                return None
            remaining_s = head.deadline_s - time.monotonic()
            if (
                not body.can_repeat
                or remaining_s <= _RETRY_WAIT_S
                or not self._may_retry(failed, attempt)
            ):
                return failed
            self._metrics.count("router.retries")
            await asyncio.sleep(_RETRY_WAIT_S)

    def _may_retry(
        self, failed: refusal_models.Refusal, attempt: "_Attempt"
    ) -> bool:
        match decisions.retry_of(failed):
            case models.RetryPlace():
                return True
            case models.RetryIdempotent():
                if not attempt.is_idempotent or attempt.has_retried:
                    return False
                attempt.has_retried = True
                if self._retries.take():
                    return True
                self._metrics.count("router.retries.over_budget")
                return False
            case models.NoRetry():
                return False

    async def _prepare(
        self, attempt: "_Attempt"
    ) -> refusal_models.Refusal | None:
        if not attempt.head.has_body:
            return None
        try:
            async with asyncio.timeout(
                attempt.head.deadline_s - time.monotonic()
            ):
                return await attempt.body.prepare()
        except TimeoutError:
            return refusal_models.DeadlineExceeded(sent=False)

    async def _attempt(
        self, attempt: "_Attempt"
    ) -> refusal_models.Refusal | None:
        """Tries once; returns None if a response was passed on."""
        chosen = decisions.choose_target(
            attempt.head,
            self._routing.table,
            self._vm,
            self._limits,
            next(self._ids),
            time.monotonic(),
        )
        match chosen:
            case result.Err(refusal):
                return refusal
            case result.Ok(target):
                pass
        match target:
            case models.LocalTarget(group=group, ticket=ticket):
                attempt.is_idempotent = ticket.idempotent
                return await self._run_local(group, ticket, attempt)
            case models.RemoteTarget() as remote:
                attempt.is_idempotent = remote.idempotent
                return await self._run_remote(remote, attempt)

    async def _serve_peer(
        self, request: protocol.Request, caller: protocol.CallerConnection
    ) -> refusal_models.Refusal | None:
        match decisions.parse_head(
            request.head,
            self._limits,
            time.monotonic(),
            internal=decisions.PEER_MUST_NOT_SEND,
        ):
            case result.Err(refusal):
                return refusal
            case result.Ok(head):
                pass
        match decisions.parse_peer_fields(head, self._routing.table.groups):
            case result.Err(refusal):
                return refusal
            case result.Ok(fields):
                pass
        body = exchange.RequestBody(
            head, request, self._limits, _MAX_BUFFERED_BODY_BYTES
        )
        attempt = _Attempt(head, body, caller)
        attempt.is_idempotent = decisions.is_idempotent(head, fields.group)
        if self._tracer is None:
            return await self._run_peer(fields, attempt)
        return await self._traced(
            "home", attempt, self._run_peer(fields, attempt)
        )

    async def _run_peer(
        self, fields: models.PeerFields, attempt: "_Attempt"
    ) -> refusal_models.Refusal | None:
        head, body = attempt.head, attempt.body
        failed = await self._prepare(attempt)
        if failed is not None:
            return failed
        self._retries.add_request()
        while True:
            ticket = decisions.make_ticket(
                head,
                next(self._ids),
                fields.server,
                fields.slice,
                fields.priority,
                idempotent=attempt.is_idempotent,
                now=time.monotonic(),
            )
            failed = await self._run_local(fields.group.name, ticket, attempt)
            if (
                failed is None
                or not isinstance(
                    decisions.retry_of(failed), models.RetryIdempotent
                )
                or not body.can_repeat
                or not self._may_retry(failed, attempt)
            ):
                return failed
            self._metrics.count("router.retries")

    def _is_home_of_id(self, group: str, ticket: admission.Ticket) -> bool:
        """Returns whether this VM may run the id, as far as its table says."""
        if ticket.idempotent or ticket.server is not None:
            return True
        vms = self._routing.table.request_id_homes.get(group, ())
        return request_id_homes.home_of(ticket.request_id, vms) == self._vm

    async def _run_local(
        self, group: str, ticket: admission.Ticket, attempt: "_Attempt"
    ) -> refusal_models.Refusal | None:
        if not self._is_home_of_id(group, ticket):
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
        run: exchange.Exchange | None = None
        admitted: messages.Admitted | None = None
        try:
            async with asyncio.timeout(ticket.deadline_s - time.monotonic()):
                answer = await reply
                match answer:
                    case result.Err(refusal):
                        return refusal
                    case result.Ok(lent):
                        admitted = lent
                run = _exchange_of(admitted, attempt)
                return await run.run(attempt.body, attempt.caller)
        except TimeoutError:
            if run is None:
                return refusal_models.DeadlineExceeded(sent=False)
            return run.time_out()
        finally:
            if admitted is None:
                _withdraw(inbox, ticket, reply)
            else:
                ending = (
                    run.ending if run is not None else admission.Ending.NOT_SENT
                )
                _give_back(inbox, admitted, ending)

    async def _run_remote(
        self, remote: models.RemoteTarget, attempt: "_Attempt"
    ) -> refusal_models.Refusal | None:
        address = self._routing.table.router_addresses.get(remote.vm)
        if address is None:
            return refusal_models.NotHome(remote.server or remote.group)
        taken = await self._peers.acquire(remote.vm, address)
        if taken is None:
            return refusal_models.ConnectFailed(remote.vm)
        head = attempt.head
        run = exchange.Exchange(
            taken,
            remote.vm,
            head,
            self._peer_headers(remote),
            send_before_s=None,
            is_peer=True,
            trace_headers=attempt.trace_headers,
        )
        try:
            async with asyncio.timeout(head.deadline_s - time.monotonic()):
                return await run.run(attempt.body, attempt.caller)
        except TimeoutError:
            return run.time_out()
        finally:
            self._peers.release(remote.vm, taken)

    def _peer_headers(
        self, remote: models.RemoteTarget
    ) -> list[tuple[bytes, bytes]]:
        fields = [
            (headers.GROUP, remote.group.encode()),
            (headers.PRIORITY, b"%d" % remote.priority),
            (headers.HOP, self._vm.encode()),
        ]
        if remote.server is not None:
            fields.append((headers.SERVER, remote.server.encode()))
        if remote.slice is not None:
            fields.append((headers.SLICE, b"%d" % remote.slice))
        return fields


class _Attempt:
    """What the attempts of one request share."""

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


def _exchange_of(
    admitted: messages.Admitted, attempt: _Attempt
) -> exchange.Exchange:
    internal = [(headers.SERVER, admitted.server.encode())]
    ticket = admitted.ticket
    if ticket.slice is not None:
        internal.append((headers.SLICE, b"%d" % ticket.slice))
        internal.append((headers.TOKEN, b"%d" % (admitted.token or 0)))
    return exchange.Exchange(
        admitted.connection,
        admitted.server,
        attempt.head,
        internal,
        send_before_s=(
            admitted.valid_until_s if ticket.slice is not None else None
        ),
        is_peer=False,
        trace_headers=attempt.trace_headers,
    )


def _withdraw(
    inbox: mailbox.Mailbox[messages.HomeMessage],
    ticket: admission.Ticket,
    reply: asyncio.Future[messages.AdmissionResult],
) -> None:
    """Gives back what the home may have lent while the request ended."""
    if not reply.done() or reply.cancelled():
        inbox.post(messages.Withdraw(ticket))
        return
    match reply.result():
        case result.Ok(admitted):
            _give_back(inbox, admitted, admission.Ending.NOT_SENT)
        case result.Err(_):
            pass


def _give_back(
    inbox: mailbox.Mailbox[messages.HomeMessage],
    admitted: messages.Admitted,
    ending: admission.Ending,
) -> None:
    """Returns a lent connection, or closes it if its home has ended."""
    inbox.post(messages.ExchangeFinished(admitted, ending))
    if inbox.is_closed:
        admitted.connection.close()
