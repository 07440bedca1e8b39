"""Updates that create a partition or change its holder or standby."""

import dataclasses

import msgspec

from berylweir.keeper.assignment import decisions as assignment
from berylweir.keeper.authority import models
from berylweir.objects import schemas


def create_when_due(
    state: models.State,
    now: float,
    view: models.ClusterView,
    timings: models.Timings,
    operation_id: str,
) -> models.Step:
    """Creates a missing partition object.

    Each VM waits one renewal interval longer than the VM ranked before it, so
    that they don't all write at once.
    """
    if state.missing_since_s == -float("inf"):
        return dataclasses.replace(state, missing_since_s=now), ()
    ranked = assignment.rank_vms(state.partition_name, view.members)
    rank = (
        ranked.index(state.own_incarnation.vm)
        if state.own_incarnation.vm in ranked
        else len(ranked)
    )
    due_s = state.missing_since_s + (1 + rank) * timings.renew_s
    if state.pending_update is not None or now < max(
        due_s, state.update_backoff_until_s
    ):
        return state, ()
    group, index = state.partition_name.rsplit(".", 1)
    partition = schemas.Partition(
        group,
        int(index),
        epoch=1,
        holder=state.own_incarnation,
        standby=_pick_standby(state, view, now, timings),
        first_slice=_first_slice(view.group, int(index)),
        slices=_empty_slices(view.group, int(index)),
        operation_id=operation_id,
    )
    update = models.PendingUpdate(operation_id, now, partition, 0)
    return dataclasses.replace(state, pending_update=update), (
        models.WritePartition(update),
    )


def _first_slice(group: schemas.ServerGroup, index: int) -> int:
    """Returns the number of the first slice of a partition."""
    match group.routing:
        case schemas.Keyed(slices=slices, partitions=partitions):
            return -(-index * slices // partitions)
        case schemas.Unkeyed():
            return 0


def _empty_slices(
    group: schemas.ServerGroup, index: int
) -> tuple[schemas.SliceState, ...]:
    """Returns the slices of a new partition, without owners."""
    match group.routing:
        case schemas.Keyed():
            first = _first_slice(group, index)
            end = _first_slice(group, index + 1)
            return (schemas.Unassigned(),) * (end - first)
        case schemas.Unkeyed():
            return ()


def extend_lease_or_replace_standby(
    state: models.State,
    now: float,
    view: models.ClusterView,
    timings: models.Timings,
) -> schemas.Partition | None:
    """Returns the object in a new epoch, or None if none is needed yet.

    A missing standby or one that has resigned is replaced at once, and a lost
    one when half of the lease has passed. After three quarters of the lease,
    for instance because the standby doesn't answer renewals, the epoch changes
    without a new standby: an accepted update that starts an epoch extends the
    lease like a promise does.
    """
    partition = state.partition
    assert partition is not None
    standby = partition.standby
    candidate = _pick_standby(state, view, now, timings)
    if standby is None:
        is_lease_half_over = now >= state.lease_start_s + timings.lease_s / 2
        if candidate is None and not is_lease_half_over:
            return None
    else:
        member = view.members.get(standby.vm)
        is_known = member is not None and member.incarnation == standby
        is_lease_half_over = now >= state.lease_start_s + timings.lease_s / 2
        partner_has_resigned = state.partner_resigned_epoch == partition.epoch
        must_replace = partner_has_resigned or (
            is_lease_half_over
            and (not is_known or is_silent(member, now, timings))
        )
        must_extend = now >= state.lease_start_s + timings.lease_s * 0.75
        if not must_replace and not must_extend:
            return None
        if must_replace and not view.platform_up:
            # An update with an unknown outcome would leave the pair uncertain.
            if partner_has_resigned:
                return None
            must_replace = False
        if not must_replace:
            candidate = standby
    return msgspec.structs.replace(
        partition, epoch=partition.epoch + 1, standby=candidate
    )


def is_silent(
    member: models.Member | None, now: float, timings: models.Timings
) -> bool:
    """Returns whether a VM is unknown, shutting down or silent."""
    if member is None:
        return True
    return member.leaving or now - member.last_heard_s > timings.home_loss_s


def take_over_as_standby(
    state: models.State,
    now: float,
    view: models.ClusterView,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> schemas.Partition | None:
    """Returns the object with this standby as holder, or None.

    The standby may take over once the lease it last promised and the clock
    drift margin have passed, or once the holder has resigned.
    """
    partition = state.partition
    assert partition is not None
    drift_margin_s = timings.margin_s if safety.clock_drift_margin else 0.0
    waited_s = now - max(state.last_promise_s, state.epoch_known_since_s)
    partner_has_resigned = state.partner_resigned_epoch == partition.epoch
    if not partner_has_resigned and waited_s < timings.lease_s + drift_margin_s:
        return None
    if not view.platform_up:
        # An update with an unknown outcome would leave the pair uncertain, and
        # this keeper could give no promise when the holder returns.
        return None
    return msgspec.structs.replace(
        partition,
        epoch=partition.epoch + 1,
        holder=state.own_incarnation,
        standby=_pick_standby(state, view, now, timings),
    )


def take_over_from_silent_pair(
    state: models.State,
    now: float,
    view: models.ClusterView,
    timings: models.Timings,
) -> schemas.Partition | None:
    """Returns the object with this VM as holder if the pair is silent, or None.

    The former pair may still act behind a network partition, so it becomes
    unresolved, and the slices get new fencing tokens.
    """
    partition = state.partition
    assert partition is not None
    ranked = assignment.rank_vms(state.partition_name, view.members)
    rank = (
        ranked.index(state.own_incarnation.vm)
        if state.own_incarnation.vm in ranked
        else len(ranked)
    )
    wait_s = timings.silent_pair_s + rank * timings.renew_s
    pair = (partition.holder, partition.standby)
    last_heard_s = max(
        state.pair_last_heard_s,
        *(
            m.last_heard_s
            for m in view.members.values()
            if m.incarnation in pair
        ),
        -float("inf"),
    )
    if not view.platform_up or now - last_heard_s < wait_s:
        return None
    token = state.version + 1
    former_pair = tuple(i for i in pair if i is not None)
    return msgspec.structs.replace(
        partition,
        epoch=partition.epoch + 1,
        holder=state.own_incarnation,
        standby=_pick_standby(state, view, now, timings),
        unresolved=tuple(dict.fromkeys((*partition.unresolved, *former_pair))),
        slices=tuple(_with_token(s, token) for s in partition.slices),
    )


def _with_token(
    slice_state: schemas.SliceState, token: int
) -> schemas.SliceState:
    """Returns an owned or moving slice with another fencing token."""
    match slice_state:
        case schemas.Owned() | schemas.Moving():
            return msgspec.structs.replace(slice_state, token=token)
        case schemas.Unassigned():
            return slice_state


def _pick_standby(
    state: models.State,
    view: models.ClusterView,
    now: float,
    timings: models.Timings,
) -> schemas.Incarnation | None:
    """Returns a standby among the other live VMs in service, or None."""
    own_member = view.members.get(state.own_incarnation.vm)
    own_zone = own_member.availability_zone if own_member is not None else ""
    candidates = {
        name: member
        for name, member in view.members.items()
        if name != state.own_incarnation.vm
        and member.in_service
        and not is_silent(member, now, timings)
    }
    return assignment.choose_standby(
        state.partition_name, own_zone, candidates, view.group.routing
    )
