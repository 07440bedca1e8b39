"""Replaces the gateways of a fleet one after another, under load.

Real gateways run as processes against stand-ins of the store and the servers.
Each is asked to end and started again while requests go on. Callers use a VM
until shortly after it was asked to end, and again once it is ready, as behind a
load balancer.
"""

import asyncio
import collections
from collections.abc import Sequence
import contextlib
import dataclasses
import enum
import itertools
import pathlib
import random
import statistics
import tempfile

from berylweir.gateway import models
from berylweir.platform import objects
from berylweir.soak import gateways
from berylweir.standin.gateway_platform import caller
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin
from berylweir.standin.gateway_platform import store as store_standin

_SERVERS_PER_GROUP = 8
_SERVICE_S = 0.01
_REQUEST_INTERVAL_S = 0.01
_DEADLINE_MS = 1000
_TIMEOUT_S = 2.0
_KEYS = tuple(range(0, 65_536, 1024))
_SETTLE_S = 4.0
_READY_TIMEOUT_S = 30.0
# Time after which the load balancer sends nothing to a gateway that ends, and
# the interval of its checks of one that starts, in seconds.
_BALANCER_DELAY_S = 0.2
_READY_POLL_S = 0.02
_OWNER_POLL_S = 0.05
# Time between two replacements, in seconds.
_PAUSE_S = 0.5


class Order(enum.Enum):
    """Order in which the VMs are replaced."""

    HOLDER_LAST = "holder_last"
    HOLDER_FIRST = "holder_first"


