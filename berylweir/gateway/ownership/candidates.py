"""Which backend servers can own keys."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import logging

from berylweir.gateway import clock
from berylweir.gateway import models
from berylweir.gateway.ownership import demand
from berylweir.gateway.ownership import models as ownership

_LOGGER = logging.getLogger(__name__)
# How long a server gets no keys after it stopped answering, in seconds; twice
# as long each time up to the longest. The entry of a server that crashed lapses
# after three heartbeats, which is a few seconds.
_EXCLUSION_S = 4.0
_MAX_EXCLUSION_S = 30.0


class CandidateSelector:
    """Servers that stay, answer and are warm."""

    def __init__(self, statistics: demand.ServerStatistics) -> None:
        """Creates candidates of which none is known.

        Args:
            statistics: What the VMs saw of each server.
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
        """Takes the known backend servers."""
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
        """Takes the availability zones that get no requests."""
        self._evacuated_zones = availability_zones

    def sort_by_zone(
        self, candidates: Iterable[ownership.Candidate]
    ) -> list[models.ServerInstance]:
        """Returns the lives of candidates, those of a zone together."""
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
        """Returns the servers of a group that can own keys.

        Args:
            group: Name of the server group.
            table: Its key table, if there is one.
            is_lost: Tells whether an owner stopped answering and holds
                nothing; None if this keeper has granted nothing yet.
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
                )
            )
        return candidates

    def _exclude(self, instance: models.ServerInstance, now_s: float) -> None:
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
            "server shunned",
            extra={
                "server": instance.server,
                "born_ms": instance.born_ms,
                "pause_s": pause_s,
            },
        )
