"""Finds backend servers that are much slower than the others of their group.

Only the router's own signals count: the time to the first byte and the age of
requests in flight. A server of an unkeyed group is ejected for moments, and at
most a third of the servers at this home are ejected at a time, rounded down:
with one or two servers none is. Keyed work can't go elsewhere, so a slow
server with keys is only marked, and its queue is kept short.
"""

from collections.abc import Mapping
import dataclasses
import statistics

_SLOW_FACTOR = 3.0
# Below this difference, scheduling noise on a busy VM looks like slowness.
_MIN_DIFFERENCE_S = 0.005
_MIN_SAMPLES = 5
_STALL_FACTOR = 10.0
_MIN_STALL_S = 0.25
_MIN_EJECTION_S = 1.0
_MAX_EJECTION_S = 30.0


@dataclasses.dataclass(slots=True)
class OutlierState:
    """How a server does beside the others.

    Attributes:
        is_slow: Whether it is much slower than the median.
        ejected_until_s: End of its ejection, on the monotonic clock.
        ejections: Ejections in a row; each lasts twice as long as the one
            before, up to 30 s.
    """

    is_slow: bool = False
    ejected_until_s: float = 0.0
    ejections: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSignals:
    """What the router has seen of a server.

    Attributes:
        latency_s: Mean time to the first byte, in seconds.
        samples: Number of responses behind it.
        stall_s: Time since the last sign of progress, in seconds.
    """

    latency_s: float
    samples: int
    stall_s: float


def find_slow_servers(signals: Mapping[str, ServerSignals]) -> dict[str, float]:
    """Returns the servers that are slow, with how many times the median.

    Args:
        signals: Signals of each server at this home.
    """
    known = [s.latency_s for s in signals.values() if s.samples >= _MIN_SAMPLES]
    if not known:
        return {}
    # The lower median: of two servers, the faster one is the measure.
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
        states: Pace of each server at this home.
        slow: Servers that are slow, with how many times the median.
        now: Monotonic time, in seconds.
    """
    ejected_count = sum(p.ejected_until_s > now for p in states.values())
    available = len(states) // 3 - ejected_count
    candidates = [
        n for n in slow if n in states and states[n].ejected_until_s <= now
    ]
    candidates.sort(key=lambda n: slow[n], reverse=True)
    return candidates[: max(0, available)]


def eject(outlier: OutlierState, now: float) -> None:
    """Ejects a server for a moment."""
    outlier.ejected_until_s = now + min(
        _MAX_EJECTION_S, _MIN_EJECTION_S * 2.0**outlier.ejections
    )
    outlier.ejections += 1
