"""Tests of key tables on their way to other gateways."""

import asyncio
import dataclasses
import functools

import msgspec
import result

from berylweir.gateway import models
from berylweir.gateway import store_cache
from berylweir.gateway.ownership import announcing
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import tables
from berylweir.gateway.peers import exceptions
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.replication import codec
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import store
from tests.gateway import rig

_INSTANCES = [models.ServerInstance(f"s{i}", 1) for i in range(20)]


def vm(name: str) -> models.Vm:
    """Returns a gateway."""
    return models.Vm(name, "run", "127.0.0.1", 1, "a")


def stored(table: models.KeyTable) -> store.StoredObject:
    """Returns the object of a table."""
    spec = msgspec.Raw(objects.encode_table(table))
    null = msgspec.Raw(b"null")
    return store.build_stored_object(table.group, table.revision, spec, null)


class Listener:
    """Another gateway, in place of the client that would reach it."""

    def __init__(self) -> None:
        self.cache = store_cache.StoreCache([], counters.Counters())
        self.requests: list[peers.Request] = []
        self.is_silent = False

    async def ask(self, vm: models.Vm, request: peers.Request):
        """Takes a request and answers as a gateway would."""
        await asyncio.sleep(0)
        if self.is_silent:
            return result.Err(exceptions.PeerUnresponsive(vm.name, "silent"))
        self.requests.append(request)
        match request:
            case peers.PublishTable(table):
                self.cache.update_tables(codec.decode_objects(table))
            case peers.PublishTableChanges(base_revision, changes):
                found = codec.decode_objects(changes)
                self.cache.apply_table_changes(found, base_revision)
        known = self.cache.key_table_revisions
        return result.Ok(peers.GatewayStatus("run", 1, False, tables=known))

    def knows(self, table: models.KeyTable) -> bool:
        """Returns whether it has the table."""
        known = self.cache.tables.get(table.group)
        if known is None:
            return False
        return objects.decode_table(known).unwrap() == table


class TestAnnouncer:
    """What a gateway is told."""

    def start(self) -> tuple[Listener, announcing.Announcer]:
        """Returns an announcer and the gateway that it tells."""
        listener = Listener()
        announcer = announcing.Announcer(vm("me"), listener)
        announcer.see_vms({"other": vm("other")})
        return listener, announcer

    async def test_changes_follow_the_whole_table(self):
        """Guards against a busy link of the holder at each move."""
        listener, announcer = self.start()
        table = dataclasses.replace(
            tables.create("g", _INSTANCES, 1), revision=1
        )
        announcer.announce(None, table, stored(table))
        await rig.until(functools.partial(listener.knows, table))
        for revision in range(2, 6):
            before = table
            move = ownership.Move(revision, revision + 10, _INSTANCES[7])
            table = dataclasses.replace(
                tables.start_moves(before, [move]), revision=revision
            )
            announcer.announce(before, table, stored(table))
            await rig.until(functools.partial(listener.knows, table))
        kinds = [type(request) for request in listener.requests]
        assert kinds == [peers.PublishTable] + 4 * [peers.PublishTableChanges]
        announcer.close()

    async def test_a_gateway_that_lost_its_table_gets_it_whole(self):
        """Guards against a gateway that stays without owners."""
        listener, announcer = self.start()
        table = dataclasses.replace(
            tables.create("g", _INSTANCES, 1), revision=1
        )
        announcer.announce(None, table, stored(table))
        await rig.until(functools.partial(listener.knows, table))
        listener.cache = store_cache.StoreCache([], counters.Counters())
        before = table
        move = ownership.Move(0, 10, _INSTANCES[7])
        table = dataclasses.replace(
            tables.start_moves(before, [move]), revision=2
        )
        announcer.announce(before, table, stored(table))
        await rig.until(functools.partial(listener.knows, table))
        announcer.close()

    async def test_a_new_keeper_tells_only_that_the_epoch_is_new(self):
        """Guards against whole tables for all VMs at each takeover."""
        listener, announcer = self.start()
        table = dataclasses.replace(
            tables.create("g", _INSTANCES, 1), revision=1
        )
        listener.cache.update_tables([stored(table)])
        raised = dataclasses.replace(tables.raise_tokens(table, 2), revision=2)
        announcer.announce(table, raised, stored(raised))
        await rig.until(lambda: listener.cache.key_table_revisions == {"g": 2})
        (request,) = listener.requests
        assert isinstance(request, peers.PublishTableChanges)
        (changed,) = codec.decode_objects(request.changes)
        found = objects.decode_table(changed).unwrap()
        assert (found.epoch, found.ranges) == (2, ())
        announcer.close()

    async def test_a_gateway_that_was_silent_gets_the_newest_table(self):
        """Guards against changes to a table that was never received."""
        listener, announcer = self.start()
        listener.is_silent = True
        table = dataclasses.replace(
            tables.create("g", _INSTANCES, 1), revision=1
        )
        announcer.announce(None, table, stored(table))
        await asyncio.sleep(0.05)
        before = table
        move = ownership.Move(0, 10, _INSTANCES[7])
        table = dataclasses.replace(
            tables.start_moves(before, [move]), revision=2
        )
        announcer.announce(before, table, stored(table))
        listener.is_silent = False
        await rig.until(functools.partial(listener.knows, table))
        announcer.close()


class TestWorld:
    """Changes that don't fit."""

    def test_changes_of_an_unknown_table_are_passed_over(self):
        """Guards against a table that is put together from two others."""
        found = store_cache.StoreCache([], counters.Counters())
        table = dataclasses.replace(
            tables.create("g", _INSTANCES, 1), revision=3
        )
        found.update_tables([stored(table)])
        move = ownership.Move(0, 10, _INSTANCES[7])
        later = dataclasses.replace(
            tables.start_moves(table, [move]), revision=9
        )
        changed = stored(tables.diff(table, later))
        found.apply_table_changes([changed], 2)
        assert found.key_table_revisions == {"g": 3}
        found.apply_table_changes([changed], 3)
        assert found.key_table_revisions == {"g": 9}
