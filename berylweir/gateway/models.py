"""Immutable models of the deployment: routes, servers, keys and gateways."""

from collections.abc import Mapping
import dataclasses
import enum

# Number of keys of a keyed server group; they are numbered from 0.
KEY_COUNT = 65_536
# Capability of gateways that take part in finding requests that crash servers.
JUDGES_REQUESTS = "judges-requests"


class Idempotency(enum.Enum):
    """Says whether a request may be run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """Share of a route's traffic that goes to one server group.

    Attributes:
        group: Name of the server group.
        weight: Weight relative to the route's other shares.
    """

    group: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Route of requests with a given host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name, in lower case.
        prefix: Path prefix; begins and ends with a slash.
        idempotency: Whether a request may be run more than once.
        is_download: Whether responses are large.
        timeout_ms: Time within which a caller gets a response, in ms.
        goal_ms: Latency goal, in ms; a slower response counts less in the
            platform's rating.
        priority: Priority of the requests; 0 is the most urgent.
        max_servers: Number of servers that one request may be sent to; another
            attempt at the same server counts as well.
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
        max_connections: Connections that a server accepts, from all VMs
            together.
        cold_per_s: Request rate that a server tolerates from all VMs while
            it warms up, in requests per second.
        is_keyed: Whether each key of the group is owned by one server.
    """

    name: str
    max_connections: int
    cold_per_s: float
    is_keyed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the requests of callers.

    Attributes:
        max_header_bytes: Longest request head, in bytes.
        max_body_bytes: Longest request body, in bytes.
        header_timeout_s: Time to send a whole request head, in seconds.
        idle_timeout_s: Time for which an idle connection is kept, in seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """One version of the operator's configuration.

    Attributes:
        version: Version that the operator gave it, as hexadecimal digits.
        revision: Revision of the store at which it was written.
        routes: All routes.
        groups: Server groups by name.
        limits: Limits on the requests of callers.
    """

    version: str
    revision: int
    routes: tuple[Route, ...]
    groups: Mapping[str, ServerGroup]
    limits: CallerLimits

    @property
    def order(self) -> tuple[int, int]:
        """Key by which newer configurations are higher.

        The version comes first: a store that was restored from a copy has an
        older version at a newer revision.
        """
        return int(self.version, 16), self.revision


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One instance of a backend server, as its store entry describes it.

    Attributes:
        name: Id of the server; kept when the server restarts.
        born_ms: Unix time of its start, in ms; distinguishes its instances.
        group: Name of its server group.
        host: IP address.
        port: TCP port.
        availability_zone: Its availability zone.
        slots: Number of requests that it runs concurrently.
        is_draining: Whether it has announced that it is shutting down.
        cold_ms: Remaining warm-up time when the entry was written, in ms.
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
        """Identity of this instance of the server."""
        return ServerInstance(self.name, self.born_ms)


@dataclasses.dataclass(frozen=True, slots=True)
class ServerInstance:
    """Identity of one instance of a backend server: one run under its id.

    Attributes:
        server: Id of the server.
        born_ms: Unix time of the start of the instance, in ms.
    """

    server: str
    born_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRange:
    """Consecutive keys with one owner.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        owner: Instance that owns the keys, or None.
        token: Fencing token of this ownership; a later owner has a higher
            one.
        previous_owner: Instance that the keys are being moved from, if any.
            The owner doesn't serve them until that instance has released
            them.
    """

    first: int
    last: int
    owner: ServerInstance | None
    token: int
    previous_owner: ServerInstance | None = None


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class TableOrder:
    """Order of a key table among all states of its group.

    The epoch comes first. A holder that doesn't know yet that the store was
    restored from a copy writes its table there under its old epoch, at a
    revision that may be above those of later epochs. Without a restoration,
    revisions rise with the epochs.

    Attributes:
        epoch: Epoch of the lease under which the table was written.
        revision: Revision at which it was written, in the generation of the
            store in which the epoch began.
    """

    epoch: int
    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class KeyTable:
    """Owners of all keys of a server group.

    Attributes:
        group: Name of the server group.
        revision: Revision of the store at which it was written.
        epoch: Epoch of the lease under which it was written. A keeper of an
            older epoch must not change it.
        next_token: Lowest fencing token that was never used.
        ranges: Ranges in order; together they cover all keys.
    """

    group: str
    revision: int
    epoch: int
    next_token: int
    ranges: tuple[KeyRange, ...]

    @property
    def order(self) -> TableOrder:
        """Key by which newer tables of a group are higher."""
        return TableOrder(self.epoch, self.revision)


