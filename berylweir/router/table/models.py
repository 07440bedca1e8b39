"""Data classes of the routing table."""

import dataclasses

from berylweir import records
from berylweir.objects import schemas


@records.record
class Destination:
    """Backend server that owns a key, and the VM that admits its requests.

    Attributes:
        group: Server group.
        server: Name of the backend server.
        home: Name of its home VM.
        slice: Slice of the key, or None in an unkeyed group.
        priority: Priority from the selector; 0 is the most urgent.
    """

    group: schemas.ServerGroup
    server: str
    home: str
    slice: int | None
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Routing data for the requests that one selector matches.

    Attributes:
        selector: The selector.
        group: Its server group.
        owners: Name of the backend server that owns each slice, or None while
            the slice has no owner; empty in an unkeyed group.
        homes: Home VM of each backend server, by server name.
        usable_servers: Backend servers that may get new unkeyed work, by home
            VM.
    """

    selector: schemas.Selector
    group: schemas.ServerGroup
    owners: tuple[str | None, ...]
    homes: dict[str, str]
    usable_servers: dict[str, tuple[str, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """All routes, and the addresses of the other routers.

    Attributes:
        sequence: Sequence number of the keeper's update that the table was
            built from.
        routes: Routes, longest path prefix first.
        router_addresses: Address and port of each VM's router, by VM name.
        servers: Backend servers by name.
        groups: Server groups by name.
        request_id_homes: VMs among which the request ids of an unkeyed group
            are distributed, by group name. These are the homes of servers that
            may get new work.
    """

    sequence: int = 0
    routes: tuple[Route, ...] = ()
    router_addresses: dict[str, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )
    servers: dict[str, schemas.BackendServer] = dataclasses.field(
        default_factory=dict
    )
    groups: dict[str, schemas.ServerGroup] = dataclasses.field(
        default_factory=dict
    )
    request_id_homes: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
