"""Validates and routes requests, and decides on retries.

Pure functions, apart from `RetryBudget`.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import random
import urllib.parse

import result
import xxhash

from berylweir.backendapi import headers
from berylweir.objects import schemas
from berylweir.refusals import models as refusals
from berylweir.router.admission import models as admission
from berylweir.router.admission import request_id_homes
from berylweir.router.ingress import models
from berylweir.router.table import decisions as table
from berylweir.router.table import models as table_models

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_RESPONSE_ONLY_HEADERS = frozenset({headers.OUTCOME, headers.REFUSAL})
# Headers that callers must not send, since only routers add them.
FORBIDDEN_FROM_CALLERS = _RESPONSE_ONLY_HEADERS | {
    headers.SLICE,
    headers.TOKEN,
    headers.SERVER,
    headers.HOP,
    headers.PRIORITY,
}
# Only the home adds the fencing token, for the backend server.
FORBIDDEN_FROM_PEERS = _RESPONSE_ONLY_HEADERS | {headers.TOKEN}
_NOT_FORWARDED_HEADERS = (
    _HOP_BY_HOP_HEADERS
    | FORBIDDEN_FROM_CALLERS
    | {headers.DEADLINE_MS, headers.GROUP, b"expect"}
)
# Headers that a request must not contain more than once.
_SINGLETON_HEADERS = FORBIDDEN_FROM_CALLERS | {
    headers.KEY,
    headers.CALLER,
    headers.GROUP,
    headers.DEADLINE_MS,
    headers.IDEMPOTENCY_KEY,
    headers.TRACEPARENT,
    b"host",
    b"content-length",
    b"transfer-encoding",
}
_HEADER_OVERHEAD_BYTES = 4  # Colon, space, CR and LF.
# int() raises an exception for more than 4300 digits.
_MAX_NUMBER_DIGITS = 15
_MAX_PRIORITY = 7
# Limits the burst of retries after a time without any.
_MAX_RETRY_TOKENS = 10.0


def parse_head(
    raw: models.RawHead,
    limits: models.Limits,
    now: float,
    *,
    forbidden_headers: frozenset[bytes],
) -> result.Result[models.Head, refusals.Refusal]:
    """Returns the validated head of a request, or a refusal.

    Args:
        raw: Head as read by the HTTP parser.
        limits: Limits on what a caller may send.
        now: Monotonic time, in seconds.
        forbidden_headers: Names of headers that the sender must not send.
    """
    headers_by_name = dict(raw.headers)
    refusal = _validate_head(raw, headers_by_name, limits, forbidden_headers)
    if refusal is not None:
        return result.Err(refusal)
    content_length: int | None = None
    length_field = headers_by_name.get(b"content-length")
    if length_field is not None:
        if not _is_number(length_field):
            return result.Err(refusals.BadRequest("bad Content-Length"))
        content_length = int(length_field)
        if content_length > limits.max_body_bytes:
            return result.Err(refusals.BodyTooLarge(limits.max_body_bytes))
    chunked = b"transfer-encoding" in headers_by_name
    match _parse_deadline(headers_by_name, limits, now):
        case result.Err(refusal_of_deadline):
            return result.Err(refusal_of_deadline)
        case result.Ok(deadline_s):
            pass
    target = raw.target
    if not target.startswith(b"/"):
        target = _to_origin_form(target)
    path = target.partition(b"?")[0].decode("latin-1")
    if "%" in path:
        path = urllib.parse.unquote(path, errors="surrogateescape")
    return result.Ok(
        models.Head(
            raw.method,
            target,
            path,
            raw.headers,
            headers_by_name,
            deadline_s,
            content_length,
            chunked or bool(content_length),
        )
    )


def _validate_head(
    raw: models.RawHead,
    headers_by_name: Mapping[bytes, bytes],
    limits: models.Limits,
    forbidden_headers: frozenset[bytes],
) -> refusals.Refusal | None:
    size = len(raw.target)
    for name, value in raw.headers:
        size += len(name) + len(value) + _HEADER_OVERHEAD_BYTES
    if size > limits.max_header_bytes:
        return refusals.HeadersTooLarge(limits.max_header_bytes)
    if not raw.is_http_1_1:
        return refusals.BadRequest("the HTTP version is not 1.1")
    if raw.wants_upgrade:
        return refusals.BadRequest("upgrades are not supported")
    if not forbidden_headers.isdisjoint(headers_by_name):
        name = min(forbidden_headers.intersection(headers_by_name))
        return refusals.InternalHeader(name.decode("latin-1"))
    if len(headers_by_name) != len(raw.headers):
        names: set[bytes] = set()
        for name, _ in raw.headers:
            if name in names and name in _SINGLETON_HEADERS:
                return refusals.BadRequest(
                    f"more than one {name.decode('latin-1')}"
                )
            names.add(name)
    transfer_coding = headers_by_name.get(b"transfer-encoding")
    if transfer_coding is not None:
        if transfer_coding.strip().lower() != b"chunked":
            return refusals.BadRequest("the Transfer-Encoding is not chunked")
        if b"content-length" in headers_by_name:
            return refusals.BadRequest("Content-Length with Transfer-Encoding")
    return None


def _is_number(field: bytes) -> bool:
    return field.isdigit() and len(field) <= _MAX_NUMBER_DIGITS


def _to_origin_form(target: bytes) -> bytes:
    """Returns path and query of a target in absolute form (RFC 9112)."""
    _, separator, rest = target.partition(b"://")
    if not separator:
        return target
    return b"/" + rest.partition(b"/")[2]


def _parse_deadline(
    headers_by_name: Mapping[bytes, bytes], limits: models.Limits, now: float
) -> result.Result[float, refusals.Refusal]:
    deadline_field = headers_by_name.get(headers.DEADLINE_MS)
    if deadline_field is None:
        return result.Ok(now + limits.default_deadline_s)
    if not _is_number(deadline_field):
        return result.Err(refusals.BadDeadline())
    return result.Ok(
        now + min(limits.max_deadline_s, int(deadline_field) / 1000.0)
    )


def parse_peer_headers(
    head: models.Head, groups: Mapping[str, schemas.ServerGroup]
) -> result.Result[models.PeerHeaders, refusals.Refusal]:
    """Returns the internal headers of another router, or a refusal.

    Args:
        head: Head of the request.
        groups: Server groups by name.
    """
    name = head.headers_by_name.get(headers.GROUP, b"").decode("latin-1")
    if not name or not head.headers_by_name.get(headers.HOP):
        return result.Err(refusals.BadRequest("an internal header is missing"))
    group = groups.get(name)
    if group is None:
        return result.Err(refusals.NotHome(name))
    priority = head.headers_by_name.get(headers.PRIORITY, b"")
    if not _is_number(priority) or int(priority) > _MAX_PRIORITY:
        return result.Err(refusals.BadRequest("bad internal priority"))
    server = head.headers_by_name.get(headers.SERVER)
    slice_field = head.headers_by_name.get(headers.SLICE)
    slice_index: int | None = None
    match group.routing:
        case schemas.Keyed(slices=slices):
            # A request without a slice would skip the check that this home
            # may serve the slice.
            if (
                not server
                or slice_field is None
                or not _is_number(slice_field)
                or int(slice_field) >= slices
            ):
                return result.Err(
                    refusals.BadRequest("bad internal slice or server")
                )
            slice_index = int(slice_field)
        case schemas.Unkeyed():
            if slice_field is not None:
                return result.Err(
                    refusals.BadRequest("a slice in an unkeyed group")
                )
    return result.Ok(
        models.PeerHeaders(
            group,
            server.decode("latin-1") if server else None,
            slice_index,
            int(priority),
        )
    )


def is_idempotent(head: models.Head, group: schemas.ServerGroup) -> bool:
    """Returns whether it is safe to run the request more than once."""
    return group.idempotent or head.method in _IDEMPOTENT_METHODS


def choose_target(
    head: models.Head,
    routing_table: table_models.Table,
    local_vm: str,
    limits: models.Limits,
    ticket_id: int,
    now: float,
) -> result.Result[models.Target, refusals.Refusal]:
    """Returns the home of a caller's request, or a refusal.

    Args:
        head: Head of the request.
        routing_table: The current routing table.
        local_vm: Name of this VM.
        limits: Limits on what a caller may send.
        ticket_id: Id of the ticket, if this VM is the home.
        now: Monotonic time, in seconds.
    """
    route = table.find_route(routing_table, head.path)
    if route is None:
        return result.Err(refusals.NoSelector(head.path))
    group = route.group
    server: str | None = None
    slice_index: int | None = None
    idempotent = is_idempotent(head, group)
    match group.routing:
        case schemas.Keyed():
            match table.extract_key(
                route, head.path, head.headers_by_name, limits.max_key_bytes
            ):
                case result.Err(refusal_of_key):
                    return result.Err(refusal_of_key)
                case result.Ok(key):
                    pass
            match table.find_owner(route, key):
                case result.Err(refusal):
                    return result.Err(refusal)
                case result.Ok(owner):
                    server, slice_index = owner.server, owner.slice
                    vm = owner.home
        case schemas.Unkeyed():
            vm = _choose_home(
                head,
                route,
                routing_table.request_id_homes.get(group.name, ()),
                idempotent=idempotent,
            )
            if not vm:
                return result.Err(refusals.NoServer(group.name))
    if vm != local_vm:
        return result.Ok(
            models.RemoteTarget(
                vm,
                group.name,
                server,
                slice_index,
                route.selector.priority,
                idempotent,
            )
        )
    ticket = make_ticket(
        head,
        ticket_id,
        server,
        slice_index,
        route.selector.priority,
        idempotent=idempotent,
        now=now,
    )
    return result.Ok(models.LocalTarget(group.name, ticket))


def _choose_home(
    head: models.Head,
    route: table_models.Route,
    request_id_home_vms: tuple[str, ...],
    *,
    idempotent: bool,
) -> str:
    """Returns a home of an unkeyed group, or an empty string without homes.

    Idempotent requests go to a random home, weighted by the number of its
    usable servers. All other requests go to the home of their id, whose
    idempotency table detects repeats.
    """
    if not idempotent:
        request_id = head.headers_by_name.get(headers.IDEMPOTENCY_KEY, b"")
        return request_id_homes.home_of(
            request_id.decode("latin-1"), request_id_home_vms
        )
    weights = {vm: len(names) for vm, names in route.usable_servers.items()}
    if not weights:
        return ""
    return random.choices(tuple(weights), tuple(weights.values()))[0]


def make_ticket(
    head: models.Head,
    ticket_id: int,
    server: str | None,
    slice_index: int | None,
    priority: int,
    *,
    idempotent: bool,
    now: float,
) -> admission.Ticket:
    """Returns the ticket with which the request asks for admission.

    Args:
        head: Head of the request.
        ticket_id: Number of the ticket, unique in this process.
        server: Backend server that must run it, or None for any.
        slice_index: Slice of its key, or None in an unkeyed group.
        priority: Priority; 0 is the most urgent.
        idempotent: Whether it may run more than once.
        now: Monotonic time, in seconds.
    """
    return admission.Ticket(
        ticket_id,
        server,
        slice_index,
        head.headers_by_name.get(headers.CALLER, b"").decode("latin-1"),
        priority,
        head.deadline_s,
        idempotent,
        head.headers_by_name.get(headers.IDEMPOTENCY_KEY, b"").decode(
            "latin-1"
        ),
        fingerprint_of(head),
        now,
    )


def fingerprint_of(head: models.Head) -> int:
    """Returns a hash of method, target, key and request id.

    Repeats of a request have the same fingerprint, so a request that crashes
    backend servers is recognised when it is sent again.
    """
    digest = xxhash.xxh3_64()
    digest.update(head.method.encode())
    digest.update(head.target)
    digest.update(head.headers_by_name.get(headers.KEY, b""))
    digest.update(head.headers_by_name.get(headers.IDEMPOTENCY_KEY, b""))
    return digest.intdigest()


def select_request_headers(
    request_headers: Sequence[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a request that are forwarded."""
    connection_options = _connection_options(request_headers)
    return [
        (n, v)
        for n, v in request_headers
        if n not in _NOT_FORWARDED_HEADERS and n not in connection_options
    ]


