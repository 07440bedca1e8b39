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

_ANSWER_S = 1.0
_Kind = Annotated[str, params.PathParameter()]
_Name = Annotated[str, params.PathParameter()]
Ask = Callable[[messages.InForceRequested], None]


def _json(body: msgspec.Struct, status: int = 200) -> responses.Response[bytes]:
    return responses.Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type="application/json",
    )


def create_app(ask: Ask) -> litestar.Litestar:
    """Creates the ASGI application.

    Args:
        ask: Puts a question into the mailbox of the authority task.
    """

    async def in_force_now() -> schemas.InForce:
        reply: asyncio.Future[schemas.InForce] = (
            asyncio.get_running_loop().create_future()
        )
        ask(messages.InForceRequested(reply))
        async with asyncio.timeout(_ANSWER_S):
            return await reply

    @litestar.get("/in-force")
    async def everything() -> responses.Response[bytes]:
        try:
            return _json(await in_force_now())
        except TimeoutError:
            return responses.Response(b"", status_code=503)

    @litestar.get("/in-force/{kind:str}/{name:str}")
    async def one(kind: _Kind, name: _Name) -> responses.Response[bytes]:
        try:
            found = await in_force_now()
        except TimeoutError:
            return responses.Response(b"", status_code=503)
        version = next(
            (
                o.version
                for o in found.objects
                if (o.kind, o.name) == (kind, name)
            ),
            0,
        )
        return _json(schemas.VersionInForce(found.vm, kind, name, version))

    return litestar.Litestar(
        [everything, one], openapi_config=None, logging_config=None
    )


class StatusTask:
    """Owns the listener of the status endpoint."""

    def __init__(self, ask: Ask, host: str, port: int) -> None:
        """Creates the task.

        Args:
            ask: Puts a question into the mailbox of the authority task.
            host: IP address to listen on.
            port: TCP port to listen on.
        """
        self._ask = ask
        self._host = host
        self._port = port

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until asked to stop."""
        server, serving = await httpd.start(
            context.stack,
            create_app(self._ask),
            self._host,
            self._port,
            shutdown_s=1.0,
        )
        context.report_ready()
        await context.stop_event.wait()
        server.should_exit = True
        await serving
