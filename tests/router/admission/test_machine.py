"""Stateful property test of all decisions of a home."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from berylweir import refusals
from berylweir.refusals import models as refusal_models
from berylweir.router.admission import decisions
from berylweir.router.admission import models

_SLOTS = 3
_WALL_S = 1_800_000_000.0
_UNSENT = (
    models.Ending.NOT_SENT,
    models.Ending.CONNECT_FAILED,
    models.Ending.SHED,
)
_IDS = tuple(f"{int(_WALL_S * 1000):012x}7{n:019x}" for n in range(1, 6))


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Any order of requests, endings, authorities, suspects and time."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 100.0
        self.number = 0
        self.state = decisions.new_state(
            models.Limits("g", _SLOTS, queue_limit=4, isolation_s=5.0)
        )
        self.waiting: dict[int, models.Ticket] = {}
        self.running: dict[int, tuple[models.Ticket, str]] = {}
        self.sent_ids: set[str] = set()

    def apply(self, new_decisions: decisions.Decisions) -> None:
        """Checks each decision against the earlier ones."""
        for decision in new_decisions:
            ticket = decision.ticket
            # A ticket gets exactly one decision, so it must still be waiting.
            del self.waiting[ticket.id]
            match decision:
                case models.Run(server=name):
                    server = self.state.servers[name]
                    assert len(server.running) <= server.limit <= _SLOTS
                    assert ticket.fingerprint not in (
                        self.state.crash_suspects.quarantined
                    )
                    if not ticket.idempotent:
                        assert ticket.request_id not in self.known_ids()
                    self.running[ticket.id] = (ticket, name)
                case models.Refuse(refusal=refusal):
                    if ticket.request_id in self.known_ids():
                        assert refusals.outcome_of(refusal) is not (
                            refusal_models.Outcome.NOT_RUN
                        )

    def known_ids(self) -> set[str]:
        """Returns ids of requests that were sent or are running."""
        return self.sent_ids | {
            t.request_id for t, _ in self.running.values() if t.request_id
        }

    @stateful.rule(
        server=st.sampled_from(["s0", "s1", "s2", None]),
        caller=st.sampled_from("ab"),
        priority=st.integers(3, 4),
        timeout_s=st.sampled_from([0.0, 0.05, 1.0, 5.0]),
        request_id=st.sampled_from([None, None, *_IDS]),
        fingerprint=st.integers(0, 4),
        slice_index=st.integers(0, 2),
    )
    def submit(
        self,
        server: str | None,
        caller: str,
        priority: int,
        timeout_s: float,
        request_id: str | None,
        fingerprint: int,
        slice_index: int,
    ):
        """Submits a request."""
        self.number += 1
        ticket = models.Ticket(
            self.number,
            server,
            slice_index if server else None,
            caller,
            priority,
            self.now + timeout_s,
            request_id is None,
            request_id or "",
            fingerprint,
            self.now,
        )
        self.waiting[ticket.id] = ticket
        self.apply(
            decisions.submit(self.state, ticket, self.now, _WALL_S + 0.5)
        )

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        data=st.data(),
        ending=st.sampled_from(models.Ending)
        | st.just(models.Ending.COMPLETED),
    )
    def finish(self, data: st.DataObject, ending: models.Ending):
        """Finishes a request twice; the second time must have no effect."""
        number = data.draw(st.sampled_from(sorted(self.running)))
        ticket, server = self.running.pop(number)
        if ticket.request_id and ending not in _UNSENT:
            self.sent_ids.add(ticket.request_id)
        self.apply(
            decisions.finish(self.state, server, ticket, ending, self.now)
        )
        assert not decisions.finish(
            self.state, server, ticket, models.Ending.NOT_SENT, self.now
        )

    @stateful.rule(data=st.data())
    def withdraw(self, data: st.DataObject):
        """Withdraws a request that is waiting or running."""
        tickets = self.waiting | {n: t for n, (t, _) in self.running.items()}
        if tickets:
            ticket = tickets[data.draw(st.sampled_from(sorted(tickets)))]
            decisions.withdraw(self.state, ticket)
            self.waiting.pop(ticket.id, None)

    @stateful.rule(
        names=st.sets(st.sampled_from(["s0", "s1", "s2"])),
        instance=st.sampled_from("xy"),
        valid_s=st.sampled_from([0.0, 9.0]),
        slices=st.integers(0, 3),
        takes_work=st.booleans(),
    )
    def set_authorities(
        self,
        names: set[str],
        instance: str,
        valid_s: float,
        slices: int,
        takes_work: bool,
    ):
        """Changes what the keeper allows."""
        self.apply(
            decisions.set_authorities(
                self.state,
                tuple(
                    models.Authority(
                        name,
                        instance,
                        self.now + valid_s,
                        dict.fromkeys(range(slices), 1),
                        _WALL_S - 10.0,
                        takes_work,
                    )
                    for name in sorted(names)
                ),
                self.now,
            )
        )

    @stateful.rule(seconds=st.sampled_from([0.01, 0.3, 6.0]))
    def tick(self, seconds: float):
        """Lets time pass."""
        self.now += seconds
        self.apply(decisions.tick(self.state, self.now))

    @stateful.rule(fingerprint=st.integers(0, 4), crashed=st.booleans())
    def receive_suspects(self, fingerprint: int, crashed: bool):
        """Receives a suspect or quarantined fingerprint from another home."""
        report = ((fingerprint, 5.0),)
        self.apply(
            decisions.merge_suspects(
                self.state,
                () if crashed else report,
                report if crashed else (),
                self.now,
            )
        )

    @stateful.invariant()
    def slots_hold(self):
        """Checks the number in flight, also for servers that returned."""
        servers = self.state.servers | self.state.former_servers
        counted = 0
        for server in servers.values():
            counted += len(server.running)
            assert len(server.running) <= _SLOTS
            assert server.limit <= _SLOTS
            if any(r.is_isolated for r in server.running.values()):
                assert server.has_isolated_ticket and len(server.running) == 1
        assert counted == len(self.running)

    @stateful.invariant()
    def each_ticket_waits_or_was_decided(self):
        """Checks that the queues hold exactly the undecided tickets."""
        queues = list(self.state.queues())
        assert sum(len(q) for q in queues) == len(self.waiting)

    @stateful.invariant()
    def table_holds_what_may_run(self):
        """Checks that only ids that were sent, run or wait are stored."""
        waiting = {t.request_id for t in self.waiting.values()} - {""}
        assert len(self.state.idempotency_table) == len(
            self.known_ids() | waiting
        )


class TestAdmissionMachine(AdmissionMachine.TestCase):
    """Guards against exceeded limits, lost tickets and repeated requests."""

    settings = hypothesis.settings(max_examples=200, stateful_step_count=50)
