"""Decisions about one partition: who holds it and what its holder does.

Pure functions from a state and an event to a state and commands. Nothing here
reads a clock, opens a socket or knows how messages are encoded.
"""

import dataclasses
import typing

import msgspec

from berylweir.keeper.authority import delegation
from berylweir.keeper.authority import leases
from berylweir.keeper.authority import models
from berylweir.keeper.authority import plan
from berylweir.keeper.authority import takeover
from berylweir.objects import schemas

is_holder = leases.is_holder
is_standby = leases.is_standby
may_act = leases.may_act


def step(
    state: models.State,
    event: models.Event,
    now: float,
    view: models.ClusterView,
    timings: models.Timings,
    operation_id: str,
    safety: models.SafetyRules = models.SafetyRules(),  # noqa: B008
) -> models.Step:
    """Returns the next state and what has to be done.

    Args:
        state: Present state.
        event: What happened.
        now: Time of the monotonic clock, in seconds.
        view: Configuration and membership.
        timings: Intervals of the protocol.
        operation_id: Fresh id for an update, should one be needed.
        safety: Safety rules in force; all of them outside tests.
    """
    match event:
        case models.ObjectReceived(partition=partition, version=version):
            return _see(state, partition, version, now, timings, safety)
        case models.RenewRequestReceived():
            return leases.promise(state, event, now, safety)
        case models.PromiseReceived():
            return leases.take_promise(state, event, now, safety), ()
        case models.ResignationReceived(sender=sender, epoch=epoch):
            return leases.partner_resigned(
                state, sender, epoch, now, timings
            ), ()
        case models.EpochReported(sender=sender, epoch=epoch):
            return _hear_epoch(state, sender, epoch, now)
        case models.UpdateAccepted(operation_id=done, version=version):
            return _accepted(state, done, version, now, timings, safety)
        case models.UpdateRejected(operation_id=lost):
            return _not_accepted(state, lost, now, timings), ()
        case models.UpdateOutcomeUnknown(operation_id=unknown):
            return _not_accepted(state, unknown, now, timings), ()
        case models.DelegationRequested():
            return delegation.delegate(state, event, now, view, timings, safety)
        case models.SlicesReleased():
            return delegation.release(state, event, now, view, safety), ()
        case models.ShutdownRequested():
            return leases.leave(state)
        case models.Tick():
            return _tick(state, now, view, timings, operation_id, safety)
        case _:
            typing.assert_never(event)


