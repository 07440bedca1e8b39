"""Operations on key tables; each returns a new table.

Except for the result of `diff`, a table covers all keys.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.gateway.ownership import models as ownership


def create(
    group: str, owners: Sequence[models.ServerInstance], epoch: int
) -> models.KeyTable:
    """Returns the first table of a group, with ranges of equal size.

    Args:
        group: Name of the server group.
        owners: Owners in the order of their ranges; at least one.
        epoch: Epoch of the lease under which the table is written.
    """
    token = revisions.next_token(1, epoch)
    owner_count = len(owners)
    bounds = [
        models.KEY_COUNT * i // owner_count for i in range(owner_count + 1)
    ]
    ranges = tuple(
        models.KeyRange(bounds[i], bounds[i + 1] - 1, owner, token)
        for i, owner in enumerate(owners)
    )
    return models.KeyTable(group, 0, epoch, token + 1, ranges)


def start_moves(
    table: models.KeyTable, moves: Iterable[ownership.Move]
) -> models.KeyTable:
    """Returns the table with moves started, each under a new fencing token.

    A range that is already being moved may only be moved again once its
    previous owner has released it or that owner's grants have expired.
    """
    ranges = list(table.ranges)
    token = table.next_token
    for move in moves:
        new_ranges: list[models.KeyRange] = []
        for key_range in ranges:
            new_ranges += _split_for_move(key_range, move, token)
        ranges = new_ranges
        token += 1
    return dataclasses.replace(table, next_token=token, ranges=tuple(ranges))


def _split_for_move(
    key_range: models.KeyRange, move: ownership.Move, token: int
) -> list[models.KeyRange]:
    """Returns the parts of a range, of which one is moving to the target."""
    first = max(key_range.first, move.first)
    last = min(key_range.last, move.last)
    if first > last or key_range.owner == move.target:
        return [key_range]
    parts = []
    if key_range.first < first:
        parts.append(dataclasses.replace(key_range, last=first - 1))
    parts.append(
        models.KeyRange(first, last, move.target, token, key_range.owner)
    )
    if last < key_range.last:
        parts.append(dataclasses.replace(key_range, first=last + 1))
    return parts


def complete_moves(
    table: models.KeyTable, is_completed: Callable[[models.KeyRange], bool]
) -> models.KeyTable:
    """Returns the table without the previous owners of completed moves.

    Adjacent ranges of the same owner are merged under the higher token, unless
    one of them is still moving.

    Args:
        table: The table.
        is_completed: Returns whether the new owner of a moved range has
            accepted the grant of it.
    """
    ranges: list[models.KeyRange] = []
    for original in table.ranges:
        key_range = original
        if original.previous_owner is not None and is_completed(original):
            key_range = dataclasses.replace(original, previous_owner=None)
        if ranges and _can_merge(ranges[-1], key_range):
            previous = ranges.pop()
            key_range = models.KeyRange(
                previous.first,
                key_range.last,
                key_range.owner,
                max(previous.token, key_range.token),
            )
        ranges.append(key_range)
    return dataclasses.replace(table, ranges=tuple(ranges))


def _can_merge(left: models.KeyRange, right: models.KeyRange) -> bool:
    return (
        left.owner == right.owner
        and left.previous_owner is None
        and right.previous_owner is None
    )


def raise_tokens(table: models.KeyTable, epoch: int) -> models.KeyTable:
    """Returns the table with one new fencing token for all ranges.

    A server that accepts the token rejects grants of earlier keepers.

    Args:
        table: The table as an earlier keeper left it.
        epoch: Epoch of the new keeper's lease.
    """
    token = revisions.next_token(table.next_token, epoch)
    return dataclasses.replace(
        table,
        epoch=epoch,
        next_token=token + 1,
        ranges=tuple(dataclasses.replace(r, token=token) for r in table.ranges),
    )


def diff(base: models.KeyTable, newer: models.KeyTable) -> models.KeyTable:
    """Returns a newer table reduced to the ranges that `base` doesn't contain.

    Ranges that differ only in their token are left out: only keepers use the
    tokens, and a new keeper raises all of them before it grants anything.
    """
    base_ranges = {dataclasses.replace(r, token=0) for r in base.ranges}
    return dataclasses.replace(
        newer,
        ranges=tuple(
            r
            for r in newer.ranges
            if dataclasses.replace(r, token=0) not in base_ranges
        ),
    )


def apply_diff(
    base: models.KeyTable, table_diff: models.KeyTable
) -> models.KeyTable | None:
    """Applies a diff and returns the newer table.

    Ranges that are not in the diff keep the tokens of `base`.

    Args:
        base: The older table.
        table_diff: The newer table reduced to the ranges that `base` doesn't
            contain.

    Returns:
        The newer table; None if the ranges would overlap or leave a gap, which
        shows that the diff was made from another table than `base`.
    """
    ranges: list[models.KeyRange] = []
    # Index of the first range of `base` that is still to be added.
    base_index = 0
    next_key = 0
    for key_range in table_diff.ranges:
        if key_range.first > next_key:
            end_index = _first_range_from(base, key_range.first)
            kept = base.ranges[base_index:end_index]
            if not _covers(kept, next_key, key_range.first - 1):
                return None
            ranges += kept
        elif key_range.first < next_key:
            return None
        ranges.append(key_range)
        next_key = key_range.last + 1
        base_index = _first_range_from(base, next_key)
    if next_key < models.KEY_COUNT:
        kept = base.ranges[base_index:]
        if not _covers(kept, next_key, models.KEY_COUNT - 1):
            return None
        ranges += kept
    elif next_key > models.KEY_COUNT:
        return None
    return dataclasses.replace(table_diff, ranges=tuple(ranges))


def _first_range_from(table: models.KeyTable, key: int) -> int:
    """Returns the index of the first range that begins at a key or later."""
    return bisect.bisect_left(table.ranges, key, key=lambda r: r.first)


def _covers(ranges: tuple[models.KeyRange, ...], first: int, last: int) -> bool:
    """Returns whether consecutive ranges of a table cover just these keys."""
    return bool(ranges) and ranges[0].first == first and ranges[-1].last == last
