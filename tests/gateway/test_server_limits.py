"""Tests of servers that name a limit of the requests that they take."""

import asyncio

from tests.gateway import limit_rule
from tests.gateway import rig as rigs


class TestServerLimit:
    """Requests of several gateways to servers with a limit."""

    async def test_server_gets_more_requests_than_the_limit_that_it_names(self):
        """Guards against gateways that each use the whole limit, or none."""
        async with rigs.Rig() as rig:
            await rig.configure({"books": False}, [rigs.route("r", "books")])
            server = await rig.add_server("b-1", "books", slots=20)
            server.limit_per_s = 6.0
            gateways = [await rig.add_gateway(f"vm-{n}") for n in range(3)]
            replies = []

            async def call(number: int) -> None:
                gateway = gateways[number % 3]
                replies.append(await gateway.ask("/r/x", f"id-{number}"))

            for gateway in gateways:
                await gateway.ask("/r/x", f"first-{gateway.environment.vm}")
            told = len(server.executions)
            async with asyncio.TaskGroup() as group:
                for number in range(250):
                    group.create_task(call(number))
                    await asyncio.sleep(0.02)
            starts_s = [e.started_s for e in server.executions[told:]]
            assert limit_rule.most_in_window(
                starts_s
            ) <= limit_rule.allowed_in_window(server.limit_per_s)
            # 250 requests in 5 s or more; the limit allows 30 of them.
            assert len(starts_s) >= 20
            refused = [r for r in replies if r.status != 200]
            assert refused
            for reply in refused:
                assert reply.status == 503
                assert float(reply.headers["retry-after"]) > 0
            assert all("server-limit" not in r.headers for r in replies)

    async def test_requests_go_to_a_server_that_names_no_limit(self):
        """Guards against refusals while another server has capacity."""
        async with rigs.Rig() as rig:
            await rig.configure({"books": False}, [rigs.route("r", "books")])
            limited = await rig.add_server("b-1", "books", slots=20)
            limited.limit_per_s = 0.0
            other = await rig.add_server("b-2", "books", slots=20)
            gateway = await rig.add_gateway()
            replies = [
                await gateway.ask("/r/x", f"id-{number}")
                for number in range(100)
            ]
            assert {r.status for r in replies} == {200}
            assert len(limited.executions) <= 6
            assert len(other.executions) >= 94

    async def test_limit_ends_with_the_first_response_that_names_none(self):
        """Guards against a limit that outlasts the server's need."""
        async with rigs.Rig() as rig:
            await rig.configure({"books": False}, [rigs.route("r", "books")])
            server = await rig.add_server("b-1", "books", slots=20)
            server.limit_per_s = 2.0
            gateway = await rig.add_gateway()
            await gateway.ask("/r/x", "first")
            server.limit_per_s = None

            async def is_served() -> bool:
                reply = await gateway.ask("/r/x", "second")
                return reply is not None and reply.status == 200

            await rigs.until(is_served)
            replies = [
                await gateway.ask("/r/x", f"id-{number}")
                for number in range(30)
            ]
            assert {r.status for r in replies} == {200}
