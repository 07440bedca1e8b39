"""Tickets, endings and decisions of the admission.

All times are seconds on the monotonic clock unless stated otherwise.
"""

import dataclasses
import enum

from berylweir import records
from berylweir.refusals import models as refusals


@records.record
class Ticket:
    """A request that wants to run.

    Attributes:
        id: Number of the request in this process.
        server: Backend server that must run it, or None for any.
        slice: Slice of its key, or None in an unkeyed group.
        caller: Caller that it is counted for.
        priority: Priority, 0 is first.
        deadline_s: When its answer is no longer wanted.
        idempotent: Whether it may run more than once.
        request_id: Idempotency key, or empty.
        fingerprint: Hash of method, path and body, to recognise repeats.
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
    """How the exchange with a backend server ended."""

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
    """The ticket may run on the server now."""

    ticket: Ticket
    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The ticket is refused."""

    ticket: Ticket
    refusal: refusals.Refusal


Decision = Run | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of the backend servers of one group.

    Attributes:
        group: Name of the server group.
        slots: Requests that a server runs at a time.
        queue_limit: Requests that may wait for one server.
        id_retention_s: How long ids of non-idempotent work are kept.
        clock_skew_s: Allowance between the clocks of callers and VMs.
        quarantine_s: How long a request that crashes servers is refused.
        idempotent_group: Whether any request of the group may run again.
        max_ended_ids: Ids of ended non-idempotent work that are kept.
        isolation_s: How long a request that was in flight at a crash must run
            alone, unless it finishes well before.
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
    """What the keeper allows for one backend server.

    Attributes:
        server: Name of the backend server.
        instance: Newest instance of the server, or empty.
        valid_until_s: End of the authority to send keyed work.
        tokens: Fencing token of each slice that may be served.
        since_s: Wall-clock time at which this VM became home, in seconds.
        version: Object version that the slices are taken from.
        idle_s: When the server was last seen without any request.
        takes_work: Whether it may get new unkeyed work; false while it or its
            availability zone is leaving service.
    """

    server: str
    instance: str
    valid_until_s: float
    tokens: dict[int, int]
    since_s: float
    version: int = 0
    idle_s: float = 0.0
    takes_work: bool = True
