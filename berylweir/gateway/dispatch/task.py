"""The task that owns the state of all backend servers on this VM."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import random
import typing

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import connection_pool
from berylweir.gateway.dispatch import connectivity
from berylweir.gateway.dispatch import deployment
from berylweir.gateway.dispatch import key_usage
from berylweir.gateway.dispatch import leaving
from berylweir.gateway.dispatch import models as dispatch
from berylweir.gateway.dispatch import placement
from berylweir.gateway.dispatch import probes
from berylweir.gateway.dispatch import refusals
from berylweir.gateway.dispatch import statement_log
from berylweir.gateway.dispatch import suspects as suspect_requests
from berylweir.gateway.forwarding import state as forwarding
from berylweir.gateway.suspects import messages as suspects
from berylweir.observability import counters
from berylweir.router.backends import connection as http
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_MAILBOX_SIZE = 10_000  # messages; far more than a VM's concurrent requests
# Interval at which waiting requests are tried again, in seconds. Load estimates
# decay with time, so a server may get capacity without a message.
_WAITING_RETRY_INTERVAL_S = 0.02

Inbox = mailbox.Mailbox[messages.DispatcherMessage]
_Reason = messages.RefusalReason
# Results of attempts whose request wasn't sent.
_UNSENT_RESULTS = frozenset(
    {messages.AttemptResult.UNREACHABLE, messages.AttemptResult.STALE}
)


def create_inbox() -> Inbox:
    """Returns the mailbox of the dispatcher."""
    return mailbox.Mailbox("dispatcher", _MAILBOX_SIZE)


class Dispatcher:
    """Chooses a server for each request and enforces the limits on its use.

    It owns the idle connections, the load estimates and the retry budgets of
    this VM.
    """

    def __init__(
        self,
        environment: models.Environment,
        inbox: Inbox,
        prober_inbox: probes.Inbox,
        metrics: counters.Counters,
        on_server_leaving: Callable[[], None] = lambda: None,
        report_suspects: Callable[
            [suspects.ServerEnded | suspects.SuspectCompleted], None
        ] = lambda _: None,
    ) -> None:
        """Creates the dispatcher.

        Args:
            environment: Settings that the platform passed.
            inbox: Mailbox of the dispatcher.
            prober_inbox: Mailbox of the task that probes servers.
            metrics: Counters.
            on_server_leaving: Called when a server says that it is leaving
                before its entry does.
            report_suspects: Posts a message to the task that judges requests
                under which servers ended.
        """
        self._on_server_leaving = on_server_leaving
        self._vm = environment.vm
        self._inbox = inbox
        self._metrics = metrics
        rng = random.Random(environment.vm)
        self._vms: Mapping[str, models.Vm] = {}
        self._waiting_requests: list[messages.PlaceRequest] = []
        self._connectivity = connectivity.Connectivity(prober_inbox, metrics)
        self._forwarding = forwarding.ForwardingState(
            environment.vm,
            environment.availability_zone,
            rng,
            metrics,
        )
        self._statement_log = statement_log.StatementLog(metrics)
        self._suspects = suspect_requests.SuspectRequests(
            environment.vm, report_suspects, self._connectivity.probe, metrics
        )
        self._leaving = leaving.LeavingInstances()
        self._deployment = deployment.Deployment(
            environment.bounds, self._leaving
        )
        self._placer = placement.ServerPlacer(
            environment,
            self._deployment,
            self._connectivity,
            self._forwarding,
            self._suspects,
            rng,
        )

    async def run(self, context: supervision.ChildContext) -> None:
        """Handles messages until the supervisor stops the child."""
        context.stack.callback(self._close_connections)
        context.report_ready()
        while True:
            try:
                async with asyncio.timeout(
                    _WAITING_RETRY_INTERVAL_S
                    if self._waiting_requests
                    else None
                ):
                    message = await self._inbox.get()
            except TimeoutError:
                self._retry_waiting_requests()
                continue
            self._handle_message(message)
            if self._waiting_requests and not isinstance(
                message, messages.PlaceRequest
            ):
                self._retry_waiting_requests()

    def _handle_message(self, message: messages.DispatcherMessage) -> None:
        match message:
            case messages.PlaceRequest():
                self._place_or_queue(message)
            case messages.ConfirmPlacement(placement, requirements, reply):
                if not reply.done():
                    reply.set_result(
                        self._placer.is_still_allowed(
                            placement, requirements, self._now_s()
                        )
                    )
            case messages.PlacementReturned():
                self._take_back(message)
            case messages.AttemptFinished():
                self._finish_attempt(message)
            case messages.ForwardFinished():
                self._finish_forward(message)
            case messages.StatementsReceived(server, statements):
                self._receive_statements(server, statements)
            case messages.ResponseOverdue(placement):
                state = self._deployment.servers.get(placement.server.instance)
                if state is not None:
                    self._connectivity.record_overdue(
                        state, placement.placed_s, self._now_s()
                    )
            case messages.ServerProbed():
                self._finish_probe(message)
            case messages.CollectKeyUsage(reply):
                if not reply.done():
                    reply.set_result(self._collect_key_usage())
            case (
                suspects.RequestsAssessed()
                | suspects.SuspectAnnounced()
                | suspects.RequestsQuarantined()
            ):
                self._suspects.apply(message, self._now_s())
            case (
                messages.ConfigurationChanged()
                | messages.ServersChanged()
                | messages.EvacuationsChanged()
                | messages.KeyTableChanged()
                | messages.VmsChanged()
                | messages.LeaseChanged()
                | suspects.QuarantineChanged()
            ):
                self._apply_store_update(message)
            case _:
                typing.assert_never(message)

    def _apply_store_update(self, update: messages.StoreUpdate) -> None:
        match update:
            case messages.ConfigurationChanged(configuration):
                self._deployment.apply_configuration(configuration)
            case messages.ServersChanged(servers):
                self._update_servers(servers)
            case messages.EvacuationsChanged(zones):
                self._deployment.update_evacuations(zones)
                self._update_connectivity()
            case messages.KeyTableChanged(table):
                self._deployment.update_key_table(table)
            case messages.VmsChanged(vms):
                self._vms = vms
                self._forwarding.update_vms(vms)
                self._placer.update_vms(vms.keys())
            case messages.LeaseChanged() | suspects.QuarantineChanged():
                pass
            case _:
                typing.assert_never(update)

    # Configuration and servers

    def _update_servers(
        self, servers: Mapping[str, models.BackendServer]
    ) -> None:
        self._deployment.update_servers(servers, self._now_s())
        instances = set(self._deployment.servers)
        self._forwarding.retain_owners(instances)
        self._statement_log.retain(instances)
        self._update_connectivity()

    def _update_connectivity(self) -> None:
        self._connectivity.update_servers(self._deployment.eligible_servers())

    def _collect_key_usage(self) -> messages.KeyUsage:
        self._suspects.forget_old(self._now_s())
        self._connectivity.probe_if_isolated(
            self._deployment.servers.values(), self._now_s()
        )
        return key_usage.collect(
            self._vm,
            self._deployment.groups,
            self._deployment.servers.values(),
            is_isolated=self._connectivity.is_isolated,
        )

    # Requests

    def _place_or_queue(self, place_request: messages.PlaceRequest) -> None:
        requirements = place_request.requirements
        group = self._deployment.groups.get(requirements.group)
        now_s = self._now_s()
        if group is None:
            self._refuse_request(
                place_request, refusals.create(_Reason.NO_SERVER)
            )
            return
        refusal = self._suspects.check(requirements, now_s)
        if refusal is not None and refusals.cannot_be_placed_in_time(
            requirements, refusal, now_s
        ):
            self._refuse_request(place_request, refusal)
            return
        if not requirements.is_retry and not requirements.was_forwarded:
            group.budget.record_request(now_s)
            if group.settings.is_keyed and requirements.key is not None:
                group.requested_keys.append(requirements.key)
        refusal = self._placer.try_place(place_request, now_s)
        if refusal is None:
            return
        if refusals.cannot_be_placed_in_time(requirements, refusal, now_s):
            self._refuse_request(place_request, refusal)
            return
        self._waiting_requests.append(place_request)
        self._waiting_requests.sort(key=refusals.waiting_order)

    def _retry_waiting_requests(self) -> None:
        now_s = self._now_s()
        still_waiting: list[messages.PlaceRequest] = []
        for place_request in self._waiting_requests:
            if place_request.reply.done():
                continue
            refusal = self._placer.try_place(place_request, now_s)
            if refusal is None:
                continue
            if refusals.cannot_be_placed_in_time(
                place_request.requirements, refusal, now_s
            ):
                self._refuse_request(place_request, refusal)
            else:
                still_waiting.append(place_request)
        self._waiting_requests = still_waiting

    def _refuse_request(
        self, place_request: messages.PlaceRequest, refusal: messages.NotPlaced
    ) -> None:
        self._metrics.count(f"gateway.refused.{refusal.reason.value}")
        if not place_request.reply.done():
            place_request.reply.set_result(refusal)

    def _take_back(self, returned: messages.PlacementReturned) -> None:
        """Takes back a placement whose request wasn't sent."""
        now_s = self._now_s()
        placement = returned.placement
        requirements = returned.requirements
        self._suspects.end(requirements)
        self._refund_retry(requirements)
        state = self._deployment.servers.get(placement.server.instance)
        if state is None:
            if placement.connection is not None:
                placement.connection.close()
            return
        state.cancel_request()
        if returned.permit_available_s is not None:
            state.permit_available_s = returned.permit_available_s
        if placement.connection is not None:
            self._release_connection(state, placement.connection, None, now_s)

    def _refund_retry(self, requirements: messages.ServerRequirements) -> None:
        group = self._deployment.groups.get(requirements.group)
        if group is not None and requirements.is_retry:
            group.budget.refund()

    def _finish_attempt(self, finished: messages.AttemptFinished) -> None:
        now_s = self._now_s()
        state = self._deployment.servers.get(finished.placement.server.instance)
        connection = finished.connection
        self._suspects.finish(finished, state, now_s)
        if finished.attempt_result in _UNSENT_RESULTS:
            self._refund_retry(finished.requirements)
        if state is None:
            if connection is not None:
                connection.close()
            return
        state.finish_request(finished, now_s, max(1, len(self._vms)))
        self._record_statements(state, finished.statements, now_s)
        self._connectivity.record_result(finished, now_s)
        if connection is not None:
            self._release_connection(
                state, connection, finished.keep_alive_timeout_s, now_s
            )

    def _finish_forward(self, finished: messages.ForwardFinished) -> None:
        now_s = self._now_s()
        self._forwarding.finish(finished, now_s)
        if finished.leaving_server is not None:
            self._receive_statements(
                finished.leaving_server,
                models.ServerStatements(is_leaving=True),
            )

    def _receive_statements(
        self,
        server: models.ServerInstance,
        statements: models.ServerStatements,
    ) -> None:
        """Applies statements that don't come with the end of an attempt."""
        state = self._deployment.servers.get(server)
        if state is not None:
            now_s = self._now_s()
            state.apply_statements(statements, now_s)
            self._record_statements(state, statements, now_s)

    def _record_statements(
        self,
        state: dispatch.ServerState,
        statements: models.ServerStatements,
        now_s: float,
    ) -> None:
        """Logs what a server said, and heeds that it is leaving."""
        self._statement_log.record(state, statements, now_s)
        if state.leaving_since_s is not None and self._leaving.remember(
            state.server.instance, state.leaving_since_s
        ):
            state.pool.close()
            if not state.server.is_draining:
                self._on_server_leaving()

    # Connections

    def _finish_probe(self, probed: messages.ServerProbed) -> None:
        now_s = self._now_s()
        state = self._deployment.servers.get(probed.server.instance)
        self._suspects.record_probe(probed, now_s)
        if state is not None:
            self._connectivity.record_probe(probed, now_s)
        if probed.connection is None:
            return
        if state is None:
            probed.connection.close()
        else:
            self._release_connection(state, probed.connection, None, now_s)

    def _release_connection(
        self,
        state: dispatch.ServerState,
        connection: http.Connection,
        keep_alive_timeout_s: float | None,
        now_s: float,
    ) -> None:
        if state.server.is_draining or state.leaving_since_s is not None:
            connection.close()
            return
        group = self._deployment.groups.get(state.server.group)
        state.pool.release(
            connection,
            now_s,
            keep_alive_timeout_s,
            connection_pool.max_idle_connections(
                group.settings if group else None, len(self._vms)
            ),
        )

    def _close_connections(self) -> None:
        self._deployment.close()
        self._forwarding.close()

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
