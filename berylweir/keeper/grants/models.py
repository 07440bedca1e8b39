"""What a home keeps about one of its backend servers."""

import dataclasses
import math

from berylweir.objects import schemas


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """A reading of a backend server's clock.

    Attributes:
        clock_s: What the clock showed, in seconds.
        arrived_s: When the answer arrived, on the own clock, in seconds.
    """

    clock_s: float
    arrived_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HomeState:
    """One backend server whose home is this VM.

    Attributes:
        server: The backend server.
        partition: Name of the partition object.
        version: Object version that the slices are taken from.
        checks_grants: Whether the server checks grants.
        keyed: Whether its group is divided by key.
        began_s: When this VM became its home, on the monotonic clock.
        since_s: The same on the wall clock.
        owned: Slices that it owns, with tokens.
        moving: Slices that are leaving it, with tokens.
        delegated_until_s: End of the authority of this home.
        reading: Newest reading of the server's clock.
        instance: Newest instance of the server, or empty.
        answered_s: When it answered last.
        granted_until_s: End of the newest grant that was sent.
        accepted_until_s: End of the newest grant that it acknowledged.
        granted: Slices in the newest grant that it acknowledged, with tokens.
        revoked: Moving slices whose revocation it acknowledged, with tokens.
        outstanding: Slices with a request outstanding at the server.
        served: Slices that the router may still send to it.
        router_known: Whether the router has reported on this server.
        reported_version: Object version that its last report is based on.
        answering_since_s: When the server began to answer after a silence.
        idle_s: When it was last seen without any request after that.
        asked_s: When it was asked last.
    """

    server: schemas.BackendServer
    partition: str
    version: int
    checks_grants: bool
    keyed: bool
    began_s: float
    since_s: float
    owned: tuple[tuple[int, int], ...] = ()
    moving: tuple[tuple[int, int], ...] = ()
    delegated_until_s: float = -math.inf
    reading: Reading | None = None
    instance: str = ""
    answered_s: float = -math.inf
    granted_until_s: float = -math.inf
    accepted_until_s: float = -math.inf
    granted: frozenset[tuple[int, int]] = frozenset()
    revoked: frozenset[tuple[int, int]] = frozenset()
    outstanding: frozenset[int] = frozenset()
    served: frozenset[int] = frozenset()
    router_known: bool = False
    reported_version: int = 0
    answering_since_s: float = math.inf
    idle_s: float = -math.inf
    asked_s: float = -math.inf
