"""Replays the traces under all policies and checks the targets."""

from collections.abc import Iterable
from collections.abc import Sequence
from concurrent import futures
import dataclasses
import pathlib

import msgspec
from rich import console as rich_console
from rich import table as rich_table

from berylweir.replay import deployments
from berylweir.replay import driver
from berylweir.replay import generator
from berylweir.replay import metrics
from berylweir.replay import models
from berylweir.replay import schemas

# Replays are independent and run in this many processes.
_WORKERS = 4

# Metrics that must be 0 in each scenario.
_SAFETY_METRICS = (
    "double_runs",
    "two_owner_instants",
    "lost_acknowledged",
    "false_not_run",
    "over_limit_seconds",
)
# Targets from the requirements.
_MAX_RECOVERY_S = 3.0
_MAX_SLOWED_P99_FACTOR = 1.3
_MAX_RETURN_P99_FACTOR = 1.2
_MIN_OVERLOAD_GOODPUT = 0.95
# The target of these metrics is a lower bound, of all others an upper bound.
_HIGHER_IS_BETTER = frozenset({"served_ratio", "goodput_ratio"})

_COMMON_POLICIES: tuple[models.Policy, ...] = (
    models.Baseline(),
    models.HomeRouting(),
)
_LIMIT_POLICIES: tuple[models.Policy, ...] = (
    models.PerVmLimit(),
    models.SlotCredits(),
)
_ZONE_RETURN_POLICIES: tuple[models.Policy, ...] = (
    models.HomeRouting(zone_return=models.TimedSteps()),
    models.HomeRouting(zone_return=models.GatedSteps()),
    models.HomeRouting(spare_capacity=models.DedicatedFallback()),
    models.HomeRouting(spare_capacity=models.SpreadSpareServers()),
    models.HomeRouting(spare_capacity=models.ShedZoneTraffic()),
)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayJob:
    """A trace file and the policy under which to replay it."""

    path: pathlib.Path
    policy: models.Policy


@dataclasses.dataclass(frozen=True, slots=True)
class ReplayResult:
    """Measurements of one replay.

    Attributes:
        header: Header of the trace.
        policy: Name of the policy.
        metric_values: Value of each metric by its name.
        timeline: Requests and coverage per interval.
        percentiles: Pairs of a percentile and the lookups' latency in ms.
        served: Ids of the calls that were served, limited to the phase
            "return" if the trace has one.
        refused: Ids of the calls that were refused, limited likewise.
    """

    header: schemas.TraceHeader
    policy: str
    metric_values: dict[str, float]
    timeline: metrics.Timeline
    percentiles: tuple[tuple[float, float], ...]
    served: frozenset[int]
    refused: frozenset[int]


_PERCENTILES = (0.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9)


def policies_for(scenario: str) -> tuple[models.Policy, ...]:
    """Returns the policies under which a scenario is replayed."""
    match scenario:
        case "steady" | "overload":
            return (*_COMMON_POLICIES, *_LIMIT_POLICIES)
        case "zone_out_and_back":
            return (*_COMMON_POLICIES, *_ZONE_RETURN_POLICIES)
        case _:
            return _COMMON_POLICIES


def list_jobs(directory: pathlib.Path) -> tuple[ReplayJob, ...]:
    """Returns the replays of all scenarios and deployments."""
    return tuple(
        ReplayJob(directory / f"{scenario}.{name}.jsonl", policy)
        for scenario in generator.SCENARIOS
        for name in deployments.DEPLOYMENTS
        for policy in policies_for(scenario)
    )


def run_job(job: ReplayJob) -> ReplayResult:
    """Replays one trace under one policy and measures it."""
    trace = schemas.decode_trace(job.path.read_bytes())
    history = driver.replay(trace, job.policy)
    latencies_us = metrics.latency_histogram(history)
    return ReplayResult(
        trace.header,
        models.policy_name(job.policy),
        metrics.compute_metrics(history),
        metrics.build_timeline(history),
        tuple(
            (
                percentile,
                latencies_us.get_value_at_percentile(percentile) / 1000,
            )
            for percentile in _PERCENTILES
            if latencies_us.get_total_count()
        ),
        metrics.calls_with_answer(
            history, lambda a: isinstance(a, models.Served)
        ),
        metrics.calls_with_answer(
            history, lambda a: isinstance(a, models.Refused)
        ),
    )


def run_all(directory: pathlib.Path) -> tuple[ReplayResult, ...]:
    """Replays all traces in parallel; results are in the order of the jobs."""
    with futures.ProcessPoolExecutor(_WORKERS) as pool:
        return tuple(pool.map(run_job, list_jobs(directory)))


