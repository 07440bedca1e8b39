"""A request as the ingress understands it."""

import dataclasses

from berylweir import records
from berylweir.objects import schemas
from berylweir.router.admission import models as admission


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on what a caller may send.

    Attributes:
        max_header_bytes: Largest size of the headers.
        max_body_bytes: Largest body.
        max_key_bytes: Longest key.
        body_timeout_s: Longest pause between two parts of a body, in seconds.
        default_deadline_s: Deadline of a request that states none, in seconds.
        max_deadline_s: Longest deadline, in seconds.
    """

    max_header_bytes: int = 32_768
    max_body_bytes: int = 104_857_600
    max_key_bytes: int = 1024
    body_timeout_s: float = 10.0
    default_deadline_s: float = 5.0
    max_deadline_s: float = 600.0


@records.record
class RawHead:
    """Head of a request as the HTTP server read it.

    Attributes:
        method: HTTP method.
        target: Request target as sent.
        headers: All headers with names in lower case.
        is_http_1_1: Whether the version is 1.1.
        keep_alive: Whether another request may follow on the connection.
        wants_upgrade: Whether it asks for another protocol.
    """

    method: str
    target: bytes
    headers: list[tuple[bytes, bytes]]
    is_http_1_1: bool = True
    keep_alive: bool = True
    wants_upgrade: bool = False

    @property
    def expects_continue(self) -> bool:
        """Whether the caller waits for permission to send the body."""
        return any(
            n == b"expect" and v.lower() == b"100-continue"
            for n, v in self.headers
        )


PLACEHOLDER_HEAD = RawHead("GET", b"/", [], keep_alive=False)


@records.record
class Head:
    """Head of a request.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        path: Path, decoded.
        headers: All headers with names in lower case.
        headers_by_name: The same as a mapping; the last one of a name counts.
        deadline_s: When the answer is no longer wanted, on the monotonic
            clock.
        content_length: Length of the body, or None if it is chunked.
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
    """What another router says of a request that it forwards.

    Attributes:
        group: The server group.
        server: Backend server, or None for any of the group.
        slice: Slice of the key, or None in an unkeyed group.
        priority: Priority, 0 is first.
    """

    group: schemas.ServerGroup
    server: str | None
    slice: int | None
    priority: int


@records.record
class LocalTarget:
    """The home of the backend server is this VM."""

    group: str
    ticket: admission.Ticket


@records.record
class RemoteTarget:
    """The home of the backend server is another VM.

    Attributes:
        vm: Name of that VM.
        group: Name of the server group.
        server: Backend server, or None for any of the group.
        slice: Slice of the key, or None.
        priority: Priority of the request.
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
    """Another attempt is not allowed."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryAlways:
    """The request was not run; another place may take it."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryIfIdempotent:
    """The request may have run; one more attempt is allowed if harmless."""


Retry = NoRetry | RetryAlways | RetryIfIdempotent
