"""Recent changes of a kind, for gateways that follow this one."""

import collections
from collections.abc import Iterable
import itertools

from berylweir.platform import store

# Changes that are kept; a gateway that missed more gets all objects.
MAX_CHANGES = 512


class ChangeLog:
    """The changes since some revision of the store, oldest first."""

    def __init__(self) -> None:
        """Creates a history that is complete from no revision on."""
        self._changes: collections.deque[tuple[int, store.ObjectChange]] = (
            collections.deque()
        )
        self._complete_from: int | None = None

    def reset(self, revision: int) -> None:
        """Forgets all changes; complete from `revision` on."""
        self._changes.clear()
        self._complete_from = revision

    def add(self, changes: Iterable[store.ObjectChange], revision: int) -> None:
        """Takes the changes that led to a revision."""
        if self._complete_from is None:
            return
        for change in changes:
            self._changes.append((revision, change))
        while len(self._changes) > MAX_CHANGES:
            self._complete_from = max(
                self._complete_from, self._changes.popleft()[0]
            )

    def has_changes_after(self, revision: int) -> bool:
        """Returns whether there are changes after a revision, or may be."""
        if self._complete_from is None or revision < self._complete_from:
            return True
        return bool(self._changes) and self._changes[-1][0] > revision

    def changes_after(self, revision: int) -> list[store.ObjectChange] | None:
        """Returns the changes after a revision; None if some are forgotten."""
        if self._complete_from is None or revision < self._complete_from:
            return None
        newer = itertools.takewhile(
            lambda entry: entry[0] > revision, reversed(self._changes)
        )
        return [change for _, change in newer][::-1]
