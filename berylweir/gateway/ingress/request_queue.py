"""Requests of a connection, in the order of their answers."""

import collections
import itertools
import math

from berylweir.gateway.ingress import models as ingress


class RequestQueue:
    """Requests that have been received and have no complete answer.

    The time of the oldest request is limited by the deadlines of those behind
    it, since their answers wait for its answer. Its caller leaves at the
    deadlines of requests that were dropped, too.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._entries: collections.deque[ingress.Entry] = collections.deque()
        self._dropped_deadline_s = math.inf

    def __len__(self) -> int:
        """Returns the number of requests."""
        return len(self._entries)

    @property
    def oldest(self) -> ingress.Entry:
        """The request that is answered first."""
        return self._entries[0]

    @property
    def may_run_another(self) -> bool:
        """Whether an idempotent request may run beside those in the queue.

        Nothing follows a rejected request, or one that ends the connection.
        """
        if not self._entries:
            return True
        last = self._entries[-1]
        return isinstance(last, ingress.PendingRequest) and last.keep_alive

    def append(self, entry: ingress.Entry) -> None:
        """Adds a request that was received."""
        self._entries.append(entry)
        if len(self._entries) > 1 and isinstance(entry, ingress.PendingRequest):
            self._limit_oldest(entry.request.deadline_s)

    def remove_oldest(self) -> None:
        """Removes the oldest request, whose answer has been written."""
        self._entries.popleft()
        is_limited = self._dropped_deadline_s < math.inf
        if len(self._entries) > 1 or (self._entries and is_limited):
            self._limit_oldest(
                min(
                    (
                        e.request.deadline_s
                        for e in itertools.islice(self._entries, 1, None)
                        if isinstance(e, ingress.PendingRequest)
                    ),
                    default=math.inf,
                )
            )

    def limit_by_dropped(self, deadline_s: float) -> None:
        """Makes room for the answers in front of a request that is dropped.

        Args:
            deadline_s: When its caller leaves, on the loop's clock, in seconds.
        """
        self._dropped_deadline_s = min(self._dropped_deadline_s, deadline_s)
        if self._entries:
            self._limit_oldest(math.inf)

    def clear(self) -> list[ingress.PendingRequest]:
        """Removes all entries, and returns those that weren't rejected."""
        pending = [
            e for e in self._entries if isinstance(e, ingress.PendingRequest)
        ]
        self._entries.clear()
        return pending

    def _limit_oldest(self, next_deadline_s: float) -> None:
        oldest = self._entries[0]
        if isinstance(oldest, ingress.PendingRequest):
            oldest.limit_answer(min(next_deadline_s, self._dropped_deadline_s))
