"""Reads objects from the platform or, while it is down, from the keeper."""

import contextlib
import time

import httpx
import msgspec
import result

from berylweir.api import models
from berylweir.api import schemas
from berylweir.keeper.configuration import store
from berylweir.keeper.status import schemas as status
from berylweir.objects import client as platform_client
from berylweir.objects import exceptions
from berylweir.objects import messages as platform_messages

_KEEPER_TIMEOUT_S = 0.5
# After a failed call the platform counts as down for this time, so that
# requests during an outage don't each wait for a timeout.
_PLATFORM_DOWN_S = 1.0


def snapshot_of(
    stored_objects: tuple[platform_messages.StoredObject, ...],
) -> models.ObjectSnapshot:
    """Returns the objects; one that doesn't fit its model is left out."""
    versions = store.ObjectStore()
    objects = {}
    for stored in stored_objects:
        match versions.merge(stored):
            case result.Ok(store.Changed(value=value)):
                objects[(stored.kind, stored.name)] = models.ObjectVersion(
                    stored.version, stored.operation_id, value
                )
            case _:
                pass
    return models.ObjectSnapshot(objects)


async def read_snapshot(
    platform: platform_client.PlatformClient,
) -> result.Result[models.ObjectSnapshot, exceptions.PlatformFailure]:
    """Returns all objects of the platform, read in one call."""
    match await platform.watch(store.WATCHED_KINDS, 0, 0.0):
        case result.Ok(listed):
            return result.Ok(snapshot_of(listed.items))
        case result.Err(failure):
            return result.Err(failure)


class KeeperClient:
    """Asks this VM's keeper what it knows."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Creates it with a client whose base URL is that of the keeper."""
        self._client = client
        self._platform_down_until_s = 0.0

    def mark_platform_down(self) -> None:
        """Makes the platform count as down for a short time."""
        self._platform_down_until_s = time.monotonic() + _PLATFORM_DOWN_S

    async def fetch_in_force(self) -> status.ObjectsInForce | None:
        """Returns what is in force, or None if the keeper doesn't answer."""
        try:
            response = await self._client.get(
                "/in-force", timeout=_KEEPER_TIMEOUT_S
            )
            return msgspec.json.decode(
                response.content, type=status.ObjectsInForce
            )
        except (httpx.HTTPError, msgspec.MsgspecError):
            return None

    async def is_platform_up(self) -> bool:
        """Returns whether a call to the platform is worth its time."""
        if time.monotonic() < self._platform_down_until_s:
            return False
        in_force = await self.fetch_in_force()
        # Without a keeper the call itself has to tell.
        return in_force is None or in_force.platform_up

    async def fetch_objects(self) -> schemas.Objects:
        """Returns the objects in force on this VM."""
        in_force = await self.fetch_in_force()
        if in_force is None:
            return schemas.Objects("in_force", "", (), heard=False)
        return schemas.Objects("in_force", in_force.vm, in_force.objects)


async def open_keeper_client(
    stack: contextlib.AsyncExitStack, url: str
) -> KeeperClient:
    """Opens a client of this VM's keeper whose connections `stack` closes."""
    client = await stack.enter_async_context(httpx.AsyncClient(base_url=url))
    return KeeperClient(client)
