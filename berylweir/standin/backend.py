"""Stand-in of a backend server that accepts grants and injects faults."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import MutableMapping
import dataclasses
import os
import time
from typing import Any

import msgspec

from berylweir.backendapi import headers
from berylweir.backendapi import schemas
from berylweir.standin import faults

_Message = MutableMapping[str, Any]
_Receive = Callable[[], Awaitable[_Message]]
_Send = Callable[[_Message], Awaitable[None]]
_CHUNK_BYTES = 65_536


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """A request that the server executed, recorded for history checks.

    Attributes:
        server: Name of the server.
        instance: Id of the run of the server.
        key: Key of the request, or empty.
        slice: Slice number that the router sent with it, or -1.
        token: Fencing token that the router sent with it, or -1.
        request_id: Idempotency key, or empty.
        started_s: Start on the monotonic clock, in seconds.
        ended_s: End on the monotonic clock, in seconds.
    """

    server: str
    instance: str
    key: str
    slice: int
    token: int
    request_id: str
    started_s: float
    ended_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class BackendConfig:
    """Behaviour of the stand-in without faults.

    Attributes:
        name: Name of the server.
        slots: Number of requests that it executes at the same time.
        queue: Number of requests accepted beyond the slots; further ones are
            refused as overloaded.
        service_s: Execution time of a request, in seconds.
        cold_s: Time after a start during which it is cold, in seconds.
        cold_slots: Number of slots while it is cold.
        checks_grants: Whether it refuses requests for slices without a valid
            grant.
    """

    name: str
    slots: int = 3
    queue: int = 0
    service_s: float = 0.001
    cold_s: float = 0.0
    cold_slots: int = 1
    checks_grants: bool = True


class BackendState:
    """Grants, load and faults of one backend server.

    Attributes:
        config: Behaviour without faults.
        faults: Faults that are active.
        executions: Requests that were executed, in order of their end.
        max_in_flight: Highest number of requests in flight so far.
        crashes: Number of crashes by `crash_path` so far.
        draining: Value of `draining` in the reported status.
    """

    def __init__(
        self,
        config: BackendConfig,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a server that has just started and has no grants."""
        self.config = config
        self.faults = faults.BackendFaults()
        self.executions: list[Execution] = []
        self.max_in_flight = 0
        self.crashes = 0
        self.draining = False
        self._clock = clock
        self._thawed = asyncio.Event()
        self._thawed.set()
        self.restart()

    @property
    def instance(self) -> str:
        """Id of this run of the server."""
        return self._instance

    @property
    def in_flight(self) -> int:
        """Number of accepted requests that have not ended."""
        return self._in_flight_count

    def set_faults(self, new_faults: faults.BackendFaults) -> None:
        """Replaces all faults; without `frozen`, waiting requests continue."""
        self.faults = new_faults
        if new_faults.frozen:
            self._thawed.clear()
        else:
            self._thawed.set()

    async def wait_thawed(self) -> None:
        """Waits while the server is frozen."""
        await self._thawed.wait()

    def restart(self) -> None:
        """Discards all grants and starts cold under a new instance id."""
        self._instance = os.urandom(8).hex()
        self._started_s = self._clock()
        self._highest_tokens: dict[int, int] = {}
        self._granted_tokens: dict[int, int] = {}
        self._expires_at_s = -1.0
        self._in_flight_count = 0

    def current_slots(self) -> int:
        """Returns the number of slots, which is lower while it is cold."""
        if self._clock() - self._started_s < self.config.cold_s:
            return self.config.cold_slots
        return self.config.slots

    def grant(self, request: schemas.GrantRequest) -> schemas.ServerStatus:
        """Replaces the grants by those of the request.

        A request for another instance changes nothing. A grant or revocation
        whose fencing token is lower than the highest one received for its
        slice is refused; the returned status lists these slices.
        """
        refused_slices = []
        if request.instance == self._instance:
            granted_tokens = {}
            for slice_grant in (*request.slices, *request.revoked):
                if slice_grant.token < self._highest_tokens.get(
                    slice_grant.slice, 0
                ):
                    refused_slices.append(slice_grant.slice)
                    continue
                self._highest_tokens[slice_grant.slice] = slice_grant.token
            for slice_grant in request.slices:
                if slice_grant.slice not in refused_slices:
                    granted_tokens[slice_grant.slice] = slice_grant.token
            self._granted_tokens = granted_tokens
            self._expires_at_s = request.expires_at_s
        return self.status(tuple(refused_slices))

    def status(
        self, refused_slices: tuple[int, ...] = ()
    ) -> schemas.ServerStatus:
        """Returns the response to a grant request or a probe."""
        return schemas.ServerStatus(
            self._instance,
            self._clock(),
            self._in_flight_count,
            self.draining,
            refused_slices,
        )

    def holds_grant(self, slice_index: int, token: int) -> bool:
        """Returns whether a valid grant has this slice and this token."""
        return (
            self._clock() < self._expires_at_s
            and self._granted_tokens.get(slice_index) == token
        )

    def owned_slices(self) -> frozenset[int]:
        """Returns the slices with a valid grant."""
        if self._clock() >= self._expires_at_s:
            return frozenset()
        return frozenset(self._granted_tokens)

    def begin_request(self) -> None:
        """Counts a request as in flight."""
        self._in_flight_count += 1
        self.max_in_flight = max(self.max_in_flight, self._in_flight_count)

    def end_request(self) -> None:
        """Counts a request as ended."""
        self._in_flight_count = max(0, self._in_flight_count - 1)


