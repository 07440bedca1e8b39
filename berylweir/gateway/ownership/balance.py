"""Which keys move to which server so that none is busier than need be."""

import bisect
from collections.abc import Sequence
import dataclasses
import math

from berylweir.gateway import models
from berylweir.gateway.ownership import models as ownership

# Moves that are begun together: at least, and for each server.
_MIN_MOVES = 4
_MOVES_PER_SERVER = 0.125
# Difference in utilisation that is worth a move, and its part of the busier
# server's utilisation.
_MIN_DIFFERENCE = 0.08
_MIN_RELATIVE = 0.25
# Utilisation up to which one move fills a server, and the same in parts of the
# mean: keys that were moved together are not split again at once.
_FILL = 0.5
_FILL_OF_MEAN = 2.0
# Part of that difference by which a move must lower the higher utilisation.
_MIN_GAIN = 0.2
# Duration of work assumed before any was seen, in ms.
_UNKNOWN_SERVICE_MS = 100.0
# Ranges for each server on average; each range is one more call a renewal.
_MAX_RANGES_PER_SERVER = 6
# Parts of a move at most, and requests that run on the keys of a part on
# average.
_MAX_PARTS = 6
_RUNNING_PER_PART = 0.4
# Largest factor by which failures make a server count as busier.
_MAX_FAILURE_FACTOR = 4.0


@dataclasses.dataclass(slots=True)
class _Plan:
    """Ranges and loads as they will be after the moves planned so far."""

    ranges: list[models.KeyRange]
    candidates: dict[models.ServerInstance, ownership.Candidate]
    loads: dict[models.ServerInstance, float]
    keys: list[int]
    prefix: list[float]
    floor: float
    typical_ms: float

    def rate(self, first: int, last: int) -> float:
        """Returns the requests a second for the keys of a range."""
        low = bisect.bisect_left(self.keys, first)
        high = bisect.bisect_right(self.keys, last)
        seen = self.prefix[high] - self.prefix[low]
        return seen + self.floor * (last - first + 1)

    def cost(self, instance: models.ServerInstance) -> float:
        """Returns the utilisation that one request a second causes."""
        found = self.candidates[instance]
        service_ms = found.service_ms or self.typical_ms
        factor = min(
            _MAX_FAILURE_FACTOR, 1.0 / max(0.01, 1.0 - found.failed_share)
        )
        return factor * service_ms / 1000.0 / max(1, found.slots)


def plan_moves(
    table: models.KeyTable,
    candidates: Sequence[ownership.Candidate],
    demand: ownership.Demand,
    *,
    evens_out: bool,
) -> tuple[ownership.Move, ...]:
    """Returns moves that even out the load of the candidates.

    Keys whose owner is no candidate are all moved; beyond that only a few
    moves are begun together.

    Args:
        table: Present owners.
        candidates: Servers that can own keys.
        demand: Requests a second by key.
        evens_out: Whether to move keys of candidates as well.
    """
    if not candidates:
        return ()
    plan = _start(table, candidates, demand)
    moves = _rehome(plan)
    limit = max(_MIN_MOVES, int(_MOVES_PER_SERVER * len(candidates)))
    while evens_out and len(moves) < limit:
        move = _next_move(plan, len(candidates))
        if move is None:
            break
        moves.append(move)
    return tuple(part for move in moves for part in _split(plan, move))


def _start(
    table: models.KeyTable,
    candidates: Sequence[ownership.Candidate],
    demand: ownership.Demand,
) -> _Plan:
    keys = sorted(demand.rates)
    prefix = [0.0]
    for key in keys:
        prefix.append(prefix[-1] + demand.rates[key])
    known = [c.service_ms for c in candidates if c.service_ms]
    plan = _Plan(
        list(table.ranges),
        {c.instance: c for c in candidates},
        {c.instance: 0.0 for c in candidates},
        keys,
        prefix,
        demand.floor,
        sum(known) / len(known) if known else _UNKNOWN_SERVICE_MS,
    )
    for found in plan.ranges:
        if found.owner in plan.loads:
            plan.loads[found.owner] += plan.rate(
                found.first, found.last
            ) * plan.cost(found.owner)
    return plan


def _rehome(plan: _Plan) -> list[ownership.Move]:
    """Spreads the keys of owners that are no candidates."""
    moves: list[ownership.Move] = []
    mean = _mean_load_after(plan)
    for found in list(plan.ranges):
        if found.owner in plan.loads:
            continue
        first = found.first
        while first <= found.last:
            target = min(plan.loads, key=lambda s: plan.loads[s])
            room = max(mean - plan.loads[target], 0.25 * mean)
            last = _cut(plan, first, found.last, room / plan.cost(target))
            plan.loads[target] += plan.rate(first, last) * plan.cost(target)
            moves.append(ownership.Move(first, last, target))
            first = last + 1
    return moves


