"""Tests of the targets and of the results file."""

import msgspec
import pytest

from berylweir.replay import bench
from berylweir.replay import generator
from berylweir.replay import metrics
from berylweir.replay import schemas

_TIMELINE = metrics.Timeline((), (), (), ())


def _result(scenario, policy, metric_values, served=(), refused=()):
    header = schemas.TraceHeader(scenario, "maipo", 1, 24.0)
    return bench.ReplayResult(
        header,
        policy,
        metric_values,
        _TIMELINE,
        (),
        frozenset(served),
        frozenset(refused),
    )


def _record(metric, value, target):
    return schemas.MetricRecord(
        "steady", "maipo", "home", 1, metric, value, "", target
    )


class TestTargets:
    """Targets that requirements set."""

    @pytest.mark.parametrize("scenario", generator.SCENARIOS)
    def test_safety_target_is_zero_in_each_scenario(self, scenario):
        """Guards against a scenario without targets for the safety metrics."""
        header = schemas.TraceHeader(scenario, "maipo", 1, 24.0)
        for metric in (
            "double_runs",
            "two_owner_instants",
            "lost_acknowledged",
            "false_not_run",
            "over_limit_seconds",
        ):
            assert bench.target_for(header, metric, None) == 0

    def test_latency_target_is_a_multiple_of_the_steady_one(self):
        """Guards against a target that depends on the measured value."""
        steady = _result("steady", "home", {"latency_p99_ms": 100.0})
        slow = schemas.TraceHeader("slow_backends", "maipo", 1, 24.0)
        zone_return = schemas.TraceHeader("zone_out_and_back", "maipo", 1, 24.0)
        assert bench.target_for(slow, "latency_p99_ms", steady) == 130.0
        assert bench.target_for(zone_return, "latency_p99_ms", steady) == 120.0
        assert bench.target_for(slow, "latency_p99_ms", None) is None

    def test_bounds_are_lower_or_upper_by_metric(self):
        """Guards against a lower bound that is checked as an upper bound."""
        assert bench.meets_target(_record("goodput_ratio", 0.96, 0.95)) is True
        assert bench.meets_target(_record("goodput_ratio", 0.94, 0.95)) is False
        assert (
            bench.meets_target(_record("latency_p99_ms", 131.0, 130.0)) is False
        )
        assert bench.meets_target(_record("churn", 5.0, None)) is None


class TestRecords:
    """Records made from the measurements of the replays."""

    def test_requests_that_only_the_baseline_served_are_counted(self):
        """Guards against calls refused by a policy that the baseline serves."""
        results = [
            _result("zone_out_and_back", "baseline", {}, served=(1, 2)),
            _result("zone_out_and_back", "home", {}, refused=(2, 3)),
        ]
        (record,) = bench.build_records(results)
        assert record.metric == "refused_beyond_baseline"
        assert (record.value, record.target) == (1, 0)

    def test_file_holds_the_records(self, tmp_path):
        """Guards against a results file that is not the JSON of its records."""
        records = bench.build_records(
            [_result("steady", "home", {"churn": 3.0})]
        )
        path = tmp_path / "latest.json"
        bench.write_records(records, path)
        decoded = msgspec.json.decode(
            path.read_bytes(), type=list[schemas.MetricRecord]
        )
        assert tuple(decoded) == records
