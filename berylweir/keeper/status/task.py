"""The task that serves the versions in force over HTTP."""

import asyncio
from collections.abc import Callable
from typing import Annotated

import litestar
from litestar import params
from litestar import response as responses
import msgspec

from berylweir import httpd
from berylweir.keeper import messages
from berylweir.keeper.status import schemas
from berylweir.supervision import models as supervision

_REPLY_TIMEOUT_S = 1.0
_Kind = Annotated[str, params.PathParameter()]
_Name = Annotated[str, params.PathParameter()]
RequestSender = Callable[[messages.InForceRequested], None]


def _json_response(
    body: msgspec.Struct, status: int = 200
) -> responses.Response[bytes]:
    return responses.Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type="application/json",
    )


def create_app(send_request: RequestSender) -> litestar.Litestar:
    """Creates the ASGI application.

    A request gets status 503 if the authority task doesn't reply within 1 s.

    Args:
        send_request: Puts a request into the authority task's mailbox.
    """

    async def fetch_objects_in_force() -> schemas.ObjectsInForce:
        reply: asyncio.Future[schemas.ObjectsInForce] = (
            asyncio.get_running_loop().create_future()
        )
        send_request(messages.InForceRequested(reply))
        async with asyncio.timeout(_REPLY_TIMEOUT_S):
            return await reply

    @litestar.get("/in-force")
    async def list_objects() -> responses.Response[bytes]:
        try:
            return _json_response(await fetch_objects_in_force())
        except TimeoutError:
            return responses.Response(b"", status_code=503)

    @litestar.get("/in-force/{kind:str}/{name:str}")
    async def get_version(
        kind: _Kind, name: _Name
    ) -> responses.Response[bytes]:
        try:
            in_force = await fetch_objects_in_force()
        except TimeoutError:
            return responses.Response(b"", status_code=503)
        version = next(
            (
                o.version
                for o in in_force.objects
                if (o.kind, o.name) == (kind, name)
            ),
            0,
        )
        return _json_response(
            schemas.VersionInForce(in_force.vm, kind, name, version)
        )

    return litestar.Litestar(
        [list_objects, get_version], openapi_config=None, logging_config=None
    )


class StatusTask:
    """Owns the listening socket and the HTTP server of the status endpoint."""

    def __init__(
        self, send_request: RequestSender, host: str, port: int
    ) -> None:
        """Creates the task.

        Args:
            send_request: Puts a request into the authority task's mailbox.
            host: IP address to listen on.
            port: TCP port to listen on.
        """
        self._send_request = send_request
        self._host = host
        self._port = port

    async def run(self, context: supervision.ChildContext) -> None:
        """Serves requests until asked to stop."""
        server, serve_task = await httpd.start(
            context.stack,
            create_app(self._send_request),
            self._host,
            self._port,
            shutdown_s=1.0,
        )
        context.report_ready()
        await context.stop_event.wait()
        server.should_exit = True
        await serve_task
