"""Which backend servers and availability zones can't be reached."""

import collections
from collections.abc import Collection
import dataclasses
import logging

from berylweir.gateway import messages
from berylweir.gateway import models

_LOGGER = logging.getLogger(__name__)
# Pause after a connection that was not established, doubled with each further
# one up to the longest, in seconds.
_BACKOFF_BASE_S = 0.6
_BACKOFF_MAX_S = 8.0
# Servers of a zone that can't be reached, none of which was since, from which
# on the whole zone counts as cut off.
_MIN_UNREACHABLE_SERVERS = 3
# Time between two requests that try a zone that counts as cut off, in seconds.
_ZONE_PROBE_INTERVAL_S = 0.3
# A connection that is reset may have gone silent long before.
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
    """Whether one server can be reached."""

    _consecutive_failures: int = 0
    _blocked_until_s: float = float("-inf")

    @property
    def is_unreachable(self) -> bool:
        """Whether the last connection was not established."""
        return self._consecutive_failures > 0

    def allows_request(self, now_s: float) -> bool:
        """Returns whether a request may go to the server."""
        return self._blocked_until_s <= now_s

    def record_attempt(self, now_s: float) -> None:
        """Notes a request; until it ends no other one goes to a lost server."""
        if self._consecutive_failures:
            self._blocked_until_s = now_s + _BACKOFF_BASE_S

    def record_result(
        self, attempt_result: messages.AttemptResult, now_s: float
    ) -> None:
        """Takes what a request showed."""
        if attempt_result is messages.AttemptResult.UNREACHABLE:
            backoff_s = min(
                _BACKOFF_MAX_S,
                _BACKOFF_BASE_S * 2.0**self._consecutive_failures,
            )
            self._consecutive_failures += 1
            self._blocked_until_s = now_s + backoff_s
        elif attempt_result in _RESULTS_WITH_RESPONSE:
            self._consecutive_failures = 0
            self._blocked_until_s = float("-inf")


@dataclasses.dataclass(slots=True)
class ZoneReachability:
    """Whether the servers of an availability zone can be reached."""

    _unreachable_servers: set[str] = dataclasses.field(default_factory=set)
    _blocked_until_s: float = float("-inf")

    @property
    def is_unreachable(self) -> bool:
        """Whether the zone counts as cut off."""
        return len(self._unreachable_servers) >= _MIN_UNREACHABLE_SERVERS

    def allows_request(self, now_s: float) -> bool:
        """Returns whether a request may go to the zone."""
        return not self.is_unreachable or self._blocked_until_s <= now_s

    def record_attempt(self, now_s: float) -> None:
        """Notes a request to one of its servers."""
        if self.is_unreachable:
            self._blocked_until_s = now_s + _ZONE_PROBE_INTERVAL_S

    def record_result(
        self, server: str, attempt_result: messages.AttemptResult, now_s: float
    ) -> None:
        """Takes what a request to one of its servers showed."""
        if attempt_result is messages.AttemptResult.UNREACHABLE:
            self._unreachable_servers.add(server)
            self._blocked_until_s = now_s + _ZONE_PROBE_INTERVAL_S
        elif attempt_result in _RESULTS_WITH_RESPONSE:
            self._unreachable_servers.clear()


class ReachabilityTracker:
    """What this VM can reach, from what its requests showed."""

    def __init__(self) -> None:
        """Creates a reach of which nothing is known to be lost."""
        self._servers: collections.defaultdict[
            models.ServerInstance, ServerReachability
        ] = collections.defaultdict(ServerReachability)
        self._zones: collections.defaultdict[str, ZoneReachability] = (
            collections.defaultdict(ZoneReachability)
        )

    def retain(self, instances: Collection[models.ServerInstance]) -> None:
        """Forgets all servers but some."""
        for removed in self._servers.keys() - set(instances):
            del self._servers[removed]

    def allows_request(
        self, server: models.BackendServer, now_s: float
    ) -> bool:
        """Returns whether a request may go to a server."""
        return self._servers[server.instance].allows_request(
            now_s
        ) and self._zones[server.availability_zone].allows_request(now_s)

    def record_attempt(
        self, server: models.BackendServer, now_s: float
    ) -> None:
        """Notes a request to a server."""
        self._servers[server.instance].record_attempt(now_s)
        self._zones[server.availability_zone].record_attempt(now_s)

    def record_result(
        self,
        server: models.BackendServer,
        attempt_result: messages.AttemptResult,
        now_s: float,
    ) -> None:
        """Takes what a request to a server showed."""
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
