"""The dispatcher's part in finding requests that crash servers.

A connection that is lost with a request says little: a full server resets
connections too, and so does a broken link. The server is therefore probed. If
it refuses the connection, it has ended, and the request is reported; until it
is known what to think of it, neither its retry nor a repeat is sent.

Overloaded servers reset many connections, and probes would add to their load.
So only few losses are followed by a probe at once. The others are remembered,
and their servers are probed if the request loses another connection or is
suspected, or if a request can't connect to the server.
"""

import collections
from collections.abc import Callable
import dataclasses
import time
import typing

from berylweir.crash_suspects import evidence
from berylweir.crash_suspects import quarantine
from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import models as dispatch
from berylweir.gateway.dispatch import refusals
from berylweir.gateway.suspects import messages as suspects
from berylweir.observability import counters

# Longest time for which a request waits until it is judged, in seconds. A probe
# and a request to another VM take a few milliseconds.
_MAX_INVESTIGATION_S = 0.15
# A request that a server completed within this time isn't suspected, in
# seconds. It spares frequent requests the investigation.
_RECENTLY_COMPLETED_S = 5.0
# Time for which a lost connection is remembered, in seconds.
_LOSS_MEMORY_S = 10.0
# Probes per second after a first loss in the long run, and at once.
_PROBE_RATE = 1.0
_PROBE_BURST = 4.0
# Time for which a server that a probe reached isn't probed after a first loss,
# in seconds.
_PROBED_S = 1.0
# Completed requests that are remembered; frequent ones stay among them.
_MAX_COMPLETED = 4096
# Suspected requests that are remembered; the oldest one is dropped.
_MAX_SUSPECTED = 1024

_Reason = messages.RefusalReason


@dataclasses.dataclass(slots=True)
class _Losses:
    """Requests whose connection to a server was lost, by fingerprint."""

    server: models.BackendServer
    ends: dict[int, evidence.ServerEnd] = dataclasses.field(
        default_factory=dict
    )


