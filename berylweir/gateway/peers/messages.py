"""Messages between gateways, encoded as MessagePack.

Tags and field names are part of the protocol.
"""

import msgspec
import result

from berylweir.gateway import messages as gateway
from berylweir.gateway.ownership import lease_history
from berylweir.gateway.peers import exceptions

# Objects of the store or their changes, as encoded by `replication.codec`.
CompressedChanges = bytes


class ServerUsage(msgspec.Struct, frozen=True, array_like=True):
    """Requests of a VM to one server; see `gateway.messages.ServerUsage`."""

    served: int
    failed: int
    service_ms: float
    limit: float | None = None
    leaving_born_ms: int | None = None


class ReportUsage(msgspec.Struct, frozen=True, tag="use"):
    """Reports a VM's requests to the lease holder and checks that it answers.

    Attributes:
        vm: Name of the VM.
        keys: Keys of the requests by keyed group, one per request.
        servers: Requests to each server, by the server's name.
    """

    vm: str
    keys: dict[str, list[int]]
    servers: dict[str, ServerUsage]


class ResignLease(msgspec.Struct, frozen=True, tag="resign"):
    """Tells a former holder that another gateway holds the lease now.

    Attributes:
        epoch: Epoch of the new holder's lease.
        holder: Name of its VM; empty if the gateway doesn't state it.
        incarnation: Id of the run of its gateway.
    """

    epoch: int
    holder: str = ""
    incarnation: str = ""


class OfferLease(msgspec.Struct, frozen=True, tag="offer"):
    """Offers a lease that its holder has just released.

    Attributes:
        epoch: Epoch of the released lease.
        revision: Revision of the store at which it was released.
    """

    epoch: int
    revision: int


class GetObjects(msgspec.Struct, frozen=True, tag="view"):
    """Asks for the newest objects of a kind that the gateway knows.

    Attributes:
        kind: Kind of the store's objects.
    """

    kind: str


class GetStatus(msgspec.Struct, frozen=True, tag="ask"):
    """Asks for the gateway's status.

    The status tells whether the lease holder answers the gateway.
    """


class GetChanges(msgspec.Struct, frozen=True, tag="changes"):
    """Asks for changes in the store; a long poll, answered after a change.

    Attributes:
        revisions: Revision up to which the asking gateway knows each kind; 0
            if it doesn't.
    """

    revisions: dict[str, int]


class GetChangedRevisions(msgspec.Struct, frozen=True, tag="news"):
    """Asks which kinds changed in the store; a long poll like `GetChanges`.

    Attributes:
        revisions: Revision up to which the asking gateway knows each kind; 0
            if it doesn't.
    """

    revisions: dict[str, int]


class KindChanges(msgspec.Struct, frozen=True, array_like=True):
    """Changes of one kind.

    Attributes:
        kind: Kind of the store's objects.
        revision: Revision of the store up to which the changes are complete.
        is_whole: Whether these are all objects of the kind, rather than only
            the changes.
        returned_s: Time since the end of the last outage of the store, in
            seconds; None if there was none.
        changes: Changes in the order in which they were made.
    """

    kind: str
    revision: int
    is_whole: bool
    returned_s: float | None
    changes: CompressedChanges


class Changes(msgspec.Struct, frozen=True, tag="changed"):
    """Answers `GetChanges`.

    Attributes:
        is_current: Whether the answering gateway watches the store and
            reaches it; if not, `kinds` is empty.
        kinds: Changes of each kind that changed.
    """

    is_current: bool
    kinds: list[KindChanges] = []


class ChangedRevisions(msgspec.Struct, frozen=True, tag="has_news"):
    """Answers `GetChangedRevisions`: names the changed kinds only.

    Attributes:
        is_current: Whether the answering gateway watches the store and
            reaches it; if not, `revisions` is empty.
        revisions: Revision up to which the answering gateway knows each kind
            that changed.
    """

    is_current: bool
    revisions: dict[str, int] = {}


class PublishTable(msgspec.Struct, frozen=True, tag="table"):
    """Publishes a key table that was just written.

    Attributes:
        table: The whole key table.
    """

    table: CompressedChanges


class PublishTableChanges(msgspec.Struct, frozen=True, tag="table_changes"):
    """Publishes the changes of a key table that was just written.

    Attributes:
        base_revision: Revision of the table that the changes apply to.
        changes: The key table with only the ranges that changed.
        base_epoch: Epoch of the table that the changes apply to; None in
            earlier builds.
    """

    base_revision: int
    changes: CompressedChanges
    base_epoch: int | None = None


