"""Decides whether this gateway watches the store or follows those that do."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import logging

import result

from berylweir.gateway import messages as gateway
from berylweir.gateway import models
from berylweir.gateway.followers import feed
from berylweir.gateway.followers import messages
from berylweir.gateway.followers import sharing
from berylweir.gateway.followers import sources
from berylweir.gateway.followers import task as followers
from berylweir.gateway.peers import exceptions
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.peers import task as peer_task
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
# Numbers of the two gateways that are followed.
_SOURCE, _SPARE = range(2)
# Time for the source to tell of changes that the spare one knows, in seconds;
# longer than the pause after which a kind is watched again.
_SPARE_S = 0.9
# Time without news from any source after which this gateway watches the store
# itself, in seconds. Configuration must be in force 2.5 s after its change.
_STALE_S = 1.3
# The same while this gateway knows nothing, after a start.
_START_S = 0.3
# Time to register before the other gateways are read, in seconds: the object
# of this one says which others are older.
_REGISTRATION_S = 0.5
# Pause before a source is sought again, in seconds.
_AGAIN_S = 0.1


class Relay:
    """Asks the gateways that watch the store, or has it watched here."""

    def __init__(
        self,
        me: models.Vm,
        client: peer_task.PeerClient,
        followed: Mapping[str, followers.Follower],
        registered: asyncio.Event,
        metrics: counters.Counters,
    ) -> None:
        """Creates a relay.

        Args:
            me: This gateway.
            client: Asks other gateways.
            followed: The followers of this gateway by kind.
            registered: Set once this gateway has tried to register.
            metrics: Counters.
        """
        self._client = client
        self._followed = followed
        self._registered = registered
        self._metrics = metrics
        self._sources = sources.Sources(me)
        self._changed = asyncio.Event()
        self._heard_s = float("-inf")
        self._taken: dict[int, models.Vm] = {}
        self._orders: dict[str, messages.Order] = {}
        self._received: dict[str, int] = {}
        self._is_watching: bool | None = None

    @property
    def is_in_touch(self) -> bool:
        """Whether this gateway knows the store's state, by itself or not."""
        return self._contact.is_current or not self._is_stale()

    def on_store_update(self, message: gateway.StoreUpdate) -> None:
        """Takes the registered gateways."""
        match message:
            case gateway.VmsChanged(vms):
                self._sources.see_vms(vms)
                self._changed.set()
            case _:
                pass

    def notify(self) -> None:
        """Looks again, since the store was lost or regained."""
        self._changed.set()

    async def run(self, context: supervision.ChildContext) -> None:
        """Decides and asks until the supervisor stops the child."""
        context.ready()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_REGISTRATION_S):
                await self._registered.wait()
        self._heard_s = self._now_s()
        async with asyncio.TaskGroup() as group:
            # The loss of one source delays nothing.
            group.create_task(self._follow(_SOURCE, self._ask))
            group.create_task(self._follow(_SPARE, self._ask_spare))
            while True:
                self._changed.clear()
                self._decide()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(_AGAIN_S):
                        await self._changed.wait()

    def _decide(self) -> None:
        """Tells each follower whether to watch the store."""
        is_watching = self._sources.is_watcher(self._now_s()) or (
            self._is_stale()
        )
        if is_watching != self._is_watching:
            self._is_watching = is_watching
            _LOGGER.info(
                "watching the store" if is_watching else "following gateways",
                extra={
                    "sources": sorted(vm.name for vm in self._taken.values()),
                    "silence_s": round(self._now_s() - self._heard_s, 2),
                },
            )
        for kind, follower in self._followed.items():
            order = self._order(kind, is_watching=is_watching)
            if order != self._orders.get(kind):
                self._orders[kind] = order
                follower.inbox.post(order)

    def _order(self, kind: str, *, is_watching: bool) -> messages.Order:
        if kind == objects.GATEWAY_KIND and not self._sources.are_known:
            return messages.WatchStore()
        if not is_watching:
            return messages.FollowGateways()
        # One kind seeks contact with a store that doesn't answer.
        if kind != objects.CONFIGURATION_KIND and self._contact.is_failing:
            return messages.AwaitStore()
        return messages.WatchStore()

    @property
    def _contact(self) -> followers.Follower:
        return self._followed[objects.CONFIGURATION_KIND]

    def _is_stale(self) -> bool:
        limit_s = _STALE_S if self._knows_all() else _START_S
        return self._now_s() - self._heard_s > limit_s

    def _knows_all(self) -> bool:
        return all(f.is_known for f in self._followed.values())

    def _needs_source(self, slot: int) -> bool:
        if slot == _SPARE and not self._knows_all():
            return False
        if not self._sources.is_watcher(self._now_s()):
            return True
        return self._contact.is_failing

    async def _follow(
        self, slot: int, ask: Callable[[models.Vm], Awaitable[None]]
    ) -> None:
        while True:
            vm = None
            if self._needs_source(slot):
                vm = self._sources.choose(
                    self._now_s(), slot=slot, taken=self._taken.values()
                )
            if vm is None:
                await asyncio.sleep(_AGAIN_S)
                continue
            self._taken[slot] = vm
            try:
                await ask(vm)
            finally:
                del self._taken[slot]

    async def _ask(self, vm: models.Vm) -> None:
        """Follows a source."""
        request = peers.GetChanges(self._known())
        reply = await self._client.ask(vm, request, max_hold_s=feed.HOLD_S)
        self._take(vm, reply)

    async def _ask_spare(self, vm: models.Vm) -> None:
        """Follows a spare source: what the other one tells isn't sent twice."""
        request = peers.GetChangedRevisions(self._known())
        reply = await self._client.ask(vm, request, max_hold_s=feed.HOLD_S)
        self._take(vm, reply)
        match reply:
            case result.Ok(peers.ChangedRevisions(True, revisions)) if (
                revisions
            ):
                await asyncio.sleep(_SPARE_S)
                known = self._known()
                if any(known[kind] < revisions[kind] for kind in revisions):
                    await self._ask(vm)
            case _:
                pass

    def _known(self) -> dict[str, int]:
        """Returns the revision up to which each kind is known."""
        return {
            kind: max(follower.revision, self._received.get(kind, 0))
            for kind, follower in self._followed.items()
        }

    def _take(
        self,
        vm: models.Vm,
        reply: result.Result[peers.Reply, exceptions.PeerFailure],
    ) -> None:
        match reply:
            case result.Ok(peers.Changes(True, kinds)):
                self._sources.note_current(vm)
                self._heard_s = self._now_s()
                for changes in kinds:
                    self._receive(vm, changes)
            case result.Ok(peers.ChangedRevisions(True)):
                self._sources.note_current(vm)
                self._heard_s = self._now_s()
            case result.Ok(_):
                self._sources.note_unfit(vm, self._now_s())
            case result.Err(failure):
                self._sources.note_silent(vm, self._now_s())
                _LOGGER.warning(
                    "source silent",
                    extra={"source": vm.name, "failure": failure},
                )
        self._changed.set()

    def _receive(self, vm: models.Vm, changes: peers.KindChanges) -> None:
        follower = self._followed.get(changes.kind)
        if follower is None:
            return
        self._metrics.count(f"relay.told.{changes.kind}")
        match sharing.receive(vm, changes):
            case result.Ok(received):
                self._received[changes.kind] = max(
                    changes.revision, self._received.get(changes.kind, 0)
                )
                follower.inbox.post(received)
            case result.Err(failure):
                self._sources.note_silent(vm, self._now_s())
                _LOGGER.warning(
                    "undecodable message",
                    extra={"source": vm.name, "failure": failure},
                )

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
