"""Messages between the tasks of a keeper."""

import asyncio
import dataclasses

import result

from berylweir.backendapi import schemas as backendapi
from berylweir.keeper.authority import models
from berylweir.keeper.status import schemas as status
from berylweir.objects import exceptions
from berylweir.objects import messages as platform
from berylweir.objects import schemas
from berylweir.peers import messages as peers
from berylweir.peers import task as peer_task


@dataclasses.dataclass(frozen=True, slots=True)
class WatchReturned:
    """A watch has returned."""

    objects: platform.ObjectList


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformCallFailed:
    """A call to the platform has failed."""

    failure: exceptions.PlatformFailure


@dataclasses.dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another keeper has arrived."""

    received: peer_task.ReceivedMessage


@dataclasses.dataclass(frozen=True, slots=True)
class UpdateFinished:
    """The writer has an outcome for an update.

    Attributes:
        partition: Name of the partition.
        update: The update.
        outcome: What the platform answered.
        newest: The newest object, read after a conflict.
    """

    partition: str
    update: models.PendingUpdate
    outcome: result.Result[platform.StoredObject, exceptions.PlatformFailure]
    newest: platform.StoredObject | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RouterReported:
    """The router has reported, or its link has closed (None)."""

    report: peers.RouterReport | None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerAnswered:
    """A backend server has answered a grant or a probe.

    Attributes:
        server: Name of the backend server.
        request: The grant that was sent, or None for a probe.
        status: The answer.
        arrived_s: When it arrived, on the monotonic clock, in seconds.
    """

    server: str
    request: backendapi.GrantRequest | None
    status: backendapi.ServerStatus
    arrived_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerUnreachable:
    """A backend server has not answered."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionChanged:
    """A newer version of a partition is known.

    Attributes:
        partition: Name of the partition.
        version: Version of the object.
        value: The object.
        group: Its server group.
        servers: Backend servers that have a home in it.
    """

    partition: str
    version: int
    value: schemas.Partition
    group: schemas.ServerGroup
    servers: tuple[schemas.BackendServer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InForceRequested:
    """The status endpoint asks what is in force.

    Attributes:
        reply: Gets the answer.
    """

    reply: asyncio.Future[status.ObjectsInForce]


AuthorityMessage = (
    WatchReturned
    | PlatformCallFailed
    | PeerMessageReceived
    | UpdateFinished
    | InForceRequested
)
HomesMessage = (
    PeerMessageReceived | RouterReported | ServerAnswered | ServerUnreachable
)


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionUpdate:
    """Asks the writer for a conditional update."""

    partition: str
    update: models.PendingUpdate


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRequest:
    """Asks a backend server.

    Attributes:
        server: Name of the backend server.
        url: Base URL of the backend server.
        request: Grant to send, or None for a probe.
    """

    server: str
    url: str
    request: backendapi.GrantRequest | None
