"""All settings with their defaults; times are in seconds."""

from typing import Annotated
from typing import Literal

import msgspec

from berylweir.objects import schemas

Seconds = Annotated[float, msgspec.Meta(gt=0)]
ByteCount = Annotated[int, msgspec.Meta(ge=1)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
Ratio = Annotated[float, msgspec.Meta(ge=0, le=1)]
PortOrZero = Annotated[int, msgspec.Meta(ge=0, le=65535)]


class VmSection(msgspec.Struct, frozen=True):
    """This VM.

    Attributes:
        name: Name of the VM, as in its `vm` object.
        availability_zone: Availability zone that the VM is in.
        address: IP address that other VMs reach it by.
    """

    name: schemas.Name
    availability_zone: schemas.Name
    address: schemas.IpAddress = "127.0.0.1"


class PlatformSection(msgspec.Struct, frozen=True):
    """The platform's object API.

    Attributes:
        url: Base URL.
        timeout_s: Time for one call.
        watch_s: Time that a watch may wait.
    """

    url: str
    timeout_s: Seconds = 1.0
    watch_s: Seconds = 20.0


class LeaseSection(msgspec.Struct, frozen=True):
    """Intervals of the lease protocol.

    Attributes:
        renew_s: Interval between renewals.
        lease_s: How long evidence lets a holder act.
        margin_s: Allowance for clocks that run at different rates.
        server_loss_s: Silence after which a backend server counts as lost.
        home_loss_s: Silence after which a home counts as lost.
        silent_pair_s: Silence of holder and standby before others take over.
    """

    renew_s: Seconds = 0.25
    lease_s: Seconds = 1.0
    margin_s: Seconds = 0.1
    server_loss_s: Seconds = 0.6
    home_loss_s: Seconds = 0.6
    silent_pair_s: Seconds = 3.0


class KeeperSection(msgspec.Struct, frozen=True):
    """The keeper.

    Attributes:
        port: TCP port for other keepers.
        link_port: TCP port on the loopback address for the router.
        status_port: TCP port on which the keeper tells the versions in force.
        neighbours: Keepers to ask when the platform is down, as
            `address:port` separated by commas.
        peer_key: Key that authenticates messages between keepers, as an id, a
            colon and 16 to 64 bytes in hexadecimal; empty for none.
        further_peer_key: Second key that is accepted, while keys are replaced.
    """

    port: schemas.Port = 7101
    link_port: schemas.Port = 7102
    status_port: schemas.Port = 7103
    neighbours: str = ""
    peer_key: str = ""
    further_peer_key: str = ""


class RouterSection(msgspec.Struct, frozen=True):
    """The router.

    Attributes:
        port: TCP port for callers.
        peer_port: TCP port for other routers.
        max_header_bytes: Largest size of the headers of a request.
        max_body_bytes: Largest body of a request.
        max_key_bytes: Longest key.
        body_timeout_s: Longest pause between two parts of a request body.
        default_deadline_s: Deadline of a request that states none.
        max_deadline_s: Longest deadline that a request can state.
        connect_timeout_s: Time to open a connection to a backend server.
        connection_age_s: Age at which an idle connection is retired.
        shutdown_s: Longest time for requests in flight at a shutdown.
        certificate: PEM file with the certificate chain for callers; empty for
            no TLS.
        private_key: PEM file with the private key of the certificate.
    """

    port: schemas.Port = 7100
    peer_port: schemas.Port = 7110
    max_header_bytes: ByteCount = 32_768
    max_body_bytes: ByteCount = 104_857_600
    max_key_bytes: ByteCount = 1024
    body_timeout_s: Seconds = 10.0
    default_deadline_s: Seconds = 5.0
    max_deadline_s: Seconds = 600.0
    connect_timeout_s: Seconds = 0.5
    connection_age_s: Seconds = 300.0
    shutdown_s: Seconds = 600.0
    certificate: str = ""
    private_key: str = ""


class AdmissionSection(msgspec.Struct, frozen=True):
    """Limits at the home of a backend server.

    Attributes:
        queue_limit: Requests that may wait for one backend server.
        ledger_retention_s: How long ids of non-idempotent work are kept.
        clock_skew_s: Allowance between the clocks of callers and VMs.
        retry_budget: Retries for each request, on average.
        quarantine_s: How long a request that crashes servers is refused.
    """

    queue_limit: PositiveInt = 256
    ledger_retention_s: Seconds = 600.0
    clock_skew_s: Seconds = 1.0
    retry_budget: Ratio = 0.1
    quarantine_s: Seconds = 600.0


class ApiSection(msgspec.Struct, frozen=True):
    """The administration API.

    Attributes:
        port: TCP port.
        tokens: File with the tokens of operators, or empty for none; without
            tokens every request is refused.
        certificate: PEM file with the certificate chain; empty for no TLS.
        private_key: PEM file with the private key of the certificate.
    """

    port: schemas.Port = 7120
    tokens: str = ""
    certificate: str = ""
    private_key: str = ""


class ObservabilitySection(msgspec.Struct, frozen=True):
    """Logs, metrics and traces.

    Attributes:
        log_level: Lowest level that is written.
        statsd_host: IP address of the statsd server.
        statsd_port: UDP port of the statsd server; 0 sends nothing.
        statsd_prefix: First part of each metric's name.
        flush_s: Interval between two flushes.
        traces: Exporter of trace spans.
    """

    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    statsd_host: schemas.IpAddress = "127.0.0.1"
    statsd_port: PortOrZero = 0
    statsd_prefix: str = "berylweir"
    flush_s: Seconds = 10.0
    traces: Literal["off", "console"] = "off"


class Settings(msgspec.Struct, frozen=True):
    """All settings; each attribute is a section of the INI file."""

    vm: VmSection
    platform: PlatformSection
    lease: LeaseSection = LeaseSection()
    keeper: KeeperSection = KeeperSection()
    router: RouterSection = RouterSection()
    admission: AdmissionSection = AdmissionSection()
    api: ApiSection = ApiSection()
    observability: ObservabilitySection = ObservabilitySection()
