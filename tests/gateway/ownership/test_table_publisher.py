"""Tests of sending key tables to other gateways."""

import asyncio
import dataclasses
import functools

import msgspec
import result

from berylweir.gateway import models
from berylweir.gateway import store_cache
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import table_order
from berylweir.gateway.ownership import table_publisher
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
    """Returns the VM of a gateway."""
    return models.Vm(name, "run", "127.0.0.1", 1, "a")


def stored_table(table: models.KeyTable) -> store.StoredObject:
    """Returns a table as an object of the store."""
    spec = msgspec.Raw(objects.encode_table(table))
    null = msgspec.Raw(b"null")
    return store.build_stored_object(table.group, table.revision, spec, null)


class PeerGateway:
    """Another gateway, which also replaces the client that reaches it."""

    def __init__(self) -> None:
        self.cache = store_cache.StoreCache([], counters.Counters())
        self.requests: list[peers.Request] = []
        self.is_unresponsive = False

    async def ask(self, vm: models.Vm, request: peers.Request):
        """Applies a table as a gateway does, and returns the status."""
        await asyncio.sleep(0)
        if self.is_unresponsive:
            return result.Err(exceptions.PeerUnresponsive(vm.name, "silent"))
        self.requests.append(request)
        match request:
            case peers.PublishTable(table):
                self.cache.update_key_tables(codec.decode_objects(table))
            case peers.PublishTableChanges(base_revision, changes, base_epoch):
                decoded = codec.decode_objects(changes)
                self.cache.apply_key_table_changes(
                    decoded, base_revision, base_epoch
                )
        orders = self.cache.key_table_orders
        return result.Ok(
            peers.GatewayStatus(
                "run",
                1,
                False,
                tables=table_order.revisions(orders),
                table_epochs=table_order.epochs(orders),
            )
        )

    def has_table(self, table: models.KeyTable) -> bool:
        """Returns whether it has the table."""
        known = self.cache.key_table_objects.get(table.group)
        if known is None:
            return False
        return objects.decode_table(known).unwrap() == table