def _see(
    state: models.State,
    partition: schemas.Partition,
    version: int,
    now: float,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> models.Step:
    if version == state.version:
        return state, ()
    if version < state.version and safety.refuse_old_versions:
        return state, ()
    pending = state.pending
    if (
        pending is not None
        and pending.operation_id == partition.operation_id
        and pending.expected_version == version - 1
    ):
        # The answer to this keeper's own update is on its way or lost. The
        # evidence of the update is taken when the writer reports it.
        return state, ()
    epoch_changed = (
        state.partition is None or state.partition.epoch != partition.epoch
    )
    next_state = dataclasses.replace(
        state,
        partition=partition,
        version=version,
        released=frozenset(),
        homes=_with_new_homes(state, partition, now),
    )
    if epoch_changed:
        next_state = dataclasses.replace(
            next_state,
            epoch_learnt_s=now,
            pair_heard_s=now,
            renewals=(),
            resolved_s=float("inf"),
        )
    return _with_act_from(state, next_state, timings, safety), (
        models.BroadcastObject(),
    )


def _with_new_homes(
    state: models.State, partition: schemas.Partition, now: float
) -> tuple[models.HomeRecord, ...]:
    """Gives a VM that has just become home the time to be heard."""
    before = state.partition.homes if state.partition is not None else {}
    records = {h.vm: h for h in state.homes}
    for server, vm in partition.homes.items():
        if before.get(server) != vm:
            record = records.get(vm, models.HomeRecord(vm))
            records[vm] = dataclasses.replace(record, heard_s=now)
    return tuple(records.values())


def _with_act_from(
    before: models.State,
    after: models.State,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> models.State:
    """Makes a keeper that has just become holder wait out its last promise."""
    if leases.is_holder(before) or not leases.is_holder(after):
        return after
    known = before.partition
    if known is not None and before.partner_resigned_epoch == known.epoch:
        # The former holder has resigned, so no promise binds this keeper.
        return dataclasses.replace(after, act_from_s=-float("inf"))
    margin = timings.margin_s if safety.drift_margin else 0.0
    return dataclasses.replace(
        after, act_from_s=before.promised_s + timings.lease_s + margin
    )


def _hear_epoch(
    state: models.State, sender: schemas.Incarnation, epoch: int, now: float
) -> models.Step:
    partition = state.partition
    if partition is None:
        return state, ()
    heard = state
    if sender in (partition.holder, partition.standby):
        heard = dataclasses.replace(heard, pair_heard_s=now)
    if sender in partition.unresolved and epoch >= partition.epoch:
        heard = dataclasses.replace(
            heard, resolved_s=min(heard.resolved_s, now)
        )
    if epoch < partition.epoch:
        return heard, (models.SendObject(sender),)
    return heard, ()


def _accepted(
    state: models.State,
    operation_id: str,
    version: int,
    now: float,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> models.Step:
    pending = state.pending
    if pending is None or pending.operation_id != operation_id:
        return state, ()
    cleared = dataclasses.replace(state, pending=None)
    if version <= state.version:
        return cleared, ()
    previous = state.partition
    starts_epoch = previous is None or previous.epoch != pending.partition.epoch
    next_state = dataclasses.replace(
        cleared,
        partition=pending.partition,
        version=version,
        released=frozenset(),
        homes=_with_new_homes(state, pending.partition, now),
    )
    if starts_epoch or not safety.epoch_evidence:
        next_state = dataclasses.replace(
            next_state,
            evidence_s=max(state.evidence_s, pending.sent_s),
        )
    if starts_epoch:
        next_state = dataclasses.replace(
            next_state,
            epoch_learnt_s=now,
            pair_heard_s=now,
            renewals=(),
            next_renew_s=now,
            resolved_s=float("inf"),
        )
    return _with_act_from(state, next_state, timings, safety), (
        models.BroadcastObject(),
    )


def _not_accepted(
    state: models.State,
    operation_id: str,
    now: float,
    timings: models.Timings,
) -> models.State:
    if state.pending is None or state.pending.operation_id != operation_id:
        return state
    return dataclasses.replace(
        state, pending=None, retry_update_s=now + timings.renew_s
    )


def _tick(
    state: models.State,
    now: float,
    view: models.ClusterView,
    timings: models.Timings,
    operation_id: str,
    safety: models.SafetyRules,
) -> models.Step:
    if state.partition is None:
        return takeover.create_when_due(state, now, view, timings, operation_id)
    if state.resigned_epoch == state.partition.epoch:
        return state, ()
    renewed, commands = leases.renew_when_due(state, now, timings)
    if renewed.pending is not None or now < renewed.retry_update_s:
        return renewed, commands
    wanted = _wanted_update(renewed, now, view, timings, safety)
    if wanted is None:
        return renewed, commands
    update = models.PendingUpdate(
        operation_id,
        now,
        msgspec.structs.replace(wanted, operation_id=operation_id),
        renewed.version,
    )
    return _with_doubt(dataclasses.replace(renewed, pending=update), now), (
        *commands,
        models.WritePartition(update),
    )


def _with_doubt(state: models.State, now: float) -> models.State:
    """Notes that the pair is in doubt if the pending update changes it."""
    assert state.pending is not None and state.partition is not None
    before, after = state.partition, state.pending.partition
    if (before.holder, before.standby) == (after.holder, after.standby):
        return state
    if state.doubt_version == state.version:
        return state
    return dataclasses.replace(state, doubt_version=state.version, doubt_s=now)


def _wanted_update(
    state: models.State,
    now: float,
    view: models.ClusterView,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> schemas.Partition | None:
    if leases.is_holder(state):
        relisted = takeover.relist_standby(state, now, view, timings)
        if relisted is not None:
            return relisted
        if leases.may_act(state, now, timings, safety):
            return plan.next_assignment(state, now, view, timings, safety)
        return None
    if leases.is_standby(state):
        return takeover.take_over_as_standby(state, now, view, timings, safety)
    return takeover.take_over_as_outsider(state, now, view, timings)


def fresh_state(me: schemas.Incarnation, name: str) -> models.State:
    """Returns the state of a keeper that knows nothing of the partition."""
    return models.State(me, name)
