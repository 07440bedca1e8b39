"""Tests of the record of requests that get no answer."""

import asyncio
import contextlib

from tests.gateway import rig

_SLOW_S = 5.0


@contextlib.asynccontextmanager
async def start_deployment():
    """Starts a gateway, with a slow server and one that responds at once.

    Yields:
        The gateway and a connection to it.
    """
    async with rig.Rig() as deployment:
        await deployment.configure(
            {"slow": False, "fast": False},
            [rig.route("slow", "slow"), rig.route("fast", "fast")],
        )
        await deployment.add_server("s0", "slow", service_s=_SLOW_S)
        await deployment.add_server("s1", "fast", service_s=0.0)
        gateway = await deployment.add_gateway()
        caller = await gateway.connect()
        with contextlib.closing(caller.writer):
            yield deployment, gateway, caller


def unanswered(gateway: rig.Gateway) -> dict[str, int]:
    """Returns the counts of requests without an answer."""
    prefix = "gateway.unanswered."
    return {
        name.removeprefix(prefix): count
        for name, count in gateway.metrics.counts.items()
        if name.startswith(prefix)
    }


class TestUnanswered:
    """Requests whose connection ends before their answer."""

    async def test_caller_that_leaves_is_recorded_for_each_request(
        self, caplog
    ):
        """Guards against requests whose end is logged nowhere."""
        caplog.set_level("INFO")
        async with start_deployment() as (deployment, gateway, caller):
            caller.send("/slow/1", "a1")
            caller.send("/fast/1", "a2")
            caller.send("/slow/2", "a3", headers="Content-Length: 9\r\n")
            await rig.until(lambda: bool(deployment.servers["s1"].executions))
            await asyncio.sleep(0.3)
            caller.writer.close()
            await rig.until(lambda: len(unanswered(gateway)) == 3)
            assert unanswered(gateway) == {
                "caller_running": 1,
                "caller_ready": 1,
                "caller_receiving": 1,
            }
        lines = [r for r in caplog.records if r.message == "unanswered"]
        assert [(r.request, r.requests_ahead) for r in lines] == [
            ("a1", 0),
            ("a2", 1),
            ("a3", 2),
        ]
        (abandoned,) = (r for r in caplog.records if r.message == "abandoned")
        assert (abandoned.request, abandoned.sent_to) == ("a1", "s0")

    async def test_caller_that_leaves_late_in_a_stop_is_recorded(self):
        """Guards against blaming the gateway for a caller that left."""
        async with start_deployment() as (deployment, gateway, caller):
            stop_task = asyncio.create_task(gateway.stop())
            await asyncio.sleep(2.0)
            caller.send("/slow/1", "a1")
            caller.send("/fast/1", "a2")
            await rig.until(lambda: bool(deployment.servers["s1"].executions))
            await asyncio.sleep(1.2)
            caller.writer.close()
            await rig.until(lambda: len(unanswered(gateway)) == 2)
            assert unanswered(gateway) == {
                "caller_running": 1,
                "caller_ready": 1,
            }
            await stop_task

    async def test_request_behind_the_last_answer_is_recorded(self):
        """Guards against dropping a request without a trace."""
        async with start_deployment() as (deployment, gateway, caller):
            caller.send("/slow/1", "a1", deadline_ms=900)
            await rig.until(lambda: bool(deployment.servers["s0"].executions))
            stop_task = asyncio.create_task(gateway.stop())
            reply = await caller.read()
            assert reply.headers["connection"] == "close"
            caller.send("/fast/2", "a2")
            await rig.until(lambda: bool(unanswered(gateway)))
            assert unanswered(gateway) == {"gateway_crossed_close": 1}
            caller.writer.close()
            await stop_task

    async def test_request_that_crosses_an_idle_close_is_not_received(self):
        """Guards against receiving a request that can't be answered.

        The caller may send it again whatever it asks for, since this gateway
        hasn't received it.
        """
        async with start_deployment() as (_, gateway, caller):
            caller.send("/fast/1", "a1")
            assert (await caller.read()).status == 200
            stop_task = asyncio.create_task(gateway.stop())
            assert await caller.reader.read() == b""
            caller.send("/fast/2", "a2")
            await stop_task
            counts = gateway.metrics.counts
            assert counts.get("gateway.closed_unread") == 1
            assert unanswered(gateway) == {}
