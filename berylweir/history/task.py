"""Tasks that drive a deployment and record what callers are told."""

import asyncio
from collections.abc import Callable
import random
import time
import uuid

import httpx
import msgspec

from berylweir.backendapi import headers
from berylweir.history import decisions
from berylweir.history import models
from berylweir.objects import schemas
from berylweir.standin import deployment
from berylweir.standin import faults
from berylweir.supervision import models as supervision

_ATTEMPTS = 3
_PAUSE_S = 0.01
_RETRY_S = 0.05
_DEADLINE_MS = b"1500"
_READY_S = 10.0

PLANS = (
    deployment.GroupPlan(
        schemas.ServerGroup("orders", schemas.Keyed(slices=16), slots=3),
        "/orders/",
        servers=4,
        service_s=0.01,
    ),
    deployment.GroupPlan(
        schemas.ServerGroup(
            "books", schemas.Keyed(slices=16, checks_grants=False), slots=3
        ),
        "/books/",
        servers=4,
        service_s=0.01,
    ),
)


def new_request_id(wall_s: float, chance: random.Random) -> str:
    """Returns a version 7 UUID.

    Args:
        wall_s: Wall-clock time of its creation, in seconds.
        chance: Source of its random part.
    """
    value = int(wall_s * 1000) << 80 | chance.getrandbits(80)
    value = value & ~(0xF << 76) | 7 << 76
    value = value & ~(0x3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))


class CallerTask:
    """Owns the connections of one caller and its part of the history."""

    def __init__(
        self,
        name: str,
        path: str,
        urls: Callable[[], list[str]],
        chance: random.Random,
    ) -> None:
        """Creates a caller.

        Args:
            name: Name of the caller, part of its keys.
            path: Path of its requests.
            urls: Returns the entry VMs to choose from.
            chance: Source of its choices.
        """
        self._name = name
        self._path = path
        self._urls = urls
        self._chance = chance
        self._invocations: list[models.Invocation] = []

    @property
    def invocations(self) -> list[models.Invocation]:
        """Everything that this caller was told."""
        return self._invocations

    async def run(self, context: supervision.ChildContext) -> None:
        """Sends requests until asked to stop."""
        client = await context.stack.enter_async_context(
            httpx.AsyncClient(timeout=3.0)
        )
        context.report_ready()
        while not context.stop_event.is_set():
            await self._order(client)
            await asyncio.sleep(_PAUSE_S)

    async def _order(self, client: httpx.AsyncClient) -> None:
        request_id = new_request_id(time.time(), self._chance)
        key = f"{self._name}-{self._chance.randrange(64)}"
        for _ in range(_ATTEMPTS):
            invocation = await self._attempt(client, request_id, key)
            self._invocations.append(invocation)
            if invocation.outcome is models.Outcome.DONE:
                return
            await asyncio.sleep(_RETRY_S)

    async def _attempt(
        self, client: httpx.AsyncClient, request_id: str, key: str
    ) -> models.Invocation:
        sent_s = time.monotonic()
        outcome = models.Outcome.UNKNOWN
        answer_id = answer_key = ""
        try:
            answer = await client.post(
                self._chance.choice(self._urls()) + self._path,
                headers={
                    headers.KEY: key.encode(),
                    headers.IDEMPOTENCY_KEY: request_id.encode(),
                    headers.DEADLINE_MS: _DEADLINE_MS,
                },
            )
        except httpx.ConnectError:
            outcome = models.Outcome.NOT_RUN
        except httpx.HTTPError:
            pass
        else:
            outcome = _outcome_of(answer)
            if answer.status_code == httpx.codes.OK:
                body = msgspec.json.decode(answer.content)
                answer_id, answer_key = body["request_id"], body["key"]
        return models.Invocation(
            request_id,
            key,
            sent_s,
            time.monotonic(),
            outcome,
            answer_id,
            answer_key,
        )


def _outcome_of(answer: httpx.Response) -> models.Outcome:
    if answer.status_code == httpx.codes.OK:
        return models.Outcome.DONE
    told = answer.headers.get(headers.OUTCOME.decode(), "unknown")
    return models.Outcome(told)


