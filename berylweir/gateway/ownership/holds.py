"""Why the lease holder moves no keys of a group, as data classes."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import typing

from berylweir.gateway import models
from berylweir.gateway.ownership import models as ownership


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseUnconfirmed:
    """The holder may not act, as it hasn't confirmed its lease in time."""


@dataclasses.dataclass(frozen=True, slots=True)
class NoCandidates:
    """No server of the group is eligible to own keys."""


@dataclasses.dataclass(frozen=True, slots=True)
class TableNotWritten:
    """The store didn't take the group's table, or the new tokens in it."""


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitsFirstGrant:
    """An owner hasn't accepted this holder's first grant of the keys yet.

    Attributes:
        server: Name of the owner.
    """

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitsRelease:
    """The keys are moving, and their previous owner may still hold them.

    Attributes:
        server: Name of the previous owner.
    """

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class ReportsMissing:
    """A VM hasn't reported its requests, so the load is underestimated.

    Attributes:
        vm: Name of the VM that has been silent for longest.
    """

    vm: str


Hold = (
    LeaseUnconfirmed
    | NoCandidates
    | TableNotWritten
    | AwaitsFirstGrant
    | AwaitsRelease
    | ReportsMissing
)


def counter_of(hold: Hold) -> str:
    """Returns the name of the counter of a hold."""
    match hold:
        case LeaseUnconfirmed():
            return "moves.held.lease_unconfirmed"
        case NoCandidates():
            return "moves.held.no_candidates"
        case TableNotWritten():
            return "moves.held.table_not_written"
        case AwaitsFirstGrant():
            return "moves.held.awaits_first_grant"
        case AwaitsRelease():
            return "moves.held.awaits_release"
        case ReportsMissing():
            return "moves.held.reports_missing"
        case _:
            typing.assert_never(hold)


def subject_of(hold: Hold) -> str:
    """Returns the server or VM that a hold waits for; empty if none."""
    match hold:
        case AwaitsFirstGrant(server) | AwaitsRelease(server):
            return server
        case ReportsMissing(vm):
            return vm
        case LeaseUnconfirmed() | NoCandidates() | TableNotWritten():
            return ""
        case _:
            typing.assert_never(hold)


def check_move(
    table: models.KeyTable,
    move: ownership.Move,
    *,
    awaits_first_grant: Callable[[models.KeyRange], bool],
    is_released: Callable[[models.KeyRange], bool],
) -> Hold | None:
    """Returns what holds a planned move; None if its keys can be released.

    No unreleased range of them may be moving, and no owner may be about to get
    its first grant.

    Args:
        table: Table with the present owners.
        move: The planned move.
        awaits_first_grant: Returns whether the owner of a range is about to
            accept the first grant.
        is_released: Returns whether no grant of the previous owner is left on
            a moving range.
    """
    for key_range in table.ranges:
        if key_range.first > move.last or key_range.last < move.first:
            continue
        source = key_range.previous_owner
        if source is not None:
            if not is_released(key_range):
                return AwaitsRelease(source.server)
        elif key_range.owner is not None and awaits_first_grant(key_range):
            return AwaitsFirstGrant(key_range.owner.server)
    return None


def partition_moves(
    moves: Iterable[ownership.Move],
    check: Callable[[ownership.Move], Hold | None],
) -> tuple[Sequence[ownership.Move], Sequence[Hold]]:
    """Returns the moves that can start, and what holds the others."""
    startable: list[ownership.Move] = []
    holds: list[Hold] = []
    for move in moves:
        hold = check(move)
        if hold is None:
            startable.append(move)
        else:
            holds.append(hold)
    return startable, holds
