"""State machine of one partition: who holds it and what its holder does.

Pure functions from a state and an event to the next state and commands. They
read no clock, open no socket and don't depend on the encoding of messages.
"""

import dataclasses
import typing

import msgspec

from berylweir.keeper.authority import assignment_updates
from berylweir.keeper.authority import delegation
from berylweir.keeper.authority import leases
from berylweir.keeper.authority import models
from berylweir.keeper.authority import pair_updates
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
    """Applies an event: returns the next state and the commands to execute.

    Args:
        state: Present state.
        event: What happened.
        now: Monotonic time, in seconds.
        view: Configuration and membership.
        timings: Intervals of the lease protocol.
        operation_id: New unique id, used if the event leads to an update.
        safety: Safety rules in force; only tests switch any off.
    """
    match event:
        case models.ObjectReceived(partition=partition, version=version):
            return _receive_object(
                state, partition, version, now, timings, safety
            )
        case models.RenewRequestReceived():
            return leases.answer_renewal(state, event, now, safety)
        case models.PromiseReceived():
            return leases.record_promise(state, event, now, safety), ()
        case models.ResignationReceived(sender=sender, epoch=epoch):
            return leases.record_resignation(
                state, sender, epoch, now, timings
            ), ()
        case models.EpochReported(sender=sender, epoch=epoch):
            return _handle_epoch_report(state, sender, epoch, now)
        case models.UpdateAccepted(operation_id=accepted_id, version=version):
            return _complete_update(
                state, accepted_id, version, now, timings, safety
            )
        case models.UpdateRejected(operation_id=rejected_id):
            return _abort_update(state, rejected_id, now, timings), ()
        case models.UpdateOutcomeUnknown(operation_id=unknown_id):
            return _abort_update(state, unknown_id, now, timings), ()
        case models.DelegationRequested():
            return delegation.handle_request(
                state, event, now, view, timings, safety
            )
        case models.SlicesReleased():
            return delegation.record_release(
                state, event, now, view, safety
            ), ()
        case models.ShutdownRequested():
            return leases.resign(state)
        case models.Tick():
            return _tick(state, now, view, timings, operation_id, safety)
        case _:
            typing.assert_never(event)


