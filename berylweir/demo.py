"""Runs a small deployment in one process and sends real requests to it."""

import asyncio
import dataclasses
import sys
import time
import uuid

import httpx
import uvloop

from berylweir.objects import schemas
from berylweir.observability import logs
from berylweir.standin import deployment

_KEY_COUNT = 60
_MAX_LOOKUPS = 5
_READY_TIMEOUT_S = 10.0
# An id that was created less than 1 s after its slice got another home is
# answered as unknown, since the former home may have run it.
_MAX_ORDERS = 10
_ORDER_RETRY_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order and the response to it.

    Attributes:
        request_id: Idempotency key with which it was sent last.
        response: The response to that request.
    """

    request_id: str
    response: httpx.Response


def _groups() -> tuple[deployment.GroupSpec, ...]:
    return (
        deployment.GroupSpec(
            schemas.ServerGroup("stock", schemas.Keyed(slices=64), slots=3),
            "/stock/",
            servers=6,
        ),
        deployment.GroupSpec(
            schemas.ServerGroup("files", schemas.Unkeyed(), slots=3),
            "/files/",
            servers=3,
        ),
    )


async def _wait_until_served(
    client: httpx.AsyncClient, urls: list[str]
) -> float:
    """Waits until all entry VMs serve some keys; returns the time taken."""
    start_s = time.monotonic()
    while time.monotonic() - start_s < _READY_TIMEOUT_S:
        responses = [
            await client.get(f"{u}/stock/x", headers={"berylweir-key": f"k{i}"})
            for u in urls
            for i in range(5)
        ]
        if all(a.status_code == 200 for a in responses):
            return time.monotonic() - start_s
        await asyncio.sleep(0.05)
    raise TimeoutError("the deployment was not ready in time")


async def _find_owners(
    client: httpx.AsyncClient, urls: list[str], key: str
) -> set[str]:
    """Returns the servers that serve a key through all entry VMs.

    A slice may move between two requests, so the lookup is repeated, up to 5
    times, until all entry VMs lead to the same server.
    """
    owners: set[str] = set()
    for _ in range(_MAX_LOOKUPS):
        responses = [
            await client.get(f"{u}/stock/item", headers={"berylweir-key": key})
            for u in urls
        ]
        if all(a.status_code == 200 for a in responses):
            owners = {a.json()["server"] for a in responses}
            if len(owners) == 1:
                break
        await asyncio.sleep(0.1)
    return owners


async def place_order(client: httpx.AsyncClient, url: str, key: str) -> Order:
    """Orders, with a new id for each answer that the outcome is unknown.

    None of the ids was sent before, so none of these orders has run.

    Args:
        client: Client that sends the order.
        url: URL of an entry VM.
        key: Key of the order.
    """
    for attempt in range(_MAX_ORDERS):
        if attempt > 0:
            await asyncio.sleep(_ORDER_RETRY_S)
        request_id = _uuid7()
        response = await _send_order(client, url, key, request_id)
        if response.headers.get("berylweir-outcome") != "unknown":
            break
    return Order(request_id, response)


async def _send_order(
    client: httpx.AsyncClient, url: str, key: str, request_id: str
) -> httpx.Response:
    headers = {"berylweir-key": key, "idempotency-key": request_id}
    return await client.post(f"{url}/stock/order", headers=headers)


async def _run_demo() -> int:
    async with (
        deployment.Deployment(_groups()) as cluster,
        httpx.AsyncClient(timeout=10.0) as client,
    ):
        urls = [vm.url for vm in cluster.vms.values()]
        ready_s = await _wait_until_served(client, urls)
        print(f"3 entry VMs, 9 backend servers: ready after {ready_s:.2f} s")
        owners = {
            f"key-{n}": await _find_owners(client, urls, f"key-{n}")
            for n in range(_KEY_COUNT)
        }
        single_owner_keys = sum(len(o) == 1 for o in owners.values())
        print(
            f"lookups of {_KEY_COUNT} keys through {len(urls)} entry VMs: "
            f"{single_owner_keys} keys had one owner"
        )
        order = await place_order(client, urls[0], "key-1")
        first_response = order.response
        second_response = await _send_order(
            client, urls[1], "key-1", order.request_id
        )
        print(
            f"order: {first_response.status_code}; the same order "
            f"through another entry VM: {second_response.status_code} "
            f"{second_response.headers.get('berylweir-outcome')}"
        )
        size = 50_000_000
        received = 0
        async with client.stream(
            "GET", f"{urls[2]}/files/pattern?bytes={size}"
        ) as download:
            async for chunk in download.aiter_bytes():
                received += len(chunk)
        print(f"download: {received} of {size} bytes")
        killed_server = next(iter(owners["key-1"]))
        await cluster.kill_backend(killed_server)
        start_s = time.monotonic()
        while True:
            response = await client.get(
                f"{urls[0]}/stock/item", headers={"berylweir-key": "key-1"}
            )
            if response.status_code == 200:
                break
        print(
            f"{killed_server} killed: key-1 served by "
            f"{response.json()['server']} "
            f"after {time.monotonic() - start_s:.2f} s"
        )
        succeeded = (
            single_owner_keys == _KEY_COUNT
            and (first_response.status_code, second_response.status_code)
            == (200, 409)
            and received == size
        )
        return 0 if succeeded else 1


def _uuid7() -> str:
    """Returns a version 7 UUID of the current time."""
    milliseconds = int(time.time() * 1000)
    value = (milliseconds << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    value = (value & ~(0xF << 76)) | (7 << 76)
    value = (value & ~(0x3 << 62)) | (2 << 62)
    return str(uuid.UUID(int=value))


def main() -> None:
    """Runs the demo; the exit code is 0 if all checks succeed."""
    logs.configure("WARNING")
    sys.exit(uvloop.run(_run_demo()))


if __name__ == "__main__":
    main()
