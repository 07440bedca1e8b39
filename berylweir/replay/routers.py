"""Simulated router that uses the decisions of ingress and admission."""

import dataclasses
import typing

import result
import xxhash

from berylweir.backendapi import headers
from berylweir.objects import schemas
from berylweir.peers import messages as peers
from berylweir.refusals import models as refusals
from berylweir.replay import messages
from berylweir.replay import models
from berylweir.replay import simulation
from berylweir.router.admission import decisions as admission_decisions
from berylweir.router.admission import models as admission
from berylweir.router.ingress import decisions as ingress
from berylweir.router.ingress import models as ingress_models
from berylweir.router.table import models as table

# Wait before an entry VM attempts a call again.
_RETRY_WAIT_S = 0.025
_REPORT_INTERVAL_S = 0.1
_INGRESS_LIMITS = ingress_models.Limits()


@dataclasses.dataclass(slots=True)
class _Pending:
    """A ticket at its home VM that has not been answered.

    Attributes:
        call: Call of the ticket.
        group: Name of the server group.
        ticket: Ticket in the admission state.
        origin: Entry VM that forwarded the call, or None if it is this VM.
        server: Server that executes it, or None while it is queued.
    """

    call: models.Call
    group: str
    ticket: admission.Ticket
    origin: str | None
    server: str | None = None


