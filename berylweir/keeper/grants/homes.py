"""The task that manages the backend servers whose home is this VM."""

import asyncio
from collections.abc import Callable
import dataclasses
import random
import time

from berylweir.backendapi import schemas as backendapi
from berylweir.keeper import messages
from berylweir.keeper.authority import models as authority
from berylweir.keeper.grants import decisions
from berylweir.keeper.grants import loads
from berylweir.keeper.grants import models
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.peers import messages as peers
from berylweir.peers import task as peer_task
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

# Interval of the timer, and of requests to a server with moving slices.
_TICK_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Outboxes:
    """Mailboxes that the homes task sends to.

    Attributes:
        keepers: Messages to other keepers.
        grants: Newest grant request or probe, by server name.
        router: Messages to the router, by message type.
    """

    keepers: mailbox.Mailbox[peer_task.Outgoing]
    grants: mailbox.LatestMailbox[messages.ServerRequest]
    router: mailbox.LatestMailbox[peers.ToRouterMessage]


class HomesTask:
    """Owns the state of each backend server whose home is this VM.

    Renews the delegations from the holders of the partitions, sends grants
    within them to the servers, tells the router which slices it may serve,
    and reports slices that a server has released to the holder and standby.
    """

    def __init__(
        self,
        vm: str,
        timings: authority.Timings,
        inbox: mailbox.Mailbox[messages.HomesMessage],
        partitions: mailbox.LatestMailbox[messages.PartitionChanged],
        outboxes: Outboxes,
        metrics: counters.Counters,
        clock: Callable[[], float] = time.monotonic,
        safety: authority.SafetyRules = authority.SafetyRules(),  # noqa: B008
    ) -> None:
        """Creates the task.

        Args:
            vm: Name of this VM.
            timings: Intervals of the lease protocol.
            inbox: Messages to this task.
            partitions: Newest version of each partition, by name.
            outboxes: Mailboxes of the other tasks.
            metrics: Counters.
            clock: Monotonic clock, in seconds.
            safety: Safety rules in force; only tests switch any off.
        """
        self._vm = vm
        self._timings = timings
        self._inbox = inbox
        self._partitions = partitions
        self._outboxes = outboxes
        self._metrics = metrics
        self._clock = clock
        self._safety = safety
        # State of each server whose home is this VM, by server name.
        self._homes: dict[str, models.HomeState] = {}
        # VMs of the holder and the standby, by partition name.
        self._partition_keepers: dict[str, tuple[str, ...]] = {}
        # When each request was sent, by partition name and nonce.
        self._delegation_request_times: dict[tuple[str, int], float] = {}
        # Starts at a random number, so that a late response to a former
        # incarnation of this keeper matches no request.
        self._nonce = random.getrandbits(48)
        self._next_delegation_request_s = 0.0
        self._loads = loads.SliceLoads()
        # Whether the router doesn't know the newest expiry of some grant yet.
        self._has_unsent_extensions = False

    async def run(self, context: supervision.ChildContext) -> None:
        """Handles messages and the timer until asked to stop."""
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._read_inbox()),
                group.create_task(self._read_partitions()),
                group.create_task(self._tick_regularly()),
            ]
            await context.stop_event.wait()
            for task in tasks:
                task.cancel()

    def router_connected(self) -> None:
        """Sends the present state of the homes to a newly connected router."""
        self._send_homes()

    async def _read_inbox(self) -> None:
        while True:
            self.handle(await self._inbox.get())

    async def _read_partitions(self) -> None:
        while True:
            self.handle_partition(await self._partitions.get())

    async def _tick_regularly(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self.tick()

    def handle(self, message: messages.HomesMessage) -> None:
        """Handles one message of the inbox."""
        match message:
            case messages.PeerMessageReceived(received=received):
                self._handle_peer_message(received.message)
            case messages.RouterReported(report=report):
                self._handle_router_report(report)
            case messages.ServerResponded():
                self._handle_server_response(message)
            case messages.ServerUnreachable():
                self._metrics.count("keeper.server.silent")

    def handle_partition(self, update: messages.PartitionChanged) -> None:
        """Handles a newer version of a partition.

        Adds servers whose home is now this VM, removes those that have another
        home, updates the slices of each, and informs the router.
        """
        partition = update.value
        self._partition_keepers[update.partition] = tuple(
            i.vm for i in (partition.holder, partition.standby) if i is not None
        )
        own_servers = {
            s.name: s
            for s in update.servers
            if partition.homes.get(s.name) == self._vm
        }
        for removed_name in [
            n
            for n, h in self._homes.items()
            if h.partition == update.partition and n not in own_servers
        ]:
            del self._homes[removed_name]
        for name in sorted(own_servers):
            home = self._homes.get(name)
            if home is None:
                home = self._new_home(update, own_servers[name])
            home = dataclasses.replace(home, server=own_servers[name])
            self._homes[name] = decisions.apply_partition(
                home, partition, update.version, time.time()
            )
        self._send_homes()

    def tick(self) -> None:
        """Sends requests, grants and release reports that are due."""
        now = self._clock()
        if now >= self._next_delegation_request_s:
            self._next_delegation_request_s = now + self._timings.renew_s
            self._request_delegations(now)
            self._metrics.gauge("keeper.homes", len(self._homes))
        if self._has_unsent_extensions:
            self._send_homes()
        for home in tuple(self._homes.values()):
            self._tick_home(home, now)

    def _handle_peer_message(self, message: peers.KeeperMessage) -> None:
        match message:
            case peers.Delegation():
                self._handle_delegation(message)
            case peers.Suspects():
                self._outboxes.router.put(peers.Suspects, message)
            case _:
                self._metrics.count("keeper.peer.misrouted")

    def _handle_router_report(self, report: peers.RouterReport | None) -> None:
        if report is None:
            self._homes = {
                n: decisions.record_router_report(h, None)
                for n, h in self._homes.items()
            }
            return
        now = self._clock()
        for server_report in report.servers:
            home = self._homes.get(server_report.server)
            if home is not None:
                self._homes[server_report.server] = (
                    decisions.record_router_report(home, server_report)
                )
                self._loads.add(
                    server_report.server, server_report.slice_counts, now
                )
        if report.suspects.suspected or report.suspects.quarantined:
            self._send_to_keepers(peer_task.ToAll(report.suspects))

    def _handle_server_response(
        self, message: messages.ServerResponded
    ) -> None:
        home = self._homes.get(message.server)
        if home is None:
            return
        previous = home
        home = decisions.record_response(
            home,
            message.request,
            message.status,
            message.arrived_s,
            self._safety,
            sent_s=message.sent_s,
        )
        self._homes[message.server] = home
        if home.granted_slices != previous.granted_slices:
            self._send_homes()
        elif home.acknowledged_until_s != previous.acknowledged_until_s:
            # Only the expiry has changed. The next tick sends it together with
            # those of other servers, whose requests go out at the same time.
            self._has_unsent_extensions = True
        if message.request is None and self._next_grant(home) is not None:
            self._call_server(home)

    def _handle_delegation(self, delegation: peers.Delegation) -> None:
        # The duration counts from when the request was sent, because the
        # response may have been delayed.
        sent_s = self._delegation_request_times.pop(
            (delegation.partition, delegation.nonce), None
        )
        if sent_s is None:
            return
        expires_at_s = sent_s + delegation.duration_s
        for name, home in self._homes.items():
            if (
                home.partition == delegation.partition
                and home.version == delegation.version
            ):
                self._homes[name] = dataclasses.replace(
                    home,
                    delegated_until_s=max(home.delegated_until_s, expires_at_s),
                )
        if expires_at_s > self._clock():
            self._send_homes()

    def _new_home(
        self, update: messages.PartitionChanged, server: schemas.BackendServer
    ) -> models.HomeState:
        match update.group.routing:
            case schemas.Keyed(checks_grants=checks_grants):
                is_keyed = True
            case schemas.Unkeyed():
                is_keyed, checks_grants = False, False
        return models.HomeState(
            server,
            update.partition,
            0,
            checks_grants,
            is_keyed,
            self._clock(),
            time.time(),
        )

    def _tick_home(self, home: models.HomeState, now: float) -> None:
        interval_s = _TICK_S if home.moving_slices else self._timings.renew_s
        if now >= home.last_request_s + interval_s:
            self._call_server(home)
        for release in decisions.find_releases(
            home, now, self._timings, self._safety
        ):
            message = peers.Released(
                home.partition,
                home.version,
                home.server.name,
                release.slices,
                release.confirmed,
            )
            for vm in self._partition_keepers.get(home.partition, ()):
                self._send_to_keepers(peer_task.ToVm(vm, message))

    def _next_grant(
        self, home: models.HomeState
    ) -> backendapi.GrantRequest | None:
        return decisions.next_grant(
            home, self._clock(), self._timings, self._safety
        )

    def _call_server(self, home: models.HomeState) -> None:
        now = self._clock()
        request = self._next_grant(home)
        self._homes[home.server.name] = decisions.record_request(
            home, request, now
        )
        server = home.server
        self._outboxes.grants.put(
            server.name,
            messages.ServerRequest(
                server.name, f"http://{server.address}:{server.port}", request
            ),
        )

    def _request_delegations(self, now: float) -> None:
        lease_s = self._timings.lease_s
        self._delegation_request_times = {
            k: s
            for k, s in self._delegation_request_times.items()
            if s > now - lease_s
        }
        homes_by_partition: dict[str, list[models.HomeState]] = {}
        for home in self._homes.values():
            homes_by_partition.setdefault(home.partition, []).append(home)
        for name, homes in homes_by_partition.items():
            self._nonce += 1
            self._delegation_request_times[(name, self._nonce)] = now
            request = peers.DelegateRequest(
                self._nonce,
                name,
                homes[0].version,
                tuple(self._server_health(h, now) for h in homes),
                self._loads.busiest((h.server.name for h in homes), now),
            )
            for vm in self._partition_keepers.get(name, ()):
                self._send_to_keepers(peer_task.ToVm(vm, request))

    def _server_health(
        self, home: models.HomeState, now: float
    ) -> peers.ServerHealth:
        return peers.ServerHealth(
            home.server.name,
            decisions.is_healthy(home, now, self._timings),
            home.instance,
        )

    def _send_homes(self) -> None:
        self._has_unsent_extensions = False
        self._outboxes.router.put(
            peers.HomesUpdate,
            peers.HomesUpdate(
                tuple(
                    decisions.build_home_server(h) for h in self._homes.values()
                )
            ),
        )

    def _send_to_keepers(self, outgoing: peer_task.Outgoing) -> None:
        if self._outboxes.keepers.offer(outgoing).is_err():
            self._metrics.count("keeper.peer.outbox_full")
