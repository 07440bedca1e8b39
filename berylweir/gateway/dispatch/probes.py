"""The task that probes backend servers that can't be reached."""

import asyncio
from collections.abc import Callable

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import connection_pool
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

# Probes that wait or run. More of them are dropped, and due again later.
_MAILBOX_SIZE = 256
_MAX_CONCURRENT_PROBES = 16

Inbox = mailbox.Mailbox[messages.ProbeServer]


def create_inbox() -> Inbox:
    """Returns the mailbox of the prober."""
    return mailbox.Mailbox("prober", _MAILBOX_SIZE)


class ServerProber:
    """Opens a connection to each server that it is asked to probe.

    The dispatcher gets the open connections and puts them into its pools.
    """

    def __init__(
        self,
        inbox: Inbox,
        report: Callable[[messages.ServerProbed], None],
    ) -> None:
        """Creates the prober.

        Args:
            inbox: Mailbox of the prober.
            report: Posts a result to the dispatcher, which then owns the
                connection.
        """
        self._inbox = inbox
        self._report = report

    async def run(self, context: supervision.ChildContext) -> None:
        """Probes servers until the supervisor stops the child."""
        slots = asyncio.Semaphore(_MAX_CONCURRENT_PROBES)
        probed_instances: set[models.ServerInstance] = set()

        async def probe(server: models.BackendServer) -> None:
            try:
                self._report(await _try_connect(server))
            finally:
                probed_instances.discard(server.instance)
                slots.release()

        async with asyncio.TaskGroup() as probes:
            context.report_ready()
            while True:
                server = (await self._inbox.get()).server
                if server.instance in probed_instances:
                    continue
                await slots.acquire()
                probed_instances.add(server.instance)
                probes.create_task(probe(server))


async def _try_connect(server: models.BackendServer) -> messages.ServerProbed:
    try:
        connection = await connection_pool.connect(server)
    except ConnectionRefusedError:
        return messages.ServerProbed(server, None, is_refused=True)
    except (OSError, TimeoutError):
        return messages.ServerProbed(server, None)
    return messages.ServerProbed(server, connection)
