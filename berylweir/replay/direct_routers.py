"""Simulated routers of the comparison policies, which have no homes.

Each entry VM sends its requests to the servers directly.
"""

import bisect
import collections
import dataclasses
import typing

import xxhash

from berylweir.objects import schemas
from berylweir.refusals import models as refusals
from berylweir.replay import messages
from berylweir.replay import models
from berylweir.replay import routers
from berylweir.replay import simulation
from berylweir.router.admission import models as admission

# Requests that may wait for one server at an entry VM.
_QUEUE_LIMIT = 256
_VIRTUAL_NODES = 64


class HashRing:
    """Consistent hashing with virtual nodes."""

    def __init__(self, servers: tuple[str, ...]) -> None:
        """Creates a ring with `_VIRTUAL_NODES` positions per server."""
        self._virtual_nodes = sorted(
            (xxhash.xxh3_64_intdigest(f"{s}#{i}".encode()), s)
            for s in servers
            for i in range(_VIRTUAL_NODES)
        )

    def owner(self, slice_index: int, usable: set[str]) -> str | None:
        """Returns the next usable server on the ring, or None without one."""
        if not usable:
            return None
        position = xxhash.xxh3_64_intdigest(b"slice %d" % slice_index)
        first = bisect.bisect(self._virtual_nodes, (position, ""))
        for offset in range(len(self._virtual_nodes)):
            server = self._virtual_nodes[
                (first + offset) % len(self._virtual_nodes)
            ][1]
            if server in usable:
                return server
        return None


@dataclasses.dataclass(slots=True)
class _Pending:
    """A call that has not been answered.

    Attributes:
        call: The call.
        server: Server that it waits for or runs on; empty before the choice.
        is_running: Whether it has been sent to the server.
        attempts: Number of attempts, at most two.
    """

    call: models.Call
    server: str
    is_running: bool = False
    attempts: int = 1


@dataclasses.dataclass(slots=True)
class _ServerState:
    """State of a server at one entry VM.

    Attributes:
        group: Name of the server group.
        slots: Requests that the server may execute at a time.
        in_flight: Requests that this VM has sent and not seen end.
        queue: Tickets that wait for a slot. Expired ones are skipped when
            they reach its head.
        credits: Credits that this VM holds, in use or not.
        requested_credits: Credits requested and not yet granted.
        recalled_credits: Credits to return as soon as they are unused.
    """

    group: str
    slots: int
    in_flight: int = 0
    queue: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    credits: int = 0
    requested_credits: int = 0
    recalled_credits: int = 0


@dataclasses.dataclass(slots=True)
class _CreditPool:
    """Credits of a server, at the VM that manages them.

    Attributes:
        available: Credits that no VM holds.
        held_by_vm: Credits that each VM holds.
        recalled: Credits that each VM has been asked to return.
        waiting: VMs whose requests have not been granted, in order.
    """

    available: int
    held_by_vm: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    recalled: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    waiting: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )


