"""Accounts for the body memory of a VM."""

import asyncio
import collections
from collections.abc import Iterator
import contextlib

from berylweir.gateway.body_memory import decisions
from berylweir.gateway.body_memory import models
from berylweir.observability import counters


class BodyMemory:
    """Memory that the bodies of all requests and responses share.

    All tasks of the gateway run on one event loop. Each reservation belongs to
    one request, whose exit stack releases it.
    """

    def __init__(self, total_bytes: int, metrics: counters.Counters) -> None:
        """Creates an account without reservations.

        Args:
            total_bytes: Memory for all bodies, in bytes.
            metrics: Counters.
        """
        self._total_bytes = total_bytes
        self._metrics = metrics
        self._held_bytes = 0
        self._held_by_source: collections.Counter[models.Source] = (
            collections.Counter()
        )
        self._waiters: dict[
            models.Source, collections.deque[asyncio.Future[None]]
        ] = {}

    @property
    def held_bytes(self) -> int:
        """Memory that all bodies use, in bytes."""
        return self._held_bytes

    def held_by(self, source: models.Source) -> int:
        """Returns the memory that the bodies of a source use, in bytes."""
        return self._held_by_source[source]

    @contextlib.contextmanager
    def open(self, source: models.Source) -> "Iterator[Reservation]":
        """Yields an empty reservation, which is released at the end.

        Args:
            source: Where its body comes from.
        """
        reservation = Reservation(self, source)
        try:
            yield reservation
        finally:
            reservation.release()

    def has_room(
        self, source: models.Source, use: models.Use, size_bytes: int = 0
    ) -> bool:
        """Returns whether a source may hold more.

        Args:
            source: Where the body comes from.
            use: What the memory is for.
            size_bytes: Additional size, in bytes.
        """
        unused_bytes = self._total_bytes - self._held_bytes - size_bytes
        return self._held_by_source[
            source
        ] + size_bytes <= decisions.source_limit(use, unused_bytes)

    async def wait_for_room(self, source: models.Source) -> None:
        """Waits until a source may stream a further part."""
        while not self.has_room(source, models.Streamed()):
            waiter = asyncio.get_running_loop().create_future()
            waiters = self._waiters.setdefault(source, collections.deque())
            waiters.append(waiter)
            self._metrics.count("gateway.body_memory.waits")
            try:
                await waiter
            finally:
                if not waiter.done() or waiter.cancelled():
                    with contextlib.suppress(ValueError):
                        waiters.remove(waiter)
                elif self.has_room(source, models.Streamed()):
                    self._wake(source)

    def add(self, source: models.Source, size_bytes: int) -> None:
        """Counts memory that a source has begun to use.

        Args:
            source: Where the body comes from.
            size_bytes: Its size, in bytes; negative if the memory is free now.
        """
        self._held_bytes += size_bytes
        self._held_by_source[source] += size_bytes
        self._metrics.gauge("gateway.body_memory.held_bytes", self._held_bytes)
        if size_bytes >= 0:
            return
        if self._held_by_source[source] <= 0:
            del self._held_by_source[source]
        for waiting in tuple(self._waiters):
            if self.has_room(waiting, models.Streamed()):
                self._wake(waiting)

    def count_unheld(self) -> None:
        """Counts a response that is streamed since it can't be held."""
        self._metrics.count("gateway.body_memory.unheld")

    def _wake(self, source: models.Source) -> None:
        """Wakes the first waiter of a source; it wakes the next one."""
        waiters = self._waiters.get(source)
        while waiters:
            waiter = waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self._waiters.pop(source, None)


class Reservation:
    """Memory that the body of one request or response uses."""

    def __init__(self, memory: BodyMemory, source: models.Source) -> None:
        """Creates an empty reservation.

        Args:
            memory: The account that it is part of.
            source: Where the body comes from.
        """
        self._memory = memory
        self._source = source
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Its size, in bytes."""
        return self._held_bytes

    def hold(self, size_bytes: int, use: models.Use) -> bool:
        """Adds memory if its source may hold that much.

        Args:
            size_bytes: Additional size, in bytes.
            use: What the memory is for.

        Returns:
            Whether it was added.
        """
        if not self._memory.has_room(self._source, use, size_bytes):
            return False
        self.charge(size_bytes)
        return True

    def charge(self, size_bytes: int) -> None:
        """Adds memory that is in use already, whatever the limit.

        Args:
            size_bytes: Additional size, in bytes.
        """
        self._held_bytes += size_bytes
        self._memory.add(self._source, size_bytes)

    def free(self, size_bytes: int) -> None:
        """Removes memory that isn't in use any more.

        Args:
            size_bytes: Its size, in bytes.
        """
        size_bytes = min(size_bytes, self._held_bytes)
        if size_bytes:
            self._held_bytes -= size_bytes
            self._memory.add(self._source, -size_bytes)

    def count_unheld(self) -> None:
        """Counts a response that is streamed since it can't be held."""
        self._memory.count_unheld()

    def release(self) -> None:
        """Removes all of its memory."""
        self.free(self._held_bytes)

    async def wait_for_room(self) -> None:
        """Waits until its source may stream a further part."""
        await self._memory.wait_for_room(self._source)
