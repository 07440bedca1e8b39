"""The task that accepts connections of callers."""

import asyncio
import logging

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.exchange import handler
from berylweir.gateway.ingress import protocol
from berylweir.observability import counters
from berylweir.platform import requests
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
_LISTEN_BACKLOG = 1024
# Interval of the checks for idle connections and slow requests, in seconds.
_TIMEOUT_CHECK_INTERVAL_S = 1.0
# Time after SIGTERM in which the load balancer stops using the VM, in seconds.
# It checks readiness once per second and removes a VM after two failed checks.
_BALANCER_REMOVAL_S = 3.0
# Interval at which idle connections are closed during shutdown, in seconds.
_IDLE_CLOSE_INTERVAL_S = 0.1
# Time reserved at the end of the grace period before SIGKILL, in seconds.
_SHUTDOWN_MARGIN_S = 0.6

Inbox = mailbox.Mailbox[messages.StoreUpdate]


def create_inbox() -> Inbox:
    """Returns the mailbox of the ingress."""
    return mailbox.Mailbox("ingress", 1000)


class Ingress:
    """Owns the listening socket and the connections of callers.

    On shutdown it drains the connections without interrupting requests.
    """

    def __init__(
        self,
        environment: models.Environment,
        request_handler: handler.RequestHandler,
        inbox: Inbox,
        metrics: counters.Counters,
    ) -> None:
        """Creates the ingress.

        Args:
            environment: Settings that the platform passed.
            request_handler: Handles each request.
            inbox: Mailbox that receives configurations.
            metrics: Counters.
        """
        self._environment = environment
        self._request_handler = request_handler
        self._inbox = inbox
        self._metrics = metrics
        self._connections: set[protocol.CallerConnection] = set()
        self._limits = models.CallerLimits()
        self._is_draining = False

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections here."""
        return (
            self._request_handler.route_table is not None
            and not self._is_draining
        )

    async def run(self, context: supervision.ChildContext) -> None:
        """Serves callers until the supervisor stops the child, then drains."""
        loop = asyncio.get_running_loop()
        host, port = self._environment.caller_address
        server = await loop.create_server(
            self._accept,
            host,
            port,
            backlog=_LISTEN_BACKLOG,
            reuse_address=True,
        )
        context.stack.callback(server.close)
        configuration_task = loop.create_task(self._apply_configurations())
        timeout_task = loop.create_task(self._check_timeouts())
        context.stack.callback(configuration_task.cancel)
        context.stack.callback(timeout_task.cancel)
        context.report_ready()
        await context.stop_event.wait()
        await self._drain(server)

    def _accept(self) -> protocol.CallerConnection:
        self._metrics.count("gateway.connection")
        connection = protocol.CallerConnection(
            self._request_handler.handle,
            self._is_idempotent,
            self._limits,
            self._connections,
            self._metrics,
        )
        if self._is_draining:
            connection.announce_close()
        return connection

    def _is_idempotent(self, head: requests.RequestHead) -> bool:
        route_table = self._request_handler.route_table
        route = route_table.match(head.host, head.path) if route_table else None
        return (
            route is not None
            and route.idempotency is models.Idempotency.IDEMPOTENT
        )

    async def _apply_configurations(self) -> None:
        while True:
            match await self._inbox.get():
                case messages.ConfigurationChanged(configuration):
                    self._request_handler.configure(configuration)
                    self._limits = configuration.limits
                    _LOGGER.info(
                        "configuration in force",
                        extra={
                            "configuration": configuration.version,
                            "revision": configuration.revision,
                            "routes": len(configuration.routes),
                        },
                    )
                case _:
                    pass

    async def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TIMEOUT_CHECK_INTERVAL_S)
            for connection in tuple(self._connections):
                connection.check_timeouts(loop.time())

    async def _drain(self, server: asyncio.Server) -> None:
        """Closes all connections without interrupting a request.

        The load balancer opens new connections until its readiness check has
        failed twice; these are served too.
        """
        loop = asyncio.get_running_loop()
        self._is_draining = True
        started_s = loop.time()
        deadline_s = (
            started_s + self._environment.bounds.grace_s - _SHUTDOWN_MARGIN_S
        )
        for connection in tuple(self._connections):
            connection.announce_close()
        await asyncio.sleep(min(_BALANCER_REMOVAL_S, deadline_s - started_s))
        # If too many VMs of the zone fail their checks, the load balancer keeps
        # using all of them. A refused connection makes callers connect to
        # another VM.
        server.close()
        while self._connections and loop.time() < deadline_s:
            for connection in tuple(self._connections):
                connection.close_if_idle()
            await asyncio.sleep(_IDLE_CLOSE_INTERVAL_S)
        _LOGGER.info(
            "ingress closed", extra={"connections": len(self._connections)}
        )
