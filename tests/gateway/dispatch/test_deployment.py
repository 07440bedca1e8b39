"""Tests of what the dispatcher knows of groups and their key tables."""

import contextlib

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.gateway import store_cache
from berylweir.gateway.dispatch import deployment
from berylweir.gateway.dispatch import leaving
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import settings
from berylweir.platform import store
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin
from berylweir.standin.gateway_platform import store as store_standin

_GROUP = models.ServerGroup("slots", 100, 8.0, True)


def configuration(*groups: models.ServerGroup) -> models.Configuration:
    """Returns a configuration without routes."""
    return models.Configuration(
        "1", 1, (), {g.name: g for g in groups}, models.CallerLimits()
    )


def table(revision: int, epoch: int = 1) -> models.KeyTable:
    """Returns a key table of the group."""
    return models.KeyTable(_GROUP.name, revision, epoch, 2, ())


class TestKeyTables:
    """Key tables and configurations, which arrive in any order."""

    def create(self) -> deployment.Deployment:
        """Returns a deployment that knows nothing yet."""
        return deployment.Deployment(
            models.Bounds(), leaving.LeavingInstances()
        )

    def test_table_before_its_configuration_is_lost(self):
        """Guards against keys that a VM refuses until they move again.

        The lease holder sends its tables to a VM as soon as it registers.
        """
        known = self.create()
        known.update_key_table(table(7))
        known.apply_configuration(configuration(_GROUP))
        assert known.groups["slots"].table == table(7)

    def test_older_table_replaces_a_newer_one(self):
        """Guards against owners of before a move."""
        known = self.create()
        known.update_key_table(table(7))
        known.update_key_table(table(6))
        known.apply_configuration(configuration(_GROUP))
        known.update_key_table(table(5))
        assert known.groups["slots"].table == table(7)
        known.update_key_table(table(8))
        assert known.groups["slots"].table == table(8)

    def test_table_of_a_later_epoch_at_a_lower_revision_is_ignored(self):
        """Guards against the owners of a holder that was replaced.

        Revisions are given out again once the store was restored from a copy.
        """
        known = self.create()
        known.apply_configuration(configuration(_GROUP))
        known.update_key_table(table(50, epoch=1))
        known.update_key_table(table(10, epoch=2))
        assert known.groups["slots"].table == table(10, epoch=2)

    def test_table_of_an_earlier_epoch_at_a_higher_revision_replaces(self):
        """Guards against a table that an earlier holder wrote later.

        It may do so in a restored store before it has learned of its
        successor.
        """
        known = self.create()
        known.apply_configuration(configuration(_GROUP))
        known.update_key_table(table(10, epoch=2))
        known.update_key_table(table(50, epoch=1))
        assert known.groups["slots"].table == table(10, epoch=2)


class TestServers:
    """Entries of servers in a store that was restored from a copy."""

    async def test_entry_at_a_number_that_was_given_out_before_is_ignored(self):
        """Guards against an entry that stays as it was before a restoration.

        The store counts its revisions from an earlier number again, and the
        client adds the generation.
        """
        known = deployment.Deployment(
            models.Bounds(), leaving.LeavingInstances()
        )

        def apply(message: messages.StoreUpdate) -> None:
            match message:
                case messages.ServersChanged(servers):
                    known.update_servers(servers, 0.0)

        cache = store_cache.StoreCache([apply], counters.Counters())
        instance = models.ServerInstance("s", 1)
        async with contextlib.AsyncExitStack() as stack:
            fake_store = store_standin.Store()
            port = await http.listen(stack, fake_store.handle)
            client = store.StoreClient(
                settings.StoreAddress(("127.0.0.1", port))
            )
            stack.callback(client.close)

            async def write(slots: int) -> int:
                spec = server_standin.server_spec("s", "g", 80, slots=slots)
                await fake_store.put(objects.SERVERS_KIND, "s", spec)
                listing = await client.list_all(objects.SERVERS_KIND)
                cache.update_servers(listing.unwrap().objects)
                return known.servers[instance].server.revision

            copy = fake_store.copy()
            written = [await write(slots) for slots in (3, 4, 5)]
            await fake_store.restore(copy)
            restored = await write(6)
        assert known.servers[instance].server.slots == 6
        assert revisions.number(restored) < revisions.number(written[-1])
