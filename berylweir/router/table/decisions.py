"""Builds the routing table and looks up the destination of requests."""

from collections.abc import Iterable
from collections.abc import Mapping

import result

from berylweir import keyspace
from berylweir.objects import schemas
from berylweir.peers import messages
from berylweir.refusals import models as refusals
from berylweir.router.table import models


def build(update: messages.TableUpdate) -> models.Table:
    """Returns the routing table for an update received from the keeper."""
    groups = {g.name: g for g in update.groups}
    servers = {s.name: s for s in update.servers}
    zones = {z.name: z for z in update.zones}
    by_group: dict[str, list[schemas.Partition]] = {}
    for _, partition in update.partitions:
        by_group.setdefault(partition.group, []).append(partition)
    routes = [
        _route(s, groups[s.group], by_group.get(s.group, []), servers, zones)
        for s in update.selectors
        if s.group in groups
    ]
    routes.sort(key=lambda r: len(r.selector.path_prefix), reverse=True)
    return models.Table(
        update.sequence,
        tuple(routes),
        {v.name: (v.address, v.router_port) for v in update.vms},
        servers,
        groups,
        _request_id_homes(routes),
    )


def _request_id_homes(
    routes: Iterable[models.Route],
) -> dict[str, tuple[str, ...]]:
    vms_by_group: dict[str, set[str]] = {}
    for route in routes:
        match route.group.routing:
            case schemas.Unkeyed():
                vms_by_group.setdefault(route.group.name, set()).update(
                    route.usable_servers
                )
            case schemas.Keyed():
                pass
    return {name: tuple(sorted(vms)) for name, vms in vms_by_group.items()}


def _route(
    selector: schemas.Selector,
    group: schemas.ServerGroup,
    partitions: list[schemas.Partition],
    servers: Mapping[str, schemas.BackendServer],
    zones: Mapping[str, schemas.AvailabilityZone],
) -> models.Route:
    homes = {s: vm for p in partitions for s, vm in p.homes.items()}
    match group.routing:
        case schemas.Keyed(slices=slices):
            owners = _owners(partitions, slices)
        case schemas.Unkeyed():
            owners = ()
    usable: dict[str, list[str]] = {}
    for name, vm in homes.items():
        server = servers.get(name)
        if server is not None and _takes_work(server, selector, zones):
            usable.setdefault(vm, []).append(name)
    return models.Route(
        selector,
        group,
        owners,
        homes,
        {vm: tuple(names) for vm, names in usable.items()},
    )


def _takes_work(
    server: schemas.BackendServer,
    selector: schemas.Selector,
    zones: Mapping[str, schemas.AvailabilityZone],
) -> bool:
    zone = zones.get(server.availability_zone)
    return (
        server.state == "in_service"
        and (zone is None or zone.in_service)
        and selector.server_labels.items() <= server.labels.items()
    )


def _owners(
    partitions: list[schemas.Partition], slices: int
) -> tuple[str | None, ...]:
    owners: list[str | None] = [None] * slices
    for partition in partitions:
        for offset, state in enumerate(partition.slices):
            match state:
                case schemas.Owned(server=server):
                    owners[partition.first_slice + offset] = server
                case schemas.Moving() | schemas.Unassigned():
                    pass
    return tuple(owners)


def usable_servers(table: models.Table) -> frozenset[str]:
    """Returns the backend servers that may get new unkeyed work."""
    return frozenset(
        name
        for route in table.routes
        for names in route.usable_servers.values()
        for name in names
    )


def merge_suspect_reports(
    reports: Iterable[messages.Suspects],
) -> messages.Suspects:
    """Returns the union of several reports, oldest first.

    If several reports name the same fingerprint, the last one sets its expiry.
    """
    suspected: dict[int, float] = {}
    quarantined: dict[int, float] = {}
    for report in reports:
        suspected.update(report.suspected)
        quarantined.update(report.quarantined)
    return messages.Suspects(
        tuple(suspected.items()), tuple(quarantined.items())
    )


def find_route(table: models.Table, path: str) -> models.Route | None:
    """Returns the route with the longest prefix of `path`."""
    for route in table.routes:
        if path.startswith(route.selector.path_prefix):
            return route
    return None


def extract_key(
    route: models.Route, path: str, headers: Mapping[bytes, bytes], limit: int
) -> result.Result[bytes, refusals.BadKey]:
    """Returns the key of a request, or a refusal if it is missing or too long.

    Args:
        route: Route of the request.
        path: Path of the request.
        headers: Headers with names in lower case.
        limit: Largest length of a key, in bytes.
    """
    match route.selector.key:
        case schemas.KeyFromHeader(header=header):
            key = headers.get(header.lower().encode("latin-1"), b"")
        case schemas.KeyFromPath(segment=segment):
            segments = path.strip("/").split("/")
            key = (
                segments[segment].encode("utf-8", "surrogateescape")
                if segment < len(segments)
                else b""
            )
    if not key:
        return result.Err(refusals.BadKey("the request has no key"))
    if len(key) > limit:
        return result.Err(
            refusals.BadKey(f"the key is longer than {limit} bytes")
        )
    return result.Ok(key)


def find_owner(
    route: models.Route, key: bytes
) -> result.Result[models.Destination, refusals.Refusal]:
    """Returns the owner of a key in a keyed group and the owner's home VM.

    The request is refused if the key's slice has no owner, or if the owner
    has no home.
    """
    index = keyspace.slice_of(key, len(route.owners))
    owner = route.owners[index]
    if owner is None:
        return result.Err(refusals.NoOwner(route.group.name, index))
    home = route.homes.get(owner)
    if home is None:
        return result.Err(refusals.NotHome(owner))
    return result.Ok(
        models.Destination(
            route.group, owner, home, index, route.selector.priority
        )
    )
