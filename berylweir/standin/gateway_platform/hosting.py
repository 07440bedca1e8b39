"""Runs stand-ins of servers that end, and come back as other instances."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses

from berylweir.standin import ports
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin
from berylweir.standin.gateway_platform import store as store_standin


@dataclasses.dataclass(frozen=True, slots=True)
class Timing:
    """How a server ends and comes back.

    Attributes:
        lapse_s: Time from its end until its entry lapses, in seconds.
        restart_s: Time from its end until its next start, in seconds.
    """

    lapse_s: float = 1.0
    restart_s: float = 3.0


class ServerHost:
    """Runs one instance of a server after the other at one address.

    While none runs, connections to the address are refused.
    """

    def __init__(
        self,
        name: str,
        store: store_standin.Store,
        build_spec: Callable[[str, int], dict[str, object]],
        build_server: Callable[[str], server_standin.Server],
        timing: Timing | None = None,
    ) -> None:
        """Creates a host that runs nothing yet.

        Args:
            name: Prefix of the ids of the instances.
            store: Store in which each instance has an entry.
            build_spec: Returns the entry of an instance by its id and port.
            build_server: Returns a new instance by its id.
            timing: How the server ends and comes back.
        """
        self._name = name
        self._store = store
        self._build_spec = build_spec
        self._build_server = build_server
        self._timing = timing or Timing()
        self._instances: list[server_standin.Server] = []
        self._port = ports.free_ports(1)[0]
        self._ended = asyncio.Event()
        self._instance_stack = contextlib.AsyncExitStack()
        self._is_up = False

    @property
    def instances(self) -> list[server_standin.Server]:
        """All instances so far, the oldest first."""
        return self._instances

    @property
    def port(self) -> int:
        """TCP port of all instances."""
        return self._port

    @property
    def is_up(self) -> bool:
        """Whether an instance runs."""
        return self._is_up

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts the first instance; the last one ends with `stack`."""
        await self._start_instance()
        task = asyncio.create_task(self._run())

        async def stop() -> None:
            task.cancel()
            await asyncio.wait((task,))
            await self._instance_stack.aclose()

        stack.push_async_callback(stop)

    def end(self) -> None:
        """Ends the instance at once; its connections are reset."""
        self._ended.set()

    async def _run(self) -> None:
        while True:
            await self._ended.wait()
            self._is_up = False
            await self._instance_stack.aclose()
            await asyncio.sleep(self._timing.lapse_s)
            await self._store.remove("servers", self._instances[-1].name)
            await asyncio.sleep(self._timing.restart_s - self._timing.lapse_s)
            await self._start_instance()

    async def _start_instance(self) -> None:
        name = f"{self._name}.{len(self._instances)}"
        server = self._build_server(name)
        server.on_crash = self.end
        self._instances.append(server)
        self._ended.clear()
        await http.listen(self._instance_stack, server.handle, self._port)
        self._is_up = True
        await self._store.put(
            "servers", name, self._build_spec(name, self._port)
        )
