"""Latency histograms with bounded memory."""

from hdrh import histogram

_LOWEST_MS = 1
_HIGHEST_MS = 60_000
_SIGNIFICANT_FIGURES = 2
QUANTILES = (0.5, 0.9, 0.99, 1.0)


class Histogram:
    """Counts durations; quantiles are exact to two figures."""

    def __init__(self) -> None:
        """Creates an empty histogram."""
        self._histogram = histogram.HdrHistogram(
            _LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_FIGURES
        )

    @property
    def count(self) -> int:
        """Number of durations."""
        total: int = self._histogram.get_total_count()
        return total

    def record(self, duration_ms: float) -> None:
        """Counts a duration in ms; longer ones than a minute as a minute."""
        self._histogram.record_value(
            min(_HIGHEST_MS, max(_LOWEST_MS, round(duration_ms)))
        )

    def quantile_ms(self, quantile: float) -> float:
        """Returns the duration that a part of all don't exceed, in ms.

        Args:
            quantile: The part, 0 to 1.
        """
        duration_ms: float = self._histogram.get_value_at_percentile(
            quantile * 100
        )
        return duration_ms
