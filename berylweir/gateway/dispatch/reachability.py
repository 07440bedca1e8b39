"""Circuit breakers for unreachable backend servers and availability zones."""

import collections
from collections.abc import Collection
import dataclasses
import logging

from berylweir.gateway import messages
from berylweir.gateway import models

_LOGGER = logging.getLogger(__name__)
# Backoff after a failed connection attempt, in seconds. It doubles with each
# consecutive failure up to the maximum.
_BACKOFF_BASE_S = 0.6
_BACKOFF_MAX_S = 8.0
_MAX_DOUBLINGS = 16  # A float overflows after 1024 doublings.
# A zone counts as unreachable once connections to this many different servers
# failed without a response from any server of the zone in between.
_MIN_UNREACHABLE_SERVERS = 3
# Time between two requests that probe an unreachable zone, in seconds.
_ZONE_PROBE_INTERVAL_S = 0.3
# Results that prove that the server can be reached. A reset isn't among them:
# the connection may have lost its peer long before.
_RESULTS_WITH_RESPONSE = frozenset(
    {
        messages.AttemptResult.SERVED,
        messages.AttemptResult.FAILED,
        messages.AttemptResult.SHED,
        messages.AttemptResult.MISDIRECTED,
        messages.AttemptResult.BROKEN,
    }
)


@dataclasses.dataclass(slots=True)
class ServerReachability:
    """Circuit breaker of one server."""

    _consecutive_failures: int = 0
    _blocked_until_s: float = float("-inf")

    @property
    def is_unreachable(self) -> bool:
        """Whether the last connection attempt failed."""
        return self._consecutive_failures > 0

    def allows_request(self, now_s: float) -> bool:
        """Returns whether a request may be sent to the server."""
        return self._blocked_until_s <= now_s

    def record_attempt(self, now_s: float) -> None:
        """Records that a request is sent.

        No other request probes an unreachable server until this one ends or
        the base backoff has passed.
        """
        if self._consecutive_failures:
            self._blocked_until_s = now_s + _BACKOFF_BASE_S

    def record_result(
        self, attempt_result: messages.AttemptResult, now_s: float
    ) -> None:
        """Updates the state with the result of a request."""
        if attempt_result is messages.AttemptResult.UNREACHABLE:
            backoff_s = min(
                _BACKOFF_MAX_S,
                _BACKOFF_BASE_S
                * 2.0 ** min(_MAX_DOUBLINGS, self._consecutive_failures),
            )
            self._consecutive_failures += 1
            self._blocked_until_s = now_s + backoff_s
        elif attempt_result in _RESULTS_WITH_RESPONSE:
            self._consecutive_failures = 0
            self._blocked_until_s = float("-inf")


@dataclasses.dataclass(slots=True)
class ZoneReachability:
    """Circuit breaker of all servers of an availability zone."""

    _unreachable_servers: set[str] = dataclasses.field(default_factory=set)
    _blocked_until_s: float = float("-inf")

    @property
    def is_unreachable(self) -> bool:
        """Whether the zone counts as unreachable."""
        return len(self._unreachable_servers) >= _MIN_UNREACHABLE_SERVERS

    def allows_request(self, now_s: float) -> bool:
        """Returns whether a request may be sent to the zone."""
        return not self.is_unreachable or self._blocked_until_s <= now_s

    def record_attempt(self, now_s: float) -> None:
        """Records that a request is sent to one of its servers."""
        if self.is_unreachable:
            self._blocked_until_s = now_s + _ZONE_PROBE_INTERVAL_S

    def record_result(
        self, server: str, attempt_result: messages.AttemptResult, now_s: float
    ) -> None:
        """Updates the state with the result of a request to a server."""
        if attempt_result is messages.AttemptResult.UNREACHABLE:
            self._unreachable_servers.add(server)
            self._blocked_until_s = now_s + _ZONE_PROBE_INTERVAL_S
        elif attempt_result in _RESULTS_WITH_RESPONSE:
            self._unreachable_servers.clear()


class ReachabilityTracker:
    """Tracks which servers and zones this VM can reach.

    The only input is the results of its requests.
    """

    def __init__(self) -> None:
        """Creates a tracker to which all servers and zones are reachable."""
        self._servers: collections.defaultdict[
            models.ServerInstance, ServerReachability
        ] = collections.defaultdict(ServerReachability)
        self._zones: collections.defaultdict[str, ZoneReachability] = (
            collections.defaultdict(ZoneReachability)
        )

    @property
    def unreachable_zones(self) -> frozenset[str]:
        """Zones that count as unreachable."""
        return frozenset(
            name for name, zone in self._zones.items() if zone.is_unreachable
        )

    def retain(self, instances: Collection[models.ServerInstance]) -> None:
        """Forgets all server instances except the given ones."""
        for removed in self._servers.keys() - set(instances):
            del self._servers[removed]

    def allows_request(
        self, server: models.BackendServer, now_s: float
    ) -> bool:
        """Returns whether both the server and its zone allow a request."""
        return self._servers[server.instance].allows_request(
            now_s
        ) and self._zones[server.availability_zone].allows_request(now_s)

    def record_attempt(
        self, server: models.BackendServer, now_s: float
    ) -> None:
        """Records that a request is sent to a server."""
        self._servers[server.instance].record_attempt(now_s)
        self._zones[server.availability_zone].record_attempt(now_s)

    def record_result(
        self,
        server: models.BackendServer,
        attempt_result: messages.AttemptResult,
        now_s: float,
    ) -> None:
        """Updates server and zone with the result of a request.

        Logs each change between reachable and unreachable.
        """
        server_reachability = self._servers[server.instance]
        zone_reachability = self._zones[server.availability_zone]
        previously_unreachable = (
            server_reachability.is_unreachable,
            zone_reachability.is_unreachable,
        )
        server_reachability.record_result(attempt_result, now_s)
        zone_reachability.record_result(server.name, attempt_result, now_s)
        log_fields = {
            "server": server.name,
            "zone": server.availability_zone,
            "evidence": attempt_result.value,
        }
        if server_reachability.is_unreachable != previously_unreachable[0]:
            _LOGGER.info(
                "server lost"
                if server_reachability.is_unreachable
                else "server regained",
                extra=log_fields,
            )
        if zone_reachability.is_unreachable != previously_unreachable[1]:
            _LOGGER.warning(
                "zone lost"
                if zone_reachability.is_unreachable
                else "zone regained",
                extra=log_fields,
            )
