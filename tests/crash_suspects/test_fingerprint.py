"""Tests of the fingerprints of requests."""

import hypothesis
from hypothesis import strategies as st

from berylweir.crash_suspects import fingerprint
from berylweir.gateway.exchange import models as exchange
from berylweir.platform import requests


def request(headers=(), *, target=b"/r/a?b=c", method="POST", body=b"x"):
    """Returns a caller's request."""
    head = requests.decode_request(
        method, target, [(b"host", b"site.example"), *headers]
    )
    return exchange.CallerRequest(head, body, 0.0)


class TestFingerprint:
    """What makes a request the same as an earlier one."""

    def test_new_attempt_is_another_request(self):
        """Guards against headers that a caller changes with each attempt."""
        first = request([(b"request-id", b"1"), (b"deadline-ms", b"100")])
        second = request(
            [
                (b"request-id", b"2"),
                (b"deadline-ms", b"50"),
                (b"idempotency-key", b"k"),
                (b"cookie", b"seen=2"),
            ]
        )
        assert first.fingerprint() == second.fingerprint()

    def test_other_request_is_the_same(self):
        """Guards against refusing what only resembles a harmful request."""
        others = [
            request(),
            request(target=b"/r/a?b=d"),
            request(method="PUT"),
            request(body=b"y"),
            request(body=b""),
            request([(b"shard-key", b"5")]),
            request([(b"authorization", b"token")]),
            request([(b"host", b"other.example")]),
        ]
        assert len({r.fingerprint() for r in others}) == len(others)

    @hypothesis.given(st.integers(0, 2**64 - 1))
    def test_text_loses_the_fingerprint(self, number):
        """Guards against object names that another VM can't read."""
        text = fingerprint.to_text(number)
        assert fingerprint.from_text(text) == number

    @hypothesis.given(st.text(max_size=20))
    def test_any_text_is_a_fingerprint(self, text):
        """Guards against errors on names that someone else wrote."""
        number = fingerprint.from_text(text)
        assert number is None or len(text) == 16
