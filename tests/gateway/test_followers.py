"""Tests of what is known of a kind of the store."""

import asyncio
import collections
import contextlib

import msgspec
import pytest

from berylweir.gateway import models
from berylweir.gateway.followers import history
from berylweir.gateway.followers import messages
from berylweir.gateway.followers import sharing
from berylweir.gateway.followers import sources
from berylweir.gateway.followers import state
from berylweir.gateway.followers import task as followers
from berylweir.gateway.peers import messages as peers
from berylweir.observability import counters
from berylweir.platform import settings
from berylweir.platform import store
from berylweir.standin.fleet import http
from berylweir.standin.fleet import store as fleet
from berylweir.supervision import models as supervision
from tests.gateway import rig


def stored(name: str, revision: int) -> store.StoredObject:
    """Returns an object without contents."""
    null = msgspec.Raw(b"null")
    return store.build_stored_object(name, revision, null, null)


def names(found: state.KindState) -> set[str]:
    """Returns the names of all objects."""
    return {o.name for o in found.objects}


class TestKindState:
    """Objects around an outage of the store."""

    def test_lapsed_entries_stay_until_they_had_time_to_return(self):
        """Guards against dropping all servers after an outage."""
        found = state.KindState(keeps_lapsed=True)
        found.replace([stored("a", 1), stored("b", 2)], 2, 0.0)
        found.returned(10.0)
        found.replace([stored("a", 1)], 5, 10.1)
        assert names(found) == {"a", "b"}
        assert not found.expire(12.0)
        found.change(stored("b", 6), 12.0, is_removed=False)
        assert not found.expire(13.0)
        assert names(found) == {"a", "b"}

    def test_entries_that_stay_away_are_gone(self):
        """Guards against requests to servers that left in an outage."""
        found = state.KindState(keeps_lapsed=True)
        found.replace([stored("a", 1), stored("b", 2)], 2, 0.0)
        found.returned(10.0)
        found.replace([stored("a", 1)], 5, 10.1)
        assert found.expire(12.6)
        assert names(found) == {"a"}

    def test_a_removal_in_calm_times_counts_at_once(self):
        """Guards against requests to a server that has left."""
        found = state.KindState(keeps_lapsed=True)
        found.replace([stored("a", 1)], 1, 0.0)
        found.change(stored("a", 1), 20.0, is_removed=True)
        assert not names(found)

    def test_an_older_listing_changes_nothing(self):
        """Guards against a view of another gateway that lags behind."""
        found = state.KindState(keeps_lapsed=False)
        found.replace([stored("a", 5)], 5, 0.0)
        assert not found.replace([stored("a", 3), stored("b", 2)], 4, 1.0)
        assert names(found) == {"a"}

    def test_an_older_change_changes_nothing(self):
        """Guards against a configuration that goes back."""
        found = state.KindState(keeps_lapsed=False)
        found.replace([stored("a", 5)], 5, 0.0)
        found.change(stored("a", 4), 1.0, is_removed=False)
        assert found.objects[0].revision == 5


def vm(
    name: str, registered: int, zone: str = "a", link_mbps: float = 0.0
) -> models.Vm:
    """Returns a gateway that registered at a revision."""
    size = models.VmSize(link_mbps)
    run = f"run-{name}"
    return models.Vm(name, run, "127.0.0.1", 1, zone, registered, size)


