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
_READY_S = 10.0
_RECOVERY_TARGET_S = 3.0


@pytest.fixture
async def running() -> AsyncIterator[deployment.Deployment]:
    async with deployment.Deployment(_GROUPS) as started:
        yield started


@pytest.fixture
async def client() -> AsyncIterator[httpx.AsyncClient]:
    async with httpx.AsyncClient(timeout=10.0) as opened:
        yield opened


async def served_by(
    client: httpx.AsyncClient, url: str, key: str, timeout_s: float
) -> str:
    """Returns the server that answers, once one does."""
    deadline_s = time.monotonic() + timeout_s
    while True:
        answer = await client.get(
            f"{url}/stock/x", headers={"berylweir-key": key}
        )
        if answer.status_code == 200:
            return str(answer.json()["server"])
        if time.monotonic() > deadline_s:
            raise AssertionError(f"{answer.status_code}: {answer.text}")
        await asyncio.sleep(0.02)


class TestDeployment:
    """The whole path, with platform, keepers, routers and servers."""

    async def test_key_has_one_owner_through_each_entry_vm(
        self, running: deployment.Deployment, client: httpx.AsyncClient
    ):
        """Guards against routers that disagree on the owner of a key."""
        for key in ("a", "b", "c", "d"):
            owners = {
                await served_by(client, vm.url, key, _READY_S)
                for vm in running.vms.values()
            }
            assert len(owners) == 1

    async def test_download_arrives_whole(
        self, running: deployment.Deployment, client: httpx.AsyncClient
    ):
        """Guards against a download that ends short."""
        url = next(iter(running.vms.values())).url
        await served_by(client, url, "a", _READY_S)
        answer = await client.get(f"{url}/files/x?bytes=5000000")
        assert len(answer.content) == 5_000_000

    async def test_key_of_a_lost_server_is_served_again(
        self, running: deployment.Deployment, client: httpx.AsyncClient
    ):
        """Guards against a key that stays with a dead server."""
        url = next(iter(running.vms.values())).url
        lost = await served_by(client, url, "a", _READY_S)
        await running.kill_backend(lost)
        assert await served_by(client, url, "a", _RECOVERY_TARGET_S) != lost

    async def test_partition_of_a_lost_vm_is_taken_over(
        self, running: deployment.Deployment, client: httpx.AsyncClient
    ):
        """Guards against a key that stays without a home."""
        urls = {n: vm.url for n, vm in running.vms.items()}
        await served_by(client, urls["vm-0"], "a", _READY_S)
        partition = running.partition("stock.0")
        assert partition is not None
        holder = partition.holder.vm
        await running.kill_vm(holder)
        url = next(u for n, u in urls.items() if n != holder)
        await served_by(client, url, "a", _RECOVERY_TARGET_S)

    async def test_platform_outage_changes_nothing(
        self, running: deployment.Deployment, client: httpx.AsyncClient
    ):
        """Guards against ownership that lapses with the platform."""
        urls = [vm.url for vm in running.vms.values()]
        owner = await served_by(client, urls[0], "a", _READY_S)
        running.platform.faults.down = True
        running.platform.wake_watches()
        end_s = time.monotonic() + 2.5
        while time.monotonic() < end_s:
            for url in urls:
                assert await served_by(client, url, "a", 0.0) == owner
            await asyncio.sleep(0.05)

    async def test_new_vm_learns_from_neighbours_without_the_platform(
        self, running: deployment.Deployment, client: httpx.AsyncClient
    ):
        """Guards against a replaced VM that waits for the platform."""
        url = next(iter(running.vms.values())).url
        owners = {
            k: await served_by(client, url, k, _READY_S) for k in "abcdef"
        }
        partition = running.partition("stock.0")
        assert partition is not None and partition.standby is not None
        pair = (partition.holder.vm, partition.standby.vm)
        replaced = next(n for n in running.vms if n not in pair)
        key = next(
            k for k, o in owners.items() if partition.homes[o] != replaced
        )
        settings = await running.kill_vm(replaced)
        running.platform.faults.down = True
        running.platform.wake_watches()
        keeper = msgspec.structs.replace(
            settings.keeper, neighbours=running.neighbours()
        )
        entry = await running.start_vm(
            msgspec.structs.replace(settings, keeper=keeper)
        )
        owner = await served_by(client, entry.url, key, _READY_S)
        assert owner == owners[key]
