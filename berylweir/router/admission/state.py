"""Admission state of a home, owned and changed by one task."""

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
    """A ticket that was started and has not ended.

    Attributes:
        ticket: The ticket.
        started_s: When it was started, in seconds on the monotonic clock.
        is_isolated: Whether it is a suspect that runs alone.
    """

    ticket: models.Ticket
    started_s: float
    is_isolated: bool = False


@dataclasses.dataclass(slots=True)
class ServerState:
    """Admission state of one backend server.

    Times are in seconds on the monotonic clock.

    Attributes:
        authority: What the keeper allows for the server.
        has_isolated_ticket: Whether a suspect runs alone on it.
        concurrency_limit: Its concurrency limit.
        running: Tickets that were started and have not ended, by ticket id.
        abandoned: For each slice, when a request was last abandoned without a
            response. The server may still be running such a request.
        queue: Tickets that wait for this server.
        service_times: Durations from the start to the end of an exchange.
        first_byte_times: Durations from the start to the first byte of the
            response, where they are known.
        outlier: Whether the server is slow or ejected.
        in_flight_at_cut: Ids of the tickets that were in flight when a
            connection was last cut and have not ended since.
        has_completed_since_cut: Whether one of those tickets has completed.
        connect_failures: Number of consecutive connect failures.
        backoff_until_s: End of the backoff after a connect failure. Until then
            the server gets no unkeyed work if another server can take it.
        last_progress_s: When a response last ended or the server last went
            from idle to busy.
    """

    authority: models.Authority
    has_isolated_ticket: bool = False
    concurrency_limit: concurrency.ConcurrencyLimit = dataclasses.field(
        default_factory=concurrency.ConcurrencyLimit
    )
    running: dict[int, Running] = dataclasses.field(default_factory=dict)
    abandoned: dict[int, float] = dataclasses.field(default_factory=dict)
    queue: fair_queue.FairQueue = dataclasses.field(
        default_factory=fair_queue.FairQueue
    )
    service_times: estimates.DurationStatistics = dataclasses.field(
        default_factory=estimates.DurationStatistics
    )
    first_byte_times: estimates.DurationStatistics = dataclasses.field(
        default_factory=estimates.DurationStatistics
    )
    outlier: outliers.OutlierState = dataclasses.field(
        default_factory=outliers.OutlierState
    )
    in_flight_at_cut: set[int] = dataclasses.field(default_factory=set)
    has_completed_since_cut: bool = False
    connect_failures: int = 0
    backoff_until_s: float = 0.0
    last_progress_s: float = 0.0

    @property
    def limit(self) -> int:
        """The concurrency limit."""
        return self.concurrency_limit.value

    def has_free_slot(self, slots: int) -> bool:
        """Returns whether one more ticket may be started now."""
        return (
            len(self.running) < min(self.concurrency_limit.value, slots)
            and not self.has_isolated_ticket
        )

    def outlier_signals(self, now: float) -> outliers.ServerSignals:
        """Returns the measurements for the outlier detection.

        If no time to the first byte is known, the service time is used
        instead. It is less reliable when responses differ much in length.
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
        """Returns the time since the last progress, in seconds; 0 if idle."""
        return now - self.last_progress_s if self.running else 0.0


@dataclasses.dataclass(slots=True)
class State:
    """Admission state of the servers of one group whose home is this VM.

    Attributes:
        limits: Limits of the group.
        idempotency_table: Table of the group's non-idempotent requests, which
            is kept when servers leave or restart.
        request_id_homes: VMs that share the request ids of an unkeyed group.
        crash_suspects: Requests that may crash servers.
        servers: Backend servers by name.
        former_servers: Servers that have left this home while requests are in
            flight there, by name. If such a server returns, these requests
            still count against its limit.
        shared: Waiting tickets that any server may run.
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
        wall_s: Wall-clock time now, in seconds. Requests created earlier are
            not in the idempotency table, even if this VM was already the home
            then.
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
