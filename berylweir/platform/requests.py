"""Decodes and encodes the heads of HTTP requests and responses."""

from collections.abc import Iterable
import dataclasses
import itertools
import math

from berylweir import records
from berylweir.gateway import models
from berylweir.platform import objects

Header = tuple[bytes, bytes]

READY_PATH = "/berylweir/readyz"

_REQUEST_ID = b"request-id"
_DEADLINE = b"deadline-ms"
_SHARD_KEY = b"shard-key"
_CREDENTIALS = b"authorization"
_EXPECTED_SERVER = b"expect-instance"
_SIGNATURE = b"response-seal"
_NOT_RUN = b"not-run"
_SERVER_LOAD = b"server-load"
_WARMUP = b"warmup-ms"
_SERVER_LIMIT = b"server-limit"
_SERVER_LEAVING = b"server-leaving"
_RETRY_AFTER = b"retry-after"
# Headers between gateways; neither servers nor callers get them.
FORWARDED_BY = b"berylweir-forwarded-by"
FORWARDED_GROUP = b"berylweir-group"
FORWARDED_SENT_ATTEMPTS = b"berylweir-sent-attempts"
FORWARDED_MAY_HAVE_RUN = b"berylweir-may-have-run"
FORWARDED_TIMEOUT = b"berylweir-timeout-ms"
FORWARDED_OUTCOME = b"berylweir-outcome"
FORWARDED_LEAVING = b"berylweir-leaving"
_GATEWAY_HEADERS = frozenset(
    {
        FORWARDED_BY,
        FORWARDED_GROUP,
        FORWARDED_SENT_ATTEMPTS,
        FORWARDED_MAY_HAVE_RUN,
        FORWARDED_TIMEOUT,
        FORWARDED_OUTCOME,
        FORWARDED_LEAVING,
    }
)
# Largest number in a report of a server's load.
_MAX_LOAD = 1e9
# Longest pause that is taken from a server, in seconds.
_MAX_PAUSE_S = 60.0
# Hop-by-hop headers, and headers that the gateway sets itself.
_UNFORWARDED_REQUEST_HEADERS = _GATEWAY_HEADERS | frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"content-length",
        b"te",
        b"trailer",
        b"upgrade",
        b"expect",
        _DEADLINE,
        _EXPECTED_SERVER,
    }
)
# Hop-by-hop headers, and headers meant for the gateway only.
_UNFORWARDED_RESPONSE_HEADERS = _GATEWAY_HEADERS | frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"transfer-encoding",
        b"trailer",
        b"upgrade",
        _SERVER_LOAD,
        _WARMUP,
        _SERVER_LIMIT,
        _SERVER_LEAVING,
        _NOT_RUN,
    }
)


@records.record
class RequestHead:
    """Head of a caller's request.

    Attributes:
        request_id: Value of the `request-id` header; empty if it is absent. A
            retry by the caller has a new id.
        method: HTTP method.
        target: Path and query as received.
        host: Host name in lower case, without a port.
        path: Path without the query.
        deadline_ms: Time that the caller waits for a response, in
            milliseconds; None if the header is absent or no number.
        key: Shard key, for groups whose servers own keys; None if it is
            absent or out of range.
        headers: Headers to forward.
        credentials: What identifies the caller to the servers; empty if the
            request has no credentials.
    """

    request_id: str
    method: str
    target: bytes
    host: str
    path: str
    deadline_ms: float | None
    key: int | None
    headers: tuple[Header, ...]
    credentials: bytes = b""


def decode_request(
    method: str, target: bytes, headers: Iterable[Header]
) -> RequestHead:
    """Decodes the head of a caller's request.

    Args:
        method: HTTP method.
        target: Path and query.
        headers: Headers with names in lower case.
    """
    request_id = b""
    host = b""
    deadline_ms: float | None = None
    key: int | None = None
    credentials = b""
    forwarded: list[Header] = []
    for name, value in headers:
        if name == _REQUEST_ID:
            request_id = value
        elif name == b"host":
            host = value
        elif name == _DEADLINE:
            deadline_ms = _parse_number(value)
        elif name == _SHARD_KEY:
            number = _parse_number(value)
            if number is not None and 0 <= number < models.KEY_COUNT:
                key = int(number)
        elif name == _CREDENTIALS:
            credentials = value
        if name not in _UNFORWARDED_REQUEST_HEADERS:
            forwarded.append((name, value))
    return RequestHead(
        request_id.decode("latin-1"),
        method,
        target,
        host.decode("latin-1").lower().partition(":")[0],
        target.partition(b"?")[0].decode("latin-1"),
        deadline_ms,
        key,
        tuple(forwarded),
        credentials,
    )