@dataclasses.dataclass(slots=True)
class Requests:
    """Requests of a time and their responses.

    Attributes:
        sent: Number of requests.
        served: Number of responses with status 200.
        statuses: Number of responses with each status; 0 stands for none.
        times_s: Time to each of these, in seconds.
    """

    sent: int = 0
    served: int = 0
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    times_s: list[float] = dataclasses.field(default_factory=list)

    @property
    def p99_ms(self) -> float:
        """99th percentile of the time to a response, in milliseconds."""
        if len(self.times_s) < 2:
            return 0.0
        return round(statistics.quantiles(self.times_s, n=100)[-1] * 1000.0, 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Result of one run.

    Attributes:
        vms: Number of gateways.
        at_once: Number of gateways that were replaced at the same time.
        order: Order of the replacements.
        ready_p50_s: Median time from the end of a gateway's process until the
            new one was ready, in seconds.
        ready_max_s: Longest such time.
        calm_sent: Requests in the calm time before.
        calm_served: Those of them that were served with status 200.
        calm_p99_ms: 99th percentile of their times, in milliseconds.
        sent: Requests during the replacements.
        served: Those of them that were served with status 200.
        p99_ms: 99th percentile of their times, in milliseconds.
        lease_changes: Leases that were written.
        owner_changes: Changes of the owner of one of 64 keys.
        unowned_s: Time without an owner, summed over these keys, in seconds.
        calls_per_vm: Calls to the store for each replacement, without those
            that a calm time of equal length takes.
    """

    vms: int
    at_once: int
    order: str
    ready_p50_s: float
    ready_max_s: float
    calm_sent: int
    calm_served: int
    calm_p99_ms: float
    sent: int
    served: int
    p99_ms: float
    lease_changes: int
    owner_changes: int
    unowned_s: float
    calls_per_vm: float


class Experiment:
    """A deployment whose gateways are replaced, and its callers."""

    def __init__(
        self,
        vms: int,
        at_once: int,
        order: Order,
        calm_s: float,
        builds: Sequence[pathlib.Path] = (),
    ) -> None:
        """Prepares a run.

        Args:
            vms: Number of gateways.
            at_once: Number of gateways to replace at the same time.
            order: Order of the replacements.
            calm_s: Time without a replacement that the others are compared
                with, in seconds.
            builds: Source trees of the build that is replaced and of the next
                one; none for the build of this process twice.
        """
        self._calm_s = calm_s
        self._builds = builds
        self._vms = vms
        self._at_once = at_once
        self._order = order
        self._store = store_standin.Store()
        self._servers: list[server_standin.Server] = []
        self._gateways: list[gateways.Gateway] = []
        self._in_rotation: set[int] = set()
        self._requests = Requests()
        self._replaced_requests = Requests()
        self._ready_times_s: list[float] = []
        self._owner_changes = 0
        self._unowned_s = 0.0
        self._rng = random.Random(1)
        self._ids = itertools.count()

    @property
    def statuses(self) -> collections.Counter[int]:
        """Responses during the replacements by status; 0 stands for none."""
        return self._replaced_requests.statuses

    async def run(self) -> Measurement:
        """Runs the deployment and returns what was measured."""
        loop = asyncio.get_running_loop()
        async with contextlib.AsyncExitStack() as stack:
            directory = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            await self._start(stack, directory)
            for work in (self._send_requests(), self._watch_owners()):
                stack.callback(asyncio.create_task(work).cancel)
            self._requests = calm = Requests()
            calls = len(self._store.calls)
            await asyncio.sleep(self._calm_s)
            calm_calls_per_s = (len(self._store.calls) - calls) / self._calm_s
            self._requests = during = self._replaced_requests
            self._owner_changes, self._unowned_s = 0, 0.0
            calls, epoch = len(self._store.calls), self._lease().epoch
            started_s = loop.time()
            await self._replace_all()
            extra_calls = (
                len(self._store.calls)
                - calls
                - calm_calls_per_s * (loop.time() - started_s)
            )
            self._requests = Requests()
            await asyncio.sleep(_TIMEOUT_S)  # The last requests end.
            return Measurement(
                self._vms,
                self._at_once,
                self._order.value,
                round(statistics.median(self._ready_times_s), 2),
                round(max(self._ready_times_s), 2),
                calm.sent,
                calm.served,
                calm.p99_ms,
                during.sent,
                during.served,
                during.p99_ms,
                self._lease().epoch - epoch,
                self._owner_changes,
                round(self._unowned_s, 2),
                round(extra_calls / self._vms, 2),
            )

    async def _start(
        self, stack: contextlib.AsyncExitStack, directory: pathlib.Path
    ) -> None:
        store_port = await http.listen(stack, self._store.handle)
        routes = [
            server_standin.route_spec("keyed", "keyed"),
            server_standin.route_spec("plain", "plain"),
        ]
        await self._store.put(
            "config",
            "main",
            server_standin.configuration_spec(
                {"keyed": True, "plain": False}, routes
            ),
        )
        for group in ("keyed", "plain"):
            await self._start_servers(stack, group)
        for vm in range(self._vms):
            gateway = gateways.Gateway(vm, store_port, directory, self._builds)
            gateway.select_build(0)
            self._gateways.append(gateway)
            await gateway.start(stack)
        for gateway in self._gateways:
            await self._await_ready(gateway)
        await asyncio.sleep(_SETTLE_S)

    async def _start_servers(
        self, stack: contextlib.AsyncExitStack, group: str
    ) -> None:
        for number in range(_SERVERS_PER_GROUP):
            server = server_standin.Server(
                f"{group}-{number}",
                is_keyed=group == "keyed",
                service_s=_SERVICE_S,
            )
            port = await http.listen(stack, server.handle)
            spec = server_standin.server_spec(server.name, group, port)
            await self._store.put("servers", server.name, spec)
            self._servers.append(server)

    def _lease(self) -> models.Lease:
        stored = self._store.get(objects.GATEWAY_KIND, objects.LEASE_NAME)
        if stored is None:
            raise RuntimeError("no gateway has taken the lease")
        return models.Lease(
            stored["spec"]["holder"],
            stored["spec"]["incarnation"],
            stored["spec"]["epoch"],
            stored["meta"]["rev"],
        )

    # Replacements

    async def _replace_all(self) -> None:
        holder = int(self._lease().holder.removeprefix("vm-"))
        others = [vm for vm in range(self._vms) if vm != holder]
        match self._order:
            case Order.HOLDER_LAST:
                vms = [*others, holder]
            case Order.HOLDER_FIRST:
                vms = [holder, *others]
        for first in range(0, len(vms), self._at_once):
            batch = vms[first : first + self._at_once]
            await asyncio.gather(*map(self._replace, batch))
            await asyncio.sleep(_PAUSE_S)

    async def _replace(self, vm: int) -> None:
        loop = asyncio.get_running_loop()
        gateway = self._gateways[vm]
        gateway.select_build(1)
        leaves = loop.call_later(
            _BALANCER_DELAY_S, self._in_rotation.discard, vm
        )
        await gateway.stop_and_restart()
        leaves.cancel()
        self._in_rotation.discard(vm)
        started_s = loop.time()
        await self._await_ready(gateway)
        self._ready_times_s.append(loop.time() - started_s)

    async def _await_ready(self, gateway: gateways.Gateway) -> None:
        """Waits until a gateway is ready, and has callers use it."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            is_ready = False
            while not is_ready:
                await asyncio.sleep(_READY_POLL_S)
                is_ready = await gateway.is_ready()
        self._in_rotation.add(gateway.vm)

    # Callers

    async def _send_requests(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._send_request(self._requests))
                await asyncio.sleep(_REQUEST_INTERVAL_S)

    async def _send_request(self, requests: Requests) -> None:
        loop = asyncio.get_running_loop()
        number = next(self._ids)
        route = ("keyed", "plain")[number % 2]
        request = caller.encode_request(
            f"/{route}/{number}",
            f"q{number}",
            _DEADLINE_MS,
            key=self._rng.randrange(65_536) if route == "keyed" else None,
            closes_connection=True,
        )
        requests.sent += 1
        if not self._in_rotation:
            requests.statuses[0] += 1
            return
        port = self._gateways[self._rng.choice(sorted(self._in_rotation))].port
        sent_s = loop.time()
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", port
                )
                try:
                    writer.write(request)
                    response = await caller.read_response(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, EOFError):
            requests.statuses[0] += 1
            return
        requests.statuses[response.status] += 1
        if response.status == 200:
            requests.served += 1
            requests.times_s.append(loop.time() - sent_s)

    async def _watch_owners(self) -> None:
        """Counts changes of owners, and the time without one."""
        known: dict[int, str] = {}
        while True:
            for key in _KEYS:
                owners = [s.name for s in self._servers if s.holds(key)]
                if not owners:
                    self._unowned_s += _OWNER_POLL_S
                elif known.get(key) != owners[0]:
                    self._owner_changes += key in known
                    known[key] = owners[0]
            await asyncio.sleep(_OWNER_POLL_S)
