"""Moving averages of key rates and of what servers do."""

from collections.abc import Iterable
from collections.abc import Mapping

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.ownership import models as ownership

# Rates halve in this time without requests, in seconds.
_HALF_LIFE_S = 2.0
# Rates below this are forgotten, in requests a second.
_FORGET = 0.02
# Part of all requests that is spread over keys without any.
_FLOOR_SHARE = 0.1
# Requests a second assumed of an idle group, so that keys are spread evenly.
_IDLE_RATE = 5.0
_SERVICE_WEIGHT = 0.3
# Weight of the mean over all servers, in requests.
_MEAN_SAMPLES = 10
_LN2 = 0.6931


class DemandMeter:
    """Turns the VMs' reports on one group into rates."""

    def __init__(self) -> None:
        """Creates a meter that has seen nothing."""
        self._rates: dict[int, float] = {}
        self._decayed_s: float | None = None

    def add(self, keys: Iterable[int]) -> None:
        """Counts one request for each key."""
        for key in keys:
            self._rates[key] = self._rates.get(key, 0.0) + _LN2 / _HALF_LIFE_S

    def demand(self, now_s: float) -> ownership.Demand:
        """Returns the rates as of now.

        Args:
            now_s: Time, in seconds.
        """
        if self._decayed_s is not None:
            factor = 0.5 ** ((now_s - self._decayed_s) / _HALF_LIFE_S)
            self._rates = {
                key: rate * factor
                for key, rate in self._rates.items()
                if rate * factor > _FORGET
            }
        self._decayed_s = now_s
        total = max(_IDLE_RATE, sum(self._rates.values()))
        return ownership.Demand(
            dict(self._rates), _FLOOR_SHARE * total / models.KEY_COUNT
        )


class ServerMeter:
    """Merges what the VMs saw of each server."""

    def __init__(self) -> None:
        """Creates a meter that has seen nothing."""
        self._service_ms: dict[str, float] = {}
        self._samples: dict[str, int] = {}
        self._failed_share: dict[str, float] = {}

    def add(self, servers: Mapping[str, messages.ServerUsage]) -> None:
        """Takes one VM's report."""
        for name, use in servers.items():
            total = use.served + use.failed
            if total == 0:
                continue
            weight = min(0.5, _SERVICE_WEIGHT * total / 3.0)
            share = use.failed / total
            known = self._failed_share.get(name, 0.0)
            self._failed_share[name] = known + weight * (share - known)
            self._samples[name] = self._samples.get(name, 0) + use.served
            if use.service_ms > 0:
                before = self._service_ms.get(name, use.service_ms)
                self._service_ms[name] = before + weight * (
                    use.service_ms - before
                )

    def service_ms(self, name: str) -> float:
        """Returns the typical duration of a request in ms, 0 if unknown.

        A few durations say little of a server, so they are mixed with the
        mean of all.
        """
        if name not in self._service_ms:
            return 0.0
        mean_ms = sum(self._service_ms.values()) / len(self._service_ms)
        samples = self._samples[name]
        return (samples * self._service_ms[name] + _MEAN_SAMPLES * mean_ms) / (
            samples + _MEAN_SAMPLES
        )

    def failed_share(self, name: str) -> float:
        """Returns the part of a server's requests that fail, 0 to 1."""
        return self._failed_share.get(name, 0.0)
