"""Failures of the communication between processes, returned as values."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class UndecodableMessage:
    """A message has an unknown type or invalid fields.

    Attributes:
        reason: Error text of the decoder.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownPeer:
    """No address is known for a VM."""

    vm: str


PeerFailure = UndecodableMessage | UnknownPeer
