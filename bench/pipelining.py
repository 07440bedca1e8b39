"""Measures how callers with pipelined requests are answered, for some builds.

A real gateway runs as a process against stand-ins of the store and the servers.
Each caller has one connection, with several requests of two kinds open at once,
in some scenarios behind a download.
It closes the connection at the shortest of their deadlines and sends those that
have no answer again on a new one.
"""

import asyncio
import collections
import contextlib
import dataclasses
import enum
import itertools
import json
import math
import os
import pathlib
import random
import statistics
import tempfile
import typing

import defopt

from berylweir.soak import gateways
from berylweir.standin.gateway_platform import caller
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin
from berylweir.standin.gateway_platform import store as store_standin

_RESULTS = pathlib.Path(__file__).parent / "results" / "pipelining.json"
_CALLERS = 40
# Time between two bursts of a caller, and most requests in one.
_MEAN_PAUSE_S = 0.6
_MAX_BURST = 5
_LOOK_UP_SHARE = 0.6
# Share of the bursts that begin with a download, in scenarios with downloads.
_DOWNLOAD_SHARE = 0.1
# Longer than the responses that a gateway buffers.
_DOWNLOAD_BODY = bytes(3_000_000)
_MAX_RETRIES = 2
_RETRY_STATUSES = (503, 504)
_SETTLE_S = 1.5
_SENDING_S = 8.0
_FAULT_S = (1.5, 6.5)
_MAX_DRAIN_S = 8.0
_READY_TIMEOUT_S = 30.0
# Interval at which the delay of the callers by other processes is measured.
_DELAY_POLL_S = 0.01
_SLOTS = 6
_FEW_SLOTS = 3
_SLOW_FACTOR = 10.0
_MEAN_FLAP_S = 0.8
# Standard deviation of the logarithm of the work of a request.
_WORK_SIGMA = 0.8


class Scenario(enum.Enum):
    """What the servers do for a part of the run."""

    CALM = "calm"
    # Two servers of look-ups and one of schedules take ten times as long.
    SLOW = "slow"
    # The same, with half of the slots, so that requests wait for a server.
    SLOW_FEW_SLOTS = "slow, few slots"
    # A server of look-ups sends nothing.
    MUTE = "mute"
    # The servers of `SLOW` send nothing, again and again for a short time.
    FLAPPING = "flapping"
    # Some bursts begin with a download.
    DOWNLOADS = "downloads"
    # The same, and two of four servers of downloads break off their responses.
    BROKEN_DOWNLOADS = "broken downloads"

    @property
    def kinds(self) -> tuple["Kind", ...]:
        """Kinds of the requests that are sent."""
        match self:
            case Scenario.DOWNLOADS | Scenario.BROKEN_DOWNLOADS:
                return (*_KINDS, _DOWNLOAD)
            case (
                Scenario.CALM
                | Scenario.SLOW
                | Scenario.SLOW_FEW_SLOTS
                | Scenario.MUTE
                | Scenario.FLAPPING
            ):
                return _KINDS
            case _:
                typing.assert_never(self)


