"""Tests of the status endpoint of a keeper."""

import asyncio

import httpx

from berylweir.objects import schemas
from berylweir.standin import deployment


class TestStatus:
    """The versions in force that a keeper reports."""

    async def test_version_in_force_follows_a_change(self):
        """Guards against a reported version that isn't in force."""
        async with (
            deployment.Deployment((), vms=1) as standin,
            httpx.AsyncClient() as client,
        ):
            settings = standin.vms["vm-0"].settings
            url = (
                f"http://127.0.0.1:{settings.keeper.status_port}"
                "/in-force/availability_zone/a"
            )
            standin.put(schemas.AvailabilityZone("a", in_service=False))
            async with asyncio.timeout(10):
                while (await client.get(url)).json()["version"] != 2:
                    await asyncio.sleep(0.02)
