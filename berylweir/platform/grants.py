"""Grants and releases of keys, as sent to backend servers."""

import dataclasses

import msgspec


class _GrantBody(msgspec.Struct, omit_defaults=True, rename="camel"):
    # Numbers of keys, both inclusive. `from` is a word of Python.
    first: int = msgspec.field(name="from")
    last: int = msgspec.field(name="to")
    fence: int
    hold_ms: int = 0
    handover: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """Lets a server serve keys for some time, or prolongs that.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        token: Fencing token.
        duration_ms: Length of the grant, from its arrival.
        handover: What the last owner gave when it released the keys.
    """

    first: int
    last: int
    token: int
    duration_ms: int
    handover: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Release:
    """Stops new work on keys; answered when the running work has ended."""

    first: int
    last: int
    token: int


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The server did as it was told.

    Attributes:
        handover: What the next owner needs to serve the keys at once.
    """

    handover: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Superseded:
    """The server has seen a higher token on one of the keys."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The server doesn't understand the order."""

    status: int


Command = Grant | Release
Reply = Accepted | Superseded | Rejected


def encode_request(
    command: Command, server: str, host: str, port: int
) -> bytes:
    """Returns an order as an HTTP request.

    Args:
        command: The command.
        server: Id of the only server that may take it.
        host: IP address of the server.
        port: TCP port of the server.
    """
    match command:
        case Grant(first, last, token, duration_ms, handover):
            path = "/berylweir/grant"
            body = _GrantBody(first, last, token, duration_ms, handover)
        case Release(first, last, token):
            path = "/berylweir/release"
            body = _GrantBody(first, last, token)
    encoded_body = msgspec.json.encode(body)
    head = (
        f"POST {path} HTTP/1.1\r\nhost: {host}:{port}\r\n"
        f"expect-instance: {server}\r\n"
        f"content-type: application/json\r\n"
        f"content-length: {len(encoded_body)}\r\n\r\n"
    )
    return head.encode() + encoded_body


def decode_response(
    status: int, headers: tuple[tuple[bytes, bytes], ...]
) -> Reply:
    """Returns what a server answered."""
    if status == 200:
        for name, value in headers:
            if name == b"handover":
                return Accepted(value.decode("latin-1"))
        return Accepted(None)
    if status == 409:
        return Superseded()
    return Rejected(status)
