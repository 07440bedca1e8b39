"""Tests of which headers of a message the router passes on."""

import pytest

from berylweir.router.ingress import decisions

_HEADERS = [
    (b"connection", b"X-First, x-second"),
    (b"x-first", b"1"),
    (b"x-second", b"2"),
    (b"connection", b"close"),
    (b"x-kept", b"3"),
]


class TestConnectionHeaders:
    """Headers that `connection` headers name, each for one hop."""

    @pytest.mark.parametrize(
        "select",
        [decisions.select_request_headers, decisions.select_response_headers],
    )
    def test_only_the_last_connection_header_counts(self, select):
        """Guards against headers for one hop that reach the next one."""
        assert select(_HEADERS) == [(b"x-kept", b"3")]

    @pytest.mark.parametrize(
        "select",
        [decisions.select_request_headers, decisions.select_response_headers],
    )
    def test_message_without_a_connection_header_loses_headers(self, select):
        """Guards against headers that an empty option removes."""
        kept = [(b"x-kept", b"3"), (b"connection", b"")]
        assert select(kept) == [(b"x-kept", b"3")]
