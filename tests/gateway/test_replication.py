"""Tests of the replication of the store's objects."""

import asyncio
import collections
import contextlib

import msgspec
import pytest

from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.replication import change_log
from berylweir.gateway.replication import codec
from berylweir.gateway.replication import messages
from berylweir.gateway.replication import state
from berylweir.gateway.replication import task as replication
from berylweir.gateway.replication import upstreams
from berylweir.observability import counters
from berylweir.platform import settings
from berylweir.platform import store
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import store as store_standin
from berylweir.supervision import models as supervision
from tests.gateway import rig


def stored(name: str, revision: int) -> store.StoredObject:
    """Returns a stored object without contents."""
    null = msgspec.Raw(b"null")
    return store.build_stored_object(name, revision, null, null)


def names(kind_state: state.KindState) -> set[str]:
    """Returns the names of all known objects."""
    return {o.name for o in kind_state.objects}


class TestKindState:
    """Known objects after an outage of the store, and older revisions."""

    def test_entries_missing_after_an_outage_are_kept_for_a_while(self):
        """Guards against losing servers whose entries expired in an outage."""
        kind_state = state.KindState(keeps_expired=True)
        kind_state.replace([stored("a", 1), stored("b", 2)], 2, 0.0)
        kind_state.record_store_recovery(10.0)
        kind_state.replace([stored("a", 1)], 5, 10.1)
        assert names(kind_state) == {"a", "b"}
        assert not kind_state.expire(12.0)
        kind_state.apply_change(stored("b", 6), 12.0, is_removed=False)
        assert not kind_state.expire(13.0)
        assert names(kind_state) == {"a", "b"}

    def test_entries_that_are_not_renewed_are_removed(self):
        """Guards against requests to servers that ended during an outage."""
        kind_state = state.KindState(keeps_expired=True)
        kind_state.replace([stored("a", 1), stored("b", 2)], 2, 0.0)
        kind_state.record_store_recovery(10.0)
        kind_state.replace([stored("a", 1)], 5, 10.1)
        assert kind_state.expire(12.6)
        assert names(kind_state) == {"a"}

    def test_a_removal_without_an_outage_is_immediate(self):
        """Guards against requests to a server that has ended."""
        kind_state = state.KindState(keeps_expired=True)
        kind_state.replace([stored("a", 1)], 1, 0.0)
        kind_state.apply_change(stored("a", 1), 20.0, is_removed=True)
        assert not names(kind_state)

    def test_an_older_listing_is_ignored(self):
        """Guards against a listing of another gateway that lags behind."""
        kind_state = state.KindState(keeps_expired=False)
        kind_state.replace([stored("a", 5)], 5, 0.0)
        assert not kind_state.replace([stored("a", 3), stored("b", 2)], 4, 1.0)
        assert names(kind_state) == {"a"}

    def test_objects_lost_in_a_restoration_are_kept_until_written_again(self):
        """Guards against refusals and evacuated zones that are used again."""
        kind_state = state.KindState(keeps_expired=False, keeps_lost=True)
        kind_state.replace([stored("a", 1), stored("b", 9)], 9, 0.0)
        kind_state.replace([stored("a", 1)], revisions.compose(1, 5), 10.0)
        assert names(kind_state) == {"a", "b"}
        assert not kind_state.expire(12.4)
        assert kind_state.expire(12.6)
        assert names(kind_state) == {"a"}

    def test_removed_object_in_a_copy_does_not_count(self):
        """Guards against requests to a server that had left.

        The copy still has its entry, which expires after some heartbeats.
        """
        kind_state = state.KindState(keeps_expired=True, keeps_lost=True)
        kind_state.replace([stored("a", 1), stored("b", 2)], 2, 0.0)
        for name in "ab":
            kind_state.apply_change(stored(name, 3), 1.0, is_removed=True)
        restored = [
            stored(name, revisions.compose(1, 2)) for name in ("a", "b", "c")
        ]
        kind_state.replace(restored, revisions.compose(1, 2), 5.0)
        assert names(kind_state) == {"c"}
        # One is alive and writes its entry, the other one's entry expires.
        written = stored("a", revisions.compose(1, 4))
        kind_state.apply_change(written, 6.0, is_removed=False)
        assert names(kind_state) == {"a", "c"}
        expired = stored("b", revisions.compose(1, 5))
        kind_state.apply_change(expired, 7.0, is_removed=True)
        assert not kind_state.expire(20.0)
        assert names(kind_state) == {"a", "c"}

    def test_object_that_stays_in_a_restored_store_counts_in_the_end(self):
        """Guards against a live server that is never used again."""
        kind_state = state.KindState(keeps_expired=True, keeps_lost=True)
        kind_state.replace([stored("a", 1)], 1, 0.0)
        kind_state.apply_change(stored("a", 2), 1.0, is_removed=True)
        restored = stored("a", revisions.compose(1, 1))
        kind_state.replace([restored], revisions.compose(1, 1), 5.0)
        due_s = kind_state.next_expiry_s()
        assert due_s is not None
        assert kind_state.expire(due_s)
        assert names(kind_state) == {"a"}

    def test_an_older_change_is_ignored(self):
        """Guards against a return to an older configuration."""
        kind_state = state.KindState(keeps_expired=False)
        kind_state.replace([stored("a", 5)], 5, 0.0)
        kind_state.apply_change(stored("a", 4), 1.0, is_removed=False)
        assert kind_state.objects[0].revision == 5


