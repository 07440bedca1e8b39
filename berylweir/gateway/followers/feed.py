"""Answers other gateways that follow the store through this one."""

import asyncio
from collections.abc import Mapping

from berylweir.gateway.followers import task as followers
from berylweir.gateway.peers import messages as peers

# Longest time that a request waits for a change, in seconds. A follower that
# hears nothing for longer looks for another source.
HOLD_S = 0.8


class Feed:
    """Holds the requests of followers until something changes."""

    def __init__(self, followed: Mapping[str, followers.Follower]) -> None:
        """Creates a feed.

        Args:
            followed: The followers of this gateway by kind.
        """
        self._followed = followed
        self._waiting: set[asyncio.Future[None]] = set()

    @property
    def is_current(self) -> bool:
        """Whether this gateway watches all kinds and reaches the store."""
        return all(f.is_current for f in self._followed.values())

    def notify(self) -> None:
        """Wakes the requests that wait."""
        for waiting in self._waiting:
            if not waiting.done():
                waiting.set_result(None)

    async def answer(self, request: peers.GetChanges) -> peers.Changes:
        """Returns what changed, when something did or the time is over."""
        await self._wait(request.revisions)
        if not self.is_current:
            return peers.Changes(is_current=False)
        kinds = [
            changes
            for kind, revision in request.revisions.items()
            if kind in self._followed
            and (changes := self._followed[kind].changes_since(revision))
        ]
        return peers.Changes(True, kinds)

    async def answer_news(
        self, request: peers.GetChangedRevisions
    ) -> peers.ChangedRevisions:
        """Returns which kinds changed, when one did or the time is over."""
        await self._wait(request.revisions)
        if not self.is_current:
            return peers.ChangedRevisions(is_current=False)
        return peers.ChangedRevisions(True, self._news(request.revisions))

    def _news(self, known: Mapping[str, int]) -> dict[str, int]:
        return {
            kind: self._followed[kind].revision
            for kind, revision in known.items()
            if kind in self._followed
            and self._followed[kind].has_news(revision)
        }

    async def _wait(self, known: Mapping[str, int]) -> None:
        """Waits for news, the loss of the store, or the end of the time."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + HOLD_S
        while self.is_current and not self._news(known):
            left_s = until_s - loop.time()
            if left_s <= 0:
                return
            waiting: asyncio.Future[None] = loop.create_future()
            self._waiting.add(waiting)
            try:
                await asyncio.wait((waiting,), timeout=left_s)
            finally:
                self._waiting.discard(waiting)
