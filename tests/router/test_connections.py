"""Tests of reusing and retiring connections to a backend server."""

import asyncio

import pytest

from berylweir.router.backends import pool
from tests.router import rig


class TestSilentConnections:
    """Established connections that go silent while new ones work."""

    async def test_siblings_are_retired_once_a_newer_one_answers(self):
        """Guards against losing one request on each silent connection."""
        silent_streams: set[int] = set()

        async def script(stream: rig.Stream) -> None:
            while True:
                await stream.next_request()
                if stream.number in silent_streams:
                    await stream.reader.read()
                    return
                stream.respond(str(stream.number).encode())

        async with rig.Rig(script, slots=5) as harness:
            port = harness.home.port
            # The concurrency limit starts at 1, rises with completed responses
            # while it is fully used, and falls when responses become slow, as
            # on a busy machine. The requests below need the limit of 5.
            async with asyncio.timeout(rig.WAIT_S):
                while harness.concurrency_limit < 5 or len(harness.streams) < 5:
                    await asyncio.gather(
                        *(
                            rig.fetch(port, rig.request(path=f"/k/{i}"))
                            for i in range(10)
                        )
                    )
            # Frees a slot for the new connection.
            harness.streams[0].writer.close()
            silent_streams.update(range(5))
            requests = [
                asyncio.create_task(
                    rig.fetch(
                        port,
                        rig.request(
                            path=f"/k/lost-{i}",
                            berylweir_deadline_ms=str(600 + 300 * min(i, 1)),
                        ),
                    )
                )
                for i in range(4)
            ]
            await asyncio.sleep(0.1)
            fresh = await rig.fetch(port, rig.request(path="/k/fresh"))
            assert int(fresh.body) >= 5
            assert {(await o).status for o in requests} == {504}
            for number in range(4):
                response = await rig.fetch(
                    port, rig.request(path=f"/k/after-{number}")
                )
                assert int(response.body) >= 5

    async def test_idle_siblings_are_closed_at_the_timeout(self):
        """Guards against waiting for a timeout on each silent connection."""
        async with rig.Rig() as harness:
            server_port = harness.backend_port
            siblings = pool.Pool(
                rig.HOST, server_port, pool.PoolLimits(8, 300.0, 1.0)
            )
            old = [await siblings.open() for _ in range(3)]
            await asyncio.sleep(0.01)
            newer = await siblings.open()
            for idle in old[:2]:
                siblings.release(idle)
            old[2].begin(b"", is_head_request=False)
            newer.begin(rig.request(), is_head_request=False)
            await newer.read_head()
            while await newer.read_body():
                pass
            siblings.release(newer)
            old[2].expire()
            siblings.release(old[2])
            assert all(c.is_closed for c in old)
            assert not newer.is_closed
            assert siblings.open_connections == 1
            siblings.close()

    async def test_siblings_are_kept_if_no_newer_one_answers(self):
        """Guards against reconnecting all connections to a slow server."""
        async with rig.Rig() as harness:
            siblings = pool.Pool(
                rig.HOST, harness.backend_port, pool.PoolLimits(8, 300.0, 1.0)
            )
            first, second = await siblings.open(), await siblings.open()
            siblings.release(second)
            first.begin(b"", is_head_request=False)
            first.expire()
            siblings.release(first)
            assert first.is_closed
            assert not second.is_closed
            siblings.close()


class TestAge:
    """The age limit of a connection."""

    async def test_aged_connection_is_replaced(self):
        """Guards against connections that are never replaced."""
        async with rig.Rig(
            pool_limits=pool.PoolLimits(8, 0.05, 1.0)
        ) as harness:
            await rig.fetch(harness.home.port, rig.request())
            await asyncio.sleep(0.1)
            await rig.fetch(harness.home.port, rig.request())
            assert len(harness.streams) == 2
            await rig.wait_until(harness.streams[0].reader.at_eof)

    async def test_young_connection_is_used_again(self):
        """Guards against opening a new connection for each request."""
        async with rig.Rig() as harness:
            for _ in range(5):
                await rig.fetch(harness.home.port, rig.request())
            assert len(harness.streams) == 1


class TestRetirement:
    """Connections whose exchange did not complete."""

    @pytest.mark.parametrize("end", ["cancelled", "timed_out", "cut"])
    async def test_connection_is_not_used_again(self, end: str):
        """Guards against a late response that is taken for the next one."""
        arrived = asyncio.Event()

        async def script(stream: rig.Stream) -> None:
            while True:
                await stream.next_request()
                arrived.set()
                if stream.number == 0:
                    if end == "cut":
                        return
                    await stream.reader.read()
                    return
                stream.respond(b"fresh")

        async with rig.Rig(script) as harness:
            port = harness.home.port
            if end == "cancelled":
                async with rig.open_caller_connection(port) as (_, writer):
                    writer.write(rig.request())
                    await arrived.wait()
            else:
                await rig.fetch(
                    port,
                    rig.request(
                        "POST",
                        idempotency_key=rig.uuid7(),
                        berylweir_deadline_ms="200",
                    ),
                )
            await rig.wait_until(
                lambda: harness.home.count(f"router.exchange.{end}") == 1
            )
            response = await rig.fetch(port, rig.request())
            assert response.body == b"fresh"
            assert len(harness.streams) == 2


class TestPool:
    """Returning connections to a pool."""

    async def test_connection_of_another_pool_is_closed(self):
        """Guards against reusing a connection for another address."""
        async with rig.Rig() as harness:
            limits = pool.PoolLimits(8, 300.0, 1.0)
            first = pool.Pool(rig.HOST, harness.backend_port, limits)
            second = pool.Pool(rig.HOST, harness.backend_port, limits)
            connection = await first.open()
            second.release(connection)
            assert connection.is_closed
            assert second.take_idle() is None

    async def test_connection_lent_at_the_close_is_closed_on_its_return(self):
        """Guards against connections that outlive their pool."""
        async with rig.Rig() as harness:
            limits = pool.PoolLimits(8, 300.0, 1.0)
            closed = pool.Pool(rig.HOST, harness.backend_port, limits)
            connection = await closed.open()
            closed.close()
            closed.release(connection)
            assert connection.is_closed
            assert closed.open_connections == 0
