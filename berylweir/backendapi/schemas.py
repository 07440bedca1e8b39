"""Messages between a backend server and its home VM."""

import msgspec


class SliceGrant(msgspec.Struct, frozen=True):
    """Permission to serve one slice.

    Attributes:
        slice: Slice number, from 0.
        token: Fencing token.
    """

    slice: int
    token: int


class GrantRequest(msgspec.Struct, frozen=True):
    """Request that replaces all grants of a backend server.

    Attributes:
        instance: Id of the run of the server that the grants are for.
        expires_at_s: Expiry on the server's monotonic clock, in seconds.
        slices: All slices that the server may serve until then.
        revoked: Slices that it must stop serving immediately.
    """

    instance: str
    expires_at_s: float
    slices: tuple[SliceGrant, ...] = ()
    revoked: tuple[SliceGrant, ...] = ()


class ServerStatus(msgspec.Struct, frozen=True):
    """Response of a backend server to a grant request or a probe.

    Attributes:
        instance: Id of this run of the server.
        clock_s: Reading of its monotonic clock, in seconds.
        in_flight: Number of requests that it is running; may be out of date.
        draining: Whether it accepts no new work.
        refused: Slices whose grant it refused because it has seen a higher
            fencing token.
    """

    instance: str
    clock_s: float
    in_flight: int = 0
    draining: bool = False
    refused: tuple[int, ...] = ()
