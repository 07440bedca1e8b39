"""State that the dispatcher keeps about one backend server."""

import dataclasses
import random
import typing

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import connection_pool
from berylweir.gateway.dispatch import retry_budget
from berylweir.gateway.dispatch import slow_start

# Weight of a new service time in the exponentially weighted moving average.
_SERVICE_TIME_WEIGHT = 0.06
# Half-life of the last load report, in seconds: about two service times. As its
# weight decays, the estimate moves to the average of earlier reports.
_REPORT_HALF_LIFE_S = 0.2
# Half-life of the average load while no report arrives, in seconds.
_AVERAGE_HALF_LIFE_S = 2.0
# Weight of a new report in the moving average of the load from other VMs.
_OTHER_VMS_LOAD_WEIGHT = 0.25
# Age after which a reported slowness is ignored, in seconds. The slowness of a
# machine changes many times per second.
_SLOWNESS_MAX_AGE_S = 0.15
# Requests assumed to wait in the queue of a server that rejects a request.
_FULL_QUEUE_LENGTH = 12
# Outlier ejection: other servers are preferred after this many consecutive
# failures.
_EJECTION_FAILURES = 3
# Duration of an ejection, in seconds. It doubles with each consecutive ejection
# up to the maximum.
_EJECTION_BASE_S = 1.0
_EJECTION_MAX_S = 8.0
# Backoff from a server that rejected a request because it is full, in seconds.
# It doubles with each rejection up to the maximum.
_SHED_BACKOFF_BASE_S = 0.1
_SHED_BACKOFF_MAX_S = 2.0
# The same limits in rounds, if those are longer. A round is the time in which
# the server runs one request of each VM: the more VMs send to a server, the
# longer each of them backs off.
_SHED_BACKOFF_BASE_ROUNDS = 0.25
_SHED_BACKOFF_MAX_ROUNDS = 1.0
# A full server resets a connection at once; a server that resets it later has
# run the request. A reset counts as a rejection if it comes within this share
# of the usual service time.
_EARLY_RESET_SHARE = 0.3
# A response is overdue after this multiple of the usual service time, but not
# before the shortest time, in seconds.
_OVERDUE_SERVICE_TIMES = 3.0
_MIN_OVERDUE_S = 0.3
# Service time assumed for a server without a measurement, in ms.
DEFAULT_SERVICE_MS = 100.0


