"""Estimates the waiting time and the service time of a request."""

import dataclasses
import math

_SAMPLE_WEIGHT = 1 / 8
_MEAN_MARGIN = 1.05
# With exponential service times, 96% of the requests end within the mean plus
# three mean deviations. With two deviations, the goodput at three times the
# capacity was below 0.95 of the goodput at capacity.
_SERVICE_DEVIATIONS = 3.0
_WAIT_DEVIATIONS = 2.0


@dataclasses.dataclass(slots=True)
class DurationStatistics:
    """Moving averages of a duration, such as a service time.

    Attributes:
        mean_s: Moving average of the duration, in seconds.
        deviation_s: Moving average of the absolute difference from `mean_s`,
            in seconds.
        samples: Number of durations added.
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0
    samples: int = 0

    @property
    def upper_bound_s(self) -> float:
        """Duration that nearly no sample exceeds, in seconds."""
        return (
            _MEAN_MARGIN * self.mean_s + _SERVICE_DEVIATIONS * self.deviation_s
        )


def observe(times: DurationStatistics, seconds: float) -> None:
    """Adds a sample, in seconds."""
    times.samples += 1
    if times.samples == 1:
        times.mean_s = seconds
        times.deviation_s = seconds / 4
        return
    difference_s = seconds - times.mean_s
    times.mean_s += _SAMPLE_WEIGHT * difference_s
    times.deviation_s += _SAMPLE_WEIGHT * (
        abs(difference_s) - times.deviation_s
    )


def estimate_wait_s(
    times: DurationStatistics,
    queued_ahead: int,
    parallelism: int,
    stall_s: float,
) -> float:
    """Returns the expected waiting time of a request in a queue, in seconds.

    Args:
        times: Service times of the server.
        queued_ahead: Number of requests that are served before it.
        parallelism: Number of requests that run at a time.
        stall_s: Time since the last response, in seconds. A server that has
            stopped responding is assumed to need at least this long for each
            request.
    """
    rounds = (queued_ahead + 1) / parallelism
    spread = (
        _WAIT_DEVIATIONS
        * times.deviation_s
        * math.sqrt(queued_ahead + 1)
        / parallelism
    )
    return rounds * max(times.mean_s, stall_s) + spread
