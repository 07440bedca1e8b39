"""Measures what a hop through a router costs.

The same load is sent to a backend server directly ("straight"), through the
router of its home VM ("one hop"), and through the router of another entry VM
and the home's ("two hops"). Two reduced routers, which respond right after the
HTTP parser and right after the routing decision, show the cost of these
layers. Each role is a process of its own on the loopback address.
"""

import argparse
import asyncio
from collections.abc import Callable
import dataclasses
import json
import multiprocessing
from multiprocessing import connection as mp_connection
import os
import pathlib
import time
from typing import Any

import httptools
import msgspec
import pynng
import uvloop

from bench import layers
from berylweir.conf import schemas as conf
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.peers import codec
from berylweir.peers import messages as peers
from berylweir.peers import sockets
from berylweir.router import supervisor as router
from berylweir.standin import ports
from berylweir.supervision import supervisor

_HOST = "127.0.0.1"
_RESULTS_FILE = pathlib.Path(__file__).parent / "results" / "hop.json"
_SERVERS = 8
_SLOTS = 16
_SLICES = 256
_CONNECTION_COUNTS = (1, 16, 128)
_LOAD_PROCESSES = 4
_WARM_UP_S = 1.5
_CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
_RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"

# Goals. The added latencies are those of one hop over the direct path with one
# connection; the share of the direct rate is taken with 16 connections.
MIN_RATE_PER_ROUTER_CORE = 10_000  # Requests per second of processor time.
MIN_SHARE_OF_DIRECT_RATE = 0.25
MAX_ADDED_P50_MS = 0.5
MAX_ADDED_P99_MS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ports:
    """TCP ports of the roles.

    The link port of a router connects it with the keeper of its VM.
    """

    backend: int
    home: int
    home_peer: int
    home_link: int
    entry: int
    entry_peer: int
    entry_link: int
    server_layer: int
    decision_layer: int


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """Result of one load process.

    Attributes:
        latencies_us: Latency of each response, in microseconds.
        errors: Number of responses other than 200 and of connections that
            closed early.
    """

    latencies_us: list[int]
    errors: int


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Result of one run.

    Attributes:
        path: Name of the path that the requests took.
        connections: Number of connections, each with one request at a time.
        rate: Requests per second.
        p50_ms: Median latency, in milliseconds.
        p99_ms: 99th percentile of the latency, in milliseconds.
        errors: Number of failed requests and connections.
        router_cores: Processor time of the first process on the path, in
            seconds per second.
        rate_per_router_core: Requests per second of its processor time.
    """

    path: str
    connections: int
    rate: float
    p50_ms: float
    p99_ms: float
    errors: int
    router_cores: float
    rate_per_router_core: float


class _BackendProtocol(asyncio.Protocol):
    """Backend server that responds to each request with an empty 200."""

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_complete(self) -> None:
        self._transport.write(_RESPONSE)


class _ClientProtocol(asyncio.Protocol):
    """Caller that sends one request at a time over one connection."""

    def __init__(self, number: int) -> None:
        self._requests = [
            b"GET /k/item HTTP/1.1\r\nhost: bench\r\n"
            b"berylweir-key: key-%d-%d\r\n\r\n" % (number, i)
            for i in range(64)
        ]
        self._next_request = 0
        self.latencies_us: list[int] = []
        self.errors = 0
        self.is_stopping = False

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self._parser = httptools.HttpResponseParser(self)
        self._send()

    def data_received(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.is_stopping:
            self.errors += 1

    def on_message_complete(self) -> None:
        self.latencies_us.append(
            (time.perf_counter_ns() - self._sent_ns) // 1000
        )
        if self._parser.get_status_code() != 200:
            self.errors += 1
        if not self.is_stopping:
            self._send()

    def _send(self) -> None:
        self._next_request = (self._next_request + 1) % len(self._requests)
        self._sent_ns = time.perf_counter_ns()
        self._transport.write(self._requests[self._next_request])


async def _generate_load(
    port: int, connections: int, first_client: int, seconds: float
) -> LoadResult:
    """Sends requests over `connections` connections for `seconds`."""
    loop = asyncio.get_running_loop()
    clients = []
    for number in range(connections):
        _, client = await loop.create_connection(
            lambda n=number: _ClientProtocol(first_client + n),  # type: ignore[misc]
            _HOST,
            port,
        )
        clients.append(client)
    await asyncio.sleep(seconds)
    for client in clients:
        client.is_stopping = True
    return LoadResult(
        [us for c in clients for us in c.latencies_us],
        sum(c.errors for c in clients),
    )


def _run_load_process(
    pipe: mp_connection.Connection,
    port: int,
    connections: int,
    first_client: int,
    seconds: float,
) -> None:
    pipe.send(
        uvloop.run(_generate_load(port, connections, first_client, seconds))
    )


async def _serve_backend(port: int) -> None:
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        _BackendProtocol, _HOST, port, backlog=1024
    )
    await server.serve_forever()


def _run_backend(port: int) -> None:
    uvloop.run(_serve_backend(port))


def create_table_update(ports: Ports) -> peers.TableUpdate:
    """Returns a routing table in which VM `home` is every server's home."""
    names = [f"k-{i}" for i in range(_SERVERS)]
    group = schemas.ServerGroup(
        "k", schemas.Keyed(slices=_SLICES), slots=_SLOTS
    )
    return peers.TableUpdate(
        1,
        (group,),
        tuple(
            schemas.BackendServer(n, "k", "a", _HOST, ports.backend)
            for n in names
        ),
        (schemas.AvailabilityZone("a"),),
        (schemas.Selector("k", "/k/", "k"),),
        (
            schemas.Vm("home", "a", _HOST, ports.home_peer, 1),
            schemas.Vm("entry", "a", _HOST, ports.entry_peer, 2),
        ),
        (
            (
                1,
                schemas.Partition(
                    "k",
                    0,
                    1,
                    schemas.Incarnation("home", "n"),
                    None,
                    slices=tuple(
                        schemas.Owned(names[i % _SERVERS], 1)
                        for i in range(_SLICES)
                    ),
                    homes=dict.fromkeys(names, "home"),
                ),
            ),
        ),
    )