class DirectRouterActor:
    """Owns the queues and the credits of one entry VM."""

    def __init__(
        self,
        sim: simulation.Simulation,
        vm: schemas.Vm,
        config: messages.Config,
        policy: models.DirectPolicy,
        credit_vms: dict[str, str],
    ) -> None:
        """Creates a router that considers all servers usable.

        Args:
            sim: Simulation that delivers its messages.
            vm: The entry VM.
            config: Configuration, which does not change.
            policy: How the VMs share the slots of a server.
            credit_vms: VM that manages the credits, by server.
        """
        self._sim = sim
        self._vm = vm.name
        self._name = f"router.{vm.name}"
        self._policy = policy
        self._vm_count = len(config.vms)
        self._credit_vms = credit_vms
        slots = {g.name: g.slots for g in config.groups}
        self._servers = {
            s.name: _ServerState(s.group, slots[s.group])
            for s in config.servers
        }
        self._servers_by_group: dict[str, list[str]] = {}
        for server in config.servers:
            self._servers_by_group.setdefault(server.group, []).append(
                server.name
            )
        self._rings = {
            g: HashRing(tuple(s)) for g, s in self._servers_by_group.items()
        }
        self._usable_servers = set(self._servers)
        self._pending_tickets: dict[int, _Pending] = {}
        self._credit_pools = {
            s: _CreditPool(self._servers[s].slots)
            for s, credit_vm in credit_vms.items()
            if credit_vm == vm.name
        }
        # Network delay of the credit request, by ticket id.
        self._hop_delays_s: dict[int, float] = {}
        sim.register(self._name, vm.availability_zone, self.receive)

    def owner(self, group: str, slice_index: int) -> str | None:
        """Returns the server to which this VM sends requests for a slice."""
        usable = self._usable_servers.intersection(
            self._servers_by_group[group]
        )
        return self._rings[group].owner(slice_index, usable)

    def receive(self, message: messages.ToDirectRouter) -> None:
        """Handles a message."""
        match message:
            case messages.RequestArrived(call=call):
                self._accept(call)
            case messages.ExchangeEnded():
                self._handle_exchange_end(message)
            case messages.TicketExpired(ticket_id=ticket_id):
                self._expire_ticket(ticket_id)
            case messages.UsabilityChanged(server=server, is_usable=is_usable):
                (
                    self._usable_servers.add
                    if is_usable
                    else self._usable_servers.discard
                )(server)
            case messages.CreditRequested(server=server, vm=vm):
                self._queue_credit_request(server, vm)
            case messages.CreditGranted(server=server):
                server_state = self._servers[server]
                server_state.credits += 1
                server_state.requested_credits -= 1
                self._dispatch(server)
            case messages.CreditRecalled(server=server):
                self._servers[server].recalled_credits += 1
                self._return_recalled_credits(server)
            case messages.CreditReturned(server=server, vm=vm):
                pool = self._credit_pools[server]
                pool.available += 1
                pool.held_by_vm[vm] -= 1
                pool.recalled[vm] -= 1
                self._grant_credits(server)
            case _:
                typing.assert_never(message)

    def _accept(self, call: models.Call) -> None:
        ticket_id = next(self._sim.ids)
        self._pending_tickets[ticket_id] = _Pending(call, "")
        self._sim.deliver_after(
            call.deadline_s - self._sim.now,
            self._name,
            messages.TicketExpired(ticket_id),
        )
        self._enqueue(ticket_id)

    def _enqueue(self, ticket_id: int) -> None:
        """Queues a ticket at a chosen server, or refuses it."""
        pending = self._pending_tickets[ticket_id]
        server = self._choose_server(pending.call)
        if server is None:
            refusal = refusals.NoServer(pending.call.request.group)
            self._conclude(ticket_id, models.Refused(refusal))
            return
        server_state = self._servers[server]
        if len(server_state.queue) >= _QUEUE_LIMIT:
            overloaded = refusals.Overloaded(server_state.group)
            self._conclude(ticket_id, models.Refused(overloaded))
            return
        pending.server = server
        server_state.queue.append(ticket_id)
        self._dispatch(server)

    def _choose_server(self, call: models.Call) -> str | None:
        """Returns the owner of the slice, or the least loaded usable server.

        Equally loaded servers are chosen at random.
        """
        group = call.request.group
        if call.slice is not None:
            return self.owner(group, call.slice)
        usable = [
            s
            for s in self._servers_by_group[group]
            if s in self._usable_servers
        ]
        if not usable:
            return None
        return min(
            usable,
            key=lambda s: (
                self._servers[s].in_flight + len(self._servers[s].queue),
                self._sim.rng.random(),
            ),
        )

    def _has_slot(self, server: str) -> bool:
        """Returns whether the policy allows another request in flight."""
        server_state = self._servers[server]
        match self._policy:
            case models.Baseline():
                return server_state.in_flight < server_state.slots
            case models.PerVmLimit():
                share = max(1, server_state.slots // self._vm_count)
                return server_state.in_flight < share
            case models.SlotCredits():
                return (
                    server_state.in_flight
                    < server_state.credits - server_state.recalled_credits
                )
            case _:
                typing.assert_never(self._policy)

    def _dispatch(self, server: str) -> None:
        """Sends queued requests to a server while the policy allows it."""
        server_state = self._servers[server]
        while server_state.queue and self._has_slot(server):
            ticket_id = server_state.queue.popleft()
            pending = self._pending_tickets.get(ticket_id)
            if pending is None:
                continue
            pending.is_running = True
            server_state.in_flight += 1
            self._sim.send_or_fail(
                self._name,
                server,
                messages.ExecuteRequest(
                    ticket_id, pending.call, None, self._name
                ),
                messages.ExchangeEnded(
                    ticket_id, server, admission.Ending.CONNECT_FAILED
                ),
            )
        match self._policy:
            case models.SlotCredits():
                self._request_credits(server)
            case models.Baseline() | models.PerVmLimit():
                pass
            case _:
                typing.assert_never(self._policy)

    def _handle_exchange_end(self, message: messages.ExchangeEnded) -> None:
        """Answers the caller, or retries the call once if that is safe."""
        pending = self._pending_tickets.get(message.ticket_id)
        if pending is None or pending.server != message.server:
            return
        self._release_slot(pending)
        match message.ending:
            case admission.Ending.CONNECT_FAILED:
                may_retry = True
            case admission.Ending.CUT:
                may_retry = pending.call.is_idempotent
            case _:
                may_retry = False
        if may_retry and pending.attempts < 2:
            pending.attempts += 1
            self._enqueue(message.ticket_id)
        else:
            answer = routers.answer_for_exchange(
                message, pending.call.request.group
            )
            self._conclude(message.ticket_id, answer)

    def _release_slot(self, pending: _Pending) -> None:
        pending.is_running = False
        self._servers[pending.server].in_flight -= 1
        self._return_recalled_credits(pending.server)
        self._dispatch(pending.server)

    def _expire_ticket(self, ticket_id: int) -> None:
        pending = self._pending_tickets.get(ticket_id)
        if pending is None:
            return
        was_sent = pending.is_running
        refusal = refusals.DeadlineExceeded(sent=was_sent)
        self._conclude(ticket_id, models.Refused(refusal))
        if was_sent:
            self._sim.send(
                self._name, pending.server, messages.CancelRequest(ticket_id)
            )
            self._release_slot(pending)

    def _conclude(self, ticket_id: int, answer: models.Answer) -> None:
        """Removes a ticket and answers its caller."""
        pending = self._pending_tickets.pop(ticket_id)
        hop_delay_s = self._hop_delays_s.pop(ticket_id, 0.0)
        self._sim.record_outcome(pending.call, answer, hop_delay_s)

    # Credits

    def _request_credits(self, server: str) -> None:
        """Requests a credit for each queued ticket without a request."""
        server_state = self._servers[server]
        credit_vm = f"router.{self._credit_vms[server]}"
        waiting = [t for t in server_state.queue if t in self._pending_tickets]
        for ticket_id in waiting[server_state.requested_credits :]:
            server_state.requested_credits += 1
            self._hop_delays_s[ticket_id] = 2 * self._sim.delay_s(
                self._name, credit_vm
            )
            self._sim.send(
                self._name,
                credit_vm,
                messages.CreditRequested(server, self._vm),
            )

    def _return_recalled_credits(self, server: str) -> None:
        """Returns as many recalled credits as are not in use."""
        server_state = self._servers[server]
        while (
            server_state.recalled_credits
            and server_state.in_flight < server_state.credits
        ):
            server_state.recalled_credits -= 1
            server_state.credits -= 1
            self._sim.send(
                self._name,
                f"router.{self._credit_vms[server]}",
                messages.CreditReturned(server, self._vm),
            )

    def _queue_credit_request(self, server: str, vm: str) -> None:
        self._credit_pools[server].waiting.append(vm)
        self._grant_credits(server)

    def _grant_credits(self, server: str) -> None:
        """Grants available credits to waiting VMs, and recalls the rest.

        A credit is recalled from the VM that holds most, for each waiting
        request that no earlier recall covers.
        """
        pool = self._credit_pools[server]
        while pool.waiting and pool.available:
            vm = pool.waiting.popleft()
            pool.available -= 1
            pool.held_by_vm[vm] += 1
            self._sim.send(
                self._name, f"router.{vm}", messages.CreditGranted(server)
            )
        for _ in range(len(pool.waiting) - pool.recalled.total()):
            credit_holder = max(
                pool.held_by_vm,
                key=lambda v: pool.held_by_vm[v] - pool.recalled[v],
            )
            if pool.held_by_vm[credit_holder] <= pool.recalled[credit_holder]:
                return
            pool.recalled[credit_holder] += 1
            self._sim.send(
                self._name,
                f"router.{credit_holder}",
                messages.CreditRecalled(server),
            )
