"""Outlier detection: finds servers much slower than the rest of their group.

The decision uses only what the router measures itself: the time to the first
byte, and the time without progress while requests are in flight. A server of
an unkeyed group is ejected, that is, gets no work for 1 to 30 s. At most a
third of the servers at this home, rounded down, are ejected at a time; with
one or two servers none is. Keyed work can't go elsewhere, so a slow server
with keys is only marked as slow, and its queue is kept short.
"""

from collections.abc import Mapping
import dataclasses
import math
import statistics

_SLOW_FACTOR = 3.0
# On a busy VM, scheduling delays cause smaller differences than this one.
_MIN_DIFFERENCE_S = 0.005
_MIN_SAMPLES = 5
_STALL_FACTOR = 10.0
_MIN_STALL_S = 0.25
_MIN_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0


@dataclasses.dataclass(slots=True)
class OutlierState:
    """Result of the outlier detection for one server.

    Attributes:
        is_slow: Whether it is much slower than the median.
        ejected_until_s: End of its ejection, in seconds on the monotonic
            clock; 0 if it isn't ejected.
        ejections: Number of ejections in a row. The first lasts 1 s, and each
            further one twice as long as the one before, up to 30 s.
        last_ejected_until_s: End of its last ejection, in seconds on the
            monotonic clock.
    """

    is_slow: bool = False
    ejected_until_s: float = 0.0
    ejections: int = 0
    last_ejected_until_s: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSignals:
    """Measurements of one server.

    Attributes:
        latency_s: Mean time to the first byte, in seconds.
        samples: Number of responses in the mean.
        stall_s: Time since the last progress while requests are in flight, in
            seconds.
    """

    latency_s: float
    samples: int
    stall_s: float


def find_slow_servers(signals: Mapping[str, ServerSignals]) -> dict[str, float]:
    """Returns the slow servers, each with its ratio to the median latency.

    Args:
        signals: Measurements of each server at this home, by server name.
    """
    known = [s.latency_s for s in signals.values() if s.samples >= _MIN_SAMPLES]
    if not known:
        return {}
    # With two servers, the lower median is the latency of the faster one.
    median_s = statistics.median_low(known)
    slow = {}
    for name, signal in signals.items():
        slowest_s = 0.0
        if signal.samples >= _MIN_SAMPLES:
            slowest_s = signal.latency_s
        if signal.stall_s > max(_MIN_STALL_S, _STALL_FACTOR * median_s):
            slowest_s = max(slowest_s, signal.stall_s)
        if slowest_s > _SLOW_FACTOR * median_s + _MIN_DIFFERENCE_S:
            slow[name] = slowest_s / max(median_s, 1e-9)
    return slow


def choose_ejections(
    states: Mapping[str, OutlierState], slow: Mapping[str, float], now: float
) -> list[str]:
    """Returns the servers to eject now, the slowest first.

    Args:
        states: Outlier state of each server without keys at this home.
        slow: Slow servers, each with its ratio to the median latency.
        now: Monotonic time, in seconds.
    """
    ejected_count = sum(s.ejected_until_s > now for s in states.values())
    max_ejections = len(states) // 3 - ejected_count
    candidates = [
        n for n in slow if n in states and states[n].ejected_until_s <= now
    ]
    candidates.sort(key=lambda n: slow[n], reverse=True)
    return candidates[: max(0, max_ejections)]


def eject(outlier: OutlierState, now: float) -> None:
    """Ejects a server; each ejection in a row lasts longer than the last one.

    A server that got work for as long as the longest ejection has recovered, so
    the next ejection is a first one again.
    """
    if now - outlier.last_ejected_until_s >= _MAX_EJECTION_S:
        outlier.ejections = 0
    outlier.ejected_until_s = now + min(
        _MAX_EJECTION_S, _MIN_EJECTION_S * 2.0**outlier.ejections
    )
    outlier.last_ejected_until_s = outlier.ejected_until_s
    outlier.ejections += 1