def create_homes_update(hours: float) -> peers.HomesUpdate:
    """Returns the home's authority over all servers, valid for `hours`."""
    return peers.HomesUpdate(
        tuple(
            peers.HomeServer(
                f"k-{i}",
                "i",
                time.monotonic() + hours * 3600,
                tuple(
                    peers.ServedSlice(s, 1)
                    for s in range(_SLICES)
                    if s % _SERVERS == i
                ),
                time.time(),
            )
            for i in range(_SERVERS)
        )
    )


async def _serve_keeper_link(port: int, updates: tuple[bytes, ...]) -> None:
    """Sends updates to a router as its keeper would, then only receives."""
    with pynng.Pair0(listen=f"tcp://{_HOST}:{port}") as link:
        for update in updates:
            await sockets.send(link, update)
        while True:
            await sockets.receive(link)


async def _serve_keepers(ports: Ports) -> None:
    table = codec.encode(create_table_update(ports))
    await asyncio.gather(
        _serve_keeper_link(
            ports.home_link, (table, codec.encode(create_homes_update(1.0)))
        ),
        _serve_keeper_link(ports.entry_link, (table,)),
    )


def _run_keepers(ports: Ports) -> None:
    asyncio.run(_serve_keepers(ports))


def _run_router(name: str, port: int, peer_port: int, link_port: int) -> None:
    settings = conf.Settings(
        conf.VmSection(name, "a", _HOST),
        conf.PlatformSection("http://127.0.0.1:1"),
        keeper=conf.KeeperSection(1, link_port),
        router=conf.RouterSection(port, peer_port, shutdown_s=1.0),
    )
    uvloop.run(
        supervisor.run_root(
            router.build(settings, counters.Counters()), asyncio.Event()
        )
    )


def _run_layer(layer: str, ports: Ports, port: int) -> None:
    uvloop.run(layers.serve(layer, create_table_update(ports), _HOST, port))


