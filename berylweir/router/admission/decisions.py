"""Admission of requests at the home of the backend servers of one group.

One task owns the state, and only the functions of this package change it. They
read no clock and no socket. They change the state in place, because a copy for
each of 10,000 requests a second would cost more than the decision itself.
"""

import dataclasses

import result

from berylweir.refusals import models as refusals
from berylweir.router.admission import concurrency
from berylweir.router.admission import crash_suspects
from berylweir.router.admission import dispatch
from berylweir.router.admission import feedback
from berylweir.router.admission import idempotency
from berylweir.router.admission import models
from berylweir.router.admission import outliers
from berylweir.router.admission import placement
from berylweir.router.admission import state as states

Decisions = list[models.Decision]
# After these endings the server may still be running the request.
_ABANDONED_ENDINGS = frozenset(
    {models.Ending.TIMED_OUT, models.Ending.CANCELLED, models.Ending.CUT}
)
State = states.State
ServerState = states.ServerState
new_state = states.new_state


def set_limits(state: State, limits: models.Limits) -> None:
    """Replaces the limits of the group after a configuration change."""
    state.limits = limits


def set_authorities(
    state: State, authorities: tuple[models.Authority, ...], now: float
) -> Decisions:
    """Replaces what the keeper allows for each backend server.

    Waiting tickets are refused if their server or its authority for their
    slice is no longer present.

    Args:
        state: State of the group.
        authorities: Authority of each server whose home is this VM.
        now: Monotonic time, in seconds.
    """
    decisions: Decisions = []
    by_name = {a.server: a for a in authorities}
    for name in [n for n in state.servers if n not in by_name]:
        removed = state.servers.pop(name)
        if removed.running:
            state.former_servers[name] = removed
        for ticket in removed.queue.remove_where(lambda _: True):
            decisions.append(
                dispatch.refuse(state, ticket, refusals.NotHome(name))
            )
    for name, authority in by_name.items():
        server = state.servers.get(name)
        if server is None:
            server = state.former_servers.pop(name, None)
            if server is None:
                server = ServerState(authority)
            else:
                concurrency.restart(server.concurrency_limit, now)
            state.servers[name] = server
        elif server.authority.instance != authority.instance:
            concurrency.restart(server.concurrency_limit, now)
        _drop_ended_abandoned(server, authority)
        lost_slices = server.authority.tokens.keys() - authority.tokens.keys()
        server.authority = authority
        if lost_slices:
            decisions += dispatch.refuse_unauthorized(state, server, now)
    if not any(s.authority.takes_work for s in state.servers.values()):
        for ticket in state.shared.remove_where(lambda _: True):
            decisions.append(
                dispatch.refuse(
                    state, ticket, refusals.NoServer(state.limits.group)
                )
            )
    for server in state.servers.values():
        dispatch.start_waiting(state, server, now, decisions)
    dispatch.start_shared(state, now, decisions)
    return decisions


def submit(
    state: State, ticket: models.Ticket, now: float, wall_s: float
) -> Decisions:
    """Starts, queues or refuses a ticket.

    Args:
        state: State of the group.
        ticket: The request.
        now: Monotonic time, in seconds.
        wall_s: Wall-clock time, in seconds.
    """
    server = placement.choose_server(state, ticket, now)
    if not ticket.idempotent:
        # Repeats are refused before any other check: the other refusals say
        # "not run", which would be wrong for a repeat of work that has run.
        repeat = _register(state, server, ticket, wall_s)
        if repeat is not None:
            return [models.Refuse(ticket, repeat)]
    if server is None:
        return [
            dispatch.refuse(
                state, ticket, placement.no_server_refusal(state, ticket)
            )
        ]
    refusal = _arrival_refusal(state, server, ticket, now)
    if refusal is not None:
        return [dispatch.refuse(state, ticket, refusal)]
    is_suspect = bool(
        state.crash_suspects.suspected
    ) and crash_suspects.is_suspect(
        state.crash_suspects, ticket.fingerprint, now
    )
    if (
        not is_suspect
        and not server.queue
        and not state.shared
        and server.has_free_slot(state.limits.slots)
        and (ticket.server is not None or placement.is_available(server, now))
    ):
        return [dispatch.start(server, ticket, now)]
    decisions: Decisions = []
    needs_server_queue = placement.is_pinned(ticket) or is_suspect
    queue = server.queue if needs_server_queue else state.shared
    refusal = dispatch.queueing_refusal(
        state, server, queue, ticket, now, decisions
    )
    if refusal is not None:
        return [dispatch.refuse(state, ticket, refusal)]
    queue.push(ticket)
    if needs_server_queue:
        dispatch.start_waiting(state, server, now, decisions)
    else:
        dispatch.start_shared(state, now, decisions)
    return decisions


