"""Tests of operations on key tables."""

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
    """Generates moves of arbitrary ranges."""
    planned_moves = []
    for _ in range(draw(st.integers(1, 8))):
        first, last = sorted((draw(_KEY), draw(_KEY)))
        planned_moves.append(
            ownership.Move(first, last, draw(st.sampled_from(_INSTANCES)))
        )
    return planned_moves


def covers_all_keys(table: models.KeyTable) -> bool:
    """Returns whether the ranges cover all keys without gap or overlap."""
    next_key = 0
    for key_range in table.ranges:
        if key_range.first != next_key or key_range.last < key_range.first:
            return False
        next_key = key_range.last + 1
    return next_key == models.KEY_COUNT


def without_tokens(table: models.KeyTable) -> models.KeyTable:
    """Returns a table with all tokens 0, as only keepers use tokens."""
    ranges = tuple(dataclasses.replace(r, token=0) for r in table.ranges)
    return dataclasses.replace(table, ranges=ranges)


class TestStartMoves:
    """Moves that are started and completed, and new tokens."""

    @hypothesis.given(moves())
    def test_all_keys_stay_covered(self, planned_moves):
        """Guards against keys without an owner after a move."""
        table = tables.create("g", _INSTANCES, 1)
        for move in planned_moves:
            table = tables.start_moves(table, [move])
            assert covers_all_keys(table)
            table = tables.complete_moves(table, lambda _: True)
            assert covers_all_keys(table)

    @hypothesis.given(moves())
    def test_each_new_owner_has_a_higher_token(self, planned_moves):
        """Guards against reusing the token of an earlier owner."""
        table = tables.create("g", _INSTANCES, 1)
        highest = max(r.token for r in table.ranges)
        for move in planned_moves:
            previous = table
            table = tables.start_moves(table, [move])
            for key_range in table.ranges:
                if (
                    key_range.previous_owner is not None
                    and key_range not in previous.ranges
                ):
                    assert key_range.token > highest
            assert table.next_token > max(r.token for r in table.ranges)
            highest = max(r.token for r in table.ranges)
            table = tables.complete_moves(table, lambda _: True)

    def test_a_move_ends_only_once_it_is_completed(self):
        """Guards against two servers that serve a key during a move."""
        table = tables.create("g", _INSTANCES, 1)
        table = tables.start_moves(
            table, [ownership.Move(0, 99, _INSTANCES[3])]
        )
        assert table.ranges[0].previous_owner == _INSTANCES[0]
        unchanged = tables.complete_moves(table, lambda _: False)
        assert unchanged.ranges == table.ranges
        assert (
            tables.complete_moves(table, lambda _: True)
            .ranges[0]
            .previous_owner
            is None
        )

    def test_a_new_keeper_raises_every_token(self):
        """Guards against servers that accept grants of an earlier keeper."""
        table = tables.create("g", _INSTANCES, 1)
        with_new_tokens = tables.raise_tokens(table, 2)
        assert {r.token for r in with_new_tokens.ranges} == {table.next_token}
        assert with_new_tokens.next_token > table.next_token
        assert with_new_tokens.epoch == 2


class TestDiff:
    """Diffs that are sent instead of whole tables."""

    @hypothesis.given(moves(), st.integers(0, 8))
    def test_applying_a_diff_gives_the_newer_table(
        self, planned_moves, base_index
    ):
        """Guards against gateways whose tables differ from the keeper's."""
        history = [tables.create("g", _INSTANCES, 1)]
        for move in planned_moves:
            history.append(tables.start_moves(history[-1], [move]))
            history.append(tables.complete_moves(history[-1], lambda _: True))
        base = history[min(base_index, len(history) - 1)]
        table_diff = tables.diff(base, history[-1])
        rebuilt = tables.apply_diff(base, table_diff)
        assert rebuilt is not None
        assert without_tokens(rebuilt) == without_tokens(history[-1])
        # Raising the tokens, as a new keeper does, makes both tables equal.
        assert tables.raise_tokens(rebuilt, 9) == tables.raise_tokens(
            history[-1], 9
        )

    def test_the_diff_of_one_move_is_small(self):
        """Guards against diffs that contain most of the table."""
        instances = [models.ServerInstance(f"s{i}", 1) for i in range(105)]
        before = tables.create("g", instances, 1)
        after = tables.start_moves(
            before, [ownership.Move(10, 20, instances[50])]
        )
        assert len(tables.diff(before, after).ranges) <= 3

    @hypothesis.given(moves(), moves())
    def test_a_diff_of_another_table_leaves_no_gap(
        self, planned_moves, other_moves
    ):
        """Guards against a table with gaps or overlaps from a wrong base."""
        start = tables.create("g", _INSTANCES, 1)
        table_diff = tables.diff(
            start, tables.start_moves(start, planned_moves)
        )
        other = tables.start_moves(start, other_moves)
        rebuilt = tables.apply_diff(other, table_diff)
        assert rebuilt is None or covers_all_keys(rebuilt)
