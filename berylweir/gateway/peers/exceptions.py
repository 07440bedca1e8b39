"""Failures of the communication between gateways, returned as values."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UndecodableMessage:
    """A message can't be decoded.

    Attributes:
        reason: Error of the decoder.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUnresponsive:
    """Another gateway didn't answer in time, or the connection to it failed.

    Attributes:
        vm: Name of its VM.
        reason: Error of the socket, or the timeout.
    """

    vm: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class MessageUnsupported:
    """Another gateway doesn't know a message; its build is an older one.

    Attributes:
        vm: Name of its VM.
        message: Type of the message.
    """

    vm: str
    message: str


PeerFailure = UndecodableMessage | PeerUnresponsive | MessageUnsupported
