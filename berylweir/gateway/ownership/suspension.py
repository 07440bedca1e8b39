"""Notices that this VM or its process was suspended."""

import asyncio
from collections.abc import Callable
import typing

from berylweir.gateway import clock

# Time between two checks, in seconds. It is short beside the time below.
_CHECK_INTERVAL_S = 0.25
# Longest time between two checks that isn't taken for a suspension, in seconds.
# The first deputy takes the lease of a silent holder after two reports without
# a response, so not before 1.5 s.
_MAX_PAUSE_S = 1.5


class SuspensionMonitor:
    """Knows when this gateway last continued; times are on the boot clock."""

    def __init__(self, on_resumed: Callable[[], None]) -> None:
        """Creates the monitor of a gateway that was never suspended.

        Args:
            on_resumed: Called when the gateway has continued.
        """
        self._on_resumed = on_resumed
        self._checked_s = clock.boot_s()
        self._resumed_s = float("-inf")

    def was_running_since(self, time_s: float) -> bool:
        """Returns whether the gateway has not been suspended since a time.

        The answer is right from the first moment after a suspension on, before
        `run` has noticed it.

        Args:
            time_s: A time on the boot clock, in seconds.
        """
        return time_s >= self._resumed_s and not self._is_overdue()

    async def run(self) -> typing.NoReturn:
        """Checks at an interval until it is cancelled."""
        self._checked_s = clock.boot_s()
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            has_resumed = self._is_overdue()
            self._checked_s = clock.boot_s()
            if has_resumed:
                self._resumed_s = self._checked_s
                self._on_resumed()

    def _is_overdue(self) -> bool:
        return clock.boot_s() - self._checked_s > _MAX_PAUSE_S
