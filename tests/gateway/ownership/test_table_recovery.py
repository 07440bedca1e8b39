"""Tests of getting the newest key tables after a restoration."""

import pytest

from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.gateway.ownership import table_recovery
from berylweir.gateway.ownership import tables

_FIRST_EPOCH = revisions.next_epoch(0, 0)
_RESTORED_EPOCH = revisions.next_epoch(0, 1)


def table(group: str, epoch: int) -> models.KeyTable:
    """Returns the table of a group, as written under an epoch."""
    return tables.create(group, [models.ServerInstance("s1", 1)], epoch)


def group(name: str, *, is_keyed: bool = True) -> models.ServerGroup:
    """Returns the settings of a server group."""
    return models.ServerGroup(name, 8, 5.0, is_keyed)


class TestDue:
    """When the tables of the store may be older than the granted ones."""

    def is_due(
        self,
        table_epochs: dict[str, int],
        *,
        epoch: int = _RESTORED_EPOCH + 3,
        groups: tuple[models.ServerGroup, ...] = (group("g1"), group("g2")),
    ) -> bool:
        """Returns whether tables of the given epochs require a recovery."""
        known = {name: table(name, e) for name, e in table_epochs.items()}
        return table_recovery.is_due(epoch, known, groups)

    def test_is_due_until_a_holder_has_acted(self):
        """Guards against an old table if a holder ended before it acted."""
        assert self.is_due({"g1": _FIRST_EPOCH, "g2": _FIRST_EPOCH})

    def test_is_due_if_only_some_tables_were_written(self):
        """Guards against old tables if a holder ended while it wrote them."""
        assert self.is_due({"g1": _RESTORED_EPOCH, "g2": _FIRST_EPOCH})

    def test_is_due_if_a_table_is_missing(self):
        """Guards against a new table for keys that have owners."""
        assert self.is_due({"g1": _RESTORED_EPOCH})
        assert self.is_due({})

    def test_is_due_if_neither_tables_nor_groups_are_known(self):
        """Guards against a gateway that has only just started."""
        assert self.is_due({}, groups=())

    def test_is_due_again_after_another_restoration(self):
        """Guards against tables that are one restoration old."""
        restored_twice = revisions.next_epoch(0, 2)
        written = {"g1": _RESTORED_EPOCH, "g2": _RESTORED_EPOCH}
        assert self.is_due(written, epoch=restored_twice)

    def test_is_not_due_once_all_tables_were_written(self):
        """Guards against a delay of each later holder."""
        assert not self.is_due({"g1": _RESTORED_EPOCH, "g2": _RESTORED_EPOCH})

    @pytest.mark.parametrize("tables_known", [{}, {"g1": _FIRST_EPOCH}])
    def test_is_not_due_if_the_store_was_never_restored(self, tables_known):
        """Guards against a delay when a deployment starts."""
        assert not self.is_due(tables_known, epoch=_FIRST_EPOCH + 1)

    def test_groups_without_keys_need_no_table(self):
        """Guards against a delay of a deployment without keys."""
        assert not self.is_due({}, groups=(group("g", is_keyed=False),))
