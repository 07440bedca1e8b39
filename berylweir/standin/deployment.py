"""A small deployment in one process: platform, backend servers, entry VMs."""

import asyncio
import contextlib
import dataclasses
import itertools
import os
import socket

import msgspec

from berylweir.conf import schemas as conf
from berylweir.keeper import supervisor as keeper
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.router import supervisor as router
from berylweir.standin import backend
from berylweir.standin import platform
from berylweir.standin import task
from berylweir.supervision import models as supervision

_HOST = "127.0.0.1"
# Linux takes local ports of outgoing connections from 32768 upwards.
_LISTENER_PORTS = range(10_000, 32_768)
_PORTS_PER_PROCESS = 128
_FIRST_PORT = os.getpid() * _PORTS_PER_PROCESS % len(_LISTENER_PORTS)
_NEXT_PORT = itertools.cycle(
    (*_LISTENER_PORTS[_FIRST_PORT:], *_LISTENER_PORTS[:_FIRST_PORT])
)


def free_ports(count: int) -> list[int]:
    """Returns TCP ports of the loopback address that are free now.

    They are outside the range from which the system takes the local ports of
    outgoing connections: a port of that range, though free now, may be in use
    by a connection before its listener starts. Each process takes ports from
    a place of its own, and each port once, so that deployments that start at
    the same time don't choose the same port.
    """
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            bound = stack.enter_context(socket.socket())
            port = next(_NEXT_PORT)
            with contextlib.suppress(OSError):
                bound.bind((_HOST, port))
                ports.append(port)
    return ports


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSpec:
    """A server group of the deployment.

    Attributes:
        group: The server group.
        path_prefix: Path of its traffic.
        servers: Number of backend servers, spread over the zones.
        service_s: Time to run a request, in seconds.
        cold_s: Time in which a fresh server bears one request, in seconds.
    """

    group: schemas.ServerGroup
    path_prefix: str
    servers: int
    service_s: float = 0.001
    cold_s: float = 0.0


class ChildRunner:
    """One child that can be stopped or killed on its own."""

    def __init__(self, run: supervision.ChildFunction) -> None:
        """Creates a runner of a child that is not running."""
        self._run = run
        self._stack = contextlib.AsyncExitStack()
        self._context = supervision.ChildContext(self._stack)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the child and waits until it is ready."""
        self._task = asyncio.create_task(self._main())
        ready = asyncio.create_task(self._context.ready_event.wait())
        await asyncio.wait(
            (self._task, ready), return_when=asyncio.FIRST_COMPLETED
        )
        ready.cancel()
        if self._task.done():
            self._task.result()

    async def stop(self) -> None:
        """Asks the child to stop and waits for it."""
        self._context.stop_event.set()
        if self._task is not None:
            await asyncio.wait((self._task,))

    async def kill(self) -> None:
        """Cancels the child without a graceful stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait((self._task,))

    async def _main(self) -> None:
        async with self._stack:
            await self._run(self._context)


@dataclasses.dataclass(slots=True)
class EntryVm:
    """The processes of one entry VM, with their counters."""

    settings: conf.Settings
    keeper: ChildRunner
    router: ChildRunner
    keeper_metrics: counters.Counters
    router_metrics: counters.Counters

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{_HOST}:{self.settings.router.port}"


