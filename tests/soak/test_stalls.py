"""Tests of the measurement of stalls of the soak's own process."""

import asyncio
import contextlib
import time

from berylweir.soak import stalls


class TestStallMeter:
    """What the meter records."""

    async def test_busy_event_loop_is_recorded(self):
        """Guards against blaming gateways for a busy soak."""
        meter = stalls.StallMeter()
        task = asyncio.create_task(meter.run())
        await asyncio.sleep(0.05)
        start_s = time.monotonic()
        asyncio.get_running_loop().call_soon(time.sleep, 0.2)
        await asyncio.sleep(0.05)
        end_s = time.monotonic()
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        assert stalls.stalled_s(meter.stalls, start_s, end_s) > 0.15


class TestStalledTime:
    """How much of a time was stalled."""

    def test_event_may_have_been_due_when_stalls_began(self):
        """Guards against blaming gateways for what the soak saw late."""
        recorded = [stalls.Stall(1.0, 2.0), stalls.Stall(2.005, 3.0)]
        assert stalls.undisturbed_s(recorded, 3.005) == 1.0
        assert stalls.undisturbed_s(recorded, 1.5) == 1.0
        assert stalls.undisturbed_s(recorded, 3.5) == 3.5

    def test_only_the_overlap_counts(self):
        """Guards against excuses by stalls at other times."""
        recorded = [stalls.Stall(1.0, 2.0), stalls.Stall(4.0, 5.0)]
        assert stalls.stalled_s(recorded, 1.5, 4.25) == 0.75
        assert stalls.stalled_s(recorded, 2.5, 3.5) == 0.0
