"""The task that owns the socket to the router of the same VM."""

import asyncio
from collections.abc import Callable

import pynng
import result

from berylweir.keeper import messages
from berylweir.observability import counters
from berylweir.peers import codec
from berylweir.peers import messages as peers
from berylweir.peers import sockets
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision


class RouterLinkTask:
    """Sends the routing table and the homes to the router; receives reports."""

    def __init__(
        self,
        listen: str,
        outbox: mailbox.LatestMailbox[peers.ToRouterMessage],
        deliver: Callable[[messages.HomesMessage], None],
        on_connected: Callable[[], None],
        metrics: counters.Counters,
    ) -> None:
        """Creates the task.

        Args:
            listen: Loopback address and port to listen on.
            outbox: Messages for the router; a newer one of the same type
                replaces an older one.
            deliver: Puts a report into the homes task's mailbox.
            on_connected: Called in the event loop when a router has connected.
            metrics: Counters.
        """
        self._listen = listen
        self._outbox = outbox
        self._deliver = deliver
        self._on_connected = on_connected
        self._metrics = metrics

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until cancelled or asked to stop."""
        loop = asyncio.get_running_loop()
        socket = pynng.Pair0(recv_max_size=0)
        context.stack.callback(socket.close)

        def on_pipe_connected(_: pynng.Pipe) -> None:
            loop.call_soon_threadsafe(self._on_connected)

        def on_pipe_closed(_: pynng.Pipe) -> None:
            loop.call_soon_threadsafe(
                self._deliver, messages.RouterReported(None)
            )

        socket.add_post_pipe_connect_cb(on_pipe_connected)
        socket.add_post_pipe_remove_cb(on_pipe_closed)
        socket.listen(f"tcp://{self._listen}")
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._send(socket)),
                group.create_task(self._receive(socket)),
            ]
            await context.stop_event.wait()
            for task in tasks:
                task.cancel()

    async def _send(self, socket: pynng.Pair0) -> None:
        while True:
            message = await self._outbox.get()
            await sockets.send(socket, codec.encode(message))

    async def _receive(self, socket: pynng.Pair0) -> None:
        while True:
            match codec.decode_from_router(await sockets.receive(socket)):
                case result.Ok(report):
                    self._deliver(messages.RouterReported(report))
                case result.Err(_):
                    self._metrics.count("keeper.link.undecodable")
