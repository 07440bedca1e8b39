"""Faults of a soak and what its callers saw, as frozen data classes."""

import dataclasses
import enum


class LinkFault(enum.Enum):
    """What a link does to the bytes that it carries."""

    DELAY = "delay"
    RESET = "reset"
    ONE_WAY = "one_way"  # answers don't come back
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, slots=True)
class Kill:
    """Ends a gateway at once and starts it again."""

    vm: int
    downtime_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stop:
    """Asks a gateway to end, then starts it again."""

    vm: int


@dataclasses.dataclass(frozen=True, slots=True)
class Freeze:
    """Pauses a gateway."""

    vm: int
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Reload:
    """Sends the signal that says that the settings file has changed."""

    vm: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreLinkFault:
    """Disturbs the link of one gateway to the store, or of all."""

    vm: int | None
    link_fault: LinkFault
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLinkFault:
    """Disturbs the link to a backend server."""

    server: int
    link_fault: LinkFault
    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LateWrites:
    """Has the store lose answers, and carry out writes late."""

    count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reconfigure:
    """Writes a newer configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deregister:
    """Removes the entry of a backend server and writes it again."""

    server: int
    duration_s: float


Fault = (
    Kill
    | Stop
    | Freeze
    | Reload
    | StoreLinkFault
    | ServerLinkFault
    | LateWrites
    | Reconfigure
    | Deregister
)


@dataclasses.dataclass(frozen=True, slots=True)
class ScheduledFault:
    """A fault and when it begins, in seconds from the start."""

    start_s: float
    fault: Fault


@dataclasses.dataclass(frozen=True, slots=True)
class Exchange:
    """One request as its caller saw it.

    Attributes:
        request_id: Its id.
        path: Its path.
        is_idempotent: Whether it may run more than once.
        vm: Gateway that it was sent to.
        instance: Number of that gateway's run.
        sent_s: When it was sent, in seconds from the start.
        ended_s: When its answer or the end of the connection came.
        status: Status of the answer; None if there was none.
        body: Body of the answer.
        seal: Seal of the answer.
    """

    request_id: str
    path: str
    is_idempotent: bool
    vm: int
    instance: int
    sent_s: float
    ended_s: float
    status: int | None
    body: bytes = b""
    seal: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedStop:
    """A gateway was asked to end.

    Attributes:
        vm: The gateway.
        instance: Number of its run.
        requested_s: When, in seconds from the start.
    """

    vm: int
    instance: int
    requested_s: float
