"""Measures the memory of a gateway whose servers or callers send long bodies.

A real gateway runs as a process against stand-ins of the store and the servers.
One of four servers of a group without keys is faulty, or all of them send long
responses. Callers of that group read fast or slowly; 12 callers send bookings
to another group beside them. In `uploads`, callers send five bodies of 64 MB
each at once.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import enum
import json
import pathlib
import tempfile

import defopt

from berylweir.soak import gateways
from berylweir.standin.gateway_platform import caller
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin
from berylweir.standin.gateway_platform import store as store_standin

_RESULTS = pathlib.Path(__file__).parent / "results" / "body_memory.json"
_MB = 1_000_000
_MEMORY_LIMIT_MB = 300
_BOOKING_CALLERS = 12
_BOOKING_S = 0.02
_DEADLINE_MS = 8000
_SETTLE_S = 3.0
_SERVER_SLOTS = 1000
_STALLED_BYTES = 900_000
_DOWNLOAD_BYTES = 5_000_000
_UPLOAD_BYTES = 64_000_000
_UPLOADS = 5
_PART = bytes(65_536)
# Pace of slow callers: 16 kB a second.
_SLOW_READ_BYTES = 4000
_SLOW_READ_S = 0.25


class Fault(enum.Enum):
    """What the servers of the group send."""

    # 900 kB, then a byte each 50 ms, with a length that is never reached.
    STALLED = "stalled"
    # The same in chunks.
    STALLED_CHUNKED = "stalled-chunked"
    # Chunks without end, as fast as they are read; callers read slowly.
    ENDLESS = "endless"
    # Complete responses of 5 MB from all servers; callers read slowly.
    DOWNLOADS = "downloads"
    # Short responses; callers send bodies of 64 MB.
    UPLOADS = "uploads"


@dataclasses.dataclass(slots=True)
class Measurement:
    """Result of one run.

    Attributes:
        fault: What the servers of the group send.
        callers: Callers of the group.
        peak_mb: Peak resident memory of the gateway, in MB of 10^6 bytes.
        bookings: Bookings that have ended, answered or not.
        bookings_served: Those that were answered with 200.
        statuses: Statuses of the other requests, with their numbers; 0 for
            connections that ended before the whole response.
        has_ended: Whether the process ended by itself.
    """

    fault: str
    callers: int
    peak_mb: float = 0.0
    bookings: int = 0
    bookings_served: int = 0
    statuses: dict[int, int] = dataclasses.field(default_factory=dict)
    has_ended: bool = False


class FaultyServer:
    """A server of the group, with the responses of a fault."""

    def __init__(self, name: str, fault: Fault, *, is_faulty: bool) -> None:
        """Creates a server that doesn't listen yet."""
        self._name = name
        self._fault = fault
        self._is_faulty = is_faulty

    async def listen(self, stack: contextlib.AsyncExitStack) -> int:
        """Listens on loopback; returns the port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        stack.callback(server.close)
        address: tuple[str, int] = server.sockets[0].getsockname()
        return address[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                request_id = ""
                for line in head.decode("latin-1").split("\r\n"):
                    name, _, value = line.partition(": ")
                    if name.lower() == "content-length":
                        length = int(value)
                    if name.lower() == "request-id":
                        request_id = value
                while length:
                    length -= len(await reader.read(min(length, 262_144)))
                await self._respond(writer, request_id)
        except (OSError, EOFError):
            pass  # The gateway closed the connection.
        finally:
            writer.transport.abort()

    async def _respond(
        self, writer: asyncio.StreamWriter, request_id: str
    ) -> None:
        head = (
            "HTTP/1.1 200 OK\r\nResponse-Seal: x\r\n"
            f"Request-Id: {request_id}\r\n"
            f"Server-Load: 0,0,{_SERVER_SLOTS},100\r\n"
        )
        match self._fault if self._is_faulty else None:
            case None | Fault.UPLOADS:
                writer.write(f"{head}Content-Length: 2\r\n\r\nok".encode())
            case Fault.DOWNLOADS:
                writer.write(
                    f"{head}Content-Length: {_DOWNLOAD_BYTES}\r\n\r\n".encode()
                )
                for _ in range(_DOWNLOAD_BYTES // 50_000):
                    writer.write(bytes(50_000))
                    await writer.drain()
            case Fault.STALLED:
                writer.write(f"{head}Content-Length: 950000\r\n\r\n".encode())
                writer.write(bytes(_STALLED_BYTES))
                while True:
                    writer.write(b"x")
                    await writer.drain()
                    await asyncio.sleep(0.05)
            case Fault.STALLED_CHUNKED:
                writer.write(
                    f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
                )
                for _ in range(_STALLED_BYTES // 50_000):
                    writer.write(_encode_chunk(bytes(50_000)))
                while True:
                    writer.write(_encode_chunk(b"x"))
                    await writer.drain()
                    await asyncio.sleep(0.05)
            case Fault.ENDLESS:
                writer.write(
                    f"{head}Transfer-Encoding: chunked\r\n\r\n".encode()
                )
                while True:
                    writer.write(_encode_chunk(_PART))
                    await writer.drain()
        await writer.drain()


class Experiment:
    """A deployment, its callers and what they see."""

    def __init__(self, fault: Fault, callers: int, seconds: float) -> None:
        """Prepares a run."""
        self._fault = fault
        self._seconds = seconds
        self._measurement = Measurement(fault.value, callers)
        self._number = 0

    async def run(self) -> Measurement:
        """Runs the deployment and returns what was measured."""
        async with contextlib.AsyncExitStack() as stack:
            gateway = await self._start(stack)
            await asyncio.sleep(_SETTLE_S)
            tasks = [
                asyncio.create_task(self._book(gateway.port))
                for _ in range(_BOOKING_CALLERS)
            ]
            await asyncio.sleep(0.5)
            send = (
                self._upload if self._fault is Fault.UPLOADS else self._download
            )
            tasks += [
                asyncio.create_task(send(gateway.port))
                for _ in range(self._measurement.callers)
            ]
            await asyncio.sleep(self._seconds)
            self._read_memory(gateway.pid)
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
        return self._measurement

    async def _start(
        self, stack: contextlib.AsyncExitStack
    ) -> gateways.Gateway:
        store = store_standin.Store()
        store_port = await http.listen(stack, store.handle)
        configuration = server_standin.configuration_spec(
            {"d": False, "b": False},
            [
                server_standin.route_spec(
                    "d", "d", kind="download", timeout_ms=_DEADLINE_MS
                ),
                server_standin.route_spec(
                    "u", "d", kind="unsafe", timeout_ms=_DEADLINE_MS
                ),
                server_standin.route_spec("b", "b", kind="unsafe"),
            ],
        )
        configuration["limits"] = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": _UPLOAD_BYTES,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        }
        await store.put("config", "main", configuration)
        for number in range(4):
            faulty_server = FaultyServer(
                f"d{number}",
                self._fault,
                is_faulty=number == 0 or self._fault is Fault.DOWNLOADS,
            )
            port = await faulty_server.listen(stack)
            slots = _SERVER_SLOTS if number == 0 else 3
            await store.put(
                "servers",
                f"d{number}",
                server_standin.server_spec(
                    f"d{number}", "d", port, slots=slots
                ),
            )
            booker = server_standin.Server(
                f"b{number}", service_s=_BOOKING_S, slots=12
            )
            booking_port = await http.listen(stack, booker.handle)
            await store.put(
                "servers",
                f"b{number}",
                server_standin.server_spec(
                    f"b{number}", "b", booking_port, slots=12
                ),
            )
        directory = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        gateway = gateways.Gateway(
            0, store_port, directory, memory_mb=_MEMORY_LIMIT_MB
        )
        await gateway.start(stack)
        async with asyncio.timeout(20.0):
            while not await gateway.is_ready():  # noqa: ASYNC110
                await asyncio.sleep(0.05)
        return gateway

    def _read_memory(self, pid: int) -> None:
        try:
            text = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8")
        except OSError:
            text = ""
        values = dict(
            line.split(":", 1) for line in text.splitlines() if ":" in line
        )
        self._measurement.has_ended = "VmHWM" not in values
        if "VmHWM" in values:
            kilobytes = int(values["VmHWM"].split()[0])
            self._measurement.peak_mb = round(kilobytes * 1024 / _MB, 1)

    def _next_id(self) -> str:
        self._number += 1
        return f"q{self._number}"

    async def _book(self, port: int) -> None:
        measurement = self._measurement
        while True:
            is_served = False
            request = caller.encode_request(
                "/b/x",
                self._next_id(),
                2000,
                is_repeatable=False,
                closes_connection=True,
            )
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                async with (
                    asyncio.timeout(3.0),
                    _connect(port) as (reader, writer),
                ):
                    writer.write(request)
                    response = await caller.read_response(reader)
                    is_served = response.status == 200
            measurement.bookings += 1
            measurement.bookings_served += is_served
            await asyncio.sleep(0.03)

    async def _download(self, port: int) -> None:
        is_slow = self._fault in (Fault.ENDLESS, Fault.DOWNLOADS)
        while True:
            status = 0
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                async with (
                    asyncio.timeout(_DEADLINE_MS / 1000.0),
                    _connect(port) as (reader, writer),
                ):
                    writer.write(
                        caller.encode_request(
                            "/d/x",
                            self._next_id(),
                            _DEADLINE_MS,
                            closes_connection=True,
                        )
                    )
                    status = int((await reader.readline()).split()[1])
                    while await reader.read(_SLOW_READ_BYTES):
                        if is_slow:
                            await asyncio.sleep(_SLOW_READ_S)
            self._count(status)
            await asyncio.sleep(0.2)

    async def _upload(self, port: int) -> None:
        status = 0
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with (
                asyncio.timeout(_DEADLINE_MS / 1000.0),
                _connect(port) as (reader, writer),
            ):
                writer.write(
                    f"POST /u/x HTTP/1.1\r\nHost: {caller.HOST}\r\n"
                    f"Request-Id: {self._next_id()}\r\n"
                    f"Deadline-Ms: {_DEADLINE_MS}\r\n"
                    f"Content-Length: {_UPLOAD_BYTES}\r\n\r\n".encode()
                )
                answer = asyncio.create_task(reader.readline())
                for _ in range(_UPLOAD_BYTES // 64_000):
                    if answer.done():
                        break
                    writer.write(bytes(64_000))
                    await writer.drain()
                status = int((await answer).split()[1])
        self._count(status)

    def _count(self, status: int) -> None:
        statuses = self._measurement.statuses
        statuses[status] = statuses.get(status, 0) + 1


@contextlib.asynccontextmanager
async def _connect(
    port: int,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Opens a connection, and resets it at the end."""
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", port, limit=8192
    )
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


def _encode_chunk(part: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(part), part)


_ROWS = (
    (Fault.STALLED, 400),
    (Fault.STALLED_CHUNKED, 400),
    (Fault.ENDLESS, 400),
    (Fault.ENDLESS, 100),
    (Fault.ENDLESS, 24),
    (Fault.DOWNLOADS, 100),
    (Fault.UPLOADS, _UPLOADS),
)


async def _measure(rows: list[int], seconds: float) -> list[Measurement]:
    measurements = []
    for row in rows:
        fault, callers = _ROWS[row]
        measurement = await Experiment(fault, callers, seconds).run()
        print(measurement, flush=True)
        measurements.append(measurement)
    return measurements


def run(*, rows: list[int] | None = None, seconds: float = 20.0) -> None:
    """Measures the scenarios, and writes `bench/results/body_memory.json`.

    Args:
        rows: Numbers of the scenarios, from 0; all by default.
        seconds: Length of the time with long bodies, in seconds.
    """
    measurements = asyncio.run(
        _measure(rows or list(range(len(_ROWS))), seconds)
    )
    records = [dataclasses.asdict(m) for m in measurements]
    _RESULTS.write_text(json.dumps(records, indent=1) + "\n")


if __name__ == "__main__":
    defopt.run(run)
