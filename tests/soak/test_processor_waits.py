"""Tests of the measurement of waits for a processor."""

import asyncio
import contextlib
import os

import pytest

from berylweir.soak import processor_waits


class StubGateway:
    """Stands for a gateway by the process of the test."""

    vm = 1

    def __init__(self) -> None:
        self.pid = os.getpid()


class TestWaitMeter:
    """What the meter records."""

    async def test_counter_of_the_system_is_read(self, tmp_path, monkeypatch):
        """Guards against waits of an earlier process or of another unit."""
        directory = tmp_path / str(os.getpid())
        directory.mkdir()
        counter = directory / "schedstat"
        counter.write_text("1 5000000000 3\n")
        monkeypatch.setattr(processor_waits, "_PROC", tmp_path)
        monkeypatch.setattr(processor_waits, "_INTERVAL_S", 0.01)
        meter = processor_waits.WaitMeter([StubGateway()])
        task = asyncio.create_task(meter.run())
        await asyncio.sleep(0.05)
        assert meter.waits == []
        counter.write_text("1 5250000000 3\n")
        await asyncio.sleep(0.05)
        counter.unlink()
        await asyncio.sleep(0.05)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task
        (wait,) = meter.waits
        assert wait.vm == 1
        assert wait.waited_s == pytest.approx(0.25)
        assert wait.start_s < wait.end_s


class TestWaitedTime:
    """How long a gateway has waited in a time."""

    def test_overlapping_intervals_count(self):
        """Guards against excuses by waits of others or at other times."""
        waits = [
            processor_waits.ProcessorWait(0, 1.0, 1.1, 0.05),
            processor_waits.ProcessorWait(0, 1.1, 1.2, 0.02),
            processor_waits.ProcessorWait(0, 2.0, 2.1, 0.01),
            processor_waits.ProcessorWait(1, 1.0, 1.1, 0.04),
        ]
        assert processor_waits.waited_s(waits, 0, 1.05, 1.5) == pytest.approx(
            0.07
        )
        assert processor_waits.waited_s(waits, 0, 1.3, 1.9) == 0.0
