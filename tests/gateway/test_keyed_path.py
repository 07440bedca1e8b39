"""Tests of keyed requests, from grants of keys to responses."""

import asyncio
import contextlib
import time

from berylweir.standin.fleet import server as fleet
from berylweir.standin.fleet import store as fleet_store
from tests.gateway import rig


@contextlib.asynccontextmanager
async def deployment(gateways: int = 1, servers: int = 3):
    """Starts gateways with servers of one keyed group and waits for owners."""
    async with rig.Rig() as running:
        await running.configure({"slots": True}, [rig.route("k", "slots")])
        for number in range(servers):
            await running.add_server(f"s{number}", "slots", is_keyed=True)
        for number in range(gateways):
            await running.add_gateway(f"vm-{number}")
        await rig.until(lambda: all_owned(running))
        yield running


KEYS = (0, 9000, 30_000, 65_535)


def owners(running: rig.Rig, key: int) -> list[str]:
    """Returns the names of the servers that currently hold a key."""
    return [n for n, s in running.servers.items() if s.holds(key)]


def all_owned(running: rig.Rig) -> bool:
    """Returns whether each key of a sample has one owner."""
    return all(len(owners(running, key)) == 1 for key in KEYS)


async def ask(gateway: rig.Gateway, key: int, request_id: str):
    """Sends a request with a key."""
    return await gateway.ask(
        f"/k/{key}", request_id, headers=f"Shard-Key: {key}\r\n"
    )


