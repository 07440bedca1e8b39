"""A caller's request and its answer."""

from collections.abc import AsyncGenerator
import contextlib
import dataclasses
import enum
import math
import typing

from berylweir import records
from berylweir.crash_suspects import fingerprint
from berylweir.gateway import models
from berylweir.gateway.exchange import answer_limits
from berylweir.platform import requests


@records.record
class FromCaller:
    """The request was received from a caller."""


@records.record
class FromGateway:
    """The request was forwarded by another gateway.

    Attributes:
        vm: Name of that gateway's VM.
        group: Server group that it chose.
        sent_attempts: Attempts in which the request was sent to a server.
        may_have_run: Whether a server may have run it.
        timeout_ms: Time within which that gateway needs an answer, in ms.
    """

    vm: str
    group: str
    sent_attempts: int
    may_have_run: bool
    timeout_ms: float


Origin = FromCaller | FromGateway


@records.record
class CallerRequest:
    """A caller's request with its complete body.

    Attributes:
        head: Request line and headers, decoded.
        body: The body.
        head_received_s: When the head was complete, on the loop's clock, in
            seconds.
        origin: From whom this gateway received it.
        answer_limit: Until when its answer can be used.
    """

    head: requests.RequestHead
    body: bytes | bytearray
    head_received_s: float
    origin: Origin = FromCaller()
    answer_limit: answer_limits.AnswerLimit = dataclasses.field(
        default_factory=answer_limits.AnswerLimit, compare=False
    )

    @property
    def deadline_s(self) -> float:
        """When the caller leaves, on the loop's clock, in seconds."""
        deadline_ms = self.head.deadline_ms or math.inf
        return self.head_received_s + deadline_ms / 1000.0

    def fingerprint(self) -> int:
        """Returns a hash that all repeats of this request have in common.

        The caller's address is left out: servers don't see it, and a caller
        may come back by another way.
        """
        head = self.head
        return fingerprint.compute(
            head.method.encode("latin-1"),
            head.host.encode("latin-1"),
            head.target,
            b"" if head.key is None else b"%d" % head.key,
            head.credentials,
            body=self.body,
        )

    def elapsed_ms(self, now_s: float) -> float:
        """Returns the time since the head was complete, in ms.

        Args:
            now_s: Time on the loop's clock, in seconds.
        """
        return round((now_s - self.head_received_s) * 1000.0, 1)


class AnswerKind(enum.Enum):
    """What an answer says of the request."""

    # It is the response of a server.
    SERVED = "served"
    # No server has run the request or will run it later.
    REFUSED = "refused"
    # The same, because this VM can't reach the server.
    UNREACHABLE = "unreachable"
    # The same, because this VM can't use any server.
    ISOLATED = "isolated"
    # A server may have run the request.
    FAILED = "failed"


@records.record
class Answer:
    """An answer to a caller.

    Attributes:
        status: HTTP status code.
        headers: Header fields.
        body: The body; empty if `remaining_body` is set.
        remaining_body: Streams a large body while the server sends it; raises
            `ResponseTruncatedError` if the server doesn't send all of it.
        content_length: Length of the whole body, in bytes; None if unknown.
        kind: What it says of the request.
        leaving_server: The server, if it said that it is leaving.
        stack: What must be closed once the answer has been written, or is
            dropped; None if there is nothing.
    """

    status: int
    headers: tuple[requests.Header, ...]
    body: bytes
    remaining_body: AsyncGenerator[bytes, None] | None = None
    content_length: int | None = None
    kind: AnswerKind = AnswerKind.SERVED
    leaving_server: models.ServerInstance | None = None
    stack: contextlib.ExitStack | None = None

    def close(self) -> None:
        """Closes what the answer owns; may be called again."""
        if self.stack is not None:
            self.stack.close()


@dataclasses.dataclass(slots=True)
class RequestState:
    """Attempts of one request so far.

    Attributes:
        sent_attempts: Attempts in which the request was sent, also those of the
            gateway that forwarded it.
        unsent_attempts: Attempts without a usable connection.
        may_have_run: Whether a server may have run the request.
        tried_instances: Server instances that were tried.
        rejecting_instance: The last one that said that it doesn't own the key.
        tried_vms: Names of the VMs to which it was forwarded.
        sent_to: Server or VM that has the request now; None while it waits.
    """

    sent_attempts: int = 0
    unsent_attempts: int = 0
    may_have_run: bool = False
    tried_instances: frozenset[models.ServerInstance] = frozenset()
    rejecting_instance: models.ServerInstance | None = None
    tried_vms: frozenset[str] = frozenset()
    sent_to: str | None = None

    def may_go_to_third_gateway(self, origin: Origin) -> bool:
        """Returns whether another gateway may forward the request again.

        Args:
            origin: From whom this gateway received it.
        """
        match origin:
            case FromCaller():
                return False
            case FromGateway(sent_attempts=sent_attempts):
                return self.sent_attempts == sent_attempts
            case _:
                typing.assert_never(origin)
