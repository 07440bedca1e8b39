"""Refusals of requests that no server can take now, and their order."""

from collections.abc import Sequence
import typing

from berylweir.gateway import messages
from berylweir.gateway.dispatch import decisions

# Shortest Retry-After of a refused request, in seconds.
_RETRY_AFTER_S = 0.25

_Reason = messages.RefusalReason
# Reasons for which waiting doesn't help a request.
_FINAL_REASONS = frozenset(
    {
        _Reason.RETRY_BUDGET,
        _Reason.UNREACHABLE,
        _Reason.SUSPECTED,
        _Reason.CRASHES_SERVERS,
    }
)


def create(
    reason: messages.RefusalReason, capacity_wait_s: float = 0.0
) -> messages.NotPlaced:
    """Returns a refusal.

    Args:
        reason: Why no server can take the request.
        capacity_wait_s: Time until one can, in seconds; 0 if not known.
    """
    return messages.NotPlaced(
        reason, max(_RETRY_AFTER_S, capacity_wait_s), capacity_wait_s
    )


def refuse_unavailable(
    availabilities: Sequence[decisions.Availability],
    now_s: float,
    *,
    all_leaving: messages.RefusalReason,
) -> messages.NotPlaced:
    """Returns the refusal if no server is available by its statements.

    Args:
        availabilities: Why each server isn't available.
        now_s: Time on the loop's clock, in seconds.
        all_leaving: Reason to state if all of them are leaving.
    """
    first: tuple[float, _Reason] | None = None
    for availability in availabilities:
        match availability:
            case decisions.Paused(until_s):
                candidate = until_s, _Reason.PAUSED
            case decisions.LimitReached(until_s):
                candidate = until_s, _Reason.LIMITED
            case decisions.Leaving() | decisions.Available():
                continue
            case _:
                typing.assert_never(availability)
        if first is None or candidate[0] < first[0]:
            first = candidate
    if first is None:
        return create(all_leaving)
    return create(first[1], max(0.0, first[0] - now_s))


def cannot_be_placed_in_time(
    requirements: messages.ServerRequirements,
    refusal: messages.NotPlaced,
    now_s: float,
) -> bool:
    """Returns whether no server is expected before the request's deadlines."""
    if refusal.reason in _FINAL_REASONS:
        return True
    if refusal.reason is _Reason.NO_OWNER:
        return requirements.owner_wait_deadline_s <= now_s
    return requirements.queue_deadline_s <= now_s + refusal.capacity_wait_s


def waiting_order(place_request: messages.PlaceRequest) -> tuple[int, float]:
    """Returns the key by which waiting requests are sorted."""
    return (
        place_request.requirements.priority,
        place_request.requirements.queue_deadline_s,
    )