def finish(
    state: State,
    server_name: str,
    ticket: models.Ticket,
    ending: models.Ending,
    now: float,
    first_byte_s: float | None = None,
) -> Decisions:
    """Records how a running ticket has ended, and starts waiting ones.

    A ticket that isn't running, or was already finished, is ignored.

    Args:
        state: State of the group.
        server_name: Backend server that the ticket was started on.
        ticket: The request.
        ending: How it ended.
        now: Monotonic time, in seconds.
        first_byte_s: Time from the start to the first byte of the response,
            in seconds, or None if it isn't known.
    """
    server = state.servers.get(server_name) or state.former_servers.get(
        server_name
    )
    if server is None:
        return []
    finished = server.running.pop(ticket.id, None)
    if finished is None:
        return []
    if finished.is_isolated:
        server.has_isolated_ticket = False
    if ticket.slice is not None and ending in _ABANDONED_ENDINGS:
        server.abandoned[ticket.slice] = now
    if not ticket.idempotent:
        feedback.record_ending(
            state.idempotency_table, ticket.request_id, ending
        )
    decisions: Decisions = []
    feedback.apply_ending(state, server, finished, ending, now, first_byte_s)
    if ending is models.Ending.CUT:
        feedback.record_cut(state, server, finished, now)
        dispatch.apply_suspects(state, now, decisions)
    if server_name in state.former_servers:
        if not server.running:
            del state.former_servers[server_name]
        return decisions
    dispatch.start_waiting(state, server, now, decisions)
    dispatch.start_shared(state, now, decisions)
    return decisions


def withdraw(state: State, ticket: models.Ticket) -> None:
    """Removes a waiting ticket whose caller has disconnected or timed out.

    A ticket that is already running is kept, because only its ending tells
    whether the request was sent.
    """
    for queue in state.queues():
        if queue.remove(ticket):
            if not ticket.idempotent:
                state.idempotency_table.remove_unsent(ticket.request_id)
            return


def tick(state: State, now: float) -> Decisions:
    """Makes the decisions that depend on time; called ten times a second.

    Refuses tickets that can't meet their deadline any more, ejects slow
    servers, and readmits ejected servers with a concurrency limit of 1.
    """
    decisions: Decisions = []
    crash_suspects.expire(state.crash_suspects, now)
    _update_outliers(state, now)
    for server in state.servers.values():
        decisions += dispatch.refuse_unmeetable(state, server, now)
        decisions += dispatch.refuse_unauthorized(state, server, now)
        dispatch.start_waiting(state, server, now, decisions)
    for ticket in state.shared.remove_due(now):
        decisions.append(
            dispatch.refuse(
                state, ticket, refusals.DeadlineExceeded(sent=False)
            )
        )
    dispatch.start_shared(state, now, decisions)
    return decisions


def merge_suspects(
    state: State,
    suspected: tuple[tuple[int, float], ...],
    quarantined: tuple[tuple[int, float], ...],
    now: float,
) -> Decisions:
    """Adds the suspects reported by another home, and applies them.

    Args:
        state: State of the group.
        suspected: Fingerprints, each with the seconds until it expires.
        quarantined: Fingerprints, each with the seconds until it expires.
        now: Monotonic time, in seconds.
    """
    crash_suspects.merge(state.crash_suspects, suspected, quarantined, now)
    decisions: Decisions = []
    dispatch.apply_suspects(state, now, decisions)
    return decisions


