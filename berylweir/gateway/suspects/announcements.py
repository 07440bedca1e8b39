"""Messages to all gateways about requests that may crash servers."""

import asyncio
from collections.abc import Coroutine
from collections.abc import Iterable
import typing

import result

from berylweir.crash_suspects import quarantine
from berylweir.gateway import models
from berylweir.gateway.peers import messages as peer_messages
from berylweir.gateway.peers import task as peers
from berylweir.gateway.suspects import codec
from berylweir.observability import counters

# Announced suspects that are remembered at most.
MAX_REMEMBERED = 2048
# Gateways that are asked at the same time.
_MAX_CONCURRENT = 32
# Time for the answers of all gateways, in seconds.
_COMPLETIONS_TIMEOUT_S = 0.08
# Attempts to tell a gateway which requests are refused, and the pause before
# each further one, in seconds. One that misses them all reads the store.
_MAX_ATTEMPTS = 3
_RETRY_PAUSE_S = 0.5
# Announcements per second that one gateway makes in the long run, and at once.
_RATE = 5.0
_BURST = 20.0


class Announcer:
    """Sends a limited number of announcements to other gateways."""

    def __init__(
        self, peer_client: peers.PeerClient, metrics: counters.Counters
    ) -> None:
        """Creates an announcer.

        Args:
            peer_client: Client for requests to other gateways.
            metrics: Counters.
        """
        self._peer_client = peer_client
        self._metrics = metrics
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT)
        self._tokens = _BURST
        self._refilled_s = 0.0
        self._tasks: set[asyncio.Task[None]] = set()

    def close(self) -> None:
        """Ends all announcements."""
        for task in self._tasks:
            task.cancel()

    async def ask_for_completions(
        self, vms: Iterable[models.Vm], fingerprint: int, since_s: float
    ) -> list[float]:
        """Asks whether servers have completed a suspected request.

        Args:
            vms: Gateways to ask.
            fingerprint: Fingerprint of the request.
            since_s: When the first server ended under it, on the loop's clock,
                in seconds.

        Returns:
            When servers completed it since then, on the loop's clock, in
            seconds, according to the gateways that answered in time.
        """
        if not self._take_token():
            return []
        completed_s: list[float] = []

        async def ask(vm: models.Vm) -> None:
            now_s = _now_s()
            reply = await self._ask(
                vm, peer_messages.AnnounceSuspect(fingerprint, now_s - since_s)
            )
            match reply:
                case result.Ok(peer_messages.Completion(_, float(age_s))):
                    completed_s.append(now_s - age_s)
                case _:
                    pass

        # Later answers still make the gateways watch for the request.
        await asyncio.wait(
            [self._start(ask(vm)) for vm in vms] or [self._start(_nothing())],
            timeout=_COMPLETIONS_TIMEOUT_S,
        )
        return completed_s

    def announce_quarantine(
        self, vms: Iterable[models.Vm], entries: Iterable[quarantine.Entry]
    ) -> None:
        """Tells other gateways which requests are refused."""
        message = codec.encode_entries(entries)
        for vm in vms:
            self._start(self._tell(vm, message))

    async def _tell(
        self, vm: models.Vm, message: peer_messages.QuarantineRequests
    ) -> None:
        for attempt in range(_MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(_RETRY_PAUSE_S)
            if isinstance(await self._ask(vm, message), result.Ok):
                return

    async def _ask(
        self, vm: models.Vm, message: peer_messages.Request
    ) -> result.Result[peer_messages.Reply, object]:
        async with self._slots:
            return await self._peer_client.ask(vm, message)

    def _start(
        self, work: Coroutine[typing.Any, typing.Any, None]
    ) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _take_token(self) -> bool:
        now_s = _now_s()
        self._tokens = min(
            _BURST, self._tokens + _RATE * (now_s - self._refilled_s)
        )
        self._refilled_s = now_s
        if self._tokens < 1.0:
            self._metrics.count("gateway.suspects.unannounced")
            return False
        self._tokens -= 1.0
        return True


async def _nothing() -> None:
    pass


def _now_s() -> float:
    return asyncio.get_running_loop().time()
