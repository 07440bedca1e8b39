"""Decodes and encodes the objects in the platform's store.

The private structs have the field names of the store's JSON; the returned
models have the gateway's own names.
"""

from collections.abc import Iterable
import ipaddress
import re
from typing import Annotated

import msgspec
import result

from berylweir.crash_suspects import fingerprint
from berylweir.crash_suspects import quarantine
from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.platform import exceptions
from berylweir.platform import nesting
from berylweir.platform import store

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
SERVERS_KIND = "servers"
EVACUATIONS_KIND = "evacuations"
GATEWAY_KIND = "berylweir"  # VM registrations and the lease
KEY_TABLES_KIND = "berylweir-keys"


# Highest number of a JSON integer that all writers represent exactly.
_MAX_INTEGER = 2**53
_MAX_PORT = 65_535
# A longer id of another build is cut off.
_MAX_BUILD_LENGTH = 40
# Highest number of slots of a server that is taken for possible.
_MAX_SLOTS = 100_000
# Longest warm-up time of a server that is taken for possible, in ms.
MAX_COLD_MS = 3_600_000.0
# Numbers that are passed on in messages and to servers. Higher ones can't be
# encoded.
_Counter = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Key = Annotated[int, msgspec.Meta(ge=0, lt=models.KEY_COUNT)]


class _SplitPart(msgspec.Struct):
    # Relative weight of the traffic that the server group gets.
    backend: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    path_prefix: str
    type: str
    timeout_ms: float
    # Largest number of servers that one request is sent to.
    attempts: int = 1
    # 0 means that the goal is the timeout.
    goal_ms: float = 0.0
    prio: int = 0
    backend: str | None = None
    split: list[_SplitPart] | None = None


class _Host(msgspec.Struct):
    host: str
    paths: list[_Route]


class _Service(msgspec.Struct, rename="camel"):
    name: str
    max_conns: int = 100
    # Requests per second that a server accepts while it warms up.
    warmup_per_s: float = 0.0
    sharded: bool = False


class _CallerLimits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Configuration(msgspec.Struct, rename="camel"):
    cfg_ver: str
    services: list[_Service]
    vhosts: list[_Host]
    limits: _CallerLimits = msgspec.field(default_factory=_CallerLimits)


class _ServerInfo(msgspec.Struct, rename="camel"):
    # The object also has `cfgVer`, the version of the server's software, which
    # the gateway doesn't use.
    backend: str
    zone: str
    max_concurrency: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]


class _ServerStatus(msgspec.Struct, rename="camel"):
    # Either `ready` or `draining`.
    state: str
    warmup_left_ms: Annotated[float, msgspec.Meta(le=MAX_COLD_MS)] = 0.0


class _ServerEntry(msgspec.Struct):
    # `host:port`.
    addr: str
    info: _ServerInfo
    # Unix time of the server's start, in milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)] = 0
    status: _ServerStatus | None = None


# Ids of servers are sent in headers.
_HEADER_VALUE = re.compile(r"[\x21-\x7e\xa1-\xff]+")
_CONFIGURATION_DECODER = msgspec.json.Decoder(_Configuration)
_SERVER_ENTRY_DECODER = msgspec.json.Decoder(_ServerEntry)
_SERVER_STATUS_DECODER = msgspec.json.Decoder(_ServerStatus | None)


def decode_configuration(
    stored: store.StoredObject,
) -> result.Result[models.Configuration, exceptions.Undecodable]:
    """Decodes the configuration object, or returns `Undecodable`."""
    try:
        raw = _CONFIGURATION_DECODER.decode(stored.spec)
        int(raw.cfg_ver, 16)
    except (*nesting.DECODE_ERRORS, ValueError) as error:
        return result.Err(exceptions.Undecodable(stored.name, str(error)))
    return result.Ok(
        models.Configuration(
            version=raw.cfg_ver,
            revision=stored.revision,
            routes=tuple(
                _build_route(host.host, route)
                for host in raw.vhosts
                for route in host.paths
            ),
            groups={s.name: _build_server_group(s) for s in raw.services},
            limits=models.CallerLimits(
                raw.limits.max_header_bytes,
                raw.limits.max_body_bytes,
                raw.limits.header_timeout_ms / 1000.0,
                raw.limits.idle_timeout_ms / 1000.0,
            ),
        )
    )


def _build_route(host: str, route: _Route) -> models.Route:
    # A route has either `split` or `backend`.
    if route.split:
        shares = tuple(models.Share(p.backend, p.weight) for p in route.split)
    else:
        shares = (models.Share(route.backend or "", 1.0),)
    is_download = route.type == "download"
    return models.Route(
        name=route.name,
        host=host.lower(),
        prefix=route.path_prefix,
        idempotency=(
            models.Idempotency.IDEMPOTENT
            if route.type == "safe" or is_download
            else models.Idempotency.NON_IDEMPOTENT
        ),
        is_download=is_download,
        timeout_ms=route.timeout_ms,
        goal_ms=route.goal_ms or route.timeout_ms,
        priority=route.prio,
        max_servers=route.attempts,
        shares=shares,
    )


