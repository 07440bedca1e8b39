"""Updates limits, estimates and suspects from the ending of a request."""

import typing

from berylweir.router.admission import concurrency
from berylweir.router.admission import crash_suspects
from berylweir.router.admission import estimates
from berylweir.router.admission import idempotency
from berylweir.router.admission import models
from berylweir.router.admission import state as states

# The delay after a connect failure starts at 0.1 s and doubles with each
# further failure, up to 2 s.
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 2.0
_MAX_DOUBLINGS = 5


def record_ending(
    table: idempotency.IdempotencyTable, request_id: str, ending: models.Ending
) -> None:
    """Records whether a non-idempotent request was sent and got a response.

    A request that the server shed has not run, so its id is removed as if the
    request had not been sent.
    """
    match ending:
        case (
            models.Ending.NOT_SENT
            | models.Ending.CONNECT_FAILED
            | models.Ending.SHED
        ):
            table.remove_unsent(request_id)
        case models.Ending.COMPLETED | models.Ending.FAILED:
            table.finish(request_id, has_response=True)
        case (
            models.Ending.TIMED_OUT
            | models.Ending.CUT
            | models.Ending.CANCELLED
        ):
            table.finish(request_id, has_response=False)
        case _:
            typing.assert_never(ending)


def apply_ending(
    state: states.State,
    server: states.ServerState,
    finished: states.Running,
    ending: models.Ending,
    now: float,
    first_byte_s: float | None,
) -> None:
    """Updates the concurrency limit, the estimates and the suspects.

    Args:
        state: State of the group.
        server: Server that ran the request, which is no longer in `running`.
        finished: The request.
        ending: How it ended.
        now: Monotonic time, in seconds.
        first_byte_s: Time to the first byte of the response, in seconds, or
            None if it isn't known.
    """
    duration_s = now - finished.started_s
    if server.in_flight_at_cut and ending is not models.Ending.CUT:
        server.in_flight_at_cut.discard(finished.ticket.id)
    match ending:
        case models.Ending.COMPLETED:
            _apply_completed(
                state, server, finished, duration_s, first_byte_s, now
            )
        case models.Ending.FAILED:
            server.last_progress_s = now
            server.connect_failures = 0
        case models.Ending.SHED:
            server.last_progress_s = now
            concurrency.halve(server.concurrency_limit, finished.started_s, now)
        case models.Ending.TIMED_OUT:
            # A request that was sent with too little time left would have
            # timed out on a healthy server too.
            if duration_s > server.service_times.upper_bound_s:
                concurrency.halve(
                    server.concurrency_limit, finished.started_s, now
                )
        case models.Ending.CUT:
            concurrency.halve(server.concurrency_limit, finished.started_s, now)
        case models.Ending.CONNECT_FAILED:
            concurrency.restart(server.concurrency_limit, now)
            server.backoff_until_s = now + min(
                _MAX_BACKOFF_S,
                _MIN_BACKOFF_S
                * 2.0 ** min(server.connect_failures, _MAX_DOUBLINGS),
            )
            server.connect_failures += 1
        case models.Ending.CANCELLED | models.Ending.NOT_SENT:
            pass
        case _:
            typing.assert_never(ending)


def record_cut(
    state: states.State,
    server: states.ServerState,
    finished: states.Running,
    now: float,
) -> None:
    """Marks the requests in flight as suspects after a connection was cut.

    The first cut connection of a crash marks all requests in flight at that
    time, and the later cuts of these requests belong to the same crash. If
    all of them end without a completed response, the server has restarted,
    and its concurrency limit is reset to 1. A request that completes
    clears only itself, because its response may have left the server before
    another request crashed it.
    """
    suspects = state.crash_suspects
    if finished.ticket.id in server.in_flight_at_cut:
        server.in_flight_at_cut.discard(finished.ticket.id)
    else:
        server.in_flight_at_cut = set(server.running)
        server.has_completed_since_cut = False
        if finished.is_isolated:
            crash_suspects.quarantine(
                suspects, finished.ticket.fingerprint, now
            )
        else:
            crash_suspects.mark_suspects(
                suspects,
                (
                    finished.ticket.fingerprint,
                    *(r.ticket.fingerprint for r in server.running.values()),
                ),
                now,
            )
    if not server.in_flight_at_cut and not server.has_completed_since_cut:
        concurrency.restart(server.concurrency_limit, now)


def reset_estimates(server: states.ServerState, now: float) -> None:
    """Resets the limit and the estimates of a server after its ejection."""
    concurrency.restart(server.concurrency_limit, now)
    server.first_byte_times = estimates.DurationStatistics()
    server.service_times = estimates.DurationStatistics()


def _apply_completed(
    state: states.State,
    server: states.ServerState,
    finished: states.Running,
    duration_s: float,
    first_byte_s: float | None,
    now: float,
) -> None:
    server.last_progress_s = now
    server.connect_failures = 0
    server.backoff_until_s = 0.0
    if server.in_flight_at_cut:
        server.has_completed_since_cut = True
    if state.crash_suspects.suspected:
        crash_suspects.clear(
            state.crash_suspects, finished.ticket.fingerprint, now
        )
    limit = server.concurrency_limit
    if concurrency.is_latency_jump(limit, server.service_times, duration_s):
        concurrency.restart(limit, now)
        server.service_times = estimates.DurationStatistics()
    else:
        concurrency.record_success(
            limit,
            duration_s,
            state.limits.slots,
            is_limit_used=(
                finished.started_s >= limit.lowered_at_s
                and len(server.running) + 1 >= limit.value
            ),
        )
    estimates.observe(server.service_times, duration_s)
    if first_byte_s is not None:
        estimates.observe(server.first_byte_times, first_byte_s)
