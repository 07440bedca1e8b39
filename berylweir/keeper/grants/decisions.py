"""Pure functions that decide on the grants of one backend server.

The home VM of the server calls them. Times are in seconds on that VM's
monotonic clock unless stated otherwise.
"""

import dataclasses
import math

from berylweir.backendapi import schemas as backendapi
from berylweir.keeper.authority import models as authority
from berylweir.keeper.grants import models
from berylweir.objects import schemas
from berylweir.peers import messages

_REVOCATION_STEP = 1
# A server that resumes after a freeze still has to read requests of a former
# home from its sockets, and reports them as in flight only then. It counts as
# idle only after it has responded for this long without a gap.
_IDLE_CONFIRMATION_S = 0.2
# Longest time between two responses of a server that isn't frozen.
_MAX_RESPONSE_GAP_S = 0.4


def apply_partition(
    state: models.HomeState,
    partition: schemas.Partition,
    version: int,
    wall_s: float,
) -> models.HomeState:
    """Returns the state with the server's slices in a newer partition object.

    A revocation that the server acknowledged is kept only if the slice is
    still moving under the same token.

    Args:
        state: State before the update.
        partition: The newer object.
        version: Its version.
        wall_s: Wall-clock time now, in seconds.
    """
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
        # Each change of owner raises the token.
        owned_since_wall_s={
            s: state.owned_since_wall_s.get(s, wall_s) for s in owned_slices
        },
        moving_slices=tuple(moving_slices),
        revoked_slices=frozenset(
            r for r in state.revoked_slices if r in moving_slices
        ),
    )


def is_healthy(
    state: models.HomeState, now: float, timings: authority.Timings
) -> bool:
    """Returns whether the server has responded within `server_loss_s`.

    A new home counts the time from when it became the home, so a server isn't
    unhealthy before it has had time for its first response.
    """
    last_contact_s = max(state.last_response_s, state.became_home_s)
    return now - last_contact_s <= timings.server_loss_s


def next_grant(
    state: models.HomeState,
    now: float,
    timings: authority.Timings,
    safety: authority.SafetyRules = authority.SafetyRules(),  # noqa: B008
) -> backendapi.GrantRequest | None:
    """Returns the grant request to send now, or None to send a probe.

    The expiry is on the server's clock and never later than the end of the
    delegation: the server read its clock before its response arrived here, so
    counting the delegation's remaining time from that reading can only end
    early.

    A revocation has a token one above that of the move. The server then
    refuses an earlier grant of the moving slice that arrives late. It doesn't
    refuse the next owner, whose token is at least as high.
    """
    if not (state.is_keyed and state.checks_grants and state.clock_reading):
        return None
    # Without a router report the outstanding requests are unknown. Moving
    # slices can be revoked all the same: the connections of a router that has
    # ended are closed, and the server refuses requests read after revocation.
    drained_slices = frozenset(
        m
        for m in state.moving_slices
        if not state.has_router_report or is_drained(state, m[0])
    )
    may_grant = now < state.delegated_until_s and _has_responded_recently(
        state, now, timings
    )
    if not may_grant and not drained_slices:
        return None
    # Without a valid delegation the request only revokes. Its expiry is then
    # the clock reading itself, because the end of a delegation that was never
    # given is infinite, which JSON can't express.
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
    """Returns how far the token of a revocation is above that of the move."""
    return _REVOCATION_STEP if safety.revoke_later_grants else 0


def _has_responded_recently(
    state: models.HomeState, now: float, timings: authority.Timings
) -> bool:
    # A server that doesn't respond is only probed. Its last grant has to
    # expire before its slices can move to another server.
    return now - state.last_response_s <= timings.renew_s * 2


