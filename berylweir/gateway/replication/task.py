"""Task that keeps a replica of one kind of the store's objects."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import random

import result

from berylweir.gateway import skipped_objects
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.replication import change_log
from berylweir.gateway.replication import codec
from berylweir.gateway.replication import messages
from berylweir.gateway.replication import state
from berylweir.observability import counters
from berylweir.platform import exceptions
from berylweir.platform import store
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
# Base of the pause after a failed call to the store, in seconds. The pause
# doubles with each consecutive failure up to the maximum.
_BACKOFF_S = 0.1
_BACKOFF_MAX_S = 1.0
# Shortest outage of the store in which entries may expire because their writers
# can't renew them, in seconds.
_MIN_OUTAGE_S = 1.0

Publish = Callable[[list[store.StoredObject]], None]
Inbox = mailbox.Mailbox[messages.ReplicaMessage]


@dataclasses.dataclass(frozen=True, slots=True)
class WatchTiming:
    """Delays and timeouts of the watch of a kind.

    Attributes:
        batch_delay_s: Pause after a change before the next watch, in seconds;
            the changes made in the meantime are read by one call.
        wait_ms: Longest time for which the store holds a watch, in ms.
        response_timeout_s: Time for the store's answer in addition to that, in
            seconds.
    """

    batch_delay_s: float = 0.0
    wait_ms: int = store.WATCH_WAIT_MS
    response_timeout_s: float = store.CALL_TIMEOUT_S


class Replica:
    """Owns the store connection and the known objects of one kind.

    Depending on its mode it watches the store or waits for changes that other
    gateways send.
    """

    def __init__(
        self,
        kind: str,
        client: store.StoreClient,
        publish: Publish,
        on_change: Callable[[], None],
        metrics: counters.Counters,
        *,
        keeps_expired: bool = False,
        keeps_lost: bool = False,
        timing: WatchTiming = WatchTiming(),
    ) -> None:
        """Creates an empty replica that doesn't watch the store yet.

        Args:
            kind: Kind of the store's objects.
            client: Client of the store for the exclusive use of this task.
            publish: Function that is called with all objects after a change.
            on_change: Function that is called when the store is lost or
                regained, and after each change.
            metrics: Counters.
            keeps_expired: Whether to keep objects that are missing after an
                outage; for kinds whose objects expire unless renewed.
            keeps_lost: Whether to keep objects that are missing after a
                restoration of the store; for kinds whose writers write them
                again.
            timing: Delays and timeouts of the watch.
        """
        self._kind = kind
        self._client = client
        self._publish = publish
        self._on_change = on_change
        self._metrics = metrics
        self._skipped_objects = skipped_objects.SkippedObjects(metrics)
        self._timing = timing
        self._state = state.KindState(
            keeps_expired=keeps_expired, keeps_lost=keeps_lost
        )
        self._change_log = change_log.ChangeLog()
        self._inbox: Inbox = mailbox.Mailbox(f"follower.{kind}", 1000)
        self._mode: messages.ReplicaMode = messages.FollowPeers()
        self._watch_task: asyncio.Task[None] | None = None
        self._is_current = False
        self._store_lost_s: float | None = None
        self._removal_pending = asyncio.Event()
        # Encoded changes since a revision that other gateways know; the key
        # None is for all objects.
        self._encoded: dict[int | None, peers.CompressedChanges] = {}
        self._encoded_revision = 0

    @property
    def inbox(self) -> Inbox:
        """Mailbox for modes and for the changes that other gateways send."""
        return self._inbox

    @property
    def is_current(self) -> bool:
        """Whether the kind is watched here and the last call succeeded."""
        return self._is_current

    @property
    def is_store_lost(self) -> bool:
        """Whether the store stopped answering and hasn't answered since."""
        return self._store_lost_s is not None

    @property
    def is_loaded(self) -> bool:
        """Whether the kind was read at least once."""
        return self._state.is_loaded

    @property
    def revision(self) -> int:
        """Revision up to which the kind is known; 0 if it isn't."""
        return self._state.revision

    def has_changes_after(self, revision: int) -> bool:
        """Returns whether the kind changed, or may have, after a revision."""
        return self._change_log.has_changes_after(revision)

    def changes_after(self, revision: int) -> peers.KindChanges | None:
        """Returns the changes after a revision; None if there were none.

        Returns all objects if the change log doesn't reach back that far.
        """
        changes = self._change_log.changes_after(revision)
        is_whole = changes is None
        if changes is None:
            changes = [
                store.ObjectChange(stored_object, is_removed=False)
                for stored_object in self._state.stored_objects
            ]
        elif not changes:
            return None
        recovered_ago_s = self._now_s() - self._state.recovered_s
        return peers.KindChanges(
            self._kind,
            self._state.revision,
            is_whole,
            recovered_ago_s if recovered_ago_s < float("inf") else None,
            self._encode(None if is_whole else revision, changes),
        )

    def _encode(
        self, since: int | None, changes: list[store.ObjectChange]
    ) -> peers.CompressedChanges:
        """Encodes changes once for all gateways that know the same revision."""
        if self._encoded_revision != self._state.revision:
            self._encoded_revision = self._state.revision
            self._encoded.clear()
        encoded = self._encoded.get(since)
        if encoded is None:
            encoded = self._encoded[since] = codec.encode_changes(changes)
        return encoded

    async def run(self, context: supervision.ChildContext) -> None:
        """Keeps the replica until the supervisor stops the child."""
        context.stack.callback(self._client.close)
        context.stack.callback(self._stop_watching)
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._expire())
            self._apply_mode(group)
            while True:
                match await self._inbox.get():
                    case messages.PeerChanges() as peer_changes:
                        self._apply_peer_changes(peer_changes)
                    case mode:
                        self._mode = mode
                        self._apply_mode(group)

    # Watching the store

    def _apply_mode(self, group: asyncio.TaskGroup) -> None:
        match self._mode:
            case messages.WatchStore():
                if self._watch_task is None:
                    self._watch_task = group.create_task(self._watch_store())
            case messages.FollowPeers():
                self._stop_watching()
            case messages.AwaitStore():
                self._stop_watching()
                if self._store_lost_s is None:
                    self._store_lost_s = self._now_s()

    def _stop_watching(self) -> None:
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None
        self._is_current = False

    async def _watch_store(self) -> None:
        """Watches the kind until it is cancelled."""
        needs_list = not self._state.is_loaded
        if not needs_list:
            self._change_log.reset(self._state.revision)
        failures = 0
        while True:
            failure = await self._list() if needs_list else await self._watch()
            if failure is None:
                needs_list = False
                failures = 0
                continue
            failures += 1
            self._on_store_lost(failure)
            # After a failure the watch continues from the known revision,
            # unless the store's history doesn't reach back that far.
            needs_list = not self._state.is_loaded or isinstance(
                failure, exceptions.HistoryExpired
            )
            if isinstance(failure, exceptions.HistoryExpired) and failures == 1:
                continue
            pause_s = min(_BACKOFF_MAX_S, _BACKOFF_S * 2.0**failures)
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))

    async def _list(self) -> exceptions.StoreFailure | None:
        started_s = self._now_s()
        match await self._client.list_all(self._kind):
            case result.Err(failure):
                return failure
            case result.Ok(listing):
                self._on_store_regained(started_s)
                self._report_undecodable(listing)
                if self._state.replace(
                    listing.objects, listing.revision, self._now_s()
                ):
                    self._change_log.reset(listing.revision)
                    self._notify()
                return None

    async def _watch(self) -> exceptions.StoreFailure | None:
        started_s = self._now_s()
        match await self._client.watch(
            self._kind,
            self._state.revision,
            wait_ms=self._timing.wait_ms,
            response_timeout_s=self._timing.response_timeout_s,
        ):
            case result.Err(failure):
                return failure
            case result.Ok(watched):
                self._on_store_regained(started_s)
                self._report_undecodable(watched)
                for change in watched.changes:
                    self._state.apply_change(
                        change.object,
                        self._now_s(),
                        is_removed=change.is_removed,
                    )
                self._change_log.add(watched.changes, watched.revision)
                self._state.advance(watched.revision)
                if watched.changes:
                    self._notify()
                    await asyncio.sleep(self._timing.batch_delay_s)
                return None

    # Changes of other gateways

    def _apply_peer_changes(self, peer_changes: messages.PeerChanges) -> None:
        """Applies changes of another gateway unless they are already known."""
        if peer_changes.revision <= self._state.revision:
            return
        now_s = self._now_s()
        self._store_lost_s = None
        if peer_changes.recovered_ago_s is not None:
            self._state.record_store_recovery(
                now_s - peer_changes.recovered_ago_s
            )
        if peer_changes.is_whole:
            objects = (change.object for change in peer_changes.changes)
            self._state.replace(objects, peer_changes.revision, now_s)
        else:
            for change in peer_changes.changes:
                self._state.apply_change(
                    change.object, now_s, is_removed=change.is_removed
                )
            self._state.advance(peer_changes.revision)
        self._change_log.reset(self._state.revision)
        _LOGGER.info(
            "read from another gateway",
            extra={
                "kind": self._kind,
                "source": peer_changes.source.name,
                "revision": peer_changes.revision,
                "is_whole": peer_changes.is_whole,
                "changes": len(peer_changes.changes),
            },
        )
        self._notify()

    # Known objects

    async def _expire(self) -> None:
        """Makes removals final when they are due."""
        while True:
            due_s = self._state.next_expiry_s()
            if due_s is None:
                self._removal_pending.clear()
                await self._removal_pending.wait()
                continue
            await asyncio.sleep(max(0.0, due_s - self._now_s()))
            if self._state.expire(self._now_s()):
                self._notify()

    def _notify(self) -> None:
        """Publishes the objects and wakes the expiry task for removals."""
        self._publish(self._state.objects)
        if self._state.next_expiry_s() is not None:
            self._removal_pending.set()
        self._on_change()

    def _on_store_lost(self, failure: exceptions.StoreFailure) -> None:
        self._metrics.count(f"store.failed.{self._kind}")
        self._is_current = False
        if self._store_lost_s is None:
            self._store_lost_s = self._now_s()
            _LOGGER.warning(
                "store lost",
                extra={
                    "kind": self._kind,
                    "failure": failure,
                    "revision": self._state.revision,
                },
            )
        self._on_change()

    def _on_store_regained(self, call_started_s: float) -> None:
        """Records that a call succeeded.

        Args:
            call_started_s: When the call was sent, on the event loop's clock,
                in seconds. The store answered from then on, although a watch
                may have waited for long.
        """
        if self._is_current:
            return
        self._is_current = True
        outage_s = 0.0
        if self._store_lost_s is not None:
            outage_s = max(0.0, call_started_s - self._store_lost_s)
            self._store_lost_s = None
        if outage_s >= _MIN_OUTAGE_S and self._state.is_loaded:
            self._state.record_store_recovery(call_started_s)
        _LOGGER.info(
            "store regained",
            extra={"kind": self._kind, "away_s": round(outage_s, 2)},
        )
        self._on_change()

    def _report_undecodable(
        self, received: store.Listing | store.ObjectChanges
    ) -> None:
        self._skipped_objects.report(
            self._kind,
            received.undecodable_names,
            received.undecodable,
            "invalid JSON or an unexpected type",
        )

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
