"""Decides whether this gateway watches the store or follows a watcher."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import logging

import result

from berylweir.gateway import messages as gateway
from berylweir.gateway import models
from berylweir.gateway.peers import exceptions
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.peers import task as peer_task
from berylweir.gateway.replication import change_feed
from berylweir.gateway.replication import codec
from berylweir.gateway.replication import messages
from berylweir.gateway.replication import task as replication
from berylweir.gateway.replication import upstreams
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
# Slots of the two upstreams. The primary one sends the changes; the standby one
# only says which kinds changed, so that changes aren't sent twice.
_PRIMARY, _STANDBY = range(2)
# Time for the primary upstream to send changes that the standby one knows of,
# in seconds; longer than the delay after which a kind is watched again.
_STANDBY_DELAY_S = 0.9
# Time without an answer of a current upstream after which this gateway watches
# the store itself, in seconds. A configuration must be in force 2.5 s after it
# was written.
_STALE_TIMEOUT_S = 1.3
# The same after the start, until all kinds are known, in seconds.
_INITIAL_TIMEOUT_S = 0.3
# Longest time to wait for the registration of this gateway before the others
# are read, in seconds: its own object tells which others are older.
_REGISTRATION_WAIT_S = 0.5


class ReplicationCoordinator:
    """Polls two upstreams for changes, or makes the replicas watch the store.

    The replicas watch the store if this gateway is one of the watchers, or if
    no upstream has answered for too long.
    """

    def __init__(
        self,
        local_vm: models.Vm,
        client: peer_task.PeerClient,
        replicas: Mapping[str, replication.Replica],
        registration_attempted: asyncio.Event,
        metrics: counters.Counters,
    ) -> None:
        """Creates a coordinator that knows no other gateway yet.

        Args:
            local_vm: This gateway.
            client: Client that sends requests to other gateways.
            replicas: Replicas of this gateway by kind.
            registration_attempted: Event that is set once this gateway has
                tried to register.
            metrics: Counters.
        """
        self._client = client
        self._replicas = replicas
        self._registration_attempted = registration_attempted
        self._metrics = metrics
        self._upstreams = upstreams.UpstreamSelector(local_vm)
        self._waiters: set[asyncio.Future[None]] = set()
        self._last_contact_s = float("-inf")
        self._active_upstreams: dict[int, models.Vm] = {}
        self._modes: dict[str, messages.ReplicaMode] = {}
        self._received_revisions: dict[str, int] = {}
        self._failed_primary_polls = 0
        self._is_watching: bool | None = None

    @property
    def is_current(self) -> bool:
        """Whether the replicas are current, by the store or an upstream."""
        return self._store_probe.is_current or not self._is_stale()

    def on_store_update(self, message: gateway.StoreUpdate) -> None:
        """Ranks the registered gateways anew."""
        match message:
            case gateway.VmsChanged(vms):
                self._upstreams.update_vms(vms)
                self.notify()
            case _:
                pass

    def notify(self) -> None:
        """Decides again, since a replica has changed."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def run(self, context: supervision.ChildContext) -> None:
        """Polls the upstreams and sets the modes until the child is stopped."""
        context.report_ready()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_REGISTRATION_WAIT_S):
                await self._registration_attempted.wait()
        self._last_contact_s = self._now_s()
        async with asyncio.TaskGroup() as group:
            # Both slots are polled concurrently, so that the loss of one
            # upstream causes no delay.
            group.create_task(
                self._poll_upstreams(_PRIMARY, self._poll_changes)
            )
            group.create_task(
                self._poll_upstreams(_STANDBY, self._poll_revisions)
            )
            while True:
                self._post_modes()
                await self._wait_for_change()

    async def _wait_for_change(self, until_s: float | None = None) -> None:
        """Waits until a decision of this task may change.

        That is when a replica or the registered gateways change, an upstream
        answers differently, may be asked again, or has been silent for too
        long.

        Args:
            until_s: Longest time to wait until, on the event loop's clock, in
                seconds; None for no limit.
        """
        now_s = self._now_s()
        deadlines_s = [until_s, self._upstreams.next_change_s(now_s)]
        if not self._is_stale():
            deadlines_s.append(self._last_contact_s + self._stale_limit_s())
        waiter: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters.add(waiter)
        try:
            async with asyncio.timeout_at(
                min((t for t in deadlines_s if t is not None), default=None)
            ):
                await waiter
        except TimeoutError:
            pass  # The decision is due.
        finally:
            self._waiters.discard(waiter)

    def _post_modes(self) -> None:
        """Posts each replica its mode if it changed."""
        is_watching = self._upstreams.is_watcher(self._now_s()) or (
            self._is_stale()
        )
        if is_watching != self._is_watching:
            self._is_watching = is_watching
            _LOGGER.info(
                "watching the store" if is_watching else "following gateways",
                extra={
                    "sources": sorted(
                        vm.name for vm in self._active_upstreams.values()
                    ),
                    "silence_s": round(self._now_s() - self._last_contact_s, 2),
                },
            )
        for kind, replica in self._replicas.items():
            mode = self._mode_for(kind, is_watching=is_watching)
            if mode != self._modes.get(kind):
                self._modes[kind] = mode
                replica.inbox.post(mode)

    def _mode_for(
        self, kind: str, *, is_watching: bool
    ) -> messages.ReplicaMode:
        if kind == objects.GATEWAY_KIND and not self._upstreams.has_gateways:
            return messages.WatchStore()
        if not is_watching:
            return messages.FollowPeers()
        # Only the configuration's replica retries calls to a store that
        # doesn't answer.
        if (
            kind != objects.CONFIGURATION_KIND
            and self._store_probe.is_store_lost
        ):
            return messages.AwaitStore()
        return messages.WatchStore()

    @property
    def _store_probe(self) -> replication.Replica:
        """The replica whose calls show whether the store answers."""
        return self._replicas[objects.CONFIGURATION_KIND]

    def _is_stale(self) -> bool:
        return self._now_s() >= self._last_contact_s + self._stale_limit_s()

    def _stale_limit_s(self) -> float:
        return (
            _STALE_TIMEOUT_S if self._are_all_loaded() else _INITIAL_TIMEOUT_S
        )

    def _are_all_loaded(self) -> bool:
        return all(replica.is_loaded for replica in self._replicas.values())

    def _needs_upstream(self, slot: int) -> bool:
        if slot == _STANDBY and not self._are_all_loaded():
            return False
        if not self._upstreams.is_watcher(self._now_s()):
            return True
        return self._store_probe.is_store_lost

    async def _poll_upstreams(
        self, slot: int, poll: Callable[[models.Vm], Awaitable[None]]
    ) -> None:
        while True:
            vm = None
            if self._needs_upstream(slot):
                vm = self._upstreams.choose(
                    self._now_s(),
                    slot=slot,
                    in_use=self._active_upstreams.values(),
                )
            if vm is None:
                await self._wait_for_change()
                continue
            self._active_upstreams[slot] = vm
            try:
                await poll(vm)
            finally:
                del self._active_upstreams[slot]

    async def _poll_changes(self, vm: models.Vm) -> None:
        """Requests changes from an upstream and posts them to the replicas."""
        request = peers.GetChanges(self._known_revisions())
        reply = await self._client.ask(
            vm, request, max_hold_s=change_feed.MAX_HOLD_S
        )
        match reply:
            case result.Ok(peers.Changes(True)):
                pass
            case _:
                self._failed_primary_polls += 1
        self._handle_reply(vm, reply)

    async def _poll_revisions(self, vm: models.Vm) -> None:
        """Asks an upstream which kinds changed.

        Requests the changes only if the primary upstream didn't send them in
        the meantime.
        """
        request = peers.GetChangedRevisions(self._known_revisions())
        reply = await self._client.ask(
            vm, request, max_hold_s=change_feed.MAX_HOLD_S
        )
        self._handle_reply(vm, reply)
        match reply:
            case result.Ok(peers.ChangedRevisions(True, revisions)) if (
                revisions and not await self._primary_sends(revisions)
            ):
                await self._poll_changes(vm)
            case _:
                pass

    async def _primary_sends(self, revisions: Mapping[str, int]) -> bool:
        """Returns whether the primary upstream sends changes soon.

        Doesn't wait any longer once it answers that it isn't current.

        Args:
            revisions: Revisions up to which the changes of each kind reach.
        """
        until_s = self._now_s() + _STANDBY_DELAY_S
        failed_polls = self._failed_primary_polls
        while True:
            known = self._known_revisions()
            if all(known[kind] >= revisions[kind] for kind in revisions):
                return True
            if (
                self._now_s() >= until_s
                or self._failed_primary_polls != failed_polls
            ):
                return False
            await self._wait_for_change(until_s)

    def _known_revisions(self) -> dict[str, int]:
        """Returns the revision up to which each kind was received.

        Includes changes that are still in the inbox of a replica.
        """
        return {
            kind: max(replica.revision, self._received_revisions.get(kind, 0))
            for kind, replica in self._replicas.items()
        }

    def _handle_reply(
        self,
        vm: models.Vm,
        reply: result.Result[peers.Reply, exceptions.PeerFailure],
    ) -> None:
        match reply:
            case result.Ok(peers.Changes(True, kinds)):
                self._record_contact(vm)
                for changes in kinds:
                    self._post_changes(vm, changes)
            case result.Ok(peers.ChangedRevisions(True)):
                self._record_contact(vm)
            case result.Ok(_):
                self._upstreams.record_not_current(vm, self._now_s())
                self.notify()
            case result.Err(failure):
                self._upstreams.record_failure(vm, self._now_s())
                _LOGGER.warning(
                    "source silent",
                    extra={"source": vm.name, "failure": failure},
                )
                self.notify()

    def _record_contact(self, vm: models.Vm) -> None:
        """Records an answer of a gateway that knows the store's state."""
        was_stale = self._is_stale()
        self._last_contact_s = self._now_s()
        if self._upstreams.record_current(vm) or was_stale:
            self.notify()

    def _post_changes(self, vm: models.Vm, changes: peers.KindChanges) -> None:
        replica = self._replicas.get(changes.kind)
        if replica is None:
            return
        self._metrics.count(f"relay.told.{changes.kind}")
        match codec.decode_changes(vm, changes):
            case result.Ok(received):
                self._received_revisions[changes.kind] = max(
                    changes.revision,
                    self._received_revisions.get(changes.kind, 0),
                )
                replica.inbox.post(received)
            case result.Err(failure):
                self._upstreams.record_failure(vm, self._now_s())
                _LOGGER.warning(
                    "undecodable message",
                    extra={"source": vm.name, "failure": failure},
                )

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
