"""Connection pools for the other routers."""

from berylweir.router.backends import connection
from berylweir.router.backends import pool


class PeerPools:
    """A connection pool for each other router, owned by the ingress."""

    def __init__(self, limits: pool.PoolLimits) -> None:
        """Creates the pools.

        Args:
            limits: Limits of each pool.
        """
        self._limits = limits
        self._pools: dict[str, tuple[tuple[str, int], pool.Pool]] = {}

    @property
    def buffered_bytes(self) -> int:
        """Bytes in the buffers of all connections."""
        return sum(p.buffered_bytes for _, p in self._pools.values())

    async def acquire(
        self, vm: str, address: tuple[str, int]
    ) -> connection.Connection | None:
        """Returns an idle or new connection, or None if none can be opened.

        Args:
            vm: Name of the VM.
            address: IP address and port of its router.
        """
        entry = self._pools.get(vm)
        if entry is None or entry[0] != address:
            if entry is not None:
                entry[1].close()
            entry = (address, pool.Pool(*address, self._limits))
            self._pools[vm] = entry
        idle = entry[1].take_idle()
        if idle is not None:
            return idle
        if not entry[1].can_open():
            return None
        try:
            return await entry[1].open()
        except (OSError, TimeoutError):
            return None

    def release(self, vm: str, released: connection.Connection) -> None:
        """Returns a connection to the pool of a VM's router."""
        self._pools[vm][1].release(released)

    def close(self) -> None:
        """Closes all idle connections."""
        for _, open_pool in self._pools.values():
            open_pool.close()
