"""The task that watches the platform for changes to objects."""

import asyncio
from collections.abc import Callable
import random

import result

from berylweir.keeper import messages
from berylweir.keeper.configuration import store
from berylweir.objects import client
from berylweir.observability import counters
from berylweir.supervision import models as supervision

_INITIAL_RETRY_DELAY_S = 0.1
_MAX_RETRY_DELAY_S = 2.0


class WatchTask:
    """Keeps one watch open at the platform and delivers its results.

    After a failed call it waits for a random time up to the retry delay, which
    doubles with each failure in a row from 0.1 s to 2 s.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float,
        watch_s: float,
        deliver: Callable[[messages.AuthorityMessage], None],
        metrics: counters.Counters,
    ) -> None:
        """Creates the task.

        Args:
            url: Base URL of the platform.
            timeout_s: Timeout of a call in addition to the time for which the
                platform may delay its response, in seconds.
            watch_s: Longest time for which the platform may delay its response
                to a watch if nothing changes, in seconds.
            deliver: Puts the result of a call into the authority task's
                mailbox.
            metrics: Counters.
        """
        self._url = url
        self._timeout_s = timeout_s
        self._watch_s = watch_s
        self._deliver = deliver
        self._metrics = metrics
        self._revision = 0

    async def run(self, context: supervision.ChildContext) -> None:
        """Watches until cancelled or asked to stop."""
        platform = await client.open_client(
            context.stack, self._url, self._timeout_s
        )
        context.report_ready()
        watch_task = asyncio.create_task(self._watch(platform))
        context.stack.callback(watch_task.cancel)
        stop_task = asyncio.create_task(context.stop_event.wait())
        context.stack.callback(stop_task.cancel)
        await asyncio.wait(
            (watch_task, stop_task), return_when=asyncio.FIRST_COMPLETED
        )
        if watch_task.done():
            watch_task.result()

    async def _watch(self, platform: client.PlatformClient) -> None:
        retry_delay_s = _INITIAL_RETRY_DELAY_S
        is_platform_up = False
        while True:
            # After a failure the platform is asked to respond immediately, so
            # that the end of an outage is noticed even if nothing has changed.
            wait_s = self._watch_s if self._revision and is_platform_up else 0.0
            self._metrics.count("keeper.platform.watches")
            response = await platform.watch(
                store.WATCHED_KINDS, self._revision, wait_s
            )
            match response:
                case result.Ok(objects):
                    is_platform_up = True
                    self._revision = max(self._revision, objects.revision)
                    self._deliver(messages.WatchReturned(objects))
                    retry_delay_s = _INITIAL_RETRY_DELAY_S
                    # At revision 0 the next call returns immediately as well;
                    # without a pause it would be repeated in a tight loop.
                    if not objects.revision:
                        await asyncio.sleep(retry_delay_s)
                case result.Err(failure):
                    is_platform_up = False
                    self._metrics.count("keeper.platform.failed")
                    self._deliver(messages.PlatformCallFailed(failure))
                    await asyncio.sleep(random.uniform(0.0, retry_delay_s))
                    retry_delay_s = min(_MAX_RETRY_DELAY_S, retry_delay_s * 2)
