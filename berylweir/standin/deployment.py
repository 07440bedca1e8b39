"""Deployment in one process: platform, backend servers and entry VMs."""

import asyncio
import contextlib
import dataclasses

import msgspec

from berylweir.conf import schemas as conf
from berylweir.keeper import supervisor as keeper
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.router import supervisor as router
from berylweir.standin import backend
from berylweir.standin import platform
from berylweir.standin import ports as listening_ports
from berylweir.standin import task
from berylweir.supervision import models as supervision

_HOST = "127.0.0.1"


@dataclasses.dataclass(frozen=True, slots=True)
class GroupSpec:
    """A server group with its selector and the number of its servers.

    Attributes:
        group: The server group.
        path_prefix: Path prefix of its selector.
        servers: Number of backend servers, distributed over the zones.
        service_s: Execution time of a request, in seconds.
        cold_s: Time after a start during which a server executes one request
            at a time, in seconds.
    """

    group: schemas.ServerGroup
    path_prefix: str
    servers: int
    service_s: float = 0.001
    cold_s: float = 0.0


class ChildRunner:
    """Runs one child function without a supervisor.

    Tests can stop or kill the child independently of others.
    """

    def __init__(self, run: supervision.ChildFunction) -> None:
        """Creates a runner; `start` starts the child."""
        self._run = run
        self._stack = contextlib.AsyncExitStack()
        self._context = supervision.ChildContext(self._stack)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts the child and waits until it is ready.

        An exception that ends the child before it is ready is raised here.
        """
        self._task = asyncio.create_task(self._main())
        ready = asyncio.create_task(self._context.ready_event.wait())
        await asyncio.wait(
            (self._task, ready), return_when=asyncio.FIRST_COMPLETED
        )
        ready.cancel()
        if self._task.done():
            self._task.result()

    async def stop(self) -> None:
        """Requests a graceful stop and waits until the child ends."""
        self._context.stop_event.set()
        if self._task is not None:
            await asyncio.wait((self._task,))

    async def kill(self) -> None:
        """Cancels the child, without a graceful stop, and waits for its end."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait((self._task,))

    async def _main(self) -> None:
        async with self._stack:
            await self._run(self._context)


@dataclasses.dataclass(slots=True)
class EntryVm:
    """The keeper and the router of one entry VM.

    Attributes:
        settings: Settings of both.
        keeper: Runs the keeper.
        router: Runs the router.
        keeper_metrics: Counters of the keeper.
        router_metrics: Counters of the router.
    """

    settings: conf.Settings
    keeper: ChildRunner
    router: ChildRunner
    keeper_metrics: counters.Counters
    router_metrics: counters.Counters

    @property
    def url(self) -> str:
        """Base URL of the router for callers."""
        return f"http://{_HOST}:{self.settings.router.port}"


class Deployment:
    """Runs a platform, backend servers and entry VMs on loopback ports.

    Attributes:
        platform: State of the platform.
        platform_url: Base URL of the platform.
        backends: Task of each backend server, by server name.
        backend_runners: Runner of each such task, by server name.
        vms: Running entry VMs, by name.
    """

    def __init__(
        self,
        groups: tuple[GroupSpec, ...],
        *,
        zones: tuple[str, ...] = ("a", "b", "c"),
        vms: int = 3,
        lease: conf.LeaseSection = conf.LeaseSection(),  # noqa: B008
    ) -> None:
        """Creates a deployment; it runs as an async context manager.

        Args:
            groups: Server groups.
            zones: Availability zones.
            vms: Number of entry VMs, distributed over the zones.
            lease: Intervals of the lease protocol, for each VM.
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
        """Starts the platform, then the servers, then the entry VMs."""
        await self._start_platform()
        for spec in self._groups:
            await self._start_group(spec)
        for zone in self._zones:
            self.put(schemas.AvailabilityZone(zone))
        all_settings = [self._create_settings(i) for i in range(self._vm_count)]
        for settings in all_settings:
            self.put(
                schemas.Vm(
                    settings.vm.name,
                    settings.vm.availability_zone,
                    _HOST,
                    settings.router.peer_port,
                    settings.keeper.port,
                    status_port=settings.keeper.status_port,
                )
            )
        for settings in all_settings:
            await self.start_vm(settings)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops all of them in reverse order."""
        await self._stack.aclose()

    def put(self, value: schemas.ConfigObject) -> None:
        """Writes an object to the platform, whatever its current version."""
        current = self.platform.get(value.KIND, value.name)
        self.platform.write(
            value.KIND,
            value.name,
            msgspec.json.encode(value),
            0 if current is None else current.version,
            "",
        )

    def partition(self, name: str) -> schemas.Partition | None:
        """Returns the partition that the platform stores, if it exists."""
        stored = self.platform.get(schemas.Partition.KIND, name)
        if stored is None:
            return None
        return msgspec.json.decode(stored.value, type=schemas.Partition)

    def neighbours(self) -> str:
        """Returns the keeper addresses, in the form of the setting."""
        return ",".join(
            f"{_HOST}:{vm.settings.keeper.port}" for vm in self.vms.values()
        )

    async def start_vm(self, settings: conf.Settings) -> EntryVm:
        """Starts an entry VM and waits until keeper and router are ready."""
        keeper_metrics = counters.Counters()
        router_metrics = counters.Counters()
        vm = EntryVm(
            settings,
            ChildRunner(keeper.build(settings, keeper_metrics).run),
            ChildRunner(router.build(settings, router_metrics).run),
            keeper_metrics,
            router_metrics,
        )
        self.vms[settings.vm.name] = vm
        for runner in (vm.keeper, vm.router):
            self._stack.push_async_callback(runner.kill)
            await runner.start()
        return vm

    async def kill_vm(self, name: str) -> conf.Settings:
        """Kills keeper and router of an entry VM and returns its settings."""
        vm = self.vms.pop(name)
        await asyncio.gather(vm.keeper.kill(), vm.router.kill())
        return vm.settings

    async def kill_backend(self, name: str) -> None:
        """Kills a backend server and closes its connections."""
        self.backends[name].abort_connections()
        await self.backend_runners[name].kill()

    async def _start_platform(self) -> None:
        platform_task = task.PlatformTask(self.platform, _HOST, 0)
        runner = ChildRunner(platform_task.run)
        self._stack.push_async_callback(runner.stop)
        await runner.start()
        self.platform_url = platform_task.url

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
            backend_task = task.BackendTask(
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
            runner = ChildRunner(backend_task.run)
            self._stack.push_async_callback(runner.kill)
            await runner.start()
            self.backends[name] = backend_task
            self.backend_runners[name] = runner
            self.put(
                schemas.BackendServer(
                    name,
                    group.name,
                    self._zones[index % len(self._zones)],
                    _HOST,
                    backend_task.port,
                )
            )
        self.put(schemas.Selector(group.name, spec.path_prefix, group.name))

    def _create_settings(self, index: int) -> conf.Settings:
        ports = listening_ports.free_ports(6)
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
