"""Tests of the order of key tables."""

import dataclasses

import hypothesis
from hypothesis import strategies
import msgspec

from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.gateway import store_cache
from berylweir.gateway.ownership import table_order
from berylweir.gateway.ownership import tables
from berylweir.gateway.peers import messages as peers
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import store

_OWNERS = tuple(models.ServerInstance(f"s{n}", 1) for n in range(3))


def build_table(epoch: int, number: int) -> models.KeyTable:
    """Returns a table that was written under an epoch."""
    table = tables.create("g", _OWNERS, epoch)
    generation = revisions.epoch_generation(epoch)
    return dataclasses.replace(
        table, revision=revisions.compose(generation, number)
    )


def store_table(table: models.KeyTable) -> store.StoredObject:
    """Returns the object of a table."""
    return store.build_stored_object(
        table.group,
        table.revision,
        msgspec.Raw(objects.encode_table(table)),
        msgspec.Raw(b"null"),
    )


def vm(name: str) -> models.Vm:
    """Returns a VM."""
    return models.Vm(name, f"run-{name}", "127.0.0.1", 1, "a")


def status(
    order: models.TableOrder, *, states_epoch: bool = True
) -> peers.GatewayStatus:
    """Returns the status of a gateway that knows one table."""
    return peers.GatewayStatus(
        "run",
        1,
        False,
        tables={"g": order.revision},
        table_epochs={"g": order.epoch} if states_epoch else {},
    )


class TestStoreCache:
    """The table that a gateway takes for the newest."""

    def test_table_of_an_earlier_epoch_replaces_none(self):
        """Guards against keys that get two owners.

        A holder that was frozen while the store was restored writes its table
        there under its old epoch, at a revision above that of its successor's.
        """
        cache = store_cache.StoreCache([], counters.Counters())
        successor = build_table(epoch=2, number=10)
        cache.update_key_tables([store_table(successor)])
        cache.update_key_tables([store_table(build_table(epoch=1, number=50))])
        assert cache.key_table_orders == {"g": successor.order}

    @hypothesis.given(
        written=strategies.lists(
            strategies.tuples(
                strategies.sampled_from([1, 2, 2**20 + 1, 2**20 + 2]),
                strategies.integers(1, 40),
            ),
            min_size=1,
            unique=True,
        ),
        rng=strategies.randoms(use_true_random=False),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_all_gateways_end_with_the_same_table(self, written, rng):
        """Guards against gateways that learn of tables in another order."""
        found = []
        for _ in range(2):
            cache = store_cache.StoreCache([], counters.Counters())
            rng.shuffle(written)
            for epoch, number in written:
                cache.update_key_tables(
                    [store_table(build_table(epoch, number))]
                )
            found.append(cache.key_table_orders)
        assert found[0] == found[1]
        assert found[0]["g"].epoch == max(epoch for epoch, _ in written)


class TestStatuses:
    """Gateways whose tables a new holder reads."""

    def test_table_of_a_later_epoch_is_read(self):
        """Guards against a table that passes for older by its revision."""
        stale = models.TableOrder(1, 50)
        newest = models.TableOrder(2, 10)
        replies = [(vm("vm-1"), status(stale)), (vm("vm-2"), status(newest))]
        assert table_order.vms_with_newer_tables(replies, {"g": stale}) == [
            vm("vm-2")
        ]
        assert table_order.vms_with_newer_tables(replies, {}) == [vm("vm-2")]
        assert table_order.vms_with_newer_tables(replies, {"g": newest}) == []

    def test_knows_all(self):
        """Guards against acting before the newest table is known."""
        stale = models.TableOrder(1, 50)
        newest = models.TableOrder(2, 10)
        assert not table_order.knows_all(status(newest), {"g": stale})
        assert not table_order.knows_all(status(newest), {})
        assert table_order.knows_all(status(stale), {"g": newest})

    def test_earlier_builds_are_compared_by_revision(self):
        """Guards against tables of earlier builds that are never read."""
        known = {"g": models.TableOrder(3, 10)}
        replies = [
            (vm("vm-1"), status(models.TableOrder(3, 11))),
            (
                vm("vm-2"),
                status(models.TableOrder(3, 12), states_epoch=False),
            ),
            (vm("vm-3"), status(models.TableOrder(3, 9), states_epoch=False)),
        ]
        assert table_order.vms_with_newer_tables(replies, known) == [
            vm("vm-1"),
            vm("vm-2"),
        ]