class ServerCrashError(Exception):
    """Ends a response as a crash of the server would."""


class BackendApp:
    """ASGI application of the stand-in.

    Paths that start with `/_` are for control: grants, faults and status.
    """

    def __init__(
        self,
        state: BackendState,
        on_crash: Callable[[], None] | None = None,
    ) -> None:
        """Creates the application.

        Args:
            state: State of the server.
            on_crash: Called when a request crashes the server, to close its
                connections.
        """
        self._state = state
        self._on_crash = on_crash

    async def __call__(
        self, scope: _Message, receive: _Receive, send: _Send
    ) -> None:
        """Serves one request.

        Raises:
            ServerCrashError: If a fault crashes the server or closes the
                connection.
        """
        if scope["type"] != "http":
            return
        await self._state.wait_thawed()
        path: str = scope["path"]
        if path.startswith("/_"):
            await self._serve_control_call(path, receive, send)
            return
        request_headers = dict(scope["headers"])
        refusal = self._find_refusal(request_headers)
        if refusal is not None:
            await _send_json(
                send, 503, {"error": refusal}, {headers.OUTCOME: b"not-run"}
            )
            return
        if self._state.faults.crash_path and (
            self._state.faults.crash_path in path
        ):
            self._crash()
        await self._run_request(scope, request_headers, receive, send)

    def _find_refusal(self, request_headers: dict[bytes, bytes]) -> str | None:
        state = self._state
        if state.faults.shed:
            return "overloaded"
        if state.config.checks_grants and headers.SLICE in request_headers:
            slice_index = int(request_headers[headers.SLICE])
            if not state.holds_grant(
                slice_index, int(request_headers[headers.TOKEN])
            ):
                return "no grant for this slice and token"
        if state.in_flight >= state.current_slots() + state.config.queue:
            return "overloaded"
        return None

    def _crash(self) -> None:
        self._state.crashes += 1
        self._state.restart()
        if self._on_crash is not None:
            self._on_crash()
        raise ServerCrashError

    async def _run_request(
        self,
        scope: _Message,
        request_headers: dict[bytes, bytes],
        receive: _Receive,
        send: _Send,
    ) -> None:
        state = self._state
        state.begin_request()
        started_s = time.monotonic()
        instance = state.instance
        try:
            body_size = await _receive_body_size(receive)
            if state.config.service_s:
                await asyncio.sleep(
                    state.config.service_s * state.faults.slow_factor
                )
            execution = Execution(
                state.config.name,
                instance,
                request_headers.get(headers.KEY, b"").decode("latin-1"),
                int(request_headers.get(headers.SLICE, b"-1")),
                int(request_headers.get(headers.TOKEN, b"-1")),
                request_headers.get(headers.IDEMPOTENCY_KEY, b"").decode(
                    "latin-1"
                ),
                started_s,
                time.monotonic(),
            )
            state.executions.append(execution)
            await self._respond(scope, execution, body_size, send)
        finally:
            if state.instance == instance:
                state.end_request()

    async def _respond(
        self,
        scope: _Message,
        execution: Execution,
        body_size: int,
        send: _Send,
    ) -> None:
        query: bytes = scope["query_string"]
        if query.startswith(b"bytes="):
            await self._send_download(int(query[len(b"bytes=") :]), send)
            return
        await _send_json(
            send,
            200,
            {
                "server": execution.server,
                "key": execution.key,
                "request_id": execution.request_id,
                "received_bytes": body_size,
            },
            {headers.SERVER: execution.server.encode()},
        )

    async def _send_download(self, size: int, send: _Send) -> None:
        await send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": [(b"content-length", str(size).encode())],
            }
        )
        cut_after_bytes = self._state.faults.cut_after_bytes
        sent = 0
        while sent < size:
            if cut_after_bytes and sent >= cut_after_bytes:
                raise ServerCrashError
            chunk = min(_CHUNK_BYTES, size - sent)
            sent += chunk
            await send(
                {
                    "type": "http.response.body",
                    "body": bytes(chunk),
                    "more_body": sent < size,
                }
            )

    async def _serve_control_call(
        self, path: str, receive: _Receive, send: _Send
    ) -> None:
        if path == "/_grants":
            request = msgspec.json.decode(
                await _receive_body(receive), type=schemas.GrantRequest
            )
            await _send_json(send, 200, self._state.grant(request))
        elif path == "/_faults":
            self._state.set_faults(
                msgspec.json.decode(
                    await _receive_body(receive), type=faults.BackendFaults
                )
            )
            await _send_json(send, 200, self._state.faults)
        else:
            await _send_json(send, 200, self._state.status())


async def _receive_body(receive: _Receive) -> bytes:
    chunks = []
    while True:
        message = await receive()
        chunks.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(chunks)


async def _receive_body_size(receive: _Receive) -> int:
    body_size = 0
    while True:
        message = await receive()
        body_size += len(message.get("body", b""))
        if not message.get("more_body"):
            return body_size


async def _send_json(
    send: _Send,
    status: int,
    body: object,
    extra_headers: dict[bytes, bytes] | None = None,
) -> None:
    content = msgspec.json.encode(body)
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(content)).encode()),
                *(extra_headers or {}).items(),
            ],
        }
    )
    await send({"type": "http.response.body", "body": content})
