"""Tests of keyed requests, from grants of keys to responses."""

import asyncio
import contextlib
import time

from berylweir.standin.gateway_platform import server as server_standin
from berylweir.standin.gateway_platform import store as store_standin
from tests.gateway import rig


@contextlib.asynccontextmanager
async def start_deployment(gateways: int = 1, servers: int = 3):
    """Starts gateways with servers of one keyed group and waits for owners."""
    async with rig.Rig() as deployment:
        await deployment.configure({"slots": True}, [rig.route("k", "slots")])
        for number in range(servers):
            await deployment.add_server(f"s{number}", "slots", is_keyed=True)
        for number in range(gateways):
            await deployment.add_gateway(f"vm-{number}")
        await rig.until(lambda: all_owned(deployment))
        yield deployment


KEYS = (0, 9000, 30_000, 65_535)


def owners(deployment: rig.Rig, key: int) -> list[str]:
    """Returns the names of the servers that currently hold a key."""
    return [n for n, s in deployment.servers.items() if s.holds(key)]


def all_owned(deployment: rig.Rig) -> bool:
    """Returns whether each key of a sample has one owner."""
    return all(len(owners(deployment, key)) == 1 for key in KEYS)


async def ask(gateway: rig.Gateway, key: int, request_id: str):
    """Sends a request with a key."""
    return await gateway.ask(
        f"/k/{key}", request_id, headers=f"Shard-Key: {key}\r\n"
    )


