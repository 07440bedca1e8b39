"""Decides from the servers that ended under a request whether it crashes them.

A request is harmful if server after server ends under it, and none survives it.
Servers that end at the same time, as in the loss of a rack, end under many
harmless requests, and under several copies of a frequent one. They count once:
only a server that got the request after an earlier one had ended counts again.
A request that a server has completed since then is cleared.
"""

import collections
from collections.abc import Iterable
import dataclasses
import enum

# Ends after which a request is suspected, and after which it is refused.
SUSPECT_COUNT = 2
HARMFUL_COUNT = 3
# Time after which an end no longer counts, in seconds.
MEMORY_S = 600.0
# Requests and ends of servers that are remembered at most.
_MAX_REQUESTS = 2048
_MAX_ENDS_PER_REQUEST = 16


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEnd:
    """A server that ended while it had a request.

    Times are on one monotonic clock, in seconds.

    Attributes:
        server: Id of the server.
        born_ms: Unix time of the start of its instance, in ms.
        sent_s: When the request was sent to it.
        ended_s: When its connection was lost.
        reporter: Name of the VM that sent the request.
        request_id: Id of the request.
    """

    server: str
    born_ms: int
    sent_s: float
    ended_s: float
    reporter: str
    request_id: str


class Finding(enum.Enum):
    """What the ended servers say of a request."""

    UNSUSPECTED = "unsuspected"
    SUSPECTED = "suspected"
    HARMFUL = "harmful"


@dataclasses.dataclass(slots=True)
class _Record:
    ends: dict[tuple[str, int], ServerEnd] = dataclasses.field(
        default_factory=dict
    )
    completed_s: float = float("-inf")


class Evidence:
    """The servers that ended under requests, by the requests' fingerprints."""

    def __init__(self) -> None:
        """Creates a memory without requests."""
        # The request that was recorded last comes last.
        self._records: collections.OrderedDict[int, _Record] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of requests that are remembered."""
        return len(self._records)

    def record(
        self,
        fingerprint: int,
        ends: Iterable[ServerEnd],
        completed_s: float = float("-inf"),
    ) -> None:
        """Adds servers that ended under a request.

        Args:
            fingerprint: Fingerprint of the request.
            ends: The servers; known ones are ignored.
            completed_s: When a server last completed the request, as far as
                the reporter knows.
        """
        record = self._records.setdefault(fingerprint, _Record())
        self._records.move_to_end(fingerprint)
        if len(self._records) > _MAX_REQUESTS:
            self._records.popitem(last=False)
        record.completed_s = max(record.completed_s, completed_s)
        for end in ends:
            if len(record.ends) >= _MAX_ENDS_PER_REQUEST:
                break
            record.ends.setdefault((end.server, end.born_ms), end)

    def record_completion(self, fingerprint: int, completed_s: float) -> None:
        """Clears a request of all ends until a server completed it."""
        record = self._records.get(fingerprint)
        if record is not None:
            record.completed_s = max(record.completed_s, completed_s)

    def ends(self, fingerprint: int, now_s: float) -> list[ServerEnd]:
        """Returns the ends that count against a request, the oldest first.

        Of ends that overlap, only the first one counts. Two ends overlap if
        the request was sent to one server before the other one ended.
        """
        counted: list[ServerEnd] = []
        for end in self.all_ends(fingerprint, now_s):
            if not counted or end.sent_s > counted[-1].ended_s:
                counted.append(end)
        return counted

    def all_ends(self, fingerprint: int, now_s: float) -> list[ServerEnd]:
        """Returns all ends since the request was last completed."""
        record = self._records.get(fingerprint)
        if record is None:
            return []
        oldest_s = max(record.completed_s, now_s - MEMORY_S)
        return sorted(
            (e for e in record.ends.values() if e.ended_s > oldest_s),
            key=lambda e: e.ended_s,
        )

    def suspects(self, now_s: float) -> list[int]:
        """Returns the fingerprints of all suspected and harmful requests."""
        return [
            fingerprint
            for fingerprint in self._records
            if len(self.ends(fingerprint, now_s)) >= SUSPECT_COUNT
        ]

    def find(
        self, fingerprint: int, now_s: float, *, was_harmful: bool = False
    ) -> Finding:
        """Returns what is known of a request.

        Args:
            fingerprint: Fingerprint of the request.
            now_s: Current time.
            was_harmful: Whether it was found to be harmful earlier; one end is
                enough then.
        """
        count = len(self.ends(fingerprint, now_s))
        if count >= HARMFUL_COUNT or (was_harmful and count):
            return Finding.HARMFUL
        if count >= SUSPECT_COUNT:
            return Finding.SUSPECTED
        return Finding.UNSUSPECTED
