"""Decisions of a home about the grants of one backend server.

Times are seconds on the monotonic clock of the VM unless stated otherwise.
"""

import dataclasses
import math

from berylweir.backendapi import schemas as backendapi
from berylweir.keeper.authority import models as authority
from berylweir.keeper.grants import models
from berylweir.objects import schemas
from berylweir.peers import messages

_REVOCATION_STEP = 1
# A server that was frozen reads what a former home sent before it counts it.
_QUIET_AFTER_S = 0.2
_SILENCE_S = 0.4


def take_slices(
    state: models.HomeState, partition: schemas.Partition, version: int
) -> models.HomeState:
    """Returns the state with the slices of a newer partition object."""
    owned = []
    moving = []
    for offset, slice_state in enumerate(partition.slices):
        index = partition.first_slice + offset
        match slice_state:
            case schemas.Owned(server=server, token=token):
                if server == state.server.name:
                    owned.append((index, token))
            case schemas.Moving(source=source, token=token):
                if source == state.server.name:
                    moving.append((index, token))
            case schemas.Unassigned():
                pass
    return dataclasses.replace(
        state,
        version=version,
        owned=tuple(owned),
        moving=tuple(moving),
        revoked=frozenset(r for r in state.revoked if r in moving),
    )


def is_healthy(
    state: models.HomeState, now: float, timings: authority.Timings
) -> bool:
    """Returns whether the server has answered lately.

    A new home gives the server the same time to answer for the first time.
    """
    heard_s = max(state.answered_s, state.began_s)
    return now - heard_s <= timings.server_loss_s


def next_grant(
    state: models.HomeState,
    now: float,
    timings: authority.Timings,
    safety: authority.SafetyRules = authority.SafetyRules(),  # noqa: B008
) -> backendapi.GrantRequest | None:
    """Returns the grant to send now, or None to send a probe.

    The grant ends when the delegation does, on the clock of the server: its
    reading was taken before the answer arrived, so the time left since then
    is never more than the home has. A revocation has the token after the one
    of the move, so that the server refuses a grant of the moving slice that
    arrives later; the next owner's token is at least as high.
    """
    if not (state.keyed and state.checks_grants and state.reading):
        return None
    # Without a router nobody can say what is outstanding, but then its
    # connections are closed and the server refuses whatever comes later.
    drained = frozenset(
        m
        for m in state.moving
        if not state.router_known or is_drained(state, m[0])
    )
    may_grant = now < state.delegated_until_s and _may_renew(
        state, now, timings
    )
    if not may_grant and not drained:
        return None
    # A home without a delegation only revokes: an infinite time has no JSON
    # form, so the grant ends with the reading.
    left_s = state.delegated_until_s - state.reading.arrived_s
    expires_at_s = state.reading.clock_s + (left_s if may_grant else 0.0)
    granted = (
        (*state.owned, *(m for m in state.moving if m not in drained))
        if may_grant
        else ()
    )
    step = _revocation_step(safety)
    return backendapi.GrantRequest(
        state.instance,
        expires_at_s,
        tuple(backendapi.SliceGrant(s, t) for s, t in granted),
        tuple(backendapi.SliceGrant(s, t + step) for s, t in sorted(drained)),
    )


def _revocation_step(safety: authority.SafetyRules) -> int:
    return _REVOCATION_STEP if safety.revoke_later_grants else 0


def _may_renew(
    state: models.HomeState, now: float, timings: authority.Timings
) -> bool:
    # A silent server is only probed: its last grant must be allowed to end,
    # so that its slices can move.
    return now - state.answered_s <= timings.renew_s * 2


def is_drained(state: models.HomeState, slice_index: int) -> bool:
    """Returns whether no request of the slice is outstanding or queued."""
    return (
        state.router_known
        and state.reported_version >= state.version
        and slice_index not in state.served
        and slice_index not in state.outstanding
    )


def asked(
    state: models.HomeState,
    request: backendapi.GrantRequest | None,
    now: float,
) -> models.HomeState:
    """Returns the state after a grant or a probe was sent."""
    if request is None or not request.slices:
        return dataclasses.replace(state, asked_s=now)
    return dataclasses.replace(
        state,
        asked_s=now,
        granted_until_s=max(state.granted_until_s, state.delegated_until_s),
    )


