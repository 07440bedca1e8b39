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


PeerFailure = UndecodableMessage | PeerUnresponsive
