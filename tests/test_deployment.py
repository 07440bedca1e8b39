"""Tests of a whole deployment over real sockets."""

import asyncio
from collections.abc import AsyncIterator
import time

import httpx
import msgspec
import pytest

from berylweir.objects import schemas
from berylweir.standin import deployment

_GROUPS = (
    deployment.GroupSpec(
        schemas.ServerGroup("stock", schemas.Keyed(slices=16), slots=3),
        "/stock/",
        servers=3,
    ),
    deployment.GroupSpec(
        schemas.ServerGroup("files", schemas.Unkeyed(), slots=3),
        "/files/",
        servers=3,
    ),
)
_READY_TIMEOUT_S = 10.0
_RECOVERY_TARGET_S = 3.0


@pytest.fixture
async def cluster() -> AsyncIterator[deployment.Deployment]:
    async with deployment.Deployment(_GROUPS) as started:
        yield started


@pytest.fixture
async def client() -> AsyncIterator[httpx.AsyncClient]:
    async with httpx.AsyncClient(timeout=10.0) as opened:
        yield opened


async def wait_until_served(
    client: httpx.AsyncClient, url: str, key: str, timeout_s: float
) -> str:
    """Returns the server that serves a key, once one does.

    Raises:
        AssertionError: If no request succeeds within `timeout_s` seconds.
    """
    deadline_s = time.monotonic() + timeout_s
    while True:
        response = await client.get(
            f"{url}/stock/x", headers={"berylweir-key": key}
        )
        if response.status_code == 200:
            return str(response.json()["server"])
        if time.monotonic() > deadline_s:
            raise AssertionError(f"{response.status_code}: {response.text}")
        await asyncio.sleep(0.02)


class TestDeployment:
    """Requests through a platform stand-in, keepers, routers and servers."""

    async def test_key_has_one_owner_through_each_entry_vm(
        self, cluster: deployment.Deployment, client: httpx.AsyncClient
    ):
        """Guards against routers that disagree on the owner of a key."""
        for key in ("a", "b", "c", "d"):
            owners = {
                await wait_until_served(client, vm.url, key, _READY_TIMEOUT_S)
                for vm in cluster.vms.values()
            }
            assert len(owners) == 1

    async def test_download_arrives_whole(
        self, cluster: deployment.Deployment, client: httpx.AsyncClient
    ):
        """Guards against a truncated download."""
        url = next(iter(cluster.vms.values())).url
        await wait_until_served(client, url, "a", _READY_TIMEOUT_S)
        response = await client.get(f"{url}/files/x?bytes=5000000")
        assert len(response.content) == 5_000_000

    async def test_key_of_a_lost_server_is_served_again(
        self, cluster: deployment.Deployment, client: httpx.AsyncClient
    ):
        """Guards against a key that stays assigned to a dead server."""
        url = next(iter(cluster.vms.values())).url
        killed_server = await wait_until_served(
            client, url, "a", _READY_TIMEOUT_S
        )
        await cluster.kill_backend(killed_server)
        assert (
            await wait_until_served(client, url, "a", _RECOVERY_TARGET_S)
            != killed_server
        )

    async def test_partition_of_a_lost_vm_is_taken_over(
        self, cluster: deployment.Deployment, client: httpx.AsyncClient
    ):
        """Guards against a partition without a holder after a VM is lost."""
        urls = {n: vm.url for n, vm in cluster.vms.items()}
        await wait_until_served(client, urls["vm-0"], "a", _READY_TIMEOUT_S)
        partition = cluster.partition("stock.0")
        assert partition is not None
        holder = partition.holder.vm
        await cluster.kill_vm(holder)
        url = next(u for n, u in urls.items() if n != holder)
        await wait_until_served(client, url, "a", _RECOVERY_TARGET_S)

    async def test_platform_outage_changes_nothing(
        self, cluster: deployment.Deployment, client: httpx.AsyncClient
    ):
        """Guards against ownership that lapses during a platform outage."""
        urls = [vm.url for vm in cluster.vms.values()]
        first_owner = await wait_until_served(
            client, urls[0], "a", _READY_TIMEOUT_S
        )
        cluster.platform.faults.down = True
        cluster.platform.wake_watches()
        end_s = time.monotonic() + 2.5
        while time.monotonic() < end_s:
            for url in urls:
                assert (
                    await wait_until_served(client, url, "a", 0.0)
                    == first_owner
                )
            await asyncio.sleep(0.05)

    async def test_new_vm_learns_from_neighbours_without_the_platform(
        self, cluster: deployment.Deployment, client: httpx.AsyncClient
    ):
        """Guards against a new VM that starts only with the platform."""
        url = next(iter(cluster.vms.values())).url
        owners = {
            k: await wait_until_served(client, url, k, _READY_TIMEOUT_S)
            for k in "abcdef"
        }
        partition = cluster.partition("stock.0")
        assert partition is not None and partition.standby is not None
        pair_vms = (partition.holder.vm, partition.standby.vm)
        replaced_vm = next(n for n in cluster.vms if n not in pair_vms)
        key = next(
            k for k, o in owners.items() if partition.homes[o] != replaced_vm
        )
        settings = await cluster.kill_vm(replaced_vm)
        cluster.platform.faults.down = True
        cluster.platform.wake_watches()
        keeper = msgspec.structs.replace(
            settings.keeper, neighbours=cluster.neighbours()
        )
        new_vm = await cluster.start_vm(
            msgspec.structs.replace(settings, keeper=keeper)
        )
        owner = await wait_until_served(
            client, new_vm.url, key, _READY_TIMEOUT_S
        )
        assert owner == owners[key]
