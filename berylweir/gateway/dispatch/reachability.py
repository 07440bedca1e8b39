"""Circuit breakers for unreachable backend servers and availability zones."""

import collections
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import logging

from berylweir.gateway import messages
from berylweir.gateway import models

_LOGGER = logging.getLogger(__name__)
# Backoff between the probes of an unreachable server, in seconds. It doubles
# with each failed probe up to the maximum.
_BACKOFF_BASE_S = 0.6
_BACKOFF_MAX_S = 8.0
_MAX_DOUBLINGS = 16  # A float overflows after 1024 doublings.
# A zone counts as unreachable once connections to this many different servers
# failed without a response from any server of the zone in between, or to all of
# its servers if there are as many.
_MIN_UNREACHABLE_SERVERS = 3
# Time between two probes of an unreachable zone, in seconds.
_ZONE_PROBE_INTERVAL_S = 0.3
# Time between two probes of reachable servers of a zone that haven't responded
# to a request in time, in seconds. It doesn't apply after a failed probe.
_OVERDUE_PROBE_INTERVAL_S = 1.0
# Results that prove that the server responds. A reset isn't among them: the
# connection may have lost its peer long before.
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
    _probe_started_s: float = float("-inf")
    _probe_due_s: float = float("-inf")
    _is_probing: bool = False
    _responded_s: float = float("-inf")

    @property
    def is_unreachable(self) -> bool:
        """Whether the last connection attempt failed."""
        return self._consecutive_failures > 0

    @property
    def probe_due_s(self) -> float:
        """When the next probe is due, on the loop's clock, in seconds."""
        return self._probe_due_s

    def has_responded_since(self, time_s: float) -> bool:
        """Returns whether a response arrived at or after a time."""
        return self._responded_s >= time_s

    def is_probe_due(self, now_s: float) -> bool:
        """Returns whether a probe may be started."""
        return self._probe_due_s <= now_s

    def is_probing(self, now_s: float) -> bool:
        """Returns whether the result of a probe is still expected."""
        return (
            self._is_probing and now_s < self._probe_started_s + _BACKOFF_BASE_S
        )

    def start_probe(self, now_s: float) -> None:
        """Records that a probe starts; the next one waits for its result.

        If there is none, the next one is due after the base backoff.
        """
        self._is_probing = True
        self._probe_started_s = now_s
        self._probe_due_s = now_s + _BACKOFF_BASE_S

    def record_response(self, now_s: float) -> None:
        """Records a response.

        A probe becomes due at once, or the base backoff after the last one.
        """
        self._responded_s = now_s
        self._probe_due_s = min(
            self._probe_due_s,
            max(now_s, self._probe_started_s + _BACKOFF_BASE_S),
        )

    def restart_backoff(self, now_s: float) -> None:
        """Makes a probe due at once, and starts with the base backoff again."""
        if self.is_unreachable:
            self._consecutive_failures = 1
            self._probe_due_s = now_s

    def record_connected(self) -> None:
        """Records that a connection was opened."""
        self._is_probing = False
        self._consecutive_failures = 0
        self._probe_due_s = float("-inf")

    def record_failure(self, now_s: float, *, is_probe: bool) -> None:
        """Records that no connection could be opened.

        Concurrent requests may fail together, so only a failed probe extends
        the backoff of an unreachable server.
        """
        if is_probe:
            self._is_probing = False
        elif self.is_unreachable:
            return
        self._probe_due_s = now_s + min(
            _BACKOFF_MAX_S,
            _BACKOFF_BASE_S
            * 2.0 ** min(_MAX_DOUBLINGS, self._consecutive_failures),
        )
        self._consecutive_failures += 1


@dataclasses.dataclass(slots=True)
class ZoneReachability:
    """Circuit breaker of all servers of an availability zone."""

    _unreachable_servers: set[str] = dataclasses.field(default_factory=set)
    _silent_servers: set[str] = dataclasses.field(default_factory=set)
    _probe_due_s: float = float("-inf")
    _overdue_probe_due_s: float = float("-inf")

    @property
    def is_unreachable(self) -> bool:
        """Whether the zone counts as unreachable."""
        return len(self._unreachable_servers) >= _MIN_UNREACHABLE_SERVERS

    def is_probe_due(self, now_s: float) -> bool:
        """Returns whether a probe of an unreachable zone may be started."""
        return self._probe_due_s <= now_s

    def start_probe(self, now_s: float) -> None:
        """Records that a probe of one of its servers starts."""
        self._probe_due_s = now_s + _ZONE_PROBE_INTERVAL_S

    def try_start_overdue_probe(self, now_s: float) -> bool:
        """Returns whether a probe of a server that is overdue may be started.

        If so, it is recorded as started.
        """
        if self._overdue_probe_due_s > now_s:
            return False
        self._overdue_probe_due_s = now_s + _OVERDUE_PROBE_INTERVAL_S
        return True

    def trusts_idle_connections(self, server: str) -> bool:
        """Returns whether idle connections to a server are likely to work.

        They aren't if requests get no response on connections to the server,
        or to any server while the zone is unreachable.
        """
        if self.is_unreachable:
            return not self._silent_servers
        return server not in self._silent_servers

    def record_overdue(self, server: str) -> None:
        """Records that a request got no response on an earlier connection."""
        self._silent_servers.add(server)

    def record_response(self, server: str) -> None:
        """Records a response of a server.

        On an earlier connection, it doesn't prove that other connections can
        be opened, so it doesn't end the unreachability of a zone.
        """
        if not self.is_unreachable:
            self._unreachable_servers.clear()
        self._silent_servers.discard(server)

    def record_connected(self) -> None:
        """Records that a connection to one of its servers was opened."""
        self._unreachable_servers.clear()

    def record_failure(self, server: str, now_s: float) -> None:
        """Records that no connection to a server could be opened."""
        was_unreachable = self.is_unreachable
        self._unreachable_servers.add(server)
        self._overdue_probe_due_s = now_s
        if self.is_unreachable and not was_unreachable:
            self._probe_due_s = now_s + _ZONE_PROBE_INTERVAL_S

    def retain(self, servers: Collection[str]) -> None:
        """Forgets all servers except the given ones."""
        self._unreachable_servers.intersection_update(servers)
        self._silent_servers.intersection_update(servers)