def answered(
    state: models.HomeState,
    request: backendapi.GrantRequest | None,
    status: backendapi.ServerStatus,
    arrived_s: float,
    safety: authority.SafetyRules = authority.SafetyRules(),  # noqa: B008
) -> models.HomeState:
    """Returns the state after the server has answered."""
    restarted = bool(state.instance) and status.instance != state.instance
    since_s = min(state.answering_since_s, arrived_s)
    if arrived_s > state.answered_s + _SILENCE_S:
        since_s = arrived_s
    is_idle = restarted or (
        status.in_flight == 0 and arrived_s >= since_s + _QUIET_AFTER_S
    )
    next_state = dataclasses.replace(
        state,
        reading=models.Reading(status.clock_s, arrived_s),
        instance=status.instance,
        answered_s=arrived_s,
        answering_since_s=since_s,
        idle_s=arrived_s if is_idle else state.idle_s,
        granted=frozenset() if restarted else state.granted,
    )
    if request is None or request.instance != status.instance:
        return next_state
    refused = frozenset(status.refused)
    granted = frozenset(
        (g.slice, g.token) for g in request.slices if g.slice not in refused
    )
    step = _revocation_step(safety)
    revoked = frozenset(
        (g.slice, g.token - step)
        for g in request.revoked
        if g.slice not in refused
    )
    # The server read its clock after it was asked.
    accepted_until_s = state.asked_s + request.expires_at_s - status.clock_s
    return dataclasses.replace(
        next_state,
        accepted_until_s=(
            accepted_until_s if granted else state.accepted_until_s
        ),
        granted=granted,
        revoked=state.revoked | revoked,
    )


def reported(
    state: models.HomeState, report: messages.Drained | None
) -> models.HomeState:
    """Returns the state after a report of the router, or without a router."""
    if report is None:
        # The next router doesn't know what this one has sent.
        return dataclasses.replace(
            state,
            router_known=False,
            answering_since_s=math.inf,
            idle_s=-math.inf,
        )
    return dataclasses.replace(
        state,
        outstanding=frozenset(report.outstanding),
        served=frozenset(report.served),
        reported_version=report.version,
        router_known=True,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Slices that have left the server.

    Attributes:
        slices: Slice numbers.
        confirmed: Whether it is known from the server itself.
    """

    slices: tuple[int, ...]
    confirmed: bool


def releases(
    state: models.HomeState,
    now: float,
    timings: authority.Timings,
    safety: authority.SafetyRules,
) -> tuple[Release, ...]:
    """Returns which moving slices have left the server."""
    if not state.moving:
        return ()
    if is_healthy(state, now, timings):
        confirmed = tuple(
            s for s, t in state.moving if _has_released(state, s, t)
        )
        return (Release(confirmed, True),) if confirmed else ()
    ended_s = state.granted_until_s + timings.margin_s
    if now <= ended_s and safety.wait_for_grant_expiry:
        return ()
    if state.checks_grants:
        return (Release(tuple(s for s, _ in state.moving), False),)
    if not _was_idle(state):
        # Requests of the former home may be unread in the server's sockets.
        return ()
    quiet = tuple(s for s, _ in state.moving if is_drained(state, s))
    return (Release(quiet, False),) if quiet else ()


def _was_idle(state: models.HomeState) -> bool:
    return state.idle_s > -math.inf


def _has_released(
    state: models.HomeState, slice_index: int, token: int
) -> bool:
    if not state.checks_grants:
        # Requests that a former home sent are not in the router's report.
        return _was_idle(state) and is_drained(state, slice_index)
    return (slice_index, token) in state.revoked


def to_router(state: models.HomeState) -> messages.HomeServer:
    """Returns what the router may do with the server now."""
    if not state.keyed:
        return messages.HomeServer(
            state.server.name,
            state.instance,
            state.delegated_until_s,
            (),
            state.since_s,
            state.version,
            state.idle_s,
        )
    valid_until_s = state.delegated_until_s
    served = state.owned
    if state.checks_grants:
        # A grant that is still on its way may arrive after a request.
        valid_until_s = min(valid_until_s, state.accepted_until_s)
        served = tuple(s for s in state.owned if s in state.granted)
    return messages.HomeServer(
        state.server.name,
        state.instance,
        valid_until_s,
        tuple(messages.ServedSlice(s, t) for s, t in served),
        state.since_s,
        state.version,
        state.idle_s,
    )
