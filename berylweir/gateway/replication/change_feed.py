"""Answers gateways that receive the store's changes from this one."""

import asyncio
from collections.abc import Mapping

from berylweir.gateway.peers import messages as peers
from berylweir.gateway.replication import task as replication

# Longest time for which a request is held until a change, in seconds. A
# gateway whose request isn't answered soon after that asks another one.
MAX_HOLD_S = 0.8


class ChangeFeed:
    """Answers long polls of other gateways with the store's changes."""

    def __init__(self, replicas: Mapping[str, replication.Replica]) -> None:
        """Creates a feed without waiting requests.

        Args:
            replicas: Replicas of this gateway by kind.
        """
        self._replicas = replicas
        self._waiters: set[asyncio.Future[None]] = set()

    @property
    def is_current(self) -> bool:
        """Whether all kinds are watched here and the store answers."""
        return all(replica.is_current for replica in self._replicas.values())

    def notify(self) -> None:
        """Wakes the waiting requests, since something may have changed."""
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def get_changes(self, request: peers.GetChanges) -> peers.Changes:
        """Returns the changes of each kind once there are any, or on timeout.

        Args:
            request: Request with the revisions that the asking gateway knows.
        """
        await self._wait_for_changes(request.revisions)
        if not self.is_current:
            return peers.Changes(is_current=False)
        kinds = [
            changes
            for kind, revision in request.revisions.items()
            if kind in self._replicas
            and (changes := self._replicas[kind].changes_after(revision))
        ]
        return peers.Changes(True, kinds)

    async def get_changed_revisions(
        self, request: peers.GetChangedRevisions
    ) -> peers.ChangedRevisions:
        """Returns which kinds changed once one did, or on timeout.

        Args:
            request: Request with the revisions that the asking gateway knows.
        """
        await self._wait_for_changes(request.revisions)
        if not self.is_current:
            return peers.ChangedRevisions(is_current=False)
        return peers.ChangedRevisions(
            True, self._changed_revisions(request.revisions)
        )

    def _changed_revisions(self, known: Mapping[str, int]) -> dict[str, int]:
        return {
            kind: self._replicas[kind].revision
            for kind, revision in known.items()
            if kind in self._replicas
            and self._replicas[kind].has_changes_after(revision)
        }

    async def _wait_for_changes(self, known: Mapping[str, int]) -> None:
        """Waits for a change, the loss of the store, or the timeout."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + MAX_HOLD_S
        while self.is_current and not self._changed_revisions(known):
            remaining_s = until_s - loop.time()
            if remaining_s <= 0:
                return
            waiter: asyncio.Future[None] = loop.create_future()
            self._waiters.add(waiter)
            try:
                await asyncio.wait((waiter,), timeout=remaining_s)
            finally:
                self._waiters.discard(waiter)
