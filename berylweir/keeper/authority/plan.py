"""What a holder changes: homes, moves and owners of slices."""

import msgspec

from berylweir.keeper.assignment import decisions as assignment
from berylweir.keeper.authority import delegation
from berylweir.keeper.authority import models
from berylweir.keeper.authority import takeover
from berylweir.objects import schemas


def next_assignment(
    state: models.State,
    now: float,
    view: models.ClusterView,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> schemas.Partition | None:
    """Returns the object with new homes and owners, or None if it fits."""
    partition = state.partition
    assert partition is not None
    token = state.version + 1
    resolved = _resolve(state, now, timings)
    homes = assignment.choose_homes(
        partition.homes,
        view,
        lost_homes=_lost_homes(state, now, timings),
        held_homes=_held_homes(state, view, now, timings),
        silent=frozenset(
            name
            for name, member in view.members.items()
            if name != state.me.vm and takeover.is_silent(member, now, timings)
        ),
    )
    released = state.released
    if not safety.wait_before_move:
        released = _moving_slices(partition)
    slices = assignment.finish_moves(
        partition.slices, partition.first_slice, released, token
    )
    if not _is_settling(state, now, timings):
        slices = assignment.plan_moves(
            slices, view, _lost_servers(state), token, _slice_loads(state)
        )
    wanted = msgspec.structs.replace(
        partition, homes=homes, slices=slices, unresolved=resolved
    )
    return None if wanted == partition else wanted


def _resolve(
    state: models.State, now: float, timings: models.Timings
) -> tuple[schemas.Incarnation, ...]:
    assert state.partition is not None
    wait_s = timings.lease_s + timings.margin_s
    if now >= state.resolved_s + wait_s:
        return ()
    return state.partition.unresolved


def _is_settling(
    state: models.State, now: float, timings: models.Timings
) -> bool:
    """Returns whether a new holder still waits for reports from the homes.

    Homes report to the standby too, so a standby that takes over knows them.
    """
    partition = state.partition
    assert partition is not None
    began_s = max(state.act_from_s, state.epoch_learnt_s)
    if now >= began_s + timings.server_loss_s:
        return False
    lost_homes = _lost_homes(state, now, timings)
    known = {
        r.server
        for r in state.servers
        if now - r.reported_s <= timings.home_loss_s
    }
    return any(
        server not in known
        for server, vm in partition.homes.items()
        if vm not in lost_homes
    )


def _lost_servers(state: models.State) -> frozenset[str]:
    """Returns the servers that their homes report as lost.

    A server whose home is silent isn't lost: another home looks first.
    """
    return frozenset(
        record.server for record in state.servers if not record.healthy
    )


def _slice_loads(state: models.State) -> list[float]:
    assert state.partition is not None
    loads = [0.0] * len(state.partition.slices)
    homes = set(state.partition.homes.values())
    for vm, slice_loads in state.loads:
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
    assert state.partition is not None
    began_s = max(state.act_from_s, state.epoch_learnt_s)
    heard = {h.vm: h.heard_s for h in state.homes}
    return frozenset(
        vm
        for vm in state.partition.homes.values()
        if now - heard.get(vm, began_s) > timings.home_loss_s
    )


def _held_homes(
    state: models.State,
    view: models.ClusterView,
    now: float,
    timings: models.Timings,
) -> frozenset[str]:
    """Returns the homes whose last delegation may not have ended yet."""
    if isinstance(view.group.routing, schemas.Unkeyed):
        # Their delegations don't expire: two homes for a moment only exceed
        # the limit, and the backend server sheds what it can't bear.
        return frozenset()
    if now < state.resigned_until_s and state.partition is not None:
        # The former holder may have delegated right before it resigned.
        return frozenset(state.partition.homes.values())
    return frozenset(
        h.vm
        for h in state.homes
        if now < h.delegated_until_s + timings.margin_s
    )


def _moving_slices(partition: schemas.Partition) -> frozenset[int]:
    return frozenset(
        partition.first_slice + i
        for i, s in enumerate(partition.slices)
        if delegation.source_of(s) is not None
    )
