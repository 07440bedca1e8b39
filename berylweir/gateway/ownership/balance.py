"""Plans moves of keys that balance the utilisation of the servers.

Utilisation is the request rate of a server's keys times the service time, per
slot: at 1.0 all slots are always busy. The rate relative to the limit that the
server names counts instead if that is higher.
"""

import bisect
from collections.abc import Sequence
import dataclasses
import math

from berylweir.gateway import models
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import move_value

# A plan may rebalance with up to this many moves, or this many per server if
# that is more.
_MIN_MOVES = 4
_MOVES_PER_SERVER = 0.125
# Utilisation up to which one move loads its target: absolute, and as a multiple
# of the mean. The higher one applies. With this limit, keys that were moved
# together needn't be split again at once.
_TARGET_UTILISATION = 0.5
_TARGET_TO_MEAN_RATIO = 2.0
# Fraction of the gap by which a move must lower the higher utilisation. It is
# scaled down if the limit above keeps the move from closing the gap.
_MIN_GAP_REDUCTION = 0.2
# Service time assumed while none was measured, in ms.
_DEFAULT_SERVICE_MS = 100.0
# Relative standard error of a measured service time.
_SERVICE_TIME_ERROR = 0.04
# Maximum ranges per server on average, as each range takes one more request in
# every renewal.
_MAX_RANGES_PER_SERVER = 6
# Busiest servers from which a move is tried in one step of a plan. The keys of
# the first ones may not be movable, such as a single busy key.
_MAX_SOURCES = 4
# Maximum number of parts of a move, and the average number of requests in
# flight on the keys of each part that the split aims at.
_MAX_PARTS = 6
_IN_FLIGHT_PER_PART = 0.4
# Lowest limit of a server, in requests per second, that is told apart from 0.
_MIN_LIMIT = 0.1
# Maximum factor by which failures raise a server's estimated utilisation.
_MAX_FAILURE_FACTOR = 4.0


@dataclasses.dataclass(slots=True)
class _Plan:
    """Ranges and utilisations after the moves that were planned so far.

    Attributes:
        ranges: All ranges in order.
        candidates: Eligible servers by instance.
        utilisations: Utilisation of each candidate.
        keys: Keys with a request rate of their own, in order.
        cumulative_rates: Sum of the rates of the first n of these keys, at
            index n, in requests per second.
        base_rate: Requests per second to add to the rate of every key.
        rate_variance: Variance of a measured rate, per request per second.
        mean_service_ms: Service time of servers without measurements, in ms.
    """

    ranges: list[models.KeyRange]
    candidates: dict[models.ServerInstance, ownership.Candidate]
    utilisations: dict[models.ServerInstance, float]
    keys: list[int]
    cumulative_rates: list[float]
    base_rate: float
    rate_variance: float
    mean_service_ms: float

    def rate(self, first: int, last: int) -> float:
        """Returns the request rate of a range of keys, per second."""
        low = bisect.bisect_left(self.keys, first)
        high = bisect.bisect_right(self.keys, last)
        measured = self.cumulative_rates[high] - self.cumulative_rates[low]
        return measured + self.base_rate * (last - first + 1)

    def utilisation_per_rps(self, instance: models.ServerInstance) -> float:
        """Returns the utilisation that one request per second causes.

        A server that fails requests counts as busier, so that it gets fewer
        keys. One that names a limit is fully utilised when it is reached.
        """
        candidate = self.candidates[instance]
        service_ms = candidate.service_ms or self.mean_service_ms
        failure_factor = min(
            _MAX_FAILURE_FACTOR, 1.0 / max(0.01, 1.0 - candidate.failure_ratio)
        )
        utilisation = (
            failure_factor * service_ms / 1000.0 / max(1, candidate.slots)
        )
        if candidate.limit is None:
            return utilisation
        return max(utilisation, 1.0 / max(_MIN_LIMIT, candidate.limit))

    def load(self, instance: models.ServerInstance) -> move_value.ServerLoad:
        """Returns the estimated load of a candidate."""
        utilisation_per_rps = self.utilisation_per_rps(instance)
        utilisation = self.utilisations[instance]
        variance = self.rate_variance * utilisation * utilisation_per_rps
        return move_value.ServerLoad(
            utilisation,
            math.hypot(
                math.sqrt(max(0.0, variance)),
                _SERVICE_TIME_ERROR * utilisation,
            ),
            utilisation_per_rps,
            self.candidates[instance].slots,
        )


