"""Data classes of the admission control.

Points in time are in seconds on the monotonic clock unless stated otherwise.
"""

import dataclasses
import enum

from berylweir import records
from berylweir.refusals import models as refusals


@records.record
class Ticket:
    """A request that asks for admission.

    Attributes:
        id: Number of the request, unique in this process.
        server: Backend server that must run it, or None for any.
        slice: Slice of its key, or None in an unkeyed group.
        caller: Name of the caller, for fair queueing.
        priority: Priority; 0 is the most urgent.
        deadline_s: When the caller stops waiting for the response.
        idempotent: Whether it may run more than once.
        request_id: Idempotency key, or empty.
        fingerprint: Hash of method, target, key and request id. It identifies
            requests that crash servers, also when they are sent again.
        arrived_s: When it arrived.
    """

    id: int
    server: str | None
    slice: int | None
    caller: str
    priority: int
    deadline_s: float
    idempotent: bool
    request_id: str
    fingerprint: int
    arrived_s: float


class Ending(enum.Enum):
    """How the exchange with a backend server ended.

    Members:
        COMPLETED: The whole response arrived.
        FAILED: The whole response arrived, with a status of 500 or more.
        SHED: The server refused the request and stated that it has not run.
        TIMED_OUT: The deadline passed before the whole response arrived.
        CUT: The connection ended before the whole response arrived.
        CANCELLED: The request was sent, but the router gave up on it, for
            example because the caller disconnected.
        NOT_SENT: Nothing of the request was sent.
        CONNECT_FAILED: No connection could be opened.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    SHED = "shed"
    TIMED_OUT = "timed_out"
    CUT = "cut"
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"
    CONNECT_FAILED = "connect_failed"


@records.record
class Run:
    """Decision to run the ticket on the server now."""

    ticket: Ticket
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to refuse the ticket."""

    ticket: Ticket
    refusal: refusals.Refusal


Decision = Run | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the backend servers of one group.

    Attributes:
        group: Name of the server group.
        slots: Largest number of requests that a server runs at a time.
        queue_limit: Largest number of requests in one queue.
        id_retention_s: How long ids of ended non-idempotent requests are kept,
            in seconds after their creation.
        clock_skew_s: Largest difference between the clocks of callers and VMs,
            in seconds.
        quarantine_s: How long a request that crashes servers is refused, in
            seconds.
        idempotent_group: Whether all requests of the group may run more than
            once.
        max_ended_ids: Largest number of ids of ended non-idempotent requests.
        isolation_s: How long a request that was in flight at a crash must run
            alone, in seconds, unless it completes before.
    """

    group: str
    slots: int
    queue_limit: int = 256
    id_retention_s: float = 600.0
    clock_skew_s: float = 1.0
    quarantine_s: float = 600.0
    idempotent_group: bool = False
    max_ended_ids: int = 100_000
    isolation_s: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class Authority:
    """What the keeper allows this home to send to one backend server.

    Attributes:
        server: Name of the backend server.
        instance: Id of the newest known instance of the server, or empty.
        valid_until_s: When the authority to send keyed work expires.
        tokens: Fencing token of each slice that may be served.
        home_since_s: Wall-clock time at which this VM became the server's home,
            in seconds.
        version: Object version from which the slices are taken.
        last_idle_s: When the server last reported no request in flight.
        takes_work: Whether it may get new unkeyed work; false while it or its
            availability zone is leaving service.
        owned_since_s: Wall-clock time at which the home learned that the server
            owns a slice, in seconds, for each slice that may be served.
    """

    server: str
    instance: str
    valid_until_s: float
    tokens: dict[int, int]
    home_since_s: float
    version: int = 0
    last_idle_s: float = 0.0
    takes_work: bool = True
    owned_since_s: dict[int, float] = dataclasses.field(default_factory=dict)

    def home_of_slice_since_s(self, index: int | None) -> float:
        """Returns the wall-clock time since which only this home ran a slice.

        Until then another home may have run requests of the slice: a former
        home of this server, or the home of the slice's former owner.

        Args:
            index: Slice number, or None in an unkeyed group.

        Returns:
            The time, in seconds.
        """
        if index is None:
            return self.home_since_s
        return max(
            self.home_since_s, self.owned_since_s.get(index, self.home_since_s)
        )
