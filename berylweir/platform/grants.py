"""Commands that grant keys to backend servers and revoke them over HTTP."""

import dataclasses

import msgspec


class _CommandBody(msgspec.Struct, omit_defaults=True, rename="camel"):
    # The range is inclusive. `from` is a Python keyword, so the fields are
    # renamed for the wire.
    first: int = msgspec.field(name="from")
    last: int = msgspec.field(name="to")
    fence: int
    hold_ms: int = 0
    handover: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Permits a server to serve a key range, or extends that permission.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        token: Fencing token.
        duration_ms: Validity in milliseconds, counted from its arrival at the
            server.
        handover: Opaque state that the previous owner returned when it
            released the keys; None if there is none.
    """

    first: int
    last: int
    token: int
    duration_ms: int
    handover: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Asks a server to stop serving a key range.

    The server responds once its running requests for the range have ended.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        token: Fencing token.
    """

    first: int
    last: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The server carried out the command.

    Attributes:
        handover: Opaque state that the next owner needs to serve the keys
            immediately; None if the server sent none.
    """

    handover: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """The server has seen a higher fencing token for one of the keys."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The server refused the command.

    Attributes:
        status: HTTP status of the response.
    """

    status: int


Command = Grant | Release
Reply = Accepted | Superseded | Rejected


def encode_request(
    command: Command, server: str, host: str, port: int, request_id: str
) -> bytes:
    """Returns a command encoded as an HTTP/1.1 request.

    Args:
        command: Command to send.
        server: Id of the only server that may carry it out.
        host: IP address of the server.
        port: TCP port of the server.
        request_id: Unique id, which identifies the answer.
    """
    match command:
        case Grant(first, last, token, duration_ms, handover):
            path = "/berylweir/grant"
            body = _CommandBody(first, last, token, duration_ms, handover)
        case Release(first, last, token):
            path = "/berylweir/release"
            body = _CommandBody(first, last, token)
    encoded_body = msgspec.json.encode(body)
    head = (
        f"POST {path} HTTP/1.1\r\nhost: {host}:{port}\r\n"
        f"expect-instance: {server}\r\n"
        f"request-id: {request_id}\r\n"
        f"content-type: application/json\r\n"
        f"content-length: {len(encoded_body)}\r\n\r\n"
    )
    return head.encode() + encoded_body


def decode_response(
    status: int, headers: tuple[tuple[bytes, bytes], ...]
) -> Reply:
    """Decodes a server's response to a command.

    Args:
        status: HTTP status.
        headers: Headers with names in lower case.
    """
    if status == 200:
        for name, value in headers:
            if name == b"handover":
                return Accepted(value.decode("latin-1"))
        return Accepted(None)
    if status == 409:
        return Superseded()
    return Rejected(status)
