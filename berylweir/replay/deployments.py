"""The simulated deployments: sizes, traffic and network delays."""

import dataclasses

from berylweir.objects import schemas

ZONES = ("a", "b", "c")


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSpec:
    """A server group with its size and its traffic.

    Attributes:
        server_group: Server group as the platform stores it.
        server_count: Number of backend servers.
        requests_per_s: Mean request rate.
        mean_work_ms: Mean execution time of a request on a warm server.
        deadline_ms: Deadline of each request.
        is_idempotent: Whether requests may be executed more than once.
    """

    server_group: schemas.ServerGroup
    server_count: int
    requests_per_s: float
    mean_work_ms: float
    deadline_ms: int
    is_idempotent: bool = True

    @property
    def is_keyed(self) -> bool:
        """Whether requests are routed by key."""
        return isinstance(self.server_group.routing, schemas.Keyed)


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Sizes and one-way network delays of a deployment.

    Attributes:
        name: Name of the deployment.
        vm_count: Number of entry VMs.
        groups: Server groups. The first is the keyed group of the lookups,
            the second has the non-idempotent requests.
        client_delay_s: Delay between callers and entry VMs.
        zone_delay_s: Delay between two zones.
        local_delay_s: Delay within a zone.
    """

    name: str
    vm_count: int
    groups: tuple[GroupSpec, ...]
    client_delay_s: float
    zone_delay_s: float = 0.0005
    local_delay_s: float = 0.0001

    @property
    def lookup_group(self) -> GroupSpec:
        """Keyed group, whose latency and coverage the metrics measure."""
        return self.groups[0]

    @property
    def order_group(self) -> GroupSpec:
        """Group of the non-idempotent requests."""
        return self.groups[1]

    def group(self, name: str) -> GroupSpec:
        """Returns the group with the name.

        Raises:
            StopIteration: If there is no such group.
        """
        return next(g for g in self.groups if g.server_group.name == name)

    def vm_names(self) -> tuple[str, ...]:
        """Returns the names of the entry VMs."""
        return tuple(f"vm-{i}" for i in range(self.vm_count))


def zone_of(index: int) -> str:
    """Returns the zone of a VM or of a group's server by its index."""
    return ZONES[index % len(ZONES)]


def _keyed(name: str, slots: int, connections: int) -> schemas.ServerGroup:
    return schemas.ServerGroup(
        name, schemas.Keyed(), slots=slots, connections=connections
    )


def _unkeyed(name: str, slots: int, connections: int) -> schemas.ServerGroup:
    return schemas.ServerGroup(
        name, schemas.Unkeyed(), slots=slots, connections=connections
    )


# Sizes and delays are those of docs/design.md. Execution times are chosen so
# that a few thousand requests use a fifth to a third of all slots on average.
# The servers of the most frequent keys then use almost all their slots.
DEPLOYMENTS = {
    "maipo": Deployment(
        "maipo",
        10,
        (
            GroupSpec(_keyed("availability", 3, 120), 18, 130, 100, 1000),
            GroupSpec(_unkeyed("booking", 3, 120), 8, 20, 250, 3000, False),
            GroupSpec(_unkeyed("certificates", 3, 120), 6, 2, 1500, 10_000),
            GroupSpec(_unkeyed("drawing", 3, 120), 6, 4, 800, 5000),
        ),
        client_delay_s=0.008,
    ),
    "prairie": Deployment(
        "prairie",
        9,
        (
            GroupSpec(_keyed("stock", 6, 110), 14, 150, 100, 1000),
            GroupSpec(_unkeyed("orders", 6, 110), 9, 25, 200, 3000, False),
            GroupSpec(_unkeyed("patterns", 6, 110), 6, 3, 1500, 10_000),
            GroupSpec(_unkeyed("sizing", 6, 110), 6, 4, 500, 5000),
        ),
        client_delay_s=0.001,
    ),
}
