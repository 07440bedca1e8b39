"""Latency histograms (HDR) with bounded memory."""

from hdrh import histogram

_LOWEST_MS = 1
_HIGHEST_MS = 60_000
_SIGNIFICANT_FIGURES = 2
QUANTILES = (0.5, 0.9, 0.99, 1.0)


class Histogram:
    """Histogram of durations; quantiles are exact to two significant digits."""

    def __init__(self) -> None:
        """Creates an empty histogram."""
        self._histogram = histogram.HdrHistogram(
            _LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_FIGURES
        )

    @property
    def count(self) -> int:
        """Number of recorded durations."""
        total: int = self._histogram.get_total_count()
        return total

    def record(self, duration_ms: float) -> None:
        """Records a duration, in milliseconds.

        Values below 1 ms count as 1 ms, values above a minute as a minute.
        """
        self._histogram.record_value(
            min(_HIGHEST_MS, max(_LOWEST_MS, round(duration_ms)))
        )

    def quantile_ms(self, quantile: float) -> float:
        """Returns a quantile of the durations, in milliseconds.

        Args:
            quantile: The quantile, from 0 to 1; 0.5 is the median.
        """
        duration_ms: float = self._histogram.get_value_at_percentile(
            quantile * 100
        )
        return duration_ms
