"""Load of each slice, smoothed over time."""

from collections.abc import Iterable
import math

_HALF_LIFE_S = 10.0
_MIN_RATE_PER_S = 0.1
_MAX_REPORTED_SLICES = 32
_DECAY_PER_S = math.log(2.0) / _HALF_LIFE_S


class SliceLoads:
    """Requests per second of each slice, as exponentially decaying rates.

    A half-life of 10 s follows hot keys that change within minutes and passes
    over a burst of a second.
    """

    def __init__(self) -> None:
        """Creates loads that are all zero."""
        self._rates: dict[str, dict[int, tuple[float, float]]] = {}

    def add(
        self, server: str, counts: Iterable[tuple[int, int]], now: float
    ) -> None:
        """Adds requests of the slices of a server.

        Args:
            server: Name of the backend server.
            counts: Requests by slice since the last call.
            now: Monotonic time, in seconds.
        """
        rates = self._rates.setdefault(server, {})
        for index, count in counts:
            rate = self._decayed(rates.get(index, (0.0, now)), now)
            rates[index] = (rate + count * _DECAY_PER_S, now)

    def busiest(
        self, servers: Iterable[str], now: float
    ) -> tuple[tuple[int, float], ...]:
        """Returns the busiest slices of servers, with requests per second.

        Args:
            servers: Names of backend servers.
            now: Monotonic time, in seconds.
        """
        slice_rates = []
        for server in servers:
            rates = self._rates.get(server, {})
            for index in tuple(rates):
                rate = self._decayed(rates[index], now)
                if rate < _MIN_RATE_PER_S:
                    del rates[index]
                else:
                    slice_rates.append((index, round(rate, 1)))
        slice_rates.sort(key=lambda item: -item[1])
        return tuple(slice_rates[:_MAX_REPORTED_SLICES])

    def _decayed(self, entry: tuple[float, float], now: float) -> float:
        rate, updated_s = entry
        return rate * math.exp(-_DECAY_PER_S * (now - updated_s))
