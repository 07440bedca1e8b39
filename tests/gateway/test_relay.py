"""Tests of gateways that receive the store's changes from other gateways."""

import asyncio
import time

import pytest

from berylweir.gateway.replication import upstreams
from tests.gateway import rig

# Time within which a new configuration must be in force, in seconds.
_CONFIGURATION_TIMEOUT_S = 2.5
# Time within which a gateway must be ready if all watchers have ended, in
# seconds.
_RESTART_TIMEOUT_S = 1.0


async def has_route(gateway: rig.Gateway, name: str) -> bool:
    """Returns whether a gateway knows a route."""
    reply = await gateway.ask(f"/{name}/1", f"{name}-{time.monotonic_ns()}")
    return reply is not None and reply.status != 404


async def change_route(
    deployment: rig.Rig, name: str, version: int, gateways: list[rig.Gateway]
) -> None:
    """Writes a configuration and waits until it is in force.

    Raises:
        TimeoutError: It is not in force at all gateways in time.
    """
    await deployment.configure({"g": False}, [rig.route(name, "g")], version)
    async with asyncio.timeout(_CONFIGURATION_TIMEOUT_S):
        for gateway in gateways:
            while not await has_route(gateway, name):
                await asyncio.sleep(0.02)


def count_changes_received(gateways: list[rig.Gateway]) -> int:
    """Returns how often gateways received a configuration from another one."""
    return sum(
        gateway.metrics.counts.get("relay.told.config", 0)
        for gateway in gateways
    )


class TestRelay:
    """Deployments with more gateways than watchers."""

    async def start_gateways(self, deployment: rig.Rig) -> list[rig.Gateway]:
        """Starts three gateways more than watchers, one after the other."""
        await deployment.configure({"g": False}, [rig.route("r", "g")])
        await deployment.add_server("s1", "g")
        return [
            await deployment.add_gateway(f"vm-{number}")
            for number in range(upstreams.WATCHER_COUNT + 3)
        ]

    async def test_followers_send_no_calls_for_a_change(self):
        """Guards against a call to the store from each VM for each change."""
        async with rig.Rig() as deployment:
            gateways = await self.start_gateways(deployment)
            await asyncio.sleep(1.5)
            for calls in deployment.store_calls.values():
                calls.clear()
            for version in range(2, 6):
                await change_route(deployment, f"r{version}", version, gateways)
                await deployment.add_server(f"n{version}", "g")
            by_name = deployment.store_calls
            for gateway in gateways[upstreams.WATCHER_COUNT :]:
                calls = [
                    call
                    for call in by_name[gateway.environment.vm]
                    if "/config" in call or "/servers" in call
                ]
                assert calls == []

    @pytest.mark.parametrize("fault", ["cut_off", "unanswered"])
    async def test_watchers_that_lose_the_store_are_replaced(self, fault: str):
        """Guards against an old configuration at followers of a watcher."""
        async with rig.Rig() as deployment:
            gateways = await self.start_gateways(deployment)
            await asyncio.sleep(1.5)
            lost = {f"vm-{n}" for n in range(upstreams.WATCHER_COUNT - 1)}
            getattr(deployment, fault).update(lost)
            await change_route(deployment, "r2", 2, gateways)

    async def test_each_change_is_sent_once(self):
        """Guards against traffic between zones for changes that are known."""
        async with rig.Rig() as deployment:
            gateways = await self.start_gateways(deployment)
            await asyncio.sleep(1.5)
            before = count_changes_received(gateways)
            for version in range(2, 6):
                await change_route(deployment, f"r{version}", version, gateways)
                await asyncio.sleep(1.0)
            followers = len(gateways) - upstreams.WATCHER_COUNT
            assert count_changes_received(gateways) - before == 4 * followers

    async def test_lost_watchers_are_replaced(self):
        """Guards against an old configuration after all watchers have ended."""
        async with rig.Rig() as deployment:
            gateways = await self.start_gateways(deployment)
            await asyncio.sleep(1.5)
            lost = gateways[: upstreams.WATCHER_COUNT]
            await asyncio.gather(*(gateway.kill() for gateway in lost))
            remaining = gateways[upstreams.WATCHER_COUNT :]
            await change_route(deployment, "r2", 2, remaining)

    async def test_the_first_one_starts_alone_after_a_power_cut(self):
        """Guards against waiting for registered gateways that have ended."""
        async with rig.Rig() as deployment:
            gateways = await self.start_gateways(deployment)
            await asyncio.sleep(0.5)
            await asyncio.gather(*(gateway.kill() for gateway in gateways))
            async with asyncio.timeout(_RESTART_TIMEOUT_S):
                await deployment.restart(gateways[-1])

    async def test_a_follower_that_reaches_no_gateway_watches_the_store(self):
        """Guards against an old configuration while the store is up."""
        async with rig.Rig() as deployment:
            gateways = await self.start_gateways(deployment)
            await asyncio.gather(*(gateway.kill() for gateway in gateways[:-1]))
            await change_route(deployment, "r2", 2, gateways[-1:])
