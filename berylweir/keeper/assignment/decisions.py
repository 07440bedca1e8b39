"""Pure functions that choose standbys, home VMs and slice owners."""

from collections.abc import Mapping
from collections.abc import Sequence

import xxhash

from berylweir.keeper.authority import models
from berylweir.objects import schemas

# A slice isn't served for a moment while it moves, so only this many slices of
# a partition may be moving when rebalancing starts another move.
MAX_REBALANCING_MOVES = 4
# A slice moves away from a server whose load is above MAX_LOAD_RATIO times the
# mean, or towards one whose load is below MIN_LOAD_RATIO times the mean.
MAX_LOAD_RATIO = 1.15
MIN_LOAD_RATIO = 0.7
# Smallest difference in load between source and target of a rebalancing move,
# as a multiple of the mean load of a server.
MIN_LOAD_GAP_RATIO = 0.1
# Weight of a slice without load, as a multiple of the mean load of a slice.
BASE_WEIGHT_RATIO = 0.1


def _rendezvous_score(subject: str, candidate: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{subject}\0{candidate}".encode())


def rank_vms(
    subject: str, members: Mapping[str, models.Member]
) -> tuple[str, ...]:
    """Returns the names of VMs by rendezvous hash, highest score first.

    VMs that are out of service or about to end are left out.

    Args:
        subject: Name of the object to place, such as a partition.
        members: Entry VMs by name.
    """
    available_vms = (
        n for n, m in members.items() if m.in_service and not m.leaving
    )
    return tuple(
        sorted(
            available_vms,
            key=lambda n: _rendezvous_score(subject, n),
            reverse=True,
        )
    )


def choose_standby(
    subject: str,
    holder_zone: str,
    candidates: Mapping[str, models.Member],
    routing: schemas.Routing,
) -> schemas.Incarnation | None:
    """Returns the standby for a partition, or None if there is no candidate.

    Args:
        subject: Name of the partition.
        holder_zone: Availability zone of the holder.
        candidates: Other entry VMs with a recent heartbeat, by name.
        routing: Routing of the server group. Its `standby_zone` says whether a
            standby in the holder's zone is preferred to one in another zone; a
            candidate outside the preference is chosen if there is no other.
    """
    match routing:
        case schemas.Keyed(standby_zone="same"):
            prefers_other_zone = False
        case schemas.Keyed() | schemas.Unkeyed():
            prefers_other_zone = True
    preferred = {
        name: member
        for name, member in candidates.items()
        if (member.availability_zone != holder_zone) == prefers_other_zone
    }
    ranked_vms = rank_vms(subject, preferred or candidates)
    return candidates[ranked_vms[0]].incarnation if ranked_vms else None


def eligible_servers(
    view: models.ClusterView, lost_servers: frozenset[str]
) -> tuple[schemas.BackendServer, ...]:
    """Returns the backend servers that may get more slices.

    These are servers in service, in a zone in service, that aren't lost.
    """
    return tuple(
        server
        for server in view.servers
        if server.state == "in_service"
        and server.name not in lost_servers
        and _is_zone_in_service(view, server.availability_zone)
    )


def _is_zone_in_service(view: models.ClusterView, name: str) -> bool:
    zone = view.zones.get(name)
    return zone is None or zone.in_service


def choose_homes(
    homes: Mapping[str, str],
    view: models.ClusterView,
    lost_homes: frozenset[str],
    delegated_homes: frozenset[str],
    silent_vms: frozenset[str] = frozenset(),
) -> dict[str, str]:
    """Returns the home VM of each backend server.

    A server gets another home if the VM is lost, is about to end or is out of
    service, but not before the last delegation to that VM has expired. The new
    home is a VM in the server's availability zone if possible, and among those
    the one that is home to the fewest servers. A server without a possible
    home is left out.

    Args:
        homes: Current home VMs by server name.
        view: Configuration and membership.
        lost_homes: VMs that have not requested a delegation lately.
        delegated_homes: VMs whose last delegation may still be valid.
        silent_vms: VMs without a recent heartbeat. None of them becomes a home.
            Otherwise the servers of a lost zone would be given to one lost VM
            after the other.
    """
    home_by_server: dict[str, str] = {}
    available_vms = {
        n
        for n, m in view.members.items()
        if m.in_service and not m.leaving and n not in lost_homes
    }
    server_counts = dict.fromkeys(sorted(available_vms - silent_vms), 0)
    servers_without_home = []
    for server in sorted(view.servers, key=lambda s: s.name):
        current_home = homes.get(server.name)
        if current_home in available_vms or current_home in delegated_homes:
            assert current_home is not None
            home_by_server[server.name] = current_home
            if current_home in server_counts:
                server_counts[current_home] += 1
        else:
            servers_without_home.append(server)
    for server in servers_without_home:
        if not server_counts:
            break
        home = min(
            server_counts,
            key=lambda n: (
                view.members[n].availability_zone != server.availability_zone,
                server_counts[n],
                n,
            ),
        )
        home_by_server[server.name] = home
        server_counts[home] += 1
    return home_by_server


def finish_moves(
    slices: Sequence[schemas.SliceState],
    first_slice: int,
    released: frozenset[int],
    token: int,
) -> tuple[schemas.SliceState, ...]:
    """Returns the slices, with each released slice owned by its move's target.

    Args:
        slices: Present states.
        first_slice: Number of the first slice in `slices`.
        released: Numbers of the slices that their source no longer serves.
        token: Fencing token for the new owners.
    """
    updated_slices: list[schemas.SliceState] = []
    for offset, state in enumerate(slices):
        match state:
            case schemas.Moving(target=target) if (
                first_slice + offset in released
            ):
                updated_slices.append(schemas.Owned(target, token))
            case _:
                updated_slices.append(state)
    return tuple(updated_slices)


def plan_moves(
    slices: Sequence[schemas.SliceState],
    view: models.ClusterView,
    lost_servers: frozenset[str],
    token: int,
    loads: Sequence[float] = (),
) -> tuple[schemas.SliceState, ...]:
    """Returns the slices with new owners and moves.

    A slice without an owner is given to the server with the least load. A
    slice of a server that is lost or out of service starts to move, as does a
    slice that is moving to such a server. Then a few slices start to move from
    the server with the most load to the one with the least. The limit on their
    number makes a returning server take over slices in steps.

    Without an eligible server the slices are returned unchanged.

    Args:
        slices: Present states.
        view: Configuration and membership.
        lost_servers: Servers that don't respond.
        token: Fencing token for new owners.
        loads: Load of each slice, in requests per second; empty if unknown.
    """
    slice_weights = _slice_weights(len(slices), loads)
    server_loads = {s.name: 0.0 for s in eligible_servers(view, lost_servers)}
    if not server_loads:
        return tuple(slices)
    for state, weight in zip(slices, slice_weights, strict=True):
        future_owner = _future_owner(state)
        if future_owner in server_loads:
            server_loads[future_owner] += weight
    planned_slices = [
        _plan_slice(state, weight, server_loads, token)
        for state, weight in zip(slices, slice_weights, strict=True)
    ]
    _rebalance(planned_slices, slice_weights, server_loads, token)
    return tuple(planned_slices)


def _slice_weights(count: int, loads: Sequence[float]) -> list[float]:
    """Returns the weight of each slice in the load of its server.

    The weight is the slice's load plus a tenth of the mean load, because keys
    of a slice without load may be used at any time. If loads are unknown, all
    slices weigh the same.
    """
    if len(loads) != count or not sum(loads):
        return [1.0] * count
    mean = sum(loads) / count
    return [load + mean * BASE_WEIGHT_RATIO for load in loads]


def _future_owner(state: schemas.SliceState) -> str | None:
    """Returns the owner of a slice after its move, if any."""
    match state:
        case schemas.Owned(server=server):
            return server
        case schemas.Moving(target=target):
            return target
        case schemas.Unassigned():
            return None


def _assign_to_least_loaded(
    server_loads: dict[str, float], weight: float
) -> str:
    """Adds a weight to the server with the least load; returns its name."""
    target = min(server_loads, key=lambda n: (server_loads[n], n))
    server_loads[target] += weight
    return target


def _plan_slice(
    state: schemas.SliceState,
    weight: float,
    server_loads: dict[str, float],
    token: int,
) -> schemas.SliceState:
    """Returns a slice with an eligible owner or target.

    `server_loads` has the eligible servers; it gets the weight of the slice if
    the slice is given to another one.
    """
    match state:
        case schemas.Unassigned():
            return schemas.Owned(
                _assign_to_least_loaded(server_loads, weight), token
            )
        case schemas.Owned(server=server) if server not in server_loads:
            return schemas.Moving(
                server, _assign_to_least_loaded(server_loads, weight), token
            )
        case schemas.Moving(source=source, target=target) if (
            target not in server_loads
        ):
            return schemas.Moving(
                source, _assign_to_least_loaded(server_loads, weight), token
            )
        case _:
            return state


def _rebalance(
    planned_slices: list[schemas.SliceState],
    slice_weights: Sequence[float],
    server_loads: dict[str, float],
    token: int,
) -> None:
    """Starts moves from servers with much load to the one with the least.

    Changes `planned_slices` and `server_loads`. No move starts while
    `MAX_REBALANCING_MOVES` slices are moving, whatever the reason of their
    moves.
    """
    moving_count = sum(isinstance(s, schemas.Moving) for s in planned_slices)
    for _ in range(MAX_REBALANCING_MOVES - moving_count):
        target = min(server_loads, key=lambda n: (server_loads[n], n))
        move = _choose_move(planned_slices, slice_weights, server_loads, target)
        if move is None:
            return
        source, index = move
        planned_slices[index] = schemas.Moving(source, target, token)
        server_loads[source] -= slice_weights[index]
        server_loads[target] += slice_weights[index]


def _choose_move(
    planned_slices: Sequence[schemas.SliceState],
    slice_weights: Sequence[float],
    server_loads: dict[str, float],
    target: str,
) -> tuple[str, int] | None:
    """Returns the source and the slice index of the best move, or None.

    The source is the busiest server that has a suitable slice. A server whose
    load comes from one hot slice has none, because moving that slice would
    only overload the target; the next busiest server may have one.
    """
    mean = sum(server_loads.values()) / len(server_loads)
    is_underused = server_loads[target] < mean * MIN_LOAD_RATIO
    for source in sorted(server_loads, key=lambda n: (-server_loads[n], n)):
        load_gap = server_loads[source] - server_loads[target]
        is_busy = server_loads[source] > mean * MAX_LOAD_RATIO
        is_worthwhile = load_gap > mean * MIN_LOAD_GAP_RATIO
        if not is_worthwhile or not (is_busy or is_underused):
            return None
        index = _choose_slice(planned_slices, slice_weights, source, load_gap)
        if index is not None:
            return source, index
    return None


def _choose_slice(
    planned_slices: Sequence[schemas.SliceState],
    slice_weights: Sequence[float],
    server: str,
    load_gap: float,
) -> int | None:
    """Returns the index of the slice whose move narrows the gap most, or None.

    A slice whose weight is at least the gap is no candidate: its move would
    make the target at least as busy as the source was, and the next plan would
    move it back.
    """
    candidates = [
        i
        for i, state in enumerate(planned_slices)
        if isinstance(state, schemas.Owned)
        and state.server == server
        and slice_weights[i] < load_gap
    ]
    if not candidates:
        return None
    return min(
        candidates, key=lambda i: (abs(slice_weights[i] - load_gap / 2), i)
    )
