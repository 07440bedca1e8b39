"""Requests that are refused because they crash servers."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

# Time for which a request is refused at first, in ms. It doubles each time that
# the request crashes a server again after that, up to the maximum.
_FIRST_DURATION_MS = 600_000
_MAX_DURATION_MS = 8 * _FIRST_DURATION_MS
# Requests that are remembered at most; the one that expires first is dropped.
_MAX_REQUESTS = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """A request that is refused.

    Attributes:
        fingerprint: Fingerprint of the request.
        until_ms: Until when it is refused, as Unix time in ms; 0 if an operator
            lifted the refusal.
        duration_ms: Time for which it is refused in all, in ms.
        servers: Ids of the servers that ended under it.
        reporters: Names of the VMs that saw it.
        request_ids: Ids of requests under which they ended.
    """

    fingerprint: int
    until_ms: int
    duration_ms: int = _FIRST_DURATION_MS
    servers: tuple[str, ...] = ()
    reporters: tuple[str, ...] = ()
    request_ids: tuple[str, ...] = ()

    @property
    def is_lifted(self) -> bool:
        """Whether an operator lifted the refusal."""
        return self.until_ms == 0

    @property
    def started_ms(self) -> int:
        """Since when it is refused, as Unix time in ms."""
        return self.until_ms - self.duration_ms

    @property
    def forgotten_ms(self) -> int:
        """When it is forgotten, as Unix time in ms.

        Until then, one more crash is enough to refuse the request again.
        """
        return self.until_ms + self.duration_ms


class Quarantine:
    """All refused requests that this VM knows."""

    def __init__(self) -> None:
        """Creates a quarantine without entries."""
        self._entries: dict[int, Entry] = {}
        # The last lifted entry of a request, and when this VM learned of it,
        # as Unix time in ms.
        self._lifted: dict[int, tuple[Entry, float]] = {}

    @property
    def entries(self) -> Mapping[int, Entry]:
        """All entries by fingerprint, also expired ones."""
        return self._entries

    def left_ms(self, fingerprint: int, now_ms: float) -> float:
        """Returns for how long a request is refused, in ms; 0 if it isn't.

        Args:
            fingerprint: Fingerprint of the request.
            now_ms: Unix time in ms.
        """
        entry = self._entries.get(fingerprint)
        return max(0.0, entry.until_ms - now_ms) if entry is not None else 0.0

    def count(self, now_ms: float) -> int:
        """Returns the number of requests that are refused now."""
        return sum(e.until_ms > now_ms for e in self._entries.values())

    def build_entry(
        self,
        fingerprint: int,
        now_ms: float,
        *,
        servers: Iterable[str],
        reporters: Iterable[str],
        request_ids: Iterable[str],
    ) -> Entry:
        """Returns the entry for a request that was found to be harmful."""
        known = self._entries.get(fingerprint)
        duration_ms = (
            _FIRST_DURATION_MS
            if known is None
            else min(2 * known.duration_ms, _MAX_DURATION_MS)
        )
        return Entry(
            fingerprint,
            int(now_ms) + duration_ms,
            duration_ms,
            tuple(servers),
            tuple(sorted(set(reporters))),
            tuple(request_ids),
        )

    def merge(self, entries: Iterable[Entry], now_ms: float) -> list[Entry]:
        """Adds entries; of two for one request the later one counts.

        An entry that an operator lifted ends the refusals that had started
        before this VM learned of it.

        Args:
            entries: The entries.
            now_ms: Unix time in ms.

        Returns:
            The entries that changed what is known.
        """
        changed = []
        for entry in entries:
            if not self._is_news(entry, now_ms):
                continue
            if entry.is_lifted:
                self._lifted[entry.fingerprint] = entry, now_ms
            self._entries[entry.fingerprint] = entry
            changed.append(entry)
        self._forget(now_ms)
        return changed

    def _is_news(self, entry: Entry, now_ms: float) -> bool:
        known = self._entries.get(entry.fingerprint)
        lifted, lifted_ms = self._lifted.get(entry.fingerprint, (None, 0.0))
        if entry.is_lifted:
            # The store may still have the object of an earlier refusal.
            return known is not None and not known.is_lifted and entry != lifted
        if entry.forgotten_ms <= now_ms:
            return False
        if lifted is not None and entry.started_ms <= lifted_ms:
            return False
        return known is None or entry.until_ms > known.until_ms

    def _forget(self, now_ms: float) -> None:
        for fingerprint, entry in list(self._entries.items()):
            if not entry.is_lifted and entry.forgotten_ms <= now_ms:
                self._remove(fingerprint)
        while len(self._entries) > _MAX_REQUESTS:
            first = min(self._entries.values(), key=lambda e: e.until_ms)
            self._remove(first.fingerprint)

    def _remove(self, fingerprint: int) -> None:
        del self._entries[fingerprint]
        self._lifted.pop(fingerprint, None)
