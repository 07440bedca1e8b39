"""Access of commands to the objects in the platform's store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TypeVar

import result

from berylweir.ctl import exceptions
from berylweir.platform import objects
from berylweir.platform import settings
from berylweir.platform import store

_T = TypeVar("_T")
_Outcome = result.Result[_T, exceptions.Failure]


def run(
    address: str,
    work: Callable[[store.StoreClient], Awaitable[_Outcome[_T]]],
) -> _Outcome[_T]:
    """Runs a function with a client of the store.

    Args:
        address: `host:port` of the store.
        work: The function.

    Returns:
        The function's result; `BadInput` if the address isn't valid.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        return result.Err(
            exceptions.BadInput("--store", f"{address!r} is not HOST:PORT")
        )

    async def run_with_client() -> _Outcome[_T]:
        client = store.StoreClient(settings.StoreAddress((host, int(port))))
        try:
            return await work(client)
        finally:
            client.close()

    return asyncio.run(run_with_client())


async def list_gateway_objects(
    client: store.StoreClient,
) -> _Outcome[list[objects.GatewayObject]]:
    """Returns the VMs, the lease and refused requests that can be decoded."""
    match await client.list_all(objects.GATEWAY_KIND):
        case result.Err(failure):
            return result.Err(exceptions.Unreachable("store", repr(failure)))
        case result.Ok(listing):
            decoded = map(objects.decode_gateway_object, listing.objects)
            return result.Ok(
                [o.ok_value for o in decoded if isinstance(o, result.Ok)]
            )
