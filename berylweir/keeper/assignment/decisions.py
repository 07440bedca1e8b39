"""Pure functions that place standbys, homes and slices."""

from collections.abc import Mapping
from collections.abc import Sequence

import xxhash

from berylweir.keeper.authority import models
from berylweir.objects import schemas

MAX_REBALANCING_MOVES = 4
MAX_IMBALANCE = 1.15
MIN_SHARE_OF_MEAN = 0.7
MIN_GAP_SHARE = 0.1
IDLE_SLICE_SHARE = 0.1


def _score(subject: str, candidate: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}\0{candidate}".encode())


def rank_members(
    subject: str, members: Mapping[str, models.Member]
) -> tuple[str, ...]:
    """Returns the VMs in service by rendezvous hash, best first.

    Args:
        subject: Name of what is to be placed.
        members: Entry VMs by name.
    """
    usable = (n for n, m in members.items() if m.in_service and not m.leaving)
    return tuple(sorted(usable, key=lambda n: _score(subject, n), reverse=True))


def pick_standby(
    subject: str,
    my_zone: str,
    candidates: Mapping[str, models.Member],
    routing: schemas.Routing,
) -> schemas.Incarnation | None:
    """Returns the standby for a partition, or None if there is no candidate.

    Args:
        subject: Name of the partition.
        my_zone: Availability zone of the holder.
        candidates: Other entry VMs that have been heard lately.
        routing: Says in which availability zone the standby should be.
    """
    match routing:
        case schemas.Keyed(standby_zone="same"):
            wants_other = False
        case schemas.Keyed() | schemas.Unkeyed():
            wants_other = True
    preferred = {
        name: member
        for name, member in candidates.items()
        if (member.availability_zone != my_zone) == wants_other
    }
    ranked = rank_members(subject, preferred or candidates)
    return candidates[ranked[0]].incarnation if ranked else None


def eligible_servers(
    view: models.ClusterView, lost: frozenset[str]
) -> tuple[schemas.BackendServer, ...]:
    """Returns the backend servers that may get new work."""
    return tuple(
        server
        for server in view.servers
        if server.state == "in_service"
        and server.name not in lost
        and _zone_in_service(view, server.availability_zone)
    )


def _zone_in_service(view: models.ClusterView, name: str) -> bool:
    zone = view.zones.get(name)
    return zone is None or zone.in_service


def choose_homes(
    homes: Mapping[str, str],
    view: models.ClusterView,
    lost_homes: frozenset[str],
    held_homes: frozenset[str],
    silent: frozenset[str] = frozenset(),
) -> dict[str, str]:
    """Returns the home VM of each backend server.

    A home stays unless it is lost, leaves or is taken out of service, and only
    once its last delegation has ended. A new home is in the availability zone
    of the backend server if there is one, and has the fewest servers.

    Args:
        homes: Present homes by server name.
        view: Configuration and membership.
        lost_homes: VMs that have not asked for a delegation lately.
        held_homes: VMs whose last delegation may still be in force.
        silent: VMs that have not been heard lately; none of them becomes a
            home, or a lost zone's servers would go from one to the next.
    """
    chosen: dict[str, str] = {}
    usable = {
        n
        for n, m in view.members.items()
        if m.in_service and not m.leaving and n not in lost_homes
    }
    counts = dict.fromkeys(sorted(usable - silent), 0)
    pending = []
    for server in sorted(view.servers, key=lambda s: s.name):
        present = homes.get(server.name)
        if present in usable or present in held_homes:
            assert present is not None
            chosen[server.name] = present
            if present in counts:
                counts[present] += 1
        else:
            pending.append(server)
    for server in pending:
        if not counts:
            break
        home = min(
            counts,
            key=lambda n: (
                view.members[n].availability_zone != server.availability_zone,
                counts[n],
                n,
            ),
        )
        chosen[server.name] = home
        counts[home] += 1
    return chosen


def finish_moves(
    slices: Sequence[schemas.SliceState],
    first_slice: int,
    released: frozenset[int],
    token: int,
) -> tuple[schemas.SliceState, ...]:
    """Makes the target the owner of each moving slice that was released."""
    finished: list[schemas.SliceState] = []
    for offset, state in enumerate(slices):
        match state:
            case schemas.Moving(target=target) if (
                first_slice + offset in released
            ):
                finished.append(schemas.Owned(target, token))
            case _:
                finished.append(state)
    return tuple(finished)


