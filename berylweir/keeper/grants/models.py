"""What a home keeps about one of its backend servers."""

import dataclasses
import math

from berylweir.objects import schemas


@dataclasses.dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of a backend server's clock.

    Attributes:
        clock_s: What the clock showed, in seconds.
        received_s: When the answer arrived, on the own clock, in seconds.
    """

    clock_s: float
    received_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HomeState:
    """One backend server whose home is this VM.

    Attributes:
        server: The backend server.
        partition: Name of the partition object.
        version: Object version that the slices are taken from.
        checks_grants: Whether the server checks grants.
        is_keyed: Whether its group is divided by key.
        became_home_s: When this VM became its home, on the monotonic clock.
        became_home_wall_s: The same on the wall clock.
        owned_slices: Slices that it owns, with tokens.
        moving_slices: Slices that are leaving it, with tokens.
        delegated_until_s: End of the authority of this home.
        clock_reading: Newest reading of the server's clock.
        instance: Newest instance of the server, or empty.
        last_response_s: When it answered last.
        sent_grant_until_s: End of the newest grant that was sent.
        acknowledged_until_s: End of the newest grant that it acknowledged.
        granted_slices: Slices, with tokens, in the newest grant that it
            acknowledged.
        revoked_slices: Moving slices, with tokens, whose revocation it
            acknowledged.
        outstanding_slices: Slices with a request outstanding at the server.
        served_slices: Slices that the router may still send to it.
        has_router_report: Whether the router has reported on this server.
        report_version: Object version that its last report is based on.
        responsive_since_s: When the server began to answer after a silence.
        last_idle_s: When it was last seen without any request after that.
        last_request_s: When it was asked last.
    """

    server: schemas.BackendServer
    partition: str
    version: int
    checks_grants: bool
    is_keyed: bool
    became_home_s: float
    became_home_wall_s: float
    owned_slices: tuple[tuple[int, int], ...] = ()
    moving_slices: tuple[tuple[int, int], ...] = ()
    delegated_until_s: float = -math.inf
    clock_reading: ClockReading | None = None
    instance: str = ""
    last_response_s: float = -math.inf
    sent_grant_until_s: float = -math.inf
    acknowledged_until_s: float = -math.inf
    granted_slices: frozenset[tuple[int, int]] = frozenset()
    revoked_slices: frozenset[tuple[int, int]] = frozenset()
    outstanding_slices: frozenset[int] = frozenset()
    served_slices: frozenset[int] = frozenset()
    has_router_report: bool = False
    report_version: int = 0
    responsive_since_s: float = math.inf
    last_idle_s: float = -math.inf
    last_request_s: float = -math.inf