def encode_request(
    head: RequestHead,
    body_bytes: int,
    server: str | None,
    deadline_ms: float,
    own_headers: Iterable[Header] = (),
) -> bytes:
    """Returns the encoded head of a request that is passed on.

    Args:
        head: Head of the caller's request.
        body_bytes: Length of the body, in bytes.
        server: Id of the only server that may run the request; None if it goes
            to another gateway.
        deadline_ms: Time left until the deadline, in milliseconds.
        own_headers: Further headers that the gateway adds.
    """
    lines = [
        head.method.encode("latin-1"),
        b" ",
        head.target,
        b" HTTP/1.1\r\n",
    ]
    for name, value in itertools.chain(head.headers, own_headers):
        lines += (name, b": ", value, b"\r\n")
    lines.append(b"deadline-ms: %d\r\n" % max(1, int(deadline_ms)))
    if server is not None:
        lines.append(b"expect-instance: %b\r\n" % server.encode("latin-1"))
    if body_bytes or head.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"content-length: %d\r\n" % body_bytes)
    lines.append(b"\r\n")
    return b"".join(lines)


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseHead:
    """Head of a backend server's response.

    Attributes:
        status: HTTP status.
        is_signed: Whether it has a `response-seal` header, the server's
            signature.
        reports_not_run: Whether the server states that it didn't run the
            request, by a `not-run` header or status 421.
        has_content_encoding: Whether the body has a content encoding. Callers
            request none, so such a body doesn't come from the server.
        statements: What the server says of itself.
        content_length: Length of the body in bytes; None if it isn't stated.
        keep_alive_timeout_s: Time after which the server closes an idle
            connection, in seconds; None if it isn't stated.
        retry_after_s: Time after which to retry, in seconds; None if it isn't
            stated.
        headers: Headers to forward to the caller.
    """

    status: int
    is_signed: bool
    reports_not_run: bool
    has_content_encoding: bool
    statements: models.ServerStatements
    content_length: int | None
    keep_alive_timeout_s: float | None
    retry_after_s: float | None
    headers: tuple[Header, ...]


def matches_request_id(request_id: str, headers: Iterable[Header]) -> bool:
    """Returns whether a response may belong to the request.

    A server may send a late, duplicate response to an earlier request on the
    same connection. Its `request-id` header differs from the expected one. A
    response without that header may belong to any request.
    """
    expected = request_id.encode("latin-1")
    return all(v == expected for n, v in headers if n == _REQUEST_ID)


def states_request_id(headers: Iterable[Header]) -> bool:
    """Returns whether a response states the id of its request."""
    return any(name == _REQUEST_ID for name, _ in headers)


def decode_response(status: int, headers: Iterable[Header]) -> ResponseHead:
    """Decodes the head of a backend server's response.

    Args:
        status: HTTP status.
        headers: Headers with names in lower case.
    """
    values_by_name: dict[bytes, bytes] = {}
    forwarded: list[Header] = []
    for name, value in headers:
        values_by_name[name] = value
        if name not in _UNFORWARDED_RESPONSE_HEADERS:
            forwarded.append((name, value))
    encoding = values_by_name.get(b"content-encoding", b"identity").lower()
    content_length = _parse_number(values_by_name.get(b"content-length", b""))
    return ResponseHead(
        status,
        _SIGNATURE in values_by_name,
        _NOT_RUN in values_by_name or status == 421,
        encoding not in (b"", b"identity"),
        models.ServerStatements(
            _decode_load(values_by_name.get(_SERVER_LOAD)),
            _decode_cold_ms(values_by_name.get(_WARMUP)),
            _decode_rate_limit(
                status,
                values_by_name.get(_SERVER_LIMIT),
                is_signed=_SIGNATURE in values_by_name,
            ),
            # A response with status 421 may come from another server.
            status != 421 and values_by_name.get(_SERVER_LEAVING) == b"1",
            _decode_pause(status, values_by_name.get(_RETRY_AFTER)),
        ),
        None if content_length is None else int(content_length),
        _decode_keep_alive_timeout(values_by_name.get(b"keep-alive")),
        _parse_number(values_by_name.get(_RETRY_AFTER, b"")),
        tuple(forwarded),
    )


