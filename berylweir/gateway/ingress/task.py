"""The task that accepts connections of callers."""

import asyncio
import dataclasses
import enum
import logging
import typing

from berylweir.gateway import models
from berylweir.gateway.body_memory import budget
from berylweir.gateway.exchange import handler
from berylweir.gateway.exchange import stopping
from berylweir.gateway.forwarding import codec
from berylweir.gateway.ingress import models as ingress
from berylweir.gateway.ingress import protocol
from berylweir.gateway.routing import decisions as routing
from berylweir.observability import counters
from berylweir.platform import requests
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
_LISTEN_BACKLOG = 1024
# Interval of the checks for idle connections and slow requests, in seconds.
_TIMEOUT_CHECK_INTERVAL_S = 1.0
# Time after SIGTERM in which new connections and all requests are accepted, in
# seconds. The load balancer checks readiness once per second and removes a VM
# after two failed checks. The platform expects that requests of the first 3 s
# are served; it counts from its signal, which may be handled a little later.
_ACCEPT_S = 2.8
# Time in which the event loop accepts the connections that have arrived before
# the gateway stops accepting, in seconds.
_ACCEPT_PENDING_S = 0.01
# Interval at which connections are closed late in a shutdown, in seconds.
_CLOSE_INTERVAL_S = 0.1
# Time reserved at the end of the grace period before SIGKILL, in seconds.
_SHUTDOWN_MARGIN_S = 0.6
# Largest size of the headers that another gateway adds, in bytes.
_MAX_OWN_HEADER_BYTES = 1024


class Peer(enum.Enum):
    """Who connects to a listener."""

    CALLERS = "callers"
    GATEWAYS = "gateways"


@dataclasses.dataclass(frozen=True, slots=True)
class Listener:
    """What an ingress listens for.

    Attributes:
        peer: Who connects to it.
        address: Host and port.
        decode_head: Decodes the head of a request and its origin.
        own_header_bytes: Size of headers that a gateway has added, in bytes.
        refusal_headers: Added to the refusal of a request that wasn't received
            as a whole.
    """

    peer: Peer
    address: tuple[str, int]
    decode_head: protocol.DecodeHead
    own_header_bytes: int = 0
    refusal_headers: tuple[requests.Header, ...] = ()


def caller_listener(environment: models.Environment) -> Listener:
    """Returns the listener for callers."""
    return Listener(
        Peer.CALLERS, environment.caller_address, codec.decode_caller_request
    )


def gateway_listener(environment: models.Environment) -> Listener:
    """Returns the listener for requests that other gateways forward."""
    return Listener(
        Peer.GATEWAYS,
        (environment.host, environment.forward_port),
        codec.decode_forwarded_request,
        _MAX_OWN_HEADER_BYTES,
        codec.refusal_headers(),
    )


def counter_of(peer: Peer) -> str:
    """Returns the name of the counter of accepted connections."""
    match peer:
        case Peer.CALLERS:
            return "gateway.connection"
        case Peer.GATEWAYS:
            return "gateway.forward_connection"
        case _:
            typing.assert_never(peer)