@dataclasses.dataclass(slots=True)
class ServerState:
    """What this VM knows of one instance of a backend server.

    Attributes:
        server: Its entry in the store.
        in_flight: Requests of this VM at the server.
        pool: Idle connections to the server.
        cold_until_s: When its slow start ends, on the loop's clock, in seconds.
        pacer: Spaces requests during slow start.
        service_ms: Moving average of the service time without queueing, in ms;
            0 until a request was served.
        ejected_until_s: Until when other servers are preferred after
            consecutive failures, on the loop's clock, in seconds.
        full_until_s: Until when it counts as full after a rejection, on the
            loop's clock, in seconds.
        limit: Requests per second that the server takes from all VMs
            together, as it stated; None if it stated no limit.
        permit_available_s: When that limit allows another request, on the
            loop's clock, in seconds; in the past unless a permit was denied.
        leaving_since_s: When it first said that it is leaving, on the loop's
            clock, in seconds; None if it hasn't.
        paused_until_s: Until when it wants no requests of this VM, on the
            loop's clock, in seconds.
        served: Requests served since the last usage report.
        failed: Requests failed since the last usage report.
    """

    server: models.BackendServer
    in_flight: int = 0
    pool: connection_pool.ConnectionPool = dataclasses.field(
        default_factory=connection_pool.ConnectionPool
    )
    cold_until_s: float = float("-inf")
    pacer: slow_start.Pacer = dataclasses.field(
        default_factory=slow_start.Pacer
    )
    service_ms: float = 0.0
    ejected_until_s: float = float("-inf")
    full_until_s: float = float("-inf")
    limit: float | None = None
    permit_available_s: float = float("-inf")
    leaving_since_s: float | None = None
    paused_until_s: float = float("-inf")
    served: int = 0
    failed: int = 0
    _other_vms_load: float = 0.0
    _average_other_vms_load: float = 0.0
    _slowness: float = 1.0
    _load_reported_s: float = float("-inf")
    _service_time_samples: int = 0
    _consecutive_failures: int = 0
    _consecutive_ejections: int = 0
    _shed_backoff_level: int = 0

    def estimated_load(self, now_s: float) -> float:
        """Returns the estimated number of requests at the server.

        The load of other VMs is estimated from the last report of the server,
        whose weight decays in favour of the moving average of all reports.
        """
        age_s = now_s - self._load_reported_s
        if age_s > 10 * _AVERAGE_HALF_LIFE_S:
            return float(self.in_flight)
        report_weight: float = 0.5 ** (age_s / _REPORT_HALF_LIFE_S)
        average_load = self._average_other_vms_load * 0.5 ** (
            age_s / _AVERAGE_HALF_LIFE_S
        )
        other_vms_load: float = (
            report_weight * self._other_vms_load
            + (1.0 - report_weight) * average_load
        )
        return self.in_flight + other_vms_load

    def slowness(self, now_s: float) -> float:
        """Returns the current duration of work relative to the usual one."""
        if now_s - self._load_reported_s > _SLOWNESS_MAX_AGE_S:
            return 1.0
        return self._slowness

    def take_usage(self) -> messages.ServerUsage | None:
        """Returns the usage since the last call; None if there is none."""
        is_leaving = self.leaving_since_s is not None
        if not (self.served or self.failed or is_leaving) and (
            self.limit is None
        ):
            return None
        usage = messages.ServerUsage(
            self.served,
            self.failed,
            self.service_ms,
            self.limit,
            self.server.born_ms if is_leaving else None,
        )
        self.served = self.failed = 0
        return usage

    def start_request(self) -> None:
        """Counts a request that is sent to the server."""
        self.in_flight += 1

    def cancel_request(self) -> None:
        """Takes back a request that wasn't sent."""
        self.in_flight -= 1

    @property
    def is_shedding(self) -> bool:
        """Whether it rejected requests recently.

        Such a server gets one request at a time.
        """
        return self._shed_backoff_level > 0

    @property
    def overdue_after_s(self) -> float:
        """Time after which a missing response is suspicious, in seconds."""
        service_s = (self.service_ms or DEFAULT_SERVICE_MS) / 1000.0
        return max(_MIN_OVERDUE_S, _OVERDUE_SERVICE_TIMES * service_s)

    def finish_request(
        self,
        finished: messages.AttemptFinished,
        now_s: float,
        vm_count: int = 1,
    ) -> None:
        """Updates the estimates with the result of a request.

        Args:
            finished: Result of the request.
            now_s: Time on the loop's clock, in seconds.
            vm_count: Number of VMs that send to the server.
        """
        self.in_flight -= 1
        self.apply_statements(finished.statements, now_s)
        match finished.attempt_result:
            case messages.AttemptResult.SERVED:
                self.served += 1
                self._consecutive_failures = 0
                self._consecutive_ejections = 0
                self._shed_backoff_level //= 2
                self._record_service_time(finished)
            case messages.AttemptResult.FAILED | messages.AttemptResult.BROKEN:
                self._record_failure(now_s)
            case (
                messages.AttemptResult.EXPIRED
                | messages.AttemptResult.UNREACHABLE
            ):
                self._record_failure(now_s)
            case messages.AttemptResult.RESET:
                # Servers of some groups reset connections when they are full.
                if finished.placement.load >= self.server.slots:
                    self._record_other_vms_load(
                        self.server.slots + _FULL_QUEUE_LENGTH
                    )
                    self._load_reported_s = now_s
                service_s = (self.service_ms or DEFAULT_SERVICE_MS) / 1000.0
                if finished.elapsed_s < _EARLY_RESET_SHARE * service_s:
                    self._back_off(now_s, vm_count)
                self._record_failure(now_s)
            case messages.AttemptResult.SHED:
                self._record_other_vms_load(
                    self.server.slots + _FULL_QUEUE_LENGTH
                )
                self._load_reported_s = now_s
                self._back_off(now_s, vm_count)
            case (
                messages.AttemptResult.MISDIRECTED
                | messages.AttemptResult.ABANDONED
                | messages.AttemptResult.STALE
            ):
                pass

    def apply_statements(
        self, statements: models.ServerStatements, now_s: float
    ) -> None:
        """Updates what the server says of itself.

        Args:
            statements: What it said in a response.
            now_s: Time on the loop's clock, in seconds.
        """
        load = statements.load
        if load is not None:
            server_load = load.running + load.waiting
            self._record_other_vms_load(max(0.0, server_load - self.in_flight))
            self._slowness = load.slowness
            self._load_reported_s = now_s
        if statements.cold_ms is not None and statements.cold_ms > 0:
            self.cold_until_s = now_s + statements.cold_ms / 1000.0
        match statements.rate_limit:
            case models.RateLimited(per_s):
                self.limit = per_s
            case models.NotRateLimited():
                self.limit = None
            case models.RateLimitUnstated() | models.RateLimitInvalid():
                pass
            case _:
                typing.assert_never(statements.rate_limit)
        if statements.is_leaving and self.leaving_since_s is None:
            self.leaving_since_s = now_s
        match statements.pause:
            case models.Pause(duration_s) | models.PauseShortened(duration_s):
                self.paused_until_s = now_s + duration_s
            case models.PauseInvalid() | None:
                pass
            case _:
                typing.assert_never(statements.pause)

    def restore_statements(self, earlier: "ServerState") -> None:
        """Takes over what the same instance said before its entry lapsed."""
        self.cold_until_s = earlier.cold_until_s
        self.limit = earlier.limit
        self.permit_available_s = earlier.permit_available_s
        self.paused_until_s = earlier.paused_until_s

    def _record_other_vms_load(self, other_vms_load: float) -> None:
        self._other_vms_load = other_vms_load
        self._average_other_vms_load += _OTHER_VMS_LOAD_WEIGHT * (
            other_vms_load - self._average_other_vms_load
        )

    def _record_service_time(self, finished: messages.AttemptFinished) -> None:
        """Updates the service time from a duration that includes queueing.

        The duration is divided by the number of rounds that the slots needed
        for the load at placement. Requests that were queued count too:
        otherwise a server that is always full would keep the estimate from its
        first requests.
        """
        slots = max(1, self.server.slots)
        rounds = max(1.0, (finished.placement.load + 1.0) / slots)
        sample_ms = finished.elapsed_s * 1000.0 / rounds
        self._service_time_samples += 1
        weight = max(_SERVICE_TIME_WEIGHT, 1.0 / self._service_time_samples)
        self.service_ms += weight * (sample_ms - self.service_ms)

    def _back_off(self, now_s: float, vm_count: int) -> None:
        """Treats the server as full for an exponentially growing time.

        Rejections of concurrent requests count once: those that arrive during
        the backoff are ignored. Jitter keeps the VMs from returning at the same
        time.
        """
        if now_s < self.full_until_s:
            return
        slots = max(1, self.server.slots)
        service_s = (self.service_ms or DEFAULT_SERVICE_MS) / 1000.0
        round_s = vm_count * service_s / slots
        base_s = max(_SHED_BACKOFF_BASE_S, _SHED_BACKOFF_BASE_ROUNDS * round_s)
        max_s = max(_SHED_BACKOFF_MAX_S, _SHED_BACKOFF_MAX_ROUNDS * round_s)
        backoff_s = min(max_s, base_s * 2.0**self._shed_backoff_level)
        self.full_until_s = now_s + backoff_s * random.uniform(0.5, 1.0)
        self._shed_backoff_level += 1

    def _record_failure(self, now_s: float) -> None:
        self.failed += 1
        self._consecutive_failures += 1
        if self._consecutive_failures < _EJECTION_FAILURES:
            return
        self._consecutive_failures = 0
        self.ejected_until_s = now_s + min(
            _EJECTION_MAX_S, _EJECTION_BASE_S * 2.0**self._consecutive_ejections
        )
        self._consecutive_ejections += 1


@dataclasses.dataclass(slots=True)
class GroupState:
    """State of a server group on this VM.

    Attributes:
        settings: Settings of the group.
        budget: Budget for retries of its requests.
        table: Newest key table, if its servers own keys.
        requested_keys: Keys of requests since the last report.
    """

    settings: models.ServerGroup
    budget: retry_budget.RetryBudget
    table: models.KeyTable | None = None
    requested_keys: list[int] = dataclasses.field(default_factory=list)
