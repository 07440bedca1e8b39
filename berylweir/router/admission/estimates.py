"""Estimates how long a request waits and runs."""

import dataclasses
import math

_SAMPLE_WEIGHT = 1 / 8
_MEAN_MARGIN = 1.05
# With exponential service times, 96% end within the mean and three mean
# deviations; with two, the goodput at three times capacity was below 0.95.
_SERVICE_DEVIATIONS = 3.0
_WAIT_DEVIATIONS = 2.0


@dataclasses.dataclass(slots=True)
class ServiceTimes:
    """Moving mean and mean deviation of the service times of a server.

    Attributes:
        mean_s: Mean, in seconds.
        deviation_s: Mean deviation, in seconds.
        samples: Number of times seen.
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0
    samples: int = 0

    @property
    def upper_bound_s(self) -> float:
        """Time within which nearly all requests end, in seconds."""
        return (
            _MEAN_MARGIN * self.mean_s + _SERVICE_DEVIATIONS * self.deviation_s
        )


def observe(times: ServiceTimes, seconds: float) -> None:
    """Adds a service time, in seconds."""
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
    times: ServiceTimes, queued_ahead: int, parallelism: int, stall_s: float
) -> float:
    """Returns the time that a request probably waits for its turn.

    Args:
        times: Service times seen.
        queued_ahead: Number of requests that go first.
        parallelism: Number of requests that run at a time.
        stall_s: Time since the last response; a server that answers nothing
            is as slow as this at least.
    """
    rounds = (queued_ahead + 1) / parallelism
    spread = (
        _WAIT_DEVIATIONS
        * times.deviation_s
        * math.sqrt(queued_ahead + 1)
        / parallelism
    )
    return rounds * max(times.mean_s, stall_s) + spread
