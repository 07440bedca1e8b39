"""Tests of entries that another writer left among those of the servers."""

import msgspec

from berylweir.standin.gateway_platform import server as server_standin
from tests.gateway import rig as rigs

_DEPTH = 100_000


class TestOddEntries:
    """Gateways that read odd entries of servers."""

    async def test_gateways_stop_following_the_servers(self):
        """Guards against one odd entry that ends the reading of all others."""
        async with rigs.Rig() as rig:
            await rig.configure({"g": False}, [rigs.route("r", "g")])
            entry = server_standin.server_spec("odd", "g", 1)
            odd_entries = {
                "deep": msgspec.Raw(b'{"x":' * _DEPTH + b"1" + b"}" * _DEPTH),
                "port": {**entry, "addr": "127.0.0.1:99999"},
                "large": {**entry, "born": 10**15, "addr": "1"},
                "text": "no entry",
            }
            for name, spec in odd_entries.items():
                await rig.store.put("servers", f"{name}-1", spec)
            gateway = await rig.add_gateway()
            for name, spec in odd_entries.items():
                await rig.store.put("servers", f"{name}-2", spec)
            server = await rig.add_server("s1", "g")

            async def is_served() -> bool:
                reply = await gateway.ask("/r/x", "a")
                return reply is not None and reply.status == 200

            await rigs.until(is_served)
            for number in range(20):
                reply = await gateway.ask("/r/x", f"b{number}")
                assert reply.status == 200
            assert len(server.executions) >= 20
            assert "gateway.request.crashed" not in gateway.metrics.counts
