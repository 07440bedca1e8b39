"""The task that owns the state of all backend servers on this VM."""

import asyncio
from collections.abc import Mapping
import dataclasses
import random
import typing

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import budget
from berylweir.gateway.dispatch import cold
from berylweir.gateway.dispatch import decisions
from berylweir.gateway.dispatch import models as dispatch
from berylweir.gateway.dispatch import reach
from berylweir.observability import counters
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_MAILBOX = 10_000  # messages; far more than a VM has requests at a time
# Part of a server's connections that the VMs share out.
_CONNECTION_SHARE = 0.8
# Retry-After of a refusal when nothing better is known, in seconds.
_RETRY_AFTER_S = 0.25
# Retry-After while the owner of a key can't be reached, in seconds. Its grant
# lapses after up to 3 s; callers wait for a third of their time at most.
_LOST_S = 1.0
# Longest sleep between two looks at waiting requests, in seconds. Estimates of
# load fall with time, so a place may come free without a message.
_RECHECK_S = 0.02

Inbox = mailbox.Mailbox[messages.DispatcherMessage]
_Reason = messages.RefusalReason


def create_inbox() -> Inbox:
    """Returns the mailbox of the dispatcher."""
    return mailbox.Mailbox("dispatcher", _MAILBOX)


@dataclasses.dataclass(slots=True)
class _Group:
    settings: models.ServerGroup
    budget: budget.RetryBudget
    table: models.KeyTable | None = None
    keys: list[int] = dataclasses.field(default_factory=list)


