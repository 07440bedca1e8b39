"""Idle connections to one backend server."""

import collections

from berylweir.router.backends import connection as http

# An idle connection is not used when the server may be about to close it:
# this long before the time that it states, in seconds.
_CLOSE_MARGIN_S = 1.0
# Idle time after which a connection isn't used if the server states none, in
# seconds.
_MAX_IDLE_S = 4.0
# Idle time after which a connection isn't used for a request that can't be
# repeated, in seconds: the server may have forgotten it.
_MAX_IDLE_NON_IDEMPOTENT_S = 1.5


class ConnectionPool:
    """Connections that can carry another request, the newest first."""

    def __init__(self) -> None:
        """Creates an empty collection."""
        self._idle: collections.deque[tuple[float, http.Connection]] = (
            collections.deque()
        )

    def release(
        self,
        connection: http.Connection,
        now_s: float,
        keep_alive_s: float | None,
        max_idle_connections: int,
    ) -> None:
        """Keeps a connection, or closes it if it is of no use.

        Args:
            connection: The connection.
            now_s: Time on the loop's clock, in seconds.
            keep_alive_s: Time for which the server keeps it, in seconds, if it
                said so.
            max_idle_connections: Largest number of idle connections.
        """
        max_idle_s = _MAX_IDLE_S
        if keep_alive_s is not None:
            max_idle_s = min(_MAX_IDLE_S, keep_alive_s - _CLOSE_MARGIN_S)
        if max_idle_s <= 0 or len(self._idle) >= max_idle_connections:
            connection.close()
            return
        self._idle.append((now_s + max_idle_s, connection))

    def acquire(
        self, now_s: float, *, is_idempotent: bool
    ) -> http.Connection | None:
        """Returns a connection to use, if there is one.

        Args:
            now_s: Time on the loop's clock, in seconds.
            is_idempotent: Whether the request may run more than once.
        """
        while self._idle and self._idle[0][0] <= now_s:
            self._idle.popleft()[1].close()
        while self._idle:
            expires_s, connection = self._idle[-1]
            if (
                not is_idempotent
                and now_s - connection.last_received_s
                > _MAX_IDLE_NON_IDEMPOTENT_S
            ):
                return None
            self._idle.pop()
            if expires_s > now_s and not connection.has_unread():
                return connection
            connection.close()
        return None

    def close(self) -> None:
        """Closes all connections."""
        while self._idle:
            self._idle.pop()[1].close()
