"""The platform's rule on requests to a server that names a limit."""

from collections.abc import Sequence

# Length of the windows in which requests are counted, in seconds.
WINDOW_S = 4.0
# Requests in any window, as a multiple of what the limit allows, and in
# addition to that.
_FACTOR = 1.5
_SLACK = 5.0


def allowed_in_window(limit: float) -> float:
    """Returns the requests that are allowed in any window."""
    return _FACTOR * WINDOW_S * limit + _SLACK


def most_in_window(starts_s: Sequence[float]) -> int:
    """Returns the largest number of requests in any window."""
    return max(
        (
            sum(1 for s in starts_s if first <= s <= first + WINDOW_S)
            for first in starts_s
        ),
        default=0,
    )
