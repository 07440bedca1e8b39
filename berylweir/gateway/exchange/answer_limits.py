"""Ends a request whose answer would come too late to be used."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
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
        self._timer: asyncio.TimerHandle | None = None
        self._may_give_up: Callable[[], bool] = lambda: True

    def lower(self, until_s: float) -> None:
        """Brings the limit closer; a later time has no effect.

        Args:
            until_s: Time on the loop's clock, in seconds.
        """
        if until_s >= self._until_s:
            return
        self._until_s = until_s
        if self._timeout is not None:
            self._set_timer()

    @contextlib.asynccontextmanager
    async def enforce(
        self, may_give_up: Callable[[], bool]
    ) -> AsyncIterator[None]:
        """Cancels the body once the limit is reached.

        Args:
            may_give_up: Returns whether the body may be cancelled at that time.
                If not, it runs to its end.

        Raises:
            TimeoutError: The limit was reached.
        """
        async with asyncio.timeout(None) as timeout:
            self._timeout = timeout
            self._may_give_up = may_give_up
            if self._until_s < math.inf:
                self._set_timer()
            try:
                yield
            finally:
                self._timeout = None
                if self._timer is not None:
                    self._timer.cancel()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self._until_s, self._give_up)

    def _give_up(self) -> None:
        if (
            self._timeout is not None
            and not self._timeout.expired()
            and self._may_give_up()
        ):
            self._timeout.reschedule(asyncio.get_running_loop().time())
