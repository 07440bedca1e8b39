"""Tests of the object store's client."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import msgspec
import pytest
import result

from berylweir.gateway import revisions
from berylweir.platform import exceptions
from berylweir.platform import settings
from berylweir.platform import store
from berylweir.platform import store_generation
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import store as store_standin


@pytest.fixture
async def store_and_client() -> AsyncIterator[
    tuple[store_standin.Store, store.StoreClient]
]:
    async with contextlib.AsyncExitStack() as stack:
        fake_store = store_standin.Store()
        port = await http.listen(stack, fake_store.handle)
        client = store.StoreClient(settings.StoreAddress(("127.0.0.1", port)))
        stack.callback(client.close)
        yield fake_store, client


class TestListing:
    """Listing all objects of a kind."""

    async def test_all_pages_are_read(self, store_and_client):
        """Guards against objects missing beyond the first page."""
        fake_store, client = store_and_client
        for number in range(10):
            await fake_store.put("k", f"n{number}", {"number": number})
        listing = (await client.list_all("k")).unwrap()
        assert [o.name for o in listing.objects] == [f"n{n}" for n in range(10)]
        assert listing.revision == fake_store.revision

    @pytest.mark.parametrize(
        "spec",
        [
            b'"\\udcff"',
            b'{"\\ud800": 1}',
            b'["\\udc00\\ud800"]',
            b'{"info": {"zone": "\\ud83d"}}',
            b"1e999",
            b'"\xff\xfe"',
            b'"\xe2\x82"',
        ],
    )
    async def test_unreadable_object_is_left_out(self, store_and_client, spec):
        """Guards against one writer that hides the objects of all others."""
        fake_store, client = store_and_client
        before = (await client.list_all("k")).unwrap().revision
        await fake_store.put("k", "a", {"n": 1})
        await fake_store.put("k", "b", msgspec.Raw(spec))
        await fake_store.put("k", "c", {"n": 2})
        listing = (await client.list_all("k")).unwrap()
        names = [o.name for o in listing.objects]
        assert names in (["a", "c"], ["a", "b", "c"])
        assert listing.undecodable == 3 - len(names)
        watched = (await client.watch("k", before)).unwrap()
        assert [c.object.name for c in watched.changes] == names
        assert watched.revision == listing.revision

    async def test_pages_of_unreadable_objects_hide_no_others(
        self, store_and_client
    ):
        """Guards against a listing that fails as long as they exist."""
        fake_store, client = store_and_client
        # The stand-in has three objects in each page.
        specs = (
            b'"\\udc00"',
            b'{"meta": {"name": "z"}, "x": "\\udcff"}',
            b'{"x":' * 1000 + b"1" + b"}" * 1000,
            b'["meta", "name", "\\ud800"]',
        )
        for number, spec in enumerate(specs):
            await fake_store.put("k", f"a{number}", msgspec.Raw(spec))
        await fake_store.put("k", "b", {"n": 1})
        listing = (await client.list_all("k")).unwrap()
        assert [o.name for o in listing.objects] == ["b"]
        assert listing.undecodable == 4
        assert listing.undecodable_names == ["a0", "a1", "a2", "a3"]
        changes = (await client.watch("k", 1)).unwrap()
        assert changes.undecodable_names == ["a0", "a1", "a2", "a3"]

    async def test_deeply_nested_object_is_left_out(self, store_and_client):
        """Guards against an odd entry that hides all others of its kind."""
        fake_store, client = store_and_client
        depth = 100_000
        before = (await client.list_all("k")).unwrap().revision
        await fake_store.put("k", "a", {"text": '[{"'})
        await fake_store.put(
            "k", "b", msgspec.Raw(b'{"x":' * depth + b"1" + b"}" * depth)
        )
        await fake_store.put("k", "c", [[1], [2]])
        listing = (await client.list_all("k")).unwrap()
        assert [o.name for o in listing.objects] == ["a", "c"]
        assert listing.undecodable == 1
        watched = (await client.watch("k", before)).unwrap()
        assert [c.object.name for c in watched.changes] == ["a", "c"]
        assert watched.revision == listing.revision


class TestWatch:
    """Watching the changes after a revision."""

    async def test_changes_and_removals_arrive(self, store_and_client):
        """Guards against a change that the watch doesn't report."""
        fake_store, client = store_and_client
        await fake_store.put("k", "a", 1)
        before = fake_store.revision
        watch = asyncio.create_task(client.watch("k", before))
        await fake_store.put("k", "b", 2)
        changes = (await watch).unwrap()
        assert [c.object.name for c in changes.changes] == ["b"]
        await fake_store.remove("k", "a")
        changes = (await client.watch("k", changes.revision)).unwrap()
        assert [c.is_removed for c in changes.changes] == [True]

    async def test_dropped_history_is_reported(self, store_and_client):
        """Guards against missed changes after the store dropped history."""
        fake_store, client = store_and_client
        await fake_store.put("k", "a", 1)
        await fake_store.put("k", "a", 2)
        await fake_store.compact_history()
        assert (await client.watch("k", 1)).err() == exceptions.HistoryExpired(
            "k", 1
        )