def _build_server_group(service: _Service) -> models.ServerGroup:
    return models.ServerGroup(
        name=service.name,
        max_connections=service.max_conns,
        cold_per_s=service.warmup_per_s,
        is_keyed=service.sharded,
    )


def decode_server(
    stored: store.StoredObject,
) -> result.Result[models.BackendServer, exceptions.Undecodable]:
    """Decodes a backend server object, or returns `Undecodable`."""
    try:
        raw = _SERVER_ENTRY_DECODER.decode(stored.spec)
        status = raw.status or _SERVER_STATUS_DECODER.decode(stored.status)
        if status is None:
            raise ValueError("server status is missing")
        if status.state not in ("ready", "draining"):
            raise ValueError(
                f"server state {status.state!r} is neither 'ready' nor"
                " 'draining'"
            )
        host, port = _decode_address(raw.addr)
        if not _HEADER_VALUE.fullmatch(stored.name):
            raise ValueError("the server's id can't be sent in a header")
        return result.Ok(
            models.BackendServer(
                name=stored.name,
                born_ms=raw.born,
                group=raw.info.backend,
                host=host,
                port=port,
                availability_zone=raw.info.zone,
                slots=raw.info.max_concurrency,
                is_draining=status.state == "draining",
                cold_ms=status.warmup_left_ms,
                revision=stored.revision,
            )
        )
    except (*nesting.DECODE_ERRORS, ValueError) as error:
        return result.Err(exceptions.Undecodable(stored.name, str(error)))


def _decode_address(address: str) -> tuple[str, int]:
    """Returns host and port of `host:port`.

    Raises:
        ValueError: The host is no IPv4 address, or the port is out of range.
    """
    host, _, text = address.rpartition(":")
    port = int(text) if text.isascii() and text.isdigit() else 0
    if not 0 < port <= _MAX_PORT:
        raise ValueError(f"port {text[:20]!r} is not between 1 and {_MAX_PORT}")
    return str(ipaddress.IPv4Address(host)), port


class _VmSpec(msgspec.Struct):
    incarnation: str
    host: str
    port: int
    availability_zone: str
    link_mbps: float = 0.0
    cores: float = 0.0
    # 0 if the gateway takes no forwarded requests.
    forward_port: Annotated[int, msgspec.Meta(ge=0, le=_MAX_PORT)] = 0
    capabilities: list[str] = []
    build: str = ""


class _QuarantineSpec(msgspec.Struct):
    # Unix time; 0 if an operator lifted the refusal.
    until_ms: Annotated[int, msgspec.Meta(ge=0, le=_MAX_INTEGER)]
    duration_ms: Annotated[int, msgspec.Meta(gt=0, le=_MAX_INTEGER)]
    servers: list[str] = []
    reporters: list[str] = []
    request_ids: list[str] = []


class _LeaseSpec(msgspec.Struct):
    holder: str
    incarnation: str
    epoch: _Counter


class _RangeSpec(msgspec.Struct, array_like=True):
    first: _Key
    last: _Key
    server: str | None
    born_ms: _Counter
    token: _Counter
    former_server: str | None = None
    former_born_ms: _Counter = 0


class _TableSpec(msgspec.Struct):
    group: str
    epoch: _Counter
    next_token: _Counter
    ranges: list[_RangeSpec]


VM_NAME_PREFIX = "vm."
LEASE_NAME = "lease"
QUARANTINE_NAME_PREFIX = "quarantine."

GatewayObject = models.Vm | models.Lease | quarantine.Entry


def decode_gateway_object(
    stored: store.StoredObject,
) -> result.Result[GatewayObject, exceptions.Undecodable]:
    """Decodes the lease, a refused request or a VM registration.

    Returns:
        What the name of the object says, a VM if it says nothing else;
        `Undecodable` if the object can't be decoded.
    """
    try:
        if stored.name == LEASE_NAME:
            lease = msgspec.json.decode(stored.spec, type=_LeaseSpec)
            return result.Ok(
                models.Lease(
                    lease.holder,
                    lease.incarnation,
                    lease.epoch,
                    stored.revision,
                )
            )
        if stored.name.startswith(QUARANTINE_NAME_PREFIX):
            return _decode_quarantine_entry(stored)
        vm = msgspec.json.decode(stored.spec, type=_VmSpec)
    except nesting.DECODE_ERRORS as error:
        return result.Err(exceptions.Undecodable(stored.name, str(error)))
    return result.Ok(
        models.Vm(
            stored.name.removeprefix(VM_NAME_PREFIX),
            vm.incarnation,
            vm.host,
            vm.port,
            vm.availability_zone,
            stored.revision,
            models.VmSize(vm.link_mbps, vm.cores),
            vm.forward_port,
            frozenset(vm.capabilities),
            vm.build[:_MAX_BUILD_LENGTH],
        )
    )


