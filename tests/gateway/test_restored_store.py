"""Tests of gateways whose store comes back from an older copy."""

import asyncio
import time

from berylweir.gateway import revisions
from berylweir.gateway.replication import upstreams
from tests.gateway import rig as rigs

# Time within which a new configuration must be in force, in seconds.
_CONFIGURATION_TIMEOUT_S = 2.5


async def has_route(gateway: rigs.Gateway, name: str) -> bool:
    """Returns whether a gateway knows a route."""
    reply = await gateway.ask(f"/{name}/1", f"{name}-{time.monotonic_ns()}")
    return reply is not None and reply.status != 404


async def wait_for_route(gateways: list[rigs.Gateway], name: str) -> None:
    """Waits until a route is in force.

    Raises:
        TimeoutError: It is not in force at all gateways in time.
    """
    async with asyncio.timeout(_CONFIGURATION_TIMEOUT_S):
        for gateway in gateways:
            while not await has_route(gateway, name):
                await asyncio.sleep(0.02)


class TestRestoredStore:
    """Configurations written before and after the store was restored."""

    async def test_route_added_after_the_restoration_is_not_served(self):
        """Guards against gateways that stay with the state of before.

        The added route was answered with 404, and each watcher listed the
        configuration again and again.
        """
        async with rigs.Rig() as rig:
            await rig.configure({"g": False}, [rigs.route("r1", "g")], 1)
            await rig.add_server("s1", "g")
            gateways = [
                await rig.add_gateway(f"vm-{n}")
                for n in range(upstreams.WATCHER_COUNT + 2)
            ]
            copy = rig.store.copy()
            for version in (2, 3):
                await rig.configure(
                    {"g": False}, [rigs.route(f"r{version}", "g")], version
                )
            await wait_for_route(gateways, "r3")
            await rig.store.restore(copy)
            calls_before = sum(len(c) for c in rig.store_calls.values())
            await asyncio.sleep(1.0)
            # No gateway goes back to the first version.
            await wait_for_route(gateways, "r3")
            await rig.configure({"g": False}, [rigs.route("r4", "g")], 4)
            await wait_for_route(gateways, "r4")
            calls = sum(len(c) for c in rig.store_calls.values()) - calls_before
            assert calls <= 30 * len(gateways)


class TestLease:
    """The lease and the key tables after a restoration."""

    async def test_lease_that_the_store_lost_is_taken_again(self):
        """Guards against epochs and tokens that are given out twice."""
        async with rigs.Rig() as rig:
            await rig.configure({"slots": True}, [rigs.route("k", "slots")], 1)
            server = await rig.add_server("s1", "slots", is_keyed=True)
            copy = rig.store.copy()
            await rig.add_gateway("vm-1")
            await rigs.until(lambda: server.holds(7))
            lost_lease = rig.store.get("berylweir", "lease")["spec"]
            lost_table = rig.store.get("berylweir-keys", "slots")["spec"]
            await rig.store.restore(copy)

            def is_written_again() -> bool:
                lease = rig.store.get("berylweir", "lease")
                table = rig.store.get("berylweir-keys", "slots")
                return (
                    lease is not None
                    and table is not None
                    and table["spec"]["epoch"] == lease["spec"]["epoch"]
                )

            await rigs.until(is_written_again)
            lease = rig.store.get("berylweir", "lease")["spec"]
            table = rig.store.get("berylweir-keys", "slots")["spec"]
            assert lease["holder"] == lost_lease["holder"]
            assert lease["epoch"] > lost_lease["epoch"]
            assert table["next_token"] > lost_table["next_token"]
            assert server.holds(7)


