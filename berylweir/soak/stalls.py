"""Measures when the process of the soak itself didn't run in time.

Callers see what gateways do that much later.
"""

import asyncio
from collections.abc import Iterable
import dataclasses
import time
import typing

_INTERVAL_S = 0.01
# Delays up to this one aren't recorded, in seconds.
_MAX_DELAY_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Stall:
    """A time in which the event loop was busy or the process didn't run.

    Times are on the monotonic clock, in seconds.

    Attributes:
        start_s: Its start.
        end_s: Its end.
    """

    start_s: float
    end_s: float


class StallMeter:
    """Records the stalls of its event loop."""

    def __init__(self) -> None:
        """Creates a meter without stalls."""
        self._stalls: list[Stall] = []

    @property
    def stalls(self) -> list[Stall]:
        """The stalls so far."""
        return self._stalls

    async def run(self) -> typing.NoReturn:
        """Measures until it is cancelled."""
        while True:
            due_s = time.monotonic() + _INTERVAL_S
            await asyncio.sleep(_INTERVAL_S)
            now_s = time.monotonic()
            if now_s - due_s > _MAX_DELAY_S:
                self._stalls.append(Stall(due_s, now_s))


def undisturbed_s(stalls: Iterable[Stall], at_s: float) -> float:
    """Returns when an event was due that was seen at `at_s`, at the earliest.

    Args:
        stalls: Stalls in the order of their times.
        at_s: Time on the monotonic clock, in seconds.
    """
    for stall in reversed(list(stalls)):
        if stall.start_s <= at_s <= stall.end_s + _INTERVAL_S:
            at_s = stall.start_s
    return at_s


def stalled_s(stalls: Iterable[Stall], start_s: float, end_s: float) -> float:
    """Returns how long a time was stalled, in seconds."""
    return sum(
        max(0.0, min(stall.end_s, end_s) - max(stall.start_s, start_s))
        for stall in stalls
    )
