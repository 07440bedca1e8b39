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
    """Writes one update a partition at a time, several partitions at once."""

    def __init__(
        self,
        url: str,
        timeout_s: float,
        orders: mailbox.LatestMailbox[messages.PartitionUpdate],
        deliver: Callable[[messages.AuthorityMessage], None],
        metrics: counters.Counters,
    ) -> None:
        """Creates the task.

        Args:
            url: Base URL of the platform.
            timeout_s: Time for one call, in seconds.
            orders: Updates to send, by partition name.
            deliver: Puts an outcome into the receiver's mailbox.
            metrics: Counters.
        """
        self._url = url
        self._timeout_s = timeout_s
        self._orders = orders
        self._deliver = deliver
        self._metrics = metrics

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until cancelled or asked to stop."""
        platform = await client.open_client(
            context.stack, self._url, self._timeout_s
        )
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            reader = group.create_task(self._read(platform, group))
            await context.stop_event.wait()
            reader.cancel()

    async def _read(
        self, platform: client.PlatformClient, group: asyncio.TaskGroup
    ) -> None:
        while True:
            order = await self._orders.get()
            group.create_task(self._write(platform, order))

    async def _write(
        self, platform: client.PlatformClient, order: messages.PartitionUpdate
    ) -> None:
        self._metrics.count("keeper.platform.writes")
        update = order.update
        kind = schemas.Partition.KIND
        outcome = await platform.update(
            kind,
            order.partition,
            msgspec.json.encode(update.partition),
            update.expected_version,
            update.operation_id,
        )
        newest: platform_schemas.StoredObject | None = None
        match outcome:
            case result.Err(exceptions.Conflict()):
                self._metrics.count("keeper.platform.conflicts")
                newest = (await platform.get(kind, order.partition)).ok()
            case _:
                pass
        self._deliver(
            messages.UpdateFinished(order.partition, update, outcome, newest)
        )
