"""Listens for callers."""

import asyncio
import logging

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.exchange import service
from berylweir.gateway.ingress import protocol
from berylweir.observability import counters
from berylweir.platform import requests
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
_BACKLOG = 1024
# How often slow and idle callers are looked for, in seconds.
_CHECK_S = 1.0
# Time after SIGTERM in which the balancer takes the VM out: it asks once a
# second and needs two misses.
_LEAVE_S = 3.0
# Time between two looks for connections that have become idle, in seconds.
_CLOSE_AGAIN_S = 0.1
# Time kept before the end of the grace period, in seconds.
_GRACE_MARGIN_S = 0.6

Inbox = mailbox.Mailbox[messages.StoreUpdate]


def create_inbox() -> Inbox:
    """Returns the mailbox of the ingress."""
    return mailbox.Mailbox("ingress", 1000)


class Ingress:
    """Owns the listening socket and the connections of callers."""

    def __init__(
        self,
        environment: models.Environment,
        served_by: service.Service,
        inbox: Inbox,
        metrics: counters.Counters,
    ) -> None:
        """Creates the ingress.

        Args:
            environment: What the platform says of this VM.
            served_by: Serves each request.
            inbox: Mailbox with configurations.
            metrics: Counters.
        """
        self._environment = environment
        self._service = served_by
        self._inbox = inbox
        self._metrics = metrics
        self._connections: set[protocol.CallerConnection] = set()
        self._limits = models.CallerLimits()
        self._is_leaving = False

    @property
    def is_ready(self) -> bool:
        """Whether this VM should get new connections."""
        return self._service.router is not None and not self._is_leaving

    async def run(self, context: supervision.ChildContext) -> None:
        """Serves callers until the supervisor stops the child."""
        loop = asyncio.get_running_loop()
        host, port = self._environment.caller_address
        server = await loop.create_server(
            self._accept, host, port, backlog=_BACKLOG, reuse_address=True
        )
        context.stack.callback(server.close)
        follower = loop.create_task(self._follow())
        checker = loop.create_task(self._check())
        context.stack.callback(follower.cancel)
        context.stack.callback(checker.cancel)
        context.report_ready()
        await context.stop_event.wait()
        await self._leave(server)

    def _accept(self) -> protocol.CallerConnection:
        self._metrics.count("gateway.connection")
        connection = protocol.CallerConnection(
            self._service.serve,
            self._is_repeatable,
            self._limits,
            self._connections,
            self._metrics,
        )
        if self._is_leaving:
            connection.announce_close()
        return connection

    def _is_repeatable(self, head: requests.RequestHead) -> bool:
        router = self._service.router
        route = router.match(head.host, head.path) if router else None
        return (
            route is not None
            and route.idempotency is models.Idempotency.IDEMPOTENT
        )

    async def _follow(self) -> None:
        while True:
            match await self._inbox.get():
                case messages.ConfigurationChanged(configuration):
                    self._service.configure(configuration)
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

    async def _check(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_CHECK_S)
            for connection in tuple(self._connections):
                connection.check_progress(loop.time())

    async def _leave(self, server: asyncio.Server) -> None:
        """Ends all connections without cutting a request.

        The balancer sends new connections until it has noticed, and these are
        served too.
        """
        loop = asyncio.get_running_loop()
        self._is_leaving = True
        started_s = loop.time()
        end_s = started_s + self._environment.bounds.grace_s - _GRACE_MARGIN_S
        for connection in tuple(self._connections):
            connection.announce_close()
        await asyncio.sleep(min(_LEAVE_S, end_s - started_s))
        # The balancer goes on sending here if it takes too many VMs of the
        # zone for lost; its callers connect to another one.
        server.close()
        while self._connections and loop.time() < end_s:
            for connection in tuple(self._connections):
                connection.close_if_idle()
            await asyncio.sleep(_CLOSE_AGAIN_S)
        _LOGGER.info(
            "ingress closed", extra={"connections": len(self._connections)}
        )
