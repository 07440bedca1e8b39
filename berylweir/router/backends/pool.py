"""Idle connections to one address, within a budget."""

import asyncio
import collections
import dataclasses

from berylweir.router.backends import connection


@dataclasses.dataclass(frozen=True, slots=True)
class PoolLimits:
    """Limits of a pool.

    Attributes:
        max_connections: Largest number of open connections.
        max_age_s: Age at which an idle connection is retired, in seconds.
        connect_timeout_s: Time to open a connection, in seconds.
    """

    max_connections: int
    max_age_s: float
    connect_timeout_s: float


class Pool:
    """Connections to one address; owned by one task."""

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
        """Connections that are idle, in use or being opened."""
        return len(self._open) + self._connecting

    @property
    def buffered_bytes(self) -> int:
        """Bytes of bodies that its connections hold."""
        return sum(c.buffered_bytes for c in self._open)

    def take_idle(self) -> connection.Connection | None:
        """Returns the idle connection used last, or None."""
        now = asyncio.get_running_loop().time()
        self._close_aged(now)
        while self._idle:
            candidate = self._idle.pop()
            # Unread bytes are a late response, or the end of the connection.
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
        """Opens a connection; it counts from the start of the attempt.

        Raises:
            OSError: If it can't be opened.
            TimeoutError: If it takes too long.
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
        """Takes a connection back; retires it unless it is reusable."""
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
        """Closes a connection that was taken or opened."""
        released.close()
        self._open.discard(released)

    def retire_opened_until(self, opened_s: float) -> int:
        """Retires connections opened no later than a time.

        Idle ones are closed now, and lent ones when they come back.

        Args:
            opened_s: Time on the clock of the loop, in seconds.

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
        """Closes all idle connections, and lent ones when they come back."""
        self._is_closed = True
        while self._idle:
            self.discard(self._idle.popleft())

    def _retire_older_siblings(self, silent: connection.Connection) -> None:
        """Retires the siblings of a silent connection if newer ones answer.

        An established connection can go silent on its path while the server
        is well. Without an answer on a newer connection the server itself may
        be slow, and then its connections are kept.
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
        """Closes aged connections that stay at the bottom of the stack."""
        while self._idle and (
            self._idle[0].is_closed or self._must_retire(self._idle[0], now)
        ):
            self.discard(self._idle.popleft())
