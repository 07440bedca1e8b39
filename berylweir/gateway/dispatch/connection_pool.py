"""A pool of idle connections to one backend server, and opening new ones."""

import collections

from berylweir.gateway import models
from berylweir.router.backends import connection as http

# Connect timeout, in seconds. It is below the 1 s after which TCP retransmits a
# SYN that a server with a full accept queue dropped.
_CONNECT_TIMEOUT_S = 0.6

# Connections are dropped this long before the server's keep-alive timeout, in
# seconds, so that no request is sent while the server closes the connection.
_CLOSE_MARGIN_S = 1.0
# Longest idle time of a connection, in seconds. A shorter keep-alive timeout of
# the server takes precedence.
_MAX_IDLE_S = 4.0
# Longest idle time of a connection for a request that isn't idempotent, in
# seconds. The server may have dropped the connection without notice, and such a
# request can't be retried.
_MAX_IDLE_NON_IDEMPOTENT_S = 1.5
# Share of a server's connection limit that the VMs divide among themselves for
# idle connections.
_CONNECTION_LIMIT_SHARE = 0.8


def max_idle_connections(
    group: models.ServerGroup | None, vm_count: int
) -> int:
    """Returns how many idle connections a VM keeps to one server.

    Args:
        group: Settings of the server's group; None if they aren't known.
        vm_count: Number of VMs that share the connections of the server.
    """
    if group is None:
        return 1
    shared_connections = _CONNECTION_LIMIT_SHARE * group.max_connections
    return max(1, int(shared_connections / max(1, vm_count)))


class ConnectionPool:
    """Idle connections; the one that was used last is reused first."""

    def __init__(self) -> None:
        """Creates an empty pool."""
        self._idle: collections.deque[tuple[float, http.Connection]] = (
            collections.deque()
        )

    def release(
        self,
        connection: http.Connection,
        now_s: float,
        keep_alive_timeout_s: float | None,
        max_idle_connections: int,
    ) -> None:
        """Returns a connection to the pool, or closes it if it can't be reused.

        Args:
            connection: The connection.
            now_s: Time on the loop's clock, in seconds.
            keep_alive_timeout_s: The server's keep-alive timeout, in seconds;
                None if it sent none.
            max_idle_connections: Largest size of the pool.
        """
        max_idle_s = _MAX_IDLE_S
        if keep_alive_timeout_s is not None:
            max_idle_s = min(
                _MAX_IDLE_S, keep_alive_timeout_s - _CLOSE_MARGIN_S
            )
        if max_idle_s <= 0 or len(self._idle) >= max_idle_connections:
            connection.close()
            return
        self._idle.append((now_s + max_idle_s, connection))

    def acquire(
        self, now_s: float, *, is_idempotent: bool, request_id: str = ""
    ) -> http.Connection | None:
        """Takes a usable connection out of the pool; None if there is none.

        A connection that carried the same request before stays in the pool: the
        server may send its response to that attempt once more.

        Args:
            now_s: Time on the loop's clock, in seconds.
            is_idempotent: Whether the request may run more than once.
            request_id: Id of the request.
        """
        index = self._find_usable(now_s, is_idempotent, request_id)
        if index is None:
            return None
        _, connection = self._idle[index]
        del self._idle[index]
        return connection

    def has_usable(
        self, now_s: float, *, is_idempotent: bool, request_id: str = ""
    ) -> bool:
        """Returns whether `acquire` with the same arguments would find one.

        Args:
            now_s: Time on the loop's clock, in seconds.
            is_idempotent: Whether the request may run more than once.
            request_id: Id of the request.
        """
        return self._find_usable(now_s, is_idempotent, request_id) is not None

    def _find_usable(
        self, now_s: float, is_idempotent: bool, request_id: str
    ) -> int | None:
        """Returns the index of a usable connection.

        Connections that expired or ended are closed on the way.
        """
        while self._idle and self._idle[0][0] <= now_s:
            self._idle.popleft()[1].close()
        index = len(self._idle) - 1
        while index >= 0:
            expires_s, connection = self._idle[index]
            last_active_s = max(connection.last_received_s, connection.opened_s)
            if (
                not is_idempotent
                and now_s - last_active_s > _MAX_IDLE_NON_IDEMPOTENT_S
            ):
                return None
            if expires_s <= now_s or connection.has_unread():
                del self._idle[index]
                connection.close()
            elif not connection.has_carried(request_id):
                return index
            index -= 1
        return None

    def close(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            self._idle.pop()[1].close()


async def connect(
    server: models.BackendServer, max_wait_s: float = _CONNECT_TIMEOUT_S
) -> http.Connection:
    """Opens a connection to a server.

    Args:
        server: The server.
        max_wait_s: Time limit in seconds, if it is below the usual one.

    Raises:
        OSError: If it can't be opened.
        TimeoutError: If it isn't opened in time.
    """
    connection = await http.connect(
        server.host,
        server.port,
        max(0.0, min(_CONNECT_TIMEOUT_S, max_wait_s)),
        allow_close_delimited=True,
        reset_on_close=True,
    )
    connection.enable_keepalive()
    return connection
