"""Decides until when requests are sent and run in a planned stop."""

import asyncio
import dataclasses
import math
import typing

# Time before the connections of callers end at which requests that are still
# running are answered, so that the answers can be sent, in seconds. The
# platform expects that work is broken off only in the last sixth of the grace
# period. With the time that is reserved for the end of the process, it lies in
# there for grace periods of 4.8 s and more.
_LAST_ANSWERS_S = 0.2


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

    @property
    def last_answers_s(self) -> float:
        """When requests that outlast the stop are answered."""
        return self.ends_s - _LAST_ANSWERS_S


Phase = Serving | Stopping


@dataclasses.dataclass(frozen=True, slots=True)
class Limited:
    """What limits the time in which a request may be sent and run.

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


def latest_run_s(phase: Phase, limited: Limited) -> float:
    """Returns until when a request may run.

    At the end of a planned stop, a caller is told whether its request may have
    run. A gateway that has forwarded a request learns the same from the end of
    the connection, and may send it elsewhere.

    Args:
        phase: Whether the gateway stops, and when.
        limited: The request.

    Returns:
        A time on the loop's clock, in seconds; infinity if there is no limit.
    """
    match phase:
        case Serving():
            return math.inf
        case Stopping(ends_s=ends_s):
            if limited.was_forwarded or limited.finish_s <= ends_s:
                return math.inf
            return phase.last_answers_s
        case _:
            typing.assert_never(phase)


class StopLimits:
    """Ends requests, and their waits before they are sent, in a stop."""

    def __init__(self) -> None:
        """Creates limits of a gateway that serves."""
        self._phase: Phase = Serving()
        self._waits: dict[asyncio.Timeout, Limited] = {}
        self._runs: dict[asyncio.Timeout, Limited] = {}

    @property
    def is_stopping(self) -> bool:
        """Whether the gateway has been asked to stop."""
        return isinstance(self._phase, Stopping)

    def begin_stop(self, stopping: Stopping) -> None:
        """Applies the limits of a stop, also to requests in progress."""
        self._phase = stopping
        for wait, limited in self._waits.items():
            wait.reschedule(_when(latest_send_s(stopping, limited)))
        for run, limited in self._runs.items():
            run.reschedule(_when(latest_run_s(stopping, limited)))

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
        wait = asyncio.timeout_at(_when(latest_send_s(self._phase, limited)))
        self._waits[wait] = limited
        return wait

    def end_wait(self, wait: asyncio.Timeout) -> None:
        """Forgets a wait."""
        del self._waits[wait]

    def begin_run(self, limited: Limited) -> asyncio.Timeout:
        """Returns the timeout of a request.

        It may be rescheduled until it is passed to `end_run`.
        """
        run = asyncio.timeout_at(_when(latest_run_s(self._phase, limited)))
        self._runs[run] = limited
        return run

    def end_run(self, run: asyncio.Timeout) -> None:
        """Forgets a request."""
        del self._runs[run]


def _when(limit_s: float) -> float | None:
    """Returns a limit as `asyncio.Timeout` takes it."""
    return None if limit_s == math.inf else limit_s
