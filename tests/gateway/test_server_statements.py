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


_LEAVING = {"Request-Id": "a", "Server-Leaving": "1"}
_DUPLICATE = (
    b"HTTP/1.1 200 -\r\nRequest-Id: earlier\r\nResponse-Seal: x\r\n"
    b"Server-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
)


class TestFaultyResponses:
    """Which faulty responses say something of the server."""

    @pytest.mark.parametrize(
        ("response", "is_heeded"),
        [
            pytest.param(
                http.Response(
                    200,
                    {**_LEAVING, "Response-Seal": "x"},
                    bytes(1000),
                    is_truncated=True,
                ),
                True,
                id="broken off",
            ),
            pytest.param(http.Response(200, _LEAVING), True, id="unsigned"),
            pytest.param(http.Response(500, _LEAVING), True, id="failure"),
            pytest.param(
                http.Response(421, {**_LEAVING, "Not-Run": "1"}),
                False,
                id="another server",
            ),
            pytest.param(
                http.Response(
                    200,
                    {"Request-Id": "a", "Response-Seal": "x"},
                    trailing_bytes=_DUPLICATE,
                ),
                False,
                id="duplicate",
            ),
            pytest.param(
                http.Response(
                    200,
                    {**_LEAVING, "Response-Seal": "x"},
                    bytes(1000),
                    is_head_truncated=True,
                ),
                False,
                id="head broken off",
            ),
        ],
    )
    async def test_statement_is_heeded(self, response, is_heeded):
        """Guards against heeding another server, or not the right one."""
        async with rigs.Rig() as rig:
            await rig.configure(
                {"g": False}, [rigs.route("r", "g", attempts=1)]
            )
            server = await rig.add_server("s1", "g")
            server.next_responses = [response]
            gateway = await rig.add_gateway()
            await gateway.ask("/r/x", "a")
            for number in range(5):
                await gateway.ask("/r/x", f"b{number}")
            leaving = gateway.metrics.gauges.get("gateway.servers_leaving", 0)
            assert leaving == is_heeded


class TestGroups:
    """Statements of all servers of a group, or of half of them, at once."""

    async def ask_all(self, gateway: rigs.Gateway, count: int, **options):
        """Sends requests at intervals and returns the replies."""
        tasks = []
        for number in range(count):
            tasks.append(
                asyncio.create_task(
                    gateway.ask("/r/x", f"q{number}", **options)
                )
            )
            await asyncio.sleep(0.01)
        return await asyncio.gather(*tasks)

    async def test_key_of_a_paused_owner_is_not_refused_at_once(self):
        """Guards against callers that wait for a pause past their deadline."""
        async with rigs.Rig() as rig:
            await rig.configure(
                {"slots": True}, [rigs.route("k", "slots", attempts=1)]
            )
            owner = await rig.add_server("s1", "slots", is_keyed=True)
            gateway = await rig.add_gateway()
            key = "Shard-Key: 7\r\n"

            async def is_served() -> bool:
                reply = await gateway.ask("/k/x", "a", headers=key)
                return reply is not None and reply.status == 200

            await rigs.until(is_served)
            owner.is_rejecting = True
            owner.rejection_pause_s = 20.0
            await gateway.ask("/k/x", "b", headers=key)
            arrived = len(owner.arrivals)
            replies = [
                await gateway.ask("/k/x", f"c{n}", headers=key)
                for n in range(10)
            ]
            assert {r.status for r in replies} == {503}
            assert all(b"paused" in r.body for r in replies)
            assert min(float(r.headers["retry-after"]) for r in replies) > 5.0
            assert len(owner.arrivals) == arrived

    async def test_half_of_the_servers_pause_in_a_burst(self):
        """Guards against requests in a pause, or refused for nothing."""
        async with rigs.Rig() as rig:
            await rig.configure({"g": False}, [rigs.route("r", "g")])
            servers = [
                await rig.add_server(f"s{n}", "g", slots=20) for n in range(4)
            ]
            for server in servers[:2]:
                server.is_rejecting = True
                server.rejection_pause_s = 30.0
            gateway = await rig.add_gateway()
            replies = await self.ask_all(gateway, 100)
            assert [r.status for r in replies].count(200) >= 96
            assert all(len(s.arrivals) <= 2 for s in servers[:2])

    @pytest.mark.parametrize("limit_per_s", [0.0, 0.2])
    async def test_all_servers_are_limited(self, limit_per_s):
        """Guards against groups that get more than all their limits."""
        async with rigs.Rig() as rig:
            await rig.configure({"g": False}, [rigs.route("r", "g")])
            servers = [
                await rig.add_server(f"s{n}", "g", slots=20) for n in range(2)
            ]
            for server in servers:
                server.limit_per_s = limit_per_s
            gateway = await rig.add_gateway()
            replies = await self.ask_all(gateway, 100)
            assert {r.status for r in replies} == {200, 503}
            refused = [r for r in replies if r.status == 503]
            assert all(float(r.headers["retry-after"]) > 0 for r in refused)
            # The burst of a limit, and what was sent before it was known.
            assert all(len(s.arrivals) <= 8 for s in servers)

    async def test_enormous_limit_has_an_effect(self):
        """Guards against a limit that no load reaches but that costs some."""
        async with rigs.Rig() as rig:
            await rig.configure({"g": False}, [rigs.route("r", "g")])
            server = await rig.add_server("s1", "g", slots=50)
            server.limit_per_s = 1e9
            gateway = await rig.add_gateway()
            replies = await self.ask_all(gateway, 100)
            assert {r.status for r in replies} == {200}

    async def test_limit_that_comes_and_goes(self):
        """Guards against a server that isn't used after its limit ended."""
        async with rigs.Rig() as rig:
            await rig.configure({"g": False}, [rigs.route("r", "g")])
            server = await rig.add_server("s1", "g", slots=50)
            gateway = await rig.add_gateway()
            for _ in range(3):
                server.limit_per_s = 5.0
                await self.ask_all(gateway, 30)
                server.limit_per_s = None

                async def is_served() -> bool:
                    replies = await self.ask_all(gateway, 5)
                    return {r.status for r in replies} == {200}

                await rigs.until(is_served)


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
