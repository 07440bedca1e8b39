"""The store and the backend servers of a soak, which run in its process."""

import asyncio
import collections
import contextlib
import functools
import random
import time

from berylweir.platform import objects
from berylweir.soak import harmful_request
from berylweir.soak import long_bodies
from berylweir.soak import models
from berylweir.soak import odd_entries
from berylweir.soak import proxy
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin
from berylweir.standin.gateway_platform import store as store_standin

_SERVERS_PER_GROUP = 4
# Servers with faults of their own; those of the slow group have none.
FAULTY_SERVERS = 2 * _SERVERS_PER_GROUP
# Time that a server takes for a request.
_SERVICE_S = 0.02
# The same for the servers of the slow group.
_SLOW_SERVICES_S = (0.7, 1.6)
_SLOTS = 3
_SLOW_SLOTS = 32
_SLOW_TIMEOUT_MS = 4000
_IDLE_TIMEOUT_MS = 15_000
_MAX_BODY_BYTES = 1_000_000
# Time from the crash of a server until its entry lapses, and until it is back,
# in seconds.
_ENTRY_LAPSE_S = 1.0
_CRASH_DOWNTIME_S = 3.0
# Time between two copies of the store, in seconds, and their number.
_STORE_COPY_INTERVAL_S = 0.25
_MAX_STORE_COPIES = 48


