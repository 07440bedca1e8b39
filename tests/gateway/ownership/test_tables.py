"""Tests of changes of key tables."""

import dataclasses

import hypothesis
from hypothesis import strategies as st

from berylweir.gateway import models
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import tables

_INSTANCES = [models.ServerInstance(f"s{i}", 1) for i in range(4)]
_KEY = st.integers(0, models.KEY_COUNT - 1)


@st.composite
def moves(draw) -> list[ownership.Move]:
    """Returns moves of arbitrary ranges."""
    found = []
    for _ in range(draw(st.integers(1, 8))):
        first, last = sorted((draw(_KEY), draw(_KEY)))
        found.append(
            ownership.Move(first, last, draw(st.sampled_from(_INSTANCES)))
        )
    return found


def covers_all_keys(table: models.KeyTable) -> bool:
    """Returns whether the ranges follow each other without a gap."""
    expected = 0
    for found in table.ranges:
        if found.first != expected or found.last < found.first:
            return False
        expected = found.last + 1
    return expected == models.KEY_COUNT


def without_tokens(table: models.KeyTable) -> models.KeyTable:
    """Returns a table as gateways that don't grant need it."""
    ranges = tuple(dataclasses.replace(r, token=0) for r in table.ranges)
    return dataclasses.replace(table, ranges=ranges)


class TestMove:
    """Moves that are begun and ended."""

    @hypothesis.given(moves())
    def test_all_keys_stay_covered(self, wanted):
        """Guards against keys without an owner after a move."""
        table = tables.create("g", _INSTANCES, 1)
        for move in wanted:
            table = tables.move(table, [move])
            assert covers_all_keys(table)
            table = tables.settle(table, lambda _: True)
            assert covers_all_keys(table)

    @hypothesis.given(moves())
    def test_each_new_owner_has_a_higher_token(self, wanted):
        """Guards against a token that an earlier owner had."""
        table = tables.create("g", _INSTANCES, 1)
        highest = max(r.token for r in table.ranges)
        for move in wanted:
            before = table
            table = tables.move(table, [move])
            for found in table.ranges:
                if (
                    found.previous_owner is not None
                    and found not in before.ranges
                ):
                    assert found.token > highest
            assert table.next_token > max(r.token for r in table.ranges)
            highest = max(r.token for r in table.ranges)
            table = tables.settle(table, lambda _: True)

    def test_a_range_is_served_again_only_once_it_is_settled(self):
        """Guards against two servers for one key during a move."""
        table = tables.create("g", _INSTANCES, 1)
        table = tables.move(table, [ownership.Move(0, 99, _INSTANCES[3])])
        assert table.ranges[0].previous_owner == _INSTANCES[0]
        kept = tables.settle(table, lambda _: False)
        assert kept.ranges == table.ranges
        assert (
            tables.settle(table, lambda _: True).ranges[0].previous_owner
            is None
        )

    def test_a_new_keeper_raises_every_token(self):
        """Guards against grants of a former keeper that servers still take."""
        table = tables.create("g", _INSTANCES, 1)
        raised = tables.raise_tokens(table, 2)
        assert {r.token for r in raised.ranges} == {table.next_token}
        assert raised.next_token > table.next_token
        assert raised.epoch == 2


class TestChanges:
    """Changes that are told in place of whole tables."""

    @hypothesis.given(moves(), st.integers(0, 8))
    def test_changes_lead_to_the_later_table(self, wanted, told):
        """Guards against gateways with other owners than the keeper."""
        history = [tables.create("g", _INSTANCES, 1)]
        for move in wanted:
            history.append(tables.move(history[-1], [move]))
            history.append(tables.settle(history[-1], lambda _: True))
        base = history[min(told, len(history) - 1)]
        changed = tables.changes(base, history[-1])
        found = tables.apply(base, changed)
        assert found is not None
        assert without_tokens(found) == without_tokens(history[-1])
        # What a new keeper makes of it is the same.
        assert tables.raise_tokens(found, 9) == tables.raise_tokens(
            history[-1], 9
        )

    def test_one_move_is_a_small_change(self):
        """Guards against the whole table on the way for each move."""
        instances = [models.ServerInstance(f"s{i}", 1) for i in range(105)]
        before = tables.create("g", instances, 1)
        after = tables.move(before, [ownership.Move(10, 20, instances[50])])
        assert len(tables.changes(before, after).ranges) <= 3

    @hypothesis.given(moves(), moves())
    def test_changes_of_another_table_leave_no_gap(self, wanted, others):
        """Guards against a table that is put together wrongly."""
        start = tables.create("g", _INSTANCES, 1)
        changed = tables.changes(start, tables.move(start, wanted))
        other = tables.move(start, others)
        found = tables.apply(other, changed)
        assert found is None or covers_all_keys(found)
