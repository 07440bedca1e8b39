"""The platform: its store, and the beats of the servers."""

import asyncio
from collections.abc import Sequence
import contextlib

import backend

from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin
from berylweir.standin.gateway_platform import store as store_standin

BEAT_S = 0.87


class Platform:
    """The store, with the operator's configuration and the servers' entries.

    Attributes:
        store: The project's stand-in of the store.
        port: TCP port of the store on 127.0.0.1.
    """

    def __init__(self) -> None:
        """Creates an empty store that doesn't listen yet."""
        self.store = store_standin.Store()
        self.port = 0

    async def start(
        self,
        stack: contextlib.AsyncExitStack,
        groups: dict[str, bool],
        routes: list[dict[str, object]],
        servers: Sequence[backend.Backend],
        max_body_bytes: int = 1_000_000,
    ) -> None:
        """Starts the store and the servers, and registers them.

        Args:
            stack: Ends everything when it closes.
            groups: For each service, whether it is divided by key.
            routes: Routes of the configuration.
            servers: The servers, which don't listen yet.
            max_body_bytes: Longest body that a client may send.
        """
        self.port = await http.listen(stack, self.store.handle)
        configuration = server_standin.configuration_spec(groups, routes)
        configuration["limits"] = {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": max_body_bytes,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        }
        await self.store.put("config", "main", configuration)
        for server in servers:
            await server.listen(stack)
            await self.register(server)

    async def register(self, server: backend.Backend) -> None:
        """Writes the entry of a server."""
        entry = server.entry()
        await self.store.put("servers", server.name, entry, entry["status"])


def keep(stack: contextlib.AsyncExitStack, task: asyncio.Task[None]) -> None:
    """Cancels a task when `stack` closes."""
    stack.callback(task.cancel)


def route(
    name: str, group: str, kind: str, timeout_ms: int, attempts: int = 2
) -> dict[str, object]:
    """Returns a route of the configuration."""
    return server_standin.route_spec(
        name, group, kind=kind, timeout_ms=timeout_ms, attempts=attempts
    )
