"""Tests of the task that probes servers."""

import asyncio
import contextlib
import socket

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import probes
from berylweir.supervision import models as supervision
from tests.gateway import rig


def make_server(port: int, name: str = "s") -> models.BackendServer:
    """Returns a server on loopback."""
    return models.BackendServer(
        name, 1, "g", "127.0.0.1", port, "a", 3, False, 0.0, 1
    )


@contextlib.asynccontextmanager
async def running_prober():
    """Yields the mailbox of a prober and the queue of its reports."""
    reports: asyncio.Queue[messages.ServerProbed] = asyncio.Queue()
    inbox = probes.create_inbox()
    async with contextlib.AsyncExitStack() as stack:
        prober = probes.ServerProber(inbox, reports.put_nowait)
        task = asyncio.create_task(prober.run(supervision.ChildContext(stack)))
        try:
            yield inbox, reports
        finally:
            task.cancel()
            await asyncio.wait((task,))


class TestServerProber:
    """Connections that the prober opens."""

    async def test_open_connection_is_reported(self):
        """Guards against a server that stays unused though it is back."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            server = make_server(listener.getsockname()[1])
            async with running_prober() as (inbox, reports):
                inbox.post(messages.ProbeServer(server))
                probed = await reports.get()
                assert probed.server is server
                assert not probed.connection.is_closed
                probed.connection.close()

    async def test_refused_connection_is_reported(self):
        """Guards against a prober that ends with the first dead server."""
        async with running_prober() as (inbox, reports):
            for name in ("a", "b"):
                server = make_server(rig.free_port(), name)
                inbox.post(messages.ProbeServer(server))
                assert await reports.get() == messages.ServerProbed(
                    server, None, is_refused=True
                )

    async def test_silent_server_is_probed_once_and_delays_no_other(self):
        """Guards against a prober that waits for each server in turn."""
        with socket.create_server(("127.0.0.1", 0), backlog=0) as silent:
            address = silent.getsockname()
            # Connections beyond the accept queue get no reply.
            fillers = [socket.socket() for _ in range(3)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(address)
            async with running_prober() as (inbox, reports):
                unreachable = make_server(address[1], "silent")
                for _ in range(3):
                    inbox.post(messages.ProbeServer(unreachable))
                refused = make_server(rig.free_port(), "refused")
                inbox.post(messages.ProbeServer(refused))
                servers = [(await reports.get()).server for _ in range(2)]
                assert servers == [refused, unreachable]
                assert reports.empty()
            for filler in fillers:
                filler.close()
