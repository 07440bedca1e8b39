"""Tasks that send requests to a deployment and inject faults into it."""

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

_MAX_ATTEMPTS = 3
# Pause between two requests of a caller.
_REQUEST_PAUSE_S = 0.01
_RETRY_DELAY_S = 0.05
# Value of the deadline header of each attempt.
_DEADLINE_MS = b"1500"
_READY_TIMEOUT_S = 10.0

# One server group whose servers check grants, and one whose servers don't.
GROUP_SPECS = (
    deployment.GroupSpec(
        schemas.ServerGroup("orders", schemas.Keyed(slices=16), slots=3),
        "/orders/",
        servers=4,
        service_s=0.01,
    ),
    deployment.GroupSpec(
        schemas.ServerGroup(
            "books", schemas.Keyed(slices=16, checks_grants=False), slots=3
        ),
        "/books/",
        servers=4,
        service_s=0.01,
    ),
)


def new_request_id(wall_s: float, rng: random.Random) -> str:
    """Returns a version 7 UUID.

    Args:
        wall_s: Wall-clock time of its creation, in seconds.
        rng: Source of its random part.
    """
    value = int(wall_s * 1000) << 80 | rng.getrandbits(80)
    value = value & ~(0xF << 76) | 7 << 76
    value = value & ~(0x3 << 62) | 2 << 62
    return str(uuid.UUID(int=value))


