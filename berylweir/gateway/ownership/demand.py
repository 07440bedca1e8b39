"""Moving averages of key rates and of what servers do."""

from collections.abc import Iterable
from collections.abc import Mapping

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.ownership import models as ownership

# Rates halve in this time without requests, in seconds.
_HALF_LIFE_S = 2.0
# Rates below this are forgotten, in requests a second.
_MIN_RATE = 0.02
# Part of all requests that is spread over keys without any.
_BASE_RATE_SHARE = 0.1
# Requests a second assumed of an idle group, so that keys are spread evenly.
_MIN_TOTAL_RATE = 5.0
_SMOOTHING_WEIGHT = 0.3
# Weight of the mean over all servers, in requests.
_PRIOR_SAMPLES = 10
_LN2 = 0.6931


class DemandEstimator:
    """Turns the VMs' reports on one group into rates."""

    def __init__(self) -> None:
        """Creates a meter that has seen nothing."""
        self._rates: dict[int, float] = {}
        self._last_decay_s: float | None = None

    def record(self, keys: Iterable[int]) -> None:
        """Counts one request for each key."""
        for key in keys:
            self._rates[key] = self._rates.get(key, 0.0) + _LN2 / _HALF_LIFE_S

    def estimate(self, now_s: float) -> ownership.Demand:
        """Returns the rates as of now.

        Args:
            now_s: Time, in seconds.
        """
        if self._last_decay_s is not None:
            factor = 0.5 ** ((now_s - self._last_decay_s) / _HALF_LIFE_S)
            self._rates = {
                key: rate * factor
                for key, rate in self._rates.items()
                if rate * factor > _MIN_RATE
            }
        self._last_decay_s = now_s
        total_rate = max(_MIN_TOTAL_RATE, sum(self._rates.values()))
        return ownership.Demand(
            dict(self._rates), _BASE_RATE_SHARE * total_rate / models.KEY_COUNT
        )


class ServerStatistics:
    """Merges what the VMs saw of each server."""

    def __init__(self) -> None:
        """Creates a meter that has seen nothing."""
        self._mean_service_ms: dict[str, float] = {}
        self._response_counts: dict[str, int] = {}
        self._failure_ratios: dict[str, float] = {}

    def record(self, servers: Mapping[str, messages.ServerUsage]) -> None:
        """Takes one VM's report."""
        for name, use in servers.items():
            request_count = use.served + use.failed
            if request_count == 0:
                continue
            weight = min(0.5, _SMOOTHING_WEIGHT * request_count / 3.0)
            failure_ratio = use.failed / request_count
            previous_ratio = self._failure_ratios.get(name, 0.0)
            self._failure_ratios[name] = previous_ratio + weight * (
                failure_ratio - previous_ratio
            )
            self._response_counts[name] = (
                self._response_counts.get(name, 0) + use.served
            )
            if use.service_ms > 0:
                previous_ms = self._mean_service_ms.get(name, use.service_ms)
                self._mean_service_ms[name] = previous_ms + weight * (
                    use.service_ms - previous_ms
                )

    def service_ms(self, name: str) -> float:
        """Returns the typical duration of a request in ms, 0 if unknown.

        A few durations say little of a server, so they are mixed with the
        mean of all.
        """
        if name not in self._mean_service_ms:
            return 0.0
        mean_ms = sum(self._mean_service_ms.values()) / len(
            self._mean_service_ms
        )
        response_count = self._response_counts[name]
        return (
            response_count * self._mean_service_ms[name]
            + _PRIOR_SAMPLES * mean_ms
        ) / (response_count + _PRIOR_SAMPLES)

    def failure_ratio(self, name: str) -> float:
        """Returns the part of a server's requests that fail, 0 to 1."""
        return self._failure_ratios.get(name, 0.0)
