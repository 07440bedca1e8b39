"""Tests of what holds a planned move."""

from berylweir.gateway import models
from berylweir.gateway.ownership import holds
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import tables

_SOURCE, _TARGET, _NEXT = (
    models.ServerInstance(name, 1) for name in ("from", "target", "next")
)
_MOVE = ownership.Move(50, 150, _NEXT)


class TestCheckMove:
    """Moves of keys whose owner may still get or hold a grant."""

    def check(self, *, is_moving: bool, is_granted: bool, is_released: bool):
        """Returns what holds a move of which half the keys may be moving."""
        table = tables.create("g", [_SOURCE], 1)
        if is_moving:
            table = tables.start_moves(
                table, [ownership.Move(100, 199, _TARGET)]
            )
        return holds.check_move(
            table,
            _MOVE,
            awaits_first_grant=lambda key_range: not is_granted,
            is_released=lambda key_range: is_released,
        )

    def test_unreleased_keys_are_held(self):
        """Guards against a second owner of keys that are moving."""
        hold = self.check(is_moving=True, is_granted=True, is_released=False)
        assert hold == holds.AwaitsRelease("from")

    def test_keys_without_a_first_grant_are_held(self):
        """Guards against a release that waits for an earlier holder."""
        for is_moving in (False, True):
            hold = self.check(
                is_moving=is_moving, is_granted=False, is_released=True
            )
            assert hold == holds.AwaitsFirstGrant("from")

    def test_released_and_granted_keys_are_free(self):
        """Guards against keys that stay at a target that doesn't answer."""
        for is_moving in (False, True):
            assert not self.check(
                is_moving=is_moving, is_granted=True, is_released=True
            )
