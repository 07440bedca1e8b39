"""The task that owns the state of a keeper and executes its decisions."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import logging
import time

import msgspec
import result

from berylweir.keeper import messages
from berylweir.keeper.authority import decisions
from berylweir.keeper.authority import models
from berylweir.keeper.configuration import store
from berylweir.keeper.membership import decisions as membership
from berylweir.keeper.status import schemas as status
from berylweir.objects import client as platform_client
from berylweir.objects import exceptions as platform_exceptions
from berylweir.objects import messages as platform
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.peers import messages as peers
from berylweir.peers import task as peer_task
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
_TICK_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Outboxes:
    """Mailboxes of the other tasks of the keeper.

    Attributes:
        keepers: Messages to other keepers.
        partition_updates: Updates for the platform, by partition name.
        partition_changes: Newest partitions for the homes of this VM, by
            partition name.
        router: Messages to the router, by message type.
    """

    keepers: mailbox.Mailbox[peer_task.Outgoing]
    partition_updates: mailbox.LatestMailbox[messages.PartitionUpdate]
    partition_changes: mailbox.LatestMailbox[messages.PartitionChanged]
    router: mailbox.LatestMailbox[peers.ToRouterMessage]


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a keeper and the keepers that it asks at start.

    Attributes:
        incarnation: Own incarnation.
        availability_zone: Own availability zone.
        neighbours: Addresses (host and port) of keepers to ask for objects
            while no object is known.
    """

    incarnation: schemas.Incarnation
    availability_zone: str
    neighbours: tuple[str, ...] = ()


