"""Decides until when requests are sent to servers in a planned stop."""

import asyncio
import dataclasses
import math
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class Serving:
    """The gateway hasn't been asked to stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Stopping:
    """The gateway has been asked to stop.

    Times are on the loop's clock, in seconds.

    Attributes:
        accepts_until_s: Until when any request is sent to a server.
        ends_s: When the connections of callers end.
    """

    accepts_until_s: float
    ends_s: float


Phase = Serving | Stopping


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """What limits the time in which a request may be sent.

    Attributes:
        finish_s: Latest end of the request, on the loop's clock, in seconds.
        was_forwarded: Whether another gateway forwarded it, which can take it
            elsewhere.
    """

    finish_s: float
    was_forwarded: bool = False


def latest_send_s(phase: Phase, limited: Limited) -> float:
    """Returns until when a request may be sent to a server.

    Late in a planned stop, only requests that are over before the connections
    end are sent. Others would be cut off while a server works on them, and the
    caller couldn't tell whether they have run. Of the requests that were
    forwarded, others aren't sent at all.

    Args:
        phase: Whether the gateway stops, and when.
        limited: The request.

    Returns:
        A time on the loop's clock, in seconds; infinity if there is no limit.
    """
    match phase:
        case Serving():
            return math.inf
        case Stopping(accepts_until_s, ends_s):
            if limited.finish_s <= ends_s:
                return math.inf
            return -math.inf if limited.was_forwarded else accepts_until_s
        case _:
            typing.assert_never(phase)


class SendLimits:
    """Ends the waits of requests that will be too late to be sent."""

    def __init__(self) -> None:
        """Creates limits of a gateway that serves."""
        self._phase: Phase = Serving()
        self._waits: dict[asyncio.Timeout, Limited] = {}

    @property
    def is_stopping(self) -> bool:
        """Whether the gateway has been asked to stop."""
        return isinstance(self._phase, Stopping)

    def begin_stop(self, stopping: Stopping) -> None:
        """Applies the limits of a stop, also to requests that wait already."""
        self._phase = stopping
        for wait, limited in self._waits.items():
            wait.reschedule(_limit_s(stopping, limited))

    def allows(self, limited: Limited, now_s: float) -> bool:
        """Returns whether a request may be sent now.

        Args:
            limited: The request.
            now_s: Time on the loop's clock, in seconds.
        """
        return now_s < latest_send_s(self._phase, limited)

    def begin_wait(self, limited: Limited) -> asyncio.Timeout:
        """Returns the timeout of a wait before a request is sent.

        It may be rescheduled until it is passed to `end_wait`.
        """
        wait = asyncio.timeout_at(_limit_s(self._phase, limited))
        self._waits[wait] = limited
        return wait

    def end_wait(self, wait: asyncio.Timeout) -> None:
        """Forgets a wait."""
        del self._waits[wait]


def _limit_s(phase: Phase, limited: Limited) -> float | None:
    """Returns the same as `latest_send_s`, or None if there is no limit."""
    limit_s = latest_send_s(phase, limited)
    return None if limit_s == math.inf else limit_s
