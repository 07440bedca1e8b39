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
_PAUSE_S = 0.6
_PAUSE_MAX_S = 8.0
# Servers of a zone that can't be reached, none of which was since, from which
# on the whole zone counts as cut off.
_SERVERS_FOR_ZONE = 3
# Time between two requests that try a zone that counts as cut off, in seconds.
_ZONE_PAUSE_S = 0.3
# A connection that is reset may have gone silent long before.
_RESPONDED = frozenset(
    {
        messages.AttemptResult.SERVED,
        messages.AttemptResult.FAILED,
        messages.AttemptResult.SHED,
        messages.AttemptResult.MISDIRECTED,
        messages.AttemptResult.BROKEN,
    }
)


@dataclasses.dataclass(slots=True)
class ServerReach:
    """Whether one server can be reached."""

    _failures: int = 0
    _until_s: float = float("-inf")

    @property
    def is_lost(self) -> bool:
        """Whether the last connection was not established."""
        return self._failures > 0

    def may_try(self, now_s: float) -> bool:
        """Returns whether a request may go to the server."""
        return self._until_s <= now_s

    def tried(self, now_s: float) -> None:
        """Notes a request; until it ends no other one goes to a lost server."""
        if self._failures:
            self._until_s = now_s + _PAUSE_S

    def see(self, evidence: messages.AttemptResult, now_s: float) -> None:
        """Takes what a request showed."""
        if evidence is messages.AttemptResult.UNREACHABLE:
            pause_s = min(_PAUSE_MAX_S, _PAUSE_S * 2.0**self._failures)
            self._failures += 1
            self._until_s = now_s + pause_s
        elif evidence in _RESPONDED:
            self._failures = 0
            self._until_s = float("-inf")


@dataclasses.dataclass(slots=True)
class ZoneReach:
    """Whether the servers of an availability zone can be reached."""

    _lost: set[str] = dataclasses.field(default_factory=set)
    _until_s: float = float("-inf")

    @property
    def is_lost(self) -> bool:
        """Whether the zone counts as cut off."""
        return len(self._lost) >= _SERVERS_FOR_ZONE

    def may_try(self, now_s: float) -> bool:
        """Returns whether a request may go to the zone."""
        return not self.is_lost or self._until_s <= now_s

    def tried(self, now_s: float) -> None:
        """Notes a request to one of its servers."""
        if self.is_lost:
            self._until_s = now_s + _ZONE_PAUSE_S

    def see(
        self, server: str, evidence: messages.AttemptResult, now_s: float
    ) -> None:
        """Takes what a request to one of its servers showed."""
        if evidence is messages.AttemptResult.UNREACHABLE:
            self._lost.add(server)
            self._until_s = now_s + _ZONE_PAUSE_S
        elif evidence in _RESPONDED:
            self._lost.clear()


class Reach:
    """What this VM can reach, from what its requests showed."""

    def __init__(self) -> None:
        """Creates a reach of which nothing is known to be lost."""
        self._servers: collections.defaultdict[
            models.ServerInstance, ServerReach
        ] = collections.defaultdict(ServerReach)
        self._zones: collections.defaultdict[str, ZoneReach] = (
            collections.defaultdict(ZoneReach)
        )

    def keep(self, lives: Collection[models.ServerInstance]) -> None:
        """Forgets all servers but some."""
        for gone in self._servers.keys() - set(lives):
            del self._servers[gone]

    def may_try(self, server: models.BackendServer, now_s: float) -> bool:
        """Returns whether a request may go to a server."""
        return self._servers[server.instance].may_try(now_s) and self._zones[
            server.availability_zone
        ].may_try(now_s)

    def tried(self, server: models.BackendServer, now_s: float) -> None:
        """Notes a request to a server."""
        self._servers[server.instance].tried(now_s)
        self._zones[server.availability_zone].tried(now_s)

    def see(
        self,
        server: models.BackendServer,
        evidence: messages.AttemptResult,
        now_s: float,
    ) -> None:
        """Takes what a request to a server showed."""
        found = self._servers[server.instance]
        zone = self._zones[server.availability_zone]
        were_lost = found.is_lost, zone.is_lost
        found.see(evidence, now_s)
        zone.see(server.name, evidence, now_s)
        known = {
            "server": server.name,
            "zone": server.availability_zone,
            "evidence": evidence.value,
        }
        if found.is_lost != were_lost[0]:
            _LOGGER.info(
                "server lost" if found.is_lost else "server regained",
                extra=known,
            )
        if zone.is_lost != were_lost[1]:
            _LOGGER.warning(
                "zone lost" if zone.is_lost else "zone regained", extra=known
            )
