"""State that a home VM keeps about one of its backend servers."""

from collections.abc import Mapping
import dataclasses
import math

from berylweir.objects import schemas


@dataclasses.dataclass(frozen=True, slots=True)
class ClockReading:
    """A reading of a backend server's clock.

    Attributes:
        clock_s: Value of the server's monotonic clock, in seconds.
        received_s: When the response with it arrived, on the monotonic clock
            of this VM, in seconds.
    """

    clock_s: float
    received_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HomeState:
    """State of one backend server whose home is this VM.

    Times are in seconds on the monotonic clock of this VM unless stated
    otherwise. "With tokens" means pairs of slice number and fencing token.

    Attributes:
        server: The backend server.
        partition: Name of the partition object.
        version: Version of the partition object that the slices are from.
        checks_grants: Whether the server checks grants.
        is_keyed: Whether requests of the server's group are routed by key.
        became_home_s: When this VM became the server's home.
        became_home_wall_s: The same on the wall clock, in seconds.
        owned_slices: Slices that the server owns, with tokens.
        owned_since_wall_s: When this VM learned that the server owns them, on
            the wall clock, in seconds, by slice number and token.
        moving_slices: Slices that are moving to another server, with tokens.
        delegated_until_s: Latest end of any delegation from the partition's
            holder; minus infinity if there was none.
        clock_reading: Newest reading of the server's clock.
        instance: Id of the newest server instance, or empty.
        last_response_s: When the server last responded.
        sent_grant_until_s: Latest expiry of any grant that was sent.
        acknowledged_until_s: Expiry of the newest acknowledged grant.
        granted_slices: Slices in the newest acknowledged grant, with tokens.
        revoked_slices: Moving slices whose revocation the server has
            acknowledged, with tokens of the move.
        outstanding_slices: Slices with a request outstanding at the server.
        served_slices: Slices whose requests the router may still send to the
            server.
        has_router_report: Whether the present router has reported on the
            server.
        report_version: Object version that the router's last report is based
            on.
        responsive_since_s: When the server began to respond without long
            gaps.
        last_idle_s: When the server was last known to have no request in
            progress; minus infinity if never, or not with the present router.
        last_request_s: When a grant request or probe was last sent.
    """

    server: schemas.BackendServer
    partition: str
    version: int
    checks_grants: bool
    is_keyed: bool
    became_home_s: float
    became_home_wall_s: float
    owned_slices: tuple[tuple[int, int], ...] = ()
    owned_since_wall_s: Mapping[tuple[int, int], float] = dataclasses.field(
        default_factory=dict
    )
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
