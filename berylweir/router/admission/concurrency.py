"""Adapts the concurrency limit of a backend server to its responses."""

import dataclasses

from berylweir.router.admission import estimates

# A response is slow if it takes longer than both this many means and the mean
# plus this many mean deviations.
_JUMP_FACTOR = 4.0
_JUMP_DEVIATIONS = 8.0
_JUMP_SLOW_RESPONSES = 3
_JUMP_MIN_SAMPLES = 16
_MAX_LATENCY_GROWTH = 2.0


@dataclasses.dataclass(slots=True)
class ConcurrencyLimit:
    """How many requests may be in flight at a backend server.

    The value starts at 1 and returns to 1 when the server restarts. It rises
    by one after a window of `2 * value` completed responses. A response counts
    only if the limit was fully used and its request was started after the
    limit was last lowered. The value v is therefore reached after at least
    v * (v - 1) such responses since the last restart: 6 for 3 slots, 30 for 6
    slots. It never exceeds the number of slots. A window whose mean service
    time is more than twice that of the previous window doesn't raise it.

    Attributes:
        value: The limit.
        successes: Responses that count in the current window.
        window_sum_s: Sum of their service times, in seconds.
        previous_mean_s: Mean service time of the previous window, in seconds;
            0 if there is none.
        slow_in_a_row: Number of consecutive slow responses.
        slow_threshold_s: Service time above which a response is slow, in
            seconds. It is kept fixed during a series of slow responses, which
            would otherwise raise it.
        lowered_at_s: When the value was last lowered, in seconds on the
            monotonic clock.
    """

    value: int = 1
    successes: int = 0
    window_sum_s: float = 0.0
    previous_mean_s: float = 0.0
    slow_in_a_row: int = 0
    slow_threshold_s: float = 0.0
    lowered_at_s: float = float("-inf")


def restart(limit: ConcurrencyLimit, now: float) -> None:
    """Resets the limit to 1, because the server's process is a new one.

    Args:
        limit: The limit.
        now: Monotonic time, in seconds.
    """
    limit.value = 1
    limit.successes = 0
    limit.window_sum_s = 0.0
    limit.previous_mean_s = 0.0
    limit.slow_in_a_row = 0
    limit.lowered_at_s = now


def halve(limit: ConcurrencyLimit, started_s: float, now: float) -> None:
    """Halves the value, at most once for the requests in flight together.

    A request that started before the last decrease ran under the higher
    limit, so its failure doesn't lower the limit again.

    Args:
        limit: The limit.
        started_s: When the failed request was started, in seconds on the
            monotonic clock.
        now: Monotonic time, in seconds.
    """
    if started_s < limit.lowered_at_s:
        return
    limit.value = max(1, limit.value // 2)
    limit.successes = 0
    limit.window_sum_s = 0.0
    limit.previous_mean_s = 0.0
    limit.lowered_at_s = now


def record_success(
    limit: ConcurrencyLimit, seconds: float, slots: int, *, is_limit_used: bool
) -> None:
    """Counts a completed response, and raises the limit after a window.

    Args:
        limit: The limit.
        seconds: Service time of the response, in seconds.
        slots: Upper bound of the limit.
        is_limit_used: Whether as many requests were in flight as the limit
            allows, and the request was started after the limit was lowered.
    """
    if not is_limit_used or limit.value >= slots:
        return
    limit.successes += 1
    limit.window_sum_s += seconds
    if limit.successes < 2 * limit.value:
        return
    mean_s = limit.window_sum_s / limit.successes
    if (
        not limit.previous_mean_s
        or mean_s <= _MAX_LATENCY_GROWTH * limit.previous_mean_s
    ):
        limit.value += 1
    limit.previous_mean_s = mean_s
    limit.successes = 0
    limit.window_sum_s = 0.0


def is_latency_jump(
    limit: ConcurrencyLimit, times: estimates.DurationStatistics, seconds: float
) -> bool:
    """Returns whether the server has become as slow as after a restart.

    That is the case after three responses in a row that took more than four
    times the mean and more than eight mean deviations above it. One slow
    response among fast ones isn't enough.

    Args:
        limit: The limit, which counts the slow responses.
        times: Service times before this response.
        seconds: Service time of this response, in seconds.
    """
    if not limit.slow_in_a_row:
        limit.slow_threshold_s = max(
            _JUMP_FACTOR * times.mean_s,
            times.mean_s + _JUMP_DEVIATIONS * times.deviation_s,
        )
    if times.samples < _JUMP_MIN_SAMPLES or seconds <= limit.slow_threshold_s:
        limit.slow_in_a_row = 0
        return False
    limit.slow_in_a_row += 1
    return limit.slow_in_a_row >= _JUMP_SLOW_RESPONSES
