"""What a connection of a caller has received."""

import asyncio
import dataclasses

from berylweir.gateway.exchange import models as exchange


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """The caller broke the protocol or a limit.

    Attributes:
        status: HTTP status of the answer.
        reason: What it did.
    """

    status: int
    reason: str


@dataclasses.dataclass(slots=True, eq=False)
class PendingRequest:
    """A request from its arrival to the end of its answer."""

    request: exchange.CallerRequest
    keep_alive: bool
    is_idempotent: bool
    task: "asyncio.Task[exchange.Answer] | None" = None