def _split(plan: _Plan, move: ownership.Move) -> list[ownership.Move]:
    """Returns parts of a move that are released one by one.

    A release waits for the requests that run on its keys. Parts without any
    move at once.
    """
    running = plan.rate(move.first, move.last) * plan.typical_ms / 1000.0
    parts = min(_MAX_PARTS, math.ceil(running / _RUNNING_PER_PART))
    share = plan.rate(move.first, move.last) / max(1, parts)
    moves: list[ownership.Move] = []
    first = move.first
    while first <= move.last:
        last = move.last
        if len(moves) + 1 < parts:
            last = _cut(plan, first, move.last, share)
        moves.append(ownership.Move(first, last, move.target))
        first = last + 1
    return moves


def _mean_load_after(plan: _Plan) -> float:
    total = plan.rate(0, models.KEY_COUNT - 1)
    capacity = sum(1.0 / plan.cost(instance) for instance in plan.loads)
    return total / capacity


def _cut(plan: _Plan, first: int, limit: int, rate: float) -> int:
    """Returns the last key such that the keys from `first` have `rate`."""
    low, high = first, limit
    while low < high:
        middle = (low + high) // 2
        if plan.rate(first, middle) < rate:
            low = middle + 1
        else:
            high = middle
    return low


def _next_move(plan: _Plan, servers: int) -> ownership.Move | None:
    """Returns a move from the busiest server that can be relieved."""
    emptiest = min(plan.loads, key=lambda s: plan.loads[s])
    is_unused = all(r.owner != emptiest for r in plan.ranges)
    for source in sorted(plan.loads, key=lambda s: -plan.loads[s]):
        difference = plan.loads[source] - plan.loads[emptiest]
        worth = max(_MIN_DIFFERENCE, _MIN_RELATIVE * plan.loads[source])
        if source == emptiest or (difference < worth and not is_unused):
            return None
        is_crowded = len(plan.ranges) > _MAX_RANGES_PER_SERVER * servers
        move = _best_move(plan, source, emptiest, is_crowded=is_crowded)
        if move is not None:
            _apply(plan, move, source)
            return move
    return None


def _best_move(
    plan: _Plan,
    source: models.ServerInstance,
    emptiest: models.ServerInstance,
    *,
    is_crowded: bool,
) -> ownership.Move | None:
    """Returns the move after which the busier of its servers is least busy."""
    difference = plan.loads[source] - plan.loads[emptiest]
    # Moving this rate makes both equally busy.
    even = difference / (plan.cost(source) + plan.cost(emptiest))
    fill = max(_FILL, _FILL_OF_MEAN * _mean_load_after(plan))
    room = (fill - plan.loads[emptiest]) / plan.cost(emptiest)
    rate = min(even, room) if room > 0 else even
    limit = plan.loads[source] - _MIN_GAIN * difference * rate / even
    best: ownership.Move | None = None
    for found in plan.ranges:
        if found.owner != source or found.previous_owner is not None:
            continue
        for first, last in _pieces(plan, found, rate, is_crowded=is_crowded):
            moved = plan.rate(first, last)
            left = plan.loads[source] - moved * plan.cost(source)
            if left >= limit:
                continue
            # A single busy key is best off at the fastest server, which is
            # then rid of its other keys.
            target = min(
                (instance for instance in plan.loads if instance != source),
                key=lambda s: plan.loads[s] + moved * plan.cost(s),
            )
            highest = max(left, plan.loads[target] + moved * plan.cost(target))
            if highest < limit:
                limit = highest
                best = ownership.Move(first, last, target)
    return best


def _pieces(
    plan: _Plan, found: models.KeyRange, rate: float, *, is_crowded: bool
) -> list[tuple[int, int]]:
    """Returns parts of a range that could be moved."""
    if plan.rate(found.first, found.last) <= rate * 1.2 or is_crowded:
        return [(found.first, found.last)]
    pieces = []
    end = _cut(plan, found.first, found.last, rate)
    pieces.append((found.first, end))
    if end > found.first:
        pieces.append((found.first, end - 1))
    start = found.last
    low, high = found.first, found.last
    while low < high:
        middle = (low + high + 1) // 2
        if plan.rate(middle, found.last) < rate:
            high = middle - 1
        else:
            low = middle
    start = low
    pieces.append((start, found.last))
    if start < found.last:
        pieces.append((start + 1, found.last))
    return pieces


def _apply(
    plan: _Plan, move: ownership.Move, source: models.ServerInstance
) -> None:
    moved = plan.rate(move.first, move.last)
    plan.loads[source] -= moved * plan.cost(source)
    plan.loads[move.target] += moved * plan.cost(move.target)
    ranges = []
    for found in plan.ranges:
        if found.last < move.first or found.first > move.last:
            ranges.append(found)
            continue
        if found.first < move.first:
            ranges.append(dataclasses.replace(found, last=move.first - 1))
        ranges.append(
            models.KeyRange(
                max(found.first, move.first),
                min(found.last, move.last),
                move.target,
                found.token,
                source,
            )
        )
        if found.last > move.last:
            ranges.append(dataclasses.replace(found, first=move.last + 1))
    plan.ranges = ranges
