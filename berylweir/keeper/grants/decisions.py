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
_IDLE_CONFIRMATION_S = 0.2
_MAX_RESPONSE_GAP_S = 0.4


def apply_partition(
    state: models.HomeState, partition: schemas.Partition, version: int
) -> models.HomeState:
    """Returns the state with the slices of a newer partition object."""
    owned_slices = []
    moving_slices = []
    for offset, slice_state in enumerate(partition.slices):
        index = partition.first_slice + offset
        match slice_state:
            case schemas.Owned(server=server, token=token):
                if server == state.server.name:
                    owned_slices.append((index, token))
            case schemas.Moving(source=source, token=token):
                if source == state.server.name:
                    moving_slices.append((index, token))
            case schemas.Unassigned():
                pass
    return dataclasses.replace(
        state,
        version=version,
        owned_slices=tuple(owned_slices),
        moving_slices=tuple(moving_slices),
        revoked_slices=frozenset(
            r for r in state.revoked_slices if r in moving_slices
        ),
    )


def is_healthy(
    state: models.HomeState, now: float, timings: authority.Timings
) -> bool:
    """Returns whether the server has answered lately.

    A new home gives the server the same time to answer for the first time.
    """
    last_sign_of_life_s = max(state.last_response_s, state.became_home_s)
    return now - last_sign_of_life_s <= timings.server_loss_s


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
    if not (state.is_keyed and state.checks_grants and state.clock_reading):
        return None
    # Without a router nobody can say what is outstanding, but then its
    # connections are closed and the server refuses whatever comes later.
    drained_slices = frozenset(
        m
        for m in state.moving_slices
        if not state.has_router_report or is_drained(state, m[0])
    )
    may_grant = now < state.delegated_until_s and _may_renew(
        state, now, timings
    )
    if not may_grant and not drained_slices:
        return None
    # A home without a delegation only revokes: an infinite time has no JSON
    # form, so the grant ends with the reading.
    remaining_s = state.delegated_until_s - state.clock_reading.received_s
    expires_at_s = state.clock_reading.clock_s + (
        remaining_s if may_grant else 0.0
    )
    slices_to_grant = (
        (
            *state.owned_slices,
            *(m for m in state.moving_slices if m not in drained_slices),
        )
        if may_grant
        else ()
    )
    step = _revocation_step(safety)
    return backendapi.GrantRequest(
        state.instance,
        expires_at_s,
        tuple(backendapi.SliceGrant(s, t) for s, t in slices_to_grant),
        tuple(
            backendapi.SliceGrant(s, t + step)
            for s, t in sorted(drained_slices)
        ),
    )


def _revocation_step(safety: authority.SafetyRules) -> int:
    return _REVOCATION_STEP if safety.revoke_later_grants else 0


def _may_renew(
    state: models.HomeState, now: float, timings: authority.Timings
) -> bool:
    # A silent server is only probed: its last grant must be allowed to end,
    # so that its slices can move.
    return now - state.last_response_s <= timings.renew_s * 2


def is_drained(state: models.HomeState, slice_index: int) -> bool:
    """Returns whether no request of the slice is outstanding or queued."""
    return (
        state.has_router_report
        and state.report_version >= state.version
        and slice_index not in state.served_slices
        and slice_index not in state.outstanding_slices
    )


def record_request(
    state: models.HomeState,
    request: backendapi.GrantRequest | None,
    now: float,
) -> models.HomeState:
    """Returns the state after a grant or a probe was sent."""
    if request is None or not request.slices:
        return dataclasses.replace(state, last_request_s=now)
    return dataclasses.replace(
        state,
        last_request_s=now,
        sent_grant_until_s=max(
            state.sent_grant_until_s, state.delegated_until_s
        ),
    )


