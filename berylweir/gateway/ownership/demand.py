"""Moving averages of request rates by key and of service times by server."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.ownership import models as ownership

# Half-life of a key's rate while it gets no requests, in seconds.
_HALF_LIFE_S = 2.0
# Rates below this are dropped, in requests per second.
_MIN_RATE = 0.02
# Fraction of the total rate that is spread evenly over all keys, so that keys
# without recent requests count as well.
_BASE_RATE_SHARE = 0.1
# Lowest total rate assumed of a group, in requests per second, so that the keys
# of an idle group are spread evenly.
_MIN_TOTAL_RATE = 5.0
# Weight of a report of three requests in a moving average; it grows with the
# number of requests, up to 0.5.
_SMOOTHING_WEIGHT = 0.3
# Weight of the mean of all servers in the estimate of one server, in requests.
_PRIOR_SAMPLES = 10
# Time for which a reported limit holds, in seconds. It is longer than the time
# between two reports of a VM.
_LIMIT_MAX_AGE_S = 5.0
# One request adds ln 2 / half-life to the rate of its key, so that the estimate
# of a steady rate converges to that rate.
_LN2 = 0.6931


class DemandEstimator:
    """Estimates the request rates of a group's keys from the VMs' reports."""

    def __init__(self) -> None:
        """Creates an estimate without any requests."""
        self._rates: dict[int, float] = {}
        self._last_decay_s: float | None = None

    def record(self, keys: Iterable[int]) -> None:
        """Records one request for each of the keys."""
        for key in keys:
            self._rates[key] = self._rates.get(key, 0.0) + _LN2 / _HALF_LIFE_S

    def estimate(self, now_s: float) -> ownership.Demand:
        """Decays the rates since the last call and returns them.

        Args:
            now_s: Time on the boot clock, in seconds.
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
            dict(self._rates),
            _BASE_RATE_SHARE * total_rate / models.KEY_COUNT,
            # Each request of a Poisson process adds a value that decays
            # exponentially.
            _LN2 / (2.0 * _HALF_LIFE_S),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _ReportedLimit:
    """A limit that a server named to a VM.

    Attributes:
        per_s: Requests per second.
        reported_s: When the VM last reported it, on the boot clock, in seconds.
    """

    per_s: float
    reported_s: float


class ServerStatistics:
    """What the VMs report on the servers: service times, failures, limits."""

    def __init__(self) -> None:
        """Creates averages without any reports."""
        self._mean_service_ms: dict[str, float] = {}
        self._response_counts: dict[str, int] = {}
        self._failure_ratios: dict[str, float] = {}
        self._limits: dict[str, _ReportedLimit] = {}
        self._leaving: dict[str, int] = {}

    def record(
        self, servers: Mapping[str, messages.ServerUsage], now_s: float = 0.0
    ) -> None:
        """Adds one VM's report to the averages.

        Args:
            servers: Requests and service times since its last report, by the
                name of the server.
            now_s: Time on the boot clock, in seconds.
        """
        for name, usage in servers.items():
            if usage.leaving_born_ms is not None:
                self._leaving[name] = usage.leaving_born_ms
            if usage.limit is not None:
                self._limits[name] = _ReportedLimit(usage.limit, now_s)
            elif usage.served > 0:
                self._limits.pop(name, None)
            request_count = usage.served + usage.failed
            if request_count == 0:
                continue
            weight = min(0.5, _SMOOTHING_WEIGHT * request_count / 3.0)
            failure_ratio = usage.failed / request_count
            previous_ratio = self._failure_ratios.get(name, 0.0)
            self._failure_ratios[name] = previous_ratio + weight * (
                failure_ratio - previous_ratio
            )
            self._response_counts[name] = (
                self._response_counts.get(name, 0) + usage.served
            )
            if usage.service_ms > 0:
                previous_ms = self._mean_service_ms.get(name, usage.service_ms)
                self._mean_service_ms[name] = previous_ms + weight * (
                    usage.service_ms - previous_ms
                )

    def service_ms(self, name: str) -> float:
        """Returns the typical service time of a server in ms; 0 if unknown.

        An estimate from a few responses is unreliable, so it is weighted with
        the mean of all servers by the number of responses.
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

    def limit(self, name: str, now_s: float) -> float | None:
        """Returns a server's limit in requests per second; None if it has none.

        Args:
            name: Name of the server.
            now_s: Time on the boot clock, in seconds.
        """
        reported = self._limits.get(name)
        if reported is None or now_s - reported.reported_s > _LIMIT_MAX_AGE_S:
            return None
        return reported.per_s

    def is_leaving(self, instance: models.ServerInstance) -> bool:
        """Returns whether a server instance said that it is leaving."""
        return self._leaving.get(instance.server) == instance.born_ms

    def failure_ratio(self, name: str) -> float:
        """Returns the fraction of a server's requests that fail, 0 to 1."""
        return self._failure_ratios.get(name, 0.0)