class TestTablePublisher:
    """Tables and diffs that are sent to a gateway."""

    def start_publisher(
        self,
    ) -> tuple[PeerGateway, table_publisher.TablePublisher]:
        """Returns a gateway and a publisher that sends to it."""
        gateway = PeerGateway()
        publisher = table_publisher.TablePublisher(vm("me"), gateway)
        publisher.update_vms({"other": vm("other")})
        return gateway, publisher

    async def test_diffs_follow_the_whole_table(self):
        """Guards against sending whole tables to all gateways for each move."""
        gateway, publisher = self.start_publisher()
        table = dataclasses.replace(
            tables.create("g", _INSTANCES, 1), revision=1
        )
        publisher.publish(None, table, stored_table(table))
        await rig.until(functools.partial(gateway.has_table, table))
        for revision in range(2, 6):
            previous = table
            move = ownership.Move(revision, revision + 10, _INSTANCES[7])
            table = dataclasses.replace(
                tables.start_moves(previous, [move]), revision=revision
            )
            publisher.publish(previous, table, stored_table(table))
            await rig.until(functools.partial(gateway.has_table, table))
        kinds = [type(request) for request in gateway.requests]
        assert kinds == [peers.PublishTable] + 4 * [peers.PublishTableChanges]
        publisher.close()

    async def test_a_gateway_that_lost_its_table_gets_it_whole(self):
        """Guards against a gateway that has no table after a restart."""
        gateway, publisher = self.start_publisher()
        table = dataclasses.replace(
            tables.create("g", _INSTANCES, 1), revision=1
        )
        publisher.publish(None, table, stored_table(table))
        await rig.until(functools.partial(gateway.has_table, table))
        gateway.cache = store_cache.StoreCache([], counters.Counters())
        previous = table
        move = ownership.Move(0, 10, _INSTANCES[7])
        table = dataclasses.replace(
            tables.start_moves(previous, [move]), revision=2
        )
        publisher.publish(previous, table, stored_table(table))
        await rig.until(functools.partial(gateway.has_table, table))
        publisher.close()

    async def test_new_tokens_alone_are_sent_as_an_empty_diff(self):
        """Guards against sending whole tables whenever the lease changes."""
        gateway, publisher = self.start_publisher()
        table = dataclasses.replace(
            tables.create("g", _INSTANCES, 1), revision=1
        )
        gateway.cache.update_key_tables([stored_table(table)])
        table_with_new_tokens = dataclasses.replace(
            tables.raise_tokens(table, 2), revision=2
        )
        publisher.publish(
            table, table_with_new_tokens, stored_table(table_with_new_tokens)
        )
        await rig.until(
            lambda: (
                table_order.revisions(gateway.cache.key_table_orders)
                == {"g": 2}
            )
        )
        (request,) = gateway.requests
        assert isinstance(request, peers.PublishTableChanges)
        (changed,) = codec.decode_objects(request.changes)
        decoded = objects.decode_table(changed).unwrap()
        assert (decoded.epoch, decoded.ranges) == (2, ())
        publisher.close()

    async def test_a_gateway_that_was_unresponsive_gets_the_newest_table(self):
        """Guards against sending a diff from a table that wasn't received."""
        gateway, publisher = self.start_publisher()
        gateway.is_unresponsive = True
        table = dataclasses.replace(
            tables.create("g", _INSTANCES, 1), revision=1
        )
        publisher.publish(None, table, stored_table(table))
        await asyncio.sleep(0.05)
        previous = table
        move = ownership.Move(0, 10, _INSTANCES[7])
        table = dataclasses.replace(
            tables.start_moves(previous, [move]), revision=2
        )
        publisher.publish(previous, table, stored_table(table))
        gateway.is_unresponsive = False
        await rig.until(functools.partial(gateway.has_table, table))
        publisher.close()

    async def test_a_table_of_another_epoch_is_not_the_base_of_a_diff(self):
        """Guards against a mix of the tables of two holders.

        An earlier holder wrote a table into a restored store, which gave out
        the revision of its successor's table again.
        """
        gateway, publisher = self.start_publisher()
        earlier = dataclasses.replace(
            tables.create("g", _INSTANCES, 1), revision=7
        )
        gateway.cache.update_key_tables([stored_table(earlier)])
        move = ownership.Move(0, 10, _INSTANCES[7])
        base = dataclasses.replace(
            tables.start_moves(tables.raise_tokens(earlier, 2), [move]),
            revision=7,
        )
        move = ownership.Move(
            models.KEY_COUNT - 9, models.KEY_COUNT - 1, move.target
        )
        table = dataclasses.replace(
            tables.start_moves(base, [move]), revision=9
        )
        publisher.publish(base, table, stored_table(table))
        await rig.until(
            lambda: table.order in gateway.cache.key_table_orders.values()
        )
        assert gateway.has_table(table)
        publisher.close()


class TestStoreCache:
    """Diffs that don't apply to the known table."""

    def test_a_diff_from_an_unknown_revision_is_ignored(self):
        """Guards against applying a diff to another table than its base."""
        cache = store_cache.StoreCache([], counters.Counters())
        table = dataclasses.replace(
            tables.create("g", _INSTANCES, 1), revision=3
        )
        cache.update_key_tables([stored_table(table)])
        move = ownership.Move(0, 10, _INSTANCES[7])
        newer = dataclasses.replace(
            tables.start_moves(table, [move]), revision=9
        )
        table_diff = stored_table(tables.diff(table, newer))
        cache.apply_key_table_changes([table_diff], 2, 1)
        assert table_order.revisions(cache.key_table_orders) == {"g": 3}
        cache.apply_key_table_changes([table_diff], 3, 1)
        assert table_order.revisions(cache.key_table_orders) == {"g": 9}

    def test_whole_table_is_not_that_of_an_earlier_epoch(self):
        """Guards against sending a table that was replaced long ago.

        A restored store has given out its revision again.
        """
        cache = store_cache.StoreCache([], counters.Counters())
        earlier = dataclasses.replace(
            tables.create("g", _INSTANCES, 1), revision=9
        )
        base = dataclasses.replace(tables.raise_tokens(earlier, 2), revision=3)
        cache.update_key_tables([stored_table(earlier)])
        move = ownership.Move(0, 10, _INSTANCES[7])
        newest = dataclasses.replace(
            tables.start_moves(base, [move]), revision=9
        )
        cache.apply_key_table_changes(
            [stored_table(tables.diff(earlier, base))], 9, 1
        )
        cache.apply_key_table_changes(
            [stored_table(tables.diff(base, newest))], 3, 2
        )
        assert cache.key_table_orders == {"g": newest.order}
        (stored,) = cache.key_table_objects.values()
        assert objects.decode_table(stored).unwrap().epoch == 2
