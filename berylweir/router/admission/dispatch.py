"""Starts waiting tickets, and refuses those that can't be served in time."""

from berylweir.refusals import models as refusals
from berylweir.router.admission import crash_suspects
from berylweir.router.admission import estimates
from berylweir.router.admission import fair_queue
from berylweir.router.admission import models
from berylweir.router.admission import placement
from berylweir.router.admission import state as states

_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 30.0


def start(
    server: states.ServerState,
    ticket: models.Ticket,
    now: float,
    *,
    is_isolated: bool = False,
) -> models.Run:
    """Starts a ticket on a server.

    Args:
        server: The server.
        ticket: The request.
        now: Monotonic time, in seconds.
        is_isolated: Whether no other ticket may run until it has ended.
    """
    if not server.running:
        server.last_progress_s = now
    server.has_isolated_ticket = is_isolated
    server.running[ticket.id] = states.Running(ticket, now, is_isolated)
    return models.Run(ticket, server.authority.server)


def refuse(
    state: states.State, ticket: models.Ticket, refusal: refusals.Refusal
) -> models.Refuse:
    """Refuses a ticket that was not started."""
    if not ticket.idempotent:
        state.idempotency_table.remove_unsent(ticket.request_id)
    return models.Refuse(ticket, refusal)


def queueing_refusal(
    state: states.State,
    server: states.ServerState,
    queue: fair_queue.FairQueue,
    ticket: models.Ticket,
    now: float,
    decisions: list[models.Decision],
) -> refusals.Refusal | None:
    """Returns why a ticket can't join a queue, or None if it may.

    A full queue accepts a ticket if it can remove another one instead, and
    that one is refused.

    Args:
        state: State of the group.
        server: Server that the ticket would run on; for the shared queue the
            best one now.
        queue: Queue that the ticket would join.
        ticket: The ticket.
        now: Monotonic time, in seconds.
        decisions: List to which the refusal of a displaced ticket is added.
    """
    parallelism = server.limit
    if queue is state.shared:
        parallelism = sum(s.limit for s in placement.candidates(state, now))
    if server.service_times.samples and server.running:
        wait_s = estimates.estimate_wait_s(
            server.service_times,
            queue.count_ahead_of(ticket),
            parallelism,
            server.stall_s(now),
        )
        if (
            now + wait_s + server.service_times.upper_bound_s
            > ticket.deadline_s
        ):
            return refusals.DeadlineUnmeetable(ticket.deadline_s - now)
    capacity = state.limits.queue_limit
    if queue is not state.shared and server.outlier.is_slow:
        capacity = min(capacity, state.limits.slots)
    if len(queue) < capacity:
        return None
    overloaded = refusals.Overloaded(
        state.limits.group,
        _retry_after_s(server.service_times.mean_s, len(queue), parallelism),
    )
    displaced = queue.displace_for(ticket)
    if displaced is None:
        return overloaded
    decisions.append(refuse(state, displaced, overloaded))
    return None


def start_waiting(
    state: states.State,
    server: states.ServerState,
    now: float,
    decisions: list[models.Decision],
) -> None:
    """Starts tickets that wait for one server while it has free slots.

    A suspect at the head of the queue waits until the server is idle, and no
    other ticket starts there until the suspect has ended.
    """
    slots = state.limits.slots
    queue = server.queue
    while queue and server.has_free_slot(slots):
        ticket = queue.peek()
        if ticket is None:
            return
        is_isolated = _is_suspect(state, ticket, now)
        if is_isolated and server.running:
            return
        queue.pop()
        refusal = placement.authority_refusal(server, ticket, now)
        if refusal is None:
            refusal = _deadline_refusal(server, ticket, now, len(queue))
        if refusal is not None:
            decisions.append(refuse(state, ticket, refusal))
            continue
        decisions.append(start(server, ticket, now, is_isolated=is_isolated))


def start_shared(
    state: states.State, now: float, decisions: list[models.Decision]
) -> None:
    """Starts tickets that any server may run while one has a free slot."""
    while state.shared:
        server = placement.choose_with_free_slot(state, now)
        if server is None:
            return
        ticket = state.shared.pop()
        if ticket is None:
            return
        refusal = _deadline_refusal(server, ticket, now, len(state.shared))
        if refusal is not None:
            decisions.append(refuse(state, ticket, refusal))
            continue
        decisions.append(start(server, ticket, now))


def refuse_unauthorized(
    state: states.State, server: states.ServerState, now: float
) -> list[models.Decision]:
    """Refuses waiting tickets whose slice the server may no longer serve."""
    if not server.queue:
        return []
    removed = server.queue.remove_where(
        lambda t: placement.authority_refusal(server, t, now) is not None
    )
    refusal = refusals.NotHome(server.authority.server)
    return [refuse(state, t, refusal) for t in removed]


def refuse_unmeetable(
    state: states.State, server: states.ServerState, now: float
) -> list[models.Decision]:
    """Refuses waiting tickets that the server can't finish in time."""
    if not server.queue:
        return []
    due = server.queue.remove_due(now + server.service_times.mean_s)
    return [
        refuse(state, t, refusals.DeadlineUnmeetable(t.deadline_s - now))
        for t in due
    ]


def apply_suspects(
    state: states.State, now: float, decisions: list[models.Decision]
) -> None:
    """Refuses waiting tickets that are quarantined, and isolates suspects.

    Suspects move from the shared queue to the queue of one server, where they
    run one at a time.
    """
    suspects = state.crash_suspects
    for queue in state.queues():
        for ticket in queue.remove_where(
            lambda t: t.fingerprint in suspects.quarantined
        ):
            left_s = crash_suspects.quarantine_left_s(
                suspects, ticket.fingerprint, now
            )
            decisions.append(
                refuse(state, ticket, refusals.Quarantined(left_s))
            )
    for ticket in state.shared.remove_where(
        lambda t: _is_suspect(state, t, now)
    ):
        server = placement.choose_for_suspects(state, now)
        if server is None:
            refusal = placement.no_server_refusal(state, ticket)
            decisions.append(refuse(state, ticket, refusal))
        else:
            server.queue.push(ticket)
            start_waiting(state, server, now, decisions)


def _is_suspect(state: states.State, ticket: models.Ticket, now: float) -> bool:
    return bool(state.crash_suspects.suspected) and crash_suspects.is_suspect(
        state.crash_suspects, ticket.fingerprint, now
    )


def _deadline_refusal(
    server: states.ServerState,
    ticket: models.Ticket,
    now: float,
    still_waiting: int,
) -> refusals.Refusal | None:
    """Returns why a ticket at the head of a queue is too late, or None.

    If no other ticket waits, it starts unless its deadline has passed. The
    slot would otherwise stay idle, and without new responses a wrong estimate
    of the service time would never be corrected.
    """
    if ticket.deadline_s <= now:
        return refusals.DeadlineExceeded(sent=False)
    if (
        still_waiting
        and now + server.service_times.upper_bound_s > ticket.deadline_s
    ):
        return refusals.DeadlineUnmeetable(ticket.deadline_s - now)
    return None


def _retry_after_s(mean_s: float, waiting: int, parallelism: int) -> float:
    """Returns the time to serve half of a queue, in seconds.

    The result is between 0.1 and 30 s.
    """
    drain_s = mean_s * waiting / (2 * parallelism)
    return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, drain_s))