class TestOwners:
    """Ownership of the keys of a group."""

    async def test_each_key_is_served_by_its_owner(self):
        """Guards against requests to a server that doesn't hold the key."""
        async with start_deployment(gateways=2) as deployment:
            for gateway in deployment.gateways:

                async def served(gateway=gateway) -> bool:
                    replies = [await ask(gateway, key, "a") for key in KEYS]
                    return all(r.status == 200 for r in replies)

                await rig.until(served)

    async def test_grants_are_renewed_while_the_store_is_down(self):
        """Guards against grants that expire during an outage of the store."""
        async with start_deployment() as deployment:
            await rig.until(lambda: all_owned(deployment))
            deployment.store.default_fault = store_standin.Fault.RESET
            await asyncio.sleep(4.0)
            assert all_owned(deployment)
            assert (await ask(deployment.gateways[0], 9000, "a")).status == 200

    async def test_a_draining_server_releases_its_keys(self):
        """Guards against keys without an owner until the grant expires."""
        async with start_deployment() as deployment:
            spec = deployment.store.get("servers", "s0")["spec"]
            leaving = spec | {"status": spec["status"] | {"state": "draining"}}
            await deployment.store.put("servers", "s0", leaving)
            await rig.until(
                lambda: (
                    all_owned(deployment)
                    and all(owners(deployment, key) != ["s0"] for key in KEYS)
                )
            )
            assert "release" in deployment.servers["s0"].ownership_calls

    async def test_a_request_waits_for_keys_that_move(self):
        """Guards against refusing a request whose key soon has its owner."""
        async with start_deployment(servers=2) as deployment:
            route = rig.route("k", "slots", timeout_ms=8000, goal_ms=4000)
            await deployment.configure({"slots": True}, [route], 2)
            gateway = deployment.gateways[0]
            (name,) = owners(deployment, 9000)
            deployment.servers[name].service_s = 1.5
            first = asyncio.create_task(
                gateway.ask(
                    "/k/1",
                    "a",
                    headers="Shard-Key: 9000\r\n",
                    deadline_ms=8000,
                )
            )
            await rig.until(lambda: deployment.servers[name].in_flight == 1)
            spec = deployment.store.get("servers", name)["spec"]
            leaving = spec | {"status": spec["status"] | {"state": "draining"}}
            await deployment.store.put("servers", name, leaving)
            await rig.until(lambda: not owners(deployment, 9000))
            second = await gateway.ask(
                "/k/2", "b", headers="Shard-Key: 9000\r\n", deadline_ms=8000
            )
            assert second.status == 200
            assert (await first).status == 200

    async def test_a_lost_lease_holder_is_replaced(self):
        """Guards against keys that no gateway grants after a crash."""
        async with start_deployment(gateways=3) as deployment:
            lease = deployment.store.get("berylweir", "lease")["spec"]
            for gateway in deployment.gateways:
                if gateway.environment.vm == lease["holder"]:
                    await gateway.kill()
            await rig.until(
                lambda: (
                    deployment.store.get("berylweir", "lease")["spec"]["epoch"]
                    > lease["epoch"]
                )
            )
            await rig.until(lambda: all_owned(deployment))
            survivor = next(
                g
                for g in deployment.gateways
                if g.environment.vm != lease["holder"]
            )

            async def served() -> bool:
                return (await ask(survivor, 9000, "a")).status == 200

            await rig.until(served)

    async def test_a_holder_that_the_store_refuses_is_replaced(self):
        """Guards against keys that can't be moved for a whole outage."""
        async with start_deployment(gateways=3) as deployment:
            lease = deployment.store.get("berylweir", "lease")["spec"]
            deployment.cut_off.add(lease["holder"])
            await rig.until(
                lambda: (
                    deployment.store.get("berylweir", "lease")["spec"]["epoch"]
                    > lease["epoch"]
                )
            )
            await rig.until(lambda: all_owned(deployment))

    async def test_a_holder_whose_lease_got_no_answer_grants_keys(self):
        """Guards against a holder that confirms its lease but doesn't act."""
        async with rig.Rig() as deployment:
            await deployment.configure(
                {"slots": True}, [rig.route("k", "slots")]
            )
            await deployment.add_server("s0", "slots", is_keyed=True)
            released = {"holder": "", "incarnation": "", "epoch": 3}
            await deployment.store.put("berylweir", "lease", released)
            write = "PUT /berylweir/objects/berylweir/lease"
            deployment.store.faults_by_call[write] = (
                store_standin.Fault.LOSE_ANSWER
            )
            await deployment.add_gateway("vm-0")
            await rig.until(lambda: all_owned(deployment))

    async def test_a_superseded_holder_moves_no_keys(self):
        """Guards against a former holder that overwrites the new table."""
        async with start_deployment() as deployment:
            spec = deployment.store.get("berylweir-keys", "slots")["spec"]
            await deployment.store.put(
                "berylweir-keys", "slots", spec | {"epoch": spec["epoch"] + 5}
            )
            written = deployment.store.get("berylweir-keys", "slots")
            await rig.publish_table(deployment.gateways[0], written)
            await deployment.store.remove("servers", "s0")
            until_s = time.monotonic() + 1.0
            while time.monotonic() < until_s:
                now = deployment.store.get("berylweir-keys", "slots")
                if now["meta"]["rev"] != written["meta"]["rev"]:
                    # The gateway may acquire the lease again, in a newer
                    # epoch.
                    lease = deployment.store.get("berylweir", "lease")["spec"]
                    assert lease["epoch"] > written["spec"]["epoch"]
                    assert now["spec"]["epoch"] == lease["epoch"]
                await asyncio.sleep(0)

    async def test_a_configuration_reaches_a_gateway_without_the_store(self):
        """Guards against an old configuration if the store refuses a VM."""
        async with start_deployment(gateways=2) as deployment:
            deployment.cut_off.add("vm-1")
            await deployment.configure(
                {"slots": True},
                [rig.route("k", "slots"), rig.route("new", "slots")],
                version=2,
            )
            for new_path in ("/new/1", "/new/2"):

                async def is_known(path=new_path) -> bool:
                    reply = await deployment.gateways[1].ask(
                        path, "a", headers="Shard-Key: 9000\r\n"
                    )
                    return reply.status != 404

                await rig.until(is_known)

    async def test_keys_of_a_replaced_server_find_an_owner(self):
        """Guards against counting the answers of another server as renewals."""
        async with start_deployment() as deployment:
            # The entry of the replaced server stays, as after a crash.
            deployment.servers["s1"].name = "s9"
            await asyncio.sleep(0)
            lost = deployment.servers.pop("s1")
            assert any(lost.holds(key) for key in KEYS)
            await rig.until(lambda: all_owned(deployment))

    async def test_keys_of_a_reused_address_move_at_once(self):
        """Guards against waiting for the grant of a server that has ended."""
        async with start_deployment() as deployment:
            await deployment.configure(
                {"slots": True, "other": False}, [rig.route("k", "slots")], 2
            )
            lost = deployment.servers.pop("s1")
            lost.choose_grant_delay_s = lambda: 3600.0
            expires_at_s = max(g.expires_at_s for g in lost._grants.values())
            port = deployment.ports["s1"]
            other = server_standin.server_spec(
                "o1", "other", port, born_ms=100_000
            )
            await deployment.store.put("servers", "o1", other)
            await rig.until(lambda: all_owned(deployment))
            assert time.monotonic() < expires_at_s

    async def test_an_entry_of_an_unknown_group_revokes_no_keys(self):
        """Guards against a second owner while the first server still runs."""
        async with start_deployment() as deployment:
            before = deployment.store.get("berylweir-keys", "slots")["meta"][
                "rev"
            ]
            port = deployment.ports["s1"]
            forged = server_standin.server_spec(
                "o1", "unknown", port, born_ms=100_000
            )
            await deployment.store.put("servers", "o1", forged)
            await asyncio.sleep(1.5)
            after = deployment.store.get("berylweir-keys", "slots")["meta"][
                "rev"
            ]
            assert after == before

    async def test_keys_of_a_frozen_server_find_an_owner(self):
        """Guards against repeating unanswered grants for ever."""
        async with start_deployment() as deployment:
            frozen = deployment.servers.pop("s1")
            # The server receives grants but never answers; its entry stays.
            frozen.choose_grant_delay_s = lambda: 3600.0
            assert any(frozen.holds(key) for key in KEYS)
            await rig.until(lambda: all_owned(deployment))

    async def test_keys_that_move_to_a_lost_server_find_an_owner(self):
        """Guards against waiting for a target that never accepts the keys."""
        async with start_deployment(servers=2) as deployment:
            # The server registers, but refuses each grant, which names its
            # old id.
            lost = await deployment.add_server("s2", "slots")
            del deployment.servers["s2"]
            lost.name = "s9"
            await deployment.store.remove("servers", "s1")
            del deployment.servers["s1"]
            await rig.until(lambda: all_owned(deployment))

    async def test_a_restarted_server_gets_keys_under_a_higher_token(self):
        """Guards against a new instance that accepts grants of the old one."""
        async with start_deployment() as deployment:
            table = deployment.store.get("berylweir-keys", "slots")["spec"]
            before = table["next_token"]
            deployment.servers["s1"].name = "s9"
            deployment.servers["s9"] = deployment.servers.pop("s1")
            deployment.servers["s9"].ownership_calls.clear()
            await asyncio.sleep(1.5)
            assert "grant" not in deployment.servers["s9"].ownership_calls
            await deployment.store.remove("servers", "s1")
            await deployment.store.put(
                "servers",
                "s9",
                server_standin.server_spec(
                    "s9", "slots", deployment.ports["s1"], born_ms=2
                ),
            )

            def has_new_grants() -> bool:
                spec = deployment.store.get("berylweir-keys", "slots")["spec"]
                return spec["next_token"] > before and all_owned(deployment)

            await rig.until(has_new_grants)
