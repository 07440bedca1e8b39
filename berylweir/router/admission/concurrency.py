"""The concurrency limit of a backend server."""

import dataclasses

from berylweir.router.admission import estimates

_JUMP_FACTOR = 4.0
_JUMP_DEVIATIONS = 8.0
_JUMP_SLOW_RESPONSES = 3
_JUMP_MIN_SAMPLES = 16
_MAX_LATENCY_GROWTH = 2.0


@dataclasses.dataclass(slots=True)
class ConcurrencyLimit:
    """How many requests may be in flight, learned from responses.

    The value starts at 1 and returns to 1 at each restart. It rises by one
    after a window of `2 * value` good responses that used the limit and were
    handed out after it was lowered, so it reaches v only after at least
    v * (v - 1) such responses since the last restart: 6 for 3 slots, 30 for 6
    slots. It never exceeds the number of
    slots. A window whose mean latency is more than twice that of the window
    before doesn't raise it.

    Attributes:
        value: The limit.
        successes: Good responses in this window.
        window_sum_s: Sum of their times, in seconds.
        previous_mean_s: Mean of the window before, in seconds; 0 if there is
            none.
        slow_in_a_row: Responses in a row that were much slower than usual.
        slow_threshold_s: Time above which they count, fixed at the first of
            them, in seconds.
        lowered_at_s: When the value was last lowered, on the monotonic clock.
    """

    value: int = 1
    successes: int = 0
    window_sum_s: float = 0.0
    previous_mean_s: float = 0.0
    slow_in_a_row: int = 0
    slow_threshold_s: float = 0.0
    lowered_at_s: float = float("-inf")


def restart(limit: ConcurrencyLimit, now: float) -> None:
    """Starts again at 1: whatever was learned concerns another process."""
    limit.value = 1
    limit.successes = 0
    limit.window_sum_s = 0.0
    limit.previous_mean_s = 0.0
    limit.slow_in_a_row = 0
    limit.lowered_at_s = now


def halve(limit: ConcurrencyLimit, started_s: float, now: float) -> None:
    """Halves the value, at most once for the requests of one round trip.

    A request that started before the last decrease says nothing about the
    lower value.

    Args:
        limit: The limit.
        started_s: When the request that failed was handed out.
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
    """Takes a good response as evidence.

    Args:
        limit: The limit.
        seconds: Time that it took.
        slots: Upper bound of the limit.
        is_limit_used: Whether as many requests were in flight as the limit
            allows, and the request was handed out after the limit was lowered.
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
    limit: ConcurrencyLimit, times: estimates.ServiceTimes, seconds: float
) -> bool:
    """Returns whether the server has become slow as after a cold start.

    That is the case after three responses in a row that took more than four
    times the mean and more than eight mean deviations above it. One slow
    request among fast ones isn't enough.

    Args:
        limit: The limit, which counts the slow responses.
        times: Service times before this response.
        seconds: Time of this response.
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
