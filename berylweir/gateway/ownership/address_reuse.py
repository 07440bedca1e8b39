"""Which lives of backend servers have certainly ended."""

from collections.abc import Iterable

from berylweir.gateway import models

# Starts of two servers must lie this far apart to tell which was later, in ms:
# the time of day differs between machines.
_MIN_START_DIFFERENCE_MS = 5000


def replaced_instances(
    servers: Iterable[models.BackendServer],
) -> frozenset[models.ServerInstance]:
    """Returns the lives whose address a later server has taken over.

    An address passes on only after its server has ended. The entry of a server
    that crashed stays for some seconds.
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
