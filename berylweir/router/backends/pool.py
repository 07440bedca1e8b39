"""A connection pool for one address with a limit on open connections."""

import asyncio
import collections
import dataclasses

from berylweir.router.backends import connection


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of a pool.

    Attributes:
        max_connections: Largest number of open connections.
        max_age_s: Age after which a connection is not used for another
            exchange, in seconds.
        connect_timeout_s: Time limit for opening a connection, in seconds.
    """

    max_connections: int
    max_age_s: float
    connect_timeout_s: float


class Pool:
    """Connections to one address; only the task that owns the pool uses it.

    A retired connection is closed when it is idle, or when it is returned
    after its exchange.
    """

    def __init__(self, host: str, port: int, limits: PoolLimits) -> None:
        """Creates an empty pool for `host` and `port`."""
        self._host = host
        self._port = port
        self._limits = limits
        self._idle: collections.deque[connection.Connection] = (
            collections.deque()
        )
        self._open: set[connection.Connection] = set()
        self._connecting = 0
        self._retire_opened_until_s = float("-inf")
        self._is_closed = False

    @property
    def open_connections(self) -> int:
        """Number of connections that are idle, in use or being opened."""
        return len(self._open) + self._connecting

    @property
    def buffered_bytes(self) -> int:
        """Bytes in the buffers of all connections."""
        return sum(c.buffered_bytes for c in self._open)

    def take_idle(self) -> connection.Connection | None:
        """Removes and returns the most recently used idle connection, or None.

        Connections that have closed, are too old or have unread bytes are
        discarded.
        """
        now = asyncio.get_running_loop().time()
        self._close_aged(now)
        while self._idle:
            candidate = self._idle.pop()
            # Unread bytes belong to a late response, which must not be taken
            # for the next one; or the other end has closed the connection.
            if (
                candidate.is_closed
                or self._must_retire(candidate, now)
                or candidate.has_unread()
            ):
                self.discard(candidate)
            else:
                return candidate
        return None

    def can_open(self) -> bool:
        """Returns whether another connection may be opened."""
        return self.open_connections < self._limits.max_connections

    async def open(self) -> connection.Connection:
        """Opens a connection.

        The attempt itself already counts as an open connection.

        Raises:
            OSError: If the connection can't be opened.
            TimeoutError: If opening takes longer than the connect timeout.
        """
        self._connecting += 1
        try:
            opened = await connection.connect(
                self._host, self._port, self._limits.connect_timeout_s
            )
        finally:
            self._connecting -= 1
        self._open.add(opened)
        return opened

    def release(self, released: connection.Connection) -> None:
        """Makes a connection idle again, or closes it if it isn't reusable."""
        if released.is_expired and not released.has_response_bytes:
            self._retire_older_siblings(released)
        now = asyncio.get_running_loop().time()
        if (
            released.is_reusable
            and released in self._open
            and not self._is_closed
            and not self._must_retire(released, now)
        ):
            self._idle.append(released)
        else:
            self.discard(released)

    def discard(self, released: connection.Connection) -> None:
        """Closes a connection of this pool and removes it."""
        released.close()
        self._open.discard(released)

    def retire_opened_until(self, opened_s: float) -> int:
        """Retires connections that were opened at or before a time.

        Idle ones are closed now, and those in use when they are returned.

        Args:
            opened_s: Time on the event loop's clock, in seconds.

        Returns:
            The number of connections that were closed now.
        """
        self._retire_opened_until_s = max(self._retire_opened_until_s, opened_s)
        old = [c for c in self._idle if c.opened_s <= opened_s]
        for candidate in old:
            self._idle.remove(candidate)
            self.discard(candidate)
        return len(old)

    def close(self) -> None:
        """Closes idle connections, and those in use when they are returned."""
        self._is_closed = True
        while self._idle:
            self.discard(self._idle.popleft())

    def _retire_older_siblings(self, silent: connection.Connection) -> None:
        """Retires older connections if only a newer one gets responses.

        The network can drop the packets of established connections while the
        server is healthy. That is assumed if a connection opened later than
        the silent one has received bytes since the silent exchange started.
        Otherwise the server itself may be slow, and its connections are kept.

        Args:
            silent: Connection whose exchange timed out without any response.
        """
        if any(
            c.opened_s > silent.opened_s
            and c.last_received_s >= silent.exchange_started_s
            for c in self._open
        ):
            self.retire_opened_until(silent.opened_s)

    def _must_retire(
        self, candidate: connection.Connection, now: float
    ) -> bool:
        return (
            candidate.opened_s <= self._retire_opened_until_s
            or now - candidate.opened_s > self._limits.max_age_s
        )

    def _close_aged(self, now: float) -> None:
        """Closes idle connections that are closed or too old.

        The most recently used connection is taken first, so the others can
        stay idle for long.
        """
        while self._idle and (
            self._idle[0].is_closed or self._must_retire(self._idle[0], now)
        ):
            self.discard(self._idle.popleft())
