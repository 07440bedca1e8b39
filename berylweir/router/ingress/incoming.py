"""A request that a connection is receiving."""

import collections
import typing

from berylweir.refusals import models as refusals
from berylweir.router.ingress import exceptions
from berylweir.router.ingress import models


class Connection(typing.Protocol):
    """What a request needs of the connection on which it arrives."""

    def now(self) -> float:
        """Returns the time on the clock of the loop, in seconds."""

    def write_continue(self) -> None:
        """Sends `100 Continue`, so that the caller sends the body."""

    async def wait(self) -> None:
        """Waits for received bytes or a failure."""

    def on_body_read(self, request: "Request") -> None:
        """Takes note that a part of the body was read."""


class Request:
    """A request that is being received: its head and the unread body parts.

    The event loop callbacks of the connection add parts, and the task that
    serves the connection reads them.
    """

    def __init__(
        self, head: models.RawHead, connection: Connection, now: float
    ) -> None:
        """Creates a request without any part of its body.

        Args:
            head: Head of the request.
            connection: Connection on which it arrives.
            now: Time on the clock of the loop, in seconds.
        """
        self.head = head
        self._connection = connection
        self._parts: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._is_complete = False
        self._failure: refusals.Refusal | None = None
        self._last_progress_s = now
        self._has_started_reading = False

    @property
    def is_complete(self) -> bool:
        """Whether the whole request was received."""
        return self._is_complete

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the body that were received but not yet read."""
        return self._buffered_bytes

    @property
    def last_progress_s(self) -> float:
        """When the wait for the next part began, on the clock of the loop.

        This is when the last part arrived, when the task began to read, or
        when reading from the socket was resumed.
        """
        return self._last_progress_s

    def feed(self, part: bytes, now: float) -> None:
        """Adds a part of the body."""
        self._parts.append(part)
        self._buffered_bytes += len(part)
        self._last_progress_s = now

    def reset_progress(self, now: float) -> None:
        """Restarts the timeout of the next part of the body."""
        self._last_progress_s = now

    def complete(self) -> None:
        """Marks the body as complete."""
        self._is_complete = True

    def fail(self, refusal: refusals.Refusal) -> None:
        """Makes `read` fail, unless the body is complete."""
        if not self._is_complete and self._failure is None:
            self._failure = refusal

    async def read(self) -> bytes:
        """Waits for the next part of the body and returns it.

        Returns an empty part at the end of the body.

        Raises:
            RequestIncomplete: If the caller disconnected, was too slow or sent
                an invalid body.
        """
        if not self._has_started_reading:
            self._has_started_reading = True
            self._last_progress_s = self._connection.now()
            if self.head.expects_continue and not self._is_complete:
                self._connection.write_continue()
        while not self._parts:
            if self._is_complete:
                return b""
            if self._failure is not None:
                raise exceptions.RequestIncomplete(self._failure)
            await self._connection.wait()
        part = self._parts.popleft()
        self._buffered_bytes -= len(part)
        self._connection.on_body_read(self)
        return part
