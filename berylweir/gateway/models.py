"""What the gateway knows of its deployment, as frozen data classes."""

from collections.abc import Mapping
import dataclasses
import enum

KEY_COUNT = 65_536  # keys of a keyed server group, numbered from 0


class Idempotency(enum.Enum):
    """Says whether a request may be run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Part of a route's traffic that goes to one server group."""

    group: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go.

    Attributes:
        name: Name of the route.
        host: Host name, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        idempotency: Whether a request may be run more than once.
        is_download: Whether responses are large.
        timeout_ms: Longest time to keep a caller waiting.
        goal_ms: Time within which a response earns its full credit.
        priority: 0 is the most urgent.
        max_servers: Servers that one request may be sent to.
        shares: Server groups with their weights.
    """

    name: str
    host: str
    prefix: str
    idempotency: Idempotency
    is_download: bool
    timeout_ms: float
    goal_ms: float
    priority: int
    max_servers: int
    shares: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServerGroup:
    """Settings of a server group.

    Attributes:
        name: Name of the group.
        max_connections: Connections that a server accepts from all VMs.
        cold_per_s: Requests a second that a cold server tolerates.
        is_keyed: Whether servers own keys.
    """

    name: str
    max_connections: int
    cold_per_s: float
    is_keyed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on what a caller may send."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    Attributes:
        version: Version that the operator gave it.
        revision: Revision of the store at which it was written.
        routes: All routes.
        groups: Server groups by name.
        limits: Limits on callers.
    """

    version: str
    revision: int
    routes: tuple[Route, ...]
    groups: Mapping[str, ServerGroup]
    limits: CallerLimits


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One life of a backend server, as its store entry describes it.

    Attributes:
        name: Id of the server; it may start again under the same one.
        born_ms: Unix time of its start, in ms; tells its lives apart.
        group: Name of its server group.
        host: IP address.
        port: TCP port.
        availability_zone: Its availability zone.
        slots: Requests that it runs at a time.
        is_draining: Whether it has announced that it is leaving.
        cold_ms: Time for which it stayed cold when the entry was written.
        revision: Revision of the store at which the entry changed.
    """

    name: str
    born_ms: int
    group: str
    host: str
    port: int
    availability_zone: str
    slots: int
    is_draining: bool
    cold_ms: float
    revision: int

    @property
    def instance(self) -> "ServerInstance":
        """Identity of this life of the server."""
        return ServerInstance(self.name, self.born_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerInstance:
    """Identity of one life of a backend server."""

    server: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRange:
    """Consecutive keys with one owner.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        owner: Instance that owns the keys, or None.
        token: Fencing token under which it owns them.
        previous_owner: Instance that the keys are moving away from, if any.
            Until it has released them the owner doesn't serve them.
    """

    first: int
    last: int
    owner: ServerInstance | None
    token: int
    previous_owner: ServerInstance | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTable:
    """Owners of all keys of a server group.

    Attributes:
        group: Name of the server group.
        revision: Revision of the store at which it was written.
        epoch: Epoch of the lease under which it was written. A keeper of an
            older epoch must not change it.
        next_token: Lowest token that was never used.
        ranges: Ranges in order; together they cover all keys.
    """

    group: str
    revision: int
    epoch: int
    next_token: int
    ranges: tuple[KeyRange, ...]


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class VmSize:
    """What a VM can bear; compares by the link first.

    What a gateway does for the others is limited by the link: it sends each
    change to all of them.

    Attributes:
        link_mbps: Bandwidth of its link, in Mbit/s; 0 if not known.
        cores: Processor cores, in parts of a usual one; 0 if not known.
    """

    link_mbps: float = 0.0
    cores: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """An entry VM and the address of its gateway for other gateways.

    Attributes:
        name: Name of the VM.
        incarnation: One run of the gateway.
        host: IP address.
        port: TCP port for other gateways.
        availability_zone: Its availability zone.
        registered_revision: Revision of the store at which it registered; 0 if
            it hasn't.
        size: What it can bear.
    """

    name: str
    incarnation: str
    host: str
    port: int
    availability_zone: str
    registered_revision: int = 0
    size: VmSize = VmSize()


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Which gateway may move keys.

    Attributes:
        holder: Name of its VM; empty if the last holder resigned.
        incarnation: Run of the gateway that holds the lease.
        epoch: Rises by one with each new holder.
        revision: Revision of the store at which it was written.
    """

    holder: str
    incarnation: str
    epoch: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load that a backend server reports with a response.

    Attributes:
        running: Requests running.
        waiting: Requests waiting.
        slots: Requests that it runs at a time.
        slowness: Duration of work on its machine now, relative to usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Figures of the deployment that the gateway has to keep.

    Attributes:
        retry_ratio: Repeats allowed per request, over all VMs.
        retry_slack: Repeats allowed in a window beyond the ratio.
        retry_window_s: Length of that window, in seconds.
        cold_factor: Factor on the rate that a cold server tolerates.
        cold_slack: Requests in a second beyond that rate.
        grace_s: Time between SIGTERM and SIGKILL, in seconds.
        max_hold_ms: Longest grant.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    retry_window_s: float = 10.0
    cold_factor: float = 1.5
    cold_slack: float = 5.0
    grace_s: float = 6.0
    max_hold_ms: float = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """What the platform tells a process at its start.

    Attributes:
        vm: Name of the VM.
        host: IP address of the VM.
        availability_zone: Zone of the VM.
        caller_address: Host and port for callers.
        ready_address: Host and port for the balancer's checks.
        peer_port: First port for other gateways.
        store_address: Host and port of the store.
        bounds: Figures to keep.
        size: What the VM can bear.
    """

    vm: str
    host: str
    availability_zone: str
    caller_address: tuple[str, int]
    ready_address: tuple[str, int]
    peer_port: int
    store_address: tuple[str, int]
    bounds: Bounds
    size: VmSize = VmSize()
