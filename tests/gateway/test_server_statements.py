"""Tests of servers that say that they are leaving or want a pause."""

import asyncio

import pytest

from berylweir.gateway import models
from berylweir.standin.gateway_platform import http
from tests.gateway import rig as rigs

# Time within which each keyed server must have an owner again, and the time
# until which a leaving server may get requests, in seconds.
_DRAIN_S = models.Bounds().drain_s


class TestLeavingServer:
    """Servers that say in their responses that they are leaving."""

    async def test_leaving_server_gets_requests_until_the_store_says_so(self):
        """Guards against ignoring what a leaving server says itself."""
        async with rigs.Rig() as rig:
            await rig.configure({"g": False}, [rigs.route("r", "g")])
            leaving = await rig.add_server("s1", "g")
            await rig.add_server("s2", "g")
            gateway = await rig.add_gateway()
            leaving.is_leaving = True
            for number in range(40):
                reply = await gateway.ask("/r/x", f"a{number}")
                assert reply.status == 200
                assert "server-leaving" not in reply.headers
            assert len(leaving.executions) == 1

    async def test_leaving_server_is_used_until_its_long_response_ends(self):
        """Guards against reading the statement at the end of a download."""
        async with rigs.Rig() as rig:
            await rig.configure({"g": False}, [rigs.route("r", "g")])
            leaving = await rig.add_server("s1", "g")
            headers = {
                "Request-Id": "a",
                "Response-Seal": "x",
                "Server-Leaving": "1",
            }
            leaving.next_responses = [
                http.Response(200, headers, bytes(65_536), repeats_body=True)
            ]
            gateway = await rig.add_gateway()
            caller = await gateway.connect()
            caller.send("/r/x", "a", deadline_ms=20_000)
            await caller.reader.readuntil(b"\r\n\r\n")
            other = await rig.add_server("s2", "g")

            async def is_other_used() -> bool:
                await gateway.ask("/r/x", "b")
                return bool(other.executions)

            await rigs.until(is_other_used)
            executed_before = len(leaving.executions)
            for number in range(30):
                assert (await gateway.ask("/r/x", f"c{number}")).status == 200
            assert len(leaving.executions) == executed_before
            caller.writer.close()

    async def test_keys_of_a_leaving_owner_stay_with_it(self):
        """Guards against requests for keys after the owner's time to drain."""
        async with rigs.Rig() as rig:
            await rig.configure({"slots": True}, [rigs.route("k", "slots")])
            servers = [
                await rig.add_server(f"s{n}", "slots", is_keyed=True)
                for n in range(3)
            ]
            gateways = [await rig.add_gateway(f"vm-{n}") for n in range(2)]
            keys = range(0, models.KEY_COUNT, 4099)

            def owner_of(key: int):
                owners = [s for s in servers if s.holds(key)]
                return owners[0] if len(owners) == 1 else None

            await rigs.until(lambda: all(owner_of(key) for key in keys))
            leaving = owner_of(7)
            leaving.is_leaving = True

            async def call(number: int, key: int) -> int:
                reply = await gateways[number % 2].ask(
                    f"/k/{key}", f"a{number}", headers=f"Shard-Key: {key}\r\n"
                )
                return reply.status

            first_said_s = None
            statuses = []
            loop = asyncio.get_running_loop()
            number = 0
            while first_said_s is None or loop.time() < first_said_s + 4.0:
                statuses.append(await call(number, list(keys)[number % 16]))
                number += 1
                if first_said_s is None and leaving.executions:
                    first_said_s = loop.time()
                await asyncio.sleep(0.01)
            assert first_said_s is not None
            late = [
                a
                for a in leaving.arrivals
                if a.arrived_s > first_said_s + _DRAIN_S
            ]
            assert late == []
            assert statuses.count(200) > 0.9 * len(statuses)
            assert all(owner_of(key) not in (None, leaving) for key in keys)


class TestPausedServer:
    """Servers that ask for a pause with a rejection."""

    async def test_server_gets_requests_while_it_wants_none(self):
        """Guards against ignoring the time that a server asks for."""
        async with rigs.Rig() as rig:
            await rig.configure(
                {"g": False}, [rigs.route("r", "g", attempts=1)]
            )
            server = await rig.add_server("s1", "g", slots=0)
            server.rejection_pause_s = 2.0
            gateway = await rig.add_gateway()
            replies = []
            for number in range(60):
                replies.append(await gateway.ask("/r/x", f"a{number}"))
                await asyncio.sleep(0.02)
            assert {r.status for r in replies} == {503}
            assert len(server.arrivals) == 1
            waits_s = [float(r.headers["retry-after"]) for r in replies[1:]]
            assert max(waits_s) <= 2.0
            assert waits_s == sorted(waits_s, reverse=True)

    @pytest.mark.parametrize("status", [200, 503])
    async def test_pause_is_passed_on_to_the_caller(self, status):
        """Guards against callers that wait for what only the VM must."""
        async with rigs.Rig() as rig:
            await rig.configure(
                {"g": False}, [rigs.route("r", "g", kind="unsafe")]
            )
            server = await rig.add_server("s1", "g")
            headers = {
                "Request-Id": "a",
                "Response-Seal": "x",
                "Retry-After": "30",
            }
            server.next_responses = [http.Response(status, headers, b"why")]
            gateway = await rig.add_gateway()
            reply = await gateway.ask("/r/x", "a", method="POST", body=b"x")
            assert (reply.status, reply.body) == (status, b"why")
            # With another status it isn't meant for the VM.
            expected = None if status == 503 else "30"
            assert reply.headers.get("retry-after") == expected


class TestPlacedRequests:
    """Requests that wait for a connection when their server says something."""

    def place(
        self, rig: rigs.Rig, gateway: rigs.Gateway, request_id: str
    ) -> asyncio.Task[rigs.Reply]:
        """Starts a request that gets its connection after 0.4 s."""
        rig.connect_delay_s = 0.4
        return asyncio.create_task(gateway.ask("/r/x", request_id))

    async def test_request_is_sent_in_a_pause(self):
        """Guards against requests that were placed before the pause began."""
        async with rigs.Rig() as rig:
            await rig.configure(
                {"g": False},
                [rigs.route("r", "g", attempts=1, goal_ms=1000)],
            )
            server = await rig.add_server("s1", "g", slots=0)
            server.rejection_pause_s = 2.0
            gateway = await rig.add_gateway()
            first = self.place(rig, gateway, "a1")
            await asyncio.sleep(0.3)
            assert (await self.place(rig, gateway, "a2")).status == 503
            assert (await first).status == 503
            assert [a.request_id for a in server.arrivals] == ["a1"]

    async def test_request_is_sent_beyond_a_limit(self):
        """Guards against requests without a permit of the new limit."""
        async with rigs.Rig() as rig:
            await rig.configure({"g": False}, [rigs.route("r", "g")])
            server = await rig.add_server("s1", "g", slots=20)
            server.limit_per_s = 0.0
            gateway = await rig.add_gateway()
            first = self.place(rig, gateway, "a")
            await asyncio.sleep(0.3)
            replies = await asyncio.gather(
                *(self.place(rig, gateway, f"b{n}") for n in range(6))
            )
            assert (await first).status == 200
            assert len(server.arrivals) <= 4
            assert {r.status for r in replies} == {200, 503}