class Deployment:
    """Owns the store, the servers and the proxies in front of the servers."""

    def __init__(
        self,
        find_vm: proxy.FindVm,
        *,
        has_slow_group: bool = False,
        has_long_bodies: bool = False,
    ) -> None:
        """Creates a deployment that has not started.

        Args:
            find_vm: Finds the VM that has opened a connection to a server's
                proxy.
            has_slow_group: Whether there are servers that take long for a
                request, and a route to them.
            has_long_bodies: Whether long request bodies are allowed, and
                servers send endless responses to some requests.
        """
        self._has_long_bodies = has_long_bodies
        self._find_vm = find_vm
        self._has_slow_group = has_slow_group
        # Limit and number of unused routes of the next configuration.
        self._idle_timeout_ms = _IDLE_TIMEOUT_MS
        self._extra_routes = 0
        self._idle_limits: list[models.IdleLimit] = []
        self._store = store_standin.Store()
        self._servers: list[server_standin.Server] = []
        self._server_ports: list[int] = []
        # Number of times that each server was started again.
        self._server_starts: collections.Counter[int] = collections.Counter()
        self._server_proxies: list[proxy.FaultProxy] = []
        self._crash_tasks: set[asyncio.Task[None]] = set()
        # Servers that send answers again.
        self._copying_servers: set[int] = set()
        # Servers that have crashed and aren't back.
        self._crashed_servers: set[int] = set()
        # Copies of the store with their times on the monotonic clock.
        self._store_copies: collections.deque[
            tuple[float, store_standin.StoreCopy]
        ] = collections.deque(maxlen=_MAX_STORE_COPIES)
        self._configuration_version = 0

    @property
    def store(self) -> store_standin.Store:
        """The store."""
        return self._store

    @property
    def servers(self) -> list[server_standin.Server]:
        """The backend servers."""
        return self._servers

    @property
    def server_proxies(self) -> list[proxy.FaultProxy]:
        """The proxy in front of each server."""
        return self._server_proxies

    @property
    def link_faults(self) -> dict[str, list[models.LinkDisruption]]:
        """Past faults of the connections to each server, by its name."""
        return {
            server.name: server_proxy.past_faults
            for server, server_proxy in zip(
                self._servers, self._server_proxies, strict=True
            )
        }

    @property
    def configuration_version(self) -> int:
        """Version of the newest configuration that was written."""
        return self._configuration_version

    @property
    def idle_limits(self) -> list[models.IdleLimit]:
        """Idle limit of each version of the configuration, in their order."""
        return self._idle_limits

    @property
    def lease_holder(self) -> int | None:
        """Number of the VM that holds the lease; None if none does."""
        lease = self._store.get(objects.GATEWAY_KIND, objects.LEASE_NAME)
        if lease is None or not lease["spec"]["holder"]:
            return None
        return int(lease["spec"]["holder"].removeprefix("vm-"))

    async def start(self, stack: contextlib.AsyncExitStack) -> int:
        """Starts the store and the servers until `stack` closes.

        Returns:
            The TCP port of the store.
        """
        store_port = await http.listen(stack, self._store.handle)
        await self.write_configuration()
        for number in range(FAULTY_SERVERS):
            await self._start_server(stack, number, _SERVICE_S)
        if self._has_slow_group:
            for service_s in _SLOW_SERVICES_S:
                number = len(self._servers)
                await self._start_server(stack, number, service_s)
        return store_port

    async def _start_server(
        self, stack: contextlib.AsyncExitStack, number: int, service_s: float
    ) -> None:
        server = server_standin.Server(
            f"s{number}",
            is_keyed=_group_of(number) == "keyed",
            slots=_slots_of(number),
            service_s=service_s,
        )
        server_proxy = proxy.FaultProxy(
            await http.listen(stack, server.handle), self._find_vm
        )
        if self._has_long_bodies:
            server.endless_paths = frozenset({long_bodies.ENDLESS_PATH})
        server.crashing_paths = frozenset({harmful_request.PATH})
        server.on_crash = functools.partial(self._on_crash, number)
        self._servers.append(server)
        self._server_proxies.append(server_proxy)
        self._server_ports.append(await server_proxy.listen(stack))
        await self.register_server(number)

    async def register_server(self, number: int, state: str = "ready") -> None:
        """Writes the entry of a server to the store."""
        await self._store.put(
            "servers",
            f"s{number}",
            server_standin.server_spec(
                f"s{number}",
                _group_of(number),
                self._server_ports[number],
                born_ms=1 + self._server_starts[number],
                slots=_slots_of(number),
                state=state,
            ),
        )

    async def write_configuration(self) -> None:
        """Writes a newer configuration to the store.

        It has a route `/v<version>`, by which one can tell the version that
        a gateway has in force.
        """
        self._configuration_version += 1
        self._idle_limits.append(
            models.IdleLimit(
                self._configuration_version,
                time.monotonic(),
                self._idle_timeout_ms / 1000.0,
            )
        )
        routes = [
            server_standin.route_spec("safe", "plain"),
            server_standin.route_spec("unsafe", "plain", kind="unsafe"),
            server_standin.route_spec("keyed", "keyed"),
            server_standin.route_spec(
                f"v{self._configuration_version}", "plain"
            ),
        ]
        groups = {"plain": False, "keyed": True}
        if self._has_slow_group:
            groups["slow"] = False
            routes.append(
                server_standin.route_spec(
                    "slow", "slow", timeout_ms=_SLOW_TIMEOUT_MS
                )
            )
        routes += [
            server_standin.route_spec(f"extra{number}", "plain")
            for number in range(self._extra_routes)
        ]
        new_configuration = server_standin.configuration_spec(
            groups,
            routes,
            self._configuration_version,
            idle_timeout_ms=self._idle_timeout_ms,
            max_body_bytes=(
                long_bodies.MAX_BODY_BYTES
                if self._has_long_bodies
                else _MAX_BODY_BYTES
            ),
        )
        await self._store.put("config", "main", new_configuration)

    async def change_configuration(
        self, change: models.ChangeConfiguration
    ) -> None:
        """Writes a newer configuration, and keeps its values for later ones."""
        self._idle_timeout_ms = change.idle_timeout_ms
        self._extra_routes = change.extra_routes
        await self.write_configuration()

    async def make_statement(
        self,
        fault: models.LimitServer | models.PauseServer | models.ReplaceServer,
    ) -> None:
        """Has a server say something of itself for some time."""
        server = self._servers[fault.server]
        match fault:
            case models.LimitServer(_, per_s, duration_s):
                server.limit_per_s = per_s
                await asyncio.sleep(duration_s)
                server.limit_per_s = None
            case models.PauseServer(_, pause_s, duration_s):
                server.rejection_pause_s = pause_s
                server.is_rejecting = True
                await asyncio.sleep(duration_s)
                server.is_rejecting = False
                server.rejection_pause_s = None
            case models.ReplaceServer(number, duration_s):
                if server.is_leaving:
                    return
                server.is_leaving = True
                await asyncio.sleep(duration_s)
                server.restart()
                self._server_starts[number] += 1
                await self.register_server(number)

    async def copy_answers(self, fault: models.CopyAnswers) -> None:
        """Has a server send answers again, drain and start again."""
        number = fault.server
        server = self._servers[number]
        if number in self._copying_servers:
            return
        self._copying_servers.add(number)
        rng = random.Random(repr(fault))
        server.repeats_ids = True
        server.choose_copy = lambda: rng.random() < fault.share
        server.service_s = fault.service_s
        await asyncio.sleep(fault.duration_s / 2.0)
        await self.register_server(number, "draining")
        await asyncio.sleep(fault.duration_s / 2.0)
        server.choose_copy = lambda: False
        server.service_s = _SERVICE_S
        self._copying_servers.remove(number)
        server.restart()
        self._server_starts[number] += 1
        await self.register_server(number)

    async def write_odd_entries(self, fault: models.WriteOddEntries) -> None:
        """Writes entries of another writer, and removes them later."""
        names = [f"{fault.name}-{n}" for n in range(len(fault.shapes))]
        for name, shape in zip(names, fault.shapes, strict=True):
            spec = odd_entries.build_spec(shape)
            await self._store.put(fault.kind, name, spec)
        await asyncio.sleep(fault.duration_s)
        for name in names:
            if self._store.get(fault.kind, name) is not None:
                await self._store.remove(fault.kind, name)

    async def restore_store(self, age_s: float, away_s: float) -> None:
        """Has the store come back from the newest copy of an age or more.

        The operator and the servers then write theirs again.
        """
        self._store.default_fault = store_standin.Fault.RESET
        await asyncio.sleep(away_s)
        now_s = time.monotonic()
        copies = [c for at_s, c in self._store_copies if at_s <= now_s - age_s]
        if copies:
            await self._store.restore(copies[-1])
            self._store_copies.clear()
        self._store.default_fault = None
        await self.write_configuration()
        for number in range(len(self._servers)):
            await self.register_server(number)

    async def copy_store(self) -> None:
        """Copies the store now and then, for restorations."""
        while True:
            self._store_copies.append((time.monotonic(), self._store.copy()))
            await asyncio.sleep(_STORE_COPY_INTERVAL_S)

    def _on_crash(self, number: int) -> None:
        """Ends a server, which comes back as another instance."""
        if number in self._crashed_servers:
            return
        self._crashed_servers.add(number)
        task = asyncio.create_task(self._crash_server(number))
        self._crash_tasks.add(task)
        task.add_done_callback(self._crash_tasks.discard)

    async def _crash_server(self, number: int) -> None:
        server = self._servers[number]
        server.restart()
        async with asyncio.TaskGroup() as group:
            group.create_task(
                self._server_proxies[number].refuse(_CRASH_DOWNTIME_S)
            )
            await asyncio.sleep(_ENTRY_LAPSE_S)
            if self._store.get("servers", server.name) is not None:
                await self._store.remove("servers", server.name)
        server.restart()
        self._crashed_servers.remove(number)
        self._server_starts[number] += 1
        await self.register_server(number)


def _group_of(number: int) -> str:
    """Returns the group of a server."""
    if number >= FAULTY_SERVERS:
        return "slow"
    return ("keyed", "plain")[number % 2]


def _slots_of(number: int) -> int:
    """Returns how many requests a server runs at the same time."""
    return _SLOW_SLOTS if _group_of(number) == "slow" else _SLOTS
