"""Tests of long request and response bodies, and of the memory they use."""

import asyncio
import contextlib
import pathlib
import socket

import pytest

from berylweir.soak import gateways
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin
from tests.gateway import rig

_MB = 1_000_000
_MEMORY_LIMIT_MB = 300
# Target for the resident memory of a gateway of 300 MiB, in bytes.
_TARGET_BYTES = 150 * _MB
_DEADLINE_MS = 8000
_SLOW_CALLERS = 100
_SEALED = {"Response-Seal": "x", "Server-Load": "0,0,1000,100"}
# Memory of a gateway whose bodies may use 1 MiB.
_SMALL_MEMORY_BYTES = 4 * 2**20
_MAX_STALLED_STREAMS = 40


def held_bytes(gateway: rig.Gateway) -> float:
    """Returns the memory that the bodies at a gateway use."""
    return gateway.metrics.gauges.get("gateway.body_memory.held_bytes", 0)


@contextlib.asynccontextmanager
async def start_small(kind: str = "safe"):
    """Starts a gateway with little memory for bodies, and two servers."""
    async with rig.Rig() as deployment:
        await deployment.configure(
            {"g": False}, [rig.route("r", "g", kind=kind, timeout_ms=5000)]
        )
        for name in ("s0", "s1"):
            await deployment.add_server(name, "g", service_s=0.0, slots=50)
        yield (
            deployment,
            await deployment.add_gateway(memory_bytes=_SMALL_MEMORY_BYTES),
        )


def respond(deployment: rig.Rig, response: http.Response, count: int) -> None:
    """Has each server send a response to its next requests."""
    for server in deployment.servers.values():
        server.next_responses.extend([response] * count)


@contextlib.asynccontextmanager
async def open_slow_caller(port: int):
    """Opens a connection of a caller with a small window."""
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, ("127.0.0.1", port))
        yield connection


async def send_slowly(port: int, request_id: str) -> None:
    """Sends a request, and reads its response at 16 kB/s."""
    loop = asyncio.get_running_loop()
    async with open_slow_caller(port) as connection:
        request = (
            f"GET /r/1 HTTP/1.1\r\nHost: {rig.HOST}\r\n"
            f"Request-Id: {request_id}\r\nDeadline-Ms: {_DEADLINE_MS}\r\n\r\n"
        )
        await loop.sock_sendall(connection, request.encode())
        while await loop.sock_recv(connection, 4000):
            await asyncio.sleep(0.25)


@contextlib.asynccontextmanager
async def start_program(directory: pathlib.Path, handler: http.Handler):
    """Starts the gateway program with a server that `handler` plays."""
    async with contextlib.AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(rig.Rig())
        configuration = server_standin.configuration_spec(
            {"g": False}, [rig.route("r", "g", timeout_ms=_DEADLINE_MS)]
        )
        configuration["limits"]["maxBodyBytes"] = 64 * 2**20
        await deployment.store.put("config", "main", configuration)
        port = await http.listen(stack, handler)
        await deployment.store.put(
            "servers",
            "s0",
            server_standin.server_spec("s0", "g", port, slots=1000),
        )
        store_port = await http.listen(stack, deployment.store.handle)
        gateway = gateways.Gateway(
            0, store_port, directory, memory_mb=_MEMORY_LIMIT_MB
        )
        await gateway.start(stack)
        await rig.until(gateway.is_ready)
        yield gateway


def send_head(
    caller: rig.Caller,
    framing: str,
    request_id: str = "a1",
    deadline_ms: int = 2000,
) -> None:
    """Sends the head of a request whose body the test sends.

    Args:
        caller: The caller.
        framing: Header that says where the body ends.
        request_id: Id of the request.
        deadline_ms: Time that the caller waits, in ms.
    """
    caller.send(
        "/r/1",
        request_id,
        method="POST",
        deadline_ms=deadline_ms,
        headers=framing,
    )


