"""Tests of what the dispatcher knows of groups and their key tables."""

from berylweir.gateway import models
from berylweir.gateway.dispatch import deployment
from berylweir.gateway.dispatch import leaving

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
