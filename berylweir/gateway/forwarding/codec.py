"""Encodes and decodes requests and answers between two gateways.

They are the caller's request and its answer, with headers of the gateways' own.
A gateway interprets these headers on its forward port only, and removes them
before it passes a request on to a server or an answer on to a caller.
"""

from collections.abc import Sequence
import dataclasses

import result

from berylweir.gateway import models
from berylweir.gateway.exchange import models as exchange
from berylweir.gateway.forwarding import exceptions
from berylweir.platform import requests

_REQUEST_HEADERS = frozenset(
    {
        requests.FORWARDED_BY,
        requests.FORWARDED_GROUP,
        requests.FORWARDED_SENT_ATTEMPTS,
        requests.FORWARDED_MAY_HAVE_RUN,
        requests.FORWARDED_TIMEOUT,
    }
)
_FLAGS = {b"0": False, b"1": True}
_MAX_DIGITS = 9
_KINDS = {kind.value.encode(): kind for kind in exchange.AnswerKind}

DecodedRequest = tuple[requests.RequestHead, exchange.Origin]
Decoded = result.Result[DecodedRequest, exceptions.MalformedForward]


def decode_caller_request(
    method: str, target: bytes, headers: Sequence[requests.Header]
) -> Decoded:
    """Decodes the head of a caller's request.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Headers with names in lower case.
    """
    head = requests.decode_request(method, target, headers)
    return result.Ok((head, exchange.FromCaller()))


def decode_forwarded_request(
    method: str, target: bytes, headers: Sequence[requests.Header]
) -> Decoded:
    """Decodes the head of a request that another gateway forwarded.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Headers with names in lower case.

    Returns:
        The head and its origin; `MalformedForward` if a header of the gateway
        is missing or invalid.
    """
    values = {n: v for n, v in headers if n in _REQUEST_HEADERS}
    missing = _REQUEST_HEADERS - values.keys()
    if missing:
        name = min(missing).decode()
        return result.Err(exceptions.MalformedForward(f"{name} is missing"))
    sent_attempts = _parse_count(values[requests.FORWARDED_SENT_ATTEMPTS])
    timeout_ms = _parse_count(values[requests.FORWARDED_TIMEOUT])
    may_have_run = _FLAGS.get(values[requests.FORWARDED_MAY_HAVE_RUN])
    if sent_attempts is None or timeout_ms is None or may_have_run is None:
        return result.Err(exceptions.MalformedForward("a value is invalid"))
    origin = exchange.FromGateway(
        values[requests.FORWARDED_BY].decode("latin-1"),
        values[requests.FORWARDED_GROUP].decode("latin-1"),
        sent_attempts,
        may_have_run,
        timeout_ms,
    )
    head = requests.decode_request(method, target, headers)
    return result.Ok((head, origin))


def encode_request(
    request: exchange.CallerRequest,
    origin: exchange.FromGateway,
    caller_deadline_ms: float,
) -> bytes:
    """Returns the encoded head of a request to another gateway.

    Args:
        request: The caller's request.
        origin: What the other gateway is to know of it.
        caller_deadline_ms: Time that the caller still waits, in ms.
    """
    return requests.encode_request(
        request.head,
        len(request.body),
        None,
        caller_deadline_ms,
        (
            (requests.FORWARDED_BY, origin.vm.encode("latin-1")),
            (requests.FORWARDED_GROUP, origin.group.encode("latin-1")),
            (requests.FORWARDED_SENT_ATTEMPTS, b"%d" % origin.sent_attempts),
            (requests.FORWARDED_MAY_HAVE_RUN, b"%d" % origin.may_have_run),
            (
                requests.FORWARDED_TIMEOUT,
                b"%d" % max(1, int(origin.timeout_ms)),
            ),
        ),
    )


def add_headers(answer: exchange.Answer) -> exchange.Answer:
    """Returns an answer to another gateway, with the gateway's own headers.

    They tell its kind and whether the server said that it is leaving.
    """
    headers = [
        *answer.headers,
        (requests.FORWARDED_OUTCOME, answer.kind.value.encode()),
    ]
    leaving = answer.leaving_server
    if leaving is not None:
        value = f"{leaving.born_ms}/{leaving.server}"
        headers.append((requests.FORWARDED_LEAVING, value.encode("latin-1")))
    return dataclasses.replace(answer, headers=tuple(headers))


def refusal_headers() -> tuple[requests.Header, ...]:
    """Returns headers that tell another gateway that nothing was sent."""
    kind = exchange.AnswerKind.REFUSED
    return ((requests.FORWARDED_OUTCOME, kind.value.encode()),)


def decode_leaving_server(
    headers: Sequence[requests.Header],
) -> models.ServerInstance | None:
    """Returns the server that said that it is leaving; None if it didn't."""
    for name, value in headers:
        if name == requests.FORWARDED_LEAVING:
            born, separator, server = value.decode("latin-1").partition("/")
            if separator and born.isdecimal():
                return models.ServerInstance(server, int(born))
    return None


def decode_response(
    status: int, headers: Sequence[requests.Header]
) -> tuple[requests.ResponseHead, exchange.AnswerKind | None]:
    """Decodes the head of another gateway's answer.

    Args:
        status: HTTP status.
        headers: Headers with names in lower case.

    Returns:
        The head without the gateway's own headers, and the kind of the answer;
        None if it is missing or unknown.
    """
    kind = next(
        (_KINDS.get(v) for n, v in headers if n == requests.FORWARDED_OUTCOME),
        None,
    )
    return requests.decode_response(status, headers), kind


def _parse_count(value: bytes) -> int | None:
    is_count = value.isdigit() and len(value) <= _MAX_DIGITS
    return int(value) if is_count else None
