"""Entries in the queue of a caller's connection."""

import asyncio
import dataclasses

from berylweir.gateway.exchange import models as exchange


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """An invalid request: it violates HTTP or exceeds a limit.

    Attributes:
        status: HTTP status code of the answer.
        reason: Description of the violation, for the log.
    """

    status: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class Close:
    """The connection is closed behind the answers before it."""


@dataclasses.dataclass(slots=True, eq=False)
class PendingRequest:
    """A request whose answer hasn't been written completely.

    Attributes:
        request: The request.
        keep_alive: Whether the caller keeps the connection open after it.
        is_idempotent: Whether the request may run more than once.
        task: Produces the answer; None until the request is started.
    """

    request: exchange.CallerRequest
    keep_alive: bool
    is_idempotent: bool
    task: "asyncio.Task[exchange.Answer] | None" = None


Entry = PendingRequest | Violation | Close
