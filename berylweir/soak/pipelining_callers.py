"""Callers that send requests before the earlier ones are answered."""

import asyncio
import collections
import contextlib
import dataclasses
import random
import time

from berylweir.soak import gateways
from berylweir.soak import models
from berylweir.standin.gateway_platform import caller

# Most requests that are sent at once, most such groups in a burst, and the
# longest time between two of them.
_MAX_GROUP = 4
_MAX_GROUPS = 3
_MAX_GAP_S = 0.4
# Share of bursts after which the caller waits for all answers.
_WAIT_SHARE = 0.7
# Longest pause between two bursts; pauses of the second kind may outlast an
# idle limit.
_MAX_SHORT_PAUSE_S = 0.2
_MAX_LONG_PAUSE_S = 5.0
# Shares of long pauses; each caller has one of them.
_LONG_PAUSE_SHARES = (0.1, 0.8)
# Pause before the next connection.
_RECONNECT_PAUSE_S = 0.05
_CONNECT_TIMEOUT_S = 1.0
# Time in which the event loop reads what has arrived before a caller leaves.
_READ_S = 0.01
# Bounds of the deadlines of requests, in milliseconds.
_MIN_DEADLINE_MS = 900
_MAX_DEADLINE_MS = 4000
_ROUTES = ("safe", "keyed", "slow")
# Keys are integers from 0 up to this number, exclusive.
_KEY_COUNT = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    request_id: str
    path: str
    sent_s: float
    deadline_s: float
    requests_ahead: int


@dataclasses.dataclass(slots=True)
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    instance: int
    idle_since_s: float
    # Ends the connection at the shortest deadline of its requests.
    leaving: asyncio.Timeout
    pending: collections.deque[_Pending] = dataclasses.field(
        default_factory=collections.deque
    )
    all_answered: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )


