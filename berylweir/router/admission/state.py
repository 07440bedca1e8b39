"""State of a home, owned and changed by one task."""

from collections.abc import Iterator
import dataclasses

from berylweir.router.admission import concurrency
from berylweir.router.admission import crash_suspects
from berylweir.router.admission import estimates
from berylweir.router.admission import fair_queue
from berylweir.router.admission import idempotency
from berylweir.router.admission import models
from berylweir.router.admission import outliers
from berylweir.router.admission import request_id_homes


@dataclasses.dataclass(slots=True)
class Running:
    """A ticket that was handed out.

    Attributes:
        ticket: The ticket.
        started_s: When it was handed out, on the monotonic clock.
        is_isolated: Whether it is a suspect that runs alone.
    """

    ticket: models.Ticket
    started_s: float
    is_isolated: bool = False


@dataclasses.dataclass(slots=True)
class ServerState:
    """One backend server as its home sees it.

    Attributes:
        authority: What the keeper allows.
        has_isolated: Whether a suspect runs alone on it.
        concurrency_limit: Its concurrency limit.
        running: Tickets that were handed out and have not ended.
        abandoned: When a request of the slice was last given up without an
            answer; the server may still run it.
        queue: Tickets that wait for this server.
        service_times: Service times, from hand-out to the end.
        first_byte_times: Times to the first byte, as far as they are known.
        outlier: Whether it is usual, slow or ejected.
        in_flight_at_cut: Ids of the tickets that were in flight at the last cut
            and have not ended since.
        has_survivor: Whether one of them has completed.
        connect_failures: Connect failures in a row.
        backoff_until_s: No unkeyed work until then, if others can take it.
        last_progress_s: When it last gave a response or became busy.
    """

    authority: models.Authority
    has_isolated: bool = False
    concurrency_limit: concurrency.ConcurrencyLimit = dataclasses.field(
        default_factory=concurrency.ConcurrencyLimit
    )
    running: dict[int, Running] = dataclasses.field(default_factory=dict)
    abandoned: dict[int, float] = dataclasses.field(default_factory=dict)
    queue: fair_queue.FairQueue = dataclasses.field(
        default_factory=fair_queue.FairQueue
    )
    service_times: estimates.ServiceTimes = dataclasses.field(
        default_factory=estimates.ServiceTimes
    )
    first_byte_times: estimates.ServiceTimes = dataclasses.field(
        default_factory=estimates.ServiceTimes
    )
    outlier: outliers.OutlierState = dataclasses.field(
        default_factory=outliers.OutlierState
    )
    in_flight_at_cut: set[int] = dataclasses.field(default_factory=set)
    has_survivor: bool = False
    connect_failures: int = 0
    backoff_until_s: float = 0.0
    last_progress_s: float = 0.0

    @property
    def limit(self) -> int:
        """The concurrency limit."""
        return self.concurrency_limit.value

    def has_free_slot(self, slots: int) -> bool:
        """Returns whether one more ticket may run beside those in flight."""
        return (
            len(self.running) < min(self.concurrency_limit.value, slots)
            and not self.has_isolated
        )

    def outlier_signals(self, now: float) -> outliers.ServerSignals:
        """Returns what has been seen of its speed.

        The service time stands in for a time to the first byte that is not
        reported; it misleads where responses differ much in length.
        """
        times = (
            self.first_byte_times
            if self.first_byte_times.samples
            else self.service_times
        )
        return outliers.ServerSignals(
            times.mean_s, times.samples, self.stall_s(now)
        )

    def stall_s(self, now: float) -> float:
        """Returns the time since the last sign of progress, in seconds."""
        return now - self.last_progress_s if self.running else 0.0


@dataclasses.dataclass(slots=True)
class State:
    """All backend servers of a group whose home is this VM.

    Attributes:
        limits: Limits of the group.
        idempotency_table: Ids of non-idempotent work; outlives every server.
        request_id_homes: VMs that share the ids of an unkeyed group.
        crash_suspects: Requests that may crash servers.
        servers: Backend servers by name.
        former_servers: Servers that are no longer at this home while requests
            are in flight there; a server that returns keeps counting them.
        shared: Tickets that any server may run.
    """

    limits: models.Limits
    idempotency_table: idempotency.IdempotencyTable
    request_id_homes: request_id_homes.RequestIdHomes
    crash_suspects: crash_suspects.CrashSuspects
    servers: dict[str, ServerState] = dataclasses.field(default_factory=dict)
    former_servers: dict[str, ServerState] = dataclasses.field(
        default_factory=dict
    )
    shared: fair_queue.FairQueue = dataclasses.field(
        default_factory=fair_queue.FairQueue
    )

    def queues(self) -> Iterator[fair_queue.FairQueue]:
        """Yields all queues."""
        yield self.shared
        for server in self.servers.values():
            yield server.queue


def new_state(limits: models.Limits, wall_s: float = 0.0) -> State:
    """Returns a state without backend servers.

    Args:
        limits: Limits of the group.
        wall_s: Wall-clock time now, in seconds. Work from before is not in
            the ledger, even if this VM was home already.
    """
    return State(
        limits,
        idempotency.IdempotencyTable(
            limits.id_retention_s,
            limits.clock_skew_s,
            limits.max_ended_ids,
            wall_s,
        ),
        request_id_homes.RequestIdHomes(limits.clock_skew_s),
        crash_suspects.CrashSuspects(limits.isolation_s, limits.quarantine_s),
    )
