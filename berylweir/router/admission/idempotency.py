"""Recognises repeats of non-idempotent requests.

Remembered for each non-idempotent request that this home admitted:
- its id, as a number, so that two spellings of a UUID are the same id;
- whether it is admitted and not ended, done (the response arrived whole) or
  unknown (sent, but the response didn't arrive whole);
- the order in which requests ended.

Remembered besides: the floor, a wall-clock time. An id made at or before the
floor, or within `clock_skew_s` after this VM became home, is answered as
unknown, because a request with that id may have run without being remembered.
An id is only ever dropped by raising the floor to the time it was made, so no
id that was sent can run again, whatever the clocks do.

Ids of ended requests are dropped `retention_s` after they were made, and
earlier, the first that ended first, when more than `max_entries` are
remembered. At that bound new work continues, and the floor follows the present
more closely: repeats of dropped ids, and first attempts that arrive later than
the floor allows, are answered as unknown. Requests that have not ended are
never dropped; the slots and the queues bound their number.

A request that was never sent is forgotten, so that its refusal `not-run` stays
true and the caller may repeat it with the same id.
"""

import collections
import enum
import functools

import result

from berylweir.refusals import models as refusals

_MILLISECONDS = 1000.0
_UUID_DIGITS = 32
_UUID_VERSION = 7
# Each id is parsed at its begin and at its end: this spares the second time
# for the requests that are in flight or wait.
_UUID_CACHE_SIZE = 1024


class _EndState(enum.Enum):
    DONE = "done"
    UNKNOWN = "unknown"


@functools.lru_cache(_UUID_CACHE_SIZE)
def parse_uuid7(
    request_id: str,
) -> result.Result[int, refusals.BadRequestId]:
    """Returns a version 7 UUID as a number."""
    digits = request_id.replace("-", "")
    if len(digits) != _UUID_DIGITS or not digits.isalnum():
        return result.Err(refusals.BadRequestId("it is not a UUID"))
    try:
        number = int(digits, 16)
    except ValueError:
        return result.Err(refusals.BadRequestId("it is not a UUID"))
    if number >> 76 & 0xF != _UUID_VERSION:
        return result.Err(refusals.BadRequestId("it is not of version 7"))
    return result.Ok(number)


def created_s(number: int) -> float:
    """Returns the wall-clock time in a version 7 UUID, in seconds."""
    return (number >> 80) / _MILLISECONDS


class IdempotencyTable:
    """Ids of the non-idempotent requests that one home has admitted."""

    def __init__(
        self,
        retention_s: float,
        clock_skew_s: float,
        max_entries: int = 100_000,
        started_at_s: float = 0.0,
    ) -> None:
        """Creates an empty ledger.

        Args:
            retention_s: How long an id is kept, in seconds.
            clock_skew_s: Allowance between clocks, in seconds.
            max_entries: Largest number of ids of ended requests.
            started_at_s: Wall-clock time from which each request that this
                VM runs is remembered, in seconds.
        """
        self._retention_s = retention_s
        self._clock_skew_s = clock_skew_s
        self._max_entries = max_entries
        self._floor_s = started_at_s + clock_skew_s
        self._unfinished: set[int] = set()
        self._ended: collections.OrderedDict[int, _EndState] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Returns the number of ids kept."""
        return len(self._unfinished) + len(self._ended)

    @property
    def floor_s(self) -> float:
        """Ids made at or before this wall-clock time are not run."""
        return self._floor_s

    def register(
        self, request_id: str, home_since_s: float, wall_s: float
    ) -> result.Result[None, refusals.Refusal]:
        """Notes that a request is admitted, or says why it must not run.

        Args:
            request_id: Id of the request.
            home_since_s: Wall-clock time at which this home began, in seconds.
            wall_s: Wall-clock time now, in seconds.
        """
        match parse_uuid7(request_id):
            case result.Err(refusal):
                return result.Err(refusal)
            case result.Ok(number):
                pass
        repeat = self._refusal_of_repeat(number, request_id)
        if repeat is not None:
            return result.Err(repeat)
        self._drop_expired(wall_s)
        created_at_s = created_s(number)
        oldest_s = max(
            self._floor_s,
            home_since_s + self._clock_skew_s,
            wall_s - self._retention_s + self._clock_skew_s,
        )
        if created_at_s <= oldest_s:
            return result.Err(refusals.RepeatUnknown(request_id))
        if created_at_s > wall_s + self._clock_skew_s:
            return result.Err(
                refusals.BadRequestId("it was created in the future")
            )
        self._unfinished.add(number)
        return result.Ok(None)

    def find_repeat(self, request_id: str) -> refusals.Refusal | None:
        """Returns the refusal of a repeat, or None if the id is not kept."""
        match parse_uuid7(request_id):
            case result.Ok(number):
                return self._refusal_of_repeat(number, request_id)
            case result.Err(_):
                return None

    def finish(self, request_id: str, *, has_response: bool) -> None:
        """Notes that a request that was sent has ended.

        Args:
            request_id: Id of the request.
            has_response: Whether the server's response arrived whole.
        """
        number = parse_uuid7(request_id).unwrap_or(0)
        if number not in self._unfinished:
            return
        self._unfinished.remove(number)
        self._ended[number] = (
            _EndState.DONE if has_response else _EndState.UNKNOWN
        )
        if len(self._ended) > self._max_entries:
            self._drop_oldest()

    def remove_unsent(self, request_id: str) -> None:
        """Removes an id whose request never left this VM."""
        self._unfinished.discard(parse_uuid7(request_id).unwrap_or(0))

    def _refusal_of_repeat(
        self, number: int, request_id: str
    ) -> refusals.Refusal | None:
        if number in self._unfinished:
            return refusals.RepeatRunning(request_id)
        match self._ended.get(number):
            case None:
                return None
            case _EndState.DONE:
                return refusals.RepeatDone(request_id)
            case _EndState.UNKNOWN:
                return refusals.RepeatUnknown(request_id)

    def _drop_expired(self, wall_s: float) -> None:
        while self._ended:
            if wall_s - created_s(next(iter(self._ended))) < self._retention_s:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        number, _ = self._ended.popitem(last=False)
        self._floor_s = max(self._floor_s, created_s(number))
