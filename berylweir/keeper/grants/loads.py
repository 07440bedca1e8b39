"""Request rate of each slice, smoothed over time."""

from collections.abc import Iterable
import math

# Follows hot keys that change within minutes and smooths a burst of a second.
_HALF_LIFE_S = 10.0
# Slices whose rate decays below this are removed.
_MIN_RATE_PER_S = 0.1
# Bounds the size of a delegation request, which carries the rates.
_MAX_REPORTED_SLICES = 32
_DECAY_PER_S = math.log(2.0) / _HALF_LIFE_S


class SliceLoads:
    """Request rates of slices, as exponentially decaying averages.

    The half-life is 10 s.
    """

    def __init__(self) -> None:
        """Creates an instance in which all rates are zero."""
        # By server and slice: the rate per second, and when it was updated.
        self._rates: dict[str, dict[int, tuple[float, float]]] = {}

    def add(
        self, server: str, counts: Iterable[tuple[int, int]], now: float
    ) -> None:
        """Adds the requests that a server received since the last call.

        Args:
            server: Name of the backend server.
            counts: Pairs of slice number and number of requests.
            now: Monotonic time, in seconds.
        """
        rates = self._rates.setdefault(server, {})
        for index, count in counts:
            rate = self._decayed(rates.get(index, (0.0, now)), now)
            rates[index] = (rate + count * _DECAY_PER_S, now)

    def busiest(
        self, servers: Iterable[str], now: float
    ) -> tuple[tuple[int, float], ...]:
        """Returns the slices with the highest rates, highest first.

        Args:
            servers: Names of backend servers.
            now: Monotonic time, in seconds.

        Returns:
            Up to 32 pairs of slice number and requests per second, rounded to
            one decimal. Slices below 0.1 requests per second are left out.
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
