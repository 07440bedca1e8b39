"""Test deployment: store, servers and gateways in one process."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import contextvars
import enum
from unittest import mock

import msgspec

from berylweir.gateway import models
from berylweir.gateway import supervisor
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.peers import task as peer_task
from berylweir.gateway.replication import codec
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import settings
from berylweir.platform import store
from berylweir.router.backends import connection as http_client
from berylweir.standin import ports
from berylweir.standin.gateway_platform import hosting
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin
from berylweir.standin.gateway_platform import store as store_standin
from berylweir.supervision import models as supervision_models

HOST = "site.example"
_WAIT_TIMEOUT_S = 20.0
# Name of the gateway whose task is running.
_RUNNING_GATEWAY = contextvars.ContextVar("running_gateway", default="")

route = server_standin.route_spec


def free_port() -> int:
    """Returns a port that nothing listens on."""
    return ports.free_ports(1)[0]


async def until(
    condition: Callable[[], bool | Awaitable[bool]],
    timeout_s: float = _WAIT_TIMEOUT_S,
) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: It doesn't hold within `timeout_s`.
    """
    async with asyncio.timeout(timeout_s):
        while True:
            value = condition()
            if not isinstance(value, bool):
                value = await value
            if value:
                return
            await asyncio.sleep(0.01)


async def is_ready(address: tuple[str, int]) -> bool:
    """Returns the result of a readiness check at an address."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    try:
        writer.write(b"GET /berylweir/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
        line = await reader.readline()
    except ConnectionError:
        return False
    finally:
        writer.close()
    return b" 200 " in line


async def publish_table(gateway: "Gateway", table: dict) -> None:
    """Publishes a key table to a gateway, as the lease holder does."""
    client = peer_task.PeerClient(counters.Counters())
    environment = gateway.environment
    vm = models.Vm(
        environment.vm, "", environment.host, environment.peer_port, "a"
    )
    stored = store.build_stored_object(
        table["meta"]["name"],
        table["meta"]["rev"],
        msgspec.Raw(msgspec.json.encode(table["spec"])),
        msgspec.Raw(b"null"),
    )
    await client.ask(vm, peers.PublishTable(codec.encode_objects([stored])))
    client.close()


class Reply:
    """A response as received by a caller."""

    def __init__(
        self, status: int, headers: dict[str, str], body: bytes, is_whole: bool
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole


class Caller:
    """A caller with one connection to a gateway."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def send(
        self,
        path: str,
        request_id: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        headers: str = "",
    ) -> None:
        """Sends a request."""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: {deadline_ms}\r\n"
            f"{length}{headers}\r\n"
        )
        self.writer.write(head.encode() + body)

    async def read(self) -> Reply | None:
        """Reads a response; None if the connection ends without one."""
        try:
            raw = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        first, *lines = raw.decode("latin-1").split("\r\n")
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        status = int(first.split(" ")[1])
        try:
            if headers.get("transfer-encoding") == "chunked":
                body = b""
                while size := int(await self.reader.readline(), 16):
                    body += await self.reader.readexactly(size)
                    await self.reader.readexactly(2)
                await self.reader.readexactly(2)
            else:
                body = await self.reader.readexactly(
                    int(headers.get("content-length", 0))
                )
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return Reply(status, headers, b"", is_whole=False)
        return Reply(status, headers, body, is_whole=True)


class Cut(enum.Enum):
    """What happens to new connections of a gateway to any server."""

    REFUSED = "refused"
    SILENT = "silent"


class Gateway:
    """A gateway that runs in this process."""

    def __init__(self, environment: models.Environment) -> None:
        self.environment = environment
        self.metrics = counters.Counters()
        self._callers: list[Caller] = []
        self._stack = contextlib.AsyncExitStack()
        self._context = supervision_models.ChildContext(self._stack)
        root = supervisor.build(
            environment,
            settings.StoreAddress(environment.store_address),
            self.metrics,
            free_port(),
        )
        context = contextvars.copy_context()
        context.run(_RUNNING_GATEWAY.set, environment.vm)
        self._task = asyncio.create_task(
            root.run(self._context), context=context
        )

    async def stop(self) -> None:
        """Stops the gateway as SIGTERM does."""
        self._context.stop_event.set()
        await self._task
        await self._stack.aclose()

    async def kill(self) -> None:
        """Ends the gateway at once; it releases and announces nothing."""
        self._task.cancel()
        await asyncio.wait((self._task,))
        await self._stack.aclose()

    async def connect(self) -> Caller:
        """Opens a connection as a caller, which `disconnect` closes."""
        caller = Caller(
            *await asyncio.open_connection(*self.environment.caller_address)
        )
        self._callers.append(caller)
        return caller

    def disconnect(self) -> None:
        """Aborts the connections of all callers that are still open."""
        for caller in self._callers:
            if not caller.writer.transport.is_closing():
                caller.writer.transport.abort()
        self._callers.clear()

    async def ask(self, path: str, request_id: str, **options) -> Reply | None:
        """Sends one request on a connection of its own."""
        caller = await self.connect()
        caller.send(path, request_id, **options)
        try:
            return await caller.read()
        finally:
            caller.writer.close()

    async def is_ready(self) -> bool:
        """Returns the result of the load balancer's readiness check."""
        return await is_ready(self.environment.ready_address)


