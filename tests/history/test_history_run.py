"""Tests of a short recorded history over real sockets."""

import asyncio
import itertools
import random
import time
import uuid

import httpx
import msgspec
import pytest

from berylweir import keyspace
from berylweir.backendapi import headers
from berylweir.history import models
from berylweir.history import task
from berylweir.objects import schemas
from berylweir.standin import deployment

_SLICES = 16
_GROUP = schemas.ServerGroup("books", schemas.Keyed(_SLICES))
_PATH = "/books/"
_TIMEOUT_S = 10.0


class TestRun:
    """Callers, fault injection and the checker together."""

    async def test_short_run_has_no_violations(self):
        """Guards against two owners and repeated executions during faults."""
        violations, invocations, runs = await task.run_history(8.0, seed=1)
        assert violations == ()
        assert runs
        assert models.Outcome.DONE in {i.outcome for i in invocations}


class MovingDeployment:
    """A deployment whose slices move when a server is drained."""

    def __init__(
        self, target: deployment.Deployment, client: httpx.AsyncClient
    ) -> None:
        self._target = target
        self._client = client
        self._rng = random.Random(1)

    @property
    def partition(self) -> schemas.Partition:
        """The only partition of the group."""
        partition = self._target.partition(f"{_GROUP.name}.0")
        assert partition is not None
        return partition

    def slices_of(self, server: str) -> set[int]:
        """Returns the slices that a server owns."""
        return {
            i
            for i, s in enumerate(self.partition.slices)
            if isinstance(s, schemas.Owned) and s.server == server
        }

    def run_count(self, request_id: str) -> int:
        """Returns how many times the servers have run a request."""
        return sum(
            e.request_id == request_id
            for b in self._target.backends.values()
            for e in b.state.executions
        )

    async def send(self, index: int, request_id: str) -> bool:
        """Sends a request of a slice; returns whether it was answered 200."""
        key = next(
            k
            for k in map(str, itertools.count())
            if keyspace.slice_of(k.encode(), _SLICES) == index
        )
        response = await self._client.post(
            f"{self._target.vms['vm-0'].url}{_PATH}",
            headers={
                headers.KEY: key.encode(),
                headers.IDEMPOTENCY_KEY: request_id.encode(),
            },
        )
        return response.status_code == httpx.codes.OK

    async def send_until_run(self, index: int) -> str:
        """Sends new requests of a slice until one is run; returns its id."""
        async with asyncio.timeout(_TIMEOUT_S):
            while True:
                request_id = task.new_request_id(time.time(), self._rng)
                if await self.send(index, request_id):
                    return request_id
                await asyncio.sleep(0.05)

    async def drain(self, server: str) -> None:
        """Drains a server and waits until it owns no slice."""
        stored = self._target.platform.get(schemas.BackendServer.KIND, server)
        assert stored is not None
        value = msgspec.json.decode(stored.value, type=schemas.BackendServer)
        self._target.put(msgspec.structs.replace(value, state="draining"))
        async with asyncio.timeout(_TIMEOUT_S):
            while not all(
                isinstance(s, schemas.Owned) and s.server != server
                for s in self.partition.slices
            ):
                await asyncio.sleep(0.05)


class TestMovedSlice:
    """Repeats after the slice has moved to a server of another home."""

    @pytest.mark.parametrize("checks_grants", [False, True])
    async def test_repeat_is_not_run_by_the_new_owner(
        self, checks_grants: bool
    ):
        """Guards against a home that doesn't know what the former one ran."""
        group = msgspec.structs.replace(
            _GROUP,
            routing=schemas.Keyed(_SLICES, checks_grants=checks_grants),
        )
        async with (
            deployment.Deployment(
                (deployment.GroupSpec(group, _PATH, servers=4),), vms=4
            ) as target,
            httpx.AsyncClient(timeout=_TIMEOUT_S) as client,
        ):
            moving = MovingDeployment(target, client)
            await moving.send_until_run(0)
            homes = moving.partition.homes
            source = next(
                s
                for s, vm in homes.items()
                if list(homes.values()).count(vm) == 1
            )
            request_ids = {
                i: await moving.send_until_run(i)
                for i in moving.slices_of(source)
            }
            assert request_ids
            await moving.drain(source)
            for index, request_id in request_ids.items():
                # The new owner's home serves the slice from then on.
                await moving.send_until_run(index)
                assert not await moving.send(index, request_id)
            run_counts = {moving.run_count(r) for r in request_ids.values()}
            assert run_counts == {1}


class TestRequestId:
    """Ids of requests."""

    def test_is_a_uuid_of_version_7(self):
        """Guards against ids that every home VM would refuse."""
        request_id = uuid.UUID(task.new_request_id(1234.5, random.Random(1)))
        assert request_id.version == 7
        assert request_id.variant == uuid.RFC_4122
        assert request_id.int >> 80 == 1_234_500
