"""Detects server instances that ended because their address was reused."""

from collections.abc import Iterable

from berylweir.gateway import models

# Start times of two servers must differ by at least this much to tell which
# started later, in ms, because the clocks of their machines differ.
_MIN_START_DIFFERENCE_MS = 5000


def replaced_instances(
    servers: Iterable[models.BackendServer],
) -> frozenset[models.ServerInstance]:
    """Returns the instances whose address a later server has taken over.

    An address is assigned again only after the server that had it has ended.
    The store entry of a crashed server remains for some seconds, so two
    entries can have the same address.
    """
    by_address: dict[tuple[str, int], list[models.BackendServer]] = {}
    for server in servers:
        by_address.setdefault((server.host, server.port), []).append(server)
    return frozenset(
        server.instance
        for same_address in by_address.values()
        for server in same_address
        if any(
            server.born_ms + _MIN_START_DIFFERENCE_MS <= other.born_ms
            for other in same_address
        )
    )
