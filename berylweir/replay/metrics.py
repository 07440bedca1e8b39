"""Metrics computed from the history of a replay."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from hdrh import histogram

from berylweir.refusals import decisions as refusal_decisions
from berylweir.refusals import models as refusals
from berylweir.replay import deployments
from berylweir.replay import models
from berylweir.replay import schemas

_US_PER_S = 1_000_000
_MAX_LATENCY_US = 60 * _US_PER_S
_SIGNIFICANT_DIGITS = 3
_S_PER_HOUR = 3600.0
# Work that ends this soon after the start of a phase belongs to requests from
# before it, so the work rate of a phase excludes this time.
_PHASE_SETTLING_S = 0.5

UNITS = {
    "imbalance": "ratio",
    "churn": "slices/h",
    "unavailable_seconds": "ratio",
    "served_ratio": "ratio",
    "goodput_ratio": "ratio",
    "latency_p50_ms": "ms",
    "latency_p99_ms": "ms",
    "latency_p999_ms": "ms",
    "over_limit_seconds": "s",
    "double_runs": "count",
    "two_owner_instants": "count",
    "lost_acknowledged": "count",
    "false_not_run": "count",
    "retry_amplification": "ratio",
    # Additional metrics, for the choice of a limit and the return of a zone.
    "longest_gap_s": "s",
    "hop_ms": "ms",
    "max_beyond_slots": "count",
    "refused_beyond_baseline": "count",
}


@dataclasses.dataclass(frozen=True, slots=True)
class _Interval:
    """Interval in which a server served a slice or a key."""

    owner: str
    from_s: float
    until_s: float


def compute_metrics(history: models.History) -> dict[str, float]:
    """Returns the value of each metric by its name.

    A metric without data is omitted, such as a latency when nothing was
    served.
    """
    metric_values: dict[str, float | None] = {
        "imbalance": imbalance(history),
        "churn": churn(history),
        "unavailable_seconds": unavailable_ratio(history),
        "served_ratio": served_ratio(history),
        "goodput_ratio": goodput_ratio(history),
        "over_limit_seconds": over_limit_seconds(history),
        "double_runs": double_runs(history),
        "two_owner_instants": two_owner_instants(history),
        "lost_acknowledged": lost_acknowledged(history),
        "false_not_run": false_not_run(history),
        "retry_amplification": retry_amplification(history),
        "longest_gap_s": max(history.service_gaps_s, default=0.0),
        "hop_ms": _mean(
            [o.hop_delay_s * 1000 for o in _served_lookups(history)]
        ),
        "max_beyond_slots": max(
            (
                max(0, sample.in_flight - sample.slots)
                for sample in history.load_samples
            ),
            default=0,
        ),
    }
    metric_values |= latencies(history)
    return {name: v for name, v in metric_values.items() if v is not None}


def _mean(values: Sequence[float]) -> float | None:
    return sum(values) / len(values) if values else None


def _deployment(history: models.History) -> deployments.Deployment:
    return deployments.DEPLOYMENTS[history.trace.header.deployment]


def _find_phase(history: models.History, name: str) -> schemas.Phase | None:
    """Returns a phase of the trace in virtual time, or None without it."""
    for phase in history.trace.header.phases:
        if phase.name == name:
            return schemas.Phase(
                name,
                phase.from_s + history.begin_s,
                phase.until_s + history.begin_s,
            )
    return None


def _served_lookups(history: models.History) -> list[models.Outcome]:
    """Returns served lookups, limited to the phase "return" if there is one."""
    group = _deployment(history).lookup_group.server_group.name
    phase = _find_phase(history, "return")
    return [
        o
        for o in history.outcomes
        if o.call.request.group == group
        and isinstance(o.answer, models.Served)
        and (phase is None or phase.from_s <= o.call.sent_s < phase.until_s)
    ]


def latency_histogram(history: models.History) -> histogram.HdrHistogram:
    """Returns the histogram of the served lookups' latencies, in us."""
    latencies_us = histogram.HdrHistogram(
        1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
    )
    for outcome in _served_lookups(history):
        latency_s = outcome.ended_s - outcome.call.sent_s
        latencies_us.record_value(max(1, int(latency_s * _US_PER_S)))
    return latencies_us


