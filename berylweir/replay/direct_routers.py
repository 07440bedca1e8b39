"""Policies to compare with: no homes, each entry VM sends by itself."""

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

_QUEUE_LIMIT = 256
_RING_POINTS = 64


class Ring:
    """Consistent hashing with virtual points."""

    def __init__(self, servers: tuple[str, ...]) -> None:
        """Creates a ring of servers."""
        self._points = sorted(
            (xxhash.xxh3_64_intdigest(f"{s}#{i}".encode()), s)
            for s in servers
            for i in range(_RING_POINTS)
        )

    def owner(self, slice_index: int, usable: set[str]) -> str | None:
        """Returns the first usable server at or after the slice."""
        if not usable:
            return None
        position = xxhash.xxh3_64_intdigest(b"slice %d" % slice_index)
        first = bisect.bisect(self._points, (position, ""))
        for offset in range(len(self._points)):
            server = self._points[(first + offset) % len(self._points)][1]
            if server in usable:
                return server
        return None


@dataclasses.dataclass(slots=True)
class _Pending:
    call: models.Call
    server: str
    running: bool = False
    attempts: int = 1


@dataclasses.dataclass(slots=True)
class _Server:
    """What one VM knows of a server, with its credits if it borrows them."""

    group: str
    slots: int
    in_flight: int = 0
    queue: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque
    )
    credits: int = 0
    asked: int = 0
    recalls: int = 0


@dataclasses.dataclass(slots=True)
class _Book:
    """Credits of a server that this VM keeps for all."""

    free: int
    lent: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    recalled: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    waiting: collections.deque[str] = dataclasses.field(
        default_factory=collections.deque
    )