def select_response_headers(
    response_headers: Iterable[tuple[bytes, bytes]],
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a response without the hop-by-hop ones."""
    response_headers = tuple(response_headers)
    connection_options = _connection_options(response_headers)
    return [
        (n, v)
        for n, v in response_headers
        if n not in _HOP_BY_HOP_HEADERS and n not in connection_options
    ]


def _connection_options(
    message_headers: Sequence[tuple[bytes, bytes]],
) -> frozenset[bytes]:
    """Returns the names in all `connection` headers; they are hop-by-hop."""
    return frozenset(
        option.strip().lower()
        for name, value in message_headers
        if name == b"connection"
        for option in value.split(b",")
    )


def classify_retry(refusal: refusals.Refusal) -> models.Retry:
    """Returns whether a refused request may be sent again.

    Requests that an overloaded server sheds or that don't fit into a full
    queue are not retried, since retries would add to the overload.
    """
    match refusal:
        case refusals.NotHome() | refusals.NoOwner() | refusals.ConnectFailed():
            return models.RetryAlways()
        case refusals.ExchangeCut():
            return models.RetryIfIdempotent()
        case _:
            return models.NoRetry()


class RetryBudget:
    """Limits retries to a ratio of the requests, as a token bucket."""

    def __init__(self, ratio: float) -> None:
        """Creates a budget with one token.

        Args:
            ratio: Tokens that each request adds.
        """
        self._ratio = ratio
        self._tokens = 1.0

    def add_request(self) -> None:
        """Adds the tokens of one request."""
        self._tokens = min(_MAX_RETRY_TOKENS, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Spends a token on a retry; returns False if there is none."""
        # Sums of the ratio fall short of whole numbers by rounding errors.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True