def record_response(
    state: models.HomeState,
    request: backendapi.GrantRequest | None,
    status: backendapi.ServerStatus,
    received_s: float,
    safety: authority.SafetyRules = authority.SafetyRules(),  # noqa: B008
) -> models.HomeState:
    """Returns the state after the server has answered."""
    has_restarted = bool(state.instance) and status.instance != state.instance
    gap_free_since_s = min(state.responsive_since_s, received_s)
    if received_s > state.last_response_s + _MAX_RESPONSE_GAP_S:
        gap_free_since_s = received_s
    is_idle = has_restarted or (
        status.in_flight == 0
        and received_s >= gap_free_since_s + _IDLE_CONFIRMATION_S
    )
    updated_state = dataclasses.replace(
        state,
        clock_reading=models.ClockReading(status.clock_s, received_s),
        instance=status.instance,
        last_response_s=received_s,
        responsive_since_s=gap_free_since_s,
        last_idle_s=received_s if is_idle else state.last_idle_s,
        granted_slices=frozenset() if has_restarted else state.granted_slices,
    )
    if request is None or request.instance != status.instance:
        return updated_state
    refused_slices = frozenset(status.refused)
    granted_slices = frozenset(
        (g.slice, g.token)
        for g in request.slices
        if g.slice not in refused_slices
    )
    step = _revocation_step(safety)
    revoked_slices = frozenset(
        (g.slice, g.token - step)
        for g in request.revoked
        if g.slice not in refused_slices
    )
    # The server read its clock after it was asked.
    acknowledged_until_s = (
        state.last_request_s + request.expires_at_s - status.clock_s
    )
    return dataclasses.replace(
        updated_state,
        acknowledged_until_s=(
            acknowledged_until_s
            if granted_slices
            else state.acknowledged_until_s
        ),
        granted_slices=granted_slices,
        revoked_slices=state.revoked_slices | revoked_slices,
    )


def record_router_report(
    state: models.HomeState, report: messages.Drained | None
) -> models.HomeState:
    """Returns the state after a report of the router, or without a router."""
    if report is None:
        # The next router doesn't know what this one has sent.
        return dataclasses.replace(
            state,
            has_router_report=False,
            responsive_since_s=math.inf,
            last_idle_s=-math.inf,
        )
    return dataclasses.replace(
        state,
        outstanding_slices=frozenset(report.outstanding),
        served_slices=frozenset(report.served),
        report_version=report.version,
        has_router_report=True,
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


def find_releases(
    state: models.HomeState,
    now: float,
    timings: authority.Timings,
    safety: authority.SafetyRules,
) -> tuple[Release, ...]:
    """Returns which moving slices have left the server."""
    if not state.moving_slices:
        return ()
    if is_healthy(state, now, timings):
        released_slices = tuple(
            s for s, t in state.moving_slices if _has_released(state, s, t)
        )
        return (Release(released_slices, True),) if released_slices else ()
    grants_end_s = state.sent_grant_until_s + timings.margin_s
    if now <= grants_end_s and safety.wait_for_grant_expiry:
        return ()
    if state.checks_grants:
        return (Release(tuple(s for s, _ in state.moving_slices), False),)
    if not _has_been_idle(state):
        # Requests of the former home may be unread in the server's sockets.
        return ()
    drained_slices = tuple(
        s for s, _ in state.moving_slices if is_drained(state, s)
    )
    return (Release(drained_slices, False),) if drained_slices else ()


def _has_been_idle(state: models.HomeState) -> bool:
    return state.last_idle_s > -math.inf


def _has_released(
    state: models.HomeState, slice_index: int, token: int
) -> bool:
    if not state.checks_grants:
        # Requests that a former home sent are not in the router's report.
        return _has_been_idle(state) and is_drained(state, slice_index)
    return (slice_index, token) in state.revoked_slices


def build_home_server(state: models.HomeState) -> messages.HomeServer:
    """Returns what the router may do with the server now."""
    if not state.is_keyed:
        return messages.HomeServer(
            state.server.name,
            state.instance,
            state.delegated_until_s,
            (),
            state.became_home_wall_s,
            state.version,
            state.last_idle_s,
        )
    valid_until_s = state.delegated_until_s
    served_slices = state.owned_slices
    if state.checks_grants:
        # A grant that is still on its way may arrive after a request.
        valid_until_s = min(valid_until_s, state.acknowledged_until_s)
        served_slices = tuple(
            s for s in state.owned_slices if s in state.granted_slices
        )
    return messages.HomeServer(
        state.server.name,
        state.instance,
        valid_until_s,
        tuple(messages.ServedSlice(s, t) for s, t in served_slices),
        state.became_home_wall_s,
        state.version,
        state.last_idle_s,
    )