class DirectRouterActor:
    """Owns the queues of one entry VM."""

    def __init__(
        self,
        sim: simulation.Simulation,
        vm: schemas.Vm,
        config: messages.Config,
        policy: models.DirectPolicy,
        keepers_of_credits: dict[str, str],
    ) -> None:
        """Creates a router that takes all servers for usable.

        Args:
            sim: Virtual time and messages.
            vm: The entry VM.
            config: Configuration.
            policy: How the slots are shared among the VMs.
            keepers_of_credits: VM that keeps the credits, by server.
        """
        self._sim = sim
        self._vm = vm.name
        self._name = f"router.{vm.name}"
        self._policy = policy
        self._vm_count = len(config.vms)
        self._keeper_of = keepers_of_credits
        slots = {g.name: g.slots for g in config.groups}
        self._servers = {
            s.name: _Server(s.group, slots[s.group]) for s in config.servers
        }
        self._by_group: dict[str, list[str]] = {}
        for server in config.servers:
            self._by_group.setdefault(server.group, []).append(server.name)
        self._rings = {g: Ring(tuple(s)) for g, s in self._by_group.items()}
        self._usable = set(self._servers)
        self._tickets: dict[int, _Pending] = {}
        self._books = {
            s: _Book(self._servers[s].slots)
            for s, keeper in keepers_of_credits.items()
            if keeper == vm.name
        }
        self._hops_s: dict[int, float] = {}
        sim.register(self._name, vm.availability_zone, self.receive)

    def owner(self, group: str, slice_index: int) -> str | None:
        """Returns the server of a slice as this VM sees it."""
        usable = self._usable.intersection(self._by_group[group])
        return self._rings[group].owner(slice_index, usable)

    def receive(self, message: messages.ToDirectRouter) -> None:
        """Takes a message."""
        match message:
            case messages.RequestArrived(call=call):
                self._arrived(call)
            case messages.ExchangeEnded():
                self._answered(message)
            case messages.TicketExpired(ticket_id=ticket_id):
                self._expire(ticket_id)
            case messages.UsabilityChanged(server=server, usable=usable):
                (self._usable.add if usable else self._usable.discard)(server)
            case messages.CreditRequested(server=server, vm=vm):
                self._asked(server, vm)
            case messages.CreditGranted(server=server):
                known = self._servers[server]
                known.credits += 1
                known.asked -= 1
                self._dispatch(server)
            case messages.CreditRecalled(server=server):
                self._servers[server].recalls += 1
                self._return_recalled(server)
            case messages.CreditReturned(server=server, vm=vm):
                book = self._books[server]
                book.free += 1
                book.lent[vm] -= 1
                book.recalled[vm] -= 1
                self._lend(server)
            case _:
                typing.assert_never(message)

    def _arrived(self, call: models.Call) -> None:
        ticket_id = next(self._sim.ids)
        self._tickets[ticket_id] = _Pending(call, "")
        self._sim.deliver_after(
            call.deadline_s - self._sim.now,
            self._name,
            messages.TicketExpired(ticket_id),
        )
        self._place(ticket_id)

    def _place(self, ticket_id: int) -> None:
        pending = self._tickets[ticket_id]
        server = self._choose(pending.call)
        if server is None:
            refusal = refusals.NoServer(pending.call.request.group)
            self._conclude(ticket_id, models.Refused(refusal))
            return
        known = self._servers[server]
        if len(known.queue) >= _QUEUE_LIMIT:
            refused = refusals.Overloaded(known.group)
            self._conclude(ticket_id, models.Refused(refused))
            return
        pending.server = server
        known.queue.append(ticket_id)
        self._dispatch(server)

    def _choose(self, call: models.Call) -> str | None:
        group = call.request.group
        if call.slice is not None:
            return self.owner(group, call.slice)
        usable = [s for s in self._by_group[group] if s in self._usable]
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
        known = self._servers[server]
        match self._policy:
            case models.Baseline():
                return known.in_flight < known.slots
            case models.PerVmLimit():
                share = max(1, known.slots // self._vm_count)
                return known.in_flight < share
            case models.Credits():
                return known.in_flight < known.credits - known.recalls
            case _:
                typing.assert_never(self._policy)

    def _dispatch(self, server: str) -> None:
        known = self._servers[server]
        while known.queue and self._has_slot(server):
            ticket_id = known.queue.popleft()
            pending = self._tickets.get(ticket_id)
            if pending is None:
                continue
            pending.running = True
            known.in_flight += 1
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
            case models.Credits():
                self._ask_credits(server)
            case models.Baseline() | models.PerVmLimit():
                pass
            case _:
                typing.assert_never(self._policy)

    def _answered(self, message: messages.ExchangeEnded) -> None:
        pending = self._tickets.get(message.ticket_id)
        if pending is None or pending.server != message.server:
            return
        self._free(pending)
        match message.ending:
            case admission.Ending.CONNECT_FAILED:
                retry = True
            case admission.Ending.CUT:
                retry = pending.call.is_idempotent
            case _:
                retry = False
        if retry and pending.attempts < 2:
            pending.attempts += 1
            self._place(message.ticket_id)
        else:
            answer = routers.answer_of(message, pending.call.request.group)
            self._conclude(message.ticket_id, answer)

    def _free(self, pending: _Pending) -> None:
        pending.running = False
        self._servers[pending.server].in_flight -= 1
        self._return_recalled(pending.server)
        self._dispatch(pending.server)

    def _expire(self, ticket_id: int) -> None:
        pending = self._tickets.get(ticket_id)
        if pending is None:
            return
        sent = pending.running
        refusal = refusals.DeadlineExceeded(sent=sent)
        self._conclude(ticket_id, models.Refused(refusal))
        if sent:
            self._sim.send(
                self._name, pending.server, messages.CancelRequest(ticket_id)
            )
            self._free(pending)

    def _conclude(self, ticket_id: int, answer: models.Answer) -> None:
        pending = self._tickets.pop(ticket_id)
        hop_s = self._hops_s.pop(ticket_id, 0.0)
        self._sim.record_outcome(pending.call, answer, hop_s)

    # Credits

    def _ask_credits(self, server: str) -> None:
        known = self._servers[server]
        keeper = f"router.{self._keeper_of[server]}"
        waiting = [t for t in known.queue if t in self._tickets]
        for ticket_id in waiting[known.asked :]:
            known.asked += 1
            self._hops_s[ticket_id] = 2 * self._sim.delay_s(self._name, keeper)
            self._sim.send(
                self._name, keeper, messages.CreditRequested(server, self._vm)
            )

    def _return_recalled(self, server: str) -> None:
        known = self._servers[server]
        while known.recalls and known.in_flight < known.credits:
            known.recalls -= 1
            known.credits -= 1
            self._sim.send(
                self._name,
                f"router.{self._keeper_of[server]}",
                messages.CreditReturned(server, self._vm),
            )

    def _asked(self, server: str, vm: str) -> None:
        self._books[server].waiting.append(vm)
        self._lend(server)

    def _lend(self, server: str) -> None:
        book = self._books[server]
        while book.waiting and book.free:
            vm = book.waiting.popleft()
            book.free -= 1
            book.lent[vm] += 1
            self._sim.send(
                self._name, f"router.{vm}", messages.CreditGranted(server)
            )
        for _ in range(len(book.waiting) - book.recalled.total()):
            holder = max(
                book.lent, key=lambda v: book.lent[v] - book.recalled[v]
            )
            if book.lent[holder] <= book.recalled[holder]:
                return
            book.recalled[holder] += 1
            self._sim.send(
                self._name, f"router.{holder}", messages.CreditRecalled(server)
            )
