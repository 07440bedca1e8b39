"""Tests of the history checker, with one violation of each kind."""

import pytest

from berylweir.history import decisions
from berylweir.history import models


def _invocation(request_id="r", outcome=models.Outcome.DONE, **changes):
    fields = {"answer_id": "", "answer_key": "", **changes}
    return models.Invocation(request_id, "k", 0.0, 9.0, outcome, **fields)


def _run(server="s-0", request_id="r", token=1, started_s=1.0, ended_s=2.0):
    return models.Run(server, request_id, 3, token, started_s, ended_s)


_HISTORIES_WITH_VIOLATION = {
    "overlap": (
        [_invocation("a"), _invocation("b")],
        [_run("s-0", "a"), _run("s-1", "b", token=2, started_s=1.5)],
        models.TwoOwners,
    ),
    "older token later": (
        [_invocation("a"), _invocation("b")],
        [
            _run("s-1", "b", token=2),
            _run("s-0", "a", token=1, started_s=3.0, ended_s=4.0),
        ],
        models.TwoOwners,
    ),
    "run twice": (
        [_invocation()],
        [_run(), _run(started_s=3.0, ended_s=4.0)],
        models.RunTwice,
    ),
    "run though not run": (
        [_invocation(outcome=models.Outcome.NOT_RUN)] * 2,
        [_run()],
        models.RunThoughNotRun,
    ),
    "acknowledged but not run": (
        [_invocation()],
        [],
        models.AcknowledgedNotRun,
    ),
    "foreign id": (
        [_invocation(answer_id="x", answer_key="k")],
        [_run()],
        models.ForeignAnswer,
    ),
    "foreign key": (
        [_invocation(answer_id="r", answer_key="x")],
        [_run()],
        models.ForeignAnswer,
    ),
}


class TestCheck:
    """Check of a recorded history."""

    @pytest.mark.parametrize("kind", _HISTORIES_WITH_VIOLATION)
    def test_reports_each_kind_of_violation(self, kind):
        """Guards against a checker that misses a kind of violation."""
        invocations, runs, violation = _HISTORIES_WITH_VIOLATION[kind]
        violations = decisions.check(invocations, runs)
        assert [type(v) for v in violations] == [violation]

    def test_accepts_a_consistent_history(self):
        """Guards against a checker that reports allowed behaviour."""
        invocations = [
            _invocation("a", answer_id="a", answer_key="k"),
            _invocation("b", models.Outcome.UNKNOWN),
            _invocation("c", models.Outcome.NOT_RUN),
            _invocation("c", models.Outcome.UNKNOWN),
        ]
        runs = [
            _run("s-0", "a"),
            _run("s-1", "b", token=2, started_s=2.5, ended_s=3.0),
            _run("s-1", "c", token=2, started_s=2.6, ended_s=3.0),
        ]
        assert decisions.check(invocations, runs) == ()