def latencies(history: models.History) -> dict[str, float | None]:
    """Returns the metrics of the lookups' latency percentiles, in ms."""
    latencies_us = latency_histogram(history)
    if not latencies_us.get_total_count():
        return {}
    return {
        f"latency_{name}_ms": latencies_us.get_value_at_percentile(percentile)
        / 1000
        for name, percentile in (("p50", 50.0), ("p99", 99.0), ("p999", 99.9))
    }


def imbalance(history: models.History) -> float | None:
    """Returns the ratio of the largest to the mean busy time of servers.

    Only servers of the lookup group that executed requests count.
    """
    group = _deployment(history).lookup_group.server_group.name
    busy_s: dict[str, float] = collections.defaultdict(float)
    for run in history.runs:
        if run.group == group and run.ended_s < float("inf"):
            busy_s[run.server] += run.ended_s - run.started_s
    mean = _mean(tuple(busy_s.values()))
    return max(busy_s.values()) / mean if mean else None


def churn(history: models.History) -> float:
    """Returns the number of slice moves, extrapolated to an hour."""
    move_count = sum(
        history.begin_s <= t < history.end_s for t in history.move_times_s
    )
    return move_count * _S_PER_HOUR / (history.end_s - history.begin_s)


def unavailable_ratio(history: models.History) -> float | None:
    """Returns the ratio of key-seconds without a server to all key-seconds.

    Each slice counts as an equal share of the keys.
    """
    total = sum(c.slices for c in history.coverage_samples)
    served = sum(c.served for c in history.coverage_samples)
    return (total - served) / total if total else None


def _work_id(call: models.Call) -> str:
    """Returns an id that all repeats of a non-idempotent request share."""
    return call.request.request_id or f"call {call.id}"


def served_ratio(history: models.History) -> float | None:
    """Returns the share of requests that were served; repeats count once."""
    served = {
        _work_id(o.call)
        for o in history.outcomes
        if isinstance(o.answer, models.Served)
    }
    sent = {_work_id(o.call) for o in history.outcomes}
    return len(served) / len(sent) if sent else None


def goodput_ratio(history: models.History) -> float | None:
    """Returns the useful work relative to what was possible.

    In a trace with the phases "capacity" and "threefold" this is the ratio of
    the rate of served work in the second phase to that in the first. In other
    traces it is the ratio of served to requested work. Work is measured in
    execution time on an idle server.
    """
    capacity = _find_phase(history, "capacity")
    threefold = _find_phase(history, "threefold")
    if capacity is not None and threefold is not None:
        rate_at_capacity = _work_rate(history, capacity)
        return (
            _work_rate(history, threefold) / rate_at_capacity
            if rate_at_capacity
            else None
        )
    calls = {_work_id(o.call): o.call for o in history.outcomes}
    served = {
        _work_id(o.call)
        for o in history.outcomes
        if isinstance(o.answer, models.Served)
    }
    requested_ms = sum(c.request.work_ms for c in calls.values())
    served_ms = sum(c.request.work_ms for i, c in calls.items() if i in served)
    return served_ms / requested_ms if requested_ms else None


def _work_rate(history: models.History, phase: schemas.Phase) -> float:
    """Returns the served work of the order group in a phase, in ms per s."""
    group = _deployment(history).order_group.server_group.name
    from_s = phase.from_s + _PHASE_SETTLING_S
    work_ms = sum(
        o.call.request.work_ms
        for o in history.outcomes
        if o.call.request.group == group
        and isinstance(o.answer, models.Served)
        and from_s <= o.ended_s < phase.until_s
    )
    return work_ms / (phase.until_s - from_s)


def over_limit_seconds(history: models.History) -> float:
    """Returns the total time for which servers exceeded their slots, in s."""
    total_s = 0.0
    over_since_s: dict[str, float] = {}
    for sample in history.load_samples:
        is_over = sample.in_flight > sample.slots
        since_s = over_since_s.get(sample.server)
        if is_over and since_s is None:
            over_since_s[sample.server] = sample.at_s
        elif not is_over and since_s is not None:
            total_s += sample.at_s - over_since_s.pop(sample.server)
    total_s += sum(history.end_s - s for s in over_since_s.values())
    return total_s


def double_runs(history: models.History) -> int:
    """Returns how often non-idempotent requests were executed again."""
    runs = collections.Counter(
        r.call.request.request_id
        for r in history.runs
        if r.call.request.request_id
    )
    return sum(count - 1 for count in runs.values())


