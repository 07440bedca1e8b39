"""The routing table and its answers."""

import dataclasses

from berylweir import records
from berylweir.objects import schemas


@records.record
class Destination:
    """The owner of the key is known.

    Attributes:
        group: Server group.
        server: Name of the backend server.
        home: Name of its home VM.
        slice: Slice of the key, or None in an unkeyed group.
        priority: Priority from the selector, 0 is first.
    """

    group: schemas.ServerGroup
    server: str
    home: str
    slice: int | None
    priority: int


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What the router knows of one selector's traffic.

    Attributes:
        selector: The selector.
        group: Its server group.
        owners: Owner of each slice, or None while it has none; empty in an
            unkeyed group.
        homes: Home VM by backend server.
        servers: Backend servers that may get new unkeyed work, by home VM.
    """

    selector: schemas.Selector
    group: schemas.ServerGroup
    owners: tuple[str | None, ...]
    homes: dict[str, str]
    servers: dict[str, tuple[str, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class Table:
    """All routes, and the addresses of the other routers.

    Attributes:
        sequence: Sequence number of the update it was made from.
        routes: Routes by path prefix, longest prefix first.
        routers: Address and port of each VM's router, by VM name.
        servers: Backend servers by name.
        groups: Server groups by name.
        request_id_homes: VMs that are home of a server that may get new work,
            by unkeyed group.
    """

    sequence: int = 0
    routes: tuple[Route, ...] = ()
    routers: dict[str, tuple[str, int]] = dataclasses.field(
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
