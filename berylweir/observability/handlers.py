"""Log handler that never blocks and whose buffer is bounded."""

import asyncio
import collections
import logging
import os
import time

from berylweir.observability import counters

# Limit for lines below warning level; a VM handles a few hundred requests per
# second.
_MAX_LOW_LEVEL_LINES_PER_S = 400
# Size of the buffer for lines that the reader of the output hasn't read yet.
_BUFFER_BYTES = 262_144
# Fraction of the buffer that lines below warning level may fill, so that there
# is space for warnings and errors.
_LOW_LEVEL_BUFFER_FRACTION = 0.5
# Delay between attempts to write while the output accepts no more data.
_FLUSH_RETRY_S = 0.05


class NonBlockingHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking.

    Lines below warning level are dropped first: those beyond a fixed rate, and
    those that arrive while half of the buffer is in use. The number of dropped
    lines is counted.
    """

    def __init__(self, descriptor: int, metrics: counters.Counters) -> None:
        """Creates the handler and makes the descriptor non-blocking.

        Args:
            descriptor: File descriptor of the output.
            metrics: Registry for the counters of dropped lines.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._metrics = metrics
        self._buffered_lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._current_second = 0
        self._lines_in_second = 0
        self._is_flush_scheduled = False

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record, buffers it, or drops it."""
        is_low_level = record.levelno < logging.WARNING
        if is_low_level and not self._is_within_rate_limit():
            self._metrics.count("logs.dropped.rate")
            return
        line = self.format(record).encode() + b"\n"
        limit_bytes = _BUFFER_BYTES * (
            _LOW_LEVEL_BUFFER_FRACTION if is_low_level else 1.0
        )
        if self._buffered_bytes + len(line) > limit_bytes:
            self._metrics.count("logs.dropped.room")
            return
        self._buffered_lines.append(line)
        self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Writes buffered lines until the descriptor would block."""
        while self._buffered_lines:
            line = self._buffered_lines[0]
            try:
                bytes_written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._schedule_flush()
                return
            except OSError:
                # The reader has closed the output, so there is no log to report
                # this to.
                self._metrics.count(
                    "logs.dropped.closed", len(self._buffered_lines)
                )
                self._buffered_lines.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= bytes_written
            if bytes_written < len(line):
                self._buffered_lines[0] = line[bytes_written:]
            else:
                self._buffered_lines.popleft()

    def _is_within_rate_limit(self) -> bool:
        """Counts a line; returns whether it is within the rate limit."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        return self._lines_in_second <= _MAX_LOW_LEVEL_LINES_PER_S

    def _schedule_flush(self) -> None:
        if self._is_flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return  # without an event loop, the next record flushes
        self._is_flush_scheduled = True
        loop.call_later(_FLUSH_RETRY_S, self._run_scheduled_flush)

    def _run_scheduled_flush(self) -> None:
        self._is_flush_scheduled = False
        self.flush()
