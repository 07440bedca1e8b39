"""Tests of answers that servers send again, and of the check for their harm."""

import asyncio
import contextlib
import types

import msgspec

from berylweir.soak import live_checks
from berylweir.standin.gateway_platform import caller
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin


def command(path: str, **fields: int) -> http.Request:
    """Returns a grant or a release of key 7."""
    body = msgspec.json.encode({"from": 7, "to": 7, **fields})
    return http.Request("POST", path, {}, {}, body)


class TestCopies:
    """What arrives on a connection."""

    async def test_copy_comes_before_the_next_response(self):
        """Guards against copies that no gateway can take for an answer."""
        server = server_standin.Server("s0")
        server.choose_copy = iter((True, False)).__next__
        async with contextlib.AsyncExitStack() as stack:
            port = await http.listen(stack, server.handle)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            stack.callback(writer.close)
            bodies = []
            for number, responses in ((1, 1), (2, 2)):
                writer.write(
                    caller.encode_request(f"/r/{number}", f"a{number}", 2000)
                )
                for _ in range(responses):
                    response = await caller.read_response(reader)
                    bodies.append(response.body)
        assert bodies == [b"s0 /r/1", b"s0 /r/1", b"s0 /r/2"]


class TestKeysAtWork:
    """Keys that are granted while another server is at work on them."""

    async def test_grant_before_the_end_of_a_release(self):
        """Guards against a check that misses a release that was cut short."""
        servers = [
            server_standin.Server(f"s{n}", is_keyed=True, service_s=0.2)
            for n in range(2)
        ]
        checks = live_checks.LiveChecks(types.SimpleNamespace(servers=servers))
        grant = command("/berylweir/grant", fence=1, holdMs=2500)
        await servers[0].handle(grant)
        headers = {"shard-key": "7", "request-id": "a"}
        async with asyncio.TaskGroup() as group:
            group.create_task(
                servers[0].handle(http.Request("GET", "/r", {}, headers, b""))
            )
            group.create_task(
                servers[0].handle(command("/berylweir/release", fence=2))
            )
            check = group.create_task(checks.check_single_owner())
            await asyncio.sleep(0.05)
            assert checks.violations == []
            await servers[1].handle(
                command("/berylweir/grant", fence=3, holdMs=2500)
            )
            await asyncio.sleep(0.05)
            check.cancel()
        assert "key 7 held by s1 while s0 is at work" in checks.violations
