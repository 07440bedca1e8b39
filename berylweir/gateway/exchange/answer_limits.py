"""Ends a request whose answer would come too late to be used."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import math


class AnswerLimit:
    """Until when the answer to a request can be used.

    The limit may come closer while the request is handled: the task that reads
    from the caller's connection lowers it.
    """

    def __init__(self) -> None:
        """Creates a limit that is never reached."""
        self._until_s = math.inf
        self._timeout: asyncio.Timeout | None = None

    def lower(self, until_s: float) -> None:
        """Brings the limit closer; a later time has no effect.

        Args:
            until_s: Time on the loop's clock, in seconds.
        """
        if until_s >= self._until_s:
            return
        self._until_s = until_s
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(until_s)

    @contextlib.asynccontextmanager
    async def enforce(self) -> AsyncIterator[None]:
        """Cancels the body once the limit is reached.

        Raises:
            TimeoutError: The limit was reached.
        """
        until_s = None if self._until_s == math.inf else self._until_s
        async with asyncio.timeout_at(until_s) as timeout:
            self._timeout = timeout
            try:
                yield
            finally:
                self._timeout = None
