"""Tests of the check that keys of a busy server are moved."""

import time

import msgspec

from berylweir.soak import uneven_load
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin


async def grant_all(server: server_standin.Server) -> None:
    """Grants all keys to a server."""
    body = {"from": 0, "to": 65_535, "fence": 1, "holdMs": 60_000}
    await server.handle(
        http.Request(
            "POST", "/berylweir/grant", {}, {}, msgspec.json.encode(body)
        )
    )


class TestUnevenLoad:
    """When the check passes, fails or is left out."""

    async def run_check(self, monkeypatch, *servers, wait_s=0.2, end_s=60.0):
        """Runs the check without gateways, so that nobody moves keys."""
        monkeypatch.setattr(uneven_load, "MAX_WAIT_S", wait_s)
        load = uneven_load.UnevenLoad((), servers, time.monotonic(), "1")
        await load.run(end_s)
        return load

    async def test_keys_that_stay_are_a_violation(self, monkeypatch):
        """Guards against a check that never fails."""
        server = server_standin.Server("s0")
        await grant_all(server)
        load = await self.run_check(
            monkeypatch, server, server_standin.Server("s1")
        )
        assert load.moved_after_s is None
        (violation,) = load.violations
        assert "of s0 was moved" in violation

    async def test_key_of_another_owner_passes(self, monkeypatch):
        """Guards against a check that misses a move."""
        servers = [server_standin.Server(f"s{n}") for n in range(2)]
        for server in servers:
            await grant_all(server)
        load = await self.run_check(monkeypatch, *servers)
        assert load.violations == []
        assert load.moved_after_s is not None

    async def test_short_time_is_not_judged(self, monkeypatch):
        """Guards against blaming gateways at the end of a soak."""
        server = server_standin.Server("s0")
        await grant_all(server)
        load = await self.run_check(monkeypatch, server, end_s=0.1)
        assert load.violations == []