def _receive_object(
    state: models.State,
    partition: schemas.Partition,
    version: int,
    now: float,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> models.Step:
    """Adopts a newer version of the partition object."""
    if version == state.version:
        return state, ()
    if version < state.version and safety.reject_old_versions:
        return state, ()
    pending = state.pending_update
    if (
        pending is not None
        and pending.operation_id == partition.operation_id
        and pending.expected_version == version - 1
    ):
        # This is the keeper's own pending update, whose response hasn't
        # arrived. `_complete_update` adopts it, since an accepted update may
        # also extend the lease.
        return state, ()
    epoch_changed = (
        state.partition is None or state.partition.epoch != partition.epoch
    )
    next_state = dataclasses.replace(
        state,
        partition=partition,
        version=version,
        released_slices=frozenset(),
        home_records=_with_contact_time_of_new_homes(state, partition, now),
    )
    if epoch_changed:
        next_state = dataclasses.replace(
            next_state,
            epoch_known_since_s=now,
            pair_last_heard_s=now,
            unanswered_renewals=(),
            former_pair_informed_s=float("inf"),
        )
    return _with_takeover_wait(state, next_state, timings, safety), (
        models.BroadcastObject(),
    )


def _with_contact_time_of_new_homes(
    state: models.State, partition: schemas.Partition, now: float
) -> tuple[models.HomeRecord, ...]:
    """Returns the home records, with new homes counted as heard from now.

    Otherwise a VM that has just become home would count as lost before its
    first request can arrive.
    """
    before = state.partition.homes if state.partition is not None else {}
    records = {h.vm: h for h in state.home_records}
    for server, vm in partition.homes.items():
        if before.get(server) != vm:
            record = records.get(vm, models.HomeRecord(vm))
            records[vm] = dataclasses.replace(record, last_request_s=now)
    return tuple(records.values())


def _with_takeover_wait(
    before: models.State,
    after: models.State,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> models.State:
    """Keeps a new holder from acting until its last promise has ended.

    Until then the former holder may act under that promise.
    """
    if leases.is_holder(before) or not leases.is_holder(after):
        return after
    previous_partition = before.partition
    if (
        previous_partition is not None
        and before.partner_resigned_epoch == previous_partition.epoch
    ):
        # The former holder has resigned, so it acts under no promise.
        return dataclasses.replace(after, not_before_s=-float("inf"))
    drift_margin_s = timings.margin_s if safety.clock_drift_margin else 0.0
    return dataclasses.replace(
        after,
        not_before_s=before.last_promise_s + timings.lease_s + drift_margin_s,
    )


def _handle_epoch_report(
    state: models.State, sender: schemas.Incarnation, epoch: int, now: float
) -> models.Step:
    """Records which epoch a keeper knows, and sends it a newer object."""
    partition = state.partition
    if partition is None:
        return state, ()
    next_state = state
    if sender in (partition.holder, partition.standby):
        next_state = dataclasses.replace(next_state, pair_last_heard_s=now)
    if sender in partition.unresolved and epoch >= partition.epoch:
        next_state = dataclasses.replace(
            next_state,
            former_pair_informed_s=min(next_state.former_pair_informed_s, now),
        )
    if epoch < partition.epoch:
        return next_state, (models.SendObject(sender),)
    return next_state, ()


def _complete_update(
    state: models.State,
    operation_id: str,
    version: int,
    now: float,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> models.Step:
    """Adopts the pending update, which the platform accepted as `version`."""
    pending = state.pending_update
    if pending is None or pending.operation_id != operation_id:
        return state, ()
    without_pending = dataclasses.replace(state, pending_update=None)
    if version <= state.version:
        return without_pending, ()
    previous = state.partition
    starts_epoch = previous is None or previous.epoch != pending.partition.epoch
    next_state = dataclasses.replace(
        without_pending,
        partition=pending.partition,
        version=version,
        released_slices=frozenset(),
        home_records=_with_contact_time_of_new_homes(
            state, pending.partition, now
        ),
    )
    if starts_epoch or not safety.only_new_epoch_extends_lease:
        next_state = dataclasses.replace(
            next_state,
            lease_start_s=max(state.lease_start_s, pending.sent_s),
        )
    if starts_epoch:
        next_state = dataclasses.replace(
            next_state,
            epoch_known_since_s=now,
            pair_last_heard_s=now,
            unanswered_renewals=(),
            next_renewal_s=now,
            former_pair_informed_s=float("inf"),
        )
    return _with_takeover_wait(state, next_state, timings, safety), (
        models.BroadcastObject(),
    )


def _abort_update(
    state: models.State,
    operation_id: str,
    now: float,
    timings: models.Timings,
) -> models.State:
    """Drops the pending update and delays the next one by `renew_s`."""
    if (
        state.pending_update is None
        or state.pending_update.operation_id != operation_id
    ):
        return state
    return dataclasses.replace(
        state, pending_update=None, update_backoff_until_s=now + timings.renew_s
    )


def _tick(
    state: models.State,
    now: float,
    view: models.ClusterView,
    timings: models.Timings,
    operation_id: str,
    safety: models.SafetyRules,
) -> models.Step:
    """Renews the lease and starts an update if one is due."""
    if state.partition is None:
        return pair_updates.create_when_due(
            state, now, view, timings, operation_id
        )
    if state.resigned_epoch == state.partition.epoch:
        return state, ()
    renewed, commands = leases.renew_when_due(state, now, timings)
    if (
        renewed.pending_update is not None
        or now < renewed.update_backoff_until_s
    ):
        return renewed, commands
    new_partition = _choose_update(renewed, now, view, timings, safety)
    if new_partition is None:
        return renewed, commands
    update = models.PendingUpdate(
        operation_id,
        now,
        msgspec.structs.replace(new_partition, operation_id=operation_id),
        renewed.version,
    )
    return _with_uncertain_pair(
        dataclasses.replace(renewed, pending_update=update), now
    ), (
        *commands,
        models.WritePartition(update),
    )


def _with_uncertain_pair(state: models.State, now: float) -> models.State:
    """Marks the pair as uncertain if the pending update changes it.

    Until a newer version is known, the update may have taken effect.
    """
    assert state.pending_update is not None and state.partition is not None
    before, after = state.partition, state.pending_update.partition
    if (before.holder, before.standby) == (after.holder, after.standby):
        return state
    if state.uncertain_pair_version == state.version:
        return state
    return dataclasses.replace(
        state, uncertain_pair_version=state.version, uncertain_pair_since_s=now
    )


def _choose_update(
    state: models.State,
    now: float,
    view: models.ClusterView,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> schemas.Partition | None:
    """Returns the object that this keeper wants to write, or None."""
    if leases.is_holder(state):
        standby_update = pair_updates.extend_lease_or_replace_standby(
            state, now, view, timings
        )
        if standby_update is not None:
            return standby_update
        if leases.may_act(state, now, timings, safety):
            return assignment_updates.next_assignment(
                state, now, view, timings, safety
            )
        return None
    if leases.is_standby(state):
        return pair_updates.take_over_as_standby(
            state, now, view, timings, safety
        )
    return pair_updates.take_over_from_silent_pair(state, now, view, timings)


def initial_state(
    own_incarnation: schemas.Incarnation, partition_name: str
) -> models.State:
    """Returns the state of a keeper that knows nothing of the partition."""
    return models.State(own_incarnation, partition_name)
