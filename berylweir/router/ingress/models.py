"""Data classes of requests, their targets and their retries."""

import dataclasses

from berylweir import records
from berylweir.objects import schemas
from berylweir.router.admission import models as admission


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on what a caller may send.

    Attributes:
        max_header_bytes: Largest size of the request target and all headers.
        max_body_bytes: Largest size of a body.
        max_key_bytes: Largest size of a key.
        body_timeout_s: Longest time for the head of a request, and longest
            pause between two parts of its body, in seconds.
        default_deadline_s: Deadline of a request that states none, in seconds
            after its arrival.
        max_deadline_s: Longest deadline, in seconds after the arrival.
    """

    max_header_bytes: int = 32_768
    max_body_bytes: int = 104_857_600
    max_key_bytes: int = 1024
    body_timeout_s: float = 10.0
    default_deadline_s: float = 5.0
    max_deadline_s: float = 600.0


@records.record
class RawHead:
    """Head of a request as parsed, before validation.

    Attributes:
        method: HTTP method.
        target: Request target as sent.
        headers: All headers, with their names in lower case.
        is_http_1_1: Whether the HTTP version is 1.1.
        keep_alive: Whether another request may follow on the connection.
        wants_upgrade: Whether it asks for an upgrade to another protocol.
    """

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    is_http_1_1: bool = True
    keep_alive: bool = True
    wants_upgrade: bool = False

    @property
    def expects_continue(self) -> bool:
        """Whether the caller sends the body only after `100 Continue`."""
        return any(
            n == b"expect" and v.lower() == b"100-continue"
            for n, v in self.headers
        )


# Stands for the head of a request that could not be parsed.
PLACEHOLDER_HEAD = RawHead("GET", b"/", [], keep_alive=False)


@records.record
class Head:
    """Validated head of a request.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        path: Path, percent-decoded.
        headers: All headers, with their names in lower case.
        headers_by_name: The same headers as a mapping. If a name occurs more
            than once, it has the last value.
        deadline_s: When the caller stops waiting for the response, in seconds
            on the monotonic clock.
        content_length: Value of the `content-length` header in bytes, or None
            without one.
        has_body: Whether a body follows.
    """

    method: str
    target: bytes
    path: str
    headers: list[tuple[bytes, bytes]]
    headers_by_name: dict[bytes, bytes]
    deadline_s: float
    content_length: int | None
    has_body: bool


@records.record
class PeerHeaders:
    """Internal headers that another router adds to a request.

    Attributes:
        group: The server group.
        server: Name of the backend server, or None for any of the group.
        slice: Slice of the key, or None in an unkeyed group.
        priority: Priority; 0 is the most urgent.
    """

    group: schemas.ServerGroup
    server: str | None
    slice: int | None
    priority: int


@records.record
class LocalTarget:
    """The home of the request is this VM.

    Attributes:
        group: Name of the server group.
        ticket: Ticket with which the request asks for admission.
    """

    group: str
    ticket: admission.Ticket


@records.record
class RemoteTarget:
    """The home of the request is another VM.

    Attributes:
        vm: Name of that VM.
        group: Name of the server group.
        server: Name of the backend server, or None for any of the group.
        slice: Slice of the key, or None in an unkeyed group.
        priority: Priority of the request; 0 is the most urgent.
        idempotent: Whether it may run more than once.
    """

    vm: str
    group: str
    server: str | None
    slice: int | None
    priority: int
    idempotent: bool


Target = LocalTarget | RemoteTarget


@dataclasses.dataclass(frozen=True, slots=True)
class NoRetry:
    """No retry is allowed."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAlways:
    """The request has not run, so any request may be retried."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryIfIdempotent:
    """The request may have run, so an idempotent one may be retried once."""


Retry = NoRetry | RetryAlways | RetryIfIdempotent
