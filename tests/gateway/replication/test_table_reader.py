"""Tests of reading the key tables."""

import contextlib
import dataclasses

import msgspec
import result

from berylweir.gateway import messages as gateway
from berylweir.gateway import models
from berylweir.gateway import store_cache
from berylweir.gateway.ownership import tables
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.peers import snapshots
from berylweir.gateway.replication import codec
from berylweir.gateway.replication import table_reader
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import settings
from berylweir.platform import store
from tests.gateway import rig


def vm(name: str) -> models.Vm:
    """Returns the VM of a gateway."""
    return models.Vm(name, f"run-{name}", "127.0.0.1", 1, "a")


def table(epoch: int, revision: int) -> models.KeyTable:
    """Returns a key table."""
    created = tables.create("g", [models.ServerInstance("s1", 1)], epoch)
    return dataclasses.replace(created, revision=revision)


class PeerGateways:
    """Client for other gateways that know different tables."""

    def __init__(self, known: dict[str, models.KeyTable]) -> None:
        self._known = known

    async def ask(self, vm: models.Vm, request: peers.Request):
        """Returns the table that a gateway knows."""
        known = self._known[vm.name]
        stored = store.build_stored_object(
            known.group,
            known.revision,
            msgspec.Raw(objects.encode_table(known)),
            msgspec.Raw(b"null"),
        )
        return result.Ok(
            peers.ObjectsSnapshot(
                objects.KEY_TABLES_KIND,
                known.revision,
                codec.encode_objects([stored]),
            )
        )


class TestStoreLost:
    """Tables of other gateways while the store doesn't answer."""

    async def test_table_of_a_later_epoch_at_a_lower_revision_is_read(self):
        """Guards against the table of an earlier holder.

        A restored store has given out the revisions again.
        """
        known = {"earlier": table(1, 50), "later": table(2, 10)}
        snapshot_client = snapshots.SnapshotClient(
            vm("me"), PeerGateways(known)
        )
        vms = {name: vm(name) for name in ("me", *known)}
        snapshot_client.on_store_update(gateway.VmsChanged(vms))
        cache = store_cache.StoreCache([], counters.Counters())
        client = store.StoreClient(
            settings.StoreAddress(("127.0.0.1", rig.free_port()))
        )
        reader = table_reader.TableReader(
            client,
            cache.update_key_tables,
            snapshot_client,
            counters.Counters(),
        )
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(client.close)
            await reader._read()
        assert cache.key_table_orders == {"g": known["later"].order}
