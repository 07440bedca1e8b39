"""Counters, gauges and histograms, kept in memory and sent to statsd."""

import collections
import socket

import statsd

from berylweir.observability import histograms


class Counters:
    """Registry of the process's metrics; a task flushes it to statsd.

    An update is a dictionary operation, so that request handling never waits
    for a socket. Values that can't be sent are lost for statsd; later flushes
    are not affected. Histograms are not sent to statsd.
    """

    def __init__(self) -> None:
        """Creates an empty registry."""
        self._counts: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._sent_counts: collections.Counter[str] = collections.Counter()
        self._histograms: dict[str, histograms.Histogram] = {}

    @property
    def histograms(self) -> dict[str, histograms.Histogram]:
        """All histograms, by name."""
        return dict(self._histograms)

    @property
    def counts(self) -> dict[str, int]:
        """All counts since the start of the process, by name."""
        return dict(self._counts)

    @property
    def gauges(self) -> dict[str, float]:
        """Latest value of each gauge, by name."""
        return dict(self._gauges)

    def count(self, name: str, by: int = 1) -> None:
        """Adds `by` to the counter `name`."""
        self._counts[name] += by

    def gauge(self, name: str, value: float) -> None:
        """Sets the gauge `name`."""
        self._gauges[name] = value

    def observe(self, name: str, duration_ms: float) -> None:
        """Adds a duration, in milliseconds, to the histogram `name`."""
        if name not in self._histograms:
            self._histograms[name] = histograms.Histogram()
        self._histograms[name].record(duration_ms)

    def flush(self, client: statsd.StatsClient) -> None:
        """Sends the increments since the last flush, and all gauges.

        Args:
            client: Client of the statsd server.
        """
        with client.pipeline() as pipe:
            for name, count in self._counts.items():
                delta = count - self._sent_counts[name]
                if delta:
                    pipe.incr(name, delta)
            for name, value in self._gauges.items():
                pipe.gauge(name, value)
        self._sent_counts = self._counts.copy()


def open_statsd(host: str, port: int, prefix: str) -> statsd.StatsClient:
    """Returns a statsd client that sends over UDP.

    Args:
        host: IP address of the statsd server.
        port: UDP port of the statsd server.
        prefix: First part of each metric name.

    Raises:
        socket.gaierror: If `host` is not an IP address.
    """
    socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    return statsd.StatsClient(host, port, prefix=prefix)
