"""Answers requests that are rejected before they are handled."""

import logging
import typing

from berylweir.gateway.body_memory import budget
from berylweir.gateway.ingress import models as ingress
from berylweir.gateway.ingress import writer
from berylweir.observability import counters
from berylweir.platform import requests

_LOGGER = logging.getLogger(__name__)
# Retry-After if there is no memory for the body of a request, in seconds. Other
# requests end meanwhile.
_NO_MEMORY_RETRY_AFTER_S = 1.0
# Retry-After while this VM stops, in seconds. Other VMs can take the request.
_STOPPING_RETRY_AFTER_S = 0.1


class RejectionWriter:
    """Writes the last answer of a connection, and records why it is one."""

    def __init__(
        self,
        memory: budget.BodyMemory,
        metrics: counters.Counters,
        refusal_headers: tuple[requests.Header, ...] = (),
    ) -> None:
        """Creates a writer.

        Args:
            memory: Memory for the bodies of requests.
            metrics: Counters.
            refusal_headers: Added to a 503.
        """
        self._refusal_headers = refusal_headers
        self._memory = memory
        self._metrics = metrics

    def write(
        self,
        failure: ingress.Rejection,
        answers: writer.AnswerWriter,
    ) -> None:
        """Writes the answer to a rejected request.

        Args:
            failure: Why it is rejected.
            answers: Writes to its connection.
        """
        match failure:
            case ingress.Violation():
                self._write_violation(failure, answers)
            case ingress.NoMemory():
                self._write_no_memory(failure, answers)
            case ingress.Interrupted():
                self._write_interrupted(failure, answers)
            case _:
                typing.assert_never(failure)

    def _write_violation(
        self, violation: ingress.Violation, answers: writer.AnswerWriter
    ) -> None:
        self._metrics.count(f"gateway.violation.{violation.status}")
        _LOGGER.warning(
            "invalid request",
            extra={"status": violation.status, "reason": violation.reason},
        )
        answers.write_last(violation.status)

    def _write_no_memory(
        self, failure: ingress.NoMemory, answers: writer.AnswerWriter
    ) -> None:
        """Answers 503: no server has run the request or will run it later."""
        self._metrics.count("gateway.body_memory.rejected")
        _LOGGER.warning(
            "no memory for the body of a request",
            extra={
                "request": failure.request_id,
                "size_bytes": failure.size_bytes,
                "held_bytes": self._memory.held_bytes,
            },
        )
        self._write_refusal(
            failure.request_id, _NO_MEMORY_RETRY_AFTER_S, answers
        )

    def _write_interrupted(
        self, failure: ingress.Interrupted, answers: writer.AnswerWriter
    ) -> None:
        """Answers 503: no server has run the request or will run it later."""
        self._metrics.count("gateway.interrupted")
        _LOGGER.warning(
            "request interrupted by the stop",
            extra={"request": failure.request_id},
        )
        self._write_refusal(
            failure.request_id, _STOPPING_RETRY_AFTER_S, answers
        )

    def _write_refusal(
        self,
        request_id: str,
        retry_after_s: float,
        answers: writer.AnswerWriter,
    ) -> None:
        headers = requests.encode_error_headers(request_id, retry_after_s)
        answers.write_last(503, (*headers, *self._refusal_headers))