class Deployment:
    """Runs all parts on loopback addresses with free ports."""

    def __init__(
        self,
        groups: tuple[GroupSpec, ...],
        *,
        zones: tuple[str, ...] = ("a", "b", "c"),
        vms: int = 3,
        lease: conf.LeaseSection = conf.LeaseSection(),  # noqa: B008
    ) -> None:
        """Creates a deployment that is not running.

        Args:
            groups: Server groups.
            zones: Availability zones.
            vms: Number of entry VMs, spread over the zones.
            lease: Intervals of the lease protocol.
        """
        self._groups = groups
        self._zones = zones
        self._vm_count = vms
        self._lease = lease
        self._stack = contextlib.AsyncExitStack()
        self.platform = platform.PlatformState()
        self.platform_url = ""
        self.backends: dict[str, task.BackendTask] = {}
        self.backend_runners: dict[str, ChildRunner] = {}
        self.vms: dict[str, EntryVm] = {}

    async def __aenter__(self) -> "Deployment":
        """Starts everything."""
        await self._start_platform()
        for spec in self._groups:
            await self._start_group(spec)
        for zone in self._zones:
            self.put(schemas.AvailabilityZone(zone))
        settings = [self._settings(i) for i in range(self._vm_count)]
        for entry in settings:
            self.put(
                schemas.Vm(
                    entry.vm.name,
                    entry.vm.availability_zone,
                    _HOST,
                    entry.router.peer_port,
                    entry.keeper.port,
                    status_port=entry.keeper.status_port,
                )
            )
        for entry in settings:
            await self.start_vm(entry)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops everything."""
        await self._stack.aclose()

    def put(self, value: schemas.ConfigObject) -> None:
        """Writes an object over whatever version the platform has."""
        current = self.platform.get(value.KIND, value.name)
        self.platform.write(
            value.KIND,
            value.name,
            msgspec.json.encode(value),
            0 if current is None else current.version,
            "",
        )

    def partition(self, name: str) -> schemas.Partition | None:
        """Returns a partition as the platform has it."""
        stored = self.platform.get(schemas.Partition.KIND, name)
        if stored is None:
            return None
        return msgspec.json.decode(stored.value, type=schemas.Partition)

    def neighbours(self) -> str:
        """Returns the addresses of the running keepers, as a setting."""
        return ",".join(
            f"{_HOST}:{vm.settings.keeper.port}" for vm in self.vms.values()
        )

    async def start_vm(self, settings: conf.Settings) -> EntryVm:
        """Starts the keeper and the router of an entry VM."""
        keeper_metrics = counters.Counters()
        router_metrics = counters.Counters()
        entry = EntryVm(
            settings,
            ChildRunner(keeper.build(settings, keeper_metrics).run),
            ChildRunner(router.build(settings, router_metrics).run),
            keeper_metrics,
            router_metrics,
        )
        self.vms[settings.vm.name] = entry
        for runner in (entry.keeper, entry.router):
            self._stack.push_async_callback(runner.kill)
            await runner.start()
        return entry

    async def kill_vm(self, name: str) -> conf.Settings:
        """Ends both processes of an entry VM at once."""
        entry = self.vms.pop(name)
        await asyncio.gather(entry.keeper.kill(), entry.router.kill())
        return entry.settings

    async def kill_backend(self, name: str) -> None:
        """Ends a backend server at once."""
        self.backends[name].abort_connections()
        await self.backend_runners[name].kill()

    async def _start_platform(self) -> None:
        serving = task.PlatformTask(self.platform, _HOST, 0)
        runner = ChildRunner(serving.run)
        self._stack.push_async_callback(runner.stop)
        await runner.start()
        self.platform_url = serving.url

    async def _start_group(self, spec: GroupSpec) -> None:
        group = spec.group
        self.put(group)
        match group.routing:
            case schemas.Keyed(checks_grants=checks_grants):
                pass
            case schemas.Unkeyed():
                checks_grants = False
        for index in range(spec.servers):
            name = f"{group.name}-{index}"
            serving = task.BackendTask(
                backend.BackendState(
                    backend.BackendConfig(
                        name,
                        slots=group.slots,
                        service_s=spec.service_s,
                        cold_s=spec.cold_s,
                        checks_grants=checks_grants,
                    )
                ),
                _HOST,
                0,
            )
            runner = ChildRunner(serving.run)
            self._stack.push_async_callback(runner.kill)
            await runner.start()
            self.backends[name] = serving
            self.backend_runners[name] = runner
            self.put(
                schemas.BackendServer(
                    name,
                    group.name,
                    self._zones[index % len(self._zones)],
                    _HOST,
                    serving.port,
                )
            )
        self.put(schemas.Selector(group.name, spec.path_prefix, group.name))

    def _settings(self, index: int) -> conf.Settings:
        ports = free_ports(6)
        keeper_port, link_port, status_port, port, peer_port, api_port = ports
        return conf.Settings(
            conf.VmSection(
                f"vm-{index}", self._zones[index % len(self._zones)], _HOST
            ),
            conf.PlatformSection(self.platform_url),
            lease=self._lease,
            keeper=conf.KeeperSection(keeper_port, link_port, status_port),
            router=conf.RouterSection(port, peer_port, shutdown_s=5.0),
            api=conf.ApiSection(api_port),
        )