class AuthorityTask:
    """Owns the configuration, the membership and the partitions of a keeper."""

    def __init__(
        self,
        identity: Identity,
        timings: models.Timings,
        inbox: mailbox.Mailbox[messages.AuthorityMessage],
        outboxes: Outboxes,
        metrics: counters.Counters,
        clock: Callable[[], float] = time.monotonic,
        safety: models.SafetyRules = models.SafetyRules(),  # noqa: B008
    ) -> None:
        """Creates the task.

        Args:
            identity: Identity of this keeper.
            timings: Intervals of the lease protocol.
            inbox: Messages to this task.
            outboxes: Mailboxes of the other tasks.
            metrics: Counters.
            clock: Monotonic clock, in seconds.
            safety: Safety rules in force; only tests switch any off.
        """
        self._identity = identity
        self._timings = timings
        self._inbox = inbox
        self._outboxes = outboxes
        self._metrics = metrics
        self._clock = clock
        self._safety = safety
        self._objects = store.ObjectStore()
        self._heartbeats: dict[str, membership.HeartbeatRecord] = {}
        self._states: dict[str, models.State] = {}
        self._heartbeat_sequence = 0
        self._table_sequence = 0
        self._revision = 0
        self._platform_up = False
        self._next_heartbeat_s = 0.0
        self._is_table_outdated = True
        self._is_leaving = False
        self._heartbeat_count = 0
        self._member_cache: dict[str, models.Member] = {}
        self._member_cache_key: tuple[int, int, bool] | None = None
        self._server_cache: dict[
            tuple[str, int], tuple[schemas.BackendServer, ...]
        ] = {}
        self._server_cache_generation = -1
        self._next_full_tick_s = 0.0

    @property
    def clock(self) -> Callable[[], float]:
        """Monotonic clock, in seconds."""
        return self._clock

    @property
    def states(self) -> Mapping[str, models.State]:
        """State of each known partition, by partition name."""
        return self._states

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until asked to stop, then resigns from all partitions."""
        context.report_ready()
        self._ask_neighbours()
        next_tick_s = self._clock()
        while not context.stop_event.is_set():
            wait_s = next_tick_s - self._clock()
            if wait_s > 0:
                try:
                    async with asyncio.timeout(wait_s):
                        message = await self._inbox.get()
                    self.handle(message)
                    continue
                except TimeoutError:
                    pass
            while (queued_message := self._inbox.get_nowait()) is not None:
                self.handle(queued_message)
            self.tick()
            next_tick_s = self._clock() + _TICK_INTERVAL_S
        self.resign()

    def router_connected(self) -> None:
        """Schedules a full table update, since a new router has no table."""
        self._is_table_outdated = True

    # Messages

    def handle(self, message: messages.AuthorityMessage) -> None:
        """Handles one message."""
        match message:
            case messages.WatchReturned(objects=objects):
                self._platform_up = True
                self._revision = max(self._revision, objects.revision)
                for stored in objects.items:
                    self._merge_object(stored)
            case messages.PlatformCallFailed():
                self._mark_platform_down()
            case messages.PeerMessageReceived(received=received):
                self._handle_peer_message(received)
            case messages.UpdateFinished():
                self._handle_update_result(message)
            case messages.InForceRequested(reply=reply):
                if not reply.done():
                    reply.set_result(self._objects_in_force())

    def _objects_in_force(self) -> status.ObjectsInForce:
        """Returns the objects in force, for the status endpoint."""
        return status.ObjectsInForce(
            self._identity.incarnation.vm,
            self._identity.incarnation.nonce,
            self._revision,
            self._platform_up,
            tuple(self._objects.stored_objects()),
        )

    def _mark_platform_down(self) -> None:
        if self._platform_up:
            _LOGGER.warning(
                "platform is unavailable; last known objects stay in force"
            )
        self._platform_up = False

    def _merge_object(self, stored: platform.StoredObject) -> None:
        """Stores an object if it is newer, and applies it."""
        match self._objects.merge(stored):
            case result.Ok(store.Changed(value=schemas.Partition() as value)):
                self._apply_event(
                    stored.name, models.ObjectReceived(value, stored.version)
                )
            case result.Ok(store.Changed(kind=kind)):
                self._is_table_outdated = True
                self._apply_configuration_change(kind)
            case result.Ok(store.Unchanged()):
                pass
            case result.Err(invalid_object):
                self._metrics.count("keeper.object.invalid")
                _LOGGER.error(
                    "invalid object; the previous version stays in force",
                    extra={"fault": str(invalid_object)},
                )

    def _apply_configuration_change(self, kind: str) -> None:
        """Informs the tasks that use objects of a kind that has changed."""
        if kind == schemas.Vm.KIND:
            self._send_vm_addresses()
        elif kind in (schemas.BackendServer.KIND, schemas.ServerGroup.KIND):
            for name, state in self._states.items():
                self._send_partition_to_homes(name, state)

    def _handle_peer_message(self, received: peer_task.ReceivedMessage) -> None:
        sender = received.sender
        now = self._clock()
        match received.message:
            case peers.Heartbeat() as heartbeat:
                self._receive_heartbeat(received, heartbeat, now)
            case peers.RenewRequest(nonce=nonce, epochs=epochs):
                for name, epoch in epochs:
                    self._apply_event(
                        name, models.RenewRequestReceived(sender, epoch, nonce)
                    )
            case peers.Promise(nonce=nonce, epochs=epochs):
                for name, epoch in epochs:
                    self._apply_event(
                        name, models.PromiseReceived(sender, epoch, nonce)
                    )
            case peers.Resign(epochs=epochs):
                for name, epoch in epochs:
                    self._apply_event(
                        name, models.ResignationReceived(sender, epoch)
                    )
            case peers.DelegateRequest() as request:
                servers = tuple(
                    (s.server, s.healthy, s.instance) for s in request.servers
                )
                self._apply_event(
                    request.partition,
                    models.DelegationRequested(
                        sender,
                        request.nonce,
                        request.version,
                        servers,
                        request.slice_loads,
                    ),
                )
            case peers.Released() as released:
                self._apply_event(
                    released.partition,
                    models.SlicesReleased(
                        sender,
                        released.version,
                        released.server,
                        released.slices,
                        released.confirmed,
                    ),
                )
            case peers.ObjectUpdate() as update:
                self._merge_object(
                    platform.StoredObject(
                        update.kind,
                        update.name,
                        update.version,
                        0,
                        deleted=update.deleted,
                        value=msgspec.Raw(update.value),
                    )
                )
            case peers.ObjectsRequest():
                self._send_objects(sender)
            case peers.Delegation() | peers.Suspects():
                self._metrics.count("keeper.peer.misrouted")

    def _receive_heartbeat(
        self,
        received: peer_task.ReceivedMessage,
        heartbeat: peers.Heartbeat,
        now: float,
    ) -> None:
        self._heartbeat_count += 1
        before = self._heartbeats.get(received.sender.vm)
        self._heartbeats = membership.record_heartbeat(
            self._heartbeats,
            membership.HeartbeatRecord(
                received.sender,
                received.availability_zone,
                heartbeat.sequence,
                now,
                heartbeat.leaving,
            ),
        )
        if before is None or before.incarnation != received.sender:
            self._is_table_outdated = True
        for partition_version in heartbeat.partitions:
            self._apply_event(
                partition_version.partition,
                models.EpochReported(received.sender, partition_version.epoch),
            )

    def _handle_update_result(self, message: messages.UpdateFinished) -> None:
        """Applies the outcome of an update of a partition."""
        operation_id = message.update.operation_id
        event: models.Event
        match message.outcome:
            case result.Ok(stored):
                self._objects.merge(stored)
                event = models.UpdateAccepted(operation_id, stored.version)
            case result.Err(platform_exceptions.Conflict()):
                event = models.UpdateRejected(operation_id)
            case result.Err(_):
                event = models.UpdateOutcomeUnknown(operation_id)
        self._apply_event(message.partition, event)
        if message.newest is not None:
            self._merge_object(message.newest)
        # While the update was pending, the state ignored the object that the
        # update itself created.
        self._reapply_stored_partition(message.partition)

    def _reapply_stored_partition(self, name: str) -> None:
        """Applies the stored object, which the state may have ignored."""
        partition = self._objects.objects_of(schemas.Partition).get(name)
        version = self._objects.versions().get(
            (schemas.Partition.KIND, name), 0
        )
        if partition is not None:
            self._apply_event(name, models.ObjectReceived(partition, version))

    # Decisions

    def _view(self, name: str, now: float) -> models.ClusterView | None:
        """Returns the view for a partition, or None without its group."""
        group_name, index = name.rsplit(".", 1)
        group = self._objects.objects_of(schemas.ServerGroup).get(group_name)
        if group is None:
            return None
        return models.ClusterView(
            group,
            self._servers_in_partition(group_name, int(index)),
            self._objects.objects_of(schemas.AvailabilityZone),
            self._members(now),
            self._platform_up,
        )

    def _servers_in_partition(
        self, group: str, index: int
    ) -> tuple[schemas.BackendServer, ...]:
        """Returns the backend servers of a partition, sorted by name.

        They are cached until the configuration changes. Sorting them for each
        event took 17 ms of processor time per second for each known partition,
        most of what a VM may spend on control traffic.
        """
        if self._server_cache_generation != self._objects.generation:
            self._server_cache_generation = self._objects.generation
            servers_by_partition: dict[
                tuple[str, int], list[schemas.BackendServer]
            ] = {}
            for server in self._objects.objects_of(
                schemas.BackendServer
            ).values():
                key = (server.group, server.partition)
                servers_by_partition.setdefault(key, []).append(server)
            self._server_cache = {
                k: tuple(sorted(v, key=lambda s: s.name))
                for k, v in servers_by_partition.items()
            }
        return self._server_cache.get((group, index), ())

    def _members(self, now: float) -> dict[str, models.Member]:
        """Returns the entry VMs by name, cached until an input changes."""
        key = (
            self._objects.generation,
            self._heartbeat_count,
            self._is_leaving,
        )
        if key != self._member_cache_key:
            self._member_cache_key = key
            self._member_cache = membership.build_members(
                self._heartbeats_with_own(now),
                self._objects.objects_of(schemas.Vm),
                self._objects.objects_of(schemas.AvailabilityZone),
                now,
            )
        return self._member_cache

    def _heartbeats_with_own(
        self, now: float
    ) -> dict[str, membership.HeartbeatRecord]:
        own_heartbeat = membership.HeartbeatRecord(
            self._identity.incarnation,
            self._identity.availability_zone,
            self._heartbeat_sequence,
            now,
            self._is_leaving,
        )
        return {
            **self._heartbeats,
            self._identity.incarnation.vm: own_heartbeat,
        }

    def _apply_event(self, name: str, event: models.Event) -> None:
        """Applies an event to a partition and executes the commands.

        Ignores partitions whose server group isn't known yet.
        """
        now = self._clock()
        view = self._view(name, now)
        if view is None:
            return
        state = self._states.get(name)
        if state is None:
            state = decisions.initial_state(self._identity.incarnation, name)
        before = state
        state, commands = decisions.step(
            state,
            event,
            now,
            view,
            self._timings,
            platform_client.new_operation_id(),
            self._safety,
        )
        self._states[name] = state
        self._log_holder_change(name, before, state)
        if state.version != before.version:
            self._send_partition_to_homes(name, state)
        for command in commands:
            self._execute(name, command)

    def _log_holder_change(
        self, name: str, before: models.State, after: models.State
    ) -> None:
        if decisions.is_holder(before) != decisions.is_holder(after):
            is_holder = decisions.is_holder(after)
            self._metrics.count(
                "keeper.partition.taken"
                if is_holder
                else "keeper.partition.lost"
            )
            _LOGGER.info(
                "became holder of the partition"
                if is_holder
                else "no longer holder of the partition",
                extra={"partition": name, "version": after.version},
            )

    def _execute(self, name: str, command: models.Command) -> None:
        match command:
            case models.SendRenewRequest(to=to, epoch=epoch, nonce=nonce):
                self._send(to.vm, peers.RenewRequest(nonce, ((name, epoch),)))
            case models.SendPromise(to=to, epoch=epoch, nonce=nonce):
                self._send(to.vm, peers.Promise(nonce, ((name, epoch),)))
            case models.SendResignation(to=to, epoch=epoch):
                self._send(to.vm, peers.Resign(((name, epoch),)))
            case models.SendDelegation() as delegation:
                self._send(
                    delegation.to.vm,
                    peers.Delegation(
                        delegation.nonce,
                        name,
                        delegation.version,
                        delegation.duration_s,
                    ),
                )
            case models.SendObject(to=to):
                object_update = self._object_update(name)
                if object_update is not None:
                    self._send(to.vm, object_update)
            case models.WritePartition(update=update):
                self._outboxes.partition_updates.put(
                    name, messages.PartitionUpdate(name, update)
                )
            case models.BroadcastObject():
                object_update = self._object_update(name)
                if object_update is not None and decisions.is_holder(
                    self._states[name]
                ):
                    self._broadcast(object_update)

    def _object_update(self, name: str) -> peers.ObjectUpdate | None:
        """Returns a message with the newest partition object, or None."""
        state = self._states[name]
        if state.partition is None:
            return None
        return peers.ObjectUpdate(
            schemas.Partition.KIND,
            name,
            state.version,
            False,
            msgspec.json.encode(state.partition),
        )

    def _send_partition_to_homes(self, name: str, state: models.State) -> None:
        """Sends a changed partition to the homes of this VM."""
        partition = state.partition
        self._is_table_outdated = True
        if partition is None:
            return
        group = self._objects.objects_of(schemas.ServerGroup).get(
            partition.group
        )
        if group is None:
            return
        servers = self._objects.objects_of(schemas.BackendServer)
        change = messages.PartitionChanged(
            name,
            state.version,
            partition,
            group,
            tuple(servers[s] for s in partition.homes if s in servers),
        )
        self._outboxes.partition_changes.put(name, change)

    # Time

    def tick(self) -> None:
        """Runs the periodic work: partition ticks, heartbeat, router table."""
        now = self._clock()
        for name in self._partitions_to_tick(now):
            self._apply_event(name, models.Tick())
        if now >= self._next_heartbeat_s:
            self._next_heartbeat_s = now + self._timings.renew_s
            self._send_heartbeat()
            if not self._objects.versions():
                self._ask_neighbours()
        if self._is_table_outdated:
            self._is_table_outdated = False
            self._send_table()

    def _partitions_to_tick(self, now: float) -> list[str]:
        """Returns the names of the partitions that get a tick now.

        Partitions of other VMs get one only every `renew_s`, since nothing is
        due for them until their pair has been silent for seconds.
        """
        if now >= self._next_full_tick_s:
            self._next_full_tick_s = now + self._timings.renew_s
            return self._partition_names()
        return [n for n, s in self._states.items() if self._has_role(s)]

    def _partition_names(self) -> list[str]:
        names = []
        for group in self._objects.objects_of(schemas.ServerGroup).values():
            for index in range(group.routing.partitions):
                names.append(f"{group.name}.{index}")
        return names

    def _send_heartbeat(self) -> None:
        """Sends all keepers the partitions of this keeper, with epochs."""
        self._heartbeat_sequence += 1
        partition_versions = tuple(
            peers.PartitionVersion(name, s.version, s.partition.epoch)
            for name, s in self._states.items()
            if s.partition is not None and self._has_role(s)
        )
        self._broadcast(
            peers.Heartbeat(
                self._heartbeat_sequence,
                self._revision,
                partition_versions,
                self._is_leaving,
            )
        )
        self._metrics.gauge("keeper.partitions", len(partition_versions))
        self._metrics.gauge("keeper.revision", self._revision)

    def _has_role(self, state: models.State) -> bool:
        """Returns whether this keeper belongs to the present or former pair."""
        partition = state.partition
        return partition is not None and (
            decisions.is_holder(state)
            or decisions.is_standby(state)
            or self._identity.incarnation in partition.unresolved
        )

    # Sending

    def _send(self, vm: str, message: peers.KeeperMessage) -> None:
        self._enqueue(peer_task.ToVm(vm, message))

    def _broadcast(self, message: peers.KeeperMessage) -> None:
        self._enqueue(peer_task.ToAll(message))

    def _enqueue(self, outgoing: peer_task.Outgoing) -> None:
        """Queues a message for other keepers; drops it if the queue is full."""
        if self._outboxes.keepers.offer(outgoing).is_err():
            self._metrics.count("keeper.peer.outbox_full")

    def _ask_neighbours(self) -> None:
        """Asks the neighbours for all objects that they know."""
        for address in self._identity.neighbours:
            self._enqueue(peer_task.ToAddress(address, peers.ObjectsRequest()))

    def _send_vm_addresses(self) -> None:
        """Tells the peer task the keeper address of each entry VM."""
        self._enqueue(
            peer_task.KeeperAddresses(
                {
                    vm.name: f"{vm.address}:{vm.keeper_port}"
                    for vm in self._objects.objects_of(schemas.Vm).values()
                }
            )
        )

    def _send_objects(self, to: schemas.Incarnation) -> None:
        for stored in self._objects.stored_objects():
            self._send(
                to.vm,
                peers.ObjectUpdate(
                    stored.kind,
                    stored.name,
                    stored.version,
                    stored.deleted,
                    bytes(stored.value),
                ),
            )

    def _send_table(self) -> None:
        """Sends the router all objects that it needs to route requests."""
        self._table_sequence += 1
        partitions = tuple(
            (s.version, s.partition)
            for s in self._states.values()
            if s.partition is not None
        )
        objects = self._objects
        self._outboxes.router.put(
            peers.TableUpdate,
            peers.TableUpdate(
                self._table_sequence,
                tuple(objects.objects_of(schemas.ServerGroup).values()),
                tuple(objects.objects_of(schemas.BackendServer).values()),
                tuple(objects.objects_of(schemas.AvailabilityZone).values()),
                tuple(objects.objects_of(schemas.Selector).values()),
                tuple(objects.objects_of(schemas.Vm).values()),
                partitions,
            ),
        )

    def resign(self) -> None:
        """Resigns from all partitions and announces the shutdown."""
        self._is_leaving = True
        for name in tuple(self._states):
            self._apply_event(name, models.ShutdownRequested())
        self._send_heartbeat()