class TestWrites:
    """Conditional writes."""

    async def test_second_of_two_writers_conflicts(self, store_and_client):
        """Guards against two holders of a lease."""
        _, client = store_and_client
        created = (await client.create("k", "a", b"1")).unwrap()
        first_write = await client.replace("k", "a", b"2", created.revision)
        assert isinstance(first_write, result.Ok)
        conflict = (
            await client.replace("k", "a", b"3", created.revision)
        ).err()
        assert isinstance(conflict, exceptions.Conflict)
        current = store.decode_conflict(conflict)
        assert bytes(current.spec) == b"2"

    async def test_lost_response_is_unreachable(self, store_and_client):
        """Guards against treating an unconfirmed write as done or refused."""
        fake_store, client = store_and_client
        created = (await client.create("k", "a", b"1")).unwrap()
        fake_store.next_faults.append(store_standin.Fault.LOSE_ANSWER)
        failure = (await client.replace("k", "a", b"2", created.revision)).err()
        assert isinstance(failure, exceptions.Unreachable)
        second_failure = (
            await client.replace("k", "a", b"2", created.revision)
        ).err()
        assert isinstance(second_failure, exceptions.Conflict)
        assert bytes(store.decode_conflict(second_failure).spec) == b"2"

    async def test_delayed_write_is_not_applied_over_a_newer_one(
        self, store_and_client
    ):
        """Guards against a delayed write that overwrites a newer one."""
        fake_store, client = store_and_client
        created = (await client.create("k", "a", b"1")).unwrap()
        fake_store.next_faults.append(store_standin.Fault.APPLY_LATE)
        await client.replace("k", "a", b"2", created.revision)
        await client.replace("k", "a", b"3", created.revision)
        await fake_store.apply_late_writes()
        assert fake_store.get("k", "a")["spec"] == 3

    async def test_unanswered_read_is_not_applied_later(self, store_and_client):
        """Guards against a fake store that applies delayed reads as writes."""
        fake_store, client = store_and_client
        fake_store.next_faults.append(store_standin.Fault.APPLY_LATE)
        response = await client.list_all("k")
        assert isinstance(response.err(), exceptions.Unreachable)
        await fake_store.apply_late_writes()
        assert fake_store.revision == 1

    @pytest.mark.parametrize(
        "fault", [store_standin.Fault.REFUSE, store_standin.Fault.LIMIT]
    )
    async def test_refused_call_changes_nothing(self, store_and_client, fault):
        """Guards against a refused call that counts as a lost response."""
        fake_store, client = store_and_client
        fake_store.next_faults.append(fault)
        failure = (await client.create("k", "a", b"1")).err()
        assert isinstance(failure, exceptions.Rejected)
        assert fake_store.get("k", "a") is None