def plan_moves(
    table: models.KeyTable,
    candidates: Sequence[ownership.Candidate],
    demand: ownership.Demand,
    *,
    rebalance: bool,
) -> ownership.BalancePlan:
    """Plans moves that balance the utilisation of the candidates.

    All keys whose owner isn't a candidate are moved. Moves between candidates
    are limited to a few at a time.

    Args:
        table: Table with the present owners.
        candidates: Servers that are eligible to own keys.
        demand: Estimated request rates by key.
        rebalance: Whether to move keys between candidates as well.
    """
    if not candidates:
        return ownership.BalancePlan(())
    plan = _create_plan(table, candidates, demand)
    busiest = max(plan.utilisations, key=lambda s: plan.utilisations[s])
    highest_utilisation = plan.utilisations[busiest]
    moves = _reassign_orphaned_ranges(plan)
    max_moves = max(_MIN_MOVES, int(_MOVES_PER_SERVER * len(candidates)))
    while rebalance and len(moves) < max_moves:
        move = _choose_move(plan)
        if move is None:
            break
        moves.append(move)
    return ownership.BalancePlan(
        tuple(part for move in moves for part in _split_into_parts(plan, move)),
        busiest,
        highest_utilisation,
        _mean_utilisation(plan),
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
        demand.rate_variance,
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
    """Assigns the keys of owners that aren't candidates to candidates."""
    moves: list[ownership.Move] = []
    mean_utilisation = _mean_utilisation(plan)
    for key_range in list(plan.ranges):
        if key_range.owner in plan.utilisations:
            continue
        first = key_range.first
        while first <= key_range.last:
            target = min(
                plan.utilisations,
                key=lambda instance: plan.utilisations[instance],
            )
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
    """Splits a move into parts with about equal request rates.

    Each part is released on its own. A release waits for the requests that
    are running on its keys, so a part without such requests moves at once.
    """
    in_flight = plan.rate(move.first, move.last) * plan.mean_service_ms / 1000.0
    part_count = min(_MAX_PARTS, math.ceil(in_flight / _IN_FLIGHT_PER_PART))
    rate_per_part = plan.rate(move.first, move.last) / max(1, part_count)
    moves: list[ownership.Move] = []
    first = move.first
    while first <= move.last:
        last = move.last
        if len(moves) + 1 < part_count:
            last = _last_key_for_rate(plan, first, move.last, rate_per_part)
        moves.append(ownership.Move(first, last, move.target))
        first = last + 1
    return moves


def _mean_utilisation(plan: _Plan) -> float:
    """Returns the utilisation of each candidate if all were equal."""
    total = plan.rate(0, models.KEY_COUNT - 1)
    capacity = sum(
        1.0 / plan.utilisation_per_rps(instance)
        for instance in plan.utilisations
    )
    return total / capacity


def _last_key_for_rate(
    plan: _Plan, first: int, last_key: int, rate: float
) -> int:
    """Returns the key up to which the keys from `first` reach a rate.

    Args:
        plan: The plan.
        first: First key.
        last_key: Highest key to return, also if the rate isn't reached.
        rate: Requests per second.
    """
    low, high = first, last_key
    while low < high:
        middle = (low + high) // 2
        if plan.rate(first, middle) < rate:
            low = middle + 1
        else:
            high = middle
    return low


def _choose_move(plan: _Plan) -> ownership.Move | None:
    """Plans a move from the busiest server for which one is worthwhile.

    Returns:
        The move, which is applied to the plan; None if there is none.
    """
    least_loaded = min(
        plan.utilisations, key=lambda instance: plan.utilisations[instance]
    )
    owns_no_keys = all(r.owner != least_loaded for r in plan.ranges)
    has_too_many_ranges = len(plan.ranges) > _MAX_RANGES_PER_SERVER * len(
        plan.candidates
    )
    for source in sorted(
        plan.utilisations, key=lambda instance: -plan.utilisations[instance]
    )[:_MAX_SOURCES]:
        if source == least_loaded or not (
            owns_no_keys
            or move_value.can_pay(plan.load(source), plan.load(least_loaded))
        ):
            return None
        move = _best_move(
            plan, source, least_loaded, has_too_many_ranges=has_too_many_ranges
        )
        if move is not None and (
            (owns_no_keys and move.target == least_loaded)
            or move_value.pays(
                plan.load(source),
                plan.load(move.target),
                plan.rate(move.first, move.last),
                plan.mean_service_ms,
            )
        ):
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
    """Returns the move that gives its busier server the lowest utilisation.

    Returns None if no move lowers the utilisation enough.
    """
    gap = plan.utilisations[source] - plan.utilisations[least_loaded]
    # Moving keys with this rate gives both servers the same utilisation.
    equalising_rate = gap / (
        plan.utilisation_per_rps(source)
        + plan.utilisation_per_rps(least_loaded)
    )
    target_utilisation = max(
        _TARGET_UTILISATION, _TARGET_TO_MEAN_RATIO * _mean_utilisation(plan)
    )
    free_rate = (
        target_utilisation - plan.utilisations[least_loaded]
    ) / plan.utilisation_per_rps(least_loaded)
    rate = min(equalising_rate, free_rate) if free_rate > 0 else equalising_rate
    max_utilisation = (
        plan.utilisations[source]
        - _MIN_GAP_REDUCTION * gap * rate / equalising_rate
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
            # The target needn't be the least loaded server: a single busy key
            # is best placed on the fastest one, which later moves relieve of
            # its other keys.
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
    """Returns the parts of a range to consider for a move.

    These are the whole range if its rate is low enough or the table has too
    many ranges already. Otherwise they are the parts at either end that have
    the wanted rate, with and without the key that reaches it.
    """
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
    """Updates the plan's ranges and utilisations for a move."""
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
