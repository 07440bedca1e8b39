"""Lease of a holder: renewals, promises and resignations.

A renewal asks the standby for a promise not to take over. The promise extends
the lease of the holder to `lease_s` after the renewal was sent. The standby
waits `lease_s` from its promise, which is later, so the lease ends first.
"""

import dataclasses

from berylweir.keeper.authority import models
from berylweir.objects import schemas


def is_holder(state: models.State) -> bool:
    """Returns whether the newest object names this keeper as holder."""
    return (
        state.partition is not None
        and state.partition.holder == state.own_incarnation
    )


def is_standby(state: models.State) -> bool:
    """Returns whether the newest object names this keeper as standby."""
    return (
        state.partition is not None
        and state.partition.standby == state.own_incarnation
    )


def authority_end_s(
    state: models.State,
    timings: models.Timings,
    safety: models.SafetyRules = models.SafetyRules(),  # noqa: B008
) -> float:
    """Returns the time until which this keeper may act as holder.

    It is minus infinity, or in the past, for a keeper that may not act, and
    infinity if the partner has resigned, since nobody else can take over.
    """
    if state.partition is None:
        return -float("inf")
    epoch = state.partition.epoch
    if state.resigned_epoch == epoch:
        return -float("inf")
    partner_has_resigned = state.partner_resigned_epoch == epoch
    if partner_has_resigned and (is_holder(state) or is_standby(state)):
        if _is_pair_uncertain(state, safety):
            # The update may have named a new standby, which can take over
            # once the lease has ended.
            return state.uncertain_pair_since_s + timings.lease_s
        return float("inf")
    if is_holder(state):
        return state.lease_start_s + timings.lease_s
    return -float("inf")


def may_act(
    state: models.State,
    now: float,
    timings: models.Timings,
    safety: models.SafetyRules = models.SafetyRules(),  # noqa: B008
) -> bool:
    """Returns whether this keeper may act as holder at `now`."""
    if not safety.check_authority_before_use:
        return is_holder(state)
    return state.not_before_s <= now < authority_end_s(state, timings, safety)


def _is_pair_uncertain(state: models.State, safety: models.SafetyRules) -> bool:
    """Returns whether this keeper's own update may have replaced the pair."""
    return (
        safety.no_promise_for_uncertain_pair
        and state.uncertain_pair_version == state.version
    )


def answer_renewal(
    state: models.State,
    event: models.RenewRequestReceived,
    now: float,
    safety: models.SafetyRules,
) -> models.Step:
    """Answers a renewal: promises if this keeper is the standby of the epoch.

    A sender with an older epoch gets the newest object instead.
    """
    partition = state.partition
    if partition is None:
        return state, ()
    if event.epoch < partition.epoch:
        return state, (models.SendObject(event.sender),)
    is_addressed_standby = (
        event.epoch == partition.epoch
        and partition.holder == event.sender
        and is_standby(state)
    )
    if not is_addressed_standby or state.partner_resigned_epoch == event.epoch:
        return state, ()
    if _is_pair_uncertain(state, safety):
        # If this keeper's takeover has taken effect, the new standby counts
        # its wait from the new epoch and can't know of a promise given now.
        return state, ()
    next_state = dataclasses.replace(
        state, last_promise_s=now, pair_last_heard_s=now
    )
    return next_state, (
        models.SendPromise(event.sender, event.epoch, event.nonce),
    )


def record_promise(
    state: models.State,
    event: models.PromiseReceived,
    now: float,
    safety: models.SafetyRules,
) -> models.State:
    """Extends the lease, counted from the sending of the renewal."""
    partition = state.partition
    sent_s = dict(state.unanswered_renewals).get(event.nonce)
    if (
        partition is None
        or sent_s is None
        or event.epoch != partition.epoch
        or event.sender != partition.standby
        or not is_holder(state)
    ):
        return state
    if (
        _is_pair_uncertain(state, safety)
        and sent_s > state.uncertain_pair_since_s
    ):
        # By then another standby may have replaced the sender.
        return state
    if not safety.lease_counts_from_request:
        sent_s = now
    return dataclasses.replace(
        state,
        lease_start_s=max(state.lease_start_s, sent_s),
        pair_last_heard_s=now,
        unanswered_renewals=tuple(
            r for r in state.unanswered_renewals if r[0] > event.nonce
        ),
    )


def record_resignation(
    state: models.State,
    sender: schemas.Incarnation,
    epoch: int,
    now: float,
    timings: models.Timings,
) -> models.State:
    """Records that the partner will never act again in the epoch."""
    partition = state.partition
    if partition is None or partition.epoch != epoch:
        return state
    if state.resigned_epoch == epoch:
        return state
    if sender not in (partition.holder, partition.standby):
        return state
    if state.partner_resigned_epoch == epoch:
        return state
    delegations_end_s = state.former_delegations_end_s
    if sender == partition.holder:
        delegations_end_s = now + timings.lease_s + timings.margin_s
    return dataclasses.replace(
        state,
        partner_resigned_epoch=epoch,
        former_delegations_end_s=delegations_end_s,
    )


def renew_when_due(
    state: models.State, now: float, timings: models.Timings
) -> models.Step:
    """Sends a renewal to the standby once `renew_s` has passed."""
    partition = state.partition
    if (
        partition is None
        or partition.standby is None
        or not is_holder(state)
        or now < state.next_renewal_s
        or state.partner_resigned_epoch == partition.epoch
    ):
        return state, ()
    nonce = state.renewal_nonce + 1
    recent_renewals = tuple(
        r for r in state.unanswered_renewals if r[1] > now - timings.lease_s
    )
    next_state = dataclasses.replace(
        state,
        renewal_nonce=nonce,
        unanswered_renewals=(*recent_renewals, (nonce, now)),
        next_renewal_s=now + timings.renew_s,
    )
    return next_state, (
        models.SendRenewRequest(partition.standby, partition.epoch, nonce),
    )


def resign(state: models.State) -> models.Step:
    """Resigns: this keeper never acts again in the epoch, and says so."""
    partition = state.partition
    if partition is None or not (is_holder(state) or is_standby(state)):
        return state, ()
    partner = partition.standby if is_holder(state) else partition.holder
    next_state = dataclasses.replace(state, resigned_epoch=partition.epoch)
    if partner is None:
        return next_state, ()
    return next_state, (models.SendResignation(partner, partition.epoch),)