class RouterActor:
    """Owns the routing table, the admission state and the calls of one VM."""

    def __init__(
        self,
        sim: simulation.Simulation,
        vm: schemas.Vm,
        groups: tuple[schemas.ServerGroup, ...],
    ) -> None:
        """Creates a router with an empty routing table.

        Args:
            sim: Simulation that delivers its messages.
            vm: The entry VM.
            groups: Server groups.
        """
        self._sim = sim
        self._vm_name = vm.name
        self._name = f"router.{vm.name}"
        self._groups = {g.name: g for g in groups}
        self._table = table.Table()
        self._admission_states: dict[str, admission_decisions.State] = {}
        self._pending_tickets: dict[int, _Pending] = {}
        # Home VM of each unanswered forwarded call, by the id of the call.
        self._forwarded_to: dict[int, str] = {}
        # Network delay between entry VMs so far, by the id of the call.
        self._hop_delays_s: dict[int, float] = {}
        # Requests sent since the last report, by server and slice.
        self._slice_counts: dict[str, dict[int, int]] = {}
        sim.register(self._name, vm.availability_zone, self.receive)
        sim.deliver_after(
            sim.rng.uniform(0, _REPORT_INTERVAL_S), self._name, _REPORT
        )

    def receive(self, message: messages.ToRouter) -> None:
        """Handles a message."""
        match message:
            case (
                messages.RequestArrived(call=call)
                | messages.RetryDue(call=call)
            ):
                self._route_call(call)
            case messages.RequestForwarded():
                self._accept_forwarded(message)
            case messages.ForwardAnswered(call=call, answer=answer):
                if self._forwarded_to.pop(call.id, None) is not None:
                    self._answer_or_retry(call, answer)
            case messages.ExchangeEnded():
                self._handle_exchange_end(message)
            case messages.TicketExpired(ticket_id=ticket_id):
                self._expire_ticket(ticket_id)
            case messages.CallExpired(call=call):
                if self._forwarded_to.pop(call.id, None) is not None:
                    refusal = refusals.DeadlineExceeded(sent=True)
                    self._answer_or_retry(call, models.Refused(refusal))
            case messages.TableUpdated(table=new_table):
                self._table = new_table
            case messages.HomesUpdated(homes=homes):
                self._update_authorities(homes)
            case messages.ReportDue():
                self._send_report()
            case _:
                typing.assert_never(message)

    def home_of(self, group: str, slice_index: int) -> tuple[str, str] | None:
        """Returns owner and home VM of a slice by this VM's routing table."""
        for route in self._table.routes:
            if route.group.name == group and route.owners:
                owner = route.owners[slice_index]
                home = route.homes.get(owner) if owner else None
                return (owner, home) if owner and home else None
        return None

    def token_of(self, group: str, server: str, slice_index: int) -> int | None:
        """Returns the token with which this home may send to the server.

        It is None while this VM is not the home or its authority has expired.
        """
        state = self._admission_states.get(group)
        server_state = state.servers.get(server) if state else None
        if (
            server_state is None
            or self._sim.now >= server_state.authority.valid_until_s
        ):
            return None
        return server_state.authority.tokens.get(slice_index)

    # Entry VM

    def _route_call(self, call: models.Call) -> None:
        """Submits a call at this home, forwards it to another or refuses it."""
        now = self._sim.now
        target_result = ingress.choose_target(
            _build_head(call),
            self._table,
            self._vm_name,
            _INGRESS_LIMITS,
            next(self._sim.ids),
            now,
        )
        match target_result:
            case result.Err(refusal):
                self._answer_or_retry(call, models.Refused(refusal))
            case result.Ok(ingress_models.LocalTarget() as local):
                self._submit_ticket(call, local.group, local.ticket, None)
            case result.Ok(ingress_models.RemoteTarget() as remote):
                home = f"router.{remote.vm}"
                self._forwarded_to[call.id] = remote.vm
                self._hop_delays_s[call.id] = self._hop_delays_s.get(
                    call.id, 0.0
                ) + 2 * self._sim.delay_s(self._name, home)
                failed = models.Refused(refusals.ConnectFailed(remote.vm))
                self._sim.send_or_fail(
                    self._name,
                    home,
                    messages.RequestForwarded(call, remote, self._vm_name),
                    messages.ForwardAnswered(call, failed),
                )
                self._sim.deliver_after(
                    call.deadline_s - now,
                    self._name,
                    messages.CallExpired(call),
                )

    def _answer_or_retry(
        self, call: models.Call, answer: models.Answer
    ) -> None:
        """Answers the caller, or attempts the call again after a wait.

        It retries refusals that are safe to retry for every request, if the
        deadline is later than the wait.
        """
        now = self._sim.now
        match answer:
            case models.Refused(refusal=refusal) if (
                isinstance(
                    ingress.classify_retry(refusal), ingress_models.RetryAlways
                )
                and call.deadline_s - now > _RETRY_WAIT_S
            ):
                self._sim.deliver_after(
                    _RETRY_WAIT_S, self._name, messages.RetryDue(call)
                )
            case _:
                hop_delay_s = self._hop_delays_s.pop(call.id, 0.0)
                self._sim.record_outcome(call, answer, hop_delay_s)

    # Home VM

    def _accept_forwarded(self, message: messages.RequestForwarded) -> None:
        call, target = message.call, message.target
        ticket = ingress.make_ticket(
            _build_head(call),
            next(self._sim.ids),
            target.server,
            target.slice,
            target.priority,
            idempotent=target.idempotent,
            now=self._sim.now,
        )
        self._submit_ticket(call, target.group, ticket, message.origin)

    def _submit_ticket(
        self,
        call: models.Call,
        group: str,
        ticket: admission.Ticket,
        origin: str | None,
    ) -> None:
        state = self._admission_states.get(group)
        pending = _Pending(call, group, ticket, origin)
        if state is None:
            refusal = refusals.NotHome(ticket.server or group)
            self._reply(pending, models.Refused(refusal))
            return
        self._pending_tickets[ticket.id] = pending
        now = self._sim.now
        self._sim.deliver_after(
            ticket.deadline_s - now,
            self._name,
            messages.TicketExpired(ticket.id),
        )
        self._execute_decisions(
            admission_decisions.submit(
                state, ticket, now, self._sim.wall_clock_s
            )
        )

    def _execute_decisions(
        self, decisions: admission_decisions.Decisions
    ) -> None:
        for decision in decisions:
            match decision:
                case admission.Run(ticket=ticket, server=server):
                    self._send_to_server(ticket, server)
                case admission.Refuse(ticket=ticket, refusal=refusal):
                    pending = self._pending_tickets.pop(ticket.id, None)
                    if pending is not None:
                        self._reply(pending, models.Refused(refusal))
                case _:
                    typing.assert_never(decision)

    def _send_to_server(self, ticket: admission.Ticket, server: str) -> None:
        """Sends a ticket to a server.

        It returns the slot instead if the ticket has been answered or the
        authority over its slice has expired.
        """
        pending = self._pending_tickets.get(ticket.id)
        if pending is None:
            self._finish_exchange(ticket, server, admission.Ending.NOT_SENT)
            return
        token: int | None = None
        if ticket.slice is not None:
            token = self.token_of(pending.group, server, ticket.slice)
            if token is None:
                del self._pending_tickets[ticket.id]
                self._finish_exchange(
                    ticket, server, admission.Ending.NOT_SENT, pending.group
                )
                refusal = refusals.NotHome(server)
                self._reply(pending, models.Refused(refusal))
                return
            counts = self._slice_counts.setdefault(server, {})
            counts[ticket.slice] = counts.get(ticket.slice, 0) + 1
        pending.server = server
        self._sim.send_or_fail(
            self._name,
            server,
            messages.ExecuteRequest(ticket.id, pending.call, token, self._name),
            messages.ExchangeEnded(
                ticket.id, server, admission.Ending.CONNECT_FAILED
            ),
        )

    def _handle_exchange_end(self, message: messages.ExchangeEnded) -> None:
        pending = self._pending_tickets.pop(message.ticket_id, None)
        if pending is None:
            return
        answer = answer_for_exchange(message, pending.group)
        self._finish_exchange(
            pending.ticket, message.server, message.ending, pending.group
        )
        self._reply(pending, answer)

    def _expire_ticket(self, ticket_id: int) -> None:
        pending = self._pending_tickets.pop(ticket_id, None)
        if pending is None:
            return
        was_sent = pending.server is not None
        if pending.server is not None:
            self._sim.send(
                self._name, pending.server, messages.CancelRequest(ticket_id)
            )
            self._finish_exchange(
                pending.ticket,
                pending.server,
                admission.Ending.TIMED_OUT,
                pending.group,
            )
        else:
            state = self._admission_states.get(pending.group)
            if state is not None:
                admission_decisions.withdraw(state, pending.ticket)
        refusal = refusals.DeadlineExceeded(sent=was_sent)
        self._reply(pending, models.Refused(refusal))

    def _finish_exchange(
        self,
        ticket: admission.Ticket,
        server: str,
        ending: admission.Ending,
        group: str | None = None,
    ) -> None:
        """Frees the slot of a ticket; without a group it tries all groups."""
        for name in (group,) if group else tuple(self._admission_states):
            state = self._admission_states.get(name)
            if state is not None:
                self._execute_decisions(
                    admission_decisions.finish(
                        state, server, ticket, ending, self._sim.now
                    )
                )

    def _reply(self, pending: _Pending, answer: models.Answer) -> None:
        if pending.origin is None:
            self._answer_or_retry(pending.call, answer)
        else:
            self._sim.send(
                self._name,
                f"router.{pending.origin}",
                messages.ForwardAnswered(pending.call, answer),
            )

    # Messages from and to the keeper

    def _update_authorities(self, homes: tuple[peers.HomeServer, ...]) -> None:
        """Replaces the authorities of all groups by those of `homes`.

        Groups without a home on this VM lose their admission state.
        """
        by_group: dict[str, list[admission.Authority]] = {}
        for home in homes:
            server = self._table.servers.get(home.server)
            if server is not None:
                by_group.setdefault(server.group, []).append(
                    admission.Authority(
                        home.server,
                        home.instance,
                        home.valid_until_s,
                        {s.slice: s.token for s in home.slices},
                        home.since_s,
                        home.version,
                        home.idle_s,
                        owned_since_s={s.slice: s.since_s for s in home.slices},
                    )
                )
        now = self._sim.now
        for name in [n for n in self._admission_states if n not in by_group]:
            dropped_state = self._admission_states.pop(name)
            self._execute_decisions(
                admission_decisions.set_authorities(dropped_state, (), now)
            )
        for name, authorities in by_group.items():
            state = self._admission_states.get(name)
            if state is None:
                group = self._groups[name]
                state = admission_decisions.new_state(
                    admission.Limits(
                        name, group.slots, idempotent_group=group.idempotent
                    )
                )
                self._admission_states[name] = state
            state.request_id_homes.set_vms(
                self._vm_name,
                self._table.request_id_homes.get(name, ()),
                self._sim.wall_clock_s,
            )
            self._execute_decisions(
                admission_decisions.set_authorities(
                    state, tuple(authorities), now
                )
            )

    def _send_report(self) -> None:
        """Reports outstanding slices and request counts to the keeper."""
        self._sim.deliver_after(_REPORT_INTERVAL_S, self._name, _REPORT)
        reports = []
        for state in self._admission_states.values():
            for name, server in state.servers.items():
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
                        tuple(self._slice_counts.pop(name, {}).items()),
                        server.authority.version,
                    )
                )
        if reports:
            self._sim.deliver_after(
                0,
                f"keeper.{self._vm_name}",
                messages.RouterReportReceived(tuple(reports)),
            )