class Rig:
    """Owns the store, servers and gateways of a small deployment."""

    def __init__(self) -> None:
        self.store = store_standin.Store()
        self.servers: dict[str, server_standin.Server] = {}
        self.ports: dict[str, int] = {}
        self.gateways: list[Gateway] = []
        self._stack = contextlib.AsyncExitStack()
        self.cut_off: set[str] = set()
        self.unanswered: set[str] = set()
        self.unwritable: set[str] = set()
        self.store_calls: dict[str, list[str]] = {}
        self.connect_delay_s = 0.0
        self._cuts: dict[str, Cut] = {}
        self._connect = http_client.connect
        self._server_connections: dict[str, list[http_client.Connection]] = {}

    async def __aenter__(self) -> "Rig":
        """Makes the connections of gateways to servers subject to cuts."""
        self._stack.enter_context(
            mock.patch.object(http_client, "connect", self._connect_unless_cut)
        )
        return self

    def end_faults(self) -> None:
        """Ends the faults of the store and of grants."""
        self.store.default_fault = None
        self.store.next_faults.clear()
        for server in self.servers.values():
            server.choose_grant_delay_s = lambda: None

    def cut_from_servers(self, gateway: "Gateway", cut: Cut) -> None:
        """Cuts a gateway from all servers and ends its connections."""
        self._cuts[gateway.environment.vm] = cut
        for connection in self._server_connections.pop(
            gateway.environment.vm, []
        ):
            connection.close()

    def reconnect(self, gateway: "Gateway") -> None:
        """Ends a cut."""
        del self._cuts[gateway.environment.vm]

    async def _connect_unless_cut(
        self, host: str, port: int, timeout_s: float, **options: bool
    ) -> http_client.Connection:
        vm = _RUNNING_GATEWAY.get()
        if port not in self.ports.values():
            return await self._connect(host, port, timeout_s, **options)
        match self._cuts.get(vm):
            case Cut.REFUSED:
                raise ConnectionRefusedError
            case Cut.SILENT:
                await asyncio.sleep(timeout_s)
                raise TimeoutError
            case None:
                pass
        await asyncio.sleep(self.connect_delay_s)
        connection = await self._connect(host, port, timeout_s, **options)
        self._server_connections.setdefault(vm, []).append(connection)
        return connection

    async def __aexit__(self, *_: object) -> None:
        """Stops the gateways and servers, and disconnects all callers."""
        for gateway in self.gateways:
            gateway.disconnect()
        await asyncio.gather(*(g.kill() for g in self.gateways))
        await self._stack.aclose()

    async def configure(
        self,
        groups: dict[str, bool],
        routes: list[dict[str, object]],
        version: int = 1,
        **limits: int,
    ) -> None:
        """Writes a configuration."""
        await self.store.put(
            "config",
            "main",
            server_standin.configuration_spec(
                groups, routes, version, **limits
            ),
        )

    async def add_server(
        self, name: str, group: str, *, zone: str = "a", **options
    ) -> server_standin.Server:
        """Starts a server and writes its entry into the store."""
        server = server_standin.Server(name, **options)
        port = await http.listen(self._stack, server.handle)
        self.servers[name] = server
        self.ports[name] = port
        await self.store.put(
            "servers",
            name,
            server_standin.server_spec(name, group, port, zone=zone),
        )
        return server

    async def add_host(
        self,
        name: str,
        group: str,
        *,
        zone: str = "a",
        timing: hosting.Timing | None = None,
        crashing_paths: frozenset[str] = frozenset(),
        **options,
    ) -> hosting.ServerHost:
        """Starts a server that can end, and comes back as another one."""

        def build_server(instance: str) -> server_standin.Server:
            server = server_standin.Server(instance, **options)
            server.crashing_paths = crashing_paths
            return server

        def build_spec(instance: str, port: int) -> dict[str, object]:
            return server_standin.server_spec(instance, group, port, zone=zone)

        host = hosting.ServerHost(
            name, self.store, build_spec, build_server, timing
        )
        await host.start(self._stack)
        self.ports[name] = host.port
        return host

    async def add_gateway(
        self,
        name: str = "vm-1",
        zone: str = "a",
        memory_bytes: int = models.DEFAULT_MEMORY_BYTES,
    ) -> Gateway:
        """Starts a gateway and waits until it is ready.

        The store refuses the gateway's calls while its name is in `cut_off`,
        and doesn't answer them while it is in `unanswered`. It refuses only
        writes while the name is in `unwritable`.
        """
        calls = self.store_calls.setdefault(name, [])

        async def handle(request: http.Request) -> http.Response:
            calls.append(f"{request.method} {request.path}")
            if name in self.cut_off or (
                name in self.unwritable and request.method != "GET"
            ):
                return http.Response(503)
            response = await self.store.handle(request)
            if name in self.unanswered:
                await asyncio.sleep(3600)
            return response

        store_port = await http.listen(self._stack, handle)
        return await self._start(
            models.Environment(
                vm=name,
                host="127.0.0.1",
                availability_zone=zone,
                caller_address=("127.0.0.1", free_port()),
                ready_address=("127.0.0.1", free_port()),
                peer_port=free_port(),
                store_address=("127.0.0.1", store_port),
                bounds=models.Bounds(),
                forward_port=free_port(),
                memory_bytes=memory_bytes,
            )
        )

    async def add_other_gateway(self, name: str, handler: http.Handler) -> None:
        """Registers a gateway whose forward port is served by `handler`."""
        port = await http.listen(self._stack, handler)
        vm = models.Vm(
            name, "run", "127.0.0.1", free_port(), "a", forward_port=port
        )
        spec = msgspec.json.decode(objects.encode_vm(vm))
        await self.store.put(
            objects.GATEWAY_KIND, objects.VM_NAME_PREFIX + name, spec
        )

    async def restart(self, stopped: Gateway) -> Gateway:
        """Starts a stopped gateway again at the same addresses."""
        return await self._start(stopped.environment)

    async def _start(self, environment: models.Environment) -> Gateway:
        gateway = Gateway(environment)
        self.gateways.append(gateway)
        await until(gateway.is_ready)
        return gateway
