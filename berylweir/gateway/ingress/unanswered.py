"""Records requests whose connection ends before their answer is complete."""

from collections.abc import Sequence
import dataclasses
import enum
import logging

from berylweir.gateway.ingress import models as ingress
from berylweir.observability import counters
from berylweir.platform import requests

_LOGGER = logging.getLogger(__name__)


class Stage(enum.Enum):
    """How far a request had come."""

    # Its body wasn't complete.
    RECEIVING = "receiving"
    # It waited for the requests in front of it.
    WAITING = "waiting"
    # It had no answer yet.
    RUNNING = "running"
    # Its answer waited for the answers in front of it.
    READY = "ready"
    # A part of its answer had been written.
    WRITING = "writing"
    # It was read after the gateway had closed the connection, and dropped.
    CROSSED_CLOSE = "crossed_close"


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """A request without a complete answer.

    Attributes:
        head: Its head.
        stage: How far it had come.
        age_s: Time since its head was complete, in seconds.
        requests_ahead: Requests in front of it whose answers were due first.
        close: How the gateway closed the connection; None if the caller did.
        idle_s: Time without a request before the gateway closed the connection,
            in seconds; None if the caller closed it.
        after_close_s: Time from that close until the request was read, in
            seconds; None if it was read before.
    """

    head: requests.RequestHead
    stage: Stage
    age_s: float
    requests_ahead: int
    close: ingress.Closed | None
    idle_s: float | None = None
    after_close_s: float | None = None


class Recorder:
    """Writes log lines and counters of requests without an answer."""

    def __init__(self, metrics: counters.Counters) -> None:
        """Creates a recorder.

        Args:
            metrics: Counters.
        """
        self._metrics = metrics

    def record_all(
        self,
        pending: Sequence[ingress.PendingRequest],
        incoming: ingress.IncomingRequest | None,
        close: ingress.Closed | None,
        now_s: float,
    ) -> None:
        """Records the requests of a connection that has ended.

        Args:
            pending: Those that were received, in the order of their answers.
            incoming: The one that was being received.
            close: How the gateway closed the connection; None if the caller
                did.
            now_s: Time on the loop's clock, in seconds.
        """
        for ahead, entry in enumerate(pending):
            self.record(
                Unanswered(
                    entry.request.head,
                    _stage_of(entry),
                    now_s - entry.request.head_received_s,
                    ahead,
                    close,
                )
            )
        if incoming is not None:
            self.record(
                Unanswered(
                    incoming.head,
                    Stage.RECEIVING,
                    now_s - incoming.received_s,
                    len(pending),
                    close,
                )
            )

    def record(self, unanswered: Unanswered) -> None:
        """Records a request."""
        stage = unanswered.stage
        close = unanswered.close
        closed_by = "caller" if close is None else "gateway"
        self._metrics.count(f"gateway.unanswered.{closed_by}_{stage.value}")
        _LOGGER.info(
            "unanswered",
            extra={
                "request": unanswered.head.request_id,
                "path": unanswered.head.path,
                "stage": stage.value,
                "closed_by": closed_by,
                "reason": None if close is None else close.reason.value,
                "requests_ahead": unanswered.requests_ahead,
                "elapsed_ms": round(unanswered.age_s * 1000.0, 1),
                "deadline_ms": unanswered.head.deadline_ms,
                "idle_s": unanswered.idle_s,
                "after_close_s": unanswered.after_close_s,
            },
        )

    def record_unread(
        self, size_bytes: int, close: ingress.Closed | None, idle_s: float
    ) -> None:
        """Records that a caller sent something while a connection was closed.

        Args:
            size_bytes: Bytes that were left unread.
            close: How the gateway closed the connection.
            idle_s: Time without a request before, in seconds.
        """
        self._metrics.count("gateway.closed_unread")
        _LOGGER.info(
            "closed unread",
            extra={
                "size_bytes": size_bytes,
                "reason": None if close is None else close.reason.value,
                "idle_s": round(idle_s, 3),
            },
        )


def _stage_of(entry: ingress.PendingRequest) -> Stage:
    if entry.is_being_written:
        return Stage.WRITING
    if entry.task is None:
        return Stage.WAITING
    return Stage.READY if entry.task.done() else Stage.RUNNING
