"""Generation of the store, which rises when it is restored from a copy."""

from collections.abc import Callable
import logging

_LOGGER = logging.getLogger(__name__)


class StoreGeneration:
    """Generation of the store, shared by all clients of a process.

    It rises when the store comes back from an older copy. What was written
    since the copy was made is gone then, and revisions are given out again.
    """

    def __init__(self) -> None:
        """Creates the generation of a store that was never called."""
        self._current: int | None = None
        self._listeners: list[Callable[[], None]] = []

    @property
    def current(self) -> int:
        """Highest generation that a response named; 0 if none did."""
        return self._current or 0

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Has a function called after each restoration of the store."""
        self._listeners.append(listener)

    def record(self, generation: int) -> None:
        """Records the generation that a response names."""
        if self._current is not None and generation <= self._current:
            return
        before, self._current = self._current, generation
        if before is None:
            return
        _LOGGER.warning(
            "store restored", extra={"before": before, "generation": generation}
        )
        for listener in self._listeners:
            listener()
