"""Tests of the step that follows an attempt."""

import hypothesis
from hypothesis import strategies as st

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.exchange import outcomes

_ANSWER = exchange.Answer(200, (), b"")
_SERVER_FAILURE = exchange.Answer(500, (), b"")
_NON_IDEMPOTENT = models.Idempotency.NON_IDEMPOTENT
_IDEMPOTENT = models.Idempotency.IDEMPOTENT

_OUTCOMES = st.sampled_from(
    [
        outcomes.Answered(_ANSWER),
        outcomes.ServerFailed(_SERVER_FAILURE),
        outcomes.NotRun(messages.AttemptResult.SHED),
        outcomes.NotSent(),
        outcomes.Unknown(),
        outcomes.OutOfTime(),
    ]
)


def may_have_run_after(outcome: outcomes.Outcome) -> bool:
    """Returns whether a server may have run the request in this attempt."""
    return not isinstance(outcome, outcomes.NotRun | outcomes.NotSent)


class TestNextStep:
    """Decision between retry, refusal and failure."""

    @hypothesis.given(st.lists(_OUTCOMES, min_size=1, max_size=5))
    def test_non_idempotent_request_that_may_have_run_is_not_retried(
        self, outcome_history
    ):
        """Guards against running a booking twice."""
        may_have_run = False
        for number, outcome in enumerate(outcome_history):
            may_have_run = may_have_run or may_have_run_after(outcome)
            step = outcomes.next_step(
                outcome,
                _NON_IDEMPOTENT,
                remaining_attempts=4 - number,
                may_have_run=may_have_run,
            )
            if may_have_run:
                assert not isinstance(step, outcomes.TryAgain)
            if not isinstance(step, outcomes.TryAgain):
                break

    @hypothesis.given(_OUTCOMES, st.booleans(), st.integers(0, 3))
    def test_request_that_may_have_run_is_never_refused(
        self, outcome, ran_earlier, remaining_attempts
    ):
        """Guards against refusing a request that a server may have run.

        A refusal promises the caller that the request was not run.
        """
        may_have_run = ran_earlier or may_have_run_after(outcome)
        for idempotency in (_NON_IDEMPOTENT, _IDEMPOTENT):
            step = outcomes.next_step(
                outcome,
                idempotency,
                remaining_attempts=remaining_attempts,
                may_have_run=may_have_run,
            )
            if isinstance(step, outcomes.Refuse):
                assert not may_have_run

    @hypothesis.given(_OUTCOMES)
    def test_retries_stay_within_the_limit_of_the_route(self, outcome):
        """Guards against more attempts than the route allows."""
        step = outcomes.next_step(
            outcome,
            _IDEMPOTENT,
            remaining_attempts=0,
            may_have_run=may_have_run_after(outcome),
        )
        if isinstance(step, outcomes.TryAgain):
            assert not step.uses_retry_budget

    def test_failure_response_of_the_server_is_returned(self):
        """Guards against replacing the response of the server."""
        step = outcomes.next_step(
            outcomes.ServerFailed(_SERVER_FAILURE),
            _NON_IDEMPOTENT,
            remaining_attempts=3,
            may_have_run=True,
        )
        assert step == outcomes.Return(_SERVER_FAILURE)
