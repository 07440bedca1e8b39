"""The task that sends grants and probes to backend servers."""

import asyncio
from collections.abc import Callable
import time

import httpx
import msgspec

from berylweir.backendapi import schemas as backendapi
from berylweir.keeper import messages
from berylweir.observability import counters
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_CALL_TIMEOUT_S = 0.3
_GRANTS_PATH = "/_grants"
_STATUS_PATH = "/_status"


class GrantTask:
    """Owns the control connections to backend servers.

    At most one call to each server is under way; a later order for a server
    that hasn't answered replaces the waiting one.
    """

    def __init__(
        self,
        orders: mailbox.LatestMailbox[messages.ServerRequest],
        deliver: Callable[[messages.HomesMessage], None],
        metrics: counters.Counters,
    ) -> None:
        """Creates the task.

        Args:
            orders: Servers to ask, by server name.
            deliver: Puts an answer into the receiver's mailbox.
            metrics: Counters.
        """
        self._orders = orders
        self._deliver = deliver
        self._metrics = metrics
        self._busy: set[str] = set()
        self._waiting: dict[str, messages.ServerRequest] = {}

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until cancelled or asked to stop."""
        client = await context.stack.enter_async_context(
            httpx.AsyncClient(timeout=_CALL_TIMEOUT_S)
        )
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            reader = group.create_task(self._read(client, group))
            await context.stop_event.wait()
            reader.cancel()

    async def _read(
        self, client: httpx.AsyncClient, group: asyncio.TaskGroup
    ) -> None:
        while True:
            order = await self._orders.get()
            if order.server in self._busy:
                self._waiting[order.server] = order
                continue
            self._busy.add(order.server)
            group.create_task(self._ask_all(client, order))

    async def _ask_all(
        self, client: httpx.AsyncClient, order: messages.ServerRequest
    ) -> None:
        next_order: messages.ServerRequest | None = order
        while next_order is not None:
            await self._ask(client, next_order)
            next_order = self._waiting.pop(order.server, None)
        self._busy.discard(order.server)

    async def _ask(
        self, client: httpx.AsyncClient, order: messages.ServerRequest
    ) -> None:
        self._metrics.count("keeper.grants.calls")
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                if order.request is None:
                    response = await client.get(order.url + _STATUS_PATH)
                else:
                    response = await client.put(
                        order.url + _GRANTS_PATH,
                        content=msgspec.json.encode(order.request),
                    )
            status = msgspec.json.decode(
                response.content, type=backendapi.ServerStatus
            )
        except (httpx.HTTPError, TimeoutError, msgspec.MsgspecError):
            self._metrics.count("keeper.grants.failed")
            self._deliver(messages.ServerUnreachable(order.server))
            return
        self._deliver(
            messages.ServerAnswered(
                order.server, order.request, status, time.monotonic()
            )
        )
