"""Idle connections to one backend server."""

import collections

from berylweir.router.backends import connection as http

# An idle connection is not used when the server may be about to close it:
# this long before the time that it states, in seconds.
_MARGIN_S = 1.0
# Idle time after which a connection isn't used if the server states none, in
# seconds.
_LIMIT_S = 4.0
# Idle time after which a connection isn't used for a request that can't be
# repeated, in seconds: the server may have forgotten it.
_LIMIT_ONCE_S = 1.5


class IdleConnections:
    """Connections that can carry another request, the newest first."""

    def __init__(self) -> None:
        """Creates an empty collection."""
        self._idle: collections.deque[tuple[float, http.Connection]] = (
            collections.deque()
        )

    def add(
        self,
        connection: http.Connection,
        now_s: float,
        stated_s: float | None,
        most: int,
    ) -> None:
        """Keeps a connection, or closes it if it is of no use.

        Args:
            connection: The connection.
            now_s: Time on the loop's clock, in seconds.
            stated_s: Time for which the server keeps it, in seconds, if it
                said so.
            most: Largest number of idle connections.
        """
        limit_s = _LIMIT_S
        if stated_s is not None:
            limit_s = min(_LIMIT_S, stated_s - _MARGIN_S)
        if limit_s <= 0 or len(self._idle) >= most:
            connection.close()
            return
        self._idle.append((now_s + limit_s, connection))

    def take(
        self, now_s: float, *, is_repeatable: bool
    ) -> http.Connection | None:
        """Returns a connection to use, if there is one.

        Args:
            now_s: Time on the loop's clock, in seconds.
            is_repeatable: Whether the request may run more than once.
        """
        while self._idle and self._idle[0][0] <= now_s:
            self._idle.popleft()[1].close()
        while self._idle:
            expires_s, connection = self._idle[-1]
            if (
                not is_repeatable
                and now_s - connection.last_received_s > _LIMIT_ONCE_S
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
