"""Bounded mailboxes between tasks."""

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
    """A message was not accepted because the mailbox is at its bound.

    Attributes:
        mailbox: Name of the mailbox.
        capacity: Bound of the mailbox, in messages.
    """

    mailbox: str
    capacity: int


@dataclasses.dataclass(frozen=True, slots=True)
class MailboxClosed:
    """A message was not accepted because its receiver has ended."""

    mailbox: str


MailboxFailure = MailboxFull | MailboxClosed


class Mailbox(Generic[M]):
    """A bounded queue: a message that doesn't fit is given back."""

    def __init__(self, name: str, capacity: int) -> None:
        """Creates an empty mailbox that holds `capacity` messages."""
        self._name = name
        self._capacity = capacity
        self._queue: asyncio.Queue[M] = asyncio.Queue()
        self._is_closed = False

    @property
    def is_closed(self) -> bool:
        """Whether the receiver has ended."""
        return self._is_closed

    def open(self) -> None:
        """Accepts messages, as it does from the start."""
        self._is_closed = False

    def close(self) -> None:
        """Accepts no more messages; those that wait can still be taken."""
        self._is_closed = True

    def __len__(self) -> int:
        """Returns the number of waiting messages."""
        return self._queue.qsize()

    def offer(self, message: M) -> result.Result[None, MailboxFailure]:
        """Adds `message`, or returns why it can't, without waiting."""
        if self._is_closed:
            return result.Err(MailboxClosed(self._name))
        if self._queue.qsize() >= self._capacity:
            return result.Err(MailboxFull(self._name, self._capacity))
        self._queue.put_nowait(message)
        return result.Ok(None)

    def post(self, message: M) -> None:
        """Adds `message` whether or not the mailbox is at its bound.

        Only for messages that end something the receiver has begun, such as
        the return of a connection: their number is bounded by what it began,
        and losing one would leak a slot.
        """
        self._queue.put_nowait(message)

    async def get(self) -> M:
        """Waits for the oldest message and removes it."""
        return await self._queue.get()

    def get_nowait(self) -> M | None:
        """Removes the oldest message, or returns None if there is none."""
        try:
            return self._queue.get_nowait()
        except asyncio.QueueEmpty:
            return None


class LatestMailbox(Generic[M]):
    """Keeps the newest message of each key.

    Fits state updates, where a newer update makes the older one useless, so
    the bound is the number of subjects.
    """

    def __init__(self) -> None:
        """Creates an empty mailbox."""
        self._messages: collections.OrderedDict[Hashable, M] = (
            collections.OrderedDict()
        )
        self._message_available = asyncio.Event()

    def put(self, key: Hashable, message: M) -> None:
        """Adds `message`, replacing an older one of the same key."""
        self._messages[key] = message
        self._message_available.set()

    async def get(self) -> M:
        """Waits for the message of the oldest waiting key."""
        while not self._messages:
            self._message_available.clear()
            await self._message_available.wait()
        return self._messages.popitem(last=False)[1]
