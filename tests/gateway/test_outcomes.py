"""Tests of what follows from sending a request."""

import hypothesis
from hypothesis import strategies as st

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.exchange import outcomes

_ANSWER = exchange.Answer(200, (), b"")
_FAILURE = exchange.Answer(500, (), b"")
_ONCE = models.Idempotency.NON_IDEMPOTENT
_IDEMPOTENT = models.Idempotency.IDEMPOTENT

_OUTCOMES = st.sampled_from(
    [
        outcomes.Answered(_ANSWER),
        outcomes.ServerFailed(_FAILURE),
        outcomes.NotRun(messages.AttemptResult.SHED),
        outcomes.NotSent(),
        outcomes.Unknown(),
        outcomes.OutOfTime(),
    ]
)


def has_run(outcome: outcomes.Outcome) -> bool:
    """Returns whether a server may have run the request."""
    return not isinstance(outcome, outcomes.NotRun | outcomes.NotSent)


class TestNextStep:
    """Repeats, refusals and failures."""

    @hypothesis.given(st.lists(_OUTCOMES, min_size=1, max_size=5))
    def test_a_request_that_may_have_run_is_never_sent_again(self, history):
        """Guards against a booking that is made twice."""
        may_have_run = False
        for number, outcome in enumerate(history):
            may_have_run = may_have_run or has_run(outcome)
            step = outcomes.next_step(
                outcome,
                _ONCE,
                sends_left=4 - number,
                may_have_run=may_have_run,
            )
            if may_have_run:
                assert not isinstance(step, outcomes.TryAgain)
            if not isinstance(step, outcomes.TryAgain):
                break

    @hypothesis.given(_OUTCOMES, st.booleans(), st.integers(0, 3))
    def test_a_refusal_is_true(self, outcome, ran_before, sends_left):
        """Guards against "not run" for a request that a server began."""
        may_have_run = ran_before or has_run(outcome)
        for idempotency in (_ONCE, _IDEMPOTENT):
            step = outcomes.next_step(
                outcome,
                idempotency,
                sends_left=sends_left,
                may_have_run=may_have_run,
            )
            if isinstance(step, outcomes.Refuse):
                assert not may_have_run

    @hypothesis.given(_OUTCOMES)
    def test_the_limit_of_a_route_holds(self, outcome):
        """Guards against more sends than the operator allows."""
        step = outcomes.next_step(
            outcome, _IDEMPOTENT, sends_left=0, may_have_run=has_run(outcome)
        )
        if isinstance(step, outcomes.TryAgain):
            assert not step.counts

    def test_a_servers_own_failure_is_returned(self):
        """Guards against replacing what the server said."""
        step = outcomes.next_step(
            outcomes.ServerFailed(_FAILURE),
            _ONCE,
            sends_left=3,
            may_have_run=True,
        )
        assert step == outcomes.Return(_FAILURE)
