"""Failures of messages between gateways, as values."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UndecodableMessage:
    """A message doesn't have the expected form."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUnresponsive:
    """Another gateway didn't answer in time.

    Attributes:
        vm: Name of its VM.
        reason: What was seen instead of an answer.
    """

    vm: str
    reason: str


PeerFailure = UndecodableMessage | PeerUnresponsive