def plan_moves(
    slices: Sequence[schemas.SliceState],
    view: models.ClusterView,
    lost: frozenset[str],
    token: int,
    loads: Sequence[float] = (),
) -> tuple[schemas.SliceState, ...]:
    """Returns the slices with new owners and moves.

    Slices without an owner get one at once. Slices of servers that are lost or
    out of service start to move. Then a few slices move from the server with
    the most load to the one with the least, so that a returning server fills
    up in steps and a hot slice leaves a busy server.

    Args:
        slices: Present states.
        view: Configuration and membership.
        lost: Servers that don't answer.
        token: Fencing token for new owners.
        loads: Load of each slice, in requests per second; empty if unknown.
    """
    weights = _weights(len(slices), loads)
    totals = {s.name: 0.0 for s in eligible_servers(view, lost)}
    if not totals:
        return tuple(slices)
    for state, weight in zip(slices, weights, strict=True):
        receiver = _receiver(state)
        if receiver in totals:
            totals[receiver] += weight
    planned = [
        _place(state, weight, totals, token)
        for state, weight in zip(slices, weights, strict=True)
    ]
    _rebalance(planned, weights, totals, token)
    return tuple(planned)


def _weights(count: int, loads: Sequence[float]) -> list[float]:
    """Returns what each slice counts for when servers are compared.

    Every slice counts a little even without load, because its keys may be
    used at any time.
    """
    if len(loads) != count or not sum(loads):
        return [1.0] * count
    mean = sum(loads) / count
    return [load + mean * IDLE_SLICE_SHARE for load in loads]


def _receiver(state: schemas.SliceState) -> str | None:
    match state:
        case schemas.Owned(server=server):
            return server
        case schemas.Moving(target=target):
            return target
        case schemas.Unassigned():
            return None


def _take_least(totals: dict[str, float], weight: float) -> str:
    target = min(totals, key=lambda n: (totals[n], n))
    totals[target] += weight
    return target


def _place(
    state: schemas.SliceState,
    weight: float,
    totals: dict[str, float],
    token: int,
) -> schemas.SliceState:
    match state:
        case schemas.Unassigned():
            return schemas.Owned(_take_least(totals, weight), token)
        case schemas.Owned(server=server) if server not in totals:
            return schemas.Moving(server, _take_least(totals, weight), token)
        case schemas.Moving(source=source, target=target) if (
            target not in totals
        ):
            return schemas.Moving(source, _take_least(totals, weight), token)
        case _:
            return state


def _rebalance(
    planned: list[schemas.SliceState],
    weights: Sequence[float],
    totals: dict[str, float],
    token: int,
) -> None:
    """Starts moves that even out the servers, within the churn budget.

    Slices that move are out of service for a moment, so only a few move at a
    time, and only while the busiest server is clearly above the mean.
    """
    moving = sum(isinstance(s, schemas.Moving) for s in planned)
    for _ in range(MAX_REBALANCING_MOVES - moving):
        least = min(totals, key=lambda n: (totals[n], n))
        found = _best_source(planned, weights, totals, least)
        if found is None:
            return
        source, index = found
        planned[index] = schemas.Moving(source, least, token)
        totals[source] -= weights[index]
        totals[least] += weights[index]


def _best_source(
    planned: Sequence[schemas.SliceState],
    weights: Sequence[float],
    totals: dict[str, float],
    least: str,
) -> tuple[str, int] | None:
    """Returns the busiest server that has a slice to spare, and the slice.

    The busiest one may own a single hot slice, which can't be helped by a
    move; the next one may still relieve the server with the least.
    """
    mean = sum(totals.values()) / len(totals)
    is_underused = totals[least] < mean * MIN_SHARE_OF_MEAN
    for source in sorted(totals, key=lambda n: (-totals[n], n)):
        gap = totals[source] - totals[least]
        is_busy = totals[source] > mean * MAX_IMBALANCE
        is_worth_it = gap > mean * MIN_GAP_SHARE
        if not is_worth_it or not (is_busy or is_underused):
            return None
        index = _best_slice(planned, weights, source, gap)
        if index is not None:
            return source, index
    return None


def _best_slice(
    planned: Sequence[schemas.SliceState],
    weights: Sequence[float],
    server: str,
    gap: float,
) -> int | None:
    """Returns the slice whose move narrows the gap most, or None.

    A slice with more than the gap would only make the other server the
    busiest one, and the next plan would move it back.
    """
    candidates = [
        i
        for i, state in enumerate(planned)
        if isinstance(state, schemas.Owned)
        and state.server == server
        and weights[i] < gap
    ]
    if not candidates:
        return None
    return min(candidates, key=lambda i: (abs(weights[i] - gap / 2), i))
