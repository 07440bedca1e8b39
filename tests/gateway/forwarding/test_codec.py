"""Tests of the headers that gateways exchange."""

import pytest
import result

from berylweir.gateway import models
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.forwarding import codec
from berylweir.platform import requests

_ORIGIN = exchange.FromGateway("vm-1", "books", 2, True, 812.0)


def encode() -> list[requests.Header]:
    """Returns the headers of a forwarded request as received."""
    head = requests.decode_request(
        "POST", b"/r/1?q", [(b"host", b"x"), (b"request-id", b"a1")]
    )
    request = exchange.CallerRequest(head, b"abc", 0.0)
    lines = codec.encode_request(request, _ORIGIN, 900.0).split(b"\r\n")
    assert lines[0] == b"POST /r/1?q HTTP/1.1"
    return [
        (name.lower(), value)
        for name, _, value in (line.partition(b": ") for line in lines[1:])
        if name
    ]


class TestRequests:
    """Requests between gateways."""

    def test_forwarded_request_is_decoded_as_it_was(self):
        """Guards against attempts and deadlines that get lost on the way."""
        decoded = codec.decode_forwarded_request("POST", b"/r/1?q", encode())
        head, origin = decoded.unwrap()
        assert origin == _ORIGIN
        assert (head.request_id, head.deadline_ms) == ("a1", 900.0)
        assert head.headers == ((b"host", b"x"), (b"request-id", b"a1"))

    def test_headers_of_a_caller_are_removed(self):
        """Guards against callers that pass for a gateway."""
        decoded = codec.decode_caller_request("POST", b"/r/1?q", encode())
        head, origin = decoded.unwrap()
        assert origin == exchange.FromCaller()
        assert head.headers == ((b"host", b"x"), (b"request-id", b"a1"))

    @pytest.mark.parametrize("value", [None, b"", b"-1", b"x", b"9" * 5000])
    @pytest.mark.parametrize(
        "name",
        [
            requests.FORWARDED_SENT_ATTEMPTS,
            requests.FORWARDED_MAY_HAVE_RUN,
            requests.FORWARDED_TIMEOUT,
        ],
    )
    def test_missing_and_malformed_headers_are_rejected(self, name, value):
        """Guards against running a request that may have run before."""
        headers = [h for h in encode() if h[0] != name]
        if value is not None:
            headers.append((name, value))
        decoded = codec.decode_forwarded_request("POST", b"/", headers)
        assert isinstance(decoded, result.Err)


class TestAnswers:
    """Answers between gateways."""

    @pytest.mark.parametrize("kind", list(exchange.AnswerKind))
    def test_kind_is_kept_and_its_header_removed(self, kind):
        """Guards against taking a refusal for a response of a server."""
        answer = exchange.Answer(503, ((b"retry-after", b"0.250"),), b"")
        sent = codec.add_headers(
            exchange.Answer(503, answer.headers, b"", kind=kind)
        )
        head, decoded_kind = codec.decode_response(503, sent.headers)
        assert decoded_kind is kind
        assert head.retry_after_s == 0.25
        assert head.headers == answer.headers

    def test_unknown_kind_is_reported(self):
        """Guards against taking a later version's answer for a response."""
        for headers in ((), ((requests.FORWARDED_OUTCOME, b"other"),)):
            assert codec.decode_response(200, headers)[1] is None

    def test_leaving_server_is_named_to_the_gateway_only(self):
        """Guards against a VM that sends to a server it heard was leaving."""
        server = models.ServerInstance("s/1", 1700000000000)
        sent = codec.add_headers(
            exchange.Answer(200, (), b"", leaving_server=server)
        )
        assert codec.decode_leaving_server(sent.headers) == server
        assert codec.decode_response(200, sent.headers)[0].headers == ()

    @pytest.mark.parametrize("value", [b"", b"s1", b"x/s1", b"-1/s1"])
    def test_malformed_leaving_server_is_ignored(self, value):
        """Guards against an answer that ends the request."""
        headers = ((requests.FORWARDED_LEAVING, value),)
        assert codec.decode_leaving_server(headers) is None
