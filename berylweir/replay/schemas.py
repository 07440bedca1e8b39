"""Validated models of trace files and result files.

Times are counted from the start of the trace. They are in seconds, or in
milliseconds if the name ends in `_ms`.
"""

import msgspec


class ServerCrash(msgspec.Struct, frozen=True, tag="server_crash"):
    """A backend server crashes and may restart with a cold cache.

    Attributes:
        at_s: Time of the crash.
        server: Name of the backend server.
        back_s: Time of the restart, or None if it stays down.
        cold_s: Duration of the warm-up after the restart.
    """

    at_s: float
    server: str
    back_s: float | None = None
    cold_s: float = 0.0


class ServerSlow(msgspec.Struct, frozen=True, tag="server_slow"):
    """Requests that start in an interval run `factor` times as long.

    Attributes:
        at_s: Start of the interval.
        server: Name of the backend server.
        until_s: End of the interval, exclusive.
        factor: Multiplier of the execution time.
    """

    at_s: float
    server: str
    until_s: float
    factor: float


class ZoneService(msgspec.Struct, frozen=True, tag="zone_service"):
    """Operators change whether an availability zone is in service.

    Attributes:
        at_s: Time of the change.
        zone: Name of the zone.
        in_service: Whether the zone is in service from then on.
    """

    at_s: float
    zone: str
    in_service: bool


class ZoneCut(msgspec.Struct, frozen=True, tag="zone_cut"):
    """A network partition separates a zone from all others and the platform.

    Attributes:
        at_s: Start of the network partition.
        zone: Name of the zone.
        until_s: End of the network partition.
    """

    at_s: float
    zone: str
    until_s: float


class PlatformDown(msgspec.Struct, frozen=True, tag="platform_down"):
    """The platform does not respond in an interval.

    Attributes:
        at_s: Start of the outage.
        until_s: End of the outage.
    """

    at_s: float
    until_s: float


Fault = ServerCrash | ServerSlow | ZoneService | ZoneCut | PlatformDown


class Phase(msgspec.Struct, frozen=True):
    """Named interval of a trace to which some metrics are limited.

    Attributes:
        name: Name of the phase.
        from_s: Start of the interval.
        until_s: End of the interval, exclusive.
    """

    name: str
    from_s: float
    until_s: float


class TraceHeader(msgspec.Struct, frozen=True, tag="trace"):
    """First line of a trace file.

    Attributes:
        scenario: Name of the scenario.
        deployment: Name of the deployment.
        seed: Seed of the generator and of the replay.
        duration_s: Length of the trace.
        faults: Faults and operator actions that the replay injects.
        phases: Intervals to which some metrics are limited.
    """

    scenario: str
    deployment: str
    seed: int
    duration_s: float
    faults: tuple[Fault, ...] = ()
    phases: tuple[Phase, ...] = ()


class Request(msgspec.Struct, frozen=True, array_like=True):
    """One request of a caller; each line after the header is one.

    Attributes:
        at_ms: Time at which the caller sends it.
        group: Name of the server group.
        key: Key of the request; empty in an unkeyed group.
        caller: Name of the caller.
        entry: Index of the entry VM that the load balancer picks.
        work_ms: Execution time on a warm and idle server.
        deadline_ms: Time that the entry VM has to answer.
        request_id: Idempotency key; empty if the request is idempotent.
        kills: Whether it crashes every server that executes it.
    """

    at_ms: float
    group: str
    key: str
    caller: str
    entry: int
    work_ms: float
    deadline_ms: int
    request_id: str = ""
    kills: bool = False


class Trace(msgspec.Struct, frozen=True):
    """Content of a trace file."""

    header: TraceHeader
    requests: tuple[Request, ...]


class MetricRecord(msgspec.Struct, frozen=True):
    """One measured value in `bench/results/latest.json`.

    Attributes:
        scenario: Name of the scenario.
        deployment: Name of the deployment.
        policy: Name of the policy.
        seed: Seed of the trace.
        metric: Name of the metric.
        value: Measured value.
        unit: Unit of the value.
        target: Bound that a requirement sets, or None without one.
    """

    scenario: str
    deployment: str
    policy: str
    seed: int
    metric: str
    value: float
    unit: str
    target: float | None


def encode_trace(trace: Trace) -> bytes:
    """Returns the trace as JSON lines."""
    return msgspec.json.Encoder().encode_lines([trace.header, *trace.requests])


def decode_trace(content: bytes) -> Trace:
    """Returns the trace that JSON lines describe.

    Raises:
        msgspec.DecodeError: If a line is not JSON.
        msgspec.ValidationError: If a line does not match its model.
    """
    first, _, rest = content.partition(b"\n")
    requests = msgspec.json.Decoder(Request).decode_lines(rest)
    return Trace(
        msgspec.json.decode(first, type=TraceHeader),
        tuple(requests),
    )
