"""Callers that hold their connections until the gateway ends them."""

import asyncio
import random
import time

from berylweir.soak import gateways
from berylweir.soak import models
from berylweir.standin.fleet import caller

# Pause between two requests of a caller, in seconds.
_MAX_PAUSE_S = 0.05
# Time that a caller gives a request, in ms, and itself to read, in seconds.
_DEADLINE_MS = 2000
_RESPONSE_TIMEOUT_S = 8.0
_CONNECT_TIMEOUT_S = 1.0
_KEY_COUNT = 65_536


class Caller:
    """Sends one request after the other to one gateway."""

    def __init__(
        self, name: str, gateway: gateways.Gateway, started_s: float, seed: str
    ) -> None:
        """Creates a caller.

        Args:
            name: Beginning of the ids of its requests.
            gateway: Where it sends them.
            started_s: Start of the soak, on the monotonic clock.
            seed: Equal seeds send equal requests.
        """
        self._name = name
        self._gateway = gateway
        self._started_s = started_s
        self._rng = random.Random(seed)
        self._exchanges: list[models.Exchange] = []

    @property
    def exchanges(self) -> list[models.Exchange]:
        """What it has seen."""
        return self._exchanges

    async def run(self, end_s: float) -> None:
        """Sends until a time, in seconds from the start."""
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
        """Sends a request; returns whether the connection goes on."""
        number = len(self._exchanges)
        request_id = f"{self._name}-{number}"
        route = self._rng.choice(("safe", "unsafe", "keyed"))
        path = f"/{route}/{number}"
        request = caller.encode_request(
            path,
            request_id,
            _DEADLINE_MS,
            is_repeatable=route != "unsafe",
            key=self._rng.randrange(_KEY_COUNT),
        )
        sent_s = self._now_s()
        response: caller.Answer | None = None
        try:
            async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                writer.write(request)
                response = await caller.read_answer(reader)
            self._gateway.record_answer(instance)
        except (OSError, TimeoutError, EOFError):
            pass  # the exchange says so by its missing status
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
        return response is not None and not response.closes

    def _now_s(self) -> float:
        return time.monotonic() - self._started_s