class Ingress:
    """Owns a listening socket and the connections that it accepts.

    On shutdown it drains the connections without interrupting requests, and
    refuses those that come too late.
    """

    def __init__(
        self,
        listener: Listener,
        bounds: models.Bounds,
        request_handler: handler.RequestHandler,
        handle_request: protocol.HandleRequest,
        draining: asyncio.Event,
        memory: budget.BodyMemory,
        metrics: counters.Counters,
    ) -> None:
        """Creates the ingress.

        Args:
            listener: What it listens for.
            bounds: Limits that the platform sets.
            request_handler: Has the current configuration.
            handle_request: Returns the answer to a request.
            draining: Shared by all ingresses of the gateway. The first one
                that is stopped sets it, so that all drain at the same time.
            memory: Memory for the bodies of requests.
            metrics: Counters.
        """
        self._listener = listener
        self._bounds = bounds
        self._request_handler = request_handler
        self._handle_request = handle_request
        self._draining = draining
        self._memory = memory
        self._metrics = metrics
        self._connections: set[protocol.CallerConnection] = set()
        self._is_listening = False
        self._limits_source: routing.RouteTable | None = None
        self._limits = self._build_limits(None)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should send new connections here."""
        return (
            self._is_listening
            and self._request_handler.route_table is not None
            and not self._draining.is_set()
        )

    async def run(self, context: supervision.ChildContext) -> None:
        """Serves requests until an ingress is stopped, then drains."""
        loop = asyncio.get_running_loop()
        host, port = self._listener.address
        server = await loop.create_server(
            self._accept,
            host,
            port,
            backlog=_LISTEN_BACKLOG,
            reuse_address=True,
        )
        context.stack.callback(server.close)
        self._is_listening = True
        context.stack.callback(self._record_closed)
        timeout_task = loop.create_task(self._check_timeouts())
        context.stack.callback(timeout_task.cancel)
        stop_task = loop.create_task(self._drain_when_stopped(context))
        context.stack.callback(stop_task.cancel)
        context.report_ready()
        await self._draining.wait()
        await self._drain(server)

    def _record_closed(self) -> None:
        self._is_listening = False

    async def _drain_when_stopped(
        self, context: supervision.ChildContext
    ) -> None:
        await context.stop_event.wait()
        self._draining.set()

    def _accept(self) -> protocol.CallerConnection:
        self._metrics.count(counter_of(self._listener.peer))
        connection = protocol.CallerConnection(
            self._handle_request,
            self._find_traits,
            self._get_limits,
            self._connections,
            self._memory,
            self._metrics,
            self._listener.decode_head,
            self._listener.refusal_headers,
        )
        if self._draining.is_set():
            connection.announce_close()
        return connection

    def _find_traits(self, head: requests.RequestHead) -> ingress.RequestTraits:
        route_table = self._request_handler.route_table
        route = route_table.match(head.host, head.path) if route_table else None
        if route is None:
            return ingress.RequestTraits("", is_idempotent=False)
        return ingress.RequestTraits(
            route.name,
            is_idempotent=route.idempotency is models.Idempotency.IDEMPOTENT,
        )

    def _get_limits(self) -> models.CallerLimits:
        """Returns the limits of the newest configuration."""
        route_table = self._request_handler.route_table
        if route_table is not self._limits_source:
            self._limits_source = route_table
            self._limits = self._build_limits(route_table)
        return self._limits

    def _build_limits(
        self, route_table: routing.RouteTable | None
    ) -> models.CallerLimits:
        limits = (
            route_table.configuration.limits
            if route_table
            else models.CallerLimits()
        )
        return dataclasses.replace(
            limits,
            max_header_bytes=limits.max_header_bytes
            + self._listener.own_header_bytes,
        )

    async def _check_timeouts(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_TIMEOUT_CHECK_INTERVAL_S)
            for connection in tuple(self._connections):
                connection.check_timeouts(loop.time())

    async def _drain(self, server: asyncio.Server) -> None:
        """Closes all connections; only the last moment interrupts requests.

        The load balancer opens new connections until its readiness check has
        failed twice; these are served too.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        deadline_s = started_s + self._bounds.grace_s - _SHUTDOWN_MARGIN_S
        accept_s = min(_ACCEPT_S, deadline_s - started_s)
        stop = stopping.Stopping(started_s + accept_s, deadline_s)
        self._request_handler.begin_stop(stop)
        for connection in tuple(self._connections):
            connection.announce_close()
        await asyncio.sleep(accept_s)
        # Connections that have arrived meanwhile are accepted first.
        await asyncio.sleep(_ACCEPT_PENDING_S)
        # If too many VMs of the zone fail their checks, the load balancer keeps
        # using all of them. A refused connection makes callers connect to
        # another VM.
        server.close()
        while self._connections and loop.time() < deadline_s:
            for connection in tuple(self._connections):
                connection.finish()
                if loop.time() >= stop.last_answers_s:
                    connection.interrupt_receiving()
            await asyncio.sleep(_CLOSE_INTERVAL_S)
        _LOGGER.info(
            "ingress closed",
            extra={
                "listener": self._listener.peer.value,
                "connections": len(self._connections),
            },
        )