class SuspectRequests:
    """Requests that may crash servers, as far as this VM knows."""

    def __init__(
        self,
        vm: str,
        report: Callable[
            [suspects.ServerEnded | suspects.SuspectCompleted], None
        ],
        probe: Callable[[models.BackendServer], None],
        metrics: counters.Counters,
    ) -> None:
        """Creates a state without suspects.

        Args:
            vm: Name of this VM.
            report: Posts a message to the task that judges requests.
            probe: Has a server probed; the result comes to `record_probe`.
            metrics: Counters.
        """
        self._vm = vm
        self._report = report
        self._probe = probe
        self._metrics = metrics
        self._quarantine = quarantine.Quarantine()
        # Suspected requests; the one that was announced last comes last.
        self._suspected: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._running: set[int] = set()
        self._investigated_until_s: dict[int, float] = {}
        self._losses: dict[models.ServerInstance, _Losses] = {}
        # When a probe last reached a server.
        self._probed_s: dict[models.ServerInstance, float] = {}
        self._probe_tokens = _PROBE_BURST
        self._probe_tokens_s = 0.0
        # When a server last completed a request; the newest comes last.
        self._completed_s: collections.OrderedDict[int, float] = (
            collections.OrderedDict()
        )

    @property
    def loss_count(self) -> int:
        """Number of lost connections that are remembered."""
        return sum(len(losses.ends) for losses in self._losses.values())

    def check(
        self, requirements: messages.ServerRequirements, now_s: float
    ) -> messages.NotPlaced | None:
        """Returns why a request isn't sent to any server now, if so."""
        fingerprint = requirements.fingerprint
        left_ms = self._quarantine.left_ms(fingerprint, _unix_ms())
        if left_ms > 0:
            return messages.NotPlaced(_Reason.CRASHES_SERVERS, left_ms / 1000.0)
        if self._investigated_until_s.get(fingerprint, now_s) > now_s:
            return refusals.create(_Reason.INVESTIGATED)
        if fingerprint in self._suspected:
            if requirements.is_retry:
                return refusals.create(_Reason.SUSPECTED)
            if fingerprint in self._running:
                return refusals.create(_Reason.INVESTIGATED)
        return None

    def begin(self, requirements: messages.ServerRequirements) -> None:
        """Records that a request gets a server."""
        if requirements.fingerprint in self._suspected:
            self._running.add(requirements.fingerprint)

    def end(self, requirements: messages.ServerRequirements) -> None:
        """Records that a request has no server any more."""
        self._running.discard(requirements.fingerprint)

    def finish(
        self,
        finished: messages.AttemptFinished,
        state: dispatch.ServerState | None,
        now_s: float,
    ) -> None:
        """Records the end of an attempt.

        Args:
            finished: The attempt.
            state: Its server; None if it is no longer registered.
            now_s: Time on the loop's clock, in seconds.
        """
        fingerprint = finished.requirements.fingerprint
        if not fingerprint:
            return
        self.end(finished.requirements)
        match finished.attempt_result:
            case messages.AttemptResult.SERVED:
                self._record_completion(fingerprint, now_s)
            case messages.AttemptResult.UNREACHABLE:
                losses = self._losses.get(finished.placement.server.instance)
                if losses is not None:
                    self._probe(losses.server)
            case messages.AttemptResult.RESET | messages.AttemptResult.BROKEN:
                if self._is_suspicious(fingerprint, state, now_s):
                    self._record_loss(finished, now_s)
                    self._investigate(finished, now_s)
            case messages.AttemptResult.EXPIRED:
                # The server may end shortly after the deadline.
                if self._is_suspicious(fingerprint, state, now_s):
                    self._record_loss(finished, now_s)
            case _:
                pass

    def _is_suspicious(
        self,
        fingerprint: int,
        state: dispatch.ServerState | None,
        now_s: float,
    ) -> bool:
        """Returns whether a server may have ended because of a request."""
        return (
            state is not None
            and not state.server.is_draining
            and state.leaving_since_s is None
            and not self._was_completed_lately(fingerprint, now_s)
        )

    def _was_completed_lately(self, fingerprint: int, now_s: float) -> bool:
        completed_s = self._completed_s.get(fingerprint)
        return (
            completed_s is not None
            and now_s - completed_s < _RECENTLY_COMPLETED_S
        )

    def _record_loss(
        self, finished: messages.AttemptFinished, now_s: float
    ) -> None:
        server = finished.placement.server
        losses = self._losses.setdefault(server.instance, _Losses(server))
        losses.ends[finished.requirements.fingerprint] = evidence.ServerEnd(
            server.name,
            server.born_ms,
            finished.placement.placed_s,
            now_s,
            self._vm,
            finished.requirements.request_id,
        )

    def _investigate(
        self, finished: messages.AttemptFinished, now_s: float
    ) -> None:
        """Has the servers probed with which a request lost its connection."""
        fingerprint = finished.requirements.fingerprint
        lost = self._servers_lost_with(fingerprint, now_s)
        if (
            len(lost) > 1
            or fingerprint in self._suspected
            or self._may_probe(finished.placement.server.instance, now_s)
        ):
            self._investigated_until_s[fingerprint] = (
                now_s + _MAX_INVESTIGATION_S
            )
            for server in lost:
                self._probe(server)

    def _servers_lost_with(
        self, fingerprint: int, now_s: float
    ) -> list[models.BackendServer]:
        """Returns the servers with which a request lost its connection."""
        return [
            losses.server
            for losses in self._losses.values()
            if (end := losses.ends.get(fingerprint)) is not None
            and end.ended_s > now_s - _LOSS_MEMORY_S
        ]

    def _may_probe(self, instance: models.ServerInstance, now_s: float) -> bool:
        """Returns whether a first loss is followed by a probe at once."""
        if now_s - self._probed_s.get(instance, float("-inf")) < _PROBED_S:
            return False
        self._probe_tokens = min(
            _PROBE_BURST,
            self._probe_tokens + _PROBE_RATE * (now_s - self._probe_tokens_s),
        )
        self._probe_tokens_s = now_s
        if self._probe_tokens < 1.0:
            return False
        self._probe_tokens -= 1.0
        return True

    def record_probe(self, probed: messages.ServerProbed, now_s: float) -> None:
        """Reports the requests that a server had if it has ended."""
        instance = probed.server.instance
        if probed.connection is not None:
            self._probed_s[instance] = now_s
        losses = self._losses.pop(instance, None)
        if losses is None:
            return
        if not probed.is_refused:
            for fingerprint in losses.ends:
                self._investigated_until_s.pop(fingerprint, None)
            return
        self._metrics.count("gateway.suspects.reported", len(losses.ends))
        self._report(
            suspects.ServerEnded(
                tuple(
                    suspects.InterruptedRequest(
                        fingerprint,
                        (end,),
                        self._completed_s.get(fingerprint, float("-inf")),
                    )
                    for fingerprint, end in losses.ends.items()
                )
            )
        )

    def apply(self, message: suspects.ToDispatcher, now_s: float) -> None:
        """Applies what was found out about requests.

        Args:
            message: What was found out.
            now_s: Time on the loop's clock, in seconds.
        """
        match message:
            case suspects.RequestsAssessed(findings):
                for fingerprint, finding in findings.items():
                    self._apply_finding(fingerprint, finding)
            case suspects.SuspectAnnounced(fingerprint, since_s, reply):
                completed_s = self._completed_s.get(fingerprint)
                is_cleared = completed_s is not None and completed_s > since_s
                if not is_cleared:
                    self._suspect(fingerprint)
                    for server in self._servers_lost_with(fingerprint, now_s):
                        self._probe(server)
                if not reply.done():
                    reply.set_result(completed_s if is_cleared else None)
            case suspects.RequestsQuarantined(entries):
                self._quarantine.merge(entries, _unix_ms())
                for entry in entries:
                    self._investigated_until_s.pop(entry.fingerprint, None)
                    self._suspected.pop(entry.fingerprint, None)
            case _:
                typing.assert_never(message)

    def forget_old(self, now_s: float) -> None:
        """Forgets lost connections, and investigations without a result."""
        for fingerprint, until_s in list(self._investigated_until_s.items()):
            if until_s <= now_s:
                del self._investigated_until_s[fingerprint]
        for instance, losses in list(self._losses.items()):
            losses.ends = {
                fingerprint: end
                for fingerprint, end in losses.ends.items()
                if end.ended_s > now_s - _LOSS_MEMORY_S
            }
            if not losses.ends:
                del self._losses[instance]
        for instance, probed_s in list(self._probed_s.items()):
            if probed_s < now_s - _PROBED_S:
                del self._probed_s[instance]

    def _apply_finding(
        self, fingerprint: int, finding: evidence.Finding
    ) -> None:
        self._investigated_until_s.pop(fingerprint, None)
        match finding:
            case evidence.Finding.UNSUSPECTED:
                self._suspected.pop(fingerprint, None)
            case evidence.Finding.SUSPECTED | evidence.Finding.HARMFUL:
                # A harmful request is also in the quarantine.
                self._suspect(fingerprint)
            case _:
                typing.assert_never(finding)

    def _suspect(self, fingerprint: int) -> None:
        self._suspected[fingerprint] = None
        self._suspected.move_to_end(fingerprint)
        if len(self._suspected) > _MAX_SUSPECTED:
            self._suspected.popitem(last=False)

    def _record_completion(self, fingerprint: int, now_s: float) -> None:
        self._completed_s[fingerprint] = now_s
        self._completed_s.move_to_end(fingerprint)
        if len(self._completed_s) > _MAX_COMPLETED:
            self._completed_s.popitem(last=False)
        if fingerprint in self._suspected:
            del self._suspected[fingerprint]
            self._report(suspects.SuspectCompleted(fingerprint, now_s))


def _unix_ms() -> float:
    return time.time() * 1000.0
