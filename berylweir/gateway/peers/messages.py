"""Messages between gateways, encoded as MessagePack."""

import msgspec
import result

from berylweir.gateway import messages as gateway
from berylweir.gateway.peers import exceptions

# Objects of the store or their changes, as `followers.sharing` packs them.
CompressedChanges = bytes


class ServerUsage(msgspec.Struct, frozen=True, array_like=True):
    """What a VM saw of a server; see `gateway.messages.ServerUsage`."""

    served: int
    failed: int
    service_ms: float


class ReportUsage(msgspec.Struct, frozen=True, tag="use"):
    """Tells the holder of the lease what a VM saw, and asks whether it lives.

    Attributes:
        vm: Name of the VM.
        keys: For each keyed group, the key of each request.
        servers: What was seen of each server, by name.
    """

    vm: str
    keys: dict[str, list[int]]
    servers: dict[str, ServerUsage]


class ResignLease(msgspec.Struct, frozen=True, tag="resign"):
    """Tells a former holder that the lease has passed on.

    Attributes:
        epoch: Epoch of the new holder.
    """

    epoch: int


class GetObjects(msgspec.Struct, frozen=True, tag="view"):
    """Asks for the newest known objects of a kind of the store."""

    kind: str


class GetStatus(msgspec.Struct, frozen=True, tag="ask"):
    """Asks where a gateway stands, and whether it hears the holder."""


class GetChanges(msgspec.Struct, frozen=True, tag="changes"):
    """Asks for what changed in the store; answered when something did.

    Attributes:
        revisions: Revision up to which each kind is known; 0 if it isn't.
    """

    revisions: dict[str, int]


class GetChangedRevisions(msgspec.Struct, frozen=True, tag="news"):
    """Asks whether something changed in the store; answered when it did.

    Attributes:
        revisions: Revision up to which each kind is known; 0 if it isn't.
    """

    revisions: dict[str, int]


class KindChanges(msgspec.Struct, frozen=True, array_like=True):
    """What changed in a kind.

    Attributes:
        kind: Kind of the store.
        revision: Revision of the store up to which the changes are complete.
        is_whole: Whether these are all objects, rather than changes.
        returned_s: Time since the store came back from an outage, in seconds;
            None if there was none.
        changes: Changes in the order in which they were made.
    """

    kind: str
    revision: int
    is_whole: bool
    returned_s: float | None
    changes: CompressedChanges


class Changes(msgspec.Struct, frozen=True, tag="changed"):
    """What changed in the store, as read by another gateway.

    Attributes:
        is_current: Whether the gateway watches the store and reaches it.
        kinds: Kinds with changes.
    """

    is_current: bool
    kinds: list[KindChanges] = []


class ChangedRevisions(msgspec.Struct, frozen=True, tag="has_news"):
    """Says what changed in the store, without the changes.

    Attributes:
        is_current: Whether the gateway watches the store and reaches it.
        revisions: Revision up to which it knows each kind that changed.
    """

    is_current: bool
    revisions: dict[str, int] = {}


class PublishTable(msgspec.Struct, frozen=True, tag="table"):
    """Brings a key table that was just written."""

    table: CompressedChanges


class PublishTableChanges(msgspec.Struct, frozen=True, tag="table_changes"):
    """Brings what changed in a key table that was just written.

    Attributes:
        base_revision: Revision of the table that the changes apply to.
        changes: The table with only the ranges that changed.
    """

    base_revision: int
    changes: CompressedChanges


class GatewayStatus(msgspec.Struct, frozen=True, tag="standing"):
    """Where a gateway stands.

    Attributes:
        incarnation: Its run.
        epoch: Newest epoch of the lease that it knows.
        is_holder: Whether it holds the lease.
        heard_s: Time since the holder last answered it, in seconds; None if
            it never did.
        confirmed_s: Time since it last saw itself in the lease, in seconds;
            None if it doesn't hold it.
        tables: Revision of each key table that it knows, by object name.
    """

    incarnation: str
    epoch: int
    is_holder: bool
    heard_s: float | None = None
    confirmed_s: float | None = None
    tables: dict[str, int] = {}


class ObjectsSnapshot(msgspec.Struct, frozen=True, tag="known"):
    """Objects of a kind as of a revision; revision 0 if not known."""

    kind: str
    revision: int
    objects: CompressedChanges


Request = (
    ReportUsage
    | ResignLease
    | GetObjects
    | GetStatus
    | GetChanges
    | GetChangedRevisions
    | PublishTable
    | PublishTableChanges
)
Reply = GatewayStatus | ObjectsSnapshot | Changes | ChangedRevisions

_ENCODER = msgspec.msgpack.Encoder()
_REQUESTS = msgspec.msgpack.Decoder(Request)
_REPLIES = msgspec.msgpack.Decoder(Reply)


def encode(message: Request | Reply) -> bytes:
    """Returns the encoded message."""
    return _ENCODER.encode(message)


def decode_request(
    data: bytes,
) -> result.Result[Request, exceptions.UndecodableMessage]:
    """Returns a request of another gateway."""
    try:
        return result.Ok(_REQUESTS.decode(data))
    except msgspec.MsgspecError as error:
        return result.Err(exceptions.UndecodableMessage(str(error)))


def decode_reply(
    data: bytes,
) -> result.Result[Reply, exceptions.PeerFailure]:
    """Returns the reply of another gateway."""
    try:
        return result.Ok(_REPLIES.decode(data))
    except msgspec.MsgspecError as error:
        return result.Err(exceptions.UndecodableMessage(str(error)))


def encode_usage(use: gateway.KeyUsage) -> ReportUsage:
    """Returns a report as a message."""
    return ReportUsage(
        use.vm,
        {group: list(keys) for group, keys in use.keys.items()},
        {
            name: ServerUsage(s.served, s.failed, s.service_ms)
            for name, s in use.servers.items()
        },
    )


def decode_usage(message: ReportUsage) -> gateway.KeyUsage:
    """Returns the report that a message holds."""
    return gateway.KeyUsage(
        message.vm,
        {group: tuple(keys) for group, keys in message.keys.items()},
        {
            name: gateway.ServerUsage(s.served, s.failed, s.service_ms)
            for name, s in message.servers.items()
        },
    )
