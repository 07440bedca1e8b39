"""HTTP client that sends grants and releases to one backend server."""

import asyncio
from collections.abc import Callable
import dataclasses
import uuid

from berylweir.platform import grants
from berylweir.platform import requests
from berylweir.router.backends import connection as http
from berylweir.router.backends import exceptions as http_exceptions

# Timeout for the response to a grant, in seconds. It is short because a server
# responds to a grant without waiting for a free slot.
_GRANT_TIMEOUT_S = 0.5
# Timeout for the response to a release, in seconds. The server responds once
# the requests that are running on the keys have ended.
_RELEASE_TIMEOUT_S = 2.5
_CONNECT_TIMEOUT_S = 0.5
# Longest body of an answer, in bytes. Answers have short bodies or none.
_MAX_BODY_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The command was not sent, so the server can't have applied it."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """The command was sent, but there was no response in time.

    The server may or may not have applied it.
    """


SendOutcome = (
    grants.Accepted | grants.Superseded | grants.Rejected | NotSent | NoResponse
)


class GrantClient:
    """Sends commands to one server over connections that it keeps open.

    A server may send an answer once more on the same connection, and it must
    not be taken for the answer to the next command. Each command has an id of
    its own, which the answer repeats. A server that doesn't repeat ids gets
    each release on a new connection, since keys have two owners if the wrong
    answer ends the wait for it.
    """

    def __init__(
        self,
        server: str,
        host: str,
        port: int,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        """Creates the client without opening a connection.

        Args:
            server: Id of the server.
            host: IP address of the server.
            port: TCP port of the server.
            may_send: Returns whether a command may be sent now. It is called
                once the connection is open.
        """
        self._server = server
        self._host = host
        self._port = port
        self._may_send = may_send
        self._idle_connections: list[http.Connection] = []
        self._id_prefix = uuid.uuid4().hex
        self._command_count = 0
        self._repeats_ids = False

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the server."""
        return self._host, self._port

    async def send(self, command: grants.Command) -> SendOutcome:
        """Sends a command and returns the outcome."""
        timeout_s = (
            _RELEASE_TIMEOUT_S
            if isinstance(command, grants.Release)
            else _GRANT_TIMEOUT_S
        )
        self._command_count += 1
        request_id = f"{self._id_prefix}-{self._command_count}"
        connection = None
        if self._repeats_ids or isinstance(command, grants.Grant):
            connection = self._take_idle_connection()
        if connection is None:
            try:
                connection = await http.connect(
                    self._host,
                    self._port,
                    _CONNECT_TIMEOUT_S,
                    reset_on_close=True,
                )
                connection.enable_keepalive()
            except (OSError, TimeoutError):
                return NotSent()
        if not self._may_send():
            connection.close()
            return NotSent()
        has_response = False
        try:
            async with asyncio.timeout(timeout_s):
                try:
                    connection.begin(
                        grants.encode_request(
                            command,
                            self._server,
                            self._host,
                            self._port,
                            request_id,
                        ),
                        is_head_request=False,
                        matches_request=lambda headers: (
                            requests.matches_request_id(request_id, headers)
                        ),
                    )
                except http_exceptions.ExchangeError:
                    return NotSent()
                head = await connection.read_head()
                if requests.states_request_id(head.headers):
                    self._repeats_ids = True
                elif self._repeats_ids and connection.is_reused:
                    # It may be the answer to an earlier command.
                    return NoResponse()
                await connection.read_whole(_MAX_BODY_BYTES)
            has_response = True
            return grants.decode_response(head.status, head.headers)
        except (TimeoutError, http_exceptions.ExchangeError):
            return NoResponse()
        finally:
            # Closing during an exchange resets the connection, so a command
            # that the server hasn't read by now never reaches it.
            if has_response and connection.is_reusable:
                self._idle_connections.append(connection)
            else:
                connection.close()

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle_connections:
            self._idle_connections.pop().close()

    def _take_idle_connection(self) -> http.Connection | None:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if not connection.has_unread():
                return connection
            connection.close()
        return None