def _decode_quarantine_entry(
    stored: store.StoredObject,
) -> result.Result[GatewayObject, exceptions.Undecodable]:
    spec = msgspec.json.decode(stored.spec, type=_QuarantineSpec)
    number = fingerprint.from_text(
        stored.name.removeprefix(QUARANTINE_NAME_PREFIX)
    )
    if number is None:
        return result.Err(
            exceptions.Undecodable(stored.name, "the name has no fingerprint")
        )
    return result.Ok(
        quarantine.Entry(
            number,
            spec.until_ms,
            spec.duration_ms,
            tuple(spec.servers),
            tuple(spec.reporters),
            tuple(spec.request_ids),
        )
    )


def quarantine_name(entry: quarantine.Entry) -> str:
    """Returns the name of the object of a refused request."""
    return QUARANTINE_NAME_PREFIX + fingerprint.to_text(entry.fingerprint)


def encode_quarantine_entry(entry: quarantine.Entry) -> bytes:
    """Returns the JSON of a refused request, without its fingerprint."""
    return msgspec.json.encode(
        _QuarantineSpec(
            entry.until_ms,
            entry.duration_ms,
            list(entry.servers),
            list(entry.reporters),
            list(entry.request_ids),
        )
    )


def decode_table(
    stored: store.StoredObject,
) -> result.Result[models.KeyTable, exceptions.Undecodable]:
    """Decodes a key table, or returns `Undecodable`."""
    try:
        table = msgspec.json.decode(stored.spec, type=_TableSpec)
    except nesting.DECODE_ERRORS as error:
        return result.Err(exceptions.Undecodable(stored.name, str(error)))
    return result.Ok(
        models.KeyTable(
            table.group,
            stored.revision,
            table.epoch,
            table.next_token,
            tuple(_decode_range(r) for r in table.ranges),
        )
    )


def order_by_writing(
    stored: store.StoredObject, table: models.KeyTable
) -> store.StoredObject:
    """Returns a key table's object with the revision at which it was written.

    A restored store has objects of an earlier generation, which may be older
    than the known ones. The epoch of the table tells its generation.

    Args:
        stored: The object as the store has it.
        table: The decoded object.
    """
    generation = revisions.epoch_generation(table.epoch)
    number = revisions.number(stored.revision)
    return store.build_stored_object(
        stored.name,
        revisions.compose(generation, number),
        stored.spec,
        stored.status,
    )


def order_tables(
    stored_objects: Iterable[store.StoredObject],
) -> list[store.StoredObject]:
    """Returns key tables with the revisions at which they were written.

    Undecodable ones are returned as they are.
    """
    return [
        order_by_writing(stored, decoded.ok_value)
        if isinstance(decoded := decode_table(stored), result.Ok)
        else stored
        for stored in stored_objects
    ]


def _decode_range(raw: _RangeSpec) -> models.KeyRange:
    return models.KeyRange(
        raw.first,
        raw.last,
        models.ServerInstance(raw.server, raw.born_ms) if raw.server else None,
        raw.token,
        models.ServerInstance(raw.former_server, raw.former_born_ms)
        if raw.former_server
        else None,
    )


def encode_vm(vm: models.Vm) -> bytes:
    """Returns the JSON of a VM registration, without name and revision."""
    return msgspec.json.encode(
        _VmSpec(
            vm.incarnation,
            vm.host,
            vm.port,
            vm.availability_zone,
            vm.size.link_mbps,
            vm.size.cores,
            vm.forward_port,
            sorted(vm.capabilities),
            vm.build,
        )
    )


def encode_lease(lease: models.Lease) -> bytes:
    """Returns the JSON of the lease, without its revision."""
    return msgspec.json.encode(
        _LeaseSpec(lease.holder, lease.incarnation, lease.epoch)
    )


def encode_table(table: models.KeyTable) -> bytes:
    """Returns the JSON of a key table, without its revision."""
    return msgspec.json.encode(
        _TableSpec(
            table.group,
            table.epoch,
            table.next_token,
            [
                _RangeSpec(
                    r.first,
                    r.last,
                    r.owner.server if r.owner else None,
                    r.owner.born_ms if r.owner else 0,
                    r.token,
                    r.previous_owner.server if r.previous_owner else None,
                    r.previous_owner.born_ms if r.previous_owner else 0,
                )
                for r in table.ranges
            ],
        )
    )