def two_owner_instants(history: models.History) -> int:
    """Returns how often a second server began to serve a slice or key.

    This counts only if another server still owns the slice or executes a
    request for the key.
    """
    spans: dict[object, list[_Interval]] = collections.defaultdict(list)
    for ownership in history.ownerships:
        spans[ownership.group, ownership.slice].append(
            _Interval(ownership.server, ownership.from_s, ownership.until_s)
        )
    for run in history.runs:
        if run.call.slice is not None:
            spans[run.group, run.call.request.key].append(
                _Interval(run.server, run.started_s, run.ended_s)
            )
    return sum(_count_overlaps(intervals) for intervals in spans.values())


def _count_overlaps(intervals: Iterable[_Interval]) -> int:
    """Returns how many intervals start within one of another owner."""
    count = 0
    open_intervals: list[_Interval] = []
    for interval in sorted(intervals, key=lambda i: i.from_s):
        open_intervals = [
            i for i in open_intervals if i.until_s > interval.from_s
        ]
        if any(i.owner != interval.owner for i in open_intervals):
            count += 1
        open_intervals.append(interval)
    return count


def lost_acknowledged(history: models.History) -> int:
    """Returns how many served answers have no completed execution."""
    completed = {r.call.id for r in history.runs if r.completed}
    return sum(
        isinstance(o.answer, models.Served) and o.call.id not in completed
        for o in history.outcomes
    )


def false_not_run(history: models.History) -> int:
    """Returns how many refusals claim "not run" after an execution began.

    Repeats of a non-idempotent request count as one request: a caller that
    gets "not run" for a repeat may send the request under a new id.
    """
    first_run_s: dict[str, float] = {}
    for run in history.runs:
        first_run_s.setdefault(_work_id(run.call), run.started_s)
    count = 0
    for outcome in history.outcomes:
        match outcome.answer:
            case models.Refused(refusal=refusal):
                stated_outcome = refusal_decisions.outcome_of(refusal)
                began_s = first_run_s.get(_work_id(outcome.call))
                if (
                    stated_outcome is refusals.Outcome.NOT_RUN
                    and began_s is not None
                    and began_s <= outcome.ended_s
                ):
                    count += 1
            case models.Served():
                pass
    return count


def retry_amplification(history: models.History) -> float | None:
    """Returns the number of attempts at servers per call."""
    return (
        history.attempt_count / history.call_count
        if history.call_count
        else None
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Timeline:
    """Counts per interval of a replay, as parallel tuples.

    Attributes:
        at_s: Start of each interval, in seconds from the start of the trace.
        served: Number of requests served.
        refused: Number of requests refused.
        unavailable: Share of the keys without a server.
    """

    at_s: tuple[float, ...]
    served: tuple[int, ...]
    refused: tuple[int, ...]
    unavailable: tuple[float, ...]


def build_timeline(history: models.History, step_s: float = 0.5) -> Timeline:
    """Returns the counts per interval of `step_s` seconds."""
    count = int((history.end_s - history.begin_s) / step_s)
    served, refused = [0] * count, [0] * count
    unserved, slices = [0] * count, [0] * count

    def index_of(at_s: float) -> int:
        return int((at_s - history.begin_s) / step_s)

    for outcome in history.outcomes:
        index = index_of(outcome.ended_s)
        if 0 <= index < count:
            is_served = isinstance(outcome.answer, models.Served)
            (served if is_served else refused)[index] += 1
    for sample in history.coverage_samples:
        index = index_of(sample.at_s)
        if 0 <= index < count:
            unserved[index] += sample.slices - sample.served
            slices[index] += sample.slices
    return Timeline(
        tuple(i * step_s for i in range(count)),
        tuple(served),
        tuple(refused),
        tuple(
            missed / total if total else 0.0
            for missed, total in zip(unserved, slices, strict=True)
        ),
    )


def calls_with_answer(
    history: models.History, matches: Callable[[models.Answer], bool]
) -> frozenset[int]:
    """Returns ids of the calls whose answer matches.

    They are limited to the phase "return" if the trace has one.
    """
    phase = _find_phase(history, "return")
    return frozenset(
        o.call.id
        for o in history.outcomes
        if matches(o.answer)
        and (phase is None or phase.from_s <= o.call.sent_s < phase.until_s)
    )