class FaultTask:
    """Brings faults into a deployment, one after the other."""

    def __init__(
        self, target: deployment.Deployment, chance: random.Random
    ) -> None:
        """Creates a task that injects faults into `target`."""
        self._target = target
        self._chance = chance
        self.injected = 0

    async def run(self, context: supervision.ChildContext) -> None:
        """Injects faults until asked to stop; each one ends."""
        context.report_ready()
        faulty = (
            self._lose_server,
            self._freeze_server,
            self._lose_vm,
            self._lose_platform,
        )
        while not context.stop_event.is_set():
            await self._chance.choice(faulty)()
            self.injected += 1
            await asyncio.sleep(self._chance.uniform(0.2, 1.0))

    def _server(self) -> str:
        return self._chance.choice(sorted(self._target.backends))

    async def _lose_server(self) -> None:
        name = self._server()
        await self._target.kill_backend(name)
        await asyncio.sleep(self._chance.uniform(0.1, 2.5))
        serving = self._target.backends[name]
        serving.state.restart()
        part = deployment.Part(serving.run)
        await part.start()
        self._target.backend_parts[name] = part

    async def _freeze_server(self) -> None:
        state = self._target.backends[self._server()].state
        state.set_faults(faults.BackendFaults(frozen=True))
        await asyncio.sleep(self._chance.uniform(0.3, 2.5))
        state.set_faults(faults.BackendFaults())

    async def _lose_vm(self) -> None:
        name = self._chance.choice(sorted(self._target.vms))
        settings = await self._target.kill_vm(name)
        await asyncio.sleep(self._chance.uniform(0.1, 2.0))
        await self._target.start_vm(settings)

    async def _lose_platform(self) -> None:
        self._target.platform.faults.down = True
        self._target.platform.wake_watches()
        await asyncio.sleep(self._chance.uniform(0.3, 2.0))
        self._target.platform.faults.down = False


def runs_of(target: deployment.Deployment) -> list[models.Run]:
    """Returns what the backend servers of a deployment have executed."""
    found = []
    groups = {p.group.name: i for i, p in enumerate(PLANS)}
    for name, serving in target.backends.items():
        offset = groups[name.rsplit("-", 1)[0]] * 1000
        for e in serving.state.executions:
            index = e.slice + offset if e.slice >= 0 else -1
            found.append(
                models.Run(
                    name, e.request_id, index, e.token, e.started_s, e.ended_s
                )
            )
    return found


async def run_history(
    duration_s: float, seed: int, callers: int = 8
) -> tuple[
    tuple[models.Violation, ...], list[models.Invocation], list[models.Run]
]:
    """Runs callers and faults over real sockets and checks the history.

    Args:
        duration_s: Time during which faults are injected, in seconds.
        seed: Seed of all choices.
        callers: Number of concurrent callers.

    Returns:
        The violations, all attempts and all executions.
    """
    chance = random.Random(seed)
    async with deployment.Deployment(PLANS, vms=4) as target:
        await _wait_ready(target)
        tasks = [
            CallerTask(
                f"caller-{i}",
                f"{PLANS[i % len(PLANS)].path_prefix}x",
                lambda: [vm.url for vm in target.vms.values()],
                random.Random(chance.random()),
            )
            for i in range(callers)
        ]
        parts = [deployment.Part(t.run) for t in tasks]
        injecting = deployment.Part(
            FaultTask(target, random.Random(chance.random())).run
        )
        for part in (*parts, injecting):
            await part.start()
        await asyncio.sleep(duration_s)
        for part in (injecting, *parts):
            await part.stop()
        # Requests whose callers have gone may still be running.
        await asyncio.sleep(1.0)
        runs = runs_of(target)
    invocations = [i for t in tasks for i in t.invocations]
    return decisions.check(invocations, runs), invocations, runs


async def _wait_ready(target: deployment.Deployment) -> None:
    deadline_s = time.monotonic() + _READY_S
    while time.monotonic() < deadline_s:
        partitions = [target.partition(f"{p.group.name}.0") for p in PLANS]
        if all(
            p is not None
            and p.homes
            and all(isinstance(s, schemas.Owned) for s in p.slices)
            for p in partitions
        ):
            return
        await asyncio.sleep(0.05)
