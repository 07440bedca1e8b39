"""Which backend server takes a request."""

import bisect
from collections.abc import Sequence
import random

from berylweir.gateway import models
from berylweir.gateway.dispatch import models as dispatch

# Requests that may wait at a server beyond its slots. Servers queue about a
# dozen and reset connections when full; other VMs fill the queue as well.
QUEUE_AT_SERVER = 4
# Factor on the expected time at a server of another zone: bytes between zones
# are charged, and downloads are most of the bytes.
_OTHER_ZONE_FACTOR = 1.15
_OTHER_ZONE_DOWNLOAD_FACTOR = 1.6
# Part of the goal within which a server of the own zone is expected to respond
# for the other zones to be left alone: of a small response, and of a download.
_NEAR_SHARE = 0.5
_NEAR_DOWNLOAD_SHARE = 0.7
# Servers that are compared for one request. More of them cost processor time
# and hardly shorten the wait.
_SAMPLE = 32
# Random part of the expected time, so that VMs with the same reports don't
# choose the same server.
_JITTER = 0.15


def expected_ms(
    state: dispatch.ServerState, now_s: float, typical_ms: float
) -> float:
    """Returns the expected duration of a request at a server, in ms.

    Args:
        state: The server.
        now_s: Time on the loop's clock, in seconds.
        typical_ms: Duration at a server of the group that wasn't used yet.
    """
    service_ms = state.service_ms or typical_ms or dispatch.UNKNOWN_SERVICE_MS
    slots = max(1, state.server.slots)
    waves = max(1.0, (state.load(now_s) + 1.0) / slots)
    return service_ms * state.slowness(now_s) * waves


def is_full(state: dispatch.ServerState, now_s: float) -> bool:
    """Returns whether another request may find the server full."""
    return (
        state.room_from_s > now_s
        or (state.is_rejecting and state.in_flight > 0)
        or state.load(now_s) >= state.server.slots + QUEUE_AT_SERVER
    )


def room_s(state: dispatch.ServerState, now_s: float) -> float:
    """Returns the time until a full server is likely to have room."""
    slots = max(1, state.server.slots)
    excess = max(0.0, state.load(now_s) + 1.0 - slots - QUEUE_AT_SERVER)
    service_ms = state.service_ms or dispatch.UNKNOWN_SERVICE_MS
    return max(state.room_from_s - now_s, excess * service_ms / 1000.0 / slots)


def sample(
    members: Sequence[dispatch.ServerState], chance: random.Random
) -> Sequence[dispatch.ServerState]:
    """Returns the servers of a group to compare for one request.

    Args:
        members: All servers of the group.
        chance: Source of the choice.
    """
    if len(members) <= _SAMPLE:
        return members
    return chance.sample(members, _SAMPLE)


def choose(
    candidates: Sequence[dispatch.ServerState],
    availability_zone: str,
    now_s: float,
    chance: random.Random,
    *,
    goal_ms: float,
    is_download: bool,
) -> dispatch.ServerState | None:
    """Returns the server with the shortest expected time.

    Servers of other zones are compared only if none of the own zone is likely
    to meet the goal.

    Args:
        candidates: Servers that may get the request.
        availability_zone: Zone of this VM.
        now_s: Time on the loop's clock, in seconds.
        chance: Source of the random part.
        goal_ms: Time within which a response earns its full credit.
        is_download: Whether the response is large.
    """
    free = [c for c in candidates if not is_full(c, now_s)]
    if not free:
        return None
    preferred = [c for c in free if c.avoid_until_s <= now_s]
    # A group is never reduced to a few servers by its failures.
    if 2 * len(preferred) < len(candidates):
        preferred = free
    known = [c.service_ms for c in candidates if c.service_ms]
    typical_ms = sum(known) / len(known) if known else 0.0
    factor = _OTHER_ZONE_DOWNLOAD_FACTOR if is_download else _OTHER_ZONE_FACTOR
    near_share = _NEAR_DOWNLOAD_SHARE if is_download else _NEAR_SHARE
    near = [
        c
        for c in preferred
        if c.server.availability_zone == availability_zone
        and expected_ms(c, now_s, typical_ms) <= near_share * goal_ms
    ]

    def cost(state: dispatch.ServerState) -> float:
        cost_ms = expected_ms(state, now_s, typical_ms)
        if state.server.availability_zone != availability_zone:
            cost_ms *= factor
        return cost_ms * (1.0 + _JITTER * chance.random())

    return min(near or preferred, key=cost)


def owner_of(table: models.KeyTable, key: int) -> models.ServerInstance | None:
    """Returns the life that serves a key, or None while it is moving."""
    index = bisect.bisect_right(table.ranges, key, key=lambda r: r.first) - 1
    if index < 0:
        return None
    found = table.ranges[index]
    return found.owner if found.previous_owner is None else None
