"""Tests of the evidence against requests."""

import hypothesis
from hypothesis import strategies as st

from berylweir.crash_suspects import evidence

_F = 7


def end(number, sent_s, ended_s):
    """Returns the end of a server."""
    return evidence.ServerEnd(
        f"s{number}", 1, sent_s, ended_s, "vm", f"r{number}"
    )


class TestEvidence:
    """Judgement of requests by the servers that ended under them."""

    def test_third_server_in_a_row_is_taken_for_chance(self):
        """Guards against more than three servers for one request."""
        found = evidence.Evidence()
        findings = []
        for number in range(3):
            found.record(_F, [end(number, number, number + 0.5)])
            findings.append(found.find(_F, 10.0))
        assert findings == [
            evidence.Finding.UNSUSPECTED,
            evidence.Finding.SUSPECTED,
            evidence.Finding.HARMFUL,
        ]

    def test_servers_that_end_at_once_count_one_by_one(self):
        """Guards against refusing a hot request when a rack is lost."""
        found = evidence.Evidence()
        found.record(_F, [end(n, 0.1 * n, 1.0 + 0.01 * n) for n in range(8)])
        assert found.find(_F, 2.0) is evidence.Finding.UNSUSPECTED

    def test_completed_request_stays_suspected(self):
        """Guards against counting crashes that a success lies between."""
        found = evidence.Evidence()
        found.record(_F, [end(0, 0.0, 0.5), end(1, 1.0, 1.5)])
        found.record_completion(_F, 1.7)
        found.record(_F, [end(2, 2.0, 2.5)])
        assert found.find(_F, 3.0) is evidence.Finding.UNSUSPECTED

    def test_repeated_report_counts_twice(self):
        """Guards against counting a server for each VM that reports it."""
        found = evidence.Evidence()
        for _ in range(5):
            found.record(_F, [end(0, 0.0, 0.5)])
        assert found.find(_F, 1.0) is evidence.Finding.UNSUSPECTED

    def test_request_that_was_harmful_crashes_three_more(self):
        """Guards against learning the same again after each quarantine."""
        found = evidence.Evidence()
        found.record(_F, [end(0, 0.0, 0.5)])
        assert found.find(_F, 1.0, was_harmful=True) is evidence.Finding.HARMFUL

    def test_memory_grows_with_requests(self):
        """Guards against filling the memory of a VM."""
        found = evidence.Evidence()
        for number in range(5000):
            found.record(number, [end(n, n, n + 0.5) for n in range(40)])
        assert len(found) <= 2048
        assert len(found.all_ends(4999, 50.0)) <= 16

    @hypothesis.given(
        st.lists(
            st.tuples(st.floats(0.0, 100.0), st.floats(0.0, 5.0)),
            max_size=12,
        ),
        st.randoms(use_true_random=False),
    )
    def test_order_of_reports_changes_the_count(self, times, rng):
        """Guards against findings that depend on which VM reports first."""
        ends = [end(n, s, s + d) for n, (s, d) in enumerate(times)]
        shuffled = list(ends)
        rng.shuffle(shuffled)
        ordered, disordered = evidence.Evidence(), evidence.Evidence()
        ordered.record(_F, ends)
        for one in shuffled:
            disordered.record(_F, [one])
        assert len(ordered.ends(_F, 100.0)) == len(disordered.ends(_F, 100.0))

    @hypothesis.given(
        st.lists(st.floats(0.0, 10.0), min_size=1, max_size=12),
        st.floats(10.0, 12.0),
    )
    def test_concurrent_copies_make_a_suspect(self, sent, ended_s):
        """Guards against blaming copies that were all sent before a crash."""
        found = evidence.Evidence()
        found.record(
            _F, [end(n, s, ended_s + 0.1 * n) for n, s in enumerate(sent)]
        )
        assert len(found.ends(_F, 20.0)) <= 1
