"""Selects the servers whose statements allow a request."""

from collections.abc import Sequence
import typing

from berylweir.gateway import messages
from berylweir.gateway.dispatch import decisions
from berylweir.gateway.dispatch import models as dispatch
from berylweir.gateway.dispatch import refusals

# A leaving server still gets requests that no other server can run, for this
# fraction of the time that the platform allows.
_LEAVING_USE_SHARE = 0.6


def time_until_available_s(
    servers: Sequence[dispatch.ServerState],
    queue_deadline_s: float,
    now_s: float,
) -> float:
    """Returns when the first pause ends or limit allows a request, in seconds.

    It is infinite if none of the servers has stated any.

    Args:
        servers: The servers.
        queue_deadline_s: Until when the request may wait for a server, on the
            loop's clock, in seconds.
        now_s: Time on that clock, in seconds.
    """
    wait_s = float("inf")
    for server in servers:
        server_availability = decisions.check_statements(
            server, queue_deadline_s, now_s, leaving_use_s=0.0
        )
        match server_availability:
            case decisions.Paused(until_s) | decisions.LimitReached(until_s):
                wait_s = min(wait_s, until_s - now_s)
            case decisions.Available() | decisions.Leaving():
                pass
            case _:
                typing.assert_never(server_availability)
    return wait_s


def is_still_available(
    state: dispatch.ServerState,
    now_s: float,
    drain_s: float,
    *,
    has_permit: bool,
) -> bool:
    """Returns whether a server's statements still allow a placed request.

    Args:
        state: The server.
        now_s: Time on the loop's clock, in seconds.
        drain_s: Time after which a server that said that it is leaving gets no
            more requests, in seconds.
        has_permit: Whether the server's limit allows the request.
    """
    if state.limit is not None and not has_permit:
        return False
    return isinstance(
        decisions.check_statements(
            state,
            float("inf"),
            now_s,
            leaving_use_s=_LEAVING_USE_SHARE * drain_s,
        ),
        decisions.Available,
    )


def select_available(
    servers: Sequence[dispatch.ServerState],
    queue_deadline_s: float,
    now_s: float,
    drain_s: float,
    *,
    all_leaving: messages.RefusalReason,
) -> list[dispatch.ServerState] | messages.NotPlaced:
    """Returns the servers whose statements allow a request, or a refusal.

    Leaving servers are used only if there are no others, and not for long.

    Args:
        servers: The servers.
        queue_deadline_s: Until when the request may wait for a server, on the
            loop's clock, in seconds.
        now_s: Time on that clock, in seconds.
        drain_s: Time after which a server that said that it is leaving gets no
            more requests, in seconds.
        all_leaving: Reason to state if all servers are leaving.
    """
    availabilities: list[decisions.Availability] = []
    for leaving_use_s in (0.0, _LEAVING_USE_SHARE * drain_s):
        availabilities = [
            decisions.check_statements(
                s, queue_deadline_s, now_s, leaving_use_s=leaving_use_s
            )
            for s in servers
        ]
        available = [
            s
            for s, availability in zip(servers, availabilities, strict=True)
            if isinstance(availability, decisions.Available)
        ]
        if available:
            return available
    return refusals.refuse_unavailable(
        availabilities, now_s, all_leaving=all_leaving
    )
