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

# Timeout of a whole call, from connecting to the end of the response.
_CALL_TIMEOUT_S = 0.3
_GRANTS_PATH = "/_grants"
_STATUS_PATH = "/_status"


class GrantTask:
    """Owns the control connections to backend servers.

    At most one call to each server is in progress. A new call to such a
    server is queued and replaces the one that was queued before.
    """

    def __init__(
        self,
        calls: mailbox.LatestMailbox[messages.ServerRequest],
        deliver: Callable[[messages.HomesMessage], None],
        metrics: counters.Counters,
    ) -> None:
        """Creates the task.

        Args:
            calls: Newest call to make, by server name.
            deliver: Puts the result of a call into the homes task's mailbox.
            metrics: Counters.
        """
        self._calls = calls
        self._deliver = deliver
        self._metrics = metrics
        self._servers_in_call: set[str] = set()
        self._queued_calls: dict[str, messages.ServerRequest] = {}

    async def run(self, context: supervision.ChildContext) -> None:
        """Makes calls until cancelled or asked to stop."""
        client = await context.stack.enter_async_context(
            httpx.AsyncClient(timeout=_CALL_TIMEOUT_S)
        )
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            reader = group.create_task(self._dispatch_calls(client, group))
            await context.stop_event.wait()
            reader.cancel()

    async def _dispatch_calls(
        self, client: httpx.AsyncClient, group: asyncio.TaskGroup
    ) -> None:
        while True:
            call = await self._calls.get()
            if call.server in self._servers_in_call:
                self._queued_calls[call.server] = call
                continue
            self._servers_in_call.add(call.server)
            group.create_task(self._call_until_idle(client, call))

    async def _call_until_idle(
        self, client: httpx.AsyncClient, call: messages.ServerRequest
    ) -> None:
        """Makes a call, then those that were queued in the meantime."""
        next_call: messages.ServerRequest | None = call
        while next_call is not None:
            await self._call(client, next_call)
            next_call = self._queued_calls.pop(call.server, None)
        self._servers_in_call.discard(call.server)

    async def _call(
        self, client: httpx.AsyncClient, call: messages.ServerRequest
    ) -> None:
        self._metrics.count("keeper.grants.calls")
        sent_s = time.monotonic()
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                if call.request is None:
                    response = await client.get(call.url + _STATUS_PATH)
                else:
                    response = await client.put(
                        call.url + _GRANTS_PATH,
                        content=msgspec.json.encode(call.request),
                    )
            status = msgspec.json.decode(
                response.content, type=backendapi.ServerStatus
            )
        except (httpx.HTTPError, TimeoutError, msgspec.MsgspecError):
            self._metrics.count("keeper.grants.failed")
            self._deliver(messages.ServerUnreachable(call.server))
            return
        self._deliver(
            messages.ServerResponded(
                call.server, call.request, status, sent_s, time.monotonic()
            )
        )
