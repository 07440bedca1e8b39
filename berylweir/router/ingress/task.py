"""The tasks that listen for HTTP from callers and from other routers."""

import asyncio
import contextlib

import msgspec

from berylweir import tls
from berylweir.observability import counters
from berylweir.router.ingress import forwarding
from berylweir.router.ingress import incoming
from berylweir.router.ingress import models
from berylweir.router.ingress import protocol
from berylweir.supervision import models as supervision

# Time for the load balancer to see that this VM is no longer ready.
_READINESS_PROPAGATION_S = 0.5
_BACKLOG = 1024
_IDLE_TIMEOUT_S = 75.0
# A slow sender is detected at most a quarter of its timeout late.
_CHECKS_PER_TIMEOUT = 4
_JSON_HEADERS = ((b"content-type", b"application/json"),)


class CallerHandler:
    """Answers health checks and passes all other requests to the ingress."""

    def __init__(
        self, ingress: forwarding.Ingress, metrics: counters.Counters
    ) -> None:
        """Creates a handler.

        Args:
            ingress: Serves the requests of callers.
            metrics: Counters, which `/statusz` shows.
        """
        self._ingress = ingress
        self._metrics = metrics

    async def serve(
        self, request: incoming.Request, caller: protocol.CallerConnection
    ) -> None:
        """Serves one request."""
        target = request.head.target
        if target not in _STATUS_TARGETS:
            await self._ingress.serve_caller(request, caller)
            return
        status, body = self._status_response(target)
        caller.start_response(
            status, _JSON_HEADERS, msgspec.json.encode(body), is_complete=True
        )

    def _status_response(self, target: bytes) -> tuple[int, object]:
        match target:
            case b"/healthz":
                return 200, {"status": "ok"}
            case b"/readyz":
                is_ready = self._ingress.is_ready
                return 200 if is_ready else 503, {
                    "status": "ready" if is_ready else "not ready",
                    "in_flight": self._ingress.in_flight,
                }
            case _:
                return 200, {
                    "counts": self._metrics.counts,
                    "gauges": self._metrics.gauges,
                }


_STATUS_TARGETS = frozenset({b"/healthz", b"/readyz", b"/statusz"})


class ListenerTask:
    """Owns one HTTP listener and its connections."""

    def __init__(
        self,
        handler: protocol.Handler,
        host: str,
        port: int,
        ingress: forwarding.Ingress,
        limits: models.Limits,
        shutdown_s: float,
        metrics: counters.Counters,
        certificate: tls.TlsTask | None = None,
    ) -> None:
        """Creates the task.

        Args:
            handler: Serves each request.
            host: IP address to listen on.
            port: TCP port to listen on; 0 selects a free one.
            ingress: Sends refusals, and reports that it is not ready during a
                shutdown.
            limits: Limits on what a caller may send.
            shutdown_s: Longest time for requests in flight at a shutdown, in
                seconds.
            metrics: Counters.
            certificate: Task that owns the TLS context, or None for no TLS.
        """
        self._certificate = certificate
        self._handler = handler
        self._host = host
        self._port = port
        self._ingress = ingress
        self._limits = limits
        self._shutdown_s = shutdown_s
        self._metrics = metrics
        self._connections: set[protocol.CallerConnection] = set()
        self._is_closed = False

    @property
    def port(self) -> int:
        """TCP port of the listener; valid once the task is ready."""
        return self._port

    @property
    def buffered_bytes(self) -> int:
        """Bytes in the buffers of all connections."""
        return sum(c.buffered_bytes for c in self._connections)

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until asked to stop, then drains.

        Draining ends when no request is in flight or after `shutdown_s`.

        Raises:
            OSError: If the address can't be bound.
        """
        server = await asyncio.get_running_loop().create_server(
            self._create_connection,
            self._host,
            self._port,
            backlog=_BACKLOG,
            ssl=self._certificate.context if self._certificate else None,
        )
        context.stack.callback(self._abort_connections)
        context.stack.callback(server.close)
        self._port = server.sockets[0].getsockname()[1]
        context.report_ready()
        await self._check_connections_until(context.stop_event)
        self._ingress.begin_drain()
        await asyncio.sleep(_READINESS_PROPAGATION_S)
        server.close()
        await self._drain()

    def _create_connection(self) -> protocol.CallerConnection:
        connection = protocol.CallerConnection(
            self._handler,
            self._ingress.refuse,
            self._limits,
            self._connections,
            self._metrics,
        )
        if self._is_closed:
            # The event loop may accept a connection before the listener is
            # closed, and create it afterwards.
            connection.begin_close()
        return connection

    async def _check_connections_until(self, stop_event: asyncio.Event) -> None:
        loop = asyncio.get_running_loop()
        interval_s = min(1.0, self._limits.body_timeout_s / _CHECKS_PER_TIMEOUT)
        while not stop_event.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await stop_event.wait()
            now = loop.time()
            for connection in tuple(self._connections):
                connection.check_progress(now, _IDLE_TIMEOUT_S)

    async def _drain(self) -> None:
        """Closes idle connections until none is left or time is up."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + self._shutdown_s
        while self._connections and loop.time() < deadline_s:
            for connection in tuple(self._connections):
                connection.begin_close()
                connection.check_progress(loop.time(), _IDLE_TIMEOUT_S)
            await asyncio.sleep(_DRAIN_CHECK_INTERVAL_S)

    def _abort_connections(self) -> None:
        self._is_closed = True
        for connection in tuple(self._connections):
            connection.abort()


_DRAIN_CHECK_INTERVAL_S = 0.02
