"""Checks a recorded history for violations of the router's guarantees."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence

from berylweir.history import models


def check(
    invocations: Sequence[models.Invocation], runs: Sequence[models.Run]
) -> tuple[models.Violation, ...]:
    """Returns all violations of the router's guarantees in a history.

    Args:
        invocations: All attempts of all callers.
        runs: All executions at all backend servers.
    """
    return (
        *_find_two_owners(runs),
        *_check_executions(invocations, runs),
        *_find_foreign_answers(invocations),
    )


def _find_two_owners(runs: Iterable[models.Run]) -> Iterator[models.TwoOwners]:
    """Yields pairs of runs that show two owners of a slice.

    These are runs on different servers that overlap in time, or of which the
    later one has a lower fencing token. Each run is compared only with the
    run that ended last on each other server, and with the run that has the
    highest token so far. Runs without a slice are skipped.
    """
    highest_token_runs: dict[int, models.Run] = {}
    last_ended_runs: dict[tuple[int, str], models.Run] = {}
    for run in sorted(runs, key=lambda r: r.started_s):
        if run.slice < 0:
            continue
        for (index, server), other in last_ended_runs.items():
            if (
                index == run.slice
                and server != run.server
                and other.ended_s > run.started_s
            ):
                yield models.TwoOwners(run.slice, other, run)
        highest_token_run = highest_token_runs.get(run.slice)
        if (
            highest_token_run is not None
            and run.token < highest_token_run.token
        ):
            if highest_token_run.server != run.server:
                yield models.TwoOwners(run.slice, highest_token_run, run)
        else:
            highest_token_runs[run.slice] = run
        slice_and_server = (run.slice, run.server)
        if (
            slice_and_server not in last_ended_runs
            or last_ended_runs[slice_and_server].ended_s < run.ended_s
        ):
            last_ended_runs[slice_and_server] = run


def _check_executions(
    invocations: Iterable[models.Invocation], runs: Iterable[models.Run]
) -> Iterator[models.Violation]:
    """Yields requests whose executions contradict their outcomes.

    These are requests executed more than once though not idempotent, executed
    though all attempts ended with "not-run", and not executed though an attempt
    ended with "done".
    """
    invocations_by_request: dict[str, list[models.Invocation]] = {}
    for invocation in invocations:
        invocations_by_request.setdefault(invocation.request_id, []).append(
            invocation
        )
    runs_by_request: dict[str, list[models.Run]] = {}
    for run in runs:
        runs_by_request.setdefault(run.request_id, []).append(run)
    for request_id, request_invocations in invocations_by_request.items():
        request_runs = runs_by_request.get(request_id, [])
        if len(request_runs) > 1 and not request_invocations[0].idempotent:
            yield models.RunTwice(request_id, tuple(request_runs))
        outcomes = {i.outcome for i in request_invocations}
        if request_runs and outcomes == {models.Outcome.NOT_RUN}:
            yield models.RunThoughNotRun(request_id, request_runs[0])
        if not request_runs and models.Outcome.DONE in outcomes:
            yield models.AcknowledgedNotRun(request_id)


def _find_foreign_answers(
    invocations: Iterable[models.Invocation],
) -> Iterator[models.ForeignAnswer]:
    """Yields attempts whose response has the id or key of another request."""
    for invocation in invocations:
        if not invocation.answer_id and not invocation.answer_key:
            continue
        if (invocation.answer_id, invocation.answer_key) != (
            invocation.request_id,
            invocation.key,
        ):
            yield models.ForeignAnswer(invocation)
