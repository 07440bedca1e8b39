"""Tests that the safety metrics detect planted violations."""

import pytest

from berylweir.refusals import models as refusals
from berylweir.replay import metrics
from berylweir.replay import models
from berylweir.replay import schemas

_ID = "0190e0c0-0000-7000-8000-000000000001"


def _call(number, *, request_id="", group="booking", key=""):
    request = schemas.Request(
        0.0, group, key, "caller", 0, 10.0, 1000, request_id
    )
    return models.Call(number, request, 7 if key else None, 0.0, 1.0)


def _history(**parts):
    header = schemas.TraceHeader("steady", "maipo", 1, 10.0)
    history = models.History(schemas.Trace(header, ()), 0.0, 10.0)
    for name, value in parts.items():
        setattr(history, name, value)
    return history


def _run(call, server, from_s, until_s, *, completed=True):
    group = call.request.group
    return models.Run(server, group, call, from_s, until_s, completed)


class TestDoubleRuns:
    """Non-idempotent requests that were executed twice."""

    def test_planted_double_run_is_counted(self):
        """Guards against a missed execution of a repeat on another server."""
        first, repeat = (_call(n, request_id=_ID) for n in (1, 2))
        runs = [_run(first, "s-0", 0, 1), _run(repeat, "s-1", 2, 3)]
        assert metrics.double_runs(_history(runs=runs)) == 1

    def test_idempotent_retry_is_not_counted(self):
        """Guards against counting idempotent requests."""
        runs = [_run(_call(1), "s-0", 0, 1), _run(_call(1), "s-1", 2, 3)]
        assert metrics.double_runs(_history(runs=runs)) == 0


class TestOverLimit:
    """Requests in flight beyond the slots of a server."""

    def test_planted_over_limit_second_is_counted(self):
        """Guards against a missed excess over the slots of one server."""
        loads = [
            models.LoadSample("s-0", 1.0, 3, 3),
            models.LoadSample("s-0", 2.0, 4, 3),
            models.LoadSample("s-1", 2.5, 3, 3),
            models.LoadSample("s-0", 3.0, 3, 3),
        ]
        assert metrics.over_limit_seconds(_history(load_samples=loads)) == 1.0

    def test_excess_that_never_ends_is_counted(self):
        """Guards against an excess that is dropped at the end of the trace."""
        loads = [models.LoadSample("s-0", 8.0, 4, 3)]
        assert metrics.over_limit_seconds(_history(load_samples=loads)) == 2.0


class TestTwoOwners:
    """Two servers that serve the same slice or key at a time."""

    def test_planted_second_owner_is_counted(self):
        """Guards against a missed grant that is valid after its slice moved."""
        owners = [
            models.Ownership("s-0", "availability", 7, 0.0, 5.0),
            models.Ownership("s-1", "availability", 7, 4.9, 9.0),
            models.Ownership("s-1", "availability", 8, 0.0, 9.0),
        ]
        assert metrics.two_owner_instants(_history(ownerships=owners)) == 1

    def test_handover_is_not_counted(self):
        """Guards against counting a move after the end of the old grant."""
        owners = [
            models.Ownership("s-0", "availability", 7, 0.0, 5.0),
            models.Ownership("s-1", "availability", 7, 5.0, 9.0),
        ]
        assert metrics.two_owner_instants(_history(ownerships=owners)) == 0

    def test_runs_of_a_key_on_two_servers_are_counted(self):
        """Guards against a missed second owner when there are no grants."""
        first, second = (
            _call(n, group="availability", key="key-1") for n in (1, 2)
        )
        runs = [_run(first, "s-0", 0, 2), _run(second, "s-1", 1, 3)]
        assert metrics.two_owner_instants(_history(runs=runs)) == 1


class TestLostAcknowledged:
    """Acknowledged requests that no server completed."""

    def test_planted_loss_is_counted(self):
        """Guards against a missed response to a request that was aborted."""
        call = _call(1, request_id=_ID)
        history = _history(
            outcomes=[models.Outcome(call, models.Served(), 2.0)],
            runs=[_run(call, "s-0", 0, 1, completed=False)],
        )
        assert metrics.lost_acknowledged(history) == 1


class TestFalseNotRun:
    """Refusals that claim "not run" for requests that were executed."""

    @pytest.mark.parametrize(
        ("refusal", "count"),
        [
            (refusals.Overloaded("booking"), 1),
            (refusals.DeadlineExceeded(sent=True), 0),
            (refusals.RepeatDone(_ID), 0),
        ],
    )
    def test_planted_refusal_is_counted(self, refusal, count):
        """Guards against a missed "not run" after an execution."""
        first, repeat = (_call(n, request_id=_ID) for n in (1, 2))
        history = _history(
            outcomes=[models.Outcome(repeat, models.Refused(refusal), 2.0)],
            runs=[_run(first, "s-0", 0, 1)],
        )
        assert metrics.false_not_run(history) == count


class TestMeasure:
    """All metrics of a history."""

    def test_metric_without_data_is_omitted(self):
        """Guards against default values in place of missing data."""
        metric_values = metrics.compute_metrics(_history())
        assert "latency_p99_ms" not in metric_values
        assert "served_ratio" not in metric_values
        assert set(metric_values) <= set(metrics.UNITS)
