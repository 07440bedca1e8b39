"""Reads objects from the platform and from the keeper of this VM."""

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
# Time after a failed call during which the platform is treated as down, so that
# requests during an outage don't each wait for a timeout.
_PLATFORM_DOWN_S = 1.0


def snapshot_of(
    stored_objects: tuple[platform_messages.StoredObject, ...],
) -> models.ObjectSnapshot:
    """Returns a snapshot of the objects that fit the model of their kind."""
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
    """Reads all objects from the platform in one call.

    Returns:
        The objects, or the failure of the call.
    """
    match await platform.watch(store.WATCHED_KINDS, 0, 0.0):
        case result.Ok(object_list):
            return result.Ok(snapshot_of(object_list.items))
        case result.Err(failure):
            return result.Err(failure)


class KeeperClient:
    """Reads from this VM's keeper; remembers failed calls to the platform."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Creates a client.

        Args:
            client: HTTP client whose base URL is that of the keeper.
        """
        self._client = client
        self._platform_down_until_s = 0.0

    def mark_platform_down(self) -> None:
        """Treats the platform as down for `_PLATFORM_DOWN_S` seconds."""
        self._platform_down_until_s = time.monotonic() + _PLATFORM_DOWN_S

    async def fetch_in_force(self) -> status.ObjectsInForce | None:
        """Returns the objects in force, or None without a valid response."""
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
        """Returns whether a call to the platform is likely to succeed."""
        if time.monotonic() < self._platform_down_until_s:
            return False
        in_force = await self.fetch_in_force()
        # Without a response of the keeper, only the call itself can show
        # whether the platform is up.
        return in_force is None or in_force.platform_up

    async def fetch_objects(self) -> schemas.Objects:
        """Returns the objects in force on this VM.

        Without a valid response of the keeper, there are no objects and
        `heard` is false.
        """
        in_force = await self.fetch_in_force()
        if in_force is None:
            return schemas.Objects("in_force", "", (), heard=False)
        return schemas.Objects("in_force", in_force.vm, in_force.objects)


async def open_keeper_client(
    stack: contextlib.AsyncExitStack, url: str
) -> KeeperClient:
    """Opens a client of this VM's keeper.

    Args:
        stack: Closes the connections of the client.
        url: Base URL of the keeper.
    """
    client = await stack.enter_async_context(httpx.AsyncClient(base_url=url))
    return KeeperClient(client)
