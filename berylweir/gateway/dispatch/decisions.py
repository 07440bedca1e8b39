"""Load balancing: selects the backend server for a request."""

import bisect
from collections.abc import Sequence
import dataclasses
import random

from berylweir.gateway import models
from berylweir.gateway.dispatch import models as dispatch

# Requests that may wait at a server in addition to those in its slots. A server
# queues about a dozen and resets connections when its queue is full; other VMs
# send to the same queue.
MAX_QUEUED_PER_SERVER = 4
# Factors on the expected latency of a server in another zone, for small
# responses and for downloads. Traffic between zones is billed by the byte, and
# most of the bytes are in downloads.
_CROSS_ZONE_LATENCY_FACTOR = 1.15
_CROSS_ZONE_DOWNLOAD_LATENCY_FACTOR = 1.6
# Other zones are considered only if no server of the local zone is expected to
# respond within this share of the latency goal, for small responses and for
# downloads.
_LOCAL_ZONE_GOAL_SHARE = 0.5
_LOCAL_ZONE_DOWNLOAD_GOAL_SHARE = 0.7
# Number of servers that are compared for one request. A larger sample costs CPU
# time and hardly lowers the latency.
_SAMPLE_SIZE = 32
# Largest random addition to a server's score, relative to it. VMs that received
# the same load reports would otherwise all choose the same server.
_MAX_JITTER = 0.15


def expected_latency_ms(
    state: dispatch.ServerState, now_s: float, default_service_ms: float
) -> float:
    """Returns the expected latency of a request at a server, in ms.

    The latency is the service time, scaled by the slowness of the machine and
    by the number of rounds that the slots need to work off the queue.

    Args:
        state: The server.
        now_s: Time on the loop's clock, in seconds.
        default_service_ms: Service time of a server without a measurement, in
            ms; 0 if none is known.
    """
    service_ms = (
        state.service_ms or default_service_ms or dispatch.DEFAULT_SERVICE_MS
    )
    slots = max(1, state.server.slots)
    rounds = max(1.0, (state.estimated_load(now_s) + 1.0) / slots)
    return service_ms * state.slowness(now_s) * rounds


def is_full(state: dispatch.ServerState, now_s: float) -> bool:
    """Returns whether a server might reject another request as overloaded.

    A server that rejected requests recently gets one request at a time.
    """
    return (
        state.full_until_s > now_s
        or (state.is_shedding and state.in_flight > 0)
        or state.estimated_load(now_s)
        >= state.server.slots + MAX_QUEUED_PER_SERVER
    )


def time_until_capacity_s(state: dispatch.ServerState, now_s: float) -> float:
    """Returns the expected time until a server has capacity, in seconds."""
    slots = max(1, state.server.slots)
    excess_requests = max(
        0.0, state.estimated_load(now_s) + 1.0 - slots - MAX_QUEUED_PER_SERVER
    )
    service_ms = state.service_ms or dispatch.DEFAULT_SERVICE_MS
    return max(
        state.full_until_s - now_s,
        excess_requests * service_ms / 1000.0 / slots,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Available:
    """A server has stated nothing that keeps a request away from it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """A server shuts down."""


@dataclasses.dataclass(frozen=True, slots=True)
class Paused:
    """A server wants no requests of this VM for some time.

    Attributes:
        until_s: When the pause ends, on the loop's clock, in seconds.
    """

    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReached:
    """The limit that a server named allows no request in time.

    Attributes:
        until_s: When it allows the next one, on the loop's clock, in seconds.
    """

    until_s: float


Availability = Available | Leaving | Paused | LimitReached


def check_statements(
    state: dispatch.ServerState,
    deadline_s: float,
    now_s: float,
    *,
    leaving_use_s: float,
) -> Availability:
    """Returns whether a server's statements keep a request away from it.

    If several do, it is the one that does so for the longest time.

    Args:
        state: The server.
        deadline_s: Until when the request can wait for a permit, on the loop's
            clock, in seconds.
        now_s: Time on the loop's clock, in seconds.
        leaving_use_s: Time for which a leaving server is still used, in
            seconds.
    """
    if (
        state.leaving_since_s is not None
        and now_s >= state.leaving_since_s + leaving_use_s
    ):
        return Leaving()
    is_limit_reached = (
        state.limit is not None and state.permit_available_s > deadline_s
    )
    if state.paused_until_s > now_s and not (
        is_limit_reached and state.permit_available_s > state.paused_until_s
    ):
        return Paused(state.paused_until_s)
    if is_limit_reached:
        return LimitReached(state.permit_available_s)
    return Available()


def sample_servers(
    servers: Sequence[dispatch.ServerState], rng: random.Random
) -> Sequence[dispatch.ServerState]:
    """Returns the servers of a group to compare for one request.

    A large group is reduced to a random sample.

    Args:
        servers: All servers of the group.
        rng: Source of randomness.
    """
    if len(servers) <= _SAMPLE_SIZE:
        return servers
    return rng.sample(servers, _SAMPLE_SIZE)


def choose_server(
    candidates: Sequence[dispatch.ServerState],
    availability_zone: str,
    now_s: float,
    rng: random.Random,
    *,
    goal_ms: float,
    is_download: bool,
) -> dispatch.ServerState | None:
    """Returns the server with the lowest score, or None if all are full.

    The score is the expected latency, raised for servers of other zones. These
    are compared only if no server of the local zone is likely to meet the
    goal.

    Args:
        candidates: Servers that can be sent the request.
        availability_zone: Zone of this VM.
        now_s: Time on the loop's clock, in seconds.
        rng: Source of the jitter.
        goal_ms: Latency goal of the route, in ms.
        is_download: Whether the response is large.
    """
    available = [c for c in candidates if not is_full(c, now_s)]
    if not available:
        return None
    eligible = [c for c in available if c.ejected_until_s <= now_s]
    # Outlier ejection is ignored if it would leave less than half of the
    # candidates: the few that remain would be overloaded.
    if 2 * len(eligible) < len(candidates):
        eligible = available
    service_times_ms = [c.service_ms for c in candidates if c.service_ms]
    default_service_ms = (
        sum(service_times_ms) / len(service_times_ms)
        if service_times_ms
        else 0.0
    )
    cross_zone_factor = (
        _CROSS_ZONE_DOWNLOAD_LATENCY_FACTOR
        if is_download
        else _CROSS_ZONE_LATENCY_FACTOR
    )
    goal_share = (
        _LOCAL_ZONE_DOWNLOAD_GOAL_SHARE
        if is_download
        else _LOCAL_ZONE_GOAL_SHARE
    )
    local = [
        c
        for c in eligible
        if c.server.availability_zone == availability_zone
        and expected_latency_ms(c, now_s, default_service_ms)
        <= goal_share * goal_ms
    ]

    def score_ms(state: dispatch.ServerState) -> float:
        latency_ms = expected_latency_ms(state, now_s, default_service_ms)
        if state.server.availability_zone != availability_zone:
            latency_ms *= cross_zone_factor
        return latency_ms * (1.0 + _MAX_JITTER * rng.random())

    return min(local or eligible, key=score_ms)


def find_owner(
    table: models.KeyTable, key: int
) -> models.ServerInstance | None:
    """Returns the owner of a key.

    Returns None if the key has no owner, or while it moves from one server
    instance to another.
    """
    index = bisect.bisect_right(table.ranges, key, key=lambda r: r.first) - 1
    if index < 0:
        return None
    key_range = table.ranges[index]
    return key_range.owner if key_range.previous_owner is None else None
