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
_MIN_GAP = 0.08
_MIN_RELATIVE_GAP = 0.25
# Utilisation up to which one move fills a server, and the same in parts of the
# mean: keys that were moved together are not split again at once.
_TARGET_UTILISATION = 0.5
_TARGET_TO_MEAN_RATIO = 2.0
# Part of that difference by which a move must lower the higher utilisation.
_MIN_GAP_REDUCTION = 0.2
# Duration of work assumed before any was seen, in ms.
_DEFAULT_SERVICE_MS = 100.0
# Ranges for each server on average; each range is one more call a renewal.
_MAX_RANGES_PER_SERVER = 6
# Parts of a move at most, and requests that run on the keys of a part on
# average.
_MAX_PARTS = 6
_IN_FLIGHT_PER_PART = 0.4
# Largest factor by which failures make a server count as busier.
_MAX_FAILURE_FACTOR = 4.0


@dataclasses.dataclass(slots=True)
class _Plan:
    """Ranges and loads as they will be after the moves planned so far."""

    ranges: list[models.KeyRange]
    candidates: dict[models.ServerInstance, ownership.Candidate]
    utilisations: dict[models.ServerInstance, float]
    keys: list[int]
    cumulative_rates: list[float]
    base_rate: float
    mean_service_ms: float

    def rate(self, first: int, last: int) -> float:
        """Returns the requests a second for the keys of a range."""
        low = bisect.bisect_left(self.keys, first)
        high = bisect.bisect_right(self.keys, last)
        measured = self.cumulative_rates[high] - self.cumulative_rates[low]
        return measured + self.base_rate * (last - first + 1)

    def utilisation_per_rps(self, instance: models.ServerInstance) -> float:
        """Returns the utilisation that one request a second causes."""
        candidate = self.candidates[instance]
        service_ms = candidate.service_ms or self.mean_service_ms
        failure_factor = min(
            _MAX_FAILURE_FACTOR, 1.0 / max(0.01, 1.0 - candidate.failure_ratio)
        )
        return failure_factor * service_ms / 1000.0 / max(1, candidate.slots)


def plan_moves(
    table: models.KeyTable,
    candidates: Sequence[ownership.Candidate],
    demand: ownership.Demand,
    *,
    rebalance: bool,
) -> tuple[ownership.Move, ...]:
    """Returns moves that even out the load of the candidates.

    Keys whose owner is no candidate are all moved; beyond that only a few
    moves are begun together.

    Args:
        table: Present owners.
        candidates: Servers that can own keys.
        demand: Requests a second by key.
        rebalance: Whether to move keys of candidates as well.
    """
    if not candidates:
        return ()
    plan = _create_plan(table, candidates, demand)
    moves = _reassign_orphaned_ranges(plan)
    max_moves = max(_MIN_MOVES, int(_MOVES_PER_SERVER * len(candidates)))
    while rebalance and len(moves) < max_moves:
        move = _choose_move(plan, len(candidates))
        if move is None:
            break
        moves.append(move)
    return tuple(
        part for move in moves for part in _split_into_parts(plan, move)
    )


def _create_plan(
    table: models.KeyTable,
    candidates: Sequence[ownership.Candidate],
    demand: ownership.Demand,
) -> _Plan:
    keys = sorted(demand.rates)
    cumulative_rates = [0.0]
    for key in keys:
        cumulative_rates.append(cumulative_rates[-1] + demand.rates[key])
    known_service_ms = [c.service_ms for c in candidates if c.service_ms]
    plan = _Plan(
        list(table.ranges),
        {c.instance: c for c in candidates},
        {c.instance: 0.0 for c in candidates},
        keys,
        cumulative_rates,
        demand.base_rate,
        sum(known_service_ms) / len(known_service_ms)
        if known_service_ms
        else _DEFAULT_SERVICE_MS,
    )
    for key_range in plan.ranges:
        if key_range.owner in plan.utilisations:
            plan.utilisations[key_range.owner] += plan.rate(
                key_range.first, key_range.last
            ) * plan.utilisation_per_rps(key_range.owner)
    return plan


def _reassign_orphaned_ranges(plan: _Plan) -> list[ownership.Move]:
    """Spreads the keys of owners that are no candidates."""
    moves: list[ownership.Move] = []
    mean_utilisation = _mean_utilisation(plan)
    for key_range in list(plan.ranges):
        if key_range.owner in plan.utilisations:
            continue
        first = key_range.first
        while first <= key_range.last:
            target = min(plan.utilisations, key=lambda s: plan.utilisations[s])
            free_rate = max(
                mean_utilisation - plan.utilisations[target],
                0.25 * mean_utilisation,
            )
            last = _last_key_for_rate(
                plan,
                first,
                key_range.last,
                free_rate / plan.utilisation_per_rps(target),
            )
            plan.utilisations[target] += plan.rate(
                first, last
            ) * plan.utilisation_per_rps(target)
            moves.append(ownership.Move(first, last, target))
            first = last + 1
    return moves


def _split_into_parts(
    plan: _Plan, move: ownership.Move
) -> list[ownership.Move]:
    """Returns parts of a move that are released one by one.

    A release waits for the requests that run on its keys. Parts without any
    move at once.
    """
    in_flight = plan.rate(move.first, move.last) * plan.mean_service_ms / 1000.0
    parts = min(_MAX_PARTS, math.ceil(in_flight / _IN_FLIGHT_PER_PART))
    share = plan.rate(move.first, move.last) / max(1, parts)
    moves: list[ownership.Move] = []
    first = move.first
    while first <= move.last:
        last = move.last
        if len(moves) + 1 < parts:
            last = _last_key_for_rate(plan, first, move.last, share)
        moves.append(ownership.Move(first, last, move.target))
        first = last + 1
    return moves


