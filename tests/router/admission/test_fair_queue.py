"""Tests of the queue of a home."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from berylweir.router.admission import fair_queue
from berylweir.router.admission import models


def ticket_of(
    number: int, caller: str = "a", priority: int = 4, deadline_s: float = 5.0
) -> models.Ticket:
    """Returns an idempotent ticket without a key."""
    return models.Ticket(
        number, None, None, caller, priority, deadline_s, True, "", number, 0.0
    )


def drain(queue: fair_queue.FairQueue) -> list[models.Ticket]:
    """Removes all tickets, and returns them in the order of service."""
    return [t for t in iter(queue.pop, None)]


class TestOrder:
    """The order of service."""

    def test_earliest_deadline_of_highest_priority_goes_first(self):
        """Guards against urgent requests served after less urgent ones."""
        queue = fair_queue.FairQueue()
        for number, (priority, deadline_s) in enumerate(
            [(4, 3.0), (4, 1.0), (0, 9.0), (4, 2.0)]
        ):
            queue.push(ticket_of(number, f"c{number}", priority, deadline_s))
        assert [t.id for t in drain(queue)] == [2, 1, 3, 0]

    def test_caller_behind_a_flood_waits_one_round(self):
        """Guards against one caller's flood that delays the other callers."""
        queue = fair_queue.FairQueue()
        for number in range(100):
            queue.push(ticket_of(number, "flood", deadline_s=1.0))
        queue.push(ticket_of(100, "calm", deadline_s=9.0))
        assert 100 in [t.id for t in drain(queue)[:2]]

    def test_caller_that_returns_at_once_gets_no_second_turn(self):
        """Guards against a caller that is served again in the same round.

        The caller never has more than one ticket waiting, so it is idle after
        each one.
        """
        queue = fair_queue.FairQueue()
        for number in range(10):
            queue.push(ticket_of(number, "flood", deadline_s=9.0))
        served: collections.Counter[str] = collections.Counter()
        for number in range(10, 20):
            queue.push(ticket_of(number, "quick", deadline_s=1.0))
            served[queue.pop().caller] += 1
        assert served["flood"] == 5


class TestDisplaceFor:
    """Which ticket is removed from a full queue."""

    def test_flood_makes_room_for_another_caller(self):
        """Guards against one caller that takes the whole queue."""
        queue = fair_queue.FairQueue()
        for number in range(10):
            queue.push(ticket_of(number, "flood", deadline_s=float(number)))
        displaced = queue.displace_for(ticket_of(10, "calm"))
        assert displaced is not None and displaced.id == 9

    def test_caller_at_its_share_displaces_nobody(self):
        """Guards against callers with equal shares displacing each other."""
        queue = fair_queue.FairQueue()
        for number in range(10):
            queue.push(ticket_of(number, f"c{number % 2}"))
        assert queue.displace_for(ticket_of(10, "c0")) is None
        assert len(queue) == 10

    def test_lowest_priority_leaves_first(self):
        """Guards against removing an urgent ticket for a less urgent one."""
        queue = fair_queue.FairQueue()
        queue.push(ticket_of(0, priority=7))
        queue.push(ticket_of(1, priority=4))
        displaced = queue.displace_for(ticket_of(2, priority=0))
        assert displaced is not None and displaced.id == 0
        assert queue.displace_for(ticket_of(3, priority=7)) is None


class QueueMachine(stateful.RuleBasedStateMachine):
    """Any order of changes, compared with a plain dictionary of tickets."""

    def __init__(self) -> None:
        super().__init__()
        self.queue = fair_queue.FairQueue()
        self.waiting: dict[int, models.Ticket] = {}
        self.number = 0

    @stateful.rule(
        caller=st.sampled_from("abc"),
        priority=st.integers(0, 2),
        deadline_s=st.integers(0, 5),
    )
    def push(self, caller: str, priority: int, deadline_s: int):
        """Adds a ticket."""
        self.number += 1
        ticket = ticket_of(self.number, caller, priority, float(deadline_s))
        self.waiting[ticket.id] = ticket
        self.queue.push(ticket)

    @stateful.rule()
    def pop(self):
        """Removes the next ticket, and checks priority and deadline."""
        head = self.queue.peek()
        ticket = self.queue.pop()
        assert ticket is head
        if ticket is None:
            assert not self.waiting
            return
        del self.waiting[ticket.id]
        assert not [
            t
            for t in self.waiting.values()
            if t.priority < ticket.priority
            or (
                (t.priority, t.caller) == (ticket.priority, ticket.caller)
                and t.deadline_s < ticket.deadline_s
            )
        ]

    @stateful.rule(data=st.data(), number=st.integers(1, 60))
    def remove(self, data: st.DataObject, number: int):
        """Removes a ticket that may be waiting."""
        ticket = self.waiting.pop(number, None)
        removed = ticket or ticket_of(number)
        assert self.queue.remove(removed) == (ticket is not None)

    @stateful.rule(until_s=st.integers(0, 5))
    def remove_due(self, until_s: int):
        """Removes all tickets whose deadline has passed."""
        due = {n for n, t in self.waiting.items() if t.deadline_s <= until_s}
        assert {t.id for t in self.queue.remove_due(until_s)} == due
        for number in due:
            del self.waiting[number]

    @stateful.rule(caller=st.sampled_from("abc"), priority=st.integers(0, 2))
    def displace(self, caller: str, priority: int):
        """Makes room; a ticket of higher priority must not be removed."""
        displaced = self.queue.displace_for(ticket_of(0, caller, priority))
        if displaced is not None:
            assert displaced.priority >= priority
            del self.waiting[displaced.id]

    @stateful.invariant()
    def nothing_is_lost(self):
        """Compares the number of tickets."""
        assert len(self.queue) == len(self.waiting)


class TestQueueMachine(QueueMachine.TestCase):
    """Guards against tickets that are lost, duplicated or out of order."""

    settings = hypothesis.settings(max_examples=100, stateful_step_count=60)
