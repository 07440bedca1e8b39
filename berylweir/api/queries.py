"""The task that reads objects, changes and rollouts for the API."""

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

# Time limit for one call to the keeper of an entry VM.
_VM_TIMEOUT_S = 0.5
_MAX_CONCURRENT_QUERIES = 32


class QueryTask:
    """Answers queries and owns the connections to platform and keepers."""

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
            timeout_s: Time limit for one call to the platform, in seconds.
            status_url: Base URL of this VM's keeper.
            inbox: Queries to answer.
            metrics: Counters of the process.
        """
        self._vm = vm
        self._url = url
        self._timeout_s = timeout_s
        self._status_url = status_url
        self._inbox = inbox
        self._metrics = metrics
        self._query_slots = asyncio.Semaphore(_MAX_CONCURRENT_QUERIES)

    async def run(self, context: supervision.ChildContext) -> None:
        """Answers queries until cancelled or asked to stop."""
        platform = await platform_client.open_client(
            context.stack, self._url, self._timeout_s
        )
        keeper = await object_sources.open_keeper_client(
            context.stack, self._status_url
        )
        http_client = await context.stack.enter_async_context(
            httpx.AsyncClient(timeout=_VM_TIMEOUT_S)
        )
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            serve_task = group.create_task(
                self._serve(group, platform, keeper, http_client)
            )
            await context.stop_event.wait()
            serve_task.cancel()

    async def _serve(
        self,
        group: asyncio.TaskGroup,
        platform: platform_client.PlatformClient,
        keeper: object_sources.KeeperClient,
        http_client: httpx.AsyncClient,
    ) -> None:
        while True:
            await self._query_slots.acquire()
            query = await self._inbox.get()
            answer_task = group.create_task(
                self._answer_query(query, platform, keeper, http_client)
            )
            answer_task.add_done_callback(lambda _: self._query_slots.release())

    async def _answer_query(
        self,
        query: messages.Query,
        platform: platform_client.PlatformClient,
        keeper: object_sources.KeeperClient,
        http_client: httpx.AsyncClient,
    ) -> None:
        match query:
            case messages.ReadObjects(reply=reply):
                listing = await self._read_objects(platform, keeper)
                if not reply.done():
                    reply.set_result(listing)
            case messages.ReadInForce(reply=reply):
                listing = await keeper.fetch_objects()
                if not reply.done():
                    reply.set_result(listing)
            case messages.ReadHistory(reply=history_reply):
                history_result = await self._read_history(platform, keeper)
                if not history_reply.done():
                    history_reply.set_result(history_result)
            case messages.ReadRollout(
                kind=kind, name=name, reply=rollout_reply
            ):
                rollout = await self._read_rollout(
                    kind, name, platform, keeper, http_client
                )
                if not rollout_reply.done():
                    rollout_reply.set_result(rollout)

    async def _read_objects(
        self,
        platform: platform_client.PlatformClient,
        keeper: object_sources.KeeperClient,
    ) -> schemas.Objects:
        if await keeper.is_platform_up():
            match await platform.watch(store.WATCHED_KINDS, 0, 0.0):
                case result.Ok(object_list):
                    return schemas.Objects(
                        "platform", self._vm, object_list.items
                    )
                case result.Err(_):
                    keeper.mark_platform_down()
        self._metrics.count("api.platform.down")
        return await keeper.fetch_objects()

    async def _read_history(
        self,
        platform: platform_client.PlatformClient,
        keeper: object_sources.KeeperClient,
    ) -> messages.HistoryResult:
        platform_down = exceptions.PlatformDown(
            history_schemas.ChangeLog.KIND,
            history_schemas.ChangeLog.CURRENT_NAME,
            0,
        )
        if not await keeper.is_platform_up():
            return result.Err(platform_down)
        match await platform.watch((history_schemas.ChangeLog.KIND,), 0, 0.0):
            case result.Err(_):
                keeper.mark_platform_down()
                return result.Err(platform_down)
            case result.Ok(object_list):
                return result.Ok(
                    history.merge_logs(
                        msgspec.json.decode(
                            o.value, type=history_schemas.ChangeLog
                        )
                        for o in object_list.items
                        if not o.deleted
                    )
                )

    async def _read_rollout(
        self,
        kind: str,
        name: str,
        platform: platform_client.PlatformClient,
        keeper: object_sources.KeeperClient,
        http_client: httpx.AsyncClient,
    ) -> schemas.Rollout:
        listing = await self._read_objects(platform, keeper)
        vms = sorted(
            object_sources.snapshot_of(listing.items).vms(),
            key=lambda v: v.name,
        )
        vm_versions = await asyncio.gather(
            *(self._fetch_vm_version(v, kind, name, http_client) for v in vms)
        )
        stored_version = max(
            (
                o.version
                for o in listing.items
                if (o.kind, o.name) == (kind, name)
            ),
            default=0,
        )
        newest = max([stored_version, *(v.version or 0 for v in vm_versions)])
        platform_up = listing.source == "platform"
        return schemas.Rollout(
            kind,
            name,
            newest,
            platform_up,
            platform_up and all(v.version == newest for v in vm_versions),
            tuple(vm_versions),
        )

    async def _fetch_vm_version(
        self,
        vm: objects.Vm,
        kind: str,
        name: str,
        http_client: httpx.AsyncClient,
    ) -> schemas.VmVersion:
        host = f"[{vm.address}]" if ":" in vm.address else vm.address
        url = f"http://{host}:{vm.status_port}/in-force/{kind}/{name}"
        try:
            response = await http_client.get(url)
            response.raise_for_status()
            in_force = msgspec.json.decode(
                response.content, type=status.VersionInForce
            )
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            self._metrics.count("api.rollout.unheard")
            return schemas.VmVersion(
                vm.name, vm.availability_zone, None, type(error).__name__
            )
        if in_force.vm != vm.name:
            return schemas.VmVersion(
                vm.name,
                vm.availability_zone,
                None,
                f"the keeper at the address is that of VM {in_force.vm}",
            )
        return schemas.VmVersion(
            vm.name, vm.availability_zone, in_force.version
        )
