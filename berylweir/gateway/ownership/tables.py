"""Changes of key tables; each returns a new table that covers all keys."""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from berylweir.gateway import models
from berylweir.gateway.ownership import models as ownership


def create(
    group: str, owners: Sequence[models.ServerInstance], epoch: int
) -> models.KeyTable:
    """Returns a first table with equal ranges.

    Args:
        group: Name of the server group.
        owners: Owners in the order of their ranges; at least one.
        epoch: Epoch of the lease.
    """
    count = len(owners)
    bounds = [models.KEY_COUNT * i // count for i in range(count + 1)]
    ranges = tuple(
        models.KeyRange(bounds[i], bounds[i + 1] - 1, owner, 1)
        for i, owner in enumerate(owners)
    )
    return models.KeyTable(group, 0, epoch, 2, ranges)


def move(
    table: models.KeyTable, moves: Iterable[ownership.Move]
) -> models.KeyTable:
    """Returns the table with the moves begun, each under a new token.

    A range that is still on its way may only be moved once its former owner
    holds none of its keys.
    """
    ranges = list(table.ranges)
    token = table.next_token
    for wanted in moves:
        changed: list[models.KeyRange] = []
        for found in ranges:
            changed += _begin(found, wanted, token)
        ranges = changed
        token += 1
    return dataclasses.replace(table, next_token=token, ranges=tuple(ranges))


def _begin(
    found: models.KeyRange, wanted: ownership.Move, token: int
) -> list[models.KeyRange]:
    first = max(found.first, wanted.first)
    last = min(found.last, wanted.last)
    if first > last or found.owner == wanted.target:
        return [found]
    parts = []
    if found.first < first:
        parts.append(dataclasses.replace(found, last=first - 1))
    parts.append(
        models.KeyRange(first, last, wanted.target, token, found.owner)
    )
    if last < found.last:
        parts.append(dataclasses.replace(found, first=last + 1))
    return parts


def settle(
    table: models.KeyTable, is_settled: Callable[[models.KeyRange], bool]
) -> models.KeyTable:
    """Returns the table with moves ended where their owner holds the keys.

    Neighbours of the same owner become one range under the higher token.
    """
    ranges: list[models.KeyRange] = []
    for found in table.ranges:
        current = found
        if found.previous_owner is not None and is_settled(found):
            current = dataclasses.replace(found, previous_owner=None)
        if ranges and _can_merge(ranges[-1], current):
            previous = ranges.pop()
            current = models.KeyRange(
                previous.first,
                current.last,
                current.owner,
                max(previous.token, current.token),
            )
        ranges.append(current)
    return dataclasses.replace(table, ranges=tuple(ranges))


def _can_merge(left: models.KeyRange, right: models.KeyRange) -> bool:
    return (
        left.owner == right.owner
        and left.previous_owner is None
        and right.previous_owner is None
    )


def raise_tokens(table: models.KeyTable, epoch: int) -> models.KeyTable:
    """Returns the table with all ranges under one new token.

    Servers that accept it refuse whoever granted before.

    Args:
        table: The table as a former keeper left it.
        epoch: Epoch of the new keeper's lease.
    """
    token = table.next_token
    return dataclasses.replace(
        table,
        epoch=epoch,
        next_token=token + 1,
        ranges=tuple(dataclasses.replace(r, token=token) for r in table.ranges),
    )


def changes(before: models.KeyTable, after: models.KeyTable) -> models.KeyTable:
    """Returns a later table with only those ranges that the earlier lacks.

    A range that differs in its token only is left out. Only keepers use the
    tokens, and a new keeper raises all of them before it grants anything.
    """
    known = {dataclasses.replace(r, token=0) for r in before.ranges}
    return dataclasses.replace(
        after,
        ranges=tuple(
            r
            for r in after.ranges
            if dataclasses.replace(r, token=0) not in known
        ),
    )


def apply(
    before: models.KeyTable, changed: models.KeyTable
) -> models.KeyTable | None:
    """Returns the later table; None if the changes don't fit the earlier one.

    Ranges that are not among the changes keep the tokens of the earlier table.

    Args:
        before: The earlier table.
        changed: The later table with only the ranges that `before` lacks.
    """
    ranges = list(changed.ranges)
    firsts = [r.first for r in ranges]
    for found in before.ranges:
        index = bisect.bisect_right(firsts, found.last) - 1
        if index < 0 or changed.ranges[index].last < found.first:
            ranges.append(found)
    ranges.sort(key=lambda r: r.first)
    expected = 0
    for found in ranges:
        if found.first != expected:
            return None
        expected = found.last + 1
    if expected != models.KEY_COUNT:
        return None
    return dataclasses.replace(changed, ranges=tuple(ranges))