class PipeliningCaller:
    """Sends bursts of requests to one gateway.

    It leaves at the shortest deadline of its requests, as an HTTP/1.1 client
    must, and else uses a connection until the gateway closes it.
    """

    def __init__(
        self, name: str, gateway: gateways.Gateway, started_s: float, seed: str
    ) -> None:
        """Creates a caller.

        Args:
            name: Prefix of the ids of its requests.
            gateway: Gateway that it sends them to.
            started_s: Start of the soak, on the monotonic clock, in seconds.
            seed: Seed of the requests and pauses; equal seeds give equal ones.
        """
        self._name = name
        self._gateway = gateway
        self._started_s = started_s
        self._rng = random.Random(seed)
        self._long_pause_share = self._rng.choice(_LONG_PAUSE_SHARES)
        self._sent_count = 0
        self._exchanges: list[models.PipelinedExchange] = []
        self._idle_closes: list[models.IdleClose] = []

    @property
    def exchanges(self) -> list[models.PipelinedExchange]:
        """All requests of this caller that have ended, with their responses."""
        return self._exchanges

    @property
    def idle_closes(self) -> list[models.IdleClose]:
        """Connections that the gateway closed while no request was on them."""
        return self._idle_closes

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
                await asyncio.sleep(_RECONNECT_PAUSE_S)
                continue
            connection = _Connection(
                reader, writer, instance, self._now_s(), asyncio.timeout(None)
            )
            with contextlib.closing(writer):
                await self._use(connection, end_s)
            await asyncio.sleep(_RECONNECT_PAUSE_S)

    async def _use(self, connection: _Connection, end_s: float) -> None:
        end = models.RequestEnd.CLOSED_BY_GATEWAY
        sender = asyncio.create_task(self._send_bursts(connection, end_s))
        try:
            await self._receive_in_time(connection)
        except TimeoutError:
            end = models.RequestEnd.LEFT_BY_CALLER
        except (OSError, EOFError):
            if not connection.pending:
                self._idle_closes.append(
                    models.IdleClose(
                        self._gateway.vm,
                        connection.instance,
                        connection.idle_since_s,
                        self._now_s(),
                    )
                )
        finally:
            sender.cancel()
        for pending in connection.pending:
            self._record(connection, pending, end)

    async def _send_bursts(self, connection: _Connection, end_s: float) -> None:
        connection.all_answered.set()
        while self._now_s() < end_s:
            for _ in range(self._rng.randint(1, _MAX_GROUPS)):
                count = self._rng.randint(1, _MAX_GROUP)
                connection.writer.write(
                    b"".join(self._add(connection) for _ in range(count))
                )
                self._schedule_leaving(connection)
                await asyncio.sleep(self._rng.uniform(0.0, _MAX_GAP_S))
            if self._rng.random() < _WAIT_SHARE:
                await connection.all_answered.wait()
            await asyncio.sleep(self._choose_pause())
        await connection.all_answered.wait()
        connection.leaving.reschedule(asyncio.get_running_loop().time())

    def _choose_pause(self) -> float:
        if self._rng.random() < self._long_pause_share:
            return self._rng.uniform(_MAX_SHORT_PAUSE_S, _MAX_LONG_PAUSE_S)
        return self._rng.uniform(0.0, _MAX_SHORT_PAUSE_S)

    def _add(self, connection: _Connection) -> bytes:
        """Returns a request that is to be sent on a connection now."""
        route = self._rng.choice(_ROUTES)
        path = f"/{route}/{self._sent_count}"
        deadline_ms = self._rng.randint(_MIN_DEADLINE_MS, _MAX_DEADLINE_MS)
        sent_s = self._now_s()
        pending = _Pending(
            f"{self._name}-{self._sent_count}",
            path,
            sent_s,
            sent_s + deadline_ms / 1000.0,
            len(connection.pending),
        )
        self._sent_count += 1
        connection.all_answered.clear()
        connection.pending.append(pending)
        return caller.encode_request(
            path,
            pending.request_id,
            deadline_ms,
            key=self._rng.randrange(_KEY_COUNT),
        )

    async def _receive(self, connection: _Connection) -> None:
        """Reads answers until one says that the gateway closes."""
        closes_connection = False
        while not closes_connection:
            response = await caller.read_response(connection.reader)
            closes_connection = response.closes_connection
            self._gateway.record_answer(connection.instance)
            pending = connection.pending.popleft()
            self._record(
                connection, pending, models.RequestEnd.ANSWERED, response
            )
            self._schedule_leaving(connection)
            if not connection.pending:
                connection.idle_since_s = self._now_s()
                connection.all_answered.set()

    async def _receive_in_time(self, connection: _Connection) -> None:
        """Reads answers until one says that the gateway closes.

        The event loop may be late itself, so the caller stays while there are
        answers that have arrived.

        Raises:
            TimeoutError: The shortest deadline has passed.
        """
        awaited: _Pending | None = None
        while True:
            connection.leaving = asyncio.timeout(None)
            try:
                async with connection.leaving:
                    self._schedule_leaving(connection)
                    await self._receive(connection)
                return
            except TimeoutError:
                if not connection.pending or connection.pending[0] is awaited:
                    raise
                awaited = connection.pending[0]
            # The loop fills the buffer of the reader.
            await asyncio.sleep(_READ_S)

    def _schedule_leaving(self, connection: _Connection) -> None:
        if connection.leaving.expired():
            return
        leave_s = min((p.deadline_s for p in connection.pending), default=None)
        if leave_s is None:
            connection.leaving.reschedule(None)
            return
        loop_s = asyncio.get_running_loop().time()
        connection.leaving.reschedule(loop_s + leave_s - self._now_s())

    def _record(
        self,
        connection: _Connection,
        pending: _Pending,
        end: models.RequestEnd,
        response: caller.Response | None = None,
    ) -> None:
        exchange = models.Exchange(
            pending.request_id,
            pending.path,
            True,
            self._gateway.vm,
            connection.instance,
            pending.sent_s,
            self._now_s(),
            response.status if response else None,
            response.body if response else b"",
            response.seal if response else "",
        )
        self._exchanges.append(
            models.PipelinedExchange(
                exchange, pending.deadline_s, pending.requests_ahead, end
            )
        )

    def _now_s(self) -> float:
        return time.monotonic() - self._started_s