def _cpu_s(pid: int) -> float:
    """Returns the processor time of a process, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / _CLOCK_TICKS


def _percentile_ms(sorted_us: list[int], share: float) -> float:
    return (
        sorted_us[
            min(
                len(sorted_us) - 1,
                int(len(sorted_us) * share),
            )
        ]
        / 1000.0
    )


class Bench:
    """Starts a process for each role and measures them under load."""

    def __init__(self, seconds: float) -> None:
        """Creates a bench in which each load lasts `seconds`."""
        self._seconds = seconds
        self._context = multiprocessing.get_context("spawn")
        self._processes: dict[str, Any] = {}
        self.ports = Ports(*ports.free_ports(9))

    def start(self) -> None:
        """Starts all processes and warms up both routers."""
        ports = self.ports
        self._start("backend", _run_backend, ports.backend)
        self._start("keepers", _run_keepers, ports)
        self._start(
            "home",
            _run_router,
            "home",
            ports.home,
            ports.home_peer,
            ports.home_link,
        )
        self._start(
            "entry",
            _run_router,
            "entry",
            ports.entry,
            ports.entry_peer,
            ports.entry_link,
        )
        self._start("server", _run_layer, "server", ports, ports.server_layer)
        self._start(
            "decision", _run_layer, "decision", ports, ports.decision_layer
        )
        time.sleep(3.0)
        for port in (ports.home, ports.entry):
            self._run_load(port, 128, _WARM_UP_S)

    def stop(self) -> None:
        """Kills all processes."""
        for process in self._processes.values():
            process.kill()
            process.join()

    def measure(
        self, path: str, role: str, port: int, connections: int
    ) -> Measurement:
        """Runs one load.

        Args:
            path: Name of the path, for the results.
            role: Process whose processor time is measured.
            port: TCP port to which the load is sent.
            connections: Number of connections.
        """
        pid = self._processes[role].pid
        cpu_before_s = _cpu_s(pid)
        loads = self._run_load(port, connections, self._seconds)
        cpu_s = _cpu_s(pid) - cpu_before_s
        sorted_us = sorted(us for load in loads for us in load.latencies_us)
        rate = len(sorted_us) / self._seconds
        cores = cpu_s / self._seconds
        return Measurement(
            path,
            connections,
            round(rate),
            _percentile_ms(sorted_us, 0.5),
            _percentile_ms(sorted_us, 0.99),
            sum(load.errors for load in loads),
            round(cores, 2),
            round(rate / cores) if cores else 0,
        )

    def _run_load(
        self, port: int, connections: int, seconds: float
    ) -> list[LoadResult]:
        count = min(_LOAD_PROCESSES, connections)
        load_processes = []
        for index in range(count):
            parent_pipe, child_pipe = self._context.Pipe()
            process = self._context.Process(
                target=_run_load_process,
                args=(
                    child_pipe,
                    port,
                    connections // count,
                    index * 1000,
                    seconds,
                ),
            )
            process.start()
            load_processes.append((process, parent_pipe))
        loads = []
        for process, pipe in load_processes:
            loads.append(pipe.recv())
            process.join()
        return loads

    def _start(
        self, name: str, target: Callable[..., None], *args: object
    ) -> None:
        process = self._context.Process(target=target, args=args, daemon=True)
        process.start()
        self._processes[name] = process


def compare_with_goals(
    measurements: list[Measurement],
) -> dict[str, dict[str, float | bool]]:
    """Returns, for each goal, the measured value and whether it is met."""
    by_run = {(f.path, f.connections): f for f in measurements}
    direct, one_hop = by_run["straight", 16], by_run["one hop", 16]
    direct_single, one_hop_single = by_run["straight", 1], by_run["one hop", 1]
    measured = {
        "requests_per_router_core": (
            by_run["one hop", 128].rate_per_router_core,
            MIN_RATE_PER_ROUTER_CORE,
        ),
        "share_of_straight_16": (
            one_hop.rate / direct.rate,
            MIN_SHARE_OF_DIRECT_RATE,
        ),
        "added_p50_ms": (
            one_hop_single.p50_ms - direct_single.p50_ms,
            MAX_ADDED_P50_MS,
        ),
        "added_p99_ms": (
            one_hop_single.p99_ms - direct_single.p99_ms,
            MAX_ADDED_P99_MS,
        ),
    }
    return {
        name: {
            "measured": round(value, 3),
            "goal": goal,
            "met": value <= goal if name.startswith("added") else value >= goal,
        }
        for name, (value, goal) in measured.items()
    }


def main() -> None:
    """Measures all paths, prints a table and writes the results."""
    arguments = argparse.ArgumentParser(description=__doc__)
    arguments.add_argument("--seconds", type=float, default=3.0)
    options = arguments.parse_args()
    bench = Bench(options.seconds)
    ports = bench.ports
    load_before = os.getloadavg()[0]
    measurements = []
    try:
        bench.start()
        for path, role, port in (
            ("straight", "backend", ports.backend),
            ("layer: server", "server", ports.server_layer),
            ("layer: +decision", "decision", ports.decision_layer),
            ("one hop", "home", ports.home),
            ("two hops", "entry", ports.entry),
        ):
            for connections in _CONNECTION_COUNTS:
                measured = bench.measure(path, role, port, connections)
                measurements.append(measured)
                print(
                    f"{path:18} {connections:4} {measured.rate:8.0f}/s "
                    f"p50 {measured.p50_ms:7.3f} p99 {measured.p99_ms:7.3f} ms"
                    f"  {measured.rate_per_router_core:7.0f}/s a core"
                    f"  errors {measured.errors}"
                )
    finally:
        bench.stop()
    goal_results = compare_with_goals(measurements)
    for name, goal in goal_results.items():
        print(
            f"{name:26} {goal['measured']:10} of {goal['goal']}"
            f"  {'met' if goal['met'] else 'MISSED'}"
        )
    print(f"load average before: {load_before:.1f}")
    _RESULTS_FILE.write_text(
        json.dumps(
            {
                "seconds": options.seconds,
                "load_average_before": load_before,
                "runs": [msgspec.to_builtins(f) for f in measurements],
                "goals": goal_results,
            },
            indent=1,
        )
        + "\n"
    )


if __name__ == "__main__":
    main()