class AcquirePermit(msgspec.Struct, frozen=True, tag="permit"):
    """Asks for permission to send a request to a server with a limit.

    Attributes:
        server: Id of the server.
        born_ms: Unix time of its start, in ms.
        rate: Requests per second to grant, over all VMs.
        max_wait_s: Longest wait of the request, in seconds.
    """

    server: str
    born_ms: int
    rate: float
    max_wait_s: float


class PermitGranted(msgspec.Struct, frozen=True, tag="permitted"):
    """Answers `AcquirePermit`: the request may be sent.

    Attributes:
        wait_s: Time after which it may be sent, in seconds.
    """

    wait_s: float


class PermitDenied(msgspec.Struct, frozen=True, tag="not_permitted"):
    """Answers `AcquirePermit`: the limit allows no request in time.

    Attributes:
        wait_s: Time until it allows the next one, in seconds.
    """

    wait_s: float


class ServerEnd(msgspec.Struct, frozen=True, array_like=True):
    """A server that ended under a request; see `evidence.ServerEnd`.

    Attributes:
        server: Id of the server.
        born_ms: Unix time of the start of its instance, in ms.
        sent_age_s: Time since the request was sent to it, in seconds.
        ended_age_s: Time since its connection was lost, in seconds.
        reporter: Name of the VM that sent the request.
        request_id: Id of the request.
    """

    server: str
    born_ms: int
    sent_age_s: float
    ended_age_s: float
    reporter: str
    request_id: str


class InterruptedRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request under which servers ended.

    Attributes:
        fingerprint: Fingerprint of the request.
        ends: The servers.
        completed_age_s: Time since a server last completed the request for the
            reporter, in seconds; None if none has lately.
    """

    fingerprint: int
    ends: list[ServerEnd]
    completed_age_s: float | None = None


class ReportCrashes(msgspec.Struct, frozen=True, tag="crashes"):
    """Reports requests that a server had when it ended.

    Attributes:
        requests: The requests.
    """

    requests: list[InterruptedRequest]


class QuarantineEntry(msgspec.Struct, frozen=True, array_like=True):
    """A request that is refused; see `quarantine.Entry`."""

    fingerprint: int
    until_ms: int
    duration_ms: int
    servers: list[str] = []
    reporters: list[str] = []
    request_ids: list[str] = []


class Findings(msgspec.Struct, frozen=True, tag="findings"):
    """Answers `ReportCrashes`.

    Attributes:
        findings: Value of `evidence.Finding` for each request, by fingerprint.
        entries: Those of them that are refused.
    """

    findings: dict[int, str]
    entries: list[QuarantineEntry] = []


class AnnounceSuspect(msgspec.Struct, frozen=True, tag="suspect"):
    """Asks whether a server completed a request since others ended under it.

    Attributes:
        fingerprint: Fingerprint of the request.
        since_age_s: Time since the first of them ended, in seconds.
    """

    fingerprint: int
    since_age_s: float


class Completion(msgspec.Struct, frozen=True, tag="completed"):
    """Says when a server completed a suspected request.

    It answers `AnnounceSuspect`, and is sent when it happens later.

    Attributes:
        fingerprint: Fingerprint of the request.
        age_s: Time since then, in seconds; None if no server has.
    """

    fingerprint: int
    age_s: float | None = None


class QuarantineRequests(msgspec.Struct, frozen=True, tag="quarantine"):
    """Says which requests are refused; also answers `GetQuarantine`.

    Attributes:
        entries: The requests.
    """

    entries: list[QuarantineEntry]


class GetQuarantine(msgspec.Struct, frozen=True, tag="get_quarantine"):
    """Asks for all requests that are refused."""


class FormerLease(msgspec.Struct, frozen=True, array_like=True):
    """Lease of an earlier generation of the store.

    Attributes:
        holder: Name of the holder's VM; empty if the holder resigned.
        incarnation: Id of the run of the holder's gateway.
        epoch: Epoch of the lease.
    """

    holder: str
    incarnation: str
    epoch: int


class FormerLeases(msgspec.Struct, frozen=True):
    """Newest leases that a gateway knows of earlier generations of the store.

    Attributes:
        leases: Consecutive leases, the newest last.
        is_last: Whether the newest was certainly in force shortly before the
            restoration of the store.
    """

    leases: list[FormerLease]
    is_last: bool


class Unsupported(msgspec.Struct, frozen=True, tag="unsupported"):
    """Answers a message that can't be decoded; builds up to 0254d82 don't.

    Attributes:
        reason: Why it can't.
    """

    reason: str


class GatewayStatus(msgspec.Struct, frozen=True, tag="standing"):
    """Status of a gateway; answers all requests that have no other reply.

    Attributes:
        incarnation: Id of the run of the gateway.
        epoch: Newest epoch of the lease that it knows.
        is_holder: Whether it holds the lease.
        heard_s: Time since the holder last answered it, in seconds; None if
            the holder never did.
        confirmed_s: Time since the store last confirmed that it holds the
            lease, in seconds; None if it doesn't hold the lease.
        tables: Revision of each key table that it knows, by object name.
        former: Newest leases that it knows of earlier generations of the
            store; None if it has only started in the present one.
        generation: Highest generation of the store that it knows.
        generation_age_s: Time for which it has known that generation, in
            seconds; None if the store was never restored.
        table_epochs: Epoch of each key table that it knows, by object name;
            empty in earlier builds.
    """

    incarnation: str
    epoch: int
    is_holder: bool
    heard_s: float | None = None
    confirmed_s: float | None = None
    tables: dict[str, int] = {}
    former: FormerLeases | None = None
    generation: int = 0
    generation_age_s: float | None = None
    table_epochs: dict[str, int] = {}


class ObjectsSnapshot(msgspec.Struct, frozen=True, tag="known"):
    """Answers `GetObjects`.

    Attributes:
        kind: Kind of the store's objects.
        revision: Newest revision among the objects; 0 if none is known.
        objects: The objects.
    """

    kind: str
    revision: int
    objects: CompressedChanges


Request = (
    ReportUsage
    | ResignLease
    | OfferLease
    | GetObjects
    | GetStatus
    | GetChanges
    | GetChangedRevisions
    | PublishTable
    | PublishTableChanges
    | AcquirePermit
    | ReportCrashes
    | AnnounceSuspect
    | Completion
    | QuarantineRequests
    | GetQuarantine
)
Reply = (
    GatewayStatus
    | ObjectsSnapshot
    | Changes
    | ChangedRevisions
    | PermitGranted
    | PermitDenied
    | Findings
    | Completion
    | QuarantineRequests
    | Unsupported
)

_ENCODER = msgspec.msgpack.Encoder()
_REQUESTS = msgspec.msgpack.Decoder(Request)
_REPLIES = msgspec.msgpack.Decoder(Reply)


def encode(message: Request | Reply) -> bytes:
    """Returns a message as MessagePack."""
    return _ENCODER.encode(message)


def decode_request(
    data: bytes,
) -> result.Result[Request, exceptions.UndecodableMessage]:
    """Returns the request in a message of another gateway."""
    try:
        return result.Ok(_REQUESTS.decode(data))
    except msgspec.MsgspecError as error:
        return result.Err(exceptions.UndecodableMessage(str(error)))


def decode_reply(
    data: bytes,
) -> result.Result[Reply, exceptions.PeerFailure]:
    """Returns the reply in a message of another gateway."""
    try:
        return result.Ok(_REPLIES.decode(data))
    except msgspec.MsgspecError as error:
        return result.Err(exceptions.UndecodableMessage(str(error)))


def encode_former_leases(
    former: lease_history.FormerLeases | None,
) -> FormerLeases | None:
    """Returns the part of a status that names former leases."""
    if former is None:
        return None
    return FormerLeases(
        [FormerLease(x.holder, x.incarnation, x.epoch) for x in former.leases],
        former.is_last,
    )


def decode_former_leases(
    message: FormerLeases | None,
) -> lease_history.FormerLeases | None:
    """Returns the former leases that a status names; None if none."""
    if message is None or not message.leases:
        return None
    return lease_history.FormerLeases(
        tuple(
            lease_history.FormerLease(x.holder, x.incarnation, x.epoch)
            for x in message.leases
        ),
        message.is_last,
    )


def encode_usage(usage: gateway.KeyUsage) -> ReportUsage:
    """Returns the message that reports a VM's key usage."""
    return ReportUsage(
        usage.vm,
        {group: list(keys) for group, keys in usage.keys.items()},
        {
            name: ServerUsage(
                s.served, s.failed, s.service_ms, s.limit, s.leaving_born_ms
            )
            for name, s in usage.servers.items()
        },
    )


def decode_usage(message: ReportUsage) -> gateway.KeyUsage:
    """Returns the key usage that a message reports."""
    return gateway.KeyUsage(
        message.vm,
        {group: tuple(keys) for group, keys in message.keys.items()},
        {
            name: gateway.ServerUsage(
                s.served, s.failed, s.service_ms, s.limit, s.leaving_born_ms
            )
            for name, s in message.servers.items()
        },
    )
