"""Log of the recent changes of a kind, for gateways that follow this one."""

import collections
from collections.abc import Iterable
import itertools

from berylweir.platform import store

# Number of changes that are kept. A gateway that missed more gets all objects.
MAX_CHANGES = 512


class ChangeLog:
    """Bounded log of changes, complete after some revision of the store."""

    def __init__(self) -> None:
        """Creates a log that isn't complete after any revision yet."""
        self._changes: collections.deque[tuple[int, store.ObjectChange]] = (
            collections.deque()
        )
        self._complete_from: int | None = None

    def reset(self, revision: int) -> None:
        """Clears the log and makes it complete after a revision.

        Args:
            revision: Revision of the store up to which all changes are known.
        """
        self._changes.clear()
        self._complete_from = revision

    def add(self, changes: Iterable[store.ObjectChange], revision: int) -> None:
        """Appends changes and drops the oldest ones beyond `MAX_CHANGES`.

        Args:
            changes: Changes in the order in which they were made.
            revision: Revision of the store up to which they lead.
        """
        if self._complete_from is None:
            return
        for change in changes:
            self._changes.append((revision, change))
        while len(self._changes) > MAX_CHANGES:
            self._complete_from = max(
                self._complete_from, self._changes.popleft()[0]
            )

    def has_changes_after(self, revision: int) -> bool:
        """Returns whether there are changes after a revision.

        Returns True as well if the log doesn't reach back that far.
        """
        if self._complete_from is None or revision < self._complete_from:
            return True
        return bool(self._changes) and self._changes[-1][0] > revision

    def changes_after(self, revision: int) -> list[store.ObjectChange] | None:
        """Returns the changes after a revision, oldest first.

        Returns None if the log doesn't reach back that far.
        """
        if self._complete_from is None or revision < self._complete_from:
            return None
        newer = itertools.takewhile(
            lambda entry: entry[0] > revision, reversed(self._changes)
        )
        return [change for _, change in newer][::-1]
