"""One soak from its start to its verdict."""

import asyncio
import contextlib
import logging
import pathlib
import signal
import time
import typing

from berylweir.soak import callers
from berylweir.soak import checks
from berylweir.soak import fault_schedule
from berylweir.soak import gateways
from berylweir.soak import models
from berylweir.soak import proxy
from berylweir.standin.fleet import caller
from berylweir.standin.fleet import http
from berylweir.standin.fleet import server as fleet
from berylweir.standin.fleet import store as fleet_store

_LOGGER = logging.getLogger(__name__)
_VMS = 3
_CALLERS = 4  # of each gateway
_SERVERS = 4  # of each group
_WORK_S = 0.02
# Signals that end a process until its program handles them.
_DEFAULT_ENDS = (signal.SIGTERM, signal.SIGHUP)
# Keys whose owners are compared, and the time between two looks, in seconds.
_WATCHED = (*range(0, 65_536, 4099), 65_535)
_LOOK_S = 0.01
# Time between two looks at the configuration in force, in seconds.
_PROBE_S = 0.1
# Time that such a look gives its request, in ms.
_PROBE_DEADLINE_MS = 500


class Soak:
    """Owns all parts of a small deployment and notes what breaks."""

    def __init__(
        self, seed: int, seconds: float, directory: pathlib.Path
    ) -> None:
        """Creates a soak that has not begun.

        Args:
            seed: Equal seeds bring equal faults and requests.
            seconds: Its length, in seconds.
            directory: Where settings and logs go.
        """
        self._seed = seed
        self._seconds = seconds
        self._directory = directory
        self._store = fleet_store.Store()
        self._servers: list[fleet.Server] = []
        self._ports: list[int] = []
        self._server_links: list[proxy.Link] = []
        self._store_links: list[proxy.Link] = []
        self._gateways: list[gateways.Gateway] = []
        self._stops: list[models.PlannedStop] = []
        self._killed: set[tuple[int, int]] = set()
        self._found: list[str] = []
        self._version = 0
        self._started_s = time.monotonic()

    async def run(self) -> list[str]:
        """Plays the soak; returns what broke a promise, one line each."""
        async with contextlib.AsyncExitStack() as stack:
            await self._start(stack)
            self._started_s = time.monotonic()
            sending = [
                callers.Caller(
                    f"c{gateway.vm}-{number}",
                    gateway,
                    self._started_s,
                    f"{self._seed}/{gateway.vm}/{number}",
                )
                for gateway in self._gateways
                for number in range(_CALLERS)
            ]
            async with asyncio.TaskGroup() as group:
                watches = [group.create_task(self._watch_owners())]
                for gateway in self._gateways:
                    work = self._watch_configuration(gateway)
                    watches.append(group.create_task(work))
                faults = group.create_task(self._inject())
                await asyncio.gather(
                    *(caller.run(self._seconds) for caller in sending)
                )
                await faults
                for watch in watches:
                    watch.cancel()
            exchanges = [e for caller in sending for e in caller.exchanges]
        answered = sum(e.status == 200 for e in exchanges)
        _LOGGER.info(
            "soak ended",
            extra={
                "seed": self._seed,
                "requests": len(exchanges),
                "answered": answered,
            },
        )
        if not answered:
            self._found.append("no request was answered")
        return self._found + checks.violations(
            exchanges, self._servers, self._stops, frozenset(self._killed)
        )

    async def _start(self, stack: contextlib.AsyncExitStack) -> None:
        store_port = await http.listen(stack, self._store.handle)
        await self._reconfigure()
        for number in range(2 * _SERVERS):
            group = ("keyed", "plain")[number % 2]
            server = fleet.Server(
                f"s{number}", is_keyed=group == "keyed", work_s=_WORK_S
            )
            found = proxy.Link(await http.listen(stack, server.handle))
            self._servers.append(server)
            self._server_links.append(found)
            self._ports.append(await found.listen(stack))
            await self._register(number)
        for vm in range(_VMS):
            found = proxy.Link(store_port)
            self._store_links.append(found)
            gateway = gateways.Gateway(
                vm, await found.listen(stack), self._directory
            )
            self._gateways.append(gateway)
            await gateway.start(stack)

    async def _register(self, number: int) -> None:
        group = ("keyed", "plain")[number % 2]
        await self._store.put(
            "servers",
            f"s{number}",
            fleet.entry(f"s{number}", group, self._ports[number]),
        )

    async def _reconfigure(self) -> None:
        """Writes a configuration with a route that names its version."""
        self._version += 1

        routes = [
            fleet.route("safe", "plain"),
            fleet.route("unsafe", "plain", kind="unsafe"),
            fleet.route("keyed", "keyed"),
            fleet.route(f"v{self._version}", "plain"),
        ]
        groups = {"plain": False, "keyed": True}
        found = fleet.configuration(groups, routes, self._version)
        await self._store.put("config", "main", found)

    # Faults

    async def _inject(self) -> None:
        wanted = fault_schedule.create(
            self._seed, self._seconds, _VMS, len(self._servers)
        )
        async with asyncio.TaskGroup() as group:
            for timed in wanted:
                pause_s = self._started_s + timed.at_s - time.monotonic()
                await asyncio.sleep(max(0.0, pause_s))
                _LOGGER.info("fault", extra={"fault": repr(timed.fault)})
                group.create_task(self._apply(timed.fault))

    async def _apply(self, fault: models.Fault) -> None:
        match fault:
            case models.Kill(vm, down_s):
                gateway = self._gateways[vm]
                self._killed.add((vm, gateway.run))
                await gateway.kill(down_s)
                # Another fault of the VM may have come before.
                self._killed.add((vm, gateway.run - 1))
            case models.Stop(vm):
                await self._stop(self._gateways[vm])
            case models.Freeze(vm, for_s):
                await self._gateways[vm].freeze(for_s)
            case models.Reload(vm):
                await self._gateways[vm].reload()
            case models.StoreTrouble(vm, trouble, for_s):
                links = self._store_links
                await asyncio.gather(
                    *(
                        found.disturb(trouble, for_s)
                        for number, found in enumerate(links)
                        if vm is None or vm == number
                    )
                )
            case models.ServerTrouble(server, trouble, for_s):
                await self._server_links[server].disturb(trouble, for_s)
            case models.LateWrites(count):
                self._store.faults += count * [fleet_store.Fault.APPLY_LATE]
                await asyncio.sleep(1.0)
                await self._store.apply_late_writes()
            case models.Reconfigure():
                await self._reconfigure()
            case models.Deregister(server, for_s):
                name = f"s{server}"
                if self._store.get("servers", name) is not None:
                    await self._store.remove("servers", name)
                    await asyncio.sleep(for_s)
                    await self._register(server)
            case _:
                typing.assert_never(fault)

    async def _stop(self, gateway: gateways.Gateway) -> None:
        stop = models.PlannedStop(
            gateway.vm, gateway.run, time.monotonic() - self._started_s
        )
        status = await gateway.stop()
        if gateway.run != stop.run + 1:
            return  # another fault ended that run first
        if status == 0:
            self._stops.append(stop)
        elif -status in _DEFAULT_ENDS and gateway.answered_run < stop.run:
            pass  # the interpreter had not come to the program yet
        elif (stop.vm, stop.run) not in self._killed:
            self._found.append(f"vm-{stop.vm} ended with status {status}")

    # Watches

    async def _watch_owners(self) -> None:
        while True:
            for key in _WATCHED:
                owners = [s.name for s in self._servers if s.holds(key)]
                if len(owners) > 1:
                    self._found.append(f"key {key} held by {owners}")
            await asyncio.sleep(_LOOK_S)

    async def _watch_configuration(self, gateway: gateways.Gateway) -> None:
        """Notes a configuration that goes back while a gateway runs."""
        run, seen = 0, 0
        while True:
            await asyncio.sleep(_PROBE_S)
            if gateway.run != run:
                run, seen = gateway.run, 0
            if (
                seen > 1
                and await self._has_version(gateway, seen - 1)
                and gateway.run == run
            ):
                self._found.append(
                    f"vm-{gateway.vm} went back to version {seen - 1}"
                )
            for version in range(self._version, seen, -1):
                if await self._has_version(gateway, version):
                    if gateway.run == run:
                        seen = version
                    break

    async def _has_version(
        self, gateway: gateways.Gateway, version: int
    ) -> bool:
        request = caller.encode_request(
            f"/v{version}/x",
            f"p{gateway.vm}-{time.monotonic_ns()}",
            _PROBE_DEADLINE_MS,
            closes=True,
        )
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", gateway.port
                )
                try:
                    writer.write(request)
                    answer = await caller.read_answer(reader)
                finally:
                    writer.close()
        except (OSError, TimeoutError, EOFError):
            return False  # the gateway is down or frozen
        return answer.status == 200