_REPORT = messages.ReportDue()


def _build_head(call: models.Call) -> ingress_models.Head:
    request = call.request
    fields = {
        headers.CALLER: request.caller.encode(),
        headers.KEY: request.key.encode(),
    }
    method = "GET"
    target = f"/{request.group}/{request.key}"
    if request.request_id:
        fields[headers.IDEMPOTENCY_KEY] = request.request_id.encode()
        method = "POST"
    if request.kills:
        target = f"/{request.group}/kill"
    elif not request.key:
        # Repeats of a request must have the same path, and so the same
        # fingerprint; different requests must not.
        work_id = request.request_id or str(call.id)
        target += xxhash.xxh3_64_hexdigest(work_id.encode())
    return ingress_models.Head(
        method,
        target.encode(),
        target,
        [],
        fields,
        call.deadline_s,
        0,
        False,
    )


def answer_for_exchange(
    message: messages.ExchangeEnded, group: str
) -> models.Answer:
    """Returns the answer to a call whose exchange with a server has ended."""
    match message.ending:
        case admission.Ending.COMPLETED:
            return models.Served()
        case admission.Ending.SHED:
            return models.Refused(refusals.Shed(message.server))
        case admission.Ending.CONNECT_FAILED | admission.Ending.NOT_SENT:
            return models.Refused(refusals.ConnectFailed(message.server))
        case admission.Ending.TIMED_OUT:
            return models.Refused(refusals.DeadlineExceeded(sent=True))
        case (
            admission.Ending.CUT
            | admission.Ending.CANCELLED
            | admission.Ending.FAILED
        ):
            return models.Refused(refusals.ExchangeCut(message.server))
        case _:
            typing.assert_never(message.ending)
