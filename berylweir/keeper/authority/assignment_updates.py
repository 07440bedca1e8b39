"""Updates of a holder that change homes and owners of slices."""

import msgspec

from berylweir.keeper.assignment import decisions as assignment
from berylweir.keeper.authority import delegation
from berylweir.keeper.authority import models
from berylweir.keeper.authority import pair_updates
from berylweir.objects import schemas


def next_assignment(
    state: models.State,
    now: float,
    view: models.ClusterView,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> schemas.Partition | None:
    """Returns the object with new homes and owners, or None if none change."""
    partition = state.partition
    assert partition is not None
    token = state.version + 1
    unresolved = _remaining_unresolved(state, now, timings)
    homes = assignment.choose_homes(
        partition.homes,
        view,
        lost_homes=_lost_homes(state, now, timings),
        delegated_homes=_homes_with_live_delegation(state, view, now, timings),
        silent_vms=frozenset(
            name
            for name, member in view.members.items()
            if name != state.own_incarnation.vm
            and pair_updates.is_silent(member, now, timings)
        ),
    )
    released = state.released_slices
    if not safety.wait_for_grant_expiry:
        released = _moving_slices(partition)
    slices = assignment.finish_moves(
        partition.slices, partition.first_slice, released, token
    )
    if not _awaits_home_reports(state, now, timings):
        slices = assignment.plan_moves(
            slices, view, _lost_servers(state), token, _slice_loads(state)
        )
    new_partition = msgspec.structs.replace(
        partition, homes=homes, slices=slices, unresolved=unresolved
    )
    return None if new_partition == partition else new_partition


def _remaining_unresolved(
    state: models.State, now: float, timings: models.Timings
) -> tuple[schemas.Incarnation, ...]:
    """Returns the members of former pairs that may still act.

    Once one member knows the present epoch, the former pair can't extend its
    lease: either the holder stops acting or it gets no promise. The last lease
    and the delegations under it have ended after the lease duration and the
    clock drift margin.
    """
    assert state.partition is not None
    wait_s = timings.lease_s + timings.margin_s
    if now >= state.former_pair_informed_s + wait_s:
        return ()
    return state.partition.unresolved


def _awaits_home_reports(
    state: models.State, now: float, timings: models.Timings
) -> bool:
    """Returns whether a new holder still waits for reports from the homes.

    It waits `server_loss_s` at most. Homes report to the standby too, so a
    standby that takes over hardly waits.
    """
    partition = state.partition
    assert partition is not None
    holder_since_s = max(state.not_before_s, state.epoch_known_since_s)
    if now >= holder_since_s + timings.server_loss_s:
        return False
    lost_homes = _lost_homes(state, now, timings)
    reported_servers = {
        r.server
        for r in state.server_records
        if now - r.reported_s <= timings.home_loss_s
    }
    return any(
        server not in reported_servers
        for server, vm in partition.homes.items()
        if vm not in lost_homes
    )


def _lost_servers(state: models.State) -> frozenset[str]:
    """Returns the servers that their homes report as lost.

    A server whose home is silent doesn't count as lost: a new home has to
    probe it first.
    """
    return frozenset(
        record.server for record in state.server_records if not record.healthy
    )


def _slice_loads(state: models.State) -> list[float]:
    """Returns the requests per second of each slice, in partition order."""
    assert state.partition is not None
    loads = [0.0] * len(state.partition.slices)
    homes = set(state.partition.homes.values())
    for vm, slice_loads in state.slice_loads_by_home:
        if vm not in homes:
            continue
        for index, load in slice_loads:
            offset = index - state.partition.first_slice
            if 0 <= offset < len(loads):
                loads[offset] += load
    return loads


def _lost_homes(
    state: models.State, now: float, timings: models.Timings
) -> frozenset[str]:
    """Returns the homes that have sent no request for `home_loss_s`.

    For a home that has sent none, the time counts from when this VM became
    holder.
    """
    assert state.partition is not None
    holder_since_s = max(state.not_before_s, state.epoch_known_since_s)
    last_requests_s = {h.vm: h.last_request_s for h in state.home_records}
    return frozenset(
        vm
        for vm in state.partition.homes.values()
        if now - last_requests_s.get(vm, holder_since_s) > timings.home_loss_s
    )


def _homes_with_live_delegation(
    state: models.State,
    view: models.ClusterView,
    now: float,
    timings: models.Timings,
) -> frozenset[str]:
    """Returns the homes that may still act under a delegation."""
    if isinstance(view.group.routing, schemas.Unkeyed):
        # Two homes at a time do no harm here: together they may exceed the
        # concurrency limit, and the backend server sheds the excess.
        return frozenset()
    if now < state.former_delegations_end_s and state.partition is not None:
        # The former holder may have delegated right before it resigned.
        return frozenset(state.partition.homes.values())
    return frozenset(
        h.vm
        for h in state.home_records
        if now < h.delegated_until_s + timings.margin_s
    )


def _moving_slices(partition: schemas.Partition) -> frozenset[int]:
    """Returns the numbers of all moving slices."""
    return frozenset(
        partition.first_slice + i
        for i, s in enumerate(partition.slices)
        if delegation.source_server(s) is not None
    )
