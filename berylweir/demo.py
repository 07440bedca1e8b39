"""Runs a small deployment in one process and sends real requests to it."""

import asyncio
import sys
import time
import uuid

import httpx
import uvloop

from berylweir.objects import schemas
from berylweir.observability import logs
from berylweir.standin import deployment

_KEYS = 60
_LOOKUP_ROUNDS = 5
_READY_TIMEOUT_S = 10.0


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


async def _wait_served(client: httpx.AsyncClient, urls: list[str]) -> float:
    began_s = time.monotonic()
    while time.monotonic() - began_s < _READY_TIMEOUT_S:
        answers = [
            await client.get(f"{u}/stock/x", headers={"berylweir-key": f"k{i}"})
            for u in urls
            for i in range(5)
        ]
        if all(a.status_code == 200 for a in answers):
            return time.monotonic() - began_s
        await asyncio.sleep(0.05)
    raise TimeoutError("the deployment was not ready in time")


async def _owners(
    client: httpx.AsyncClient, urls: list[str], key: str
) -> set[str]:
    """Returns the servers that answer for a key through all entry VMs.

    A slice may move between two lookups, so different answers are asked again.
    """
    owners: set[str] = set()
    for _ in range(_LOOKUP_ROUNDS):
        answers = [
            await client.get(f"{u}/stock/item", headers={"berylweir-key": key})
            for u in urls
        ]
        if all(a.status_code == 200 for a in answers):
            owners = {a.json()["server"] for a in answers}
            if len(owners) == 1:
                break
        await asyncio.sleep(0.1)
    return owners


async def _run() -> int:
    async with (
        deployment.Deployment(_groups()) as running,
        httpx.AsyncClient(timeout=10.0) as client,
    ):
        urls = [vm.url for vm in running.vms.values()]
        ready_s = await _wait_served(client, urls)
        print(f"3 entry VMs, 9 backend servers: ready after {ready_s:.2f} s")
        owners = {
            f"key-{n}": await _owners(client, urls, f"key-{n}")
            for n in range(_KEYS)
        }
        single = sum(len(o) == 1 for o in owners.values())
        print(
            f"lookups of {_KEYS} keys through {len(urls)} entry VMs: "
            f"{single} keys had one owner"
        )
        order = {
            "berylweir-key": "key-1",
            "idempotency-key": _uuid7(),
        }
        await asyncio.sleep(1.2)
        order["idempotency-key"] = _uuid7()
        first = await client.post(f"{urls[0]}/stock/order", headers=order)
        second = await client.post(f"{urls[1]}/stock/order", headers=order)
        print(
            f"order: {first.status_code}; the same order through another "
            f"entry VM: {second.status_code} "
            f"{second.headers.get('berylweir-outcome')}"
        )
        size = 50_000_000
        received = 0
        async with client.stream(
            "GET", f"{urls[2]}/files/pattern?bytes={size}"
        ) as download:
            async for part in download.aiter_bytes():
                received += len(part)
        print(f"download: {received} of {size} bytes")
        lost = next(iter(owners["key-1"]))
        await running.kill_backend(lost)
        began_s = time.monotonic()
        while True:
            answer = await client.get(
                f"{urls[0]}/stock/item", headers={"berylweir-key": "key-1"}
            )
            if answer.status_code == 200:
                break
        print(
            f"{lost} killed: key-1 served by {answer.json()['server']} "
            f"after {time.monotonic() - began_s:.2f} s"
        )
        good = (
            single == _KEYS
            and (first.status_code, second.status_code) == (200, 409)
            and received == size
        )
        return 0 if good else 1


def _uuid7() -> str:
    milliseconds = int(time.time() * 1000)
    value = (milliseconds << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    value = (value & ~(0xF << 76)) | (7 << 76)
    value = (value & ~(0x3 << 62)) | (2 << 62)
    return str(uuid.UUID(int=value))


def main() -> None:
    """Runs the demonstration; the exit code is 0 if all went well."""
    logs.configure("WARNING")
    sys.exit(uvloop.run(_run()))


if __name__ == "__main__":
    main()