class ReachabilityTracker:
    """Tracks to which servers and zones this VM can open connections.

    The only input is the results of its requests and probes. An unreachable
    server gets no requests on new connections until a probe succeeds, or a
    request on a connection that was opened for it gets a response.
    """

    def __init__(self) -> None:
        """Creates a tracker that knows no servers; all are reachable."""
        self._servers: collections.defaultdict[
            models.ServerInstance, ServerReachability
        ] = collections.defaultdict(ServerReachability)
        self._zones: collections.defaultdict[str, ZoneReachability] = (
            collections.defaultdict(ZoneReachability)
        )
        self._instances_by_zone: dict[str, set[models.ServerInstance]] = {}
        self._is_isolated = False

    @property
    def unreachable_zones(self) -> frozenset[str]:
        """Zones that count as unreachable."""
        return frozenset(
            name for name, zone in self._zones.items() if zone.is_unreachable
        )

    @property
    def is_isolated(self) -> bool:
        """Whether this VM can't open connections in any zone with servers."""
        return self._is_isolated

    def retain(self, servers: Iterable[models.BackendServer]) -> None:
        """Forgets all servers except the given ones, and learns their zones.

        Args:
            servers: All servers that may get requests. Others are not probed
                and don't count when a zone is judged.
        """
        self._instances_by_zone = {}
        for server in servers:
            self._instances_by_zone.setdefault(
                server.availability_zone, set()
            ).add(server.instance)
        retained = set().union(*self._instances_by_zone.values())
        for removed in self._servers.keys() - retained:
            del self._servers[removed]
        for zone, reachability in self._zones.items():
            was_unreachable = reachability.is_unreachable
            reachability.retain(
                {i.server for i in self._instances_by_zone.get(zone, ())}
            )
            if was_unreachable and not reachability.is_unreachable:
                _LOGGER.warning(
                    "zone regained",
                    extra={"zone": zone, "evidence": "removal"},
                )
        self._update_isolation()

    def allows_connection(self, server: models.BackendServer) -> bool:
        """Returns whether a request may open a connection to a server."""
        return (
            not self._servers[server.instance].is_unreachable
            and not self._zones[server.availability_zone].is_unreachable
        )

    def trusts_idle_connections(self, server: models.BackendServer) -> bool:
        """Returns whether a request may use an idle connection to a server."""
        return self._zones[server.availability_zone].trusts_idle_connections(
            server.name
        )

    def start_probes(
        self, servers: Iterable[models.BackendServer], now_s: float
    ) -> list[models.BackendServer]:
        """Returns the servers to probe now, and records that this starts.

        In an unreachable zone, and in each zone while the VM is isolated, one
        server at a time is probed: the one whose own probe is due first.

        Args:
            servers: Servers that `allows_connection` excludes.
            now_s: Time on the loop's clock, in seconds.
        """
        started: list[models.BackendServer] = []
        first_due: dict[str, models.BackendServer] = {}
        for server in servers:
            zone = server.availability_zone
            if not self._is_retained(server) or self._servers[
                server.instance
            ].is_probing(now_s):
                continue
            if not self._zones[zone].is_unreachable and not self._is_isolated:
                if self._servers[server.instance].is_probe_due(now_s):
                    started.append(server)
            elif self._zones[zone].is_probe_due(now_s):
                earlier = first_due.get(zone)
                if (
                    earlier is None
                    or self._servers[server.instance].probe_due_s
                    < self._servers[earlier.instance].probe_due_s
                ):
                    first_due[zone] = server
        for server in first_due.values():
            self._zones[server.availability_zone].start_probe(now_s)
            started.append(server)
        for server in started:
            self._servers[server.instance].start_probe(now_s)
        return started

    def record_overdue(
        self, server: models.BackendServer, placed_s: float, now_s: float
    ) -> bool:
        """Records that a request on an earlier connection may hang.

        It is slow rather than hanging if the server responded to others.

        Args:
            server: The server.
            placed_s: When the server was chosen for the request, on the loop's
                clock, in seconds.
            now_s: Time on the loop's clock, in seconds.

        Returns:
            Whether to probe the server now; this is recorded as started.
        """
        if self._servers[server.instance].has_responded_since(placed_s):
            return False
        zone = self._zones[server.availability_zone]
        zone.record_overdue(server.name)
        if not self.allows_connection(server):
            return bool(self.start_probes((server,), now_s))
        if (
            not self._is_retained(server)
            or not self._servers[server.instance].is_probe_due(now_s)
            or not zone.try_start_overdue_probe(now_s)
        ):
            return False
        self._servers[server.instance].start_probe(now_s)
        return True

    def record_probe(
        self, server: models.BackendServer, is_connected: bool, now_s: float
    ) -> None:
        """Updates server and zone with the result of a probe.

        Logs each change between reachable and unreachable.
        """
        if is_connected:
            self._record_connected(server, "probe", now_s)
        else:
            self._record_failure(server, "probe", now_s, is_probe=True)

    def record_result(
        self,
        server: models.BackendServer,
        attempt_result: messages.AttemptResult,
        now_s: float,
        *,
        is_new_connection: bool = True,
    ) -> None:
        """Updates server and zone with the result of a request.

        Logs each change between reachable and unreachable.

        Args:
            server: The server.
            attempt_result: How the attempt ended.
            now_s: Time on the loop's clock, in seconds.
            is_new_connection: Whether the connection was opened for the
                request. A response on an earlier one doesn't prove that another
                can be opened, but makes a probe due.
        """
        if attempt_result is messages.AttemptResult.UNREACHABLE:
            self._record_failure(
                server, attempt_result.value, now_s, is_probe=False
            )
        elif attempt_result in _RESULTS_WITH_RESPONSE:
            self._servers[server.instance].record_response(now_s)
            self._zones[server.availability_zone].record_response(server.name)
            if is_new_connection:
                self._record_connected(server, attempt_result.value, now_s)

    def _is_retained(self, server: models.BackendServer) -> bool:
        return server.instance in self._instances_by_zone.get(
            server.availability_zone, ()
        )

    def _record_connected(
        self,
        server: models.BackendServer,
        evidence: str,
        now_s: float,
    ) -> None:
        server_reachability = self._servers[server.instance]
        zone_reachability = self._zones[server.availability_zone]
        was_unreachable = server_reachability.is_unreachable
        was_zone_unreachable = zone_reachability.is_unreachable
        server_reachability.record_connected()
        zone_reachability.record_connected()
        if was_unreachable:
            _LOGGER.info("server regained", extra=_log_fields(server, evidence))
        if was_zone_unreachable:
            _LOGGER.warning(
                "zone regained", extra=_log_fields(server, evidence)
            )
        if was_unreachable or was_zone_unreachable:
            was_isolated = self._is_isolated
            self._update_isolation()
            if was_zone_unreachable or was_isolated:
                self._expedite_probes(server.availability_zone, now_s)

    def _expedite_probes(self, zone: str, now_s: float) -> None:
        """Makes probes of the zone's unreachable servers due at once."""
        for instance in self._instances_by_zone.get(zone, ()):
            self._servers[instance].restart_backoff(now_s)

    def _record_failure(
        self,
        server: models.BackendServer,
        evidence: str,
        now_s: float,
        *,
        is_probe: bool,
    ) -> None:
        server_reachability = self._servers[server.instance]
        zone_reachability = self._zones[server.availability_zone]
        was_unreachable = server_reachability.is_unreachable
        was_zone_unreachable = zone_reachability.is_unreachable
        server_reachability.record_failure(now_s, is_probe=is_probe)
        # Another failure of an unreachable server says nothing of its zone.
        if not was_unreachable:
            zone_reachability.record_failure(server.name, now_s)
            _LOGGER.info("server lost", extra=_log_fields(server, evidence))
        instances = self._instances_by_zone.get(server.availability_zone, ())
        if not zone_reachability.is_unreachable and all(
            self._servers[i].is_unreachable for i in instances
        ):
            for instance in instances:
                zone_reachability.record_failure(instance.server, now_s)
        if zone_reachability.is_unreachable and not was_zone_unreachable:
            _LOGGER.warning("zone lost", extra=_log_fields(server, evidence))
        self._update_isolation()

    def _update_isolation(self) -> None:
        """Judges isolation again, and logs a change."""
        is_isolated = bool(self._instances_by_zone) and all(
            self._zones[zone].is_unreachable
            or all(self._servers[i].is_unreachable for i in instances)
            for zone, instances in self._instances_by_zone.items()
        )
        if is_isolated == self._is_isolated:
            return
        self._is_isolated = is_isolated
        if is_isolated:
            _LOGGER.warning("isolated from all servers")
        else:
            _LOGGER.warning("regained servers")


def _log_fields(server: models.BackendServer, evidence: str) -> dict[str, str]:
    return {
        "server": server.name,
        "zone": server.availability_zone,
        "evidence": evidence,
    }
