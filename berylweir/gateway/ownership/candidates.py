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
_SHUN_S = 4.0
_SHUN_MAX_S = 30.0


class Candidates:
    """Servers that stay, answer and are warm."""

    def __init__(self, meter: demand.ServerMeter) -> None:
        """Creates candidates of which none is known.

        Args:
            meter: What the VMs saw of each server.
        """
        self._meter = meter
        self._servers: Mapping[str, models.BackendServer] = {}
        self._cold_until_s: dict[models.ServerInstance, float] = {}
        self._shunned_until_s: dict[models.ServerInstance, float] = {}
        self._shuns: dict[models.ServerInstance, int] = {}
        self._evacuated: frozenset[str] = frozenset()

    def see_servers(self, servers: Mapping[str, models.BackendServer]) -> None:
        """Takes the known backend servers."""
        now_s = clock.boot_s()
        for name, server in servers.items():
            known = self._servers.get(name)
            if server.cold_ms > 0 and (
                known is None or known.revision != server.revision
            ):
                self._cold_until_s[server.instance] = (
                    now_s + server.cold_ms / 1000.0
                )
        self._servers = servers
        instances = {server.instance for server in servers.values()}
        for removed in self._shuns.keys() - instances:
            del self._shuns[removed]
            del self._shunned_until_s[removed]

    def see_evacuations(self, availability_zones: frozenset[str]) -> None:
        """Takes the availability zones that get no requests."""
        self._evacuated = availability_zones

    def by_zone(
        self, found: Iterable[ownership.Candidate]
    ) -> list[models.ServerInstance]:
        """Returns the lives of candidates, those of a zone together."""
        return sorted(
            (candidate.instance for candidate in found),
            key=lambda instance: (
                self._servers[instance.server].availability_zone,
                instance.server,
            ),
        )

    def of(
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
        found = []
        for server in self._servers.values():
            if (
                server.group != group
                or server.is_draining
                or server.availability_zone in self._evacuated
            ):
                continue
            instance = server.instance
            is_owner = instance in owners
            if is_owner and is_lost is not None and is_lost(instance):
                self._shun(instance, now_s)
            if self._shunned_until_s.get(instance, 0.0) > now_s:
                continue
            if not is_owner and self._cold_until_s.get(instance, 0.0) > now_s:
                continue
            found.append(
                ownership.Candidate(
                    instance,
                    server.slots,
                    self._meter.service_ms(server.name),
                    self._meter.failed_share(server.name),
                )
            )
        return found

    def _shun(self, instance: models.ServerInstance, now_s: float) -> None:
        if self._shunned_until_s.get(instance, 0.0) > now_s:
            return
        shuns = self._shuns[instance] = self._shuns.get(instance, 0) + 1
        pause_s = min(_SHUN_MAX_S, _SHUN_S * 2.0 ** (shuns - 1))
        self._shunned_until_s[instance] = now_s + pause_s
        _LOGGER.warning(
            "server shunned",
            extra={
                "server": instance.server,
                "born_ms": instance.born_ms,
                "pause_s": pause_s,
            },
        )
