"""Counts and logs objects of the store that can't be decoded."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import time

from berylweir.observability import counters

_LOGGER = logging.getLogger(__name__)
# Time after which an object that is still skipped is logged again, in seconds.
_LOG_INTERVAL_S = 60.0
# Maximum number of objects that are logged in that time.
_MAX_LOGGED = 100


class SkippedObjects:
    """Logs each object once a minute, however often it is written."""

    def __init__(
        self,
        metrics: counters.Counters,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a log in which no object was skipped yet.

        Args:
            metrics: Counters.
            clock: Monotonic clock, in seconds.
        """
        self._metrics = metrics
        self._clock = clock
        # When each object was logged last, in the order of these times.
        self._logged_s: dict[str, float] = {}

    def report(
        self, kind: str, names: Iterable[str], count: int, failure: object
    ) -> None:
        """Counts objects that were skipped, and logs those with a name.

        Args:
            kind: Kind of the objects.
            names: Names of the objects, as far as they are known.
            count: Number of the objects.
            failure: Why they were skipped.
        """
        if count:
            self._metrics.count("store.undecodable", count)
        now_s = self._clock()
        for name in names:
            self._log(f"{kind}/{name}", now_s, failure)

    def _log(self, name: str, now_s: float, failure: object) -> None:
        while self._logged_s:
            oldest = next(iter(self._logged_s))
            if now_s - self._logged_s[oldest] < _LOG_INTERVAL_S:
                break
            del self._logged_s[oldest]
        if name in self._logged_s or len(self._logged_s) >= _MAX_LOGGED:
            return
        self._logged_s[name] = now_s
        _LOGGER.warning(
            "object skipped", extra={"object": name, "failure": failure}
        )
