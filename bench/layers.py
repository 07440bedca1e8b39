"""Routers that respond after some layers only, for `bench.hop`."""

import asyncio
import itertools
import time

from berylweir.observability import counters
from berylweir.peers import messages as peers
from berylweir.router.ingress import decisions
from berylweir.router.ingress import incoming
from berylweir.router.ingress import models
from berylweir.router.ingress import protocol
from berylweir.router.table import decisions as table


async def serve(
    layer: str, update: peers.TableUpdate, host: str, port: int
) -> None:
    """Serves requests up to one layer until cancelled.

    Args:
        layer: `server` responds once the HTTP server has parsed the request,
            `decision` also chooses the target first.
        update: Routing table for the choice.
        host: IP address to listen on.
        port: TCP port to listen on.
    """
    routing = table.build(update)
    limits = models.Limits()
    ids = itertools.count(1)

    async def serve_one(
        request: incoming.Request, caller: protocol.CallerConnection
    ) -> None:
        if layer == "decision":
            now = time.monotonic()
            head = decisions.parse_head(
                request.head,
                limits,
                now,
                forbidden_headers=decisions.FORBIDDEN_FROM_CALLERS,
            ).unwrap()
            decisions.choose_target(
                head, routing, "home", limits, next(ids), now
            ).unwrap()
        caller.start_response(200, (), b"", is_complete=True)

    async def refuse(_: object, caller: protocol.CallerConnection) -> None:
        caller.start_response(400, (), b"", is_complete=True)

    connections: set[protocol.CallerConnection] = set()
    server = await asyncio.get_running_loop().create_server(
        lambda: protocol.CallerConnection(
            serve_one, refuse, limits, connections, counters.Counters()
        ),
        host,
        port,
    )
    await server.serve_forever()
