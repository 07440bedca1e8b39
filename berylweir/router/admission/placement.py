"""Chooses the backend server of a ticket."""

from berylweir.refusals import models as refusals
from berylweir.router.admission import crash_suspects
from berylweir.router.admission import models
from berylweir.router.admission import state as states


def is_pinned(ticket: models.Ticket) -> bool:
    """Returns whether only one server may run the ticket."""
    return ticket.server is not None


def choose_server(
    state: states.State, ticket: models.Ticket, now: float
) -> states.ServerState | None:
    """Returns the server that a ticket requires, else the least loaded one.

    All suspects of an unkeyed group go to one server, which runs them one at
    a time, so that two copies of the same request never run concurrently.
    """
    if ticket.server is not None:
        return state.servers.get(ticket.server)
    if state.crash_suspects.suspected and crash_suspects.is_suspect(
        state.crash_suspects, ticket.fingerprint, now
    ):
        return choose_for_suspects(state, now)
    return _least_loaded(state, now)


def choose_for_suspects(
    state: states.State, now: float
) -> states.ServerState | None:
    """Returns the server that runs the suspects of an unkeyed group.

    This is the server that has suspects already, else the least loaded one.
    """
    for server in state.servers.values():
        if server.authority.takes_work and (
            server.queue or server.has_isolated_ticket
        ):
            return server
    return _least_loaded(state, now)


def choose_with_free_slot(
    state: states.State, now: float
) -> states.ServerState | None:
    """Returns the least loaded server with a free slot, or None.

    Servers with a queue of their own are skipped, because the tickets in it
    go first.
    """
    slots = state.limits.slots
    best: states.ServerState | None = None
    best_load = 0.0
    for server in candidates(state, now):
        if server.queue or not server.has_free_slot(slots):
            continue
        load = len(server.running) / server.limit
        if best is None or load < best_load:
            best, best_load = server, load
    return best


def candidates(state: states.State, now: float) -> list[states.ServerState]:
    """Returns the servers that may run tickets of the shared queue.

    Servers that are ejected or refused connections recently are left out
    unless no other server takes work.
    """
    usable = [s for s in state.servers.values() if s.authority.takes_work]
    return [s for s in usable if is_available(s, now)] or usable


def is_available(server: states.ServerState, now: float) -> bool:
    """Returns whether a server takes work, and isn't ejected or in backoff."""
    return (
        server.authority.takes_work
        and server.outlier.ejected_until_s <= now
        and server.backoff_until_s <= now
    )


def no_server_refusal(
    state: states.State, ticket: models.Ticket
) -> refusals.Refusal:
    """Returns the refusal of a ticket for which no server was found."""
    if ticket.server is not None:
        return refusals.NotHome(ticket.server)
    return refusals.NoServer(state.limits.group)


def authority_refusal(
    server: states.ServerState, ticket: models.Ticket, now: float
) -> refusals.Refusal | None:
    """Returns why a ticket must not be sent now, or None if it may.

    Keyed work requires that the keeper has granted the slice to this home and
    that the grant has not expired. Unkeyed work is never refused here.
    """
    if ticket.slice is None:
        return None
    authority = server.authority
    if now >= authority.valid_until_s or ticket.slice not in authority.tokens:
        return refusals.NotHome(authority.server)
    return None


def _least_loaded(state: states.State, now: float) -> states.ServerState | None:
    best: states.ServerState | None = None
    best_rank = (True, 0.0)
    for server in state.servers.values():
        if not server.authority.takes_work:
            continue
        rank = (
            not is_available(server, now),
            (len(server.running) + len(server.queue)) / server.limit,
        )
        if best is None or rank < best_rank:
            best, best_rank = server, rank
    return best
