"""The task that sends conditional updates of partitions to the platform."""

import asyncio
from collections.abc import Callable

import msgspec
import result

from berylweir.keeper import messages
from berylweir.objects import client
from berylweir.objects import exceptions
from berylweir.objects import messages as platform_schemas
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision


class PartitionWriterTask:
    """Sends updates of partitions concurrently.

    A partition has one pending update at a time, since its state machine waits
    for the outcome before it starts another one.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float,
        updates: mailbox.LatestMailbox[messages.PartitionUpdate],
        deliver: Callable[[messages.AuthorityMessage], None],
        metrics: counters.Counters,
    ) -> None:
        """Creates the task.

        Args:
            url: Base URL of the platform.
            timeout_s: Timeout of one call, in seconds.
            updates: Updates to send, by partition name.
            deliver: Puts an outcome into the authority task's mailbox.
            metrics: Counters.
        """
        self._url = url
        self._timeout_s = timeout_s
        self._updates = updates
        self._deliver = deliver
        self._metrics = metrics

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until cancelled or asked to stop."""
        platform = await client.open_client(
            context.stack, self._url, self._timeout_s
        )
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            dispatcher = group.create_task(
                self._dispatch_updates(platform, group)
            )
            await context.stop_event.wait()
            dispatcher.cancel()

    async def _dispatch_updates(
        self, platform: client.PlatformClient, group: asyncio.TaskGroup
    ) -> None:
        """Starts a task for each queued update."""
        while True:
            request = await self._updates.get()
            group.create_task(self._send_update(platform, request))

    async def _send_update(
        self, platform: client.PlatformClient, request: messages.PartitionUpdate
    ) -> None:
        """Sends one update; after a conflict, also reads the newest object."""
        self._metrics.count("keeper.platform.writes")
        update = request.update
        kind = schemas.Partition.KIND
        outcome = await platform.update(
            kind,
            request.partition,
            msgspec.json.encode(update.partition),
            update.expected_version,
            update.operation_id,
        )
        newest: platform_schemas.StoredObject | None = None
        match outcome:
            case result.Err(exceptions.Conflict()):
                self._metrics.count("keeper.platform.conflicts")
                newest = (await platform.get(kind, request.partition)).ok()
            case _:
                pass
        self._deliver(
            messages.UpdateFinished(request.partition, update, outcome, newest)
        )