def build_records(
    results: Sequence[ReplayResult],
) -> tuple[schemas.MetricRecord, ...]:
    """Returns the metrics of all replays with their targets."""
    result_by_key = {_result_key(r): r for r in results}
    records: list[schemas.MetricRecord] = []
    for result in results:
        header = result.header
        metric_values = dict(result.metric_values)
        baseline = result_by_key.get(
            (header.scenario, header.deployment, "baseline")
        )
        if (
            header.scenario == "zone_out_and_back"
            and baseline is not None
            and result.policy != "baseline"
        ):
            metric_values["refused_beyond_baseline"] = len(
                result.refused & baseline.served
            )
        steady = result_by_key.get(
            ("steady", header.deployment, result.policy)
        ) or result_by_key.get(("steady", header.deployment, "home"))
        for metric, value in metric_values.items():
            records.append(
                schemas.MetricRecord(
                    header.scenario,
                    header.deployment,
                    result.policy,
                    header.seed,
                    metric,
                    round(value, 6),
                    metrics.UNITS[metric],
                    target_for(header, metric, steady),
                )
            )
    return tuple(records)


def _result_key(result: ReplayResult) -> tuple[str, str, str]:
    return result.header.scenario, result.header.deployment, result.policy


def target_for(
    header: schemas.TraceHeader, metric: str, steady: ReplayResult | None
) -> float | None:
    """Returns the bound that a requirement sets, or None.

    Args:
        header: Header of the trace.
        metric: Name of the metric.
        steady: Replay of the steady trace under the same policy. Bounds on
            the latency during faults are multiples of its latency.
    """
    steady_p99_ms = (
        steady.metric_values.get("latency_p99_ms") if steady else None
    )
    match header.scenario, metric:
        case _, name if name in _SAFETY_METRICS:
            return 0.0
        case (
            ("backend_loss" | "cold_restart" | "zone_cut_off"),
            "longest_gap_s",
        ):
            return _MAX_RECOVERY_S
        case (("backend_loss" | "cold_restart"), "unavailable_seconds"):
            return round(_allowed_unavailable_ratio(header), 6)
        case "slow_backends", "latency_p99_ms" if steady_p99_ms:
            return round(steady_p99_ms * _MAX_SLOWED_P99_FACTOR, 3)
        case "zone_out_and_back", "latency_p99_ms" if steady_p99_ms:
            return round(steady_p99_ms * _MAX_RETURN_P99_FACTOR, 3)
        case "zone_out_and_back", "refused_beyond_baseline":
            return 0.0
        case "overload", "goodput_ratio":
            return _MIN_OVERLOAD_GOODPUT
        case _:
            return None


def _allowed_unavailable_ratio(header: schemas.TraceHeader) -> float:
    """Returns the ratio of key-seconds that the trace's crashes may cost.

    Each crash of a lookup server may leave its keys unserved for
    `_MAX_RECOVERY_S`. Each server counts as an equal share of the keys.
    """
    lookups = deployments.DEPLOYMENTS[header.deployment].lookup_group
    crash_count = sum(
        isinstance(f, schemas.ServerCrash)
        and f.server.startswith(lookups.server_group.name)
        for f in header.faults
    )
    return (
        crash_count / lookups.server_count * _MAX_RECOVERY_S / header.duration_s
    )


def meets_target(record: schemas.MetricRecord) -> bool | None:
    """Returns whether the value meets its target, or None without one."""
    if record.target is None:
        return None
    if record.metric in _HIGHER_IS_BETTER:
        return record.value >= record.target
    return record.value <= record.target


def write_records(
    records: Iterable[schemas.MetricRecord], path: pathlib.Path
) -> None:
    """Writes the records as a JSON array with one record per line."""
    lines = (msgspec.json.encode(r).decode() for r in records)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("[\n" + ",\n".join(lines) + "\n]\n")


def print_table(records: Sequence[schemas.MetricRecord]) -> None:
    """Prints all records, and the number of missed targets per policy."""
    table = rich_table.Table(title="Replay")
    for column in ("scenario", "deployment", "policy", "metric", "value"):
        table.add_column(column)
    table.add_column("target")
    table.add_column("verdict")
    for record in records:
        met = meets_target(record)
        verdict = "" if met is None else "met" if met else "MISSED"
        table.add_row(
            record.scenario,
            record.deployment,
            record.policy,
            record.metric,
            f"{record.value:g} {record.unit}",
            "" if record.target is None else f"{record.target:g}",
            verdict,
        )
    console = rich_console.Console(width=130)
    console.print(table)
    with_target = [r for r in records if meets_target(r) is not None]
    missed = [r for r in with_target if not meets_target(r)]
    for policy in dict.fromkeys(r.policy for r in with_target):
        count = sum(r.policy == policy for r in with_target)
        misses = sum(r.policy == policy for r in missed)
        console.print(f"{policy}: {misses} of {count} targets missed")
