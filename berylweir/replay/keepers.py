"""Simulated keeper that uses the decisions of authority and grants."""

import dataclasses
import typing

from berylweir.backendapi import schemas as backendapi
from berylweir.keeper.authority import decisions
from berylweir.keeper.authority import models as authority
from berylweir.keeper.grants import decisions as grants
from berylweir.keeper.grants import loads
from berylweir.keeper.grants import models as grant_models
from berylweir.keeper.membership import decisions as membership
from berylweir.objects import schemas
from berylweir.peers import messages as peers
from berylweir.replay import messages
from berylweir.replay import simulation
from berylweir.router.table import decisions as table

_TICK_INTERVAL_S = 0.05
# The platform renews its watch every 0.5 s. After four missing renewals the
# keeper assumes an outage.
_PLATFORM_TIMEOUT_S = 2.0


class KeeperActor:
    """Owns the state of one keeper and executes the decisions' commands."""

    def __init__(
        self,
        sim: simulation.Simulation,
        vm: schemas.Vm,
        config: messages.Config,
        safety: authority.SafetyRules,
    ) -> None:
        """Creates a keeper that has the configuration but no partitions.

        Args:
            sim: Simulation that delivers its messages.
            vm: The entry VM.
            config: Initial configuration.
            safety: Safety rules that the decisions apply.
        """
        self._sim = sim
        self._vm = vm
        self._incarnation = schemas.Incarnation(vm.name, "1")
        self._config = config
        self._safety = safety
        self._timings = authority.Timings()
        self._heartbeats: dict[str, membership.HeartbeatRecord] = {}
        self._partition_states: dict[str, authority.State] = {}
        self._homes: dict[str, grant_models.HomeState] = {}
        # When each delegation was requested, by partition and nonce.
        self._delegation_sent_s: dict[tuple[str, int], float] = {}
        self._slice_loads = loads.SliceLoads()
        self._nonce = 0
        self._sequence = 0
        self._table_sequence = 0
        self._platform_heard_s = 0.0
        self._next_heartbeat_s = 0.0
        self._table_dirty = True
        self._homes_dirty = False
        self._views: dict[str, authority.ClusterView] = {}
        self._name = f"keeper.{vm.name}"
        self._router_name = f"router.{vm.name}"
        sim.register(self._name, vm.availability_zone, self.receive)
        sim.deliver_after(
            sim.rng.uniform(0, _TICK_INTERVAL_S), self._name, _TICK
        )

    def receive(self, message: messages.ToKeeper) -> None:
        """Handles a message."""
        now = self._sim.now
        match message:
            case messages.TickDue():
                self._tick(now)
            case messages.HeartbeatReceived(heartbeat=heartbeat, epochs=epochs):
                self._heartbeats = membership.record_heartbeat(
                    self._heartbeats,
                    dataclasses.replace(heartbeat, received_s=now),
                )
                for name, epoch in epochs:
                    self._apply_event(
                        name,
                        authority.EpochReported(heartbeat.incarnation, epoch),
                    )
            case messages.PartitionEvent(name=name, event=event):
                self._apply_event(name, event)
            case messages.DelegationReceived():
                self._record_delegation(message, now)
            case messages.StatusReceived():
                self._record_server_status(message, now)
            case messages.RouterReportReceived(reports=reports):
                for report in reports:
                    home = self._homes.get(report.server)
                    if home is not None:
                        self._homes[report.server] = (
                            grants.record_router_report(home, report)
                        )
                        self._slice_loads.add(
                            report.server, report.slice_counts, now
                        )
            case messages.WatchUpdate():
                self._apply_watch_update(message, now)
            case _:
                typing.assert_never(message)

    def _apply_watch_update(
        self, watch_update: messages.WatchUpdate, now: float
    ) -> None:
        self._platform_heard_s = now
        if watch_update.config is not self._config:
            self._config = watch_update.config
            self._table_dirty = True
            self._views.clear()
        for version, partition in watch_update.partitions:
            self._apply_event(
                partition.name, authority.ObjectReceived(partition, version)
            )

    def _record_delegation(
        self, delegation: messages.DelegationReceived, now: float
    ) -> None:
        """Extends the delegation of homes from when it was requested.

        Answers to unknown requests and for other versions are ignored.
        """
        request_sent_s = self._delegation_sent_s.pop(
            (delegation.name, delegation.nonce), None
        )
        if request_sent_s is None:
            return
        delegated_until_s = request_sent_s + delegation.duration_s
        for name, home in self._homes.items():
            if (
                home.partition == delegation.name
                and home.version == delegation.version
            ):
                self._homes[name] = dataclasses.replace(
                    home,
                    delegated_until_s=max(
                        home.delegated_until_s, delegated_until_s
                    ),
                )
        if delegated_until_s > now:
            self._send_homes()

    def _record_server_status(
        self, message: messages.StatusReceived, now: float
    ) -> None:
        home = self._homes.get(message.server)
        if home is None:
            return
        previous = home
        home = grants.record_response(
            home, message.request, message.status, now, sent_s=message.sent_s
        )
        self._homes[message.server] = home
        if home.granted_slices != previous.granted_slices:
            self._send_homes()
        elif home.acknowledged_until_s != previous.acknowledged_until_s:
            self._homes_dirty = True
        # After a probe, the grant follows at once if there is one. Without a
        # delegation there is none, and another probe would start a loop that
        # is as fast as the server answers.
        if (
            message.request is None
            and grants.next_grant(home, now, self._timings) is not None
        ):
            self._send_grant_or_probe(home, now)

    # Partition state machines

    def _view(self, name: str, now: float) -> authority.ClusterView:
        """Returns the cluster view of a partition's group.

        It is cached until the next tick or change of the configuration, so
        that membership is evaluated once a tick.
        """
        view = self._views.get(name)
        if view is None:
            view = self._views[name] = self._build_view(name, now)
        return view

    def _build_view(self, name: str, now: float) -> authority.ClusterView:
        group_name = name.rsplit(".", 1)[0]
        config = self._config
        return authority.ClusterView(
            next(g for g in config.groups if g.name == group_name),
            tuple(s for s in config.servers if s.group == group_name),
            config.zones,
            self._members(now),
            now - self._platform_heard_s < _PLATFORM_TIMEOUT_S,
        )

    def _members(self, now: float) -> dict[str, authority.Member]:
        """Returns the members, which all cached views share."""
        for view in self._views.values():
            return view.members
        own_heartbeat = membership.HeartbeatRecord(
            self._incarnation, self._vm.availability_zone, self._sequence, now
        )
        return membership.build_members(
            {**self._heartbeats, self._incarnation.vm: own_heartbeat},
            self._config.vms,
            self._config.zones,
            now,
        )

    def _apply_event(self, name: str, event: authority.Event) -> None:
        """Steps the state machine of a partition and executes its commands."""
        now = self._sim.now
        state = self._partition_states.get(name)
        if state is None:
            state = decisions.initial_state(self._incarnation, name)
        previous = state
        state, commands = decisions.step(
            state,
            event,
            now,
            self._view(name, now),
            self._timings,
            f"{self._vm.name}.{next(self._sim.ids)}",
            self._safety,
        )
        self._partition_states[name] = state
        if state.version != previous.version:
            self._apply_partition(name, state)
        for command in commands:
            self._execute_command(name, state, command)

    def _execute_command(
        self, name: str, state: authority.State, command: authority.Command
    ) -> None:
        event: authority.Event
        match command:
            case authority.SendRenewRequest(to=to, epoch=epoch, nonce=nonce):
                event = authority.RenewRequestReceived(
                    self._incarnation, epoch, nonce
                )
                self._send_event(to.vm, name, event)
            case authority.SendPromise(to=to, epoch=epoch, nonce=nonce):
                event = authority.PromiseReceived(
                    self._incarnation, epoch, nonce
                )
                self._send_event(to.vm, name, event)
            case authority.SendResignation(to=to, epoch=epoch):
                event = authority.ResignationReceived(self._incarnation, epoch)
                self._send_event(to.vm, name, event)
            case authority.SendDelegation() as delegation:
                self._send(
                    delegation.to.vm,
                    messages.DelegationReceived(
                        delegation.nonce,
                        name,
                        delegation.version,
                        delegation.duration_s,
                    ),
                )
            case authority.SendObject(to=to):
                self._send_object(to.vm, name, state)
            case authority.WritePartition(update=update):
                self._write_partition(name, update)
            case authority.BroadcastObject():
                if decisions.is_holder(state):
                    for vm in self._config.vms:
                        if vm != self._vm.name:
                            self._send_object(vm, name, state)
            case _:
                typing.assert_never(command)

    def _write_partition(
        self, name: str, update: authority.PendingUpdate
    ) -> None:
        """Sends an update to the platform and starts its timeout."""
        self._sim.send(
            self._name,
            simulation.PLATFORM,
            messages.WritePartition(name, update, self._name),
        )
        self._sim.deliver_after(
            self._timings.update_timeout_s,
            self._name,
            messages.PartitionEvent(
                name, authority.UpdateOutcomeUnknown(update.operation_id)
            ),
        )

    def _send_object(self, vm: str, name: str, state: authority.State) -> None:
        if state.partition is not None:
            event = authority.ObjectReceived(state.partition, state.version)
            self._send_event(vm, name, event)

    def _send_event(self, vm: str, name: str, event: authority.Event) -> None:
        self._send(vm, messages.PartitionEvent(name, event))

    def _send(self, vm: str, message: messages.ToKeeper) -> None:
        if vm == self._vm.name:
            self._sim.deliver_after(0, self._name, message)
        else:
            self._sim.send(self._name, f"keeper.{vm}", message)

    def _apply_partition(self, name: str, state: authority.State) -> None:
        """Updates the homes on this VM after a new version of a partition."""
        partition = state.partition
        if partition is None:
            return
        self._table_dirty = True
        servers = {s.name: s for s in self._config.servers}
        home_servers = {
            s
            for s, vm in partition.homes.items()
            if vm == self._vm.name and s in servers
        }
        self._homes = {
            n: h
            for n, h in self._homes.items()
            if h.partition != name or n in home_servers
        }
        for server in sorted(home_servers):
            home = self._homes.get(server)
            if home is None:
                home = self._new_home(name, servers[server])
            self._homes[server] = grants.apply_partition(
                home, partition, state.version, self._sim.wall_clock_s
            )
        self._send_homes()

    def _new_home(
        self, partition: str, server: schemas.BackendServer
    ) -> grant_models.HomeState:
        group = next(g for g in self._config.groups if g.name == server.group)
        match group.routing:
            case schemas.Keyed(checks_grants=checks_grants):
                is_keyed = True
            case schemas.Unkeyed():
                is_keyed, checks_grants = False, False
        return grant_models.HomeState(
            server,
            partition,
            0,
            checks_grants,
            is_keyed,
            self._sim.now,
            self._sim.wall_clock_s,
        )

    # Periodic work

    def _tick(self, now: float) -> None:
        """Does the periodic work, and sends the router what has changed."""
        self._sim.deliver_after(_TICK_INTERVAL_S, self._name, _TICK)
        self._views.clear()
        for group in self._config.groups:
            for index in range(group.routing.partitions):
                self._apply_event(f"{group.name}.{index}", authority.Tick())
        if now >= self._next_heartbeat_s:
            self._next_heartbeat_s = now + self._timings.renew_s
            self._send_heartbeats(now)
            self._request_delegations(now)
        for home in tuple(self._homes.values()):
            self._tick_home(home, now)
        if self._table_dirty:
            self._table_dirty = False
            self._send_table()
            self._homes_dirty = True
        if self._homes_dirty:
            self._send_homes()

    def _tick_home(self, home: grant_models.HomeState, now: float) -> None:
        """Sends the due grant or probe of a home, and its slice releases.

        While slices move, a grant or probe is due on each tick.
        """
        due_s = home.last_request_s + self._timings.renew_s
        if now >= due_s or (
            home.moving_slices and now >= home.last_request_s + _TICK_INTERVAL_S
        ):
            self._send_grant_or_probe(home, now)
        for release in grants.find_releases(
            home, now, self._timings, self._safety
        ):
            event = authority.SlicesReleased(
                self._incarnation,
                home.version,
                home.server.name,
                release.slices,
                release.confirmed,
            )
            for vm in self._holder_and_standby(home.partition):
                self._send_event(vm, home.partition, event)

    def _send_grant_or_probe(
        self, home: grant_models.HomeState, now: float
    ) -> None:
        request: backendapi.GrantRequest | None = grants.next_grant(
            home, now, self._timings
        )
        self._homes[home.server.name] = grants.record_request(
            home, request, now
        )
        self._sim.send(
            self._name,
            home.server.name,
            messages.GrantOrProbe(request, self._name, now),
        )

    def _send_heartbeats(self, now: float) -> None:
        """Sends all other keepers a heartbeat with this keeper's epochs."""
        self._sequence += 1
        epochs = tuple(
            (name, state.partition.epoch)
            for name, state in self._partition_states.items()
            if state.partition is not None
            and (
                decisions.is_holder(state)
                or decisions.is_standby(state)
                or self._incarnation in state.partition.unresolved
            )
        )
        heartbeat = membership.HeartbeatRecord(
            self._incarnation, self._vm.availability_zone, self._sequence, now
        )
        for vm in self._config.vms:
            if vm != self._vm.name:
                self._send(vm, messages.HeartbeatReceived(heartbeat, epochs))

    def _request_delegations(self, now: float) -> None:
        """Requests a delegation per partition from holder and standby."""
        lease_s = self._timings.lease_s
        self._delegation_sent_s = {
            k: s
            for k, s in self._delegation_sent_s.items()
            if s > now - lease_s
        }
        by_partition: dict[str, list[grant_models.HomeState]] = {}
        for home in self._homes.values():
            by_partition.setdefault(home.partition, []).append(home)
        for name, homes in by_partition.items():
            self._nonce += 1
            self._delegation_sent_s[(name, self._nonce)] = now
            event = authority.DelegationRequested(
                self._incarnation,
                self._nonce,
                homes[0].version,
                tuple(
                    (
                        h.server.name,
                        grants.is_healthy(h, now, self._timings),
                        h.instance,
                    )
                    for h in homes
                ),
                self._slice_loads.busiest((h.server.name for h in homes), now),
            )
            for vm in self._holder_and_standby(name):
                self._send_event(vm, name, event)

    def _holder_and_standby(self, name: str) -> tuple[str, ...]:
        """Returns the VMs of a partition's holder and standby, if known."""
        state = self._partition_states.get(name)
        if state is None or state.partition is None:
            return ()
        holder_and_standby = (state.partition.holder, state.partition.standby)
        return tuple(i.vm for i in holder_and_standby if i is not None)

    # Messages to the router

    def _send_table(self) -> None:
        self._table_sequence += 1
        config = self._config
        update = peers.TableUpdate(
            self._table_sequence,
            config.groups,
            config.servers,
            tuple(config.zones.values()),
            tuple(
                schemas.Selector(g.name, f"/{g.name}/", g.name)
                for g in config.groups
            ),
            tuple(config.vms.values()),
            tuple(
                (s.version, s.partition)
                for s in self._partition_states.values()
                if s.partition is not None
            ),
        )
        self._sim.deliver_after(
            0, self._router_name, messages.TableUpdated(table.build(update))
        )

    def _send_homes(self) -> None:
        self._homes_dirty = False
        self._sim.deliver_after(
            0,
            self._router_name,
            messages.HomesUpdated(
                tuple(grants.build_home_server(h) for h in self._homes.values())
            ),
        )


_TICK = messages.TickDue()
