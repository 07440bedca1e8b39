"""Messages to the tasks that follow the kinds of the store."""

import dataclasses

from berylweir.gateway import models
from berylweir.platform import store


@dataclasses.dataclass(frozen=True, slots=True)
class WatchStore:
    """Has the kind watched in the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class FollowPeers:
    """Leaves the store alone: other gateways tell of changes."""


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitStore:
    """Leaves the store alone until another kind has found it again."""


ReplicaMode = WatchStore | FollowPeers | AwaitStore


@dataclasses.dataclass(frozen=True, slots=True)
class PeerChanges:
    """Another gateway told of changes.

    Attributes:
        source: The gateway.
        revision: Revision of the store up to which the changes are complete.
        is_whole: Whether these are all objects, rather than changes.
        recovered_ago_s: Time since the store came back from an outage, in
            seconds; None if there was none.
        changes: Changes in the order in which they were made.
    """

    source: models.Vm
    revision: int
    is_whole: bool
    recovered_ago_s: float | None
    changes: tuple[store.ObjectChange, ...]


ReplicaMessage = ReplicaMode | PeerChanges
