"""The task that sends metrics to statsd."""

import asyncio
import contextlib

from berylweir.conf import schemas as conf
from berylweir.observability import counters
from berylweir.supervision import models as supervision


def create_child(
    settings: conf.ObservabilitySection, metrics: counters.Counters
) -> supervision.ChildSpec:
    """Returns the child that flushes metrics to statsd periodically.

    Args:
        settings: Address of the statsd server and flush interval; port 0 turns
            the export off.
        metrics: Metrics to send.
    """

    async def run(context: supervision.ChildContext) -> None:
        if settings.statsd_port == 0:
            context.report_ready()
            await context.stop_event.wait()
            return
        client = counters.open_statsd(
            settings.statsd_host, settings.statsd_port, settings.statsd_prefix
        )
        context.stack.callback(client.close)
        context.report_ready()
        while not context.stop_event.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(settings.flush_s):
                    await context.stop_event.wait()
            metrics.flush(client)

    return supervision.ChildSpec("statsd", run)