class TestHolderAfterRestoration:
    """A gateway that takes the lease in the generation of a restored store."""

    _KEYS = (0, 9000, 30_000, 65_535)

    def owners(self, rig: rigs.Rig, key: int) -> list[str]:
        """Returns the names of the servers that hold a key."""
        return [n for n, s in rig.servers.items() if s.holds(key)]

    def are_all_owned_by(self, rig: rigs.Rig, server: str) -> bool:
        """Returns whether one server alone holds all keys of a sample."""
        return all(self.owners(rig, key) == [server] for key in self._KEYS)

    async def lose_move(self, rig: rigs.Rig) -> None:
        """Restores the store to a copy from before a move of all keys.

        The move from s1 to s2 is known to vm-1 alone, which the store refuses
        from then on.
        """
        await rig.configure({"slots": True}, [rigs.route("k", "slots")], 1)
        await rig.add_server("s1", "slots", is_keyed=True)
        await rig.add_gateway("vm-1")
        await rigs.until(lambda: self.are_all_owned_by(rig, "s1"))
        copy = rig.store.copy()
        await rig.add_server("s2", "slots", is_keyed=True)
        ready = rig.store.get("servers", "s1")["spec"]
        leaving = ready | {"status": ready["status"] | {"state": "draining"}}
        await rig.store.put("servers", "s1", leaving)
        await rigs.until(lambda: self.are_all_owned_by(rig, "s2"))
        added = rig.store.get("servers", "s2")["spec"]
        rig.cut_off.add("vm-1")
        await rig.store.restore(copy)
        await rig.store.put("servers", "s2", added)

    async def watch_owners(self, rig: rigs.Rig, server: str) -> None:
        """Checks that no key has two owners until a server has all of them.

        Ends once a gateway has acted in the generation of the store.
        """
        epoch = revisions.next_epoch(0, rig.store.generation)
        async with asyncio.timeout(40.0):
            while True:
                for key in self._KEYS:
                    assert len(self.owners(rig, key)) <= 1
                table = rig.store.get("berylweir-keys", "slots")["spec"]
                if table["epoch"] >= epoch and self.are_all_owned_by(
                    rig, server
                ):
                    return
                await asyncio.sleep(0.01)

    async def test_newest_tables_are_used_if_no_holder_has_acted_yet(self):
        """Guards against old tables if a holder of the generation has ended.

        It took the lease but hadn't acted, and the next holder moved keys by
        the restored table (soak seed 56).
        """
        async with rigs.Rig() as rig:
            await self.lose_move(rig)
            ended = {
                "holder": "",
                "incarnation": "",
                "epoch": revisions.next_epoch(0, rig.store.generation),
            }
            await rig.store.put("berylweir", "lease", ended)
            await rig.add_gateway("vm-2")
            await self.watch_owners(rig, "s2")

    async def test_grants_of_a_silent_holder_expire_first(self):
        """Guards against two owners by moves that only the holder knows.

        The holder doesn't respond, and goes on granting for its authority
        (soak seed 218).
        """
        async with rigs.Rig() as rig:
            await self.lose_move(rig)
            known = rig.store.get("berylweir", "vm.vm-1")["spec"]
            unreachable = known | {"port": rigs.free_port()}
            await rig.store.put("berylweir", "vm.vm-1", unreachable)
            await rig.add_gateway("vm-2")
            await self.watch_owners(rig, "s1")


class TestRegistration:
    """The objects of the gateways after a restoration."""

    async def test_gateway_that_the_store_lost_registers_again(self):
        """Guards against a gateway that the others don't know any more."""
        async with rigs.Rig() as rig:
            await rig.configure({"g": False}, [rigs.route("r1", "g")], 1)
            await rig.add_server("s1", "g")
            await rig.add_gateway("vm-1")
            copy = rig.store.copy()
            await rig.add_gateway("vm-2")
            lost = rig.store.get("berylweir", "vm.vm-2")["spec"]
            await rig.store.restore(copy)

            def is_registered() -> bool:
                stored = rig.store.get("berylweir", "vm.vm-2")
                return stored is not None and stored["spec"] == lost

            await rigs.until(is_registered)
            calls = [c for c in rig.store_calls["vm-2"] if "POST" in c]
            assert len(calls) <= 3
