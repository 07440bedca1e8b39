"""Mailboxes with bounded size, for messages between tasks."""

import asyncio
import collections
from collections.abc import Hashable
import dataclasses
from typing import Generic
from typing import TypeVar

import result

M = TypeVar("M")


@dataclasses.dataclass(frozen=True, slots=True)
class MailboxFull:
    """A message was rejected because the mailbox is at its capacity.

    Attributes:
        mailbox: Name of the mailbox.
        capacity: Capacity of the mailbox, in messages.
    """

    mailbox: str
    capacity: int


@dataclasses.dataclass(frozen=True, slots=True)
class MailboxClosed:
    """A message was rejected because the mailbox is closed.

    Attributes:
        mailbox: Name of the mailbox.
    """

    mailbox: str


MailboxFailure = MailboxFull | MailboxClosed


class Mailbox(Generic[M]):
    """A FIFO queue that rejects messages beyond its capacity."""

    def __init__(self, name: str, capacity: int) -> None:
        """Creates an empty mailbox.

        Args:
            name: Name of the mailbox in failures.
            capacity: Largest number of waiting messages.
        """
        self._name = name
        self._capacity = capacity
        self._queue: asyncio.Queue[M] = asyncio.Queue()
        self._is_closed = False

    @property
    def is_closed(self) -> bool:
        """Whether the mailbox rejects messages because its receiver ended."""
        return self._is_closed

    def open(self) -> None:
        """Accepts messages again; a new mailbox is already open."""
        self._is_closed = False

    def close(self) -> None:
        """Rejects offered messages from now on.

        The receiver can still get those that wait.
        """
        self._is_closed = True

    def __len__(self) -> int:
        """Returns the number of waiting messages."""
        return self._queue.qsize()

    def offer(self, message: M) -> result.Result[None, MailboxFailure]:
        """Adds `message` without waiting.

        Returns:
            `MailboxClosed` or `MailboxFull` if the message was rejected.
        """
        if self._is_closed:
            return result.Err(MailboxClosed(self._name))
        if self._queue.qsize() >= self._capacity:
            return result.Err(MailboxFull(self._name, self._capacity))
        self._queue.put_nowait(message)
        return result.Ok(None)

    def post(self, message: M) -> None:
        """Adds `message` even if the mailbox is closed or at its capacity.

        Only for messages that complete something the receiver has started, such
        as returning a connection. The number of started operations limits their
        number, and a lost one would leak a slot.
        """
        self._queue.put_nowait(message)

    async def get(self) -> M:
        """Waits for the oldest message, removes it and returns it."""
        return await self._queue.get()

    def get_nowait(self) -> M | None:
        """Removes and returns the oldest message, or None if there is none."""
        try:
            return self._queue.get_nowait()
        except asyncio.QueueEmpty:
            return None


class LatestMailbox(Generic[M]):
    """Keeps only the newest message for each key.

    Suits state updates, where a newer update replaces the older one. The number
    of waiting messages is limited by the number of keys.
    """

    def __init__(self) -> None:
        """Creates an empty mailbox."""
        self._messages: collections.OrderedDict[Hashable, M] = (
            collections.OrderedDict()
        )
        self._message_available = asyncio.Event()

    def put(self, key: Hashable, message: M) -> None:
        """Adds `message`, replacing a waiting one with the same key."""
        self._messages[key] = message
        self._message_available.set()

    async def get(self) -> M:
        """Waits for a message, removes it and returns it.

        Returns the message of the key that has waited longest.
        """
        while not self._messages:
            self._message_available.clear()
            await self._message_available.wait()
        return self._messages.popitem(last=False)[1]
