"""Test harness: two routers and a scripted backend server on real sockets."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import time
import uuid

from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.peers import messages as peers
from berylweir.router import messages
from berylweir.router.admission import models as admission
from berylweir.router.backends import home
from berylweir.router.backends import peers as peer_pools
from berylweir.router.backends import pool
from berylweir.router.ingress import forwarding
from berylweir.router.ingress import models
from berylweir.router.ingress import task as ingress_task
from berylweir.router.table import decisions as table
from berylweir.router.table import task as table_task
from berylweir.standin import deployment
from berylweir.supervision import mailbox
from tests import listening

HOST = "127.0.0.1"
WAIT_S = 10.0
SERVER = "k-0"


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response read from a socket."""

    start_line: str
    fields: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status code of a response."""
        return int(self.start_line.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start_line, *rest = lines.rstrip().split("\r\n")
    fields = {}
    for line in rest:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    return Message(start_line, fields, b"")


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a whole message.

    Raises:
        IncompleteReadError: If the connection ends before.
    """
    message = await read_head(reader)
    if "chunked" in message.fields.get("transfer-encoding", ""):
        while size := int(await reader.readuntil(b"\r\n"), 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        length = int(message.fields.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    return message


class Stream:
    """A connection that the backend server has accepted."""

    def __init__(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.number = number
        self.reader = reader
        self.writer = writer

    async def next_request(self) -> Message:
        """Reads a whole request."""
        return await read_message(self.reader)

    def respond(
        self, body: bytes = b"", status: str = "200 OK", extra: str = ""
    ) -> None:
        """Sends a response with a Content-Length."""
        self.writer.write(
            f"HTTP/1.1 {status}\r\n{extra}"
            f"content-length: {len(body)}\r\n\r\n".encode()
            + body
        )


Script = Callable[[Stream], Awaitable[None]]


async def echo(stream: Stream) -> None:
    """Responds to each request with its target as the body."""
    while True:
        request = await stream.next_request()
        stream.respond(request.start_line.split()[1].encode())


class Vm:
    """The ingress and the two listeners of one router, without a keeper."""

    def __init__(
        self, name: str, limits: models.Limits, pool_limits: pool.PoolLimits
    ) -> None:
        self.metrics = counters.Counters()
        self.peers = peer_pools.PeerPools(pool_limits)
        self.ingress = forwarding.Ingress(
            name, limits, self.peers, self.metrics
        )
        callers = ingress_task.CallerHandler(self.ingress, self.metrics)
        self.callers = self._create_listener(callers.serve, limits)
        self.peer_listener = self._create_listener(
            self.ingress.serve_peer, limits
        )
        self.runner = deployment.ChildRunner(self.callers.run)
        self.peer_runner = deployment.ChildRunner(self.peer_listener.run)
        self.limits = limits
        self.pool_limits = pool_limits

    def _create_listener(
        self, serve, limits: models.Limits
    ) -> ingress_task.ListenerTask:
        return ingress_task.ListenerTask(
            serve, HOST, 0, self.ingress, limits, WAIT_S, self.metrics
        )

    @property
    def port(self) -> int:
        """TCP port for callers."""
        return self.callers.port

    def count(self, name: str) -> int:
        """Returns a counter of this router."""
        return self.metrics.counts.get(name, 0)


class Rig:
    """An entry router, a home router and one scripted backend server."""

    def __init__(
        self,
        script: Script = echo,
        *,
        limits: models.Limits = models.Limits(),  # noqa: B008
        slots: int = 8,
        pool_limits: pool.PoolLimits = pool.PoolLimits(64, 300.0, 1.0),  # noqa: B008
    ) -> None:
        self.streams: list[Stream] = []
        self._script = script
        self._slots = slots
        self._stack = contextlib.AsyncExitStack()
        self.home = Vm("home", limits, pool_limits)
        self.entry = Vm("entry", limits, pool_limits)
        self.home_task: home.HomeTask | None = None
        self.home_runner: deployment.ChildRunner | None = None
        self.backend_port = 0

    async def __aenter__(self) -> "Rig":
        """Starts everything."""
        self.backend_port = await self._stack.enter_async_context(
            listening.listen(self._accept)
        )
        for vm in (self.home, self.entry):
            self._stack.callback(vm.peers.close)
            for runner in (vm.runner, vm.peer_runner):
                await runner.start()
                self._stack.push_async_callback(runner.kill)
        await self._start_home(self.backend_port)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops everything."""
        await self._stack.aclose()

    @property
    def concurrency_limit(self) -> int:
        """How many requests the home lets the server run; 0 before it may."""
        server = self.home_task._state.servers.get(SERVER)
        return 0 if server is None else server.limit

    def vm(self, hops: int) -> Vm:
        """Returns the router that serves a request with one or two hops."""
        return self.home if hops == 1 else self.entry

    async def _start_home(self, port: int) -> None:
        group = schemas.ServerGroup(
            "k", schemas.Keyed(slices=2), slots=self._slots
        )
        server = schemas.BackendServer(SERVER, "k", "a", HOST, port)
        update = peers.TableUpdate(
            1,
            (group,),
            (server,),
            (),
            (schemas.Selector("k", "/k/", "k"),),
            (
                schemas.Vm("home", "a", HOST, self.home.peer_listener.port, 1),
                schemas.Vm(
                    "entry", "a", HOST, self.entry.peer_listener.port, 1
                ),
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
                        slices=(schemas.Owned(SERVER, 1),) * 2,
                        homes={SERVER: "home"},
                    ),
                ),
            ),
        )
        inbox: mailbox.Mailbox[messages.HomeMessage] = mailbox.Mailbox(
            "home", 1024
        )
        self.home_task = home.HomeTask(
            admission.Limits("k", self._slots, clock_skew_s=0.001),
            self.home.pool_limits,
            inbox,
            lambda _: None,
            self.home.metrics,
        )
        self.home_runner = deployment.ChildRunner(self.home_task.run)
        await self.home_runner.start()
        self._stack.push_async_callback(self.home_runner.kill)
        # Ids contain their creation time in whole milliseconds. The home must
        # have started before, or it doesn't run the requests.
        await asyncio.sleep(0.005)
        authority = admission.Authority(
            SERVER,
            "i",
            time.monotonic() + 3600.0,
            {0: 1, 1: 1},
            time.time() - 100.0,
        )
        inbox.post(messages.Authorities(group, ((server, authority),)))
        routing_table = table.build(update)
        self.home.ingress.set_routing(
            table_task.RoutingSnapshot(
                routing_table, {"k": inbox}, {"k": (SERVER,)}
            )
        )
        self.entry.ingress.set_routing(
            table_task.RoutingSnapshot(routing_table, {}, {})
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        stream = Stream(len(self.streams), reader, writer)
        self.streams.append(stream)
        await self._script(stream)


def request(
    method: str = "GET", path: str = "/k/x", body: bytes = b"", **fields: str
) -> bytes:
    """Returns a request with a key; underscores in names become hyphens."""
    fields = {"host": "test", "berylweir_key": "a", **fields}
    if body:
        fields["content_length"] = str(len(body))
    lines = "".join(
        f"{n.replace('_', '-')}: {v}\r\n" for n, v in fields.items() if v
    )
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


FRESH_ID = "{fresh-id}"


def uuid7() -> str:
    """Returns a version 7 UUID created now."""
    value = (int(time.time() * 1000) << 80) | (uuid.uuid4().int >> 48)
    value = (value & ~(0xF << 76)) | (7 << 76)
    value = (value & ~(0x3 << 62)) | (2 << 62)
    return str(uuid.UUID(int=value))


@contextlib.asynccontextmanager
async def open_caller_connection(port: int):
    """Opens a connection as a caller, and aborts it at the end."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def fetch(port: int, data: bytes, *, eof: bool = False) -> Message:
    """Sends bytes on a new connection and returns the response.

    `FRESH_ID` is replaced by an id created now. A home doesn't run ids created
    before it started, and some tests build their requests before that.
    """
    data = data.replace(FRESH_ID.encode(), uuid7().encode())
    async with (
        asyncio.timeout(WAIT_S),
        open_caller_connection(port) as (reader, writer),
    ):
        writer.write(data)
        if eof:
            writer.write_eof()
        return await read_message(reader)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds.

    Raises:
        TimeoutError: If it doesn't hold within `WAIT_S`.
    """
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.005)


@dataclasses.dataclass(slots=True)
class BufferMaximum:
    """The largest number of bytes that one kind of buffer held in a sample."""

    max_bytes: int = 0


@contextlib.asynccontextmanager
async def sample_buffers(harness: Rig):
    """Samples the buffers of both routers every 2 ms."""
    maximum = BufferMaximum()

    async def sample() -> None:
        while True:
            for vm in (harness.home, harness.entry):
                maximum.max_bytes = max(
                    maximum.max_bytes,
                    vm.callers.buffered_bytes,
                    vm.peer_listener.buffered_bytes,
                    vm.peers.buffered_bytes,
                    sum(
                        p.buffered_bytes
                        for p in harness.home_task._pools.values()
                    ),
                )
            await asyncio.sleep(0.002)

    sampling = asyncio.create_task(sample())
    try:
        yield maximum
    finally:
        sampling.cancel()