def decode_server_response(
    status: int, headers: Iterable[Header]
) -> ResponseHead:
    """Decodes the head of a response that the server sent to this VM.

    The time after a rejection is a pause that the server asks this VM for, so
    it isn't forwarded to the caller.

    Args:
        status: HTTP status.
        headers: Headers with names in lower case.
    """
    head = decode_response(status, headers)
    if status != 503:
        return head
    return dataclasses.replace(
        head, headers=tuple(h for h in head.headers if h[0] != _RETRY_AFTER)
    )


def encode_error_headers(
    request_id: str, retry_after_s: float | None
) -> tuple[Header, ...]:
    """Returns the headers of an error response that the gateway generates.

    Args:
        request_id: Id of the caller's request; empty if it has none.
        retry_after_s: Time after which to retry, in seconds; None to leave
            the header out.
    """
    headers: list[Header] = [(b"content-type", b"application/problem+json")]
    if request_id:
        headers.append((_REQUEST_ID, request_id.encode("latin-1")))
    if retry_after_s is not None:
        headers.append((_RETRY_AFTER, b"%.3f" % retry_after_s))
    return tuple(headers)


def _decode_load(value: bytes | None) -> models.Load | None:
    """Decodes `running,waiting,slots[,percent]`.

    The percentage is the duration of work relative to the usual one.
    """
    if not value:
        return None
    fields = [_parse_number(f) for f in value.split(b",")]
    if len(fields) < 3 or None in fields[:4]:
        return None
    if any(abs(f or 0.0) > _MAX_LOAD for f in fields[:4]):
        return None
    running, waiting, slots = (int(f or 0) for f in fields[:3])
    percent = fields[3] if len(fields) > 3 else None
    return models.Load(running, waiting, slots, (percent or 100.0) / 100.0)


def _decode_cold_ms(value: bytes | None) -> float | None:
    """Decodes the time for which a server stays cold, in ms."""
    cold_ms = None if value is None else _parse_number(value)
    if cold_ms is None or not 0 <= cold_ms <= objects.MAX_COLD_MS:
        return None
    return cold_ms


def _decode_rate_limit(
    status: int, value: bytes | None, *, is_signed: bool
) -> models.RateLimitStatement:
    """Decodes the limit that a server names.

    A response with status 421 may come from another server at the same
    address. A response without a signature may come from a faulty server, so
    it doesn't lift a limit.
    """
    if status == 421:
        return models.RateLimitUnstated()
    if value is None:
        return (
            models.NotRateLimited() if is_signed else models.RateLimitUnstated()
        )
    per_s = _parse_number(value)
    if per_s is None or per_s < 0:
        return models.RateLimitInvalid(value[:40].decode("latin-1"))
    return models.RateLimited(per_s)


def _decode_pause(
    status: int, value: bytes | None
) -> models.PauseStatement | None:
    """Decodes the pause that a server asks for with a rejection."""
    if status != 503 or value is None:
        return None
    duration_s = _parse_number(value)
    if duration_s is None or duration_s < 0:
        return models.PauseInvalid(value[:40].decode("latin-1"))
    if duration_s > _MAX_PAUSE_S:
        return models.PauseShortened(_MAX_PAUSE_S, value[:40].decode("latin-1"))
    return models.Pause(duration_s)


def _decode_keep_alive_timeout(value: bytes | None) -> float | None:
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout":
            return _parse_number(number)
    return None


def _parse_number(value: bytes) -> float | None:
    """Returns a finite number; None if the text is none."""
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
