"""The task that answers questions about objects, changes and rollouts."""

import asyncio

import httpx
import msgspec
import result

from berylweir.api import exceptions
from berylweir.api import messages
from berylweir.api import object_sources
from berylweir.api import schemas
from berylweir.api.history import decisions as history
from berylweir.api.history import schemas as history_schemas
from berylweir.keeper.configuration import store
from berylweir.keeper.status import schemas as status
from berylweir.objects import client as platform_client
from berylweir.objects import schemas as objects
from berylweir.observability import counters
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_VM_TIMEOUT_S = 0.5
_PARALLEL = 32


class QueryTask:
    """Owns the connections for reads: platform and keepers of all VMs."""

    def __init__(
        self,
        vm: str,
        url: str,
        timeout_s: float,
        status_url: str,
        inbox: mailbox.Mailbox[messages.Query],
        metrics: counters.Counters,
    ) -> None:
        """Creates the task.

        Args:
            vm: Name of this VM.
            url: Base URL of the platform.
            timeout_s: Time for one call, in seconds.
            status_url: Base URL of this VM's keeper.
            inbox: Questions.
            metrics: Counters.
        """
        self._vm = vm
        self._url = url
        self._timeout_s = timeout_s
        self._status_url = status_url
        self._inbox = inbox
        self._metrics = metrics
        self._parallel = asyncio.Semaphore(_PARALLEL)

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until cancelled or asked to stop."""
        calls = await platform_client.open_client(
            context.stack, self._url, self._timeout_s
        )
        local = await object_sources.open_keeper_client(
            context.stack, self._status_url
        )
        keepers = await context.stack.enter_async_context(
            httpx.AsyncClient(timeout=_VM_TIMEOUT_S)
        )
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            serving = group.create_task(
                self._serve(group, calls, local, keepers)
            )
            await context.stop_event.wait()
            serving.cancel()

    async def _serve(
        self,
        group: asyncio.TaskGroup,
        calls: platform_client.PlatformClient,
        local: object_sources.KeeperClient,
        keepers: httpx.AsyncClient,
    ) -> None:
        while True:
            await self._parallel.acquire()
            query = await self._inbox.get()
            answering = group.create_task(
                self._answer(query, calls, local, keepers)
            )
            answering.add_done_callback(lambda _: self._parallel.release())

    async def _answer(
        self,
        query: messages.Query,
        calls: platform_client.PlatformClient,
        local: object_sources.KeeperClient,
        keepers: httpx.AsyncClient,
    ) -> None:
        match query:
            case messages.ReadObjects(reply=reply):
                found = await self._objects(calls, local)
                if not reply.done():
                    reply.set_result(found)
            case messages.ReadInForce(reply=reply):
                found = await local.objects()
                if not reply.done():
                    reply.set_result(found)
            case messages.ReadHistory(reply=history_reply):
                records = await self._history(calls, local)
                if not history_reply.done():
                    history_reply.set_result(records)
            case messages.ReadRollout(
                kind=kind, name=name, reply=rollout_reply
            ):
                seen = await self._rollout(kind, name, calls, local, keepers)
                if not rollout_reply.done():
                    rollout_reply.set_result(seen)

    async def _objects(
        self,
        calls: platform_client.PlatformClient,
        local: object_sources.KeeperClient,
    ) -> schemas.Objects:
        if await local.platform_up():
            match await calls.watch(store.WATCHED_KINDS, 0, 0.0):
                case result.Ok(listed):
                    return schemas.Objects("platform", self._vm, listed.items)
                case result.Err(_):
                    local.mark_platform_down()
        self._metrics.count("api.platform.down")
        return await local.objects()

    async def _history(
        self,
        calls: platform_client.PlatformClient,
        local: object_sources.KeeperClient,
    ) -> messages.HistoryResult:
        down = exceptions.PlatformDown(
            history_schemas.ChangeLog.KIND,
            history_schemas.ChangeLog.CURRENT_NAME,
            0,
        )
        if not await local.platform_up():
            return result.Err(down)
        match await calls.watch((history_schemas.ChangeLog.KIND,), 0, 0.0):
            case result.Err(_):
                local.mark_platform_down()
                return result.Err(down)
            case result.Ok(listed):
                return result.Ok(
                    history.merge_logs(
                        msgspec.json.decode(
                            o.value, type=history_schemas.ChangeLog
                        )
                        for o in listed.items
                        if not o.deleted
                    )
                )

    async def _rollout(
        self,
        kind: str,
        name: str,
        calls: platform_client.PlatformClient,
        local: object_sources.KeeperClient,
        keepers: httpx.AsyncClient,
    ) -> schemas.Rollout:
        found = await self._objects(calls, local)
        vms = sorted(
            object_sources.snapshot_of(found.items).vms(), key=lambda v: v.name
        )
        seen = await asyncio.gather(
            *(self._ask_vm(v, kind, name, keepers) for v in vms)
        )
        stored = max(
            (
                o.version
                for o in found.items
                if (o.kind, o.name) == (kind, name)
            ),
            default=0,
        )
        newest = max([stored, *(s.version or 0 for s in seen)])
        platform_up = found.source == "platform"
        return schemas.Rollout(
            kind,
            name,
            newest,
            platform_up,
            platform_up and all(s.version == newest for s in seen),
            tuple(seen),
        )

    async def _ask_vm(
        self, vm: objects.Vm, kind: str, name: str, keepers: httpx.AsyncClient
    ) -> schemas.VmVersion:
        host = f"[{vm.address}]" if ":" in vm.address else vm.address
        url = f"http://{host}:{vm.status_port}/in-force/{kind}/{name}"
        try:
            answer = await keepers.get(url)
            answer.raise_for_status()
            told = msgspec.json.decode(
                answer.content, type=status.VersionInForce
            )
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            self._metrics.count("api.rollout.unheard")
            return schemas.VmVersion(
                vm.name, vm.availability_zone, None, type(error).__name__
            )
        if told.vm != vm.name:
            return schemas.VmVersion(
                vm.name,
                vm.availability_zone,
                None,
                f"the address belongs to {told.vm}",
            )
        return schemas.VmVersion(vm.name, vm.availability_zone, told.version)
