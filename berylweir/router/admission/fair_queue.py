"""A queue ordered by priority and deadline, with fair shares for callers."""

import bisect
from collections.abc import Callable
import dataclasses

from berylweir.router.admission import models

# Idle callers are searched for and removed only when their number exceeds the
# number of active ones by this many, so most insertions don't pay for a search.
_CLEANUP_IDLE_CALLERS = 64

_Entry = tuple[float, int, models.Ticket]


@dataclasses.dataclass(slots=True)
class _Caller:
    """Waiting tickets of one caller, by deadline.

    Attributes:
        next_round: Round in which the caller is served next.
        entries: Its tickets, the earliest deadline first.
    """

    next_round: int
    entries: list[_Entry] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class _PriorityClass:
    """Waiting tickets of one priority.

    Attributes:
        round: Current round of the round robin among the callers.
        size: Number of waiting tickets.
        callers: Callers by name, idle ones included.
        active: For each caller with waiting tickets its next round, the
            deadline of its first ticket and its name, in the order of service.
    """

    round: int = 0
    size: int = 0
    callers: dict[str, _Caller] = dataclasses.field(default_factory=dict)
    active: list[tuple[int, float, str]] = dataclasses.field(
        default_factory=list
    )


class FairQueue:
    """Waiting tickets of one backend server or of one unkeyed group.

    Tickets with a lower priority number go first. Within a priority the
    callers are served round robin, one ticket in each round. The tickets of
    one caller, and the callers within a round, are ordered by their earliest
    deadline. If no caller has more than one ticket, the order is earliest
    deadline first.
    """

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._classes: dict[int, _PriorityClass] = {}
        self._priorities: list[int] = []
        self._size = 0

    def __len__(self) -> int:
        """Returns the number of waiting tickets."""
        return self._size

    def push(self, ticket: models.Ticket) -> None:
        """Adds a ticket."""
        priority_class = self._classes.get(ticket.priority)
        if priority_class is None:
            priority_class = self._classes[ticket.priority] = _PriorityClass()
            bisect.insort(self._priorities, ticket.priority)
        caller = priority_class.callers.get(ticket.caller)
        if caller is None:
            _drop_idle_callers(priority_class)
            caller = priority_class.callers[ticket.caller] = _Caller(
                priority_class.round
            )
        entry = (ticket.deadline_s, ticket.id, ticket)
        if not caller.entries:
            caller.next_round = max(caller.next_round, priority_class.round)
            _activate(priority_class, caller, ticket.caller, entry)
        elif entry < caller.entries[0]:
            _deactivate(priority_class, caller, ticket.caller)
            _activate(priority_class, caller, ticket.caller, entry)
        bisect.insort(caller.entries, entry)
        priority_class.size += 1
        self._size += 1

    def peek(self) -> models.Ticket | None:
        """Returns the next ticket, or None if the queue is empty."""
        for priority in self._priorities:
            priority_class = self._classes[priority]
            if priority_class.active:
                name = priority_class.active[0][2]
                return priority_class.callers[name].entries[0][2]
        return None

    def pop(self) -> models.Ticket | None:
        """Removes and returns the next ticket, or None if there is none."""
        for priority in self._priorities:
            priority_class = self._classes[priority]
            if priority_class.active:
                name = priority_class.active[0][2]
                caller = priority_class.callers[name]
                priority_class.round = caller.next_round
                ticket = caller.entries[0][2]
                self._remove_at(priority_class, caller, name, 0, is_served=True)
                return ticket
        return None

    def remove(self, ticket: models.Ticket) -> bool:
        """Removes a ticket; returns whether it was waiting."""
        priority_class = self._classes.get(ticket.priority)
        caller = (
            priority_class.callers.get(ticket.caller)
            if priority_class
            else None
        )
        if priority_class is None or caller is None:
            return False
        index = bisect.bisect_left(
            caller.entries, (ticket.deadline_s, ticket.id)
        )
        if (
            index == len(caller.entries)
            or caller.entries[index][1] != ticket.id
        ):
            return False
        self._remove_at(priority_class, caller, ticket.caller, index)
        return True

    def remove_where(
        self, predicate: Callable[[models.Ticket], bool]
    ) -> list[models.Ticket]:
        """Removes all tickets for which `predicate` holds, and returns them."""
        matching = [
            ticket
            for priority_class in self._classes.values()
            for caller in priority_class.callers.values()
            for *_, ticket in caller.entries
            if predicate(ticket)
        ]
        for ticket in matching:
            self.remove(ticket)
        return matching

    def remove_due(self, until_s: float) -> list[models.Ticket]:
        """Removes all tickets whose deadline is not after `until_s`."""
        due = []
        for priority_class in self._classes.values():
            for _, _, name in tuple(priority_class.active):
                for deadline_s, _, ticket in priority_class.callers[
                    name
                ].entries:
                    if deadline_s > until_s:
                        break
                    due.append(ticket)
        for ticket in due:
            self.remove(ticket)
        return due

    def count_ahead_of(self, ticket: models.Ticket) -> int:
        """Returns how many waiting tickets are likely to be served before it.

        If its caller has k tickets before this one, it is served after at most
        k + 1 rounds, so each other caller counts with at most k + 1 tickets.
        """
        ahead = 0
        for priority in self._priorities:
            priority_class = self._classes[priority]
            if priority < ticket.priority:
                ahead += priority_class.size
            elif priority == ticket.priority:
                caller = priority_class.callers.get(ticket.caller)
                own_waiting = (
                    bisect.bisect_left(
                        caller.entries, (ticket.deadline_s, ticket.id)
                    )
                    if caller
                    else 0
                )
                ahead += min(
                    priority_class.size,
                    (own_waiting + 1) * len(priority_class.active),
                )
        return ahead

    def displace_for(self, ticket: models.Ticket) -> models.Ticket | None:
        """Removes a less important ticket from a full queue to make room.

        The removed ticket has the lowest priority, and among those it is the
        last ticket of the caller with the most tickets. If `ticket` has the
        same priority, its caller must be below its equal share, and the other
        caller must have at least two tickets more. A caller that floods the
        queue thus can't displace callers below their equal share.

        Returns:
            The ticket that was removed, or None if none may be displaced.
        """
        lowest = next(
            (p for p in reversed(self._priorities) if self._classes[p].size),
            None,
        )
        if lowest is None or lowest < ticket.priority:
            return None
        priority_class = self._classes[lowest]
        own_waiting = 0
        if lowest == ticket.priority:
            caller = priority_class.callers.get(ticket.caller)
            own_waiting = len(caller.entries) if caller else 0
            if own_waiting * len(priority_class.active) >= priority_class.size:
                return None
        name, largest = max(
            priority_class.callers.items(),
            key=lambda item: len(item[1].entries),
        )
        if lowest == ticket.priority and len(largest.entries) < own_waiting + 2:
            return None
        displaced = largest.entries[-1][2]
        self._remove_at(priority_class, largest, name, len(largest.entries) - 1)
        return displaced

    def _remove_at(
        self,
        priority_class: _PriorityClass,
        caller: _Caller,
        name: str,
        index: int,
        *,
        is_served: bool = False,
    ) -> None:
        if index == 0:
            _deactivate(priority_class, caller, name)
        del caller.entries[index]
        if is_served:
            caller.next_round = priority_class.round + 1
        if index == 0 and caller.entries:
            _activate(priority_class, caller, name, caller.entries[0])
        priority_class.size -= 1
        self._size -= 1
        if not priority_class.size:
            priority_class.callers.clear()
            priority_class.round = 0


def _activate(
    priority_class: _PriorityClass, caller: _Caller, name: str, head: _Entry
) -> None:
    bisect.insort(priority_class.active, (caller.next_round, head[0], name))


def _deactivate(
    priority_class: _PriorityClass, caller: _Caller, name: str
) -> None:
    key = (caller.next_round, caller.entries[0][0], name)
    del priority_class.active[bisect.bisect_left(priority_class.active, key)]


def _drop_idle_callers(priority_class: _PriorityClass) -> None:
    """Removes callers without tickets whose next round has been reached.

    A caller that was served in the current round is kept: it would be served
    again in the same round if it returned without this state.
    """
    if (
        len(priority_class.callers)
        < 2 * len(priority_class.active) + _CLEANUP_IDLE_CALLERS
    ):
        return
    for name in [
        n
        for n, c in priority_class.callers.items()
        if not c.entries and c.next_round <= priority_class.round
    ]:
        del priority_class.callers[name]