class TestOwners:
    """Ownership of the keys of a group."""

    async def test_each_key_is_served_by_its_owner(self):
        """Guards against requests to a server that doesn't hold the key."""
        async with deployment(gateways=2) as running:
            for gateway in running.gateways:

                async def served(gateway=gateway) -> bool:
                    replies = [await ask(gateway, key, "a") for key in KEYS]
                    return all(r.status == 200 for r in replies)

                await rig.until(served)

    async def test_grants_are_renewed_while_the_store_is_down(self):
        """Guards against grants that expire during an outage of the store."""
        async with deployment() as running:
            await rig.until(lambda: all_owned(running))
            running.store.fault = fleet_store.Fault.RESET
            await asyncio.sleep(4.0)
            assert all_owned(running)
            assert (await ask(running.gateways[0], 9000, "a")).status == 200

    async def test_a_draining_server_releases_its_keys(self):
        """Guards against keys without an owner until the grant expires."""
        async with deployment() as running:
            spec = running.store.get("servers", "s0")["spec"]
            leaving = spec | {"status": spec["status"] | {"state": "draining"}}
            await running.store.put("servers", "s0", leaving)
            await rig.until(
                lambda: (
                    all_owned(running)
                    and all(owners(running, key) != ["s0"] for key in KEYS)
                )
            )
            assert "release" in running.servers["s0"].orders

    async def test_a_request_waits_for_keys_that_move(self):
        """Guards against refusing a request whose key soon has its owner."""
        async with deployment(servers=2) as running:
            route = rig.route("k", "slots", timeout_ms=8000, goal_ms=4000)
            await running.configure({"slots": True}, [route], 2)
            gateway = running.gateways[0]
            (name,) = owners(running, 9000)
            running.servers[name].work_s = 1.5
            first = asyncio.create_task(
                gateway.ask(
                    "/k/1",
                    "a",
                    headers="Shard-Key: 9000\r\n",
                    deadline_ms=8000,
                )
            )
            await rig.until(lambda: running.servers[name].running == 1)
            spec = running.store.get("servers", name)["spec"]
            leaving = spec | {"status": spec["status"] | {"state": "draining"}}
            await running.store.put("servers", name, leaving)
            await rig.until(lambda: not owners(running, 9000))
            second = await gateway.ask(
                "/k/2", "b", headers="Shard-Key: 9000\r\n", deadline_ms=8000
            )
            assert second.status == 200
            assert (await first).status == 200

    async def test_a_lost_lease_holder_is_replaced(self):
        """Guards against keys that no gateway grants after a crash."""
        async with deployment(gateways=3) as running:
            lease = running.store.get("berylweir", "lease")["spec"]
            for gateway in running.gateways:
                if gateway.environment.vm == lease["holder"]:
                    await gateway.kill()
            await rig.until(
                lambda: (
                    running.store.get("berylweir", "lease")["spec"]["epoch"]
                    > lease["epoch"]
                )
            )
            await rig.until(lambda: all_owned(running))
            survivor = next(
                g
                for g in running.gateways
                if g.environment.vm != lease["holder"]
            )

            async def served() -> bool:
                return (await ask(survivor, 9000, "a")).status == 200

            await rig.until(served)

    async def test_a_holder_that_the_store_refuses_is_replaced(self):
        """Guards against keys that can't be moved for a whole outage."""
        async with deployment(gateways=3) as running:
            lease = running.store.get("berylweir", "lease")["spec"]
            running.cut_off.add(lease["holder"])
            await rig.until(
                lambda: (
                    running.store.get("berylweir", "lease")["spec"]["epoch"]
                    > lease["epoch"]
                )
            )
            await rig.until(lambda: all_owned(running))

    async def test_a_superseded_holder_moves_no_keys(self):
        """Guards against a former holder that overwrites the new table."""
        async with deployment() as running:
            spec = running.store.get("berylweir-keys", "slots")["spec"]
            await running.store.put(
                "berylweir-keys", "slots", spec | {"epoch": spec["epoch"] + 5}
            )
            written = running.store.get("berylweir-keys", "slots")
            await rig.publish_table(running.gateways[0], written)
            await running.store.remove("servers", "s0")
            until_s = time.monotonic() + 1.0
            while time.monotonic() < until_s:
                now = running.store.get("berylweir-keys", "slots")
                if now["meta"]["rev"] != written["meta"]["rev"]:
                    # The gateway may acquire the lease again, in a newer
                    # epoch.
                    lease = running.store.get("berylweir", "lease")["spec"]
                    assert lease["epoch"] > written["spec"]["epoch"]
                    assert now["spec"]["epoch"] == lease["epoch"]
                await asyncio.sleep(0)

    async def test_a_configuration_reaches_a_gateway_without_the_store(self):
        """Guards against an old configuration if the store refuses a VM."""
        async with deployment(gateways=2) as running:
            running.cut_off.add("vm-1")
            await running.configure(
                {"slots": True},
                [rig.route("k", "slots"), rig.route("new", "slots")],
                version=2,
            )
            for caller in ("/new/1", "/new/2"):

                async def is_known(path=caller) -> bool:
                    reply = await running.gateways[1].ask(
                        path, "a", headers="Shard-Key: 9000\r\n"
                    )
                    return reply.status != 404

                await rig.until(is_known)

    async def test_keys_of_a_replaced_server_find_an_owner(self):
        """Guards against counting the answers of another server as renewals."""
        async with deployment() as running:
            # The entry of the replaced server stays, as after a crash.
            running.servers["s1"].name = "s9"
            await asyncio.sleep(0)
            lost = running.servers.pop("s1")
            assert any(lost.holds(key) for key in KEYS)
            await rig.until(lambda: all_owned(running))

    async def test_keys_of_a_reused_address_move_at_once(self):
        """Guards against waiting for the grant of a server that has ended."""
        async with deployment() as running:
            await running.configure(
                {"slots": True, "other": False}, [rig.route("k", "slots")], 2
            )
            lost = running.servers.pop("s1")
            lost.order_delay = lambda: 3600.0
            until_s = max(h.until_s for h in lost._holds.values())
            port = running.ports["s1"]
            other = fleet.entry("o1", "other", port, born_ms=100_000)
            await running.store.put("servers", "o1", other)
            await rig.until(lambda: all_owned(running))
            assert time.monotonic() < until_s

    async def test_an_entry_of_an_unknown_group_revokes_no_keys(self):
        """Guards against a second owner while the first server still runs."""
        async with deployment() as running:
            before = running.store.get("berylweir-keys", "slots")["meta"]["rev"]
            port = running.ports["s1"]
            forged = fleet.entry("o1", "unknown", port, born_ms=100_000)
            await running.store.put("servers", "o1", forged)
            await asyncio.sleep(1.5)
            after = running.store.get("berylweir-keys", "slots")["meta"]["rev"]
            assert after == before

    async def test_keys_of_a_frozen_server_find_an_owner(self):
        """Guards against repeating unanswered grants for ever."""
        async with deployment() as running:
            frozen = running.servers.pop("s1")
            # The server accepts orders but never answers; its entry stays.
            frozen.order_delay = lambda: 3600.0
            assert any(frozen.holds(key) for key in KEYS)
            await rig.until(lambda: all_owned(running))

    async def test_keys_that_move_to_a_lost_server_find_an_owner(self):
        """Guards against waiting for a target that never accepts the keys."""
        async with deployment(servers=2) as running:
            # The server registers, but refuses each order under its old id.
            lost = await running.add_server("s2", "slots")
            del running.servers["s2"]
            lost.name = "s9"
            await running.store.remove("servers", "s1")
            del running.servers["s1"]
            await rig.until(lambda: all_owned(running))

    async def test_a_restarted_server_gets_keys_under_a_higher_token(self):
        """Guards against a new instance that accepts grants of the old one."""
        async with deployment() as running:
            table = running.store.get("berylweir-keys", "slots")["spec"]
            before = table["next_token"]
            running.servers["s1"].name = "s9"
            running.servers["s9"] = running.servers.pop("s1")
            running.servers["s9"].orders.clear()
            await asyncio.sleep(1.5)
            assert "grant" not in running.servers["s9"].orders
            await running.store.remove("servers", "s1")
            await running.store.put(
                "servers",
                "s9",
                fleet.entry("s9", "slots", running.ports["s1"], born_ms=2),
            )

            def has_new_grants() -> bool:
                spec = running.store.get("berylweir-keys", "slots")["spec"]
                return spec["next_token"] > before and all_owned(running)

            await rig.until(has_new_grants)