class Retries(enum.Enum):
    """Which requests callers send again."""

    # Those whose connection ended before their answer.
    UNANSWERED = "unanswered"
    # These, and those that were answered with 503 or 504.
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of requests.

    Attributes:
        name: Name of its route and of its server group.
        deadline_s: Time within which callers need the answer, in seconds.
        aim_s: Time within which most answers should arrive, in seconds.
        work_s: Mean work of a request, in seconds.
        servers: Number of servers.
        body: Body of their responses.
    """

    name: str
    deadline_s: float
    aim_s: float
    work_s: float
    servers: int
    body: bytes = b""


_LOOK_UP = Kind("look_up", 2.5, 0.4, 0.12, 8)
_SCHEDULE = Kind("schedule", 0.9, 0.15, 0.05, 4)
_KINDS = (_LOOK_UP, _SCHEDULE)
_DOWNLOAD = Kind("download", 2.5, 1.0, 0.12, 4, _DOWNLOAD_BODY)


@dataclasses.dataclass(slots=True)
class CallerRequest:
    """A request and its tries.

    Attributes:
        request_id: Id of the request; each try has one that begins with it.
        kind: Kind of the request.
        first_sent_s: When it was first sent, in seconds.
        tries: Number of times that it was sent.
        cut: Number of tries whose connection ended before their answer.
        cut_ready: Number of these that a server had completed.
        status: Status of the last answer; 0 if there was none.
        ended_s: When it was answered or given up, in seconds.
    """

    request_id: str
    kind: Kind
    first_sent_s: float
    tries: int = 0
    cut: int = 0
    cut_ready: int = 0
    status: int = 0
    ended_s: float = math.inf

    @property
    def time_s(self) -> float:
        """Time from the first try to the end, in seconds."""
        return self.ended_s - self.first_sent_s

    @property
    def is_served(self) -> bool:
        """Whether it was answered with 200, in time or late."""
        return self.status == 200


@dataclasses.dataclass(frozen=True, slots=True)
class Try:
    """A request as it was sent on one connection.

    Attributes:
        request: The request.
        try_id: Value of `Request-Id`.
        deadline_s: When the caller leaves, in seconds.
    """

    request: CallerRequest
    try_id: str
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The oldest request of a connection was answered.

    Attributes:
        connection: Number of the connection.
        status: HTTP status.
    """

    connection: int
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A connection ended.

    Attributes:
        connection: Number of the connection.
    """

    connection: int


@dataclasses.dataclass(frozen=True, slots=True)
class Slow:
    """Servers whose work takes longer."""

    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Mute:
    """Servers that receive requests and send nothing."""

    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Flapping:
    """Servers that are mute again and again."""

    servers: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Breaking:
    """Servers that reset the connection after half of a response."""

    servers: tuple[str, ...]


Fault = Slow | Mute | Flapping | Breaking


def _choose_fault(scenario: Scenario, rng: random.Random) -> Fault | None:
    names = {
        kind: [f"{kind.name}-{n}" for n in range(kind.servers)]
        for kind in scenario.kinds
    }
    several = (*rng.sample(names[_LOOK_UP], 2), rng.choice(names[_SCHEDULE]))
    match scenario:
        case Scenario.CALM | Scenario.DOWNLOADS:
            return None
        case Scenario.SLOW | Scenario.SLOW_FEW_SLOTS:
            return Slow(several)
        case Scenario.MUTE:
            return Mute(several[:1])
        case Scenario.FLAPPING:
            return Flapping(several)
        case Scenario.BROKEN_DOWNLOADS:
            return Breaking(tuple(rng.sample(names[_DOWNLOAD], 2)))
        case _:
            typing.assert_never(scenario)


class WorkingServer:
    """A server whose requests take different times.

    It completes a request also if the gateway closes its connection.

    Attributes:
        factor: By how much its work takes longer than usual.
        breaks_off: Whether it breaks off its responses.
        completed_s: When each try was completed, in seconds.
    """

    def __init__(self, name: str, kind: Kind, slots: int, seed: int) -> None:
        """Creates a server that answers.

        Args:
            name: Its instance id.
            kind: Kind of its requests.
            slots: Number of requests that it executes at the same time.
            seed: Seed of the work.
        """
        self.factor = 1.0
        self.breaks_off = False
        self.completed_s: dict[str, float] = {}
        self._kind = kind
        self._seed = seed
        self._server = server_standin.Server(name, slots=slots)
        self._is_answering = asyncio.Event()
        self._is_answering.set()

    @property
    def name(self) -> str:
        """Its instance id."""
        return self._server.name

    def set_mute(self, is_mute: bool) -> None:
        """Makes it receive requests and answer none, or ends that."""
        if is_mute:
            self._is_answering.clear()
        else:
            self._is_answering.set()

    async def handle(self, request: http.Request) -> http.Response:
        """Serves a request of the gateway."""
        await self._is_answering.wait()
        try_id = request.headers.get("request-id", "")
        rng = random.Random(f"{self._seed}:{try_id}")
        mean_log = math.log(self._kind.work_s) - _WORK_SIGMA**2 / 2.0
        work_s = rng.lognormvariate(mean_log, _WORK_SIGMA)
        # The stand-in reads it before it waits for the first time.
        self._server.service_s = work_s * self.factor
        response = await self._server.handle(request)
        await self._is_answering.wait()
        if response.status == 200 and self._kind.body:
            response = dataclasses.replace(
                response, body=self._kind.body, is_truncated=self.breaks_off
            )
        if try_id and response.status == 200 and not response.is_truncated:
            now_s = asyncio.get_running_loop().time()
            self.completed_s.setdefault(try_id, now_s)
        return response


class Caller:
    """A caller with one connection; its task owns its state."""

    def __init__(
        self,
        name: str,
        port: int,
        retries: Retries,
        seed: int,
        servers: list[WorkingServer],
        *,
        sends_downloads: bool = False,
    ) -> None:
        """Creates a caller that isn't connected.

        Args:
            name: Beginning of the ids of its requests.
            port: TCP port of the gateway.
            retries: Which requests are sent again.
            seed: Seed of the requests.
            servers: All servers, to look up what they have completed.
            sends_downloads: Whether some bursts begin with a download.
        """
        self.requests: list[CallerRequest] = []
        self._name = name
        self._port = port
        self._retries = retries
        self._servers = servers
        self._sends_downloads = sends_downloads
        self._rng = random.Random(f"{seed}:{name}")
        self._loop = asyncio.get_running_loop()
        self._messages: asyncio.Queue[Answered | Ended] = asyncio.Queue()
        self._open: collections.deque[Try] = collections.deque()
        self._connection = 0
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None

    async def run(self, until_s: float) -> None:
        """Sends requests until `until_s`, and waits for the last answers."""
        try:
            next_burst_s = self._loop.time() + self._choose_pause_s()
            while True:
                if next_burst_s >= until_s:
                    next_burst_s = math.inf
                    if not self._open:
                        return
                leave_s = min((t.deadline_s for t in self._open), default=None)
                message = await self._receive(
                    min(next_burst_s, leave_s or math.inf)
                )
                match message:
                    case Answered(connection, status):
                        if connection == self._connection:
                            await self._end_try(status)
                    case Ended(connection):
                        if connection == self._connection:
                            await self._leave()
                    case None:
                        pass
                    case _:
                        typing.assert_never(message)
                now_s = self._loop.time()
                if self._messages.empty() and any(
                    t.deadline_s <= now_s for t in self._open
                ):
                    await self._leave()
                if next_burst_s <= now_s:
                    await self._send_burst()
                    next_burst_s += self._choose_pause_s()
        finally:
            self._close()

    async def _receive(self, until_s: float) -> Answered | Ended | None:
        if not self._messages.empty():
            return self._messages.get_nowait()
        try:
            async with asyncio.timeout_at(until_s):
                return await self._messages.get()
        except TimeoutError:
            return None

    def _choose_pause_s(self) -> float:
        return self._rng.expovariate(1.0 / _MEAN_PAUSE_S)

    async def _send_burst(self) -> None:
        now_s = self._loop.time()
        burst = []
        kinds = [
            _LOOK_UP if self._rng.random() < _LOOK_UP_SHARE else _SCHEDULE
            for _ in range(self._rng.randint(1, _MAX_BURST))
        ]
        if self._sends_downloads and self._rng.random() < _DOWNLOAD_SHARE:
            kinds.insert(0, _DOWNLOAD)
        for kind in kinds:
            request_id = f"{self._name}-{len(self.requests)}"
            burst.append(CallerRequest(request_id, kind, now_s))
            self.requests.append(burst[-1])
        await self._send(burst)

    async def _send(self, requests: list[CallerRequest]) -> None:
        """Sends requests, on a new connection if there is none."""
        if not requests:
            return
        if self._writer is None:
            await self._connect()
        data = b""
        for request in requests:
            request.tries += 1
            try_id = f"{request.request_id}-{request.tries}"
            deadline_s = self._loop.time() + request.kind.deadline_s
            self._open.append(Try(request, try_id, deadline_s))
            data += caller.encode_request(
                f"/{request.kind.name}/{request.request_id}",
                try_id,
                round(request.kind.deadline_s * 1000.0),
            )
        if self._writer is not None:
            self._writer.write(data)

    async def _connect(self) -> None:
        reader, self._writer = await asyncio.open_connection(
            "127.0.0.1", self._port
        )
        self._connection += 1
        self._reading = asyncio.create_task(
            self._read(reader, self._connection)
        )

    async def _read(
        self, reader: asyncio.StreamReader, connection: int
    ) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                response = await caller.read_response(reader)
                self._messages.put_nowait(Answered(connection, response.status))
                if response.closes_connection:
                    break
        self._messages.put_nowait(Ended(connection))

    async def _end_try(self, status: int) -> None:
        request = self._open.popleft().request
        request.status = status
        request.ended_s = self._loop.time()
        match self._retries:
            case Retries.UNANSWERED:
                pass
            case Retries.FAILED:
                if status in _RETRY_STATUSES and self._may_retry(request):
                    await self._send([request])
            case _:
                typing.assert_never(self._retries)

    async def _leave(self) -> None:
        """Closes the connection, and sends its requests again."""
        self._close()
        now_s = self._loop.time()
        unanswered = [entry.request for entry in self._open]
        for entry in self._open:
            entry.request.cut += 1
            entry.request.cut_ready += any(
                entry.try_id in s.completed_s for s in self._servers
            )
            entry.request.status = 0
            entry.request.ended_s = now_s
        self._open.clear()
        await self._send([r for r in unanswered if self._may_retry(r)])

    def _may_retry(self, request: CallerRequest) -> bool:
        waited_s = self._loop.time() - request.first_sent_s
        return (
            request.tries <= _MAX_RETRIES and waited_s < request.kind.deadline_s
        )

    def _close(self) -> None:
        if self._reading is not None:
            self._reading.cancel()
            self._reading = None
        if self._writer is not None:
            self._writer.transport.abort()
            self._writer = None
        self._connection += 1


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """Parameters of one run.

    Attributes:
        scenario: What the servers do.
        retries: Which requests callers send again.
        policy: Label of the build.
        build: Source tree of the gateway; None for that of this process.
        seed: Seed of the requests, their work and the faults.
    """

    scenario: Scenario
    retries: Retries
    policy: str
    build: pathlib.Path | None
    seed: int


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One measured value."""

    scenario: str
    deployment: str
    policy: str
    seed: int
    metric: str
    value: float | None
    unit: str
    target: float | None = None


