"""Measures what a request that crashes servers costs the other callers.

Real gateways run as processes against stand-ins of the store and the servers. A
server that ends is back after 3 s as another instance. The harmful request is
sent again and again, each time to any VM; look-ups of one frequent path go on
beside it. In a second scenario, 3 of 10 servers end at the same time, three
times in a run, without a harmful request.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import pathlib
import random
import tempfile

import defopt

from berylweir.soak import gateways
from berylweir.standin.gateway_platform import caller
from berylweir.standin.gateway_platform import hosting
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin
from berylweir.standin.gateway_platform import store as store_standin

_RESULTS = pathlib.Path(__file__).parent / "results" / "crashes.json"
_SERVERS = 10
_SERVICE_S = 0.02
_HARMFUL = "/r/harmful"
_LOOKUP = "/r/hot"
_REPEAT_INTERVAL_S = 0.15
_LOOKUP_INTERVAL_S = 0.01
_DEADLINE_MS = 1000
_TIMEOUT_S = 2.0
# Time until the gateways are up and know each other, and until the faults begin
# after that, in seconds.
_SETTLE_S = 4.0
_FAULT_FREE_S = 2.5
# Times of the simultaneous ends after that, in seconds, and their number.
_SIMULTANEOUS_S = (0.0, 8.0, 16.0)
_SIMULTANEOUS_ENDS = 3
# Time after the third end from which no more sends are expected, in seconds.
_CONTACT_S = 3.0


@dataclasses.dataclass(slots=True)
class Served:
    """Requests that were sent, and that were answered with 200."""

    sent: int = 0
    served: int = 0


@dataclasses.dataclass(slots=True)
class Measurement:
    """Result of one run.

    Attributes:
        scenario: `harmful`, or `simultaneous` ends of servers.
        vms: Number of gateways.
        ended: Servers that ended under the harmful request.
        sent_late: Times that it was sent to a server later than 3 s after the
            third of them had ended.
        before: Look-ups before the first server ended.
        after: Look-ups from then on.
        refused_falsely: Look-ups that were refused as harmful.
        statuses: Statuses of the harmful request, with their numbers.
    """

    scenario: str
    vms: int
    ended: int = 0
    sent_late: int = 0
    before: Served = dataclasses.field(default_factory=Served)
    after: Served = dataclasses.field(default_factory=Served)
    refused_falsely: int = 0
    statuses: dict[str, int] = dataclasses.field(default_factory=dict)


class Experiment:
    """A deployment, its callers and what they see."""

    def __init__(self, scenario: str, vms: int, seconds: float) -> None:
        """Prepares a run.

        Args:
            scenario: `harmful` or `simultaneous`.
            vms: Number of gateways.
            seconds: Length of the time with faults, in seconds.
        """
        self._seconds = seconds
        self._measurement = Measurement(scenario, vms)
        self._store = store_standin.Store()
        self._hosts: list[hosting.ServerHost] = []
        self._gateways: list[gateways.Gateway] = []
        self._rng = random.Random(1)
        self._ids = itertools.count()
        self._has_begun = False

    async def run(self) -> Measurement:
        """Runs the deployment and returns what was measured."""
        async with contextlib.AsyncExitStack() as stack:
            directory = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            await self._start(stack, directory)
            await asyncio.sleep(_SETTLE_S)
            lookups = asyncio.create_task(self._look_up())
            await asyncio.sleep(_FAULT_FREE_S)
            self._has_begun = True
            if self._measurement.scenario == "harmful":
                await self._send_harmful()
            else:
                await self._end_servers()
            lookups.cancel()
            await asyncio.wait((lookups,))
            self._count_runs()
        return self._measurement

    async def _start(
        self, stack: contextlib.AsyncExitStack, directory: pathlib.Path
    ) -> None:
        store_port = await http.listen(stack, self._store.handle)
        await self._store.put(
            "config",
            "main",
            server_standin.configuration_spec(
                {"g": False}, [server_standin.route_spec("r", "g")]
            ),
        )

        def build_server(name: str) -> server_standin.Server:
            server = server_standin.Server(name, service_s=_SERVICE_S)
            server.crashing_paths = frozenset({_HARMFUL})
            return server

        def build_spec(name: str, port: int) -> dict[str, object]:
            return server_standin.server_spec(name, "g", port)

        for number in range(_SERVERS):
            host = hosting.ServerHost(
                f"s{number}", self._store, build_spec, build_server
            )
            await host.start(stack)
            self._hosts.append(host)
        for vm in range(self._measurement.vms):
            gateway = gateways.Gateway(vm, store_port, directory)
            await gateway.start(stack)
            self._gateways.append(gateway)

    async def _look_up(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._look_up_once())
                await asyncio.sleep(_LOOKUP_INTERVAL_S)

    async def _look_up_once(self) -> None:
        counts = (
            self._measurement.after
            if self._has_begun
            else self._measurement.before
        )
        counts.sent += 1
        response = await self._ask(_LOOKUP)
        if response is None:
            return
        counts.served += response.status == 200
        self._measurement.refused_falsely += b"crashes" in response.body

    async def _send_harmful(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + self._seconds
        statuses = self._measurement.statuses
        while loop.time() < end_s:
            response = await self._ask(_HARMFUL)
            status = str(response.status) if response else "none"
            statuses[status] = statuses.get(status, 0) + 1
            await asyncio.sleep(_REPEAT_INTERVAL_S)

    async def _end_servers(self) -> None:
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        for at_s in _SIMULTANEOUS_S:
            await asyncio.sleep(max(0.0, begin_s + at_s - loop.time()))
            up = [h for h in self._hosts if h.is_up]
            for host in self._rng.sample(up, _SIMULTANEOUS_ENDS):
                host.end()
        await asyncio.sleep(max(0.0, begin_s + self._seconds - loop.time()))

    async def _ask(self, path: str) -> caller.Response | None:
        port = self._rng.choice(self._gateways).port
        request = caller.encode_request(
            path, f"q{next(self._ids)}", _DEADLINE_MS, closes_connection=True
        )
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                try:
                    writer.write(request)
                    return await caller.read_response(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, EOFError):
            return None

    def _count_runs(self) -> None:
        started_s = sorted(
            run.started_s
            for host in self._hosts
            for server in host.instances
            for run in server.executions
            if run.path == _HARMFUL
        )
        self._measurement.ended = len(started_s)
        self._measurement.sent_late = sum(
            s > started_s[2] + _CONTACT_S for s in started_s[3:]
        )


async def _measure(vms: list[int], seconds: float) -> list[Measurement]:
    return [
        await Experiment(scenario, count, seconds).run()
        for scenario in ("harmful", "simultaneous")
        for count in vms
    ]


def run(*, vms: list[int] | None = None, seconds: float = 27.0) -> None:
    """Measures both scenarios, and writes `bench/results/crashes.json`.

    Args:
        vms: Numbers of gateways.
        seconds: Length of the time with faults, in seconds.
    """
    measurements = asyncio.run(_measure(vms or [4, 8], seconds))
    for measurement in measurements:
        print(measurement)
    records = [dataclasses.asdict(m) for m in measurements]
    _RESULTS.write_text(json.dumps(records, indent=1) + "\n")


if __name__ == "__main__":
    defopt.run(run)