def is_drained(state: models.HomeState, slice_index: int) -> bool:
    """Returns whether the router has no more requests of a moving slice.

    True only if the router's last report is based on this partition version
    or a newer one, and lists the slice neither as served nor as outstanding.
    """
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
    """Returns the state after a grant request or a probe (None) was sent."""
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
    *,
    sent_s: float,
) -> models.HomeState:
    """Returns the state after the server has responded.

    The server has created its response at some time after `sent_s`, so a
    request that was abandoned later may be running although the response
    reports none.

    Args:
        state: State before the response.
        request: Grant request that the server responded to; None for a probe.
        status: The response.
        received_s: When the response arrived.
        safety: Safety rules in force; only tests switch any off.
        sent_s: When the grant request or probe was sent.
    """
    has_restarted = bool(state.instance) and status.instance != state.instance
    gap_free_since_s = min(state.responsive_since_s, received_s)
    if received_s > state.last_response_s + _MAX_RESPONSE_GAP_S:
        gap_free_since_s = received_s
    is_idle = has_restarted or (
        status.in_flight == 0
        and sent_s >= gap_free_since_s + _IDLE_CONFIRMATION_S
    )
    updated_state = dataclasses.replace(
        state,
        clock_reading=models.ClockReading(status.clock_s, received_s),
        instance=status.instance,
        last_response_s=received_s,
        responsive_since_s=gap_free_since_s,
        last_idle_s=sent_s if is_idle else state.last_idle_s,
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
    # The server read its clock after the request was sent, so counting the
    # remaining time from the sending gives no later end than on the server.
    acknowledged_until_s = sent_s + request.expires_at_s - status.clock_s
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
    """Returns the state after a router report.

    Args:
        state: State before the report.
        report: Report on the server; None if the router has disconnected.
    """
    if report is None:
        # The next router doesn't know which requests this one has sent, so
        # the server has to be seen idle again.
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
    """Moving slices that the server no longer serves.

    Attributes:
        slices: Slice numbers.
        confirmed: Whether the server responded lately and its slices are known
            to be released; otherwise its grant has expired.
    """

    slices: tuple[int, ...]
    confirmed: bool


def find_releases(
    state: models.HomeState,
    now: float,
    timings: authority.Timings,
    safety: authority.SafetyRules,
) -> tuple[Release, ...]:
    """Returns the moving slices that the server no longer serves.

    A healthy server releases slice by slice, as revocations are acknowledged
    or, if it doesn't check grants, as its requests finish. An unhealthy server
    that checks grants has released all moving slices once its last grant has
    expired, plus the clock drift margin. An unhealthy server that doesn't check
    grants releases a slice after the same time, if the server has been idle
    once and the router has no request of the slice left.
    """
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
        # Requests sent by the former home may still be unread in the server's
        # sockets.
        return ()
    drained_slices = tuple(
        s for s, _ in state.moving_slices if is_drained(state, s)
    )
    return (Release(drained_slices, False),) if drained_slices else ()


def _has_been_idle(state: models.HomeState) -> bool:
    """Returns whether the server has had no request in progress at some time.

    It has then finished all requests of the former home.
    """
    return state.last_idle_s > -math.inf


def _has_released(
    state: models.HomeState, slice_index: int, token: int
) -> bool:
    if not state.checks_grants:
        # The router's report doesn't include requests that a former home
        # sent, so the server must have been idle since then.
        return _has_been_idle(state) and is_drained(state, slice_index)
    return (slice_index, token) in state.revoked_slices


def build_home_server(state: models.HomeState) -> messages.HomeServer:
    """Returns the message that tells the router what it may send to the server.

    A server of a group without keys has no slices, and the router may use it
    until the delegation ends.
    """
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
        # Only acknowledged grants count: a request could overtake a grant
        # that is still in transit, and the server would refuse it.
        valid_until_s = min(valid_until_s, state.acknowledged_until_s)
        served_slices = tuple(
            s for s in state.owned_slices if s in state.granted_slices
        )
    return messages.HomeServer(
        state.server.name,
        state.instance,
        valid_until_s,
        tuple(
            messages.ServedSlice(s, t, state.owned_since_wall_s[(s, t)])
            for s, t in served_slices
        ),
        state.became_home_wall_s,
        state.version,
        state.last_idle_s,
    )