class Dispatcher:
    """Chooses servers, lends their connections and keeps the limits."""

    def __init__(
        self,
        environment: models.Environment,
        inbox: Inbox,
        metrics: counters.Counters,
    ) -> None:
        """Creates the dispatcher.

        Args:
            environment: What the platform says of this VM.
            inbox: Mailbox with its messages.
            metrics: Counters.
        """
        self._vm = environment.vm
        self._zone = environment.availability_zone
        self._bounds = environment.bounds
        self._inbox = inbox
        self._metrics = metrics
        self._random = random.Random(environment.vm)
        self._configuration: models.Configuration | None = None
        self._groups: dict[str, _Group] = {}
        self._servers: dict[models.ServerInstance, dispatch.ServerState] = {}
        self._members: dict[str, list[dispatch.ServerState]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._vms: Mapping[str, models.Vm] = {}
        self._waiting: list[messages.PlaceRequest] = []
        self._reach = reach.Reach()
        # By name of the server and rate that it tolerates.
        self._cold_shares: dict[tuple[str, float], cold.ColdShare] = {}

    async def run(self, context: supervision.ChildContext) -> None:
        """Handles messages until the supervisor stops the child."""
        context.stack.callback(self._close_connections)
        context.ready()
        while True:
            try:
                async with asyncio.timeout(
                    _RECHECK_S if self._waiting else None
                ):
                    message = await self._inbox.get()
            except TimeoutError:
                self._retry_waiting()
                continue
            self._handle(message)
            if self._waiting and not isinstance(message, messages.PlaceRequest):
                self._retry_waiting()

    def _handle(self, message: messages.DispatcherMessage) -> None:
        match message:
            case messages.PlaceRequest():
                self._place(message)
            case messages.AttemptFinished():
                self._finish(message)
            case messages.ConfigurationChanged(configuration):
                self._configure(configuration)
            case messages.ServersChanged(servers):
                self._update_servers(servers)
            case messages.EvacuationsChanged(zones):
                self._evacuated = zones
            case messages.KeyTableChanged(table):
                group = self._groups.get(table.group)
                if group is not None and (
                    group.table is None or group.table.revision < table.revision
                ):
                    group.table = table
            case messages.VmsChanged(vms):
                self._vms = vms
                self._cold_shares.clear()
            case messages.LeaseChanged():
                pass
            case messages.CollectKeyUsage(reply):
                if not reply.done():
                    reply.set_result(self._take_key_use())
            case _:
                typing.assert_never(message)

    # What is known

    def _configure(self, configuration: models.Configuration) -> None:
        self._configuration = configuration
        bounds = self._bounds
        for name, settings in configuration.groups.items():
            group = self._groups.get(name)
            if group is not None:
                group.settings = settings
                continue
            self._groups[name] = _Group(
                settings,
                budget.RetryBudget(
                    bounds.retry_ratio,
                    bounds.retry_slack,
                    bounds.retry_window_s,
                ),
            )

    def _update_servers(
        self, servers: Mapping[str, models.BackendServer]
    ) -> None:
        now_s = self._now_s()
        lives = {server.instance: server for server in servers.values()}
        for life in [known for known in self._servers if known not in lives]:
            self._servers.pop(life).idle.close()
        self._reach.keep(lives)
        for life, server in lives.items():
            state = self._servers.get(life)
            if state is None:
                state = dispatch.ServerState(server)
                self._servers[life] = state
                if server.cold_ms > 0:
                    state.cold_until_s = now_s + server.cold_ms / 1000.0
            elif server.revision > state.server.revision:
                if server.cold_ms > 0:
                    state.cold_until_s = now_s + server.cold_ms / 1000.0
                state.server = server
            if server.is_draining:
                state.idle.close()
        self._members = {}
        for state in self._servers.values():
            self._members.setdefault(state.server.group, []).append(state)

    def _take_key_use(self) -> messages.KeyUsage:
        keys = {}
        for name, group in self._groups.items():
            if group.keys:
                keys[name] = tuple(group.keys)
                group.keys.clear()
        servers = {}
        for state in self._servers.values():
            if state.served or state.failed:
                servers[state.server.name] = messages.ServerUsage(
                    state.served, state.failed, state.service_ms
                )
                state.served = state.failed = 0
        return messages.KeyUsage(self._vm, keys, servers)

    # Requests

    def _place(self, message: messages.PlaceRequest) -> None:
        wanted = message.requirements
        group = self._groups.get(wanted.group)
        now_s = self._now_s()
        if group is None:
            self._refuse(message, _not_placed(_Reason.NO_SERVER))
            return
        if not wanted.is_retry:
            group.budget.count_request(now_s)
            if group.settings.is_keyed and wanted.key is not None:
                group.keys.append(wanted.key)
        found = self._try(message, now_s)
        if found is None:
            return
        if _is_hopeless(wanted, found, now_s):
            self._refuse(message, found)
            return
        self._waiting.append(message)
        self._waiting.sort(key=_urgency)

    def _retry_waiting(self) -> None:
        now_s = self._now_s()
        still: list[messages.PlaceRequest] = []
        for message in self._waiting:
            if message.reply.done():
                continue
            found = self._try(message, now_s)
            if found is None:
                continue
            if _is_hopeless(message.requirements, found, now_s):
                self._refuse(message, found)
            else:
                still.append(message)
        self._waiting = still

    def _try(
        self, message: messages.PlaceRequest, now_s: float
    ) -> messages.NotPlaced | None:
        """Places a request, or returns why it can't be placed now."""
        wanted = message.requirements
        if message.reply.done():
            return None
        group = self._groups[wanted.group]
        if group.settings.is_keyed and wanted.key is not None:
            return self._try_owner(message, group, wanted.key, now_s)
        return self._try_any(message, group, now_s)

    def _try_owner(
        self,
        message: messages.PlaceRequest,
        group: _Group,
        key: int,
        now_s: float,
    ) -> messages.NotPlaced | None:
        owner = (
            decisions.owner_of(group.table, key)
            if group.table is not None
            else None
        )
        state = self._servers.get(owner) if owner is not None else None
        if (
            owner is not None
            and owner == message.requirements.rejecting_instance
        ):
            return _not_placed(_Reason.NO_OWNER)
        if state is None or not self._is_usable(state):
            return _not_placed(_Reason.NO_OWNER)
        if not self._reach.may_try(state.server, now_s):
            return messages.NotPlaced(_Reason.UNREACHABLE, _LOST_S)
        if not self._may_send(state, group.settings, now_s):
            return _not_placed(_Reason.COLD)
        if decisions.is_full(state, now_s):
            return _not_placed(_Reason.FULL, decisions.room_s(state, now_s))
        return self._send(message, state, group, now_s)

    def _try_any(
        self, message: messages.PlaceRequest, group: _Group, now_s: float
    ) -> messages.NotPlaced | None:
        wanted = message.requirements
        members = self._members.get(wanted.group, [])
        sample = decisions.sample(members, self._random)
        usable = [s for s in sample if self._is_usable(s)] or [
            s for s in members if self._is_usable(s)
        ]
        if not usable:
            return _not_placed(_Reason.NO_SERVER)
        warm = [s for s in usable if self._may_send(s, group.settings, now_s)]
        if not warm:
            return _not_placed(_Reason.COLD)
        found = [
            s for s in warm if self._reach.may_try(s.server, now_s)
        ] or warm
        fresh = [
            s for s in found if s.server.instance not in wanted.tried_instances
        ] or found
        state = decisions.choose(
            fresh,
            self._zone,
            now_s,
            self._random,
            goal_ms=wanted.goal_ms,
            is_download=wanted.is_download,
        )
        if state is None:
            room_s = min(decisions.room_s(s, now_s) for s in fresh)
            return _not_placed(_Reason.FULL, room_s)
        return self._send(message, state, group, now_s)

    def _is_usable(self, state: dispatch.ServerState) -> bool:
        server = state.server
        return (
            not server.is_draining
            and server.availability_zone not in self._evacuated
        )

    def _may_send(
        self,
        state: dispatch.ServerState,
        settings: models.ServerGroup,
        now_s: float,
    ) -> bool:
        if state.cold_until_s <= now_s or settings.cold_per_s <= 0:
            return True
        return (
            state.pacer.wait_s(now_s) <= 0
            and self._cold_share(state, settings).rate > 0
        )

    def _cold_share(
        self, state: dispatch.ServerState, settings: models.ServerGroup
    ) -> cold.ColdShare:
        key = (state.server.name, settings.cold_per_s)
        share = self._cold_shares.get(key)
        if share is None:
            share = cold.share_of(
                self._vm,
                self._vms.keys(),
                state.server.name,
                settings.cold_per_s,
                self._bounds.cold_slack,
            )
            self._cold_shares[key] = share
        return share

    def _send(
        self,
        message: messages.PlaceRequest,
        state: dispatch.ServerState,
        group: _Group,
        now_s: float,
    ) -> messages.NotPlaced | None:
        """Hands out a server, or returns why a repeat may not be sent."""
        if message.requirements.is_retry and not group.budget.take_repeat(
            now_s, len(self._vms)
        ):
            return _not_placed(_Reason.RETRY_BUDGET)
        settings = group.settings
        if state.cold_until_s > now_s and settings.cold_per_s > 0:
            state.pacer.take(now_s, self._cold_share(state, settings).rate)
        placement = messages.Placement(
            state.server,
            state.idle.take(
                now_s, is_repeatable=message.requirements.is_idempotent
            ),
            now_s,
            state.load(now_s),
        )
        state.begin()
        self._reach.tried(state.server, now_s)
        message.reply.set_result(placement)
        return None

    def _refuse(
        self, message: messages.PlaceRequest, found: messages.NotPlaced
    ) -> None:
        self._metrics.count(f"gateway.refused.{found.reason.value}")
        if not message.reply.done():
            message.reply.set_result(found)

    def _finish(self, message: messages.AttemptFinished) -> None:
        now_s = self._now_s()
        state = self._servers.get(message.placement.server.instance)
        connection = message.connection
        if state is None:
            if connection is not None:
                connection.close()
            return
        state.end(message, now_s, max(1, len(self._vms)))
        self._reach.see(state.server, message.attempt_result, now_s)
        if connection is None:
            return
        if state.server.is_draining:
            connection.close()
            return
        state.idle.add(
            connection,
            now_s,
            message.idle_s,
            self._connection_cap(state.server),
        )

    # Connections

    def _connection_cap(self, server: models.BackendServer) -> int:
        group = self._groups.get(server.group)
        if group is None:
            return 1
        shared = _CONNECTION_SHARE * group.settings.max_connections
        return max(1, int(shared / max(1, len(self._vms))))

    def _close_connections(self) -> None:
        for state in self._servers.values():
            state.idle.close()

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()


def _not_placed(reason: _Reason, room_s: float = 0.0) -> messages.NotPlaced:
    return messages.NotPlaced(reason, max(_RETRY_AFTER_S, room_s), room_s)


def _is_hopeless(
    wanted: messages.ServerRequirements, found: messages.NotPlaced, now_s: float
) -> bool:
    """Returns whether a request would wait in vain."""
    if found.reason in (_Reason.RETRY_BUDGET, _Reason.UNREACHABLE):
        return True
    if found.reason is _Reason.NO_OWNER:
        return wanted.owner_wait_deadline_s <= now_s
    return wanted.queue_deadline_s <= now_s + found.capacity_wait_s


def _urgency(message: messages.PlaceRequest) -> tuple[int, float]:
    return (
        message.requirements.priority,
        message.requirements.queue_deadline_s,
    )
