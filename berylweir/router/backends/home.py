"""The task that admits requests to the backend servers of one group."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import time
import typing

import result

from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.peers import messages as peers
from berylweir.refusals import models as refusals
from berylweir.router import messages
from berylweir.router.admission import decisions
from berylweir.router.admission import models as admission
from berylweir.router.backends import connection
from berylweir.router.backends import pool
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_TICK_INTERVAL_S = 0.1
# Suspects are reported again after this time, in case a message was lost.
_SUSPECTS_REPEAT_S = 5.0


class HomeTask:
    """Owns the limits, the queues and the connections of its servers.

    A connection is lent to a request with `Admitted` and returned with
    `ExchangeFinished`. In between, only the request uses it.
    """

    def __init__(
        self,
        limits: admission.Limits,
        pool_limits: pool.PoolLimits,
        inbox: mailbox.Mailbox[messages.HomeMessage],
        report: Callable[[messages.HomeReport], None],
        metrics: counters.Counters,
    ) -> None:
        """Creates the task.

        Args:
            limits: Limits of each backend server.
            pool_limits: Limits of each connection pool.
            inbox: Messages to this task.
            report: Called with each report for the keeper.
            metrics: Counters.
        """
        self._limits = limits
        self._pool_limits = pool_limits
        self._inbox = inbox
        self._report = report
        self._metrics = metrics
        # The state, and with it the idempotency table, is kept when the task
        # crashes and is restarted.
        self._state = decisions.new_state(limits, time.time())
        self._pools: dict[str, pool.Pool] = {}
        self._servers: dict[str, schemas.BackendServer] = {}
        self._replies: dict[int, asyncio.Future[messages.AdmissionResult]] = {}
        self._requests_by_slice: dict[str, dict[int, int]] = {}
        self._lent_connections: dict[
            int, tuple[messages.Admitted, pool.Pool]
        ] = {}
        self._connecting: dict[
            int, tuple[asyncio.Task[None], admission.Ticket, str, pool.Pool]
        ] = {}
        self._pending_decisions: collections.deque[admission.Decision] = (
            collections.deque()
        )
        self._is_applying = False
        self._suspects_reported_s = float("-inf")

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until asked to stop."""
        self._inbox.open()
        context.stack.callback(self._shut_down)
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._read()),
                group.create_task(self._tick()),
            ]
            await context.stop_event.wait()
            for task in tasks:
                task.cancel()

    async def _read(self) -> None:
        while True:
            self._handle(await self._inbox.get())

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            if self._inbox.offer(messages.Tick()).is_err():
                self._metrics.count("router.home.tick_dropped")

    def _handle(self, message: messages.HomeMessage) -> None:
        now = time.monotonic()
        match message:
            case messages.Admit(ticket=ticket, reply=reply):
                self._replies[ticket.id] = reply
                self._apply(
                    decisions.submit(self._state, ticket, now, time.time())
                )
            case messages.ExchangeFinished(admitted=admitted, ending=ending):
                self._return_connection(admitted.ticket)
                self._finish(
                    admitted.ticket,
                    admitted.server,
                    ending,
                    now,
                    message.first_byte_s,
                )
            case messages.Withdraw(ticket=ticket):
                self._withdraw(ticket, now)
            case messages.ConnectFinished():
                self._finish_connecting(message, now)
            case messages.Authorities():
                self._set_authorities(message, now)
            case messages.SuspectsReceived(suspects=suspects):
                self._apply(
                    decisions.merge_suspects(
                        self._state,
                        suspects.suspected,
                        suspects.quarantined,
                        now,
                    )
                )
            case messages.Tick():
                self._apply(decisions.tick(self._state, now))
                self._report_suspects(now)
            case _:
                typing.assert_never(message)

    def _withdraw(self, ticket: admission.Ticket, now: float) -> None:
        """Cancels a request whose caller no longer waits for the reply.

        The home may already have replied with a connection. In that case
        nobody uses the connection, and the request was not sent.
        """
        self._replies.pop(ticket.id, None)
        decisions.withdraw(self._state, ticket)
        lent = self._lent_connections.get(ticket.id)
        if lent is not None:
            self._return_connection(ticket)
            self._finish(ticket, lent[0].server, admission.Ending.NOT_SENT, now)

    def _finish(
        self,
        ticket: admission.Ticket,
        server: str,
        ending: admission.Ending,
        now: float,
        first_byte_s: float | None = None,
    ) -> None:
        self._metrics.count(f"router.exchange.{ending.value}")
        self._apply(
            decisions.finish(
                self._state, server, ticket, ending, now, first_byte_s
            )
        )
        self._report_suspects(now)

    def _apply(self, new_decisions: decisions.Decisions) -> None:
        """Carries out decisions and the further decisions that they cause.

        A queue is used instead of recursion, which could become as deep as the
        number of waiting requests.
        """
        self._pending_decisions.extend(new_decisions)
        if self._is_applying:
            return
        self._is_applying = True
        try:
            while self._pending_decisions:
                match self._pending_decisions.popleft():
                    case admission.Run(ticket=ticket, server=server):
                        self._start_request(ticket, server)
                    case admission.Refuse(ticket=ticket, refusal=refusal):
                        self._reply(ticket, result.Err(refusal))
        finally:
            self._is_applying = False

    def _reply(
        self, ticket: admission.Ticket, outcome: messages.AdmissionResult
    ) -> bool:
        reply = self._replies.pop(ticket.id, None)
        if reply is None or reply.done():
            return False
        reply.set_result(outcome)
        return True

    def _start_request(self, ticket: admission.Ticket, server: str) -> None:
        """Lends an idle connection, or opens one if the pool allows it."""
        origin = self._pools[server]
        idle = origin.take_idle()
        if idle is not None:
            self._lend_connection(ticket, server, idle, origin)
        elif not origin.can_open():
            self._metrics.count("router.connect.no_budget")
            self._reply(
                ticket,
                result.Err(refusals.Overloaded(self._limits.group)),
            )
            self._finish(
                ticket, server, admission.Ending.NOT_SENT, time.monotonic()
            )
        else:
            connecting = asyncio.create_task(
                self._connect(ticket, server, origin)
            )
            self._connecting[ticket.id] = (
                connecting,
                ticket,
                server,
                origin,
            )

    async def _connect(
        self, ticket: admission.Ticket, server: str, origin: pool.Pool
    ) -> None:
        opened: connection.Connection | None = None
        try:
            opened = await origin.open()
        except (OSError, TimeoutError):
            self._metrics.count("router.connect.failed")
        self._inbox.post(
            messages.ConnectFinished(ticket, server, opened, origin)
        )

    def _finish_connecting(
        self, message: messages.ConnectFinished, now: float
    ) -> None:
        self._connecting.pop(message.ticket.id, None)
        if message.connection is None:
            self._reply(
                message.ticket,
                result.Err(refusals.ConnectFailed(message.server)),
            )
            self._finish(
                message.ticket,
                message.server,
                admission.Ending.CONNECT_FAILED,
                now,
            )
            return
        self._lend_connection(
            message.ticket, message.server, message.connection, message.origin
        )

    def _lend_connection(
        self,
        ticket: admission.Ticket,
        server: str,
        lent: connection.Connection,
        origin: pool.Pool,
    ) -> None:
        state = self._state.servers.get(server)
        authority = state.authority if state is not None else None
        token = None
        if ticket.slice is not None:
            if authority is not None:
                token = authority.tokens.get(ticket.slice)
            if token is None:
                # The slice was taken away while the connection was opened.
                self._return_unused(ticket, server, lent, origin)
                return
        admitted = messages.Admitted(
            ticket,
            server,
            lent,
            authority.valid_until_s if authority is not None else 0.0,
            token,
        )
        if ticket.slice is not None:
            counts = self._requests_by_slice.setdefault(server, {})
            counts[ticket.slice] = counts.get(ticket.slice, 0) + 1
        self._lent_connections[ticket.id] = (admitted, origin)
        if not self._reply(ticket, result.Ok(admitted)):
            self._return_connection(ticket)
            self._finish(
                ticket, server, admission.Ending.NOT_SENT, time.monotonic()
            )

    def _return_unused(
        self,
        ticket: admission.Ticket,
        server: str,
        unused: connection.Connection,
        origin: pool.Pool,
    ) -> None:
        """Refuses a ticket whose slice this home may no longer serve."""
        self._metrics.count("router.connect.unauthorized")
        if self._pools.get(server) is origin:
            origin.release(unused)
        else:
            origin.discard(unused)
        self._reply(ticket, result.Err(refusals.NotHome(server)))
        self._finish(
            ticket, server, admission.Ending.NOT_SENT, time.monotonic()
        )

    def _return_connection(self, ticket: admission.Ticket) -> None:
        """Returns a connection to the pool that it came from.

        If the server has left this home since, its pool no longer exists or
        was replaced by a new one, and the connection is closed.
        """
        lent = self._lent_connections.pop(ticket.id, None)
        if lent is None:
            return
        admitted, origin = lent
        if self._pools.get(admitted.server) is origin:
            origin.release(admitted.connection)
        else:
            origin.discard(admitted.connection)

    def _set_authorities(
        self, message: messages.Authorities, now: float
    ) -> None:
        if message.group.slots != self._limits.slots:
            self._limits = dataclasses.replace(
                self._limits, slots=message.group.slots
            )
            decisions.set_limits(self._state, self._limits)
        self._state.request_id_homes.set_vms(
            message.vm, message.request_id_homes, time.time()
        )
        self._servers = {s.name: s for s, _ in message.servers}
        for name, server in self._servers.items():
            if name not in self._pools:
                self._pools[name] = pool.Pool(
                    server.address, server.port, self._pool_limits
                )
        for name in [n for n in self._pools if n not in self._servers]:
            self._pools.pop(name).close()
        self._apply(
            decisions.set_authorities(
                self._state, tuple(a for _, a in message.servers), now
            )
        )
        self._send_report()

    def _send_report(self) -> None:
        """Reports the outstanding slices and the request counts of servers.

        Abandoned requests count as outstanding, because the server may still
        be running them.
        """
        reports = []
        for name, server in self._state.servers.items():
            outstanding = {
                r.ticket.slice
                for r in server.running.values()
                if r.ticket.slice is not None
            } | server.abandoned.keys()
            reports.append(
                peers.Drained(
                    name,
                    tuple(sorted(outstanding)),
                    tuple(server.authority.tokens),
                    tuple(self._requests_by_slice.pop(name, {}).items()),
                    server.authority.version,
                )
            )
        self._report(messages.HomeReport(self._limits.group, tuple(reports)))

    def _report_suspects(self, now: float) -> None:
        repeat = now - self._suspects_reported_s >= _SUSPECTS_REPEAT_S
        suspects = decisions.suspects_to_report(self._state, now, repeat=repeat)
        if suspects is None:
            return
        self._suspects_reported_s = now
        self._report(
            messages.HomeReport(
                self._limits.group,
                (),
                peers.Suspects(suspects.suspected, suspects.quarantined),
            )
        )

    def _shut_down(self) -> None:
        """Closes the mailbox and the pools, and refuses waiting requests."""
        self._inbox.close()
        while (message := self._inbox.get_nowait()) is not None:
            match message:
                case messages.Admit(ticket=ticket, reply=reply):
                    self._replies[ticket.id] = reply
                case messages.ExchangeFinished(admitted=admitted):
                    self._return_connection(admitted.ticket)
                case _:
                    pass
        for task, ticket, server, origin in self._connecting.values():
            if not task.done():
                task.cancel()
                # Frees the request's slot if the task is restarted after a
                # crash.
                self._inbox.post(
                    messages.ConnectFinished(ticket, server, None, origin)
                )
        for open_pool in self._pools.values():
            open_pool.close()
        for reply in self._replies.values():
            if not reply.done():
                reply.set_result(
                    result.Err(refusals.NotHome(self._limits.group))
                )
        self._replies.clear()
