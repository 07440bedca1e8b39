"""Models of all settings, with their defaults.

`berylweir.conf.reference` generates the settings reference from the docstrings.
Options whose names end in `_s` are in seconds, those in `_bytes` in bytes.
"""

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
    """The VM on which the program runs.

    Attributes:
        name: Name of the VM, as in its `vm` object.
        availability_zone: Name of the VM's availability zone.
        address: IP address at which other VMs reach it.
    """

    name: schemas.Name
    availability_zone: schemas.Name
    address: schemas.IpAddress = "127.0.0.1"


class PlatformSection(msgspec.Struct, frozen=True):
    """The object API of the platform.

    Attributes:
        url: Base URL of the API.
        timeout_s: Timeout of a request, without the wait of a watch.
        watch_s: Longest time that a watch waits for changes.
    """

    url: str
    timeout_s: Seconds = 1.0
    watch_s: Seconds = 20.0


class LeaseSection(msgspec.Struct, frozen=True):
    """Intervals of the lease protocol between keepers.

    Attributes:
        renew_s: Interval between lease renewals, and between heartbeats.
        lease_s: Duration of a lease, counted from the sending of its renewal.
        margin_s: Additional wait after a lease has expired, because clocks run
            at different rates.
        server_loss_s: Time without a response after which a backend server is
            considered lost; at least twice `renew_s`.
        home_loss_s: Time without a message after which another entry VM is
            considered lost.
        silent_pair_s: Time without a message of both holder and standby after
            which another VM takes over the partition.
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
        port: TCP port for messages of other keepers.
        link_port: TCP port on the loopback address for the router of this VM.
        status_port: TCP port on which the keeper reports which object versions
            are in force.
        neighbours: Keepers to ask for objects while the platform is down, as
            `address:port`, separated by commas.
        peer_key: Key that authenticates messages between keepers, as an id, a
            colon and 16 to 64 bytes in hexadecimal; empty for no
            authentication.
        further_peer_key: Second key that is accepted during a key rotation, in
            the same form; empty for none.
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
        max_header_bytes: Largest size of the target and headers of a request.
        max_body_bytes: Largest size of a request body.
        max_key_bytes: Largest size of a key.
        body_timeout_s: Longest time for the head of a request, and longest
            pause between two parts of its body.
        default_deadline_s: Deadline of requests without one, from their
            arrival.
        max_deadline_s: Longest deadline; longer ones are shortened to it.
        connect_timeout_s: Timeout for opening a connection to a backend server
            or to another router.
        connection_age_s: Age after which a connection is not used for another
            request.
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
    """Admission control at the home of a backend server.

    Attributes:
        queue_limit: Largest number of requests in one queue.
        ledger_retention_s: How long ids of ended non-idempotent requests are
            kept after their creation, to detect repeats.
        clock_skew_s: Largest difference between the clocks of callers and VMs.
        retry_budget: Largest number of retries per request, on average.
        quarantine_s: How long a request that crashes backend servers is
            refused.
    """

    queue_limit: PositiveInt = 256
    ledger_retention_s: Seconds = 600.0
    clock_skew_s: Seconds = 1.0
    retry_budget: Ratio = 0.1
    quarantine_s: Seconds = 600.0


class ApiSection(msgspec.Struct, frozen=True):
    """The administration API.

    Attributes:
        port: TCP port of the API.
        tokens: File with the tokens of operators; empty for none, in which
            case every request is refused.
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
        log_level: Lowest level of the log messages that are written.
        statsd_host: IP address of the statsd server.
        statsd_port: UDP port of the statsd server; 0 to send no metrics.
        statsd_prefix: Prefix of all metric names.
        flush_s: Interval between two reports to the statsd server.
        traces: Exporter of trace spans; `off` for none.
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
