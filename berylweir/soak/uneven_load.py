"""Loads the keys of one server, and checks that they are moved.

The check begins when all faults have ended. Every wait of the gateways after a
fault has a bound, and so has the time until keys move again.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
import time

from berylweir.gateway.ownership import grant_expiry
from berylweir.soak import callers
from berylweir.soak import gateways
from berylweir.standin.gateway_platform import server as server_standin

# Time without faults at the end of a soak, in seconds.
QUIET_S = 30.0
# Longest time without a move, in seconds: a new lease holder waits for its
# predecessor's authority and for the longest grant to end, and then needs some
# reports of the load.
MAX_WAIT_S = grant_expiry.AUTHORITY_S + grant_expiry.GRANT_DURATION_S + 6.0
_BUSY_KEYS = 24
_CALLERS_PER_GATEWAY = 3
_CHECK_INTERVAL_S = 0.05
_KEY_COUNT = 65_536


class UnevenLoad:
    """Sends requests for keys of one server until one of them is moved."""

    def __init__(
        self,
        vms: Sequence[gateways.Gateway],
        servers: Sequence[server_standin.Server],
        started_s: float,
        seed: str,
    ) -> None:
        """Creates a load that hasn't started.

        Args:
            vms: Gateways that get the requests.
            servers: The backend servers.
            started_s: Start of the soak, on the monotonic clock, in seconds.
            seed: Seed of the keys and requests.
        """
        self._gateways = vms
        self._servers = servers
        self._started_s = started_s
        self._seed = seed
        self._callers: list[callers.Caller] = []
        self._moved_after_s: float | None = None
        self._violations: list[str] = []

    @property
    def callers(self) -> Sequence[callers.Caller]:
        """Callers that have sent the requests."""
        return self._callers

    @property
    def moved_after_s(self) -> float | None:
        """Time until a key was moved, in seconds; None if none was."""
        return self._moved_after_s

    @property
    def violations(self) -> list[str]:
        """A line if no key was moved in time."""
        return self._violations

    async def run(self, end_s: float) -> None:
        """Sends requests until a key is moved.

        Args:
            end_s: When to stop, in seconds from the start of the soak. If that
                is earlier than the longest time, nothing is checked.
        """
        start_s = time.monotonic()
        last_s = min(start_s + MAX_WAIT_S, self._started_s + end_s)
        owner, keys = await self._choose_keys(last_s)
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._start_caller(gateway, number, keys))
                for gateway in self._gateways
                for number in range(_CALLERS_PER_GATEWAY)
                if keys
            ]
            has_moved = await _until(
                lambda: self._has_new_owner(owner, keys), last_s
            )
            for task in tasks:
                task.cancel()
        if has_moved:
            self._moved_after_s = time.monotonic() - start_s
        elif last_s >= start_s + MAX_WAIT_S:
            self._violations.append(
                f"no busy key of {owner or 'any server'} was moved within"
                f" {MAX_WAIT_S:g} s after the last fault"
            )

    async def _start_caller(
        self, gateway: gateways.Gateway, number: int, keys: Sequence[int]
    ) -> None:
        name = f"uneven{gateway.vm}-{number}"
        caller = callers.Caller(
            name,
            gateway,
            self._started_s,
            f"{self._seed}/{name}",
            routes=("keyed",),
            keys=keys,
        )
        self._callers.append(caller)
        await caller.run(float("inf"))

    async def _choose_keys(self, last_s: float) -> tuple[str, Sequence[int]]:
        """Returns a server and some of its keys, once one holds enough."""
        rng = random.Random(self._seed)
        sampled = rng.sample(range(_KEY_COUNT), 16 * _BUSY_KEYS)
        chosen: dict[str, list[int]] = {}

        def has_owner() -> bool:
            for server in self._servers:
                held = [key for key in sampled if server.holds(key)]
                if len(held) >= _BUSY_KEYS:
                    chosen[server.name] = held[:_BUSY_KEYS]
            return bool(chosen)

        await _until(has_owner, last_s)
        return next(iter(chosen.items()), ("", ()))

    def _has_new_owner(self, owner: str, keys: Sequence[int]) -> bool:
        return any(
            server.name != owner and server.holds(key)
            for server in self._servers
            for key in keys
        )


async def _until(condition: Callable[[], bool], last_s: float) -> bool:
    """Waits for a condition; returns whether it held in time."""
    while not condition():
        if time.monotonic() >= last_s:
            return False
        await asyncio.sleep(_CHECK_INTERVAL_S)
    return True
