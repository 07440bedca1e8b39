"""Discrete event simulation of keepers, routers and backend servers.

The keepers run the real `AuthorityTask` and `HomesTask` on virtual time. Only
their mailboxes are replaced, so that every message can be lost, duplicated,
delayed or reordered. All random values come from the seed.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

import msgspec
import result

from berylweir.keeper import messages
from berylweir.keeper.authority import decisions
from berylweir.keeper.authority import models
from berylweir.keeper.authority import task
from berylweir.keeper.configuration import store
from berylweir.keeper.grants import homes
from berylweir.objects import exceptions
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.peers import messages as peers
from berylweir.peers import task as peer_task
from berylweir.standin import backend
from berylweir.standin import faults
from berylweir.standin import platform

PARTITION = "stock.0"
ZONES = ("a", "b", "c")
TICK_S = 0.05
_KINDS = frozenset(store.WATCHED_KINDS)


class InvariantError(AssertionError):
    """An invariant of the protocol is violated."""


class Outbox:
    """Collects the messages that a task sends, instead of a mailbox."""

    def __init__(self):
        self.messages = []

    def offer(self, message):
        """Adds a message, like `Mailbox.offer`."""
        self.messages.append(message)
        return result.Ok(None)

    def put(self, _key, message):
        """Adds a message, like `LatestMailbox.put`, but replaces none."""
        self.messages.append(message)

    def take_all(self):
        """Removes and returns all messages."""
        queued_messages, self.messages = self.messages, []
        return queued_messages


@dataclasses.dataclass
class Network:
    """Faults of the network: probabilities for each message."""

    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    delay_probability: float = 0.0
    max_extra_delay_s: float = 2.0


@dataclasses.dataclass
class Node:
    """One entry VM, with its keeper and the state of its router.

    Attributes:
        clock_rate: Seconds of its clock for each second of virtual time.
        outgoing: Messages for other keepers that haven't been sent yet.
        pause_before_sending: Whether it pauses after its next step.
        undelivered_messages: Messages that arrived during a pause.
        watch_revision: Platform revision that it has read up to.
        last_version: Partition version after its last step.
        home_servers: Backend servers that its router may send to, by name.
        outstanding_requests: Server and slice of each request without a
            response, by request id.
    """

    name: str
    zone: str
    incarnation: schemas.Incarnation
    clock_rate: float
    task: task.AuthorityTask
    homes_task: homes.HomesTask
    outboxes: task.Outboxes
    server_requests: Outbox
    outgoing: list = dataclasses.field(default_factory=list)
    alive: bool = True
    paused: bool = False
    pause_before_sending: bool = False
    undelivered_messages: list = dataclasses.field(default_factory=list)
    watch_revision: int = 0
    last_version: int = 0
    home_servers: dict[str, peers.HomeServer] = dataclasses.field(
        default_factory=dict
    )
    outstanding_requests: dict[int, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass
class Server:
    """One backend server, with the deliveries that wait while it is frozen."""

    name: str
    state: backend.BackendState
    alive: bool = True
    frozen: bool = False
    queued_deliveries: list = dataclasses.field(default_factory=list)


class Clock:
    """Monotonic clock that runs at its own rate."""

    def __init__(self, simulation: "Simulation", start_s: float, rate: float):
        self._simulation = simulation
        self._start_s = start_s
        self._rate = rate
        self._rate_since_s = simulation.now

    def __call__(self) -> float:
        """Returns the time of the clock, in seconds."""
        return (
            self._start_s
            + (self._simulation.now - self._rate_since_s) * self._rate
        )

    def set_rate(self, rate: float) -> None:
        """Changes the rate from now on, without a jump."""
        self._start_s, self._rate_since_s = self(), self._simulation.now
        self._rate = rate


class Simulation:
    """A deployment on virtual time that checks the invariants at each step.

    Raises `InvariantError` if two servers hold a grant or run requests for one
    slice, if two keepers act as holder, or if a version or a token decreases.
    """

    def __init__(
        self,
        seed: int = 0,
        *,
        vms: int = 4,
        servers: int = 3,
        slices: int = 6,
        checks_grants: bool = True,
        safety: models.SafetyRules = models.SafetyRules(),  # noqa: B008
        timings: models.Timings = models.Timings(),  # noqa: B008
        rates: tuple[float, ...] = (),
        server_rates: tuple[float, ...] = (),
        requests: bool = False,
        backend_state: type[backend.BackendState] = backend.BackendState,
    ):
        self.random = random.Random(seed)
        self.now = 0.0
        self.network = Network()
        self.cut_links: set[tuple[str, str]] = set()
        self.extra_delays_s: dict[tuple[str, str], float] = {}
        self.platform = platform.PlatformState()
        self.platform_delay_s = 0.0
        self.platform_max_extra_delay_s = 0.0
        self.nodes: dict[str, Node] = {}
        self.replaced_nodes: list[Node] = []
        self.servers: dict[str, Server] = {}
        self.safety = safety
        self.checks_grants = checks_grants
        self._timings = timings
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()
        self._highest_tokens: dict[tuple[str, str, int], int] = {}
        self._last_execution: dict[int, tuple[int, str]] = {}
        self._running_requests: dict[int, dict[int, str]] = {}
        self._request_ids = itertools.count(1)
        self._completions_after_heal: list[Callable[[], None]] = []
        self.executed_requests = 0
        self._sends_requests = requests
        self._write_object(
            schemas.ServerGroup(
                "stock",
                schemas.Keyed(slices=slices, checks_grants=checks_grants),
            )
        )
        for index in range(servers):
            name = f"s-{index}"
            rate = server_rates[index] if server_rates else self._random_rate()
            self.servers[name] = Server(
                name,
                backend_state(
                    backend.BackendConfig(name, checks_grants=checks_grants),
                    self._new_clock(rate),
                ),
            )
            zone = ZONES[index % len(ZONES)]
            self._write_object(
                schemas.BackendServer(
                    name, "stock", zone, "127.0.0.1", index + 1
                )
            )
        for zone in ZONES:
            self._write_object(schemas.AvailabilityZone(zone))
        for index in range(vms):
            zone = ZONES[index % len(ZONES)]
            self._write_object(
                schemas.Vm(f"vm-{index}", zone, "127.0.0.1", 9000, index + 7000)
            )
        for index in range(vms):
            self.start(
                f"vm-{index}", rates[index] if rates else self._random_rate()
            )

    # Processes

    def start(self, name: str, rate: float | None = None) -> Node:
        """Starts a keeper as a new incarnation."""
        index = int(name.removeprefix("vm-"))
        incarnation = schemas.Incarnation(
            name, f"{next(self._sequence_numbers):x}"
        )
        outboxes = task.Outboxes(Outbox(), Outbox(), Outbox(), Outbox())
        server_requests = Outbox()
        rate = self._random_rate() if rate is None else rate
        clock = self._new_clock(rate)
        keeper = task.AuthorityTask(
            task.Identity(incarnation, ZONES[index % len(ZONES)]),
            self._timings,
            Outbox(),
            outboxes,
            counters.Counters(),
            clock,
            self.safety,
        )
        homes_task = homes.HomesTask(
            name,
            self._timings,
            Outbox(),
            outboxes.partition_changes,
            homes.Outboxes(outboxes.keepers, server_requests, outboxes.router),
            counters.Counters(),
            clock,
            self.safety,
        )
        node = Node(
            name,
            ZONES[index % len(ZONES)],
            incarnation,
            rate,
            keeper,
            homes_task,
            outboxes,
            server_requests,
        )
        self.nodes[name] = node
        self.schedule(0.0, lambda: self._poll_platform(node))
        self.schedule(self.random.uniform(0, TICK_S), lambda: self._tick(node))
        self.schedule(0.1, lambda: self._report(node))
        if self._sends_requests:
            self.schedule(0.1, lambda: self._send_random_requests(node))
        return node

    def kill(self, name: str) -> None:
        """Stops all processes of an entry VM for good."""
        self.nodes[name].alive = False

    def start_replacement(self, name: str) -> None:
        """Starts a new incarnation while the old one goes on."""
        self.replaced_nodes.append(self.nodes[name])
        self.start(name)

    def pause(self, name: str, *, before_sending: bool = False) -> None:
        """Pauses a keeper now, or after its next step, before it sends."""
        node = self.nodes[name]
        if before_sending:
            node.pause_before_sending = True
        else:
            node.paused = True

    def resume(self, name: str) -> None:
        """Resumes a keeper, which first sends the messages of its last step."""
        self.resume_node(self.nodes[name])

    def resume_node(self, node: Node) -> None:
        """Resumes a keeper that another incarnation may have replaced."""
        node.pause_before_sending = False
        if not node.paused:
            return
        node.paused = False
        self._send_outgoing(node)
        undelivered_messages, node.undelivered_messages = (
            node.undelivered_messages,
            [],
        )
        for message in undelivered_messages:
            self._deliver(node, message)

    def leave(self, name: str) -> None:
        """Shuts a keeper down in order: it resigns first."""
        node = self.nodes[name]
        if node.alive and not node.paused:
            node.task.resign()
            self._send_outgoing(node)
            node.alive = False

    def freeze(self, name: str) -> None:
        """Stops a backend server without closing its connections."""
        self.servers[name].frozen = True

    def thaw(self, name: str) -> None:
        """Resumes a frozen backend server, which reads what has arrived."""
        server = self.servers[name]
        server.frozen = False
        queued_deliveries, server.queued_deliveries = (
            server.queued_deliveries,
            [],
        )
        for action in queued_deliveries:
            action()

    def restart_server(self, name: str) -> None:
        """Restarts a backend server as a new server instance."""
        server = self.servers[name]
        server.alive, server.frozen, server.queued_deliveries = True, False, []
        for server_by_request in self._running_requests.values():
            for request_id, server_name in tuple(server_by_request.items()):
                if server_name == name:
                    del server_by_request[request_id]
        server.state.restart()
        for node in (*self.nodes.values(), *self.replaced_nodes):
            node.outstanding_requests = {
                r: o
                for r, o in node.outstanding_requests.items()
                if o[0] != name
            }

    def kill_server(self, name: str) -> None:
        """Stops a backend server for good."""
        self.restart_server(name)
        self.servers[name].alive = False

    def heal(self, *, servers: bool = True) -> None:
        """Ends all faults; lost backend servers stay lost."""
        self.network = Network()
        self.cut_links.clear()
        for complete in self._completions_after_heal:
            complete()
        self._completions_after_heal.clear()
        for node in self.replaced_nodes:
            node.alive = False
        self.platform.faults = faults.PlatformFaults()
        self.platform_delay_s = self.platform_max_extra_delay_s = 0.0
        for name, node in tuple(self.nodes.items()):
            if node.alive:
                self.resume(name)
            else:
                self.start(name)
        for name, server in self.servers.items():
            if servers and server.alive:
                self.thaw(name)

    # Time

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action after a delay of virtual time."""
        heapq.heappush(
            self._queue,
            (self.now + delay_s, next(self._sequence_numbers), action),
        )

    def run(self, duration_s: float) -> None:
        """Advances virtual time and runs the actions that are due."""
        end_s = self.now + duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        self.now = end_s

    def run_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> float:
        """Advances time until a condition holds; returns the time it took.

        Raises:
            InvariantError: The condition doesn't hold after `timeout_s`.
        """
        started_s = self.now
        while not condition():
            if self.now - started_s > timeout_s:
                raise InvariantError(
                    f"no progress in {timeout_s} s: {self.partition()}"
                )
            self.run(TICK_S)
        return self.now - started_s

    def _new_clock(self, rate: float) -> "Clock":
        return Clock(self, self.random.uniform(0, 1000), rate)

    def set_rate(self, name: str, rate: float) -> None:
        """Changes the rate of a VM's clock from now on."""
        self.nodes[name].task.clock.set_rate(rate)

    def _random_rate(self) -> float:
        return self.random.choice((0.98, 1.0, 1.02))

    # State of the deployment

    def partition(self) -> schemas.Partition | None:
        """Returns the partition object of the platform, or None."""
        stored = self.platform.get(schemas.Partition.KIND, PARTITION)
        if stored is None:
            return None
        return msgspec.json.decode(stored.value, type=schemas.Partition)

    def is_served(self) -> bool:
        """Returns whether a live server has a live grant for each slice."""
        partition = self.partition()
        if partition is None:
            return False
        for index, state in enumerate(partition.slices):
            match state:
                case schemas.Owned(server=name):
                    server = self.servers[name]
                    if not server.alive or server.frozen:
                        return False
                    if not self._may_serve(name, index):
                        return False
                case _:
                    return False
        return True

    def waits_for_operator(self) -> bool:
        """Returns whether slices can't move until an operator acts.

        That is so for an unresolved pair that is lost, and for a lost backend
        server without grant checks, since its home may be lost too.
        """
        partition = self.partition()
        if partition is None:
            return False
        running = {n.incarnation for n in self.nodes.values() if n.alive}
        if set(partition.unresolved) - running:
            return True
        return not self.checks_grants and any(
            isinstance(s, schemas.Moving) and not self.servers[s.source].alive
            for s in partition.slices
        )

    def _may_serve(self, name: str, index: int) -> bool:
        if self.checks_grants:
            return index in self.servers[name].state.owned_slices()
        return any(
            name in node.home_servers
            and self._node_time_s(node) < node.home_servers[name].valid_until_s
            and index in {s.slice for s in node.home_servers[name].slices}
            for node in self.nodes.values()
            if node.alive
        )

    def holder_vm(self) -> str:
        """Returns the VM name of the holder."""
        partition = self.partition()
        assert partition is not None
        return partition.holder.vm

    def standby_vm(self) -> str:
        """Returns the VM name of the standby."""
        partition = self.partition()
        assert partition is not None
        assert partition.standby is not None
        return partition.standby.vm

    def _node_time_s(self, node: Node) -> float:
        return node.task.clock()

    # Network

    def cut(
        self, source: str, destination: str, *, one_way: bool = False
    ) -> None:
        """Cuts the link between two processes, in one direction or both."""
        self.cut_links.add((source, destination))
        if not one_way:
            self.cut_links.add((destination, source))

    def isolate(self, name: str, *, but: frozenset[str] = frozenset()) -> None:
        """Cuts all links of an entry VM except those in `but`."""
        for other in (*self.nodes, *self.servers, "platform"):
            if other != name and other not in but:
                self.cut(name, other)

    def _transmit(
        self, source: str, destination: str, action: Callable[[], None]
    ) -> None:
        network = self.network
        if (source, destination) in self.cut_links:
            return
        if self.random.random() < network.loss_probability:
            return
        copies = (
            2 if self.random.random() < network.duplicate_probability else 1
        )
        for _ in range(copies):
            delay_s = self.random.uniform(0.0005, 0.005)
            delay_s += self.extra_delays_s.get((source, destination), 0.0)
            if self.random.random() < network.delay_probability:
                delay_s += self.random.uniform(0, network.max_extra_delay_s)
            self.schedule(delay_s, action)

    def _deliver(self, node: Node, message: messages.AuthorityMessage) -> None:
        """Handles a message now, or after the pause of a paused node."""
        if not node.alive:
            return
        if node.paused:
            node.undelivered_messages.append(message)
            return
        self._dispatch(node, message)
        self._finish_step(node)
        if isinstance(message, messages.UpdateFinished):
            self._check_holders()

    def _tick(self, node: Node) -> None:
        if not node.alive:
            return
        self.schedule(TICK_S / node.clock_rate, lambda: self._tick(node))
        if node.paused:
            return
        node.task.tick()
        node.homes_task.tick()
        self._finish_step(node)
        self._check_holders()

    def _dispatch(self, node: Node, message) -> None:
        """Passes a message to the task that handles it."""
        match message:
            case messages.PeerMessageReceived(
                received=peer_task.ReceivedMessage(
                    message=peers.Delegation() | peers.Suspects()
                )
            ):
                node.homes_task.handle(message)
            case (
                messages.RouterReported()
                | messages.ServerResponded()
                | messages.ServerUnreachable()
            ):
                node.homes_task.handle(message)
            case _:
                node.task.handle(message)

    def _exchange_local_messages(self, node: Node) -> None:
        """Delivers all messages between the two tasks of a keeper."""
        while True:
            partition_changes = list(node.outboxes.partition_changes.take_all())
            peer_messages = list(node.outboxes.keepers.take_all())
            for change in partition_changes:
                node.homes_task.handle_partition(change)
            for outgoing in peer_messages:
                match outgoing:
                    case peer_task.ToVm(vm=vm, message=message) if (
                        vm == node.name
                    ):
                        self._dispatch(
                            node,
                            messages.PeerMessageReceived(
                                peer_task.ReceivedMessage(
                                    node.incarnation, node.zone, message
                                )
                            ),
                        )
                    case peer_task.KeeperAddresses():
                        pass
                    case _:
                        node.outgoing.append(outgoing)
            if not partition_changes and not peer_messages:
                return

    def _finish_step(self, node: Node) -> None:
        """Checks the partition version after a step, then sends or pauses."""
        self._exchange_local_messages(node)
        state = node.task.states.get(PARTITION)
        if state is not None:
            if state.version < node.last_version:
                raise InvariantError(
                    f"{node.name} went from version {node.last_version} "
                    f"back to {state.version}"
                )
            node.last_version = state.version
        if node.pause_before_sending:
            node.pause_before_sending, node.paused = False, True
            return
        self._send_outgoing(node)

    def _send_outgoing(self, node: Node) -> None:
        """Sends the queued messages, updates and server requests of a node."""
        self._exchange_local_messages(node)
        outgoing_messages, node.outgoing = node.outgoing, []
        for outgoing in outgoing_messages:
            match outgoing:
                case peer_task.ToVm(vm=vm):
                    targets = [vm]
                case _:
                    targets = [n for n in self.nodes if n != node.name]
            received = messages.PeerMessageReceived(
                peer_task.ReceivedMessage(
                    node.incarnation, node.zone, outgoing.message
                )
            )
            for target in targets:
                self._transmit(
                    node.name,
                    target,
                    lambda t=target, r=received: self._deliver(
                        self.nodes[t], r
                    ),
                )
        for partition_update in node.outboxes.partition_updates.take_all():
            self._send_update(node, partition_update)
        for server_request in node.server_requests.take_all():
            self._send_server_request(node, server_request)
        for update in node.outboxes.router.take_all():
            match update:
                case peers.HomesUpdate(homes=homes):
                    node.home_servers = {h.server: h for h in homes}
                case _:
                    pass

    # Backend servers

    def _send_server_request(
        self, node: Node, server_request: messages.ServerRequest
    ) -> None:
        """Sends a grant or a probe; ignores responses after 0.3 s."""
        server = self.servers[server_request.server]
        sent_s = self.now
        node_sent_s = self._node_time_s(node)
        has_responded = False

        def handle_arrival() -> None:
            if not server.alive:
                return
            if server.frozen:
                server.queued_deliveries.append(handle_arrival)
                return
            status = self._apply_grant(server, server_request)

            def handle_response() -> None:
                nonlocal has_responded
                if has_responded or self.now - sent_s > 0.3:
                    return
                has_responded = True
                self._deliver(
                    node,
                    messages.ServerResponded(
                        server.name,
                        server_request.request,
                        status,
                        node_sent_s,
                        self._node_time_s(node),
                    ),
                )

            self._transmit(server.name, node.name, handle_response)

        self._transmit(node.name, server.name, handle_arrival)

    def _apply_grant(
        self, server: Server, server_request: messages.ServerRequest
    ):
        grant_request = server_request.request
        if grant_request is None:
            return server.state.status()
        status = server.state.grant(grant_request)
        if grant_request.instance == server.state.instance:
            for slice_grant in grant_request.slices:
                if slice_grant.slice in status.refused:
                    continue
                grant_key = (
                    server.name,
                    grant_request.instance,
                    slice_grant.slice,
                )
                if slice_grant.token < self._highest_tokens.get(grant_key, 0):
                    raise InvariantError(
                        f"token of {grant_key} fell to {slice_grant.token} "
                        f"from {self._highest_tokens[grant_key]}"
                    )
                self._highest_tokens[grant_key] = slice_grant.token
        self._check_grants()
        return status

    def _check_grants(self) -> None:
        """Checks that at most one server holds a grant for each slice."""
        if not self.checks_grants:
            return
        owners: dict[int, str] = {}
        for name, server in self.servers.items():
            if not server.alive:
                continue
            for index in server.state.owned_slices():
                if index in owners:
                    raise InvariantError(
                        f"{owners[index]} and {name} both hold a grant for "
                        f"slice {index} at {self.now:.3f}"
                    )
                owners[index] = name

    # Requests

    def _send_random_requests(self, node: Node) -> None:
        """Sends requests of random served slices every 30 ms."""
        if not node.alive:
            return
        self.schedule(0.03, lambda: self._send_random_requests(node))
        for home in node.home_servers.values():
            for served_slice in home.slices:
                if self.random.random() < 0.2:
                    self.send_request(node, home, served_slice)

    def send_request(
        self,
        node: Node,
        home: peers.HomeServer,
        served_slice: peers.ServedSlice,
    ) -> None:
        """Sends a request to a backend server if the home has authority."""
        if (
            self._node_time_s(node) >= home.valid_until_s
            and self.safety.check_authority_before_use
        ):
            return
        server = self.servers[home.server]
        request_id = next(self._request_ids)
        node.outstanding_requests[request_id] = (
            server.name,
            served_slice.slice,
        )

        def complete() -> None:
            node.outstanding_requests.pop(request_id, None)

        def handle_arrival() -> None:
            if not server.alive:
                complete()
            if request_id not in node.outstanding_requests:
                return
            if server.frozen:
                server.queued_deliveries.append(handle_arrival)
                return
            if self.checks_grants and not server.state.holds_grant(
                served_slice.slice, served_slice.token
            ):
                self.schedule(0.001, complete)
                return
            self._execute(server, request_id, served_slice, complete)

        if (node.name, server.name) in self.cut_links:
            # The router learns that the request is lost only when the link is
            # restored and the connection breaks.
            self._completions_after_heal.append(complete)
            return
        self.schedule(self.random.uniform(0.0005, 0.002), handle_arrival)

    def _execute(
        self,
        server: Server,
        request_id: int,
        served_slice: peers.ServedSlice,
        complete: Callable[[], None],
    ) -> None:
        self.executed_requests += 1
        server_by_request = self._running_requests.setdefault(
            served_slice.slice, {}
        )
        other_servers = set(server_by_request.values()) - {server.name}
        if other_servers:
            raise InvariantError(
                f"{server.name} and {other_servers} run requests of slice "
                f"{served_slice.slice} at {self.now:.3f}"
            )
        last_token, last_server = self._last_execution.get(
            served_slice.slice, (0, server.name)
        )
        if served_slice.token < last_token and last_server != server.name:
            raise InvariantError(
                f"{server.name} ran slice {served_slice.slice} under token "
                f"{served_slice.token} after {last_server} under {last_token}"
            )
        self._last_execution[served_slice.slice] = (
            served_slice.token,
            server.name,
        )
        server_by_request[request_id] = server.name

        def end() -> None:
            if server_by_request.pop(request_id, None) is not None:
                self.schedule(0.001, complete)

        self.schedule(0.01, end)

    def _report(self, node: Node) -> None:
        """Sends a router report on outstanding requests every 100 ms."""
        if not node.alive:
            return
        self.schedule(0.1, lambda: self._report(node))
        drained = tuple(
            peers.Drained(
                name,
                tuple(
                    sorted(
                        {
                            i
                            for s, i in node.outstanding_requests.values()
                            if s == name
                        }
                    )
                ),
                tuple(s.slice for s in home.slices),
                version=home.version,
            )
            for name, home in node.home_servers.items()
        )
        if drained:
            report = messages.RouterReported(peers.RouterReport(drained))
            self.schedule(0.001, lambda: self._deliver(node, report))

    # Platform

    def _write_object(self, value) -> None:
        current = self.platform.get(value.KIND, value.name)
        self.platform.write(
            value.KIND,
            value.name,
            msgspec.json.encode(value),
            0 if current is None else current.version,
            "",
        )

    def update_configuration(self, value) -> None:
        """Writes a configuration object, as an operator does."""
        self._write_object(value)

    def _poll_platform(self, node: Node) -> None:
        """Reads changed objects from the platform every 100 ms."""
        if not node.alive:
            return
        self.schedule(0.1, lambda: self._poll_platform(node))
        is_cut = (node.name, "platform") in self.cut_links
        if self.platform.faults.down or is_cut:
            failure = exceptions.Unavailable("GET /objects", "down")
            self._deliver(node, messages.PlatformCallFailed(failure))
            return
        object_list = self.platform.changed_after(_KINDS, node.watch_revision)

        def handle_arrival() -> None:
            node.watch_revision = max(node.watch_revision, object_list.revision)
            self._deliver(node, messages.WatchReturned(object_list))

        delay_s = self.random.uniform(0.001, 0.003) + self.platform_delay_s
        self.schedule(delay_s, handle_arrival)

    def _send_update(
        self, node: Node, partition_update: messages.PartitionUpdate
    ) -> None:
        """Sends an update to the platform, up to three times, 1 s apart."""
        is_finished = False

        def finish(outcome, newest=None) -> None:
            nonlocal is_finished
            if is_finished:
                return
            is_finished = True
            self._deliver(
                node,
                messages.UpdateFinished(
                    partition_update.partition,
                    partition_update.update,
                    outcome,
                    newest,
                ),
            )

        def start_attempt(attempt: int) -> None:
            if is_finished:
                return
            unknown_outcome = result.Err(
                exceptions.OutcomeUnknown(
                    "PUT", partition_update.update.operation_id
                )
            )
            if self.platform.faults.down or attempt == 3:
                self.schedule(0.005, lambda: finish(unknown_outcome))
                return
            delay_s = self.platform_delay_s + self.random.uniform(0, 0.004)
            if self.random.random() < 0.5:
                delay_s += self.random.uniform(
                    0, self.platform_max_extra_delay_s
                )
            if (node.name, "platform") not in self.cut_links:
                self.schedule(
                    delay_s,
                    lambda: self._apply_update(
                        node, partition_update, finish, attempt
                    ),
                )
            self.schedule(1.0, lambda: start_attempt(attempt + 1))

        start_attempt(0)

    def _apply_update(
        self, node: Node, partition_update, finish, attempt: int
    ) -> None:
        """Writes an update on the platform and sends the response."""
        if self.platform.faults.down:
            return
        update = partition_update.update
        before = self.partition()
        accepted, stored = self.platform.write(
            schemas.Partition.KIND,
            partition_update.partition,
            msgspec.json.encode(update.partition),
            update.expected_version,
            update.operation_id,
        )
        if accepted:
            _check_slice_transitions(before, update.partition)
        if accepted and self.platform.faults.lose_answers:
            self.platform.faults.lose_answers -= 1
            return
        if accepted or stored.operation_id == update.operation_id:
            response = result.Ok(stored)
        elif attempt and stored.version > update.expected_version + 1:
            response = result.Err(
                exceptions.OutcomeUnknown("PUT", update.operation_id)
            )
        else:
            response = result.Err(
                exceptions.Conflict(
                    stored.kind,
                    stored.name,
                    update.expected_version,
                    stored.version,
                )
            )
        newest = stored if response.is_err() else None
        if ("platform", node.name) not in self.cut_links:
            self.schedule(
                0.002 + self.platform_delay_s, lambda: finish(response, newest)
            )

    def _check_holders(self) -> None:
        """Checks that at most one keeper acts as holder.

        Members of an unresolved pair don't count.
        """
        partition = self.partition()
        acting = [
            node.incarnation
            for node in (*self.nodes.values(), *self.replaced_nodes)
            if node.alive and self._may_act(node)
        ]
        unresolved = partition.unresolved if partition is not None else ()
        acting = [i for i in acting if i not in unresolved]
        if len(acting) > 1:
            raise InvariantError(f"{acting} act as holder at {self.now:.3f}")

    def _may_act(self, node: Node) -> bool:
        state = node.task.states.get(PARTITION)
        return state is not None and decisions.may_act(
            state, self._node_time_s(node), self._timings
        )


def _check_slice_transitions(
    before: schemas.Partition | None, after: schemas.Partition
) -> None:
    """Checks that an update changes the owner of a slice only by a move."""
    if before is None:
        return
    for index, (old, new) in enumerate(
        zip(before.slices, after.slices, strict=True)
    ):
        match old, new:
            case schemas.Owned(), schemas.Owned():
                is_allowed = old.server == new.server
            case schemas.Owned(), schemas.Moving():
                is_allowed = old.server == new.source
            case schemas.Moving(), schemas.Moving():
                is_allowed = new.source in (old.source, old.target)
            case schemas.Moving(), schemas.Owned():
                is_allowed = old.target == new.server
            case schemas.Unassigned(), _:
                is_allowed = True
            case _:
                is_allowed = False
        if not is_allowed:
            raise InvariantError(f"slice {index}: {old} became {new}")
        if (
            not isinstance(old, schemas.Unassigned)
            and not isinstance(new, schemas.Unassigned)
            and new.token < old.token
        ):
            raise InvariantError(
                f"slice {index}: token fell from {old} to {new}"
            )
