"""What the dispatcher knows of one backend server."""

import dataclasses
import random

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import cold
from berylweir.gateway.dispatch import idle as idle_module

# Weight of a new service time in the moving average.
_SERVICE_WEIGHT = 0.06
# The last report fades into the average of reports in this time, in seconds:
# about two service times.
_REPORT_HALF_LIFE_S = 0.2
# The average fades in this time without a report, in seconds.
_AVERAGE_HALF_LIFE_S = 2.0
_OTHERS_WEIGHT = 0.25
# A report on how busy the server's machine is holds for this long, in
# seconds; it changes many times a second.
_SLOWNESS_HOLDS_S = 0.15
# Requests that wait at a server that rejects another one.
_QUEUE_WHEN_FULL = 12
# Consecutive failures after which a server is avoided.
_FAILURES_TO_AVOID = 3
# How long it is avoided at first and at most, in seconds.
_AVOID_S = 1.0
_AVOID_MAX_S = 8.0
# Pause after a server rejected a request because it is full, doubled with each
# rejection up to the longest, in seconds.
_REJECTED_S = 0.1
_REJECTED_MAX_S = 2.0
# The same in parts of the time in which the server runs one request of each VM:
# the more VMs send to a busy server, the longer each of them pauses.
_REJECTED_TURN = 0.25
_REJECTED_MAX_TURNS = 1.0
# A full server resets a connection at once; one that is reset later has run the
# request. In parts of the usual duration.
_EARLY_RESET = 0.3
# Duration of work assumed before any was seen, in ms.
UNKNOWN_SERVICE_MS = 100.0


@dataclasses.dataclass(slots=True)
class ServerState:
    """One life of a backend server, as this VM sees it.

    Attributes:
        server: Its entry.
        in_flight: Requests of this VM at the server.
        idle: Connections that carry no request.
        cold_until_s: When it stops being cold, on the loop's clock.
        pacer: Spaces requests while it is cold.
        service_ms: Typical duration of a request that didn't wait; 0 while
            none was seen.
        avoid_until_s: Until when other servers are preferred.
        room_from_s: Until when it is taken as full after a rejection.
    """

    server: models.BackendServer
    in_flight: int = 0
    idle: idle_module.IdleConnections = dataclasses.field(
        default_factory=idle_module.IdleConnections
    )
    cold_until_s: float = float("-inf")
    pacer: cold.Pacer = dataclasses.field(default_factory=cold.Pacer)
    service_ms: float = 0.0
    avoid_until_s: float = float("-inf")
    room_from_s: float = float("-inf")
    served: int = 0
    failed: int = 0
    _others: float = 0.0
    _usual_others: float = 0.0
    _slowness: float = 1.0
    _reported_s: float = float("-inf")
    _samples: int = 0
    _failures: int = 0
    _avoided: int = 0
    _rejections: int = 0

    def load(self, now_s: float) -> float:
        """Returns the estimated number of requests at the server."""
        age_s = now_s - self._reported_s
        if age_s > 10 * _AVERAGE_HALF_LIFE_S:
            return float(self.in_flight)
        recent: float = 0.5 ** (age_s / _REPORT_HALF_LIFE_S)
        average = self._usual_others * 0.5 ** (age_s / _AVERAGE_HALF_LIFE_S)
        others: float = recent * self._others + (1.0 - recent) * average
        return self.in_flight + others

    def slowness(self, now_s: float) -> float:
        """Returns how much longer work takes there now than usually."""
        if now_s - self._reported_s > _SLOWNESS_HOLDS_S:
            return 1.0
        return self._slowness

    def begin(self) -> None:
        """Counts a request that is sent to the server."""
        self.in_flight += 1

    @property
    def is_rejecting(self) -> bool:
        """Whether it rejected requests lately; then they go one at a time."""
        return self._rejections > 0

    def end(
        self, finished: messages.AttemptFinished, now_s: float, vms: int = 1
    ) -> None:
        """Takes what a request showed.

        Args:
            finished: The request.
            now_s: Time on the loop's clock, in seconds.
            vms: Number of VMs that send to the server.
        """
        self.in_flight -= 1
        if finished.load is not None:
            at_server = finished.load.running + finished.load.waiting
            self._see_others(max(0.0, at_server - self.in_flight))
            self._slowness = finished.load.slowness
            self._reported_s = now_s
        if finished.cold_ms is not None and finished.cold_ms > 0:
            self.cold_until_s = now_s + finished.cold_ms / 1000.0
        match finished.attempt_result:
            case messages.AttemptResult.SERVED:
                self.served += 1
                self._failures = 0
                self._avoided = 0
                self._rejections //= 2
                self._learn(finished)
            case messages.AttemptResult.FAILED | messages.AttemptResult.BROKEN:
                self._fail(now_s)
            case (
                messages.AttemptResult.EXPIRED
                | messages.AttemptResult.UNREACHABLE
            ):
                self._fail(now_s)
            case messages.AttemptResult.RESET:
                # Servers of some groups reset connections when full.
                if finished.placement.load >= self.server.slots:
                    self._see_others(self.server.slots + _QUEUE_WHEN_FULL)
                    self._reported_s = now_s
                usual_s = (self.service_ms or UNKNOWN_SERVICE_MS) / 1000.0
                if finished.elapsed_s < _EARLY_RESET * usual_s:
                    self._pause(now_s, vms)
                self._fail(now_s)
            case messages.AttemptResult.SHED:
                self._see_others(self.server.slots + _QUEUE_WHEN_FULL)
                self._reported_s = now_s
                self._pause(now_s, vms)
            case (
                messages.AttemptResult.MISDIRECTED
                | messages.AttemptResult.ABANDONED
                | messages.AttemptResult.STALE
            ):
                pass

    def _see_others(self, others: float) -> None:
        self._others = others
        self._usual_others += _OTHERS_WEIGHT * (others - self._usual_others)

    def _learn(self, finished: messages.AttemptFinished) -> None:
        """Takes the duration of a request, less its wait for a slot.

        Requests that waited count too: a server that is always full would
        otherwise keep an estimate from its first moments.
        """
        slots = max(1, self.server.slots)
        waves = max(1.0, (finished.placement.load + 1.0) / slots)
        sample = finished.elapsed_s * 1000.0 / waves
        self._samples += 1
        weight = max(_SERVICE_WEIGHT, 1.0 / self._samples)
        self.service_ms += weight * (sample - self.service_ms)

    def _pause(self, now_s: float, vms: int) -> None:
        """Takes the server as full for a while.

        Requests that were sent together are rejected together, and count
        once. The pause is random, so that VMs don't return at the same time.
        """
        if now_s < self.room_from_s:
            return
        slots = max(1, self.server.slots)
        service_s = (self.service_ms or UNKNOWN_SERVICE_MS) / 1000.0
        turn_s = vms * service_s / slots
        first_s = max(_REJECTED_S, _REJECTED_TURN * turn_s)
        longest_s = max(_REJECTED_MAX_S, _REJECTED_MAX_TURNS * turn_s)
        pause_s = min(longest_s, first_s * 2.0**self._rejections)
        self.room_from_s = now_s + pause_s * random.uniform(0.5, 1.0)
        self._rejections += 1

    def _fail(self, now_s: float) -> None:
        self.failed += 1
        self._failures += 1
        if self._failures < _FAILURES_TO_AVOID:
            return
        self._failures = 0
        self.avoid_until_s = now_s + min(
            _AVOID_MAX_S, _AVOID_S * 2.0**self._avoided
        )
        self._avoided += 1
