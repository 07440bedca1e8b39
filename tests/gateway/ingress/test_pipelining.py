"""Tests of pipelined requests behind one that has no answer yet."""

import asyncio
import contextlib

from berylweir.gateway.ingress import models as ingress
from berylweir.gateway.ingress import task as ingress_task
from tests.gateway import rig

_SLOW_S = 3.0
# Deadlines of callers, in milliseconds.
_LONG_MS = 6000
_MIDDLE_MS = 4000
_SHORT_MS = 900


@contextlib.asynccontextmanager
async def open_connection(kind: str = "safe"):
    """Starts a slow and a fast server behind a gateway.

    Args:
        kind: What may be repeated of the route to the slow server.

    Yields:
        The deployment, the gateway and a connection to it.
    """
    async with rig.Rig() as deployment:
        await deployment.configure(
            {"slow": False, "fast": False},
            [
                rig.route("slow", "slow", kind=kind, timeout_ms=_LONG_MS),
                rig.route("fast", "fast", timeout_ms=_LONG_MS),
            ],
        )
        await deployment.add_server("s0", "slow", service_s=_SLOW_S)
        await deployment.add_server("s1", "fast", service_s=0.0)
        gateway = await deployment.add_gateway()
        caller = await gateway.connect()
        with contextlib.closing(caller.writer):
            yield deployment, gateway, caller


async def read_until(caller: rig.Caller, timeout_s: float) -> list[rig.Reply]:
    """Returns the answers that a caller gets before it leaves."""
    replies = []
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            while reply := await caller.read():
                replies.append(reply)
    return replies


class TestPipelining:
    """Answers that are ready while the oldest request runs."""

    async def test_ready_answers_arrive_before_the_shortest_deadline(self):
        """Guards against a caller that leaves with its answers ready."""
        async with open_connection() as (_, _, caller):
            caller.send("/slow/1", "a1", deadline_ms=_LONG_MS)
            caller.send("/fast/1", "a2", deadline_ms=_SHORT_MS)
            caller.send("/fast/2", "a3", deadline_ms=_MIDDLE_MS)
            replies = await read_until(caller, _SHORT_MS / 1000.0)
            assert [r.status for r in replies] == [504, 200, 200]

    async def test_request_is_answered_before_its_own_deadline(self):
        """Guards against a late timeout that costs the requests behind it."""
        async with open_connection() as (_, _, caller):
            caller.send("/slow/1", "a1", deadline_ms=_SHORT_MS)
            caller.send("/fast/1", "a2", deadline_ms=_MIDDLE_MS)
            replies = await read_until(caller, _SHORT_MS / 1000.0)
            assert [r.status for r in replies] == [504, 200]

    async def test_request_with_nothing_behind_it_has_its_whole_time(self):
        """Guards against answers that are given up too early."""
        async with open_connection() as (_, _, caller):
            caller.send("/slow/1", "a1", deadline_ms=_LONG_MS)
            reply = await caller.read()
            assert reply.status == 200

    async def test_request_that_may_not_be_repeated_is_not_given_up(self):
        """Guards against giving up work for the sake of other requests."""
        async with open_connection(kind="unsafe") as (deployment, _, caller):
            caller.send("/slow/1", "a1", method="POST", deadline_ms=_LONG_MS)
            caller.send("/fast/1", "a2", deadline_ms=_SHORT_MS)
            replies = [await caller.read() for _ in range(2)]
            assert [r.status for r in replies] == [200, 200]
            assert len(deployment.servers["s0"].executions) == 1

    async def test_request_at_a_server_is_not_given_up_in_a_planned_stop(self):
        """Guards against breaking off work that the stop has time for."""
        async with open_connection() as (deployment, gateway, caller):
            caller.send("/slow/1", "a1", deadline_ms=_LONG_MS)
            caller.send("/fast/1", "a2", deadline_ms=_SHORT_MS)
            await rig.until(lambda: bool(deployment.servers["s0"].executions))
            stop_task = asyncio.create_task(gateway.stop())
            replies = [await caller.read() for _ in range(2)]
            assert [r and r.status for r in replies] == [200, 200]
            caller.writer.close()
            await stop_task

    async def test_request_that_is_dropped_late_in_a_stop_counts(self):
        """Guards against a caller that leaves because of a dropped request."""
        async with rig.Rig() as deployment:
            await deployment.configure(
                {"ownerless": True, "fast": False},
                [
                    rig.route("ownerless", "ownerless", goal_ms=_LONG_MS),
                    rig.route("fast", "fast"),
                ],
            )
            await deployment.add_server("s0", "fast", service_s=0.0)
            gateway = await deployment.add_gateway()
            caller = await gateway.connect()
            stop_task = asyncio.create_task(gateway.stop())
            await asyncio.sleep(2.5)
            caller.send("/ownerless/1", "a1", headers="Shard-Key: 7\r\n")
            caller.send("/fast/1", "a2")
            await asyncio.sleep(0.6)
            caller.send("/fast/2", "a3", deadline_ms=_SHORT_MS)
            replies = await read_until(caller, _SHORT_MS / 1000.0)
            assert [r.status for r in replies] == [503, 200]
            caller.writer.close()
            await stop_task

    async def test_request_received_before_the_configuration_is_limited(
        self, monkeypatch
    ):
        """Guards against going by what wasn't known when it was received."""
        find_traits = ingress_task.Ingress._find_traits

        def know_nothing(*_) -> ingress.RequestTraits:
            monkeypatch.setattr(
                ingress_task.Ingress, "_find_traits", find_traits
            )
            return ingress.RequestTraits("", is_idempotent=False)

        monkeypatch.setattr(ingress_task.Ingress, "_find_traits", know_nothing)
        async with open_connection() as (_, _, caller):
            caller.send("/slow/1", "a1", deadline_ms=_LONG_MS)
            caller.send("/fast/1", "a2", deadline_ms=_SHORT_MS)
            replies = await read_until(caller, _SHORT_MS / 1000.0)
            assert [r.status for r in replies] == [504, 200]
