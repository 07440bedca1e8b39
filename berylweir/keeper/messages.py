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
    """A watch of the platform has returned objects."""

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
    """An update of a partition has an outcome.

    Attributes:
        partition: Name of the partition.
        update: The update.
        outcome: The stored object, or why the call failed.
        newest: The newest object, read after a conflict, or None.
    """

    partition: str
    update: models.PendingUpdate
    outcome: result.Result[platform.StoredObject, exceptions.PlatformFailure]
    newest: platform.StoredObject | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RouterReported:
    """The router has sent a report, or its connection has closed.

    Attributes:
        report: The report, or None if the connection has closed.
    """

    report: peers.RouterReport | None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerResponded:
    """A backend server has responded to a grant or a probe.

    Attributes:
        server: Name of the backend server.
        request: The grant that was sent, or None for a probe.
        status: The response.
        sent_s: When the grant or probe was sent, on the monotonic clock, in
            seconds.
        arrived_s: When it arrived, on the monotonic clock, in seconds.
    """

    server: str
    request: backendapi.GrantRequest | None
    status: backendapi.ServerStatus
    sent_s: float
    arrived_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerUnreachable:
    """A backend server has not responded to a grant or a probe."""

    server: str


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionChanged:
    """A partition, or the configuration of its servers, has changed.

    Attributes:
        partition: Name of the partition.
        version: Version of the object.
        value: The object.
        group: Its server group.
        servers: Backend servers that have a home in this partition.
    """

    partition: str
    version: int
    value: schemas.Partition
    group: schemas.ServerGroup
    servers: tuple[schemas.BackendServer, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class InForceRequested:
    """The status endpoint asks for the objects in force.

    Attributes:
        reply: Future that receives the response.
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
    PeerMessageReceived | RouterReported | ServerResponded | ServerUnreachable
)


@dataclasses.dataclass(frozen=True, slots=True)
class PartitionUpdate:
    """Asks for a conditional update of a partition on the platform."""

    partition: str
    update: models.PendingUpdate


@dataclasses.dataclass(frozen=True, slots=True)
class ServerRequest:
    """Asks for a grant or a probe to be sent to a backend server.

    Attributes:
        server: Name of the backend server.
        url: Base URL of the backend server.
        request: Grant to send, or None for a probe.
    """

    server: str
    url: str
    request: backendapi.GrantRequest | None