@dataclasses.dataclass(frozen=True, slots=True)
class SuspectReport:
    """Suspects that this home detected, for the other homes.

    Attributes:
        suspected: Fingerprints, each with the seconds until it expires.
        quarantined: Fingerprints, each with the seconds until it expires.
    """

    suspected: tuple[tuple[int, float], ...]
    quarantined: tuple[tuple[int, float], ...]


def suspects_to_report(
    state: State, now: float, *, repeat: bool = False
) -> SuspectReport | None:
    """Returns the suspects that the other homes need, or None if none are new.

    Args:
        state: State of the group.
        now: Monotonic time, in seconds.
        repeat: Whether to return known suspects again, in case a message was
            lost.
    """
    suspects = state.crash_suspects
    if not suspects.detected_here or not (suspects.has_unreported or repeat):
        return None
    suspects.has_unreported = False

    def with_seconds_left(
        table: dict[int, float],
    ) -> tuple[tuple[int, float], ...]:
        return tuple(
            (f, until - now)
            for f, until in table.items()
            if f in suspects.detected_here and until > now
        )

    return SuspectReport(
        with_seconds_left(suspects.suspected),
        with_seconds_left(suspects.quarantined),
    )


def _register(
    state: State,
    server: ServerState | None,
    ticket: models.Ticket,
    wall_s: float,
) -> refusals.Refusal | None:
    """Registers a non-idempotent request, or returns why it must not run."""
    if server is None:
        return state.idempotency_table.find_repeat(ticket.request_id)
    if ticket.server is None and _may_have_run_elsewhere(state, ticket):
        known = state.idempotency_table.find_repeat(ticket.request_id)
        return known or refusals.RepeatUnknown(ticket.request_id)
    match state.idempotency_table.register(
        ticket.request_id,
        server.authority.home_of_slice_since_s(ticket.slice),
        wall_s,
    ):
        case result.Err(repeat):
            return repeat
        case result.Ok(_):
            return None


def _may_have_run_elsewhere(state: State, ticket: models.Ticket) -> bool:
    match idempotency.parse_uuid7(ticket.request_id):
        case result.Ok(number):
            return state.request_id_homes.may_have_run_elsewhere(
                ticket.request_id, idempotency.created_s(number)
            )
        case result.Err(_):
            return False


def _arrival_refusal(
    state: State, server: ServerState, ticket: models.Ticket, now: float
) -> refusals.Refusal | None:
    if ticket.deadline_s <= now:
        return refusals.DeadlineExceeded(sent=False)
    if state.crash_suspects.quarantined:
        left_s = crash_suspects.quarantine_left_s(
            state.crash_suspects, ticket.fingerprint, now
        )
        if left_s:
            return refusals.Quarantined(left_s)
    return placement.authority_refusal(server, ticket, now)


def _update_outliers(state: State, now: float) -> None:
    """Readmits servers, marks slow ones, and ejects the slowest.

    Only servers without keys are ejected.
    """
    servers = state.servers
    for server in servers.values():
        outlier = server.outlier
        if outlier.ejected_until_s and outlier.ejected_until_s <= now:
            outlier.ejected_until_s = 0.0
            feedback.reset_estimates(server, now)
    slow = outliers.find_slow_servers(
        {name: server.outlier_signals(now) for name, server in servers.items()}
    )
    for name, server in servers.items():
        server.outlier.is_slow = name in slow
    unkeyed = {n: s for n, s in servers.items() if not s.authority.tokens}
    outlier_states = {n: s.outlier for n, s in unkeyed.items()}
    for name in outliers.choose_ejections(outlier_states, slow, now):
        outliers.eject(outlier_states[name], now)


def _drop_ended_abandoned(server: ServerState, newer: models.Authority) -> None:
    """Drops abandoned requests that the server can't be running any more.

    Either the server has restarted as another instance, or it was idle after
    the request was abandoned.
    """
    if server.authority.instance != newer.instance:
        server.abandoned.clear()
    for index, abandoned_s in tuple(server.abandoned.items()):
        if abandoned_s < newer.last_idle_s:
            del server.abandoned[index]