def vm(
    name: str, registered: int, zone: str = "a", link_mbps: float = 0.0
) -> models.Vm:
    """Returns a gateway that registered at a given revision."""
    size = models.VmSize(link_mbps)
    run = f"run-{name}"
    return models.Vm(name, run, "127.0.0.1", 1, zone, registered, size)


class RunningReplica:
    """A replica of kind "k" with a store of its own."""

    def __init__(self, **options) -> None:
        self.store = store_standin.Store()
        self.published: list[set[str]] = []
        self._options = options
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "RunningReplica":
        """Starts the store and the replica."""
        port = await http.listen(self._stack, self.store.handle)
        self.replica = replication.Replica(
            "k",
            store.StoreClient(settings.StoreAddress(("127.0.0.1", port))),
            lambda objects: self.published.append({o.name for o in objects}),
            lambda: None,
            counters.Counters(),
            **self._options,
        )
        context = supervision.ChildContext(self._stack)
        task = asyncio.create_task(self.replica.run(context))
        self._stack.callback(task.cancel)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops the store and the replica."""
        await self._stack.aclose()

    def receive(
        self,
        revision: int,
        *changes: tuple[str, int, bool],
        is_whole: bool = False,
        returned_s: float | None = None,
    ) -> None:
        """Sends changes of a peer as (name, revision, is_removed)."""
        compressed = codec.encode_changes(
            store.ObjectChange(stored(name, object_revision), is_removed)
            for name, object_revision, is_removed in changes
        )
        kind_changes = peers.KindChanges(
            "k", revision, is_whole, returned_s, compressed
        )
        self.replica.inbox.post(
            codec.decode_changes(vm("v", 1), kind_changes).unwrap()
        )


class TestReplica:
    """Calls to the store, and changes that other gateways send."""

    async def test_concurrent_changes_are_batched(self):
        """Guards against a call to the store for each heartbeat of a server."""
        async with RunningReplica(
            timing=replication.WatchTiming(batch_delay_s=0.3)
        ) as running:
            fake_store = running.store
            running.replica.inbox.post(messages.WatchStore())
            await rig.until(lambda: len(fake_store.calls) == 2)
            for number in range(10):
                await fake_store.put("k", f"n{number}", number)
                await asyncio.sleep(0.01)
            await rig.until(
                lambda: (
                    bool(running.published) and len(running.published[-1]) == 10
                )
            )
            assert len(fake_store.calls) <= 5

    async def test_a_replica_that_follows_peers_sends_no_calls(self):
        """Guards against a call to the store from each VM for each change."""
        async with RunningReplica() as running:
            running.receive(7, ("a", 5, False), ("b", 7, False), is_whole=True)
            await rig.until(lambda: running.published[-1:] == [{"a", "b"}])
            running.receive(9, ("a", 8, True), ("c", 9, False))
            await rig.until(lambda: running.published[-1:] == [{"b", "c"}])
            assert running.store.calls == []
            assert not running.replica.is_current

    async def test_older_changes_of_a_peer_are_ignored(self):
        """Guards against an upstream that lags behind another one."""
        async with RunningReplica() as running:
            running.receive(7, ("a", 5, False), ("b", 7, False), is_whole=True)
            running.receive(6, ("a", 6, True))
            running.receive(5, ("a", 5, False), is_whole=True)
            running.receive(8, ("c", 8, False))
            await rig.until(lambda: running.published[-1:] == [{"a", "b", "c"}])
            assert len(running.published) == 2

    async def test_entries_that_expired_during_an_outage_of_a_peer_are_kept(
        self,
    ):
        """Guards against losing servers that the upstream still keeps."""
        async with RunningReplica(keeps_expired=True) as running:
            running.receive(7, ("a", 5, False), ("b", 7, False), is_whole=True)
            running.receive(9, ("a", 9, True), returned_s=0.1)
            await rig.until(lambda: len(running.published) == 2)
            assert running.published[-1] == {"a", "b"}
            await rig.until(lambda: running.published[-1] == {"b"})

    async def test_a_watch_continues_from_the_revision_of_a_peer(self):
        """Guards against changes that are lost when the mode changes."""
        async with RunningReplica() as running:
            await running.store.put("k", "a", 1)
            revision = running.store.revision
            running.receive(revision, ("a", revision, False), is_whole=True)
            await rig.until(lambda: running.published[-1:] == [{"a"}])
            await running.store.put("k", "b", 1)
            running.replica.inbox.post(messages.WatchStore())
            await rig.until(lambda: running.published[-1] == {"a", "b"})
            assert running.replica.is_current
            running.replica.inbox.post(messages.FollowPeers())
            await rig.until(lambda: not running.replica.is_current)

    async def test_waiting_watch_does_not_count_as_an_outage(self):
        """Guards against requests to a server that has left, as if kept.

        The first watch after a short outage waited for a change for longer than
        an outage in which entries expire.
        """
        async with RunningReplica(keeps_expired=True) as running:
            await running.store.put("k", "a", 1)
            running.replica.inbox.post(messages.WatchStore())
            await rig.until(lambda: running.published[-1:] == [{"a"}])
            running.replica.inbox.post(messages.AwaitStore())
            await rig.until(lambda: running.replica.is_store_lost)
            calls = len(running.store.calls)
            running.replica.inbox.post(messages.WatchStore())
            await rig.until(lambda: len(running.store.calls) > calls)
            await asyncio.sleep(1.2)
            await running.store.remove("k", "a")
            await rig.until(lambda: len(running.published) == 2)
            assert running.published[-1] == set()

    async def test_a_watched_replica_returns_changes_after_a_revision(self):
        """Guards against gateways that miss changes or get them twice."""
        async with RunningReplica() as running:
            replica = running.replica
            await running.store.put("k", "a", 1)
            replica.inbox.post(messages.WatchStore())
            await rig.until(lambda: running.published[-1:] == [{"a"}])
            whole = replica.changes_after(0)
            assert whole is not None and whole.is_whole
            received = codec.decode_changes(vm("v", 1), whole).unwrap()
            assert [c.object.name for c in received.changes] == ["a"]
            assert replica.changes_after(whole.revision) is None
            await running.store.put("k", "b", 1)
            await running.store.remove("k", "a")
            await rig.until(lambda: running.published[-1] == {"b"})
            newer = replica.changes_after(whole.revision)
            assert newer is not None and not newer.is_whole
            received = codec.decode_changes(vm("v", 1), newer).unwrap()
            assert [
                (c.object.name, c.is_removed) for c in received.changes
            ] == [
                ("b", False),
                ("a", True),
            ]
            assert replica.changes_after(newer.revision) is None

    async def test_a_crash_of_the_watch_task_ends_the_child(self):
        """Guards against a replica that keeps running without its watch."""

        def publish(_: list[store.StoredObject]) -> None:
            raise RuntimeError("broken")

        async with contextlib.AsyncExitStack() as stack:
            fake_store = store_standin.Store()
            port = await http.listen(stack, fake_store.handle)
            replica = replication.Replica(
                "k",
                store.StoreClient(settings.StoreAddress(("127.0.0.1", port))),
                publish,
                lambda: None,
                counters.Counters(),
            )
            replica.inbox.post(messages.WatchStore())
            with pytest.raises(ExceptionGroup):
                async with asyncio.timeout(5):
                    await replica.run(supervision.ChildContext(stack))


class TestChangeLog:
    """Changes that are kept for gateways that follow this one."""

    def test_a_log_that_dropped_changes_is_incomplete(self):
        """Guards against a gap in the changes of a gateway that missed many."""
        log = change_log.ChangeLog()
        log.reset(10)
        for number in range(change_log.MAX_CHANGES + 1):
            change = store.ObjectChange(
                stored(f"n{number}", 11 + number), False
            )
            log.add([change], 11 + number)
        assert log.changes_after(9) is None
        assert log.changes_after(10) is None
        kept = log.changes_after(11)
        assert kept is not None and len(kept) == change_log.MAX_CHANGES
        assert log.changes_after(11 + change_log.MAX_CHANGES) == []

    def test_has_changes_after_compares_revisions(self):
        """Guards against an upstream that always or never reports changes."""
        log = change_log.ChangeLog()
        assert log.has_changes_after(0)
        log.reset(10)
        assert log.has_changes_after(9)
        assert not log.has_changes_after(10)
        log.add([store.ObjectChange(stored("n", 12), False)], 12)
        assert log.has_changes_after(11)
        assert not log.has_changes_after(12)


class TestUpstreamSelector:
    """Choice of the watchers and of the upstream of a gateway."""

    def test_the_oldest_gateways_are_watchers(self):
        """Guards against calls of all VMs to the store."""
        vms = {f"v{i}": vm(f"v{i}", 100 - i) for i in range(10)}
        watchers = []
        for member in vms.values():
            selector = upstreams.UpstreamSelector(member)
            selector.update_vms(vms)
            if selector.is_watcher(0.0):
                watchers.append(member.name)
        assert watchers == ["v6", "v7", "v8", "v9"]

    def test_large_vms_are_watchers_for_their_own_zones(self):
        """Guards against watchers with slow links and traffic between zones."""
        vms = {
            f"v{i}": vm(f"v{i}", i, "abc"[i % 3], 100.0 if i >= 24 else 5.0)
            for i in range(30)
        }
        watchers = {}
        followed = collections.Counter()
        for member in vms.values():
            selector = upstreams.UpstreamSelector(member)
            selector.update_vms(vms)
            if selector.is_watcher(0.0):
                watchers[member.name] = member.availability_zone
                continue
            source = selector.choose(0.0, slot=0, in_use=())
            assert source is not None
            followed[source.availability_zone == member.availability_zone] += 1
        assert watchers == {"v24": "a", "v25": "b", "v26": "c", "v27": "a"}
        assert followed == {True: 26}

    def test_a_watcher_that_fails_is_replaced(self):
        """Guards against fewer watchers after each failure."""
        vms = {f"v{i}": vm(f"v{i}", i) for i in range(10)}
        selector = upstreams.UpstreamSelector(vms["v4"])
        selector.update_vms(vms)
        assert not selector.is_watcher(0.0)
        selector.record_failure(vms["v1"], 0.0)
        assert selector.is_watcher(0.1)
        assert not selector.is_watcher(100.0)

    def test_two_slots_choose_different_upstreams(self):
        """Guards against a standby upstream that fails with the primary one."""
        vms = {f"v{i}": vm(f"v{i}", i) for i in range(10)}
        selector = upstreams.UpstreamSelector(vms["v9"])
        selector.update_vms(vms)
        first = selector.choose(0.0, slot=0, in_use=())
        assert first is not None
        second = selector.choose(0.0, slot=1, in_use=(first,))
        assert second is not None
        assert first != second
        selector.record_not_current(first, 0.0)
        assert selector.choose(0.05, slot=0, in_use=(second,)) != first
        assert selector.choose(1.0, slot=0, in_use=(second,)) == first

    def test_followers_spread_over_the_watchers(self):
        """Guards against one watcher that serves all other gateways."""
        vms = {f"v{i}": vm(f"v{i}", i) for i in range(80)}
        chosen: collections.Counter[str] = collections.Counter()
        for member in list(vms.values())[4:]:
            selector = upstreams.UpstreamSelector(member)
            selector.update_vms(vms)
            source = selector.choose(0.0, slot=0, in_use=())
            assert source is not None
            chosen[source.name] += 1
        assert set(chosen) == {"v0", "v1", "v2", "v3"}
        assert max(chosen.values()) <= 76 / 2

    def test_a_new_incarnation_of_a_vm_is_another_gateway(self):
        """Guards against a gateway that mistakes its former run for itself."""
        vms = {f"v{i}": vm(f"v{i}", i) for i in range(2)}
        restarted = models.Vm("v0", "run-2", "127.0.0.1", 1, "a")
        selector = upstreams.UpstreamSelector(restarted)
        selector.update_vms(vms)
        assert not selector.is_watcher(0.0)
