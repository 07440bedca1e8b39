"""Messages to the tasks that keep replicas of the store's kinds."""

import dataclasses

from berylweir.gateway import models
from berylweir.platform import store


@dataclasses.dataclass(frozen=True, slots=True)
class WatchStore:
    """Makes the replica watch its kind in the store."""


@dataclasses.dataclass(frozen=True, slots=True)
class FollowPeers:
    """Makes the replica send no calls: other gateways send the changes."""


@dataclasses.dataclass(frozen=True, slots=True)
class AwaitStore:
    """Makes the replica send no calls to a store that doesn't answer.

    Another replica watches its kind and finds out when the store is back.
    """


ReplicaMode = WatchStore | FollowPeers | AwaitStore


@dataclasses.dataclass(frozen=True, slots=True)
class PeerChanges:
    """Brings changes that another gateway read from the store.

    Attributes:
        source: The gateway that sent the changes.
        revision: Revision of the store up to which the changes are complete.
        is_whole: Whether these are all objects of the kind, rather than only
            the changes.
        recovered_ago_s: Time since the end of the last outage of the store,
            in seconds; None if there was none.
        changes: Changes in the order in which they were made.
    """

    source: models.Vm
    revision: int
    is_whole: bool
    recovered_ago_s: float | None
    changes: tuple[store.ObjectChange, ...]


ReplicaMessage = ReplicaMode | PeerChanges
