"""Listens for callers."""

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
# How often slow and idle callers are looked for, in seconds.
_TIMEOUT_CHECK_INTERVAL_S = 1.0
# Time after SIGTERM in which the balancer takes the VM out: it asks once a
# second and needs two misses.
_BALANCER_REMOVAL_S = 3.0
# Time between two looks for connections that have become idle, in seconds.
_IDLE_CLOSE_INTERVAL_S = 0.1
# Time kept before the end of the grace period, in seconds.
_SHUTDOWN_MARGIN_S = 0.6

Inbox = mailbox.Mailbox[messages.StoreUpdate]


def create_inbox() -> Inbox:
    """Returns the mailbox of the ingress."""
    return mailbox.Mailbox("ingress", 1000)


class Ingress:
    """Owns the listening socket and the connections of callers."""

    def __init__(
        self,
        environment: models.Environment,
        request_handler: handler.RequestHandler,
        inbox: Inbox,
        metrics: counters.Counters,
    ) -> None:
        """Creates the ingress.

        Args:
            environment: What the platform says of this VM.
            request_handler: Serves each request.
            inbox: Mailbox with configurations.
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
        """Whether this VM should get new connections."""
        return (
            self._request_handler.route_table is not None
            and not self._is_draining
        )

    async def run(self, context: supervision.ChildContext) -> None:
        """Serves callers until the supervisor stops the child."""
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
        """Ends all connections without cutting a request.

        The balancer sends new connections until it has noticed, and these are
        served too.
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
        # The balancer goes on sending here if it takes too many VMs of the
        # zone for lost; its callers connect to another one.
        server.close()
        while self._connections and loop.time() < deadline_s:
            for connection in tuple(self._connections):
                connection.close_if_idle()
            await asyncio.sleep(_IDLE_CLOSE_INTERVAL_S)
        _LOGGER.info(
            "ingress closed", extra={"connections": len(self._connections)}
        )