class CallerTask:
    """Owns the connections of one caller and records its attempts."""

    def __init__(
        self,
        name: str,
        path: str,
        urls: Callable[[], list[str]],
        rng: random.Random,
    ) -> None:
        """Creates a caller.

        Args:
            name: Name of the caller. Its keys start with it, so callers use
                different keys.
            path: Path of its requests.
            urls: Returns the base URLs of the running entry VMs. Each attempt
                is sent to one of them.
            rng: Source of its random choices.
        """
        self._name = name
        self._path = path
        self._urls = urls
        self._rng = rng
        self._invocations: list[models.Invocation] = []

    @property
    def invocations(self) -> list[models.Invocation]:
        """All attempts of this caller so far."""
        return self._invocations

    async def run(self, context: supervision.ChildContext) -> None:
        """Sends one request after the other until asked to stop."""
        client = await context.stack.enter_async_context(
            httpx.AsyncClient(timeout=3.0)
        )
        context.report_ready()
        while not context.stop_event.is_set():
            await self._send_with_retries(client)
            await asyncio.sleep(_REQUEST_PAUSE_S)

    async def _send_with_retries(self, client: httpx.AsyncClient) -> None:
        request_id = new_request_id(time.time(), self._rng)
        key = f"{self._name}-{self._rng.randrange(64)}"
        for _ in range(_MAX_ATTEMPTS):
            invocation = await self._send_attempt(client, request_id, key)
            self._invocations.append(invocation)
            if invocation.outcome is models.Outcome.DONE:
                return
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _send_attempt(
        self, client: httpx.AsyncClient, request_id: str, key: str
    ) -> models.Invocation:
        sent_s = time.monotonic()
        outcome = models.Outcome.UNKNOWN
        answer_id = answer_key = ""
        try:
            response = await client.post(
                self._rng.choice(self._urls()) + self._path,
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
            outcome = _response_outcome(response)
            if response.status_code == httpx.codes.OK:
                body = msgspec.json.decode(response.content)
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


def _response_outcome(response: httpx.Response) -> models.Outcome:
    if response.status_code == httpx.codes.OK:
        return models.Outcome.DONE
    outcome = response.headers.get(headers.OUTCOME.decode(), "unknown")
    return models.Outcome(outcome)


class FaultTask:
    """Injects faults into a deployment, one after the other."""

    def __init__(
        self, target: deployment.Deployment, rng: random.Random
    ) -> None:
        """Creates the task.

        Args:
            target: Deployment to inject faults into.
            rng: Source of the random choice and timing of faults.
        """
        self._target = target
        self._rng = rng
        self.injected_count = 0

    async def run(self, context: supervision.ChildContext) -> None:
        """Injects faults until asked to stop.

        Each fault ends before the next begins. The one in progress when the
        task is asked to stop ends as well.
        """
        context.report_ready()
        injectors = (
            self._restart_server,
            self._freeze_server,
            self._restart_vm,
            self._interrupt_platform,
        )
        while not context.stop_event.is_set():
            await self._rng.choice(injectors)()
            self.injected_count += 1
            await asyncio.sleep(self._rng.uniform(0.2, 1.0))

    def _choose_server(self) -> str:
        return self._rng.choice(sorted(self._target.backends))

    async def _restart_server(self) -> None:
        """Kills a backend server and starts it again after up to 2.5 s."""
        name = self._choose_server()
        await self._target.kill_backend(name)
        await asyncio.sleep(self._rng.uniform(0.1, 2.5))
        backend = self._target.backends[name]
        backend.state.restart()
        runner = deployment.ChildRunner(backend.run)
        await runner.start()
        self._target.backend_runners[name] = runner

    async def _freeze_server(self) -> None:
        """Freezes a backend server for up to 2.5 s."""
        state = self._target.backends[self._choose_server()].state
        state.set_faults(faults.BackendFaults(frozen=True))
        await asyncio.sleep(self._rng.uniform(0.3, 2.5))
        state.set_faults(faults.BackendFaults())

    async def _restart_vm(self) -> None:
        """Kills an entry VM and starts it again after up to 2 s."""
        name = self._rng.choice(sorted(self._target.vms))
        settings = await self._target.kill_vm(name)
        await asyncio.sleep(self._rng.uniform(0.1, 2.0))
        await self._target.start_vm(settings)

    async def _interrupt_platform(self) -> None:
        """Makes the platform unavailable for up to 2 s."""
        self._target.platform.faults.down = True
        self._target.platform.wake_watches()
        await asyncio.sleep(self._rng.uniform(0.3, 2.0))
        self._target.platform.faults.down = False


def collect_runs(target: deployment.Deployment) -> list[models.Run]:
    """Returns all executions at the backend servers of a deployment.

    Slice numbers are offset by 1000 times the index of the server group, to
    make them unique across groups.
    """
    runs = []
    group_indexes = {spec.group.name: i for i, spec in enumerate(GROUP_SPECS)}
    for name, backend in target.backends.items():
        slice_offset = group_indexes[name.rsplit("-", 1)[0]] * 1000
        for execution in backend.state.executions:
            slice_index = (
                execution.slice + slice_offset if execution.slice >= 0 else -1
            )
            runs.append(
                models.Run(
                    name,
                    execution.request_id,
                    slice_index,
                    execution.token,
                    execution.started_s,
                    execution.ended_s,
                )
            )
    return runs


async def run_history(
    duration_s: float, seed: int, callers: int = 8
) -> tuple[
    tuple[models.Violation, ...], list[models.Invocation], list[models.Run]
]:
    """Runs callers and faults over real sockets and checks the history.

    Args:
        duration_s: Time during which faults are injected, in seconds.
        seed: Seed of the random choices of callers and faults. The timing of
            concurrent requests still differs between runs.
        callers: Number of concurrent callers.

    Returns:
        The violations, all attempts and all executions.
    """
    rng = random.Random(seed)
    async with deployment.Deployment(GROUP_SPECS, vms=4) as target:
        await _wait_until_ready(target)
        caller_tasks = [
            CallerTask(
                f"caller-{i}",
                f"{GROUP_SPECS[i % len(GROUP_SPECS)].path_prefix}x",
                lambda: [vm.url for vm in target.vms.values()],
                random.Random(rng.random()),
            )
            for i in range(callers)
        ]
        caller_runners = [deployment.ChildRunner(t.run) for t in caller_tasks]
        fault_runner = deployment.ChildRunner(
            FaultTask(target, random.Random(rng.random())).run
        )
        for runner in (*caller_runners, fault_runner):
            await runner.start()
        await asyncio.sleep(duration_s)
        for runner in (fault_runner, *caller_runners):
            await runner.stop()
        # Requests may still be executing after their callers have stopped.
        await asyncio.sleep(1.0)
        runs = collect_runs(target)
    invocations = [i for t in caller_tasks for i in t.invocations]
    return decisions.check(invocations, runs), invocations, runs


async def _wait_until_ready(target: deployment.Deployment) -> None:
    deadline_s = time.monotonic() + _READY_TIMEOUT_S
    while time.monotonic() < deadline_s:
        partitions = [
            target.partition(f"{spec.group.name}.0") for spec in GROUP_SPECS
        ]
        if all(
            p is not None
            and p.homes
            and all(isinstance(s, schemas.Owned) for s in p.slices)
            for p in partitions
        ):
            return
        await asyncio.sleep(0.05)