class Followed:
    """A follower of kind "k" with a store of its own."""

    def __init__(self, **options) -> None:
        self.store = fleet.Store()
        self.known: list[set[str]] = []
        self._options = options
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Followed":
        """Starts both."""
        port = await http.listen(self._stack, self.store.handle)
        self.follower = followers.Follower(
            "k",
            store.StoreClient(settings.StoreAddress(("127.0.0.1", port))),
            lambda found: self.known.append({o.name for o in found}),
            lambda: None,
            counters.Counters(),
            **self._options,
        )
        context = supervision.ChildContext(self._stack)
        task = asyncio.create_task(self.follower.run(context))
        self._stack.callback(task.cancel)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Ends both."""
        await self._stack.aclose()

    def tell(
        self,
        revision: int,
        *changes: tuple[str, int, bool],
        is_whole: bool = False,
        returned_s: float | None = None,
    ) -> None:
        """Tells of changes: name, revision, and whether it is a removal."""
        packed = sharing.pack(
            store.ObjectChange(stored(name, at), is_removed)
            for name, at, is_removed in changes
        )
        told = peers.KindChanges("k", revision, is_whole, returned_s, packed)
        self.follower.inbox.post(sharing.receive(vm("v", 1), told).unwrap())


class TestFollower:
    """Calls that following a kind takes, and what other gateways tell."""

    async def test_changes_that_come_together_end_one_watch(self):
        """Guards against a call for each heartbeat of each server."""
        async with Followed(pace=followers.Pace(pause_s=0.3)) as followed:
            served = followed.store
            followed.follower.inbox.post(messages.WatchStore())
            await rig.until(lambda: len(served.calls) == 2)
            for number in range(10):
                await served.put("k", f"n{number}", number)
                await asyncio.sleep(0.01)
            await rig.until(
                lambda: bool(followed.known) and len(followed.known[-1]) == 10
            )
            assert len(served.calls) <= 5

    async def test_the_store_is_left_alone_until_it_is_to_be_watched(self):
        """Guards against a call of each VM for each change."""
        async with Followed() as followed:
            followed.tell(7, ("a", 5, False), ("b", 7, False), is_whole=True)
            await rig.until(lambda: followed.known[-1:] == [{"a", "b"}])
            followed.tell(9, ("a", 8, True), ("c", 9, False))
            await rig.until(lambda: followed.known[-1:] == [{"b", "c"}])
            assert followed.store.calls == []
            assert not followed.follower.is_current

    async def test_older_news_change_nothing(self):
        """Guards against a source that is behind another one."""
        async with Followed() as followed:
            followed.tell(7, ("a", 5, False), ("b", 7, False), is_whole=True)
            followed.tell(6, ("a", 6, True))
            followed.tell(5, ("a", 5, False), is_whole=True)
            followed.tell(8, ("c", 8, False))
            await rig.until(lambda: followed.known[-1:] == [{"a", "b", "c"}])
            assert len(followed.known) == 2

    async def test_entries_that_lapsed_in_an_outage_of_the_source_stay(self):
        """Guards against dropping servers that a source keeps."""
        async with Followed(keeps_lapsed=True) as followed:
            followed.tell(7, ("a", 5, False), ("b", 7, False), is_whole=True)
            followed.tell(9, ("a", 9, True), returned_s=0.1)
            await rig.until(lambda: len(followed.known) == 2)
            assert followed.known[-1] == {"a", "b"}
            await rig.until(lambda: followed.known[-1] == {"b"})

    async def test_a_watch_goes_on_from_what_others_told(self):
        """Guards against changes that are lost at the switch."""
        async with Followed() as followed:
            await followed.store.put("k", "a", 1)
            at = followed.store.revision
            followed.tell(at, ("a", at, False), is_whole=True)
            await rig.until(lambda: followed.known[-1:] == [{"a"}])
            await followed.store.put("k", "b", 1)
            followed.follower.inbox.post(messages.WatchStore())
            await rig.until(lambda: followed.known[-1] == {"a", "b"})
            assert followed.follower.is_current
            followed.follower.inbox.post(messages.FollowGateways())
            await rig.until(lambda: not followed.follower.is_current)

    async def test_a_watched_kind_tells_what_changed_since(self):
        """Guards against followers that miss or repeat changes."""
        async with Followed() as followed:
            follower = followed.follower
            await followed.store.put("k", "a", 1)
            follower.inbox.post(messages.WatchStore())
            await rig.until(lambda: followed.known[-1:] == [{"a"}])
            whole = follower.changes_since(0)
            assert whole is not None and whole.is_whole
            received = sharing.receive(vm("v", 1), whole).unwrap()
            assert [c.object.name for c in received.changes] == ["a"]
            assert follower.changes_since(whole.revision) is None
            await followed.store.put("k", "b", 1)
            await followed.store.remove("k", "a")
            await rig.until(lambda: followed.known[-1] == {"b"})
            news = follower.changes_since(whole.revision)
            assert news is not None and not news.is_whole
            received = sharing.receive(vm("v", 1), news).unwrap()
            assert [
                (c.object.name, c.is_removed) for c in received.changes
            ] == [
                ("b", False),
                ("a", True),
            ]
            assert follower.changes_since(news.revision) is None

    async def test_a_crash_of_the_reader_ends_the_child(self):
        """Guards against a follower that goes on without its watch."""

        def publish(_: list[store.StoredObject]) -> None:
            raise RuntimeError("broken")

        async with contextlib.AsyncExitStack() as stack:
            served = fleet.Store()
            port = await http.listen(stack, served.handle)
            follower = followers.Follower(
                "k",
                store.StoreClient(settings.StoreAddress(("127.0.0.1", port))),
                publish,
                lambda: None,
                counters.Counters(),
            )
            follower.inbox.post(messages.WatchStore())
            with pytest.raises(ExceptionGroup):
                async with asyncio.timeout(5):
                    await follower.run(supervision.ChildContext(stack))


class TestHistory:
    """What is kept for gateways that follow this one."""

    def test_a_follower_that_missed_too_much_gets_all(self):
        """Guards against a gap after many changes."""
        found = history.History()
        found.restart(10)
        for number in range(history.MAX_CHANGES + 1):
            change = store.ObjectChange(
                stored(f"n{number}", 11 + number), False
            )
            found.add([change], 11 + number)
        assert found.since(9) is None
        assert found.since(10) is None
        kept = found.since(11)
        assert kept is not None and len(kept) == history.MAX_CHANGES
        assert found.since(11 + history.MAX_CHANGES) == []

    def test_news_are_told_from_what_is_known(self):
        """Guards against a spare source that tells of nothing, or always."""
        found = history.History()
        assert found.has_news(0)
        found.restart(10)
        assert found.has_news(9)
        assert not found.has_news(10)
        found.add([store.ObjectChange(stored("n", 12), False)], 12)
        assert found.has_news(11)
        assert not found.has_news(12)


class TestSources:
    """Who watches the store."""

    def test_the_gateways_that_registered_first_watch(self):
        """Guards against a store that all VMs watch."""
        vms = {f"v{i}": vm(f"v{i}", 100 - i) for i in range(10)}
        watchers = []
        for found in vms.values():
            known = sources.Sources(found)
            known.see_vms(vms)
            if known.is_watcher(0.0):
                watchers.append(found.name)
        assert watchers == ["v6", "v7", "v8", "v9"]

    def test_large_vms_watch_and_tell_their_own_zones(self):
        """Guards against slow links and bytes between zones."""
        vms = {
            f"v{i}": vm(f"v{i}", i, "abc"[i % 3], 100.0 if i >= 24 else 5.0)
            for i in range(30)
        }
        watchers = {}
        followed = collections.Counter()
        for found in vms.values():
            known = sources.Sources(found)
            known.see_vms(vms)
            if known.is_watcher(0.0):
                watchers[found.name] = found.availability_zone
                continue
            source = known.choose(0.0, slot=0, taken=())
            assert source is not None
            followed[source.availability_zone == found.availability_zone] += 1
        assert watchers == {"v24": "a", "v25": "b", "v26": "c", "v27": "a"}
        assert followed == {True: 26}

    def test_the_next_one_watches_in_place_of_a_silent_one(self):
        """Guards against fewer and fewer watchers."""
        vms = {f"v{i}": vm(f"v{i}", i) for i in range(10)}
        known = sources.Sources(vms["v4"])
        known.see_vms(vms)
        assert not known.is_watcher(0.0)
        known.note_silent(vms["v1"], 0.0)
        assert known.is_watcher(0.1)
        assert not known.is_watcher(100.0)

    def test_two_slots_follow_different_gateways(self):
        """Guards against depending on one gateway."""
        vms = {f"v{i}": vm(f"v{i}", i) for i in range(10)}
        known = sources.Sources(vms["v9"])
        known.see_vms(vms)
        first = known.choose(0.0, slot=0, taken=())
        assert first is not None
        second = known.choose(0.0, slot=1, taken=(first,))
        assert second is not None
        assert first != second
        known.note_unfit(first, 0.0)
        assert known.choose(0.05, slot=0, taken=(second,)) != first
        assert known.choose(1.0, slot=0, taken=(second,)) == first

    def test_followers_spread_over_the_watchers(self):
        """Guards against one VM that serves all others."""
        vms = {f"v{i}": vm(f"v{i}", i) for i in range(80)}
        chosen: collections.Counter[str] = collections.Counter()
        for found in list(vms.values())[4:]:
            known = sources.Sources(found)
            known.see_vms(vms)
            source = known.choose(0.0, slot=0, taken=())
            assert source is not None
            chosen[source.name] += 1
        assert set(chosen) == {"v0", "v1", "v2", "v3"}
        assert max(chosen.values()) <= 76 / 2

    def test_a_new_run_of_a_vm_is_another_gateway(self):
        """Guards against a VM that takes its former run for itself."""
        vms = {f"v{i}": vm(f"v{i}", i) for i in range(2)}
        restarted = models.Vm("v0", "run-2", "127.0.0.1", 1, "a")
        known = sources.Sources(restarted)
        known.see_vms(vms)
        assert not known.is_watcher(0.0)