def _mean_utilisation(plan: _Plan) -> float:
    total = plan.rate(0, models.KEY_COUNT - 1)
    capacity = sum(
        1.0 / plan.utilisation_per_rps(instance)
        for instance in plan.utilisations
    )
    return total / capacity


def _last_key_for_rate(
    plan: _Plan, first: int, last_key: int, rate: float
) -> int:
    """Returns the last key such that the keys from `first` have `rate`."""
    low, high = first, last_key
    while low < high:
        middle = (low + high) // 2
        if plan.rate(first, middle) < rate:
            low = middle + 1
        else:
            high = middle
    return low


def _choose_move(plan: _Plan, server_count: int) -> ownership.Move | None:
    """Returns a move from the busiest server that can be relieved."""
    least_loaded = min(plan.utilisations, key=lambda s: plan.utilisations[s])
    is_idle = all(r.owner != least_loaded for r in plan.ranges)
    for source in sorted(
        plan.utilisations, key=lambda s: -plan.utilisations[s]
    ):
        gap = plan.utilisations[source] - plan.utilisations[least_loaded]
        min_gap = max(_MIN_GAP, _MIN_RELATIVE_GAP * plan.utilisations[source])
        if source == least_loaded or (gap < min_gap and not is_idle):
            return None
        has_too_many_ranges = (
            len(plan.ranges) > _MAX_RANGES_PER_SERVER * server_count
        )
        move = _best_move(
            plan, source, least_loaded, has_too_many_ranges=has_too_many_ranges
        )
        if move is not None:
            _apply_move(plan, move, source)
            return move
    return None


def _best_move(
    plan: _Plan,
    source: models.ServerInstance,
    least_loaded: models.ServerInstance,
    *,
    has_too_many_ranges: bool,
) -> ownership.Move | None:
    """Returns the move after which the busier of its servers is least busy."""
    gap = plan.utilisations[source] - plan.utilisations[least_loaded]
    # Moving this rate makes both equally busy.
    equalizing_rate = gap / (
        plan.utilisation_per_rps(source)
        + plan.utilisation_per_rps(least_loaded)
    )
    target_utilisation = max(
        _TARGET_UTILISATION, _TARGET_TO_MEAN_RATIO * _mean_utilisation(plan)
    )
    free_rate = (
        target_utilisation - plan.utilisations[least_loaded]
    ) / plan.utilisation_per_rps(least_loaded)
    rate = min(equalizing_rate, free_rate) if free_rate > 0 else equalizing_rate
    max_utilisation = (
        plan.utilisations[source]
        - _MIN_GAP_REDUCTION * gap * rate / equalizing_rate
    )
    best: ownership.Move | None = None
    for key_range in plan.ranges:
        if key_range.owner != source or key_range.previous_owner is not None:
            continue
        for first, last in _movable_parts(
            plan, key_range, rate, has_too_many_ranges=has_too_many_ranges
        ):
            moved_rate = plan.rate(first, last)
            source_utilisation = plan.utilisations[
                source
            ] - moved_rate * plan.utilisation_per_rps(source)
            if source_utilisation >= max_utilisation:
                continue
            # A single busy key is best off at the fastest server, which is
            # then rid of its other keys.
            target = min(
                (
                    instance
                    for instance in plan.utilisations
                    if instance != source
                ),
                key=lambda s: (
                    plan.utilisations[s]
                    + moved_rate * plan.utilisation_per_rps(s)
                ),
            )
            higher_utilisation = max(
                source_utilisation,
                plan.utilisations[target]
                + moved_rate * plan.utilisation_per_rps(target),
            )
            if higher_utilisation < max_utilisation:
                max_utilisation = higher_utilisation
                best = ownership.Move(first, last, target)
    return best


def _movable_parts(
    plan: _Plan,
    key_range: models.KeyRange,
    rate: float,
    *,
    has_too_many_ranges: bool,
) -> list[tuple[int, int]]:
    """Returns parts of a range that could be moved."""
    if (
        plan.rate(key_range.first, key_range.last) <= rate * 1.2
        or has_too_many_ranges
    ):
        return [(key_range.first, key_range.last)]
    parts = []
    end = _last_key_for_rate(plan, key_range.first, key_range.last, rate)
    parts.append((key_range.first, end))
    if end > key_range.first:
        parts.append((key_range.first, end - 1))
    start = key_range.last
    low, high = key_range.first, key_range.last
    while low < high:
        middle = (low + high + 1) // 2
        if plan.rate(middle, key_range.last) < rate:
            high = middle - 1
        else:
            low = middle
    start = low
    parts.append((start, key_range.last))
    if start < key_range.last:
        parts.append((start + 1, key_range.last))
    return parts


def _apply_move(
    plan: _Plan, move: ownership.Move, source: models.ServerInstance
) -> None:
    moved_rate = plan.rate(move.first, move.last)
    plan.utilisations[source] -= moved_rate * plan.utilisation_per_rps(source)
    plan.utilisations[move.target] += moved_rate * plan.utilisation_per_rps(
        move.target
    )
    ranges = []
    for key_range in plan.ranges:
        if key_range.last < move.first or key_range.first > move.last:
            ranges.append(key_range)
            continue
        if key_range.first < move.first:
            ranges.append(dataclasses.replace(key_range, last=move.first - 1))
        ranges.append(
            models.KeyRange(
                max(key_range.first, move.first),
                min(key_range.last, move.last),
                move.target,
                key_range.token,
                source,
            )
        )
        if key_range.last > move.last:
            ranges.append(dataclasses.replace(key_range, first=move.last + 1))
    plan.ranges = ranges
