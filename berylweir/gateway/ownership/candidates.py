"""Selects the backend servers that are eligible to own keys."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import logging

from berylweir.gateway import clock
from berylweir.gateway import models
from berylweir.gateway.ownership import demand
from berylweir.gateway.ownership import models as ownership

_LOGGER = logging.getLogger(__name__)
# How long a server gets no keys after it was lost, in seconds. The time doubles
# with each further loss up to the maximum. The first exclusion bridges the
# seconds until the store entry of a crashed server expires, which takes three
# missed heartbeats.
_EXCLUSION_S = 4.0
_MAX_EXCLUSION_S = 30.0


class CandidateSelector:
    """Selects servers that are warm, responsive and not being drained."""

    def __init__(self, statistics: demand.ServerStatistics) -> None:
        """Creates the selector without any servers.

        Args:
            statistics: Service times and failures by server.
        """
        self._statistics = statistics
        self._servers: Mapping[str, models.BackendServer] = {}
        self._cold_until_s: dict[models.ServerInstance, float] = {}
        self._excluded_until_s: dict[models.ServerInstance, float] = {}
        self._exclusion_counts: dict[models.ServerInstance, int] = {}
        self._evacuated_zones: frozenset[str] = frozenset()

    def update_servers(
        self, servers: Mapping[str, models.BackendServer]
    ) -> None:
        """Replaces the known backend servers.

        Args:
            servers: All of them by name.
        """
        now_s = clock.boot_s()
        for name, server in servers.items():
            previous = self._servers.get(name)
            if server.cold_ms > 0 and (
                previous is None or previous.revision != server.revision
            ):
                self._cold_until_s[server.instance] = (
                    now_s + server.cold_ms / 1000.0
                )
        self._servers = servers
        instances = {server.instance for server in servers.values()}
        for removed in self._exclusion_counts.keys() - instances:
            del self._exclusion_counts[removed]
            del self._excluded_until_s[removed]

    def update_evacuations(self, availability_zones: frozenset[str]) -> None:
        """Replaces the availability zones whose servers get no keys."""
        self._evacuated_zones = availability_zones

    def sort_by_zone(
        self, candidates: Iterable[ownership.Candidate]
    ) -> list[models.ServerInstance]:
        """Returns the candidates' instances, sorted by availability zone."""
        return sorted(
            (candidate.instance for candidate in candidates),
            key=lambda instance: (
                self._servers[instance.server].availability_zone,
                instance.server,
            ),
        )

    def select(
        self,
        group: str,
        table: models.KeyTable | None,
        is_lost: Callable[[models.ServerInstance], bool] | None,
    ) -> list[ownership.Candidate]:
        """Returns the servers of a group that are eligible to own keys.

        An owner that is still cold stays eligible; other cold servers don't
        become owners.

        Args:
            group: Name of the server group.
            table: Its key table, if there is one.
            is_lost: Returns whether an owner is lost and its grants have
                expired; None if this keeper has granted nothing yet.
        """
        now_s = clock.boot_s()
        owners = {r.owner for r in (table.ranges if table else ())}
        candidates = []
        for server in self._servers.values():
            if (
                server.group != group
                or server.is_draining
                or server.availability_zone in self._evacuated_zones
            ):
                continue
            instance = server.instance
            if self._statistics.is_leaving(instance):
                continue
            is_owner = instance in owners
            if is_owner and is_lost is not None and is_lost(instance):
                self._exclude(instance, now_s)
            if self._excluded_until_s.get(instance, 0.0) > now_s:
                continue
            if not is_owner and self._cold_until_s.get(instance, 0.0) > now_s:
                continue
            candidates.append(
                ownership.Candidate(
                    instance,
                    server.slots,
                    self._statistics.service_ms(server.name),
                    self._statistics.failure_ratio(server.name),
                    self._statistics.limit(server.name, now_s),
                )
            )
        return candidates

    def _exclude(self, instance: models.ServerInstance, now_s: float) -> None:
        """Excludes a lost server for some time, unless it already is."""
        if self._excluded_until_s.get(instance, 0.0) > now_s:
            return
        exclusion_count = self._exclusion_counts[instance] = (
            self._exclusion_counts.get(instance, 0) + 1
        )
        pause_s = min(
            _MAX_EXCLUSION_S, _EXCLUSION_S * 2.0 ** (exclusion_count - 1)
        )
        self._excluded_until_s[instance] = now_s + pause_s
        _LOGGER.warning(
            "server excluded",
            extra={
                "server": instance.server,
                "born_ms": instance.born_ms,
                "pause_s": pause_s,
            },
        )