class TestRestoredStore:
    """A store that came back from a copy that is some seconds old."""

    async def restore(self, fake_store: store_standin.Store) -> None:
        """Writes two objects and restores the store without the second."""
        await fake_store.put("k", "a", 1)
        copy = fake_store.copy()
        await fake_store.put("k", "b", 2)
        await fake_store.restore(copy)

    async def test_watch_from_a_revision_of_before_is_refused(
        self, store_and_client
    ):
        """Guards against missing changes whose revisions were reused."""
        fake_store, client = store_and_client
        await self.restore(fake_store)
        before = revisions.compose(fake_store.generation - 1, 3)
        for number in range(5):
            await fake_store.put("k", f"c{number}", number)
        for _ in range(2):
            failure = (await client.watch("k", before)).err()
            assert failure == exceptions.HistoryExpired("k", before)
        listing = (await client.list_all("k")).unwrap()
        assert listing.revision > before
        assert "b" not in {o.name for o in listing.objects}

    async def test_waiting_watch_of_another_client_ends(self, store_and_client):
        """Guards against a watch that waits for a revision of before."""
        fake_store, client = store_and_client
        generation = store_generation.StoreGeneration()
        address = client._address
        first = store.StoreClient(address, generation)
        second = store.StoreClient(address, generation)
        await fake_store.put("k", "a", 1)
        listing = (await first.list_all("k")).unwrap()
        watch = asyncio.create_task(first.watch("k", listing.revision))
        await asyncio.sleep(0.05)
        fake_store.generation += 1
        await second.list_all("k")
        assert isinstance(
            (await asyncio.wait_for(watch, 2.0)).err(), exceptions.Unreachable
        )
        assert isinstance(
            (await first.watch("k", listing.revision)).err(),
            exceptions.HistoryExpired,
        )
        second.close()
        first.close()

    async def test_condition_of_before_conflicts(self, store_and_client):
        """Guards against a write over a state with the same revision."""
        fake_store, client = store_and_client
        created = (await client.create("k", "x", b"1")).unwrap()
        copy = fake_store.copy()
        written = (
            await client.replace("k", "x", b"2", created.revision)
        ).unwrap()
        await fake_store.restore(copy)
        # Another writer's state gets the revision that was given out before.
        await fake_store.put("k", "x", 3)
        assert fake_store.revision == revisions.number(written.revision)
        await client.list_all("k")
        conflict = (
            await client.replace("k", "x", b"4", written.revision)
        ).err()
        assert isinstance(conflict, exceptions.Conflict)
        current = store.decode_conflict(conflict)
        assert bytes(current.spec) == b"3"
        assert current.revision > written.revision
        assert isinstance(
            await client.replace("k", "x", b"4", current.revision), result.Ok
        )

    async def test_removal_with_a_condition_of_before_conflicts(
        self, store_and_client
    ):
        """Guards against removing a state with the same revision."""
        fake_store, client = store_and_client
        created = (await client.create("k", "x", b"1")).unwrap()
        copy = fake_store.copy()
        written = (
            await client.replace("k", "x", b"2", created.revision)
        ).unwrap()
        await fake_store.restore(copy)
        await fake_store.put("k", "x", 3)
        assert fake_store.revision == revisions.number(written.revision)
        await client.list_all("k")
        conflict = (await client.delete("k", "x", written.revision)).err()
        assert isinstance(conflict, exceptions.Conflict)
        current = store.decode_conflict(conflict)
        assert bytes(current.spec) == b"3"
        assert isinstance(
            await client.delete("k", "x", current.revision), result.Ok
        )


class TestLongResponses:
    """Responses that are longer than the store sends them."""

    async def test_response_without_end_is_given_up(self):
        """Guards against a store whose response uses up the memory."""

        async def handle(_: http.Request) -> http.Response:
            return http.Response(200, {}, bytes(65_536), repeats_body=True)

        async with contextlib.AsyncExitStack() as stack:
            port = await http.listen(stack, handle)
            client = store.StoreClient(
                settings.StoreAddress(("127.0.0.1", port))
            )
            stack.callback(client.close)
            failure = (await client.list_all("k")).unwrap_err()
        assert isinstance(failure, exceptions.Unreachable)
        assert "the body exceeds" in str(failure)