class Experiment:
    """A deployment, its callers and what they see.

    Attributes:
        max_delay_s: Longest time by which the callers' event loop was late, in
            seconds. It shows runs that other processes disturbed.
    """

    def __init__(self, run: Run) -> None:
        """Prepares a run."""
        self.max_delay_s = 0.0
        self._run = run
        self._servers: dict[str, WorkingServer] = {}
        self._rng = random.Random(f"{run.seed}:{run.scenario.value}")

    async def run(self) -> list[CallerRequest]:
        """Runs the deployment and returns the requests of all callers."""
        loop = asyncio.get_running_loop()
        async with contextlib.AsyncExitStack() as stack:
            gateway = await self._start(stack)
            await asyncio.sleep(_SETTLE_S)
            stack.callback(asyncio.create_task(self._watch_delay()).cancel)
            until_s = loop.time() + _SENDING_S
            callers = [
                Caller(
                    f"c{number}",
                    gateway.port,
                    self._run.retries,
                    self._run.seed,
                    list(self._servers.values()),
                    sends_downloads=_DOWNLOAD in self._run.scenario.kinds,
                )
                for number in range(_CALLERS)
            ]
            async with (
                asyncio.timeout_at(until_s + _MAX_DRAIN_S),
                asyncio.TaskGroup() as group,
            ):
                group.create_task(self._inject_fault())
                for each in callers:
                    group.create_task(each.run(until_s))
        return [request for each in callers for request in each.requests]

    async def _start(
        self, stack: contextlib.AsyncExitStack
    ) -> gateways.Gateway:
        store = store_standin.Store()
        store_port = await http.listen(stack, store.handle)
        configuration = server_standin.configuration_spec(
            {kind.name: False for kind in self._run.scenario.kinds},
            [
                server_standin.route_spec(
                    kind.name,
                    kind.name,
                    kind="download" if kind is _DOWNLOAD else "safe",
                    timeout_ms=round(kind.deadline_s * 1000.0),
                    goal_ms=round(kind.aim_s * 1000.0),
                )
                for kind in self._run.scenario.kinds
            ],
        )
        await store.put("config", "main", configuration)
        has_few_slots = self._run.scenario is Scenario.SLOW_FEW_SLOTS
        slots = _FEW_SLOTS if has_few_slots else _SLOTS
        for kind, number in itertools.chain.from_iterable(
            ((kind, number) for number in range(kind.servers))
            for kind in self._run.scenario.kinds
        ):
            server = WorkingServer(
                f"{kind.name}-{number}", kind, slots, self._run.seed
            )
            self._servers[server.name] = server
            port = await http.listen(stack, server.handle)
            spec = server_standin.server_spec(
                server.name, kind.name, port, slots=slots
            )
            await store.put("servers", server.name, spec)
        directory = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        builds = (self._run.build,) if self._run.build is not None else ()
        gateway = gateways.Gateway(0, store_port, directory, builds)
        await gateway.start(stack)
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while not await gateway.is_ready():  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        return gateway

    async def _watch_delay(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + _DELAY_POLL_S
            await asyncio.sleep(_DELAY_POLL_S)
            self.max_delay_s = max(self.max_delay_s, loop.time() - due_s)

    async def _inject_fault(self) -> None:
        fault = _choose_fault(self._run.scenario, self._rng)
        if fault is None:
            return
        start_s, end_s = _FAULT_S
        await asyncio.sleep(start_s)
        servers = [self._servers[name] for name in fault.servers]
        match fault:
            case Slow():
                for server in servers:
                    server.factor = _SLOW_FACTOR
            case Mute():
                for server in servers:
                    server.set_mute(True)
            case Breaking():
                for server in servers:
                    server.breaks_off = True
            case Flapping():
                async with asyncio.TaskGroup() as group:
                    for server in servers:
                        group.create_task(self._flap(server, end_s - start_s))
                return
            case _:
                typing.assert_never(fault)
        await asyncio.sleep(end_s - start_s)
        for server in servers:
            server.factor = 1.0
            server.set_mute(False)
            server.breaks_off = False

    async def _flap(self, server: WorkingServer, duration_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(duration_s):
                for is_mute in itertools.cycle((True, False)):
                    server.set_mute(is_mute)
                    await asyncio.sleep(
                        self._rng.uniform(0.5, 1.5) * _MEAN_FLAP_S
                    )
        server.set_mute(False)


def _summarize(
    run: Run, requests: list[CallerRequest], max_delay_s: float
) -> list[Record]:
    records = []

    servers = sum(kind.servers for kind in run.scenario.kinds)

    def add(metric: str, value: float | None, unit: str) -> None:
        scenario = run.scenario.value
        match run.retries:
            case Retries.UNANSWERED:
                pass
            case Retries.FAILED:
                scenario += ", 503 and 504 sent again"
            case _:
                typing.assert_never(run.retries)
        records.append(
            Record(
                scenario,
                f"1 VM, {servers} servers",
                run.policy,
                run.seed,
                metric,
                value,
                unit,
            )
        )

    add("callers.max_delay", round(max_delay_s * 1000.0, 1), "ms")
    add("machine.load_average_1min", round(os.getloadavg()[0], 2), "tasks")
    for kind in run.scenario.kinds:
        own = [r for r in requests if r.kind is kind]
        served = [r for r in own if r.is_served]
        in_time = [r for r in served if r.time_s <= kind.deadline_s]
        in_aim = [r for r in served if r.time_s <= kind.aim_s]
        failed = [r for r in own if r.status not in (0, 200)]

        def add_share(
            metric: str,
            part: list[CallerRequest],
            *,
            name: str = kind.name,
            total: int = len(own),
        ) -> None:
            add(f"{name}.{metric}", round(len(part) / total, 4), "ratio")

        add(f"{kind.name}.requests", len(own), "requests")
        add_share("served_in_time", in_time)
        add_share("served_within_aim", in_aim)
        add(
            f"{kind.name}.served_late",
            round((len(served) - len(in_time)) / len(own), 4),
            "ratio",
        )
        add_share("served", served)
        add_share("answered_with_error", failed)
        add(f"{kind.name}.tries", sum(r.tries for r in own), "tries")
        add(f"{kind.name}.cut", sum(r.cut for r in own), "tries")
        add(f"{kind.name}.cut_ready", sum(r.cut_ready for r in own), "tries")
        times_ms = [r.time_s * 1000.0 for r in served]
        percentiles = statistics.quantiles(times_ms, n=100)
        add(f"{kind.name}.p50", round(percentiles[49], 1), "ms")
        add(f"{kind.name}.p99", round(percentiles[98], 1), "ms")
    return records


async def _measure(
    runs: list[Run], at_once: int, results: pathlib.Path
) -> list[Record]:
    records: dict[Run, list[Record]] = {}
    waiting = collections.deque(runs)

    async def work() -> None:
        while waiting:
            run = waiting.popleft()
            experiment = Experiment(run)
            requests = await experiment.run()
            records[run] = _summarize(run, requests, experiment.max_delay_s)
            values = {
                r.metric: r.value
                for r in records[run]
                if r.metric.endswith((".served_in_time", ".served", ".cut"))
            }
            _write(results, [r for each in runs for r in records.get(each, ())])
            print(
                run.scenario.value,
                run.retries.value,
                run.policy,
                run.seed,
                values,
                flush=True,
            )

    async with asyncio.TaskGroup() as group:
        for _ in range(at_once):
            group.create_task(work())
    return [record for run in runs for record in records[run]]


def _print_means(records: list[Record]) -> None:
    """Prints the mean of each metric over the seeds, and its range."""
    values: dict[tuple[str, str, str], list[float]] = {}
    for record in records:
        if record.value is not None:
            values.setdefault(
                (record.scenario, record.metric, record.policy), []
            ).append(record.value)
    for (scenario, metric, policy), found in sorted(values.items()):
        mean = statistics.fmean(found)
        print(
            f"{scenario}, {metric}, {policy}: "
            f"{mean:.4g} [{min(found):.4g}, {max(found):.4g}]"
        )


def _write(results: pathlib.Path, records: list[Record]) -> None:
    lines = [json.dumps(dataclasses.asdict(record)) for record in records]
    results.write_text("[\n" + ",\n".join(lines) + "\n]\n")


def run(
    *,
    builds: list[pathlib.Path] | None = None,
    policies: list[str] | None = None,
    seeds: list[int] | None = None,
    scenarios: list[Scenario] | None = None,
    retries: list[Retries] | None = None,
    at_once: int = 1,
    results: pathlib.Path = _RESULTS,
) -> None:
    """Measures the scenarios, and writes `bench/results/pipelining.json`.

    Args:
        builds: Source trees of the gateway; by default that of this program.
        policies: Label of each build.
        seeds: Seeds of the requests, their work and the faults.
        scenarios: What the servers do; all by default.
        retries: Which requests callers send again; both ways by default.
        at_once: Number of runs at the same time.
        results: File for the records.
    """
    labelled: list[tuple[str, pathlib.Path | None]] = (
        list(zip(policies or (), builds, strict=True))
        if builds
        else [("current", None)]
    )
    runs = [
        Run(scenario, retry, policy, build and build.resolve(), seed)
        for retry in retries or list(Retries)
        for seed in seeds or [1, 2, 3]
        for scenario in scenarios or list(Scenario)
        for policy, build in labelled
    ]
    _print_means(asyncio.run(_measure(runs, at_once, results)))


if __name__ == "__main__":
    defopt.run(run)