def peak_memory_bytes(pid: int) -> int:
    """Returns the peak resident memory of a process."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    line = next(x for x in text.splitlines() if x.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024


class TestMemory:
    """Resident memory of a real process."""

    async def test_endless_responses(self, tmp_path):
        """Guards against a faulty server that uses up the memory of a VM."""

        async def handle(request: http.Request) -> http.Response:
            headers = {"Request-Id": request.headers["request-id"], **_SEALED}
            return http.Response(200, headers, bytes(65_536), repeats_body=True)

        async with start_program(tmp_path, handle) as gateway:
            tasks = [
                asyncio.create_task(send_slowly(gateway.port, f"q{n}"))
                for n in range(_SLOW_CALLERS)
            ]
            await asyncio.sleep(6.0)
            peak_bytes = peak_memory_bytes(gateway.pid)
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
        assert peak_bytes <= _TARGET_BYTES

    async def test_long_uploads(self, tmp_path):
        """Guards against callers whose request bodies end the process."""

        async def handle(request: http.Request) -> http.Response:
            headers = {"Request-Id": request.headers["request-id"], **_SEALED}
            return http.Response(200, headers, b"ok")

        async with start_program(tmp_path, handle) as gateway:
            replies = await asyncio.gather(
                *(upload(gateway.port, f"q{n}", 64 * 2**20) for n in range(5))
            )
            peak_bytes = peak_memory_bytes(gateway.pid)
        assert peak_bytes <= _TARGET_BYTES
        assert [r.status for r in replies].count(200) >= 1
        for reply in replies:
            if reply.status != 200:
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) > 0


async def upload(port: int, request_id: str, size_bytes: int) -> rig.Reply:
    """Sends a request with a body until it is answered."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    caller = rig.Caller(reader, writer)
    answer = asyncio.create_task(caller.read())
    try:
        send_head(
            caller,
            f"Content-Length: {size_bytes}\r\n",
            request_id=request_id,
            deadline_ms=_DEADLINE_MS,
        )
        part = bytes(65_536)
        for _ in range(size_bytes // len(part)):
            if answer.done():
                break
            writer.write(part)
            await writer.drain()
        return await answer
    finally:
        writer.transport.abort()


class TestResponses:
    """Responses that are larger than the memory for bodies."""

    async def test_responses_without_memory_are_streamed(self):
        """Guards against responses that fail as there is no memory."""
        async with start_small() as (deployment, gateway):
            body = bytes(range(256)) * 2000
            respond(deployment, http.Response(200, _SEALED, body), 8)
            replies = await asyncio.gather(
                *(gateway.ask("/r/1", f"a{n}") for n in range(8))
            )
            assert [(r.status, r.body == body) for r in replies] == (
                [(200, True)] * 8
            )
            counts = gateway.metrics.counts
            assert counts["gateway.body_memory.unheld"] > 0
            await rig.until(lambda: held_bytes(gateway) == 0)

    async def test_slow_callers_of_one_server_leave_memory_for_others(self):
        """Guards against one server whose responses use up all memory."""
        async with rig.Rig() as deployment:
            await deployment.configure(
                {"slow": False, "sound": False},
                [
                    rig.route("r", "slow", timeout_ms=5000),
                    rig.route("s", "sound", timeout_ms=5000),
                ],
            )
            slow = await deployment.add_server("s0", "slow", slots=50)
            await deployment.store.put(
                "servers",
                "s0",
                server_standin.server_spec(
                    "s0", "slow", deployment.ports["s0"], slots=50
                ),
            )
            await deployment.add_server("s1", "sound", service_s=0.0)
            endless = http.Response(
                200, _SEALED, bytes(65_536), repeats_body=True
            )
            gateway = await deployment.add_gateway(
                memory_bytes=_SMALL_MEMORY_BYTES
            )
            slow.next_responses.extend([endless] * _MAX_STALLED_STREAMS)
            port = gateway.environment.caller_address[1]
            tasks: list[asyncio.Task[None]] = []
            # How much of a stream is held depends on the buffers of the kernel.
            while held_bytes(gateway) <= 2**18:
                assert len(tasks) < _MAX_STALLED_STREAMS
                tasks.append(
                    asyncio.create_task(send_slowly(port, f"q{len(tasks)}"))
                )
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.0)
            assert held_bytes(gateway) <= 2**20
            unheld = gateway.metrics.counts["gateway.body_memory.unheld"]
            body = bytes(100_000)
            deployment.servers["s1"].next_responses.append(
                http.Response(200, _SEALED, body)
            )
            reply = await gateway.ask("/s/1", "a1", deadline_ms=4000)
            assert (reply.status, reply.body) == (200, body)
            counts = gateway.metrics.counts
            assert counts["gateway.body_memory.unheld"] == unheld
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)
            await rig.until(lambda: held_bytes(gateway) == 0)

    async def test_answer_that_is_dropped_frees_its_memory(self):
        """Guards against memory and connections of callers that have left.

        The answer waits behind an earlier one when the caller leaves, so its
        body is never begun to be written.
        """
        async with start_small() as (deployment, gateway):
            respond(
                deployment,
                http.Response(200, _SEALED, bytes(65_536), repeats_body=True),
                2,
            )
            port = gateway.environment.caller_address[1]
            async with open_slow_caller(port) as connection:
                for request_id in ("a1", "a2"):
                    await asyncio.get_running_loop().sock_sendall(
                        connection,
                        (
                            f"GET /r/1 HTTP/1.1\r\nHost: {rig.HOST}\r\n"
                            f"Request-Id: {request_id}\r\n"
                            "Deadline-Ms: 8000\r\n\r\n"
                        ).encode(),
                    )
                await rig.until(
                    lambda: (
                        gateway.metrics.counts.get("gateway.answered.200", 0)
                        == 2
                    )
                )
                assert held_bytes(gateway) > 0
            await rig.until(lambda: held_bytes(gateway) == 0)


