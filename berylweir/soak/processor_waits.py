"""Measures how long gateways that could run waited for a processor."""

import asyncio
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import pathlib
import time
import typing

from berylweir.soak import gateways

_PROC = pathlib.Path("/proc")
_INTERVAL_S = 0.1
# Column of the time that a thread has waited in its run queue, in ns.
_WAITED_COLUMN = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessorWait:
    """Time that the main thread of a gateway has waited in an interval.

    Times are on the monotonic clock, in seconds.

    Attributes:
        vm: Number of the gateway's VM.
        start_s: Start of the interval.
        end_s: End of the interval.
        waited_s: How long it has waited.
    """

    vm: int
    start_s: float
    end_s: float
    waited_s: float


class WaitMeter:
    """Records the waits of gateways, where the system measures them."""

    def __init__(self, measured: Sequence[gateways.Gateway]) -> None:
        """Creates a meter.

        Args:
            measured: The gateways.
        """
        self._gateways = measured
        self._waits: list[ProcessorWait] = []

    @property
    def waits(self) -> list[ProcessorWait]:
        """The waits so far."""
        return self._waits

    async def run(self) -> typing.NoReturn:
        """Measures until it is cancelled."""
        newest: dict[int, tuple[float, float]] = {}
        while True:
            for gateway in self._gateways:
                now_s = time.monotonic()
                waited_s = _read_waited_s(gateway.pid)
                if waited_s is None:
                    continue
                start_s, start_waited_s = newest.get(
                    gateway.pid, (now_s, waited_s)
                )
                if waited_s > start_waited_s:
                    self._waits.append(
                        ProcessorWait(
                            gateway.vm,
                            start_s,
                            now_s,
                            waited_s - start_waited_s,
                        )
                    )
                newest[gateway.pid] = (now_s, waited_s)
            await asyncio.sleep(_INTERVAL_S)


def _read_waited_s(process_id: int) -> float | None:
    """Returns how long the main thread of a process has waited so far.

    Returns None if the process has ended or the system doesn't measure it.
    """
    try:
        text = (_PROC / str(process_id) / "schedstat").read_text()
    except OSError:
        return None
    return int(text.split()[_WAITED_COLUMN]) / 1e9


def waited_s(
    waits: Iterable[ProcessorWait], vm: int, start_s: float, end_s: float
) -> float:
    """Returns how long a gateway has waited in a time, in seconds, at most."""
    return sum(
        wait.waited_s
        for wait in waits
        if wait.vm == vm and wait.start_s <= end_s and wait.end_s >= start_s
    )
