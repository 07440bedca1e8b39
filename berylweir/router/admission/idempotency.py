"""Recognises repeats of non-idempotent requests by their idempotency keys.

The table stores for each non-idempotent request that this home admitted:
- its id as a number, so that two spellings of a UUID are the same id;
- whether it is unfinished, done (the whole response arrived) or unknown (sent,
  but the whole response didn't arrive);
- the order in which requests ended.

It also stores the floor, a wall-clock time. The outcome of an id that was
created at or before the floor, or before `clock_skew_s` after this VM became
home of the request's slice, is reported as unknown, because a request with that
id may have run without being in the table. A VM becomes home of a slice when it
becomes home of the slice's owner, and when the slice moves to a server whose
home it is already. An id is only removed by raising the floor to its
creation time. No id that was sent can therefore run again, even if a clock
jumps in either direction.

Ids of ended requests are removed `retention_s` after their creation. They are
removed earlier, in the order in which the requests ended, if there are more
than `max_entries`. New requests are still admitted then, but the floor rises
closer to the current time, and the outcome is reported as unknown for repeats
of removed ids and for first attempts that arrive after the floor has passed
their creation time. Unfinished requests are never removed; the slots and the
queue limits bound their number.

A request that was never sent is removed, so that the refusal `not-run` stays
true and the caller may send it again with the same id.
"""

import collections
import enum
import functools

import result

from berylweir.refusals import models as refusals

_MILLISECONDS = 1000.0
_UUID_DIGITS = 32
_UUID_VERSION = 7
# An id is parsed when its request is admitted and when it ends. The cache saves
# the second parse for requests that wait or are in flight.
_UUID_CACHE_SIZE = 1024


class _EndState(enum.Enum):
    DONE = "done"
    UNKNOWN = "unknown"


@functools.lru_cache(_UUID_CACHE_SIZE)
def parse_uuid7(
    request_id: str,
) -> result.Result[int, refusals.BadRequestId]:
    """Returns a version 7 UUID as a number, or a refusal if it is not one."""
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
    """Returns the creation time in a version 7 UUID, as Unix time."""
    return (number >> 80) / _MILLISECONDS


class IdempotencyTable:
    """Table of the non-idempotent requests that one home has admitted."""

    def __init__(
        self,
        retention_s: float,
        clock_skew_s: float,
        max_entries: int = 100_000,
        started_at_s: float = 0.0,
    ) -> None:
        """Creates an empty table.

        Args:
            retention_s: How long the id of an ended request is kept, in
                seconds after its creation.
            clock_skew_s: Largest difference between the clocks of callers and
                VMs, in seconds.
            max_entries: Largest number of ids of ended requests.
            started_at_s: Wall-clock time from which all requests that this VM
                runs are in the table, in seconds.
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
        """Returns the number of ids in the table."""
        return len(self._unfinished) + len(self._ended)

    @property
    def floor_s(self) -> float:
        """Wall-clock time, in seconds; ids created until then are refused."""
        return self._floor_s

    def register(
        self, request_id: str, home_since_s: float, wall_s: float
    ) -> result.Result[None, refusals.Refusal]:
        """Adds an admitted request, or returns why it must not run.

        Args:
            request_id: Id of the request.
            home_since_s: Wall-clock time at which this VM became home of the
                request's slice, in seconds.
            wall_s: Wall-clock time now, in seconds.
        """
        match parse_uuid7(request_id):
            case result.Err(refusal):
                return result.Err(refusal)
            case result.Ok(number):
                pass
        repeat = self._repeat_refusal(number, request_id)
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
        """Returns the refusal of a repeat, or None if the id is unknown."""
        match parse_uuid7(request_id):
            case result.Ok(number):
                return self._repeat_refusal(number, request_id)
            case result.Err(_):
                return None

    def finish(self, request_id: str, *, has_response: bool) -> None:
        """Records that a request that was sent has ended.

        Args:
            request_id: Id of the request.
            has_response: Whether the server's whole response arrived.
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
        """Removes the id of a request that was not sent or has not run."""
        self._unfinished.discard(parse_uuid7(request_id).unwrap_or(0))

    def _repeat_refusal(
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
