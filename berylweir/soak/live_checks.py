"""Checks of the gateways' guarantees while a soak runs."""

import asyncio
import time
import typing

from berylweir.soak import deployment as deployments
from berylweir.soak import gateways
from berylweir.soak import models
from berylweir.standin.gateway_platform import caller

# Keys that are checked for having more than one owner.
_SAMPLED_KEYS = (*range(0, 65_536, 4099), 65_535)
_OWNERSHIP_CHECK_INTERVAL_S = 0.01
_VERSION_CHECK_INTERVAL_S = 0.1
# Deadline of a request that checks the configuration version in force.
_VERSION_REQUEST_DEADLINE_MS = 500


class LiveChecks:
    """Records violations that only show while the soak runs."""

    def __init__(self, deployment: deployments.Deployment) -> None:
        """Creates the checks.

        Args:
            deployment: The store and the servers.
        """
        self._deployment = deployment
        self._violations: list[str] = []
        self._versions_in_force: list[models.VersionInForce] = []

    @property
    def violations(self) -> list[str]:
        """A line for each violation so far."""
        return self._violations

    @property
    def versions_in_force(self) -> list[models.VersionInForce]:
        """Versions of the configuration that gateways had, in their order."""
        return self._versions_in_force

    async def check_single_owner(self) -> typing.NoReturn:
        """Records a violation if several servers own a sampled key.

        Or if a server owns a key on which another one is at work.
        """
        while True:
            servers = self._deployment.servers
            self._violations += [
                f"key {key} held by {other.name} while {server.name} is at work"
                for server in servers
                for key in server.keys_at_work
                for other in servers
                if other is not server and other.holds(key)
            ]
            for key in _SAMPLED_KEYS:
                owners = [
                    s.name for s in self._deployment.servers if s.holds(key)
                ]
                if len(owners) > 1:
                    self._violations.append(f"key {key} held by {owners}")
            await asyncio.sleep(_OWNERSHIP_CHECK_INTERVAL_S)

    async def check_configuration_version(
        self, gateway: gateways.Gateway
    ) -> typing.NoReturn:
        """Records a violation if an instance goes back to an older version.

        A restart of the gateway may bring an older version back.
        """
        instance, newest_version = 0, 0
        while True:
            await asyncio.sleep(_VERSION_CHECK_INTERVAL_S)
            if gateway.instance != instance:
                instance, newest_version = gateway.instance, 0
            if (
                newest_version > 1
                and await _serves_version(gateway, newest_version - 1)
                and gateway.instance == instance
            ):
                self._violations.append(
                    f"vm-{gateway.vm} went back to version {newest_version - 1}"
                )
            for version in range(
                self._deployment.configuration_version, newest_version, -1
            ):
                if await _serves_version(gateway, version):
                    if gateway.instance == instance:
                        newest_version = version
                        self._versions_in_force.append(
                            models.VersionInForce(
                                gateway.vm, instance, version, time.monotonic()
                            )
                        )
                    break


async def _serves_version(gateway: gateways.Gateway, version: int) -> bool:
    """Returns whether the gateway has a configuration version in force."""
    request = caller.encode_request(
        f"/v{version}/x",
        f"p{gateway.vm}-{time.monotonic_ns()}",
        _VERSION_REQUEST_DEADLINE_MS,
        closes_connection=True,
    )
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", gateway.port
            )
            try:
                writer.write(request)
                response = await caller.read_response(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, EOFError):
        return False  # The gateway is down or frozen.
    return response.status == 200
