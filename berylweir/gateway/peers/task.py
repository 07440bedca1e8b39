"""Sockets to and from other gateways."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import logging

import pynng
import result

from berylweir.gateway import models
from berylweir.gateway.peers import exceptions
from berylweir.gateway.peers import messages
from berylweir.observability import counters
from berylweir.peers import sockets
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
# Requests that can be answered at once; more are begun while all are held.
_MIN_IDLE_WORKERS = 4
# Pause before a lost channel is replaced, in seconds.
_CONTEXT_RETRY_PAUSE_S = 0.1
# Requests that are held at the same time at most.
_MAX_WORKERS = 256
# Time for another gateway to answer, in seconds. Zones are milliseconds apart.
REPLY_TIMEOUT_S = 0.5
# Longest pause between attempts to reconnect, in ms.
_RECONNECT_MAX_MS = 500
# Requests are not sent again by the socket: the caller decides.
_NO_RESEND_MS = 3_600_000

Handler = Callable[[messages.Request], Awaitable[messages.Reply]]


class PeerServer:
    """Answers other gateways."""

    def __init__(
        self,
        environment: models.Environment,
        handler: Handler,
        metrics: counters.Counters,
    ) -> None:
        """Creates the server.

        Args:
            environment: What the platform says of this VM.
            handler: Answers one request.
            metrics: Counters.
        """
        self._address = f"tcp://{environment.host}:{environment.peer_port}"
        self._handler = handler
        self._metrics = metrics
        self._workers: set[asyncio.Task[None]] = set()
        self._busy_workers = 0

    async def run(self, context: supervision.ChildContext) -> None:
        """Answers until the supervisor stops the child."""
        socket = pynng.Rep0()
        context.stack.callback(socket.close)
        socket.listen(self._address)
        context.ready()
        async with asyncio.TaskGroup() as group:
            for _ in range(_MIN_IDLE_WORKERS):
                self._add_worker(group, socket)
            await context.stopping.wait()
            # The socket's end gives up what the workers wait for.
            for worker in self._workers:
                worker.cancel()

    def _add_worker(
        self, group: asyncio.TaskGroup, socket: pynng.Socket
    ) -> None:
        worker = group.create_task(self._work(group, socket))
        self._workers.add(worker)
        worker.add_done_callback(self._workers.discard)

    async def _work(
        self, group: asyncio.TaskGroup, socket: pynng.Socket
    ) -> None:
        while True:
            with socket.new_context() as nng_context:
                try:
                    while True:
                        data = await sockets.receive(nng_context)
                        await self._handle(group, socket, nng_context, data)
                except (OSError, pynng.NNGException) as error:
                    self._metrics.count("peers.channel_lost")
                    _LOGGER.warning(
                        "channel lost", extra={"failure": repr(error)}
                    )
                    await asyncio.sleep(_CONTEXT_RETRY_PAUSE_S)

    async def _handle(
        self,
        group: asyncio.TaskGroup,
        socket: pynng.Socket,
        nng_context: pynng.Context,
        data: bytes,
    ) -> None:
        """Answers a request while other workers take the next ones."""
        self._busy_workers += 1
        has_idle = self._busy_workers + _MIN_IDLE_WORKERS <= len(self._workers)
        if not has_idle and len(self._workers) < _MAX_WORKERS:
            self._add_worker(group, socket)
        try:
            await self._answer(nng_context, data)
        finally:
            self._busy_workers -= 1

    async def _answer(self, nng_context: pynng.Context, data: bytes) -> None:
        match messages.decode_request(data):
            case result.Ok(request):
                reply = await self._handler(request)
                await sockets.send(nng_context, messages.encode(reply))
            case result.Err(failure):
                # The asker times out; a context may receive again.
                self._metrics.count("peers.undecodable")
                _LOGGER.warning(
                    "undecodable message", extra={"failure": failure}
                )


class PeerClient:
    """Asks other gateways; one socket for each, kept while it answers."""

    def __init__(self, metrics: counters.Counters) -> None:
        """Creates a client without sockets.

        Args:
            metrics: Counters.
        """
        self._metrics = metrics
        self._sockets: dict[tuple[str, int], pynng.Socket] = {}
        # Requests that wait on each socket.
        self._pending_requests: collections.Counter[pynng.Socket] = (
            collections.Counter()
        )

    async def run(self, context: supervision.ChildContext) -> None:
        """Keeps the sockets until the supervisor stops the child."""
        context.stack.callback(self.close)
        context.ready()
        await context.stopping.wait()

    async def ask(
        self,
        vm: models.Vm,
        request: messages.Request,
        *,
        max_hold_s: float = 0.0,
    ) -> result.Result[messages.Reply, exceptions.PeerFailure]:
        """Sends a request to the gateway of a VM and waits for the reply.

        Args:
            vm: VM of the gateway.
            request: What to ask.
            max_hold_s: How long the gateway may hold the request, in seconds.
        """
        address = (vm.host, vm.port)
        socket = self._get_socket(address)
        self._pending_requests[socket] += 1
        # A context of its own lets several requests wait at the same time.
        nng_context = socket.new_context()
        try:
            async with asyncio.timeout(max_hold_s + REPLY_TIMEOUT_S):
                await sockets.send(nng_context, messages.encode(request))
                data = await sockets.receive(nng_context)
        except (TimeoutError, OSError, pynng.NNGException) as error:
            self._metrics.count("peers.silent")
            if self._sockets.get(address) is socket:
                # The next request dials anew.
                del self._sockets[address]
            return result.Err(exceptions.PeerUnresponsive(vm.name, repr(error)))
        finally:
            with contextlib.suppress(pynng.Closed):
                nng_context.close()  # it may have been closed with its socket
            self._release(address, socket)
        return messages.decode_reply(data)

    def _get_socket(self, address: tuple[str, int]) -> pynng.Socket:
        socket = self._sockets.get(address)
        if socket is None:
            socket = pynng.Req0(
                resend_time=_NO_RESEND_MS,
                reconnect_time_min=50,
                reconnect_time_max=_RECONNECT_MAX_MS,
            )
            socket.dial(f"tcp://{address[0]}:{address[1]}", block=False)
            self._sockets[address] = socket
        return socket

    def _release(self, address: tuple[str, int], socket: pynng.Socket) -> None:
        """Closes a socket that was given up once nothing waits on it."""
        self._pending_requests[socket] -= 1
        if self._pending_requests[socket] == 0:
            del self._pending_requests[socket]
            if self._sockets.get(address) is not socket:
                socket.close()

    def close(self) -> None:
        """Closes all sockets."""
        for socket in {*self._sockets.values(), *self._pending_requests}:
            socket.close()
        self._sockets.clear()
