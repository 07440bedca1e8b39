"""Tasks that own the nng sockets to and from other gateways."""

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
# Number of workers that are kept idle for further requests. Requests may be
# held for a long poll, so workers are added as others become busy.
_MIN_IDLE_WORKERS = 4
# Pause before a worker replaces an nng context that failed, in seconds.
_CONTEXT_RETRY_PAUSE_S = 0.1
# Largest number of workers, and so of requests handled at the same time.
_MAX_WORKERS = 256
# Longest message that is received, in bytes. The longest ones hold all objects
# of a kind.
_MAX_MESSAGE_BYTES = 16 * 2**20
# Timeout of a request to another gateway, in seconds, apart from the time for
# which the gateway may hold it. The round trip between zones takes
# milliseconds.
REPLY_TIMEOUT_S = 0.5
# Longest pause between attempts to reconnect, in ms.
_RECONNECT_MAX_MS = 500
# Messages unknown to other gateways that are remembered.
_MAX_UNSUPPORTED = 1000
# Resend interval, in ms, that is never reached: the caller of `ask` decides on
# retries, not the socket.
_NO_RESEND_MS = 3_600_000

Handler = Callable[[messages.Request], Awaitable[messages.Reply]]


class PeerServer:
    """Answers the requests of other gateways."""

    def __init__(
        self,
        environment: models.Environment,
        handler: Handler,
        metrics: counters.Counters,
    ) -> None:
        """Creates the server.

        Args:
            environment: Settings that the platform passed.
            handler: Function that answers one request.
            metrics: Counters.
        """
        self._address = f"tcp://{environment.host}:{environment.peer_port}"
        self._handler = handler
        self._metrics = metrics
        self._workers: set[asyncio.Task[None]] = set()
        self._busy_workers = 0

    async def run(self, context: supervision.ChildContext) -> None:
        """Answers until the supervisor stops the child."""
        socket = pynng.Rep0(recv_max_size=_MAX_MESSAGE_BYTES)
        context.stack.callback(socket.close)
        socket.listen(self._address)
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            for _ in range(_MIN_IDLE_WORKERS):
                self._add_worker(group, socket)
            await context.stop_event.wait()
            # The operations that the workers wait for end when the context's
            # stack closes the socket.
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
        """Answers a request, and adds a worker if too few are idle."""
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
                self._metrics.count("peers.undecodable")
                _LOGGER.warning(
                    "undecodable message", extra={"failure": failure}
                )
                reply = messages.Unsupported(failure.reason)
                await sockets.send(nng_context, messages.encode(reply))


class PeerClient:
    """Sends requests to other gateways.

    Keeps one socket for each gateway and replaces it after a failed request.
    """

    def __init__(self, metrics: counters.Counters) -> None:
        """Creates a client without sockets.

        Args:
            metrics: Counters.
        """
        self._metrics = metrics
        self._sockets: dict[tuple[str, int], pynng.Socket] = {}
        # Messages that other gateways don't know, by the run of the gateway.
        self._unsupported: set[tuple[str, str]] = set()
        # Number of requests that wait for a reply on each socket.
        self._pending_requests: collections.Counter[pynng.Socket] = (
            collections.Counter()
        )

    async def run(self, context: supervision.ChildContext) -> None:
        """Keeps the sockets until the supervisor stops the child."""
        context.stack.callback(self.close)
        context.report_ready()
        await context.stop_event.wait()

    async def ask(
        self,
        vm: models.Vm,
        request: messages.Request,
        *,
        max_hold_s: float = 0.0,
        reply_timeout_s: float = REPLY_TIMEOUT_S,
    ) -> result.Result[messages.Reply, exceptions.PeerFailure]:
        """Sends a request to the gateway of a VM and waits for the reply.

        Args:
            vm: VM of the gateway.
            request: The request.
            max_hold_s: Time for which the gateway may hold the request before
                it replies, in seconds.
            reply_timeout_s: Time for the reply in addition to that, in
                seconds.

        Returns:
            The reply, or the failure if there was none in time, or if the
            gateway doesn't know the message.
        """
        message = type(request).__name__
        if (vm.incarnation, message) in self._unsupported:
            return result.Err(exceptions.MessageUnsupported(vm.name, message))
        address = (vm.host, vm.port)
        try:
            socket = self._get_socket(address)
        except pynng.AddressInvalid as error:
            self._metrics.count("peers.silent")
            return result.Err(exceptions.PeerUnresponsive(vm.name, repr(error)))
        self._pending_requests[socket] += 1
        # With an nng context per request, several requests can wait for their
        # replies on one socket.
        nng_context = socket.new_context()
        try:
            async with asyncio.timeout(max_hold_s + reply_timeout_s):
                await sockets.send(nng_context, messages.encode(request))
                data = await sockets.receive(nng_context)
        except (TimeoutError, OSError, pynng.NNGException) as error:
            self._metrics.count("peers.silent")
            if self._sockets.get(address) is socket:
                # The next request opens a new socket.
                del self._sockets[address]
            return result.Err(exceptions.PeerUnresponsive(vm.name, repr(error)))
        finally:
            with contextlib.suppress(pynng.Closed):
                nng_context.close()  # it may have been closed with its socket
            self._release(address, socket)
        match messages.decode_reply(data):
            case result.Ok(messages.Unsupported(reason)):
                return result.Err(self._learn_unsupported(vm, message, reason))
            case reply:
                return reply

    def _learn_unsupported(
        self, vm: models.Vm, message: str, reason: str
    ) -> exceptions.PeerFailure:
        """Remembers that a gateway doesn't know a message."""
        self._metrics.count("peers.unsupported")
        _LOGGER.warning(
            "message not supported by another build",
            extra={
                "vm": vm.name,
                "sent": message,
                "reason": reason,
                "its_capabilities": sorted(vm.capabilities),
            },
        )
        if len(self._unsupported) >= _MAX_UNSUPPORTED:
            self._unsupported.clear()
        self._unsupported.add((vm.incarnation, message))
        return exceptions.MessageUnsupported(vm.name, message)

    def _get_socket(self, address: tuple[str, int]) -> pynng.Socket:
        socket = self._sockets.get(address)
        if socket is None:
            socket = pynng.Req0(
                recv_max_size=_MAX_MESSAGE_BYTES,
                resend_time=_NO_RESEND_MS,
                reconnect_time_min=50,
                reconnect_time_max=_RECONNECT_MAX_MS,
            )
            try:
                socket.dial(f"tcp://{address[0]}:{address[1]}", block=False)
            except pynng.AddressInvalid:
                socket.close()
                raise
            self._sockets[address] = socket
        return socket

    def _release(self, address: tuple[str, int], socket: pynng.Socket) -> None:
        """Closes a replaced socket after its last pending request."""
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
