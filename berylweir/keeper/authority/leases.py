"""Leases of holders: evidence, promises, renewals and resignations."""

import dataclasses

from berylweir.keeper.authority import models
from berylweir.objects import schemas


def is_holder(state: models.State) -> bool:
    """Returns whether the newest object names this keeper as holder."""
    return state.partition is not None and state.partition.holder == state.me


def is_standby(state: models.State) -> bool:
    """Returns whether the newest object names this keeper as standby."""
    return state.partition is not None and state.partition.standby == state.me


def authority_until_s(
    state: models.State,
    timings: models.Timings,
    safety: models.SafetyRules = models.SafetyRules(),  # noqa: B008
) -> float:
    """Returns the time until which this keeper may act as holder.

    It is in the past, or minus infinity, for a keeper that may not act.
    """
    if state.partition is None:
        return -float("inf")
    epoch = state.partition.epoch
    if state.resigned_epoch == epoch:
        return -float("inf")
    partner_is_out = state.partner_resigned_epoch == epoch
    if partner_is_out and (is_holder(state) or is_standby(state)):
        if _is_doubtful(state, safety):
            # A standby that this keeper doesn't know yet may be waiting.
            return state.doubt_s + timings.lease_s
        return float("inf")
    if is_holder(state):
        return state.evidence_s + timings.lease_s
    return -float("inf")


def may_act(
    state: models.State,
    now: float,
    timings: models.Timings,
    safety: models.SafetyRules = models.SafetyRules(),  # noqa: B008
) -> bool:
    """Returns whether this keeper may act as holder at `now`."""
    if not safety.check_before_use:
        return is_holder(state)
    return state.act_from_s <= now < authority_until_s(state, timings, safety)


def _is_doubtful(state: models.State, safety: models.SafetyRules) -> bool:
    """Returns whether an own update may have replaced the known pair."""
    return safety.doubtful_updates and state.doubt_version == state.version


def promise(
    state: models.State,
    event: models.RenewRequestReceived,
    now: float,
    safety: models.SafetyRules,
) -> models.Step:
    """Answers a renewal; only the listed standby promises."""
    partition = state.partition
    if partition is None:
        return state, ()
    if event.epoch < partition.epoch:
        return state, (models.SendObject(event.sender),)
    is_mine = (
        event.epoch == partition.epoch
        and partition.holder == event.sender
        and is_standby(state)
    )
    if not is_mine or state.partner_resigned_epoch == event.epoch:
        return state, ()
    if _is_doubtful(state, safety):
        # If the takeover has taken effect, the next standby counts from the
        # new epoch and knows nothing of a promise given now.
        return state, ()
    promised = dataclasses.replace(state, promised_s=now, pair_heard_s=now)
    return promised, (
        models.SendPromise(event.sender, event.epoch, event.nonce),
    )


def take_promise(
    state: models.State,
    event: models.PromiseReceived,
    now: float,
    safety: models.SafetyRules,
) -> models.State:
    """Counts a promise as evidence from before it was asked for."""
    partition = state.partition
    sent_s = dict(state.renewals).get(event.nonce)
    if (
        partition is None
        or sent_s is None
        or event.epoch != partition.epoch
        or event.sender != partition.standby
        or not is_holder(state)
    ):
        return state
    if _is_doubtful(state, safety) and sent_s > state.doubt_s:
        # The sender may no longer be the standby.
        return state
    if not safety.count_from_send:
        sent_s = now
    return dataclasses.replace(
        state,
        evidence_s=max(state.evidence_s, sent_s),
        pair_heard_s=now,
        renewals=tuple(r for r in state.renewals if r[0] > event.nonce),
    )


def partner_resigned(
    state: models.State,
    sender: schemas.Incarnation,
    epoch: int,
    now: float,
    timings: models.Timings,
) -> models.State:
    """Notes that the partner will never act again in the epoch."""
    partition = state.partition
    if partition is None or partition.epoch != epoch:
        return state
    if state.resigned_epoch == epoch:
        return state
    if sender not in (partition.holder, partition.standby):
        return state
    if state.partner_resigned_epoch == epoch:
        return state
    until_s = state.resigned_until_s
    if sender == partition.holder:
        until_s = now + timings.lease_s + timings.margin_s
    return dataclasses.replace(
        state, partner_resigned_epoch=epoch, resigned_until_s=until_s
    )


def renew_when_due(
    state: models.State, now: float, timings: models.Timings
) -> models.Step:
    """Asks the standby for a promise once the interval has passed."""
    partition = state.partition
    if (
        partition is None
        or partition.standby is None
        or not is_holder(state)
        or now < state.next_renew_s
        or state.partner_resigned_epoch == partition.epoch
    ):
        return state, ()
    nonce = state.nonce + 1
    still_useful = tuple(
        r for r in state.renewals if r[1] > now - timings.lease_s
    )
    renewed = dataclasses.replace(
        state,
        nonce=nonce,
        renewals=(*still_useful, (nonce, now)),
        next_renew_s=now + timings.renew_s,
    )
    return renewed, (
        models.SendRenewRequest(partition.standby, partition.epoch, nonce),
    )


def leave(state: models.State) -> models.Step:
    """Resigns to the partner; this keeper acts no more in the epoch."""
    partition = state.partition
    if partition is None or not (is_holder(state) or is_standby(state)):
        return state, ()
    partner = partition.standby if is_holder(state) else partition.holder
    resigned = dataclasses.replace(state, resigned_epoch=partition.epoch)
    if partner is None:
        return resigned, ()
    return resigned, (models.SendResignation(partner, partition.epoch),)