@dataclasses.dataclass(frozen=True, order=True, slots=True)
class VmSize:
    """Capacity of a VM, ordered by the bandwidth of its link, then by cores.

    The link comes first because it limits a gateway that watches the store
    for others: it sends each change to all of them.

    Attributes:
        link_mbps: Bandwidth of the network link, in Mbit/s; 0 if not known.
        cores: Processor cores, as a multiple of a standard core; 0 if not
            known.
    """

    link_mbps: float = 0.0
    cores: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """An entry VM and the address of its gateway for other gateways.

    Attributes:
        name: Name of the VM.
        incarnation: Unique id of this run of the gateway.
        host: IP address.
        port: TCP port for other gateways.
        availability_zone: Its availability zone.
        registered_revision: Revision of the store at which it registered; 0 if
            it hasn't.
        size: Capacity of the VM.
        forward_port: TCP port for requests that other gateways forward; 0 if
            it takes none.
        capabilities: What its build can do beyond the first one. Other gateways
            use none that they don't find here.
        build: Id of its build; empty if the build doesn't state one.
    """

    name: str
    incarnation: str
    host: str
    port: int
    availability_zone: str
    registered_revision: int = 0
    size: VmSize = VmSize()
    forward_port: int = 0
    capabilities: frozenset[str] = frozenset()
    build: str = ""

    @property
    def judges_requests(self) -> bool:
        """Whether it takes part in finding requests that crash servers."""
        return JUDGES_REQUESTS in self.capabilities


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Lease whose holder alone may move keys.

    Attributes:
        holder: Name of the holder's VM; empty if the last holder resigned.
        incarnation: Id of the run of the gateway that holds the lease.
        epoch: Number of the lease; rises by one with each new holder.
        revision: Revision of the store at which it was written, or read if the
            store was restored in between.
    """

    holder: str
    incarnation: str
    epoch: int
    revision: int

    @property
    def order(self) -> tuple[int, int]:
        """Key by which newer leases are higher.

        The epoch comes first: a store that was restored from a copy may have an
        older lease at a newer revision.
        """
        return self.epoch, self.revision


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load that a backend server reports with a response.

    Attributes:
        running: Number of requests that it runs.
        waiting: Number of requests in its queue.
        slots: Number of requests that it runs concurrently.
        slowness: Factor by which work on its machine currently takes longer
            than usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimited:
    """A server names a limit of the requests that it takes.

    Attributes:
        per_s: Requests per second from all VMs together; finite and at least
            0.
    """

    per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class NotRateLimited:
    """A response that certainly comes from the server names no limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimitUnstated:
    """A response doesn't tell whether the server has a limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class RateLimitInvalid:
    """A response names a limit that isn't a number of requests.

    Attributes:
        value: The value as received, shortened.
    """

    value: str


RateLimitStatement = (
    RateLimited | NotRateLimited | RateLimitUnstated | RateLimitInvalid
)


@dataclasses.dataclass(frozen=True, slots=True)
class Pause:
    """A server wants no request from this VM for some time.

    Attributes:
        duration_s: The time, in seconds; finite and at least 0.
    """

    duration_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class PauseInvalid:
    """A server states a pause that isn't a number of seconds.

    Attributes:
        value: The value as received, shortened.
    """

    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class PauseShortened:
    """A server states a pause that is longer than any that is kept.

    Attributes:
        duration_s: The time that is kept, in seconds.
        value: The value as received, shortened.
    """

    duration_s: float
    value: str


PauseStatement = Pause | PauseInvalid | PauseShortened


@dataclasses.dataclass(frozen=True, slots=True)
class ServerStatements:
    """What a backend server says of itself in a response.

    Attributes:
        load: Its load, if it stated it.
        cold_ms: Remaining warm-up time, in ms, if it stated it.
        rate_limit: Limit on the requests that it takes.
        is_leaving: Whether it says that it shuts down.
        pause: Time for which it wants no request from this VM, if it said so
            when it rejected one.
    """

    load: Load | None = None
    cold_ms: float | None = None
    rate_limit: RateLimitStatement = RateLimitUnstated()
    is_leaving: bool = False
    pause: PauseStatement | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the platform sets for all gateways together.

    Attributes:
        retry_ratio: Retries allowed per request, over all VMs.
        retry_slack: Retries allowed per window in addition to the ratio.
        retry_window_s: Length of that window, in seconds.
        cold_slack: Requests per second that a server that warms up gets at
            most beyond the rate that it tolerates.
        drain_s: Time after which a server that said that it is leaving gets no
            more requests, in seconds.
        grace_s: Time between SIGTERM and SIGKILL, in seconds.
        max_hold_ms: Longest duration of a grant of keys, in ms.
    """

    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    retry_window_s: float = 10.0
    cold_slack: float = 5.0
    drain_s: float = 2.0
    grace_s: float = 6.0
    max_hold_ms: float = 10_000.0


# Memory limit of a process if the settings state none: that of the smallest VM.
DEFAULT_MEMORY_BYTES = 300 * 2**20


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """Settings that the platform passes to the gateway at its start.

    Attributes:
        vm: Name of the VM.
        host: IP address of the VM.
        availability_zone: Availability zone of the VM.
        caller_address: Host and port on which callers connect.
        ready_address: Host and port of the load balancer's readiness checks.
        peer_port: First TCP port for other gateways.
        store_address: Host and port of the store.
        bounds: Limits for all gateways together.
        size: Capacity of the VM.
        forward_port: TCP port for requests that other gateways forward; 0 to
            take none.
        memory_bytes: Memory limit of the process, in bytes.
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
    forward_port: int = 0
    memory_bytes: int = DEFAULT_MEMORY_BYTES
