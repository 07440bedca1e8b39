"""Callers that keep a connection open until the gateway closes it."""

import asyncio
from collections.abc import Sequence
import random
import time

from berylweir.soak import gateways
from berylweir.soak import models
from berylweir.standin.gateway_platform import caller

# Longest pause between two requests of a caller, and the pause after a failed
# connection.
_MAX_PAUSE_S = 0.05
# Deadline that a request carries.
_DEADLINE_MS = 2000
# How long a caller waits for a response; longer than the deadline plus the
# longest freeze of a gateway.
_RESPONSE_TIMEOUT_S = 8.0
_CONNECT_TIMEOUT_S = 1.0
_ROUTES = ("safe", "unsafe", "keyed")
_KEYS = range(65_536)


class Caller:
    """Sends one request after the other to one gateway."""

    def __init__(
        self,
        name: str,
        gateway: gateways.Gateway,
        started_s: float,
        seed: str,
        *,
        routes: Sequence[str] = _ROUTES,
        keys: Sequence[int] = _KEYS,
    ) -> None:
        """Creates a caller.

        Args:
            name: Prefix of the ids of its requests.
            gateway: Gateway that it sends them to.
            started_s: Start of the soak, on the monotonic clock, in seconds.
            seed: Seed of the routes, keys and pauses; equal seeds give equal
                ones.
            routes: Routes of its requests.
            keys: Keys of its requests.
        """
        self._routes = routes
        self._keys = keys
        self._name = name
        self._gateway = gateway
        self._started_s = started_s
        self._rng = random.Random(seed)
        self._exchanges: list[models.Exchange] = []

    @property
    def exchanges(self) -> list[models.Exchange]:
        """All requests of this caller so far, with their responses."""
        return self._exchanges

    async def run(self, end_s: float) -> None:
        """Sends requests, and reconnects when the connection ends.

        Args:
            end_s: When to stop, in seconds from the start of the soak.
        """
        while self._now_s() < end_s:
            instance = self._gateway.instance
            try:
                async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        "127.0.0.1", self._gateway.port
                    )
            except (OSError, TimeoutError):
                await asyncio.sleep(_MAX_PAUSE_S)
                continue
            try:
                while self._now_s() < end_s:
                    if not await self._send_request(reader, writer, instance):
                        break
                    pause_s = self._rng.uniform(0.0, _MAX_PAUSE_S)
                    await asyncio.sleep(pause_s)
            finally:
                writer.close()

    async def _send_request(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        instance: int,
    ) -> bool:
        """Sends a request, and returns whether the connection is still usable.

        Records the exchange, without a status if no response arrived.
        """
        number = len(self._exchanges)
        request_id = f"{self._name}-{number}"
        route = self._rng.choice(self._routes)
        path = f"/{route}/{number}"
        request = caller.encode_request(
            path,
            request_id,
            _DEADLINE_MS,
            is_repeatable=route != "unsafe",
            key=self._rng.choice(self._keys),
        )
        sent_s = self._now_s()
        response: caller.Response | None = None
        try:
            async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                writer.write(request)
                response = await caller.read_response(reader)
            self._gateway.record_answer(instance)
        except (OSError, TimeoutError, EOFError):
            pass  # The exchange is recorded without a status.
        self._exchanges.append(
            models.Exchange(
                request_id,
                path,
                route != "unsafe",
                self._gateway.vm,
                instance,
                sent_s,
                self._now_s(),
                response.status if response else None,
                response.body if response else b"",
                response.seal if response else "",
            )
        )
        return response is not None and not response.closes_connection

    def _now_s(self) -> float:
        return time.monotonic() - self._started_s
