"""Tests of a graceful shutdown."""

import asyncio
import socket

from tests.router import rig

_SIZE = 4_000_000
# Fits into the kernel's send buffer.
_SMALL_BODY = bytes(900_000)


async def wait_closed(port: int) -> None:
    """Waits until the port accepts no more connections."""
    while True:
        try:
            async with rig.open_caller_connection(port):
                await asyncio.sleep(0.01)
        except ConnectionError:
            return


class TestShutdown:
    """A router that is stopped while it serves requests."""

    async def test_download_ends_before_the_exit(self):
        """Guards against a shutdown that cuts a download."""
        gate = asyncio.Event()

        async def script(stream: rig.Stream) -> None:
            await stream.next_request()
            stream.writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % _SIZE
                + bytes(_SIZE // 2)
            )
            await gate.wait()
            stream.writer.write(bytes(_SIZE // 2))
            await stream.writer.drain()

        async with (
            rig.Rig(script) as harness,
            asyncio.timeout(rig.WAIT_S),
            rig.open_caller_connection(harness.home.port) as (reader, writer),
            rig.open_caller_connection(harness.home.port) as (
                idle_reader,
                idle_writer,
            ),
        ):
            vm = harness.home
            readiness_request = b"GET /readyz HTTP/1.1\r\nhost: t\r\n\r\n"
            idle_writer.write(readiness_request)
            assert (await rig.read_message(idle_reader)).status == 200
            writer.write(rig.request())
            await rig.read_head(reader)
            stopping = asyncio.create_task(vm.runner.stop())
            await rig.wait_until(lambda: not vm.ingress.is_ready)
            # Readiness fails first; new requests are still accepted for a
            # short time.
            idle_writer.write(readiness_request)
            assert (await rig.read_message(idle_reader)).status == 503
            assert vm.ingress.in_flight == 1
            # Then idle connections are closed and no new one is accepted.
            assert await idle_reader.read() == b""
            try:
                response = await rig.fetch(vm.port, rig.request())
            except ConnectionError:
                pass
            else:
                raise AssertionError(f"accepted: {response}")
            assert not stopping.done()
            gate.set()
            body = await reader.readexactly(_SIZE)
            assert len(body) == _SIZE
            await stopping

    async def test_pipelined_request_is_not_run(self):
        """Guards against dropping a request without telling the caller."""
        gate = asyncio.Event()
        runs = 0

        async def script(stream: rig.Stream) -> None:
            nonlocal runs
            while True:
                await stream.next_request()
                runs += 1
                await gate.wait()
                stream.respond(b"whole")

        async with (
            rig.Rig(script) as harness,
            asyncio.timeout(rig.WAIT_S),
            rig.open_caller_connection(harness.home.port) as (reader, writer),
        ):
            # The second request is sent before the first has a response.
            writer.write(rig.request() + rig.request())
            await rig.wait_until(lambda: runs == 1)
            stopping = asyncio.create_task(harness.home.runner.stop())
            await wait_closed(harness.home.port)
            gate.set()
            response = await rig.read_message(reader)
            assert response.body == b"whole"
            assert "connection" not in response.fields
            refusal = await rig.read_message(reader)
            assert refusal.status == 503
            assert refusal.fields["berylweir-refusal"] == "shutting-down"
            assert refusal.fields["berylweir-outcome"] == "not-run"
            # According to HTTP, requests that follow on a connection after
            # this header are not processed.
            assert refusal.fields["connection"] == "close"
            assert await reader.read() == b""
            assert runs == 1
            await stopping

    async def test_request_behind_the_last_response_does_not_cut_it_off(self):
        """Guards against a reset by a request that crosses the response."""

        async def script(stream: rig.Stream) -> None:
            await stream.next_request()
            stream.respond(_SMALL_BODY)

        loop = asyncio.get_running_loop()
        async with rig.Rig(script) as harness, asyncio.timeout(rig.WAIT_S):
            with socket.socket() as caller:
                # Most of the response waits in the kernel of the router.
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
                caller.setblocking(False)
                await loop.sock_connect(caller, (rig.HOST, harness.home.port))
                await loop.sock_sendall(caller, rig.request(connection="close"))
                await asyncio.sleep(0.3)
                await loop.sock_sendall(caller, rig.request())
                await asyncio.sleep(0.3)
                received = b""
                while part := await loop.sock_recv(caller, 65_536):
                    received += part
                assert received.endswith(b"\r\n\r\n" + _SMALL_BODY)

    async def test_request_that_was_still_arriving_is_refused(self):
        """Guards against starting requests after the listener has closed."""
        data = rig.request()
        async with (
            rig.Rig() as harness,
            asyncio.timeout(rig.WAIT_S),
            rig.open_caller_connection(harness.home.port) as (reader, writer),
        ):
            writer.write(data[:20])
            stopping = asyncio.create_task(harness.home.runner.stop())
            await wait_closed(harness.home.port)
            writer.write(data[20:])
            refusal = await rig.read_message(reader)
            assert refusal.status == 503
            assert refusal.fields["berylweir-refusal"] == "shutting-down"
            assert refusal.fields["berylweir-outcome"] == "not-run"
            assert harness.home.count("router.refused.shutting-down") == 1
            await stopping

    async def test_home_serves_other_routers_while_its_callers_end(self):
        """Guards against a home that refuses requests of other routers early.

        During its shutdown they still have no other home to send them to.
        """
        gate = asyncio.Event()

        async def script(stream: rig.Stream) -> None:
            while True:
                request = await stream.next_request()
                if request.start_line.split()[1] == "/k/hold":
                    await gate.wait()
                stream.respond(b"whole")

        async with rig.Rig(script) as harness, asyncio.timeout(rig.WAIT_S):
            # The concurrency limit starts at 1 and rises with completed
            # responses.
            for _ in range(10):
                await rig.fetch(harness.home.port, rig.request())
            held_request = asyncio.create_task(
                rig.fetch(harness.home.port, rig.request(path="/k/hold"))
            )
            await rig.wait_until(lambda: harness.home.ingress.in_flight == 1)
            stopping = asyncio.create_task(harness.home.runner.stop())
            await wait_closed(harness.home.port)
            response = await rig.fetch(harness.entry.port, rig.request())
            assert response.status == 200
            gate.set()
            assert (await held_request).body == b"whole"
            await stopping
