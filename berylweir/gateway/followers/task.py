"""A task that follows one kind of the store and tells others of changes."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import random

import result

from berylweir.gateway.followers import history
from berylweir.gateway.followers import messages
from berylweir.gateway.followers import sharing
from berylweir.gateway.followers import state
from berylweir.gateway.peers import messages as peers
from berylweir.observability import counters
from berylweir.platform import exceptions
from berylweir.platform import store
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
# Pause after a failed call, doubled up to the longest, in seconds.
_PAUSE_S = 0.1
_PAUSE_MAX_S = 1.0
# Outages shorter than this don't let entries lapse, in seconds.
_OUTAGE_S = 1.0

Publish = Callable[[list[store.StoredObject]], None]
Inbox = mailbox.Mailbox[messages.FollowerMessage]


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How a kind is watched.

    Attributes:
        pause_s: Time between a change and the next watch, in seconds; changes
            that come together then end one watch.
        wait_ms: Longest time that the store holds a watch, in ms.
        slack_s: Time for the answer after that, in seconds.
    """

    pause_s: float = 0.0
    wait_ms: int = store.WATCH_WAIT_MS
    slack_s: float = store.CALL_TIMEOUT_S


class Follower:
    """Owns the connection and the known objects of one kind."""

    def __init__(
        self,
        kind: str,
        client: store.StoreClient,
        publish: Publish,
        on_contact: Callable[[], None],
        metrics: counters.Counters,
        *,
        keeps_lapsed: bool = False,
        pace: Pace = Pace(),
    ) -> None:
        """Creates a follower that waits for an order.

        Args:
            kind: Kind of the store.
            client: Client that nothing else uses.
            publish: Takes all objects after a change.
            on_contact: Called when the store is lost or regained, and after
                each change.
            metrics: Counters.
            keeps_lapsed: Whether objects lapse while the store is away.
            pace: How the kind is watched.
        """
        self._kind = kind
        self._client = client
        self._publish = publish
        self._on_contact = on_contact
        self._metrics = metrics
        self._pace = pace
        self._state = state.KindState(keeps_lapsed=keeps_lapsed)
        self._history = history.History()
        self._inbox: Inbox = mailbox.Mailbox(f"follower.{kind}", 1000)
        self._order: messages.Order = messages.FollowGateways()
        self._reader: asyncio.Task[None] | None = None
        self._is_current = False
        self._lost_s: float | None = None
        self._removed = asyncio.Event()
        # What followers are told, by the revision that they know; None is all.
        self._packed: dict[int | None, peers.CompressedChanges] = {}
        self._packed_revision = 0

    @property
    def inbox(self) -> Inbox:
        """Takes orders, and the changes that other gateways told."""
        return self._inbox

    @property
    def is_current(self) -> bool:
        """Whether the kind is watched and the last call succeeded."""
        return self._is_current

    @property
    def is_failing(self) -> bool:
        """Whether the store was lost and not found again."""
        return self._lost_s is not None

    @property
    def is_known(self) -> bool:
        """Whether the kind was ever read."""
        return self._state.is_known

    @property
    def revision(self) -> int:
        """Revision up to which the kind is known; 0 if it isn't."""
        return self._state.revision

    def has_news(self, revision: int) -> bool:
        """Returns whether something changed after a revision."""
        return self._history.has_news(revision)

    def changes_since(self, revision: int) -> peers.KindChanges | None:
        """Returns what changed after a revision; None if nothing did."""
        changes = self._history.since(revision)
        is_whole = changes is None
        if changes is None:
            changes = [
                store.ObjectChange(found, is_removed=False)
                for found in self._state.stored
            ]
        elif not changes:
            return None
        returned_s = self._now_s() - self._state.returned_s
        return peers.KindChanges(
            self._kind,
            self._state.revision,
            is_whole,
            returned_s if returned_s < float("inf") else None,
            self._pack(None if is_whole else revision, changes),
        )

    def _pack(
        self, since: int | None, changes: list[store.ObjectChange]
    ) -> peers.CompressedChanges:
        """Packs changes once for all followers that know the same revision."""
        if self._packed_revision != self._state.revision:
            self._packed_revision = self._state.revision
            self._packed.clear()
        packed = self._packed.get(since)
        if packed is None:
            packed = self._packed[since] = sharing.pack(changes)
        return packed

    async def run(self, context: supervision.ChildContext) -> None:
        """Follows the kind until the supervisor stops the child."""
        context.stack.callback(self._client.close)
        context.stack.callback(self._leave_store)
        context.ready()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._expire())
            self._obey(group)
            while True:
                match await self._inbox.get():
                    case messages.Received() as told:
                        self._receive(told)
                    case order:
                        self._order = order
                        self._obey(group)

    # The store

    def _obey(self, group: asyncio.TaskGroup) -> None:
        match self._order:
            case messages.WatchStore():
                if self._reader is None:
                    self._reader = group.create_task(self._read())
            case messages.FollowGateways():
                self._leave_store()
            case messages.AwaitStore():
                self._leave_store()
                if self._lost_s is None:
                    self._lost_s = self._now_s()

    def _leave_store(self) -> None:
        if self._reader is not None:
            self._reader.cancel()
            self._reader = None
        self._is_current = False

    async def _read(self) -> None:
        """Watches the kind until it is cancelled."""
        must_list = not self._state.is_known
        if not must_list:
            self._history.restart(self._state.revision)
        failures = 0
        while True:
            failure = await self._list() if must_list else await self._watch()
            if failure is None:
                must_list = False
                failures = 0
                continue
            failures += 1
            self._lost(failure)
            # After a failure the watch goes on from the known revision.
            must_list = not self._state.is_known or isinstance(
                failure, exceptions.HistoryExpired
            )
            if isinstance(failure, exceptions.HistoryExpired):
                continue
            pause_s = min(_PAUSE_MAX_S, _PAUSE_S * 2.0**failures)
            await asyncio.sleep(pause_s * random.uniform(0.5, 1.0))

    async def _list(self) -> exceptions.StoreFailure | None:
        match await self._client.list_all(self._kind):
            case result.Err(failure):
                return failure
            case result.Ok(listing):
                self._regained()
                self._count_undecodable(listing.undecodable)
                if self._state.replace(
                    listing.objects, listing.revision, self._now_s()
                ):
                    self._history.restart(listing.revision)
                    self._tell()
                return None

    async def _watch(self) -> exceptions.StoreFailure | None:
        match await self._client.watch(
            self._kind,
            self._state.revision,
            wait_ms=self._pace.wait_ms,
            response_timeout_s=self._pace.slack_s,
        ):
            case result.Err(failure):
                return failure
            case result.Ok(found):
                self._regained()
                self._count_undecodable(found.undecodable)
                for change in found.changes:
                    self._state.change(
                        change.object,
                        self._now_s(),
                        is_removed=change.is_removed,
                    )
                self._history.add(found.changes, found.revision)
                self._state.advance(found.revision)
                if found.changes:
                    self._tell()
                    await asyncio.sleep(self._pace.pause_s)
                return None

    # Other gateways

    def _receive(self, told: messages.Received) -> None:
        """Takes what another gateway read, unless more is known here."""
        if told.revision <= self._state.revision:
            return
        now_s = self._now_s()
        self._lost_s = None
        if told.returned_s is not None:
            self._state.returned(now_s - told.returned_s)
        if told.is_whole:
            whole = (change.object for change in told.changes)
            self._state.replace(whole, told.revision, now_s)
        else:
            for change in told.changes:
                self._state.change(
                    change.object, now_s, is_removed=change.is_removed
                )
            self._state.advance(told.revision)
        self._history.restart(self._state.revision)
        _LOGGER.info(
            "read from another gateway",
            extra={
                "kind": self._kind,
                "source": told.source.name,
                "revision": told.revision,
                "is_whole": told.is_whole,
                "changes": len(told.changes),
            },
        )
        self._tell()

    # What is known

    async def _expire(self) -> None:
        """Makes removals final when their time has come."""
        while True:
            due_s = self._state.next_expiry_s()
            if due_s is None:
                self._removed.clear()
                await self._removed.wait()
                continue
            await asyncio.sleep(max(0.0, due_s - self._now_s()))
            if self._state.expire(self._now_s()):
                self._tell()

    def _tell(self) -> None:
        """Tells others of the objects, and the expiry task of removals."""
        self._publish(self._state.objects)
        if self._state.next_expiry_s() is not None:
            self._removed.set()
        self._on_contact()

    def _lost(self, failure: exceptions.StoreFailure) -> None:
        self._metrics.count(f"store.failed.{self._kind}")
        self._is_current = False
        if self._lost_s is None:
            self._lost_s = self._now_s()
            _LOGGER.warning(
                "store lost",
                extra={
                    "kind": self._kind,
                    "failure": failure,
                    "revision": self._state.revision,
                },
            )
        self._on_contact()

    def _regained(self) -> None:
        if self._is_current:
            return
        self._is_current = True
        away_s = 0.0
        if self._lost_s is not None:
            away_s = self._now_s() - self._lost_s
            self._lost_s = None
        if away_s >= _OUTAGE_S and self._state.is_known:
            self._state.returned(self._now_s())
        _LOGGER.info(
            "store regained",
            extra={"kind": self._kind, "away_s": round(away_s, 2)},
        )
        self._on_contact()

    def _count_undecodable(self, count: int) -> None:
        if count:
            self._metrics.count("store.undecodable", count)

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