class TestRequests:
    """Request bodies that are larger than the memory for bodies."""

    async def test_body_without_memory_is_rejected_at_once(self):
        """Guards against a caller that waits for what can't be served."""
        async with start_small("unsafe") as (deployment, gateway):
            caller = await gateway.connect()
            send_head(caller, "Content-Length: 1000000\r\n")
            reply = await caller.read()
            assert (reply.status, reply.is_whole) == (503, True)
            assert reply.headers["request-id"] == "a1"
            assert float(reply.headers["retry-after"]) > 0
            assert reply.headers["connection"] == "close"
            caller.writer.close()
            counts = gateway.metrics.counts
            assert counts["gateway.body_memory.rejected"] == 1
            assert not any(s.executions for s in deployment.servers.values())
            reply = await gateway.ask("/r/1", "a2", method="POST", body=b"x")
            assert reply.status == 200
            assert held_bytes(gateway) == 0

    async def test_body_in_chunks_without_memory_is_rejected(self):
        """Guards against a body without a stated length, or without end."""
        async with start_small("unsafe") as (deployment, gateway):
            caller = await gateway.connect()
            send_head(caller, "Transfer-Encoding: chunked\r\n")
            answer = asyncio.create_task(caller.read())
            while not answer.done():
                caller.writer.write(b"10000\r\n" + bytes(65_536) + b"\r\n")
                await asyncio.sleep(0.01)
            assert (await answer).status == 503
            caller.writer.close()
            assert not any(s.executions for s in deployment.servers.values())
            await rig.until(lambda: held_bytes(gateway) == 0)

    @pytest.mark.parametrize("size", [0, 1, 100_000])
    async def test_memory_is_free_after_the_answer(self, size):
        """Guards against memory that requests keep."""
        async with start_small("unsafe") as (_, gateway):
            for number in range(20):
                reply = await gateway.ask(
                    "/r/1", f"a{number}", method="POST", body=bytes(size)
                )
                assert reply.status == 200
            assert held_bytes(gateway) == 0

    async def test_caller_that_leaves_frees_its_memory(self):
        """Guards against memory of bodies that never arrive."""
        async with start_small("unsafe") as (_, gateway):
            caller = await gateway.connect()
            send_head(caller, "Content-Length: 500000\r\n")
            await rig.until(lambda: held_bytes(gateway) == 500_000)
            caller.writer.transport.abort()
            await rig.until(lambda: held_bytes(gateway) == 0)

    async def test_body_that_arrives_later_than_the_deadline(self):
        """Guards against a body that arrives slowly and keeps its memory."""
        async with start_small("unsafe") as (deployment, gateway):
            caller = await gateway.connect()
            send_head(caller, "Content-Length: 500000\r\n", deadline_ms=500)
            answer = asyncio.create_task(caller.read())
            while not answer.done():
                caller.writer.write(b"x")
                await asyncio.sleep(0.1)
            assert (await answer).status == 408
            caller.writer.close()
            assert not any(s.executions for s in deployment.servers.values())
            assert held_bytes(gateway) == 0
