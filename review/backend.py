"""Stand-in of a backend server, as the users' pages describe it."""

import asyncio
import contextlib
import dataclasses
import hashlib
import time

import msgspec
import record


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request or command that has arrived completely.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Headers with names in lower case.
        body: The body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(slots=True)
class _Hold:
    token: int
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that the server has begun.

    Attributes:
        request_id: Its id.
        key: Its key, if it has one.
        started_s: When it began, on the monotonic clock, in seconds.
    """

    request_id: str
    key: int | None
    started_s: float


class Backend:
    """A server that echoes `Request-Id` in each response.

    Attributes:
        name: Its id.
        port: Its TCP port, once it listens.
        born_ms: Unix time of its start, in ms.
        runs: Requests that it has begun.
        state: What its entry in the store says.
    """

    def __init__(
        self,
        name: str,
        group: str,
        log: record.Record,
        *,
        is_keyed: bool = False,
        slots: int = 6,
        service_s: float = 0.05,
        body_bytes: int = 400,
        zone: str = "a",
    ) -> None:
        """Creates a server that doesn't listen yet.

        Args:
            name: Its id.
            group: Its service.
            log: Record of the run.
            is_keyed: Whether it runs only requests whose key it holds.
            slots: Requests that it runs at a time.
            service_s: Time that a request takes, in seconds.
            body_bytes: Length of its responses.
            zone: Its availability zone.
        """
        self.name = name
        self.port = 0
        self.born_ms = int(time.time() * 1000)
        self.runs: list[Run] = []
        self.state = "ready"
        self._group = group
        self._log = log
        self._is_keyed = is_keyed
        self._slots = slots
        self._service_s = service_s
        self._body_bytes = body_bytes
        self._zone = zone
        self._holds: dict[int, _Hold] = {}
        self._highest_tokens: dict[int, int] = {}
        self._running: dict[int | None, int] = {}
        self._ended = asyncio.Condition()
        self._tasks: set[asyncio.Task[None] | None] = set()
        self._sequence = 0

    @property
    def in_flight(self) -> int:
        """Number of requests at which it works."""
        return sum(self._running.values())

    def works_on(self, first: int, last: int) -> list[int]:
        """Returns the keys of a range at which it works."""
        return [
            key
            for key, count in self._running.items()
            if key is not None and count and first <= key <= last
        ]

    def entry(self) -> dict[str, object]:
        """Returns its entry in the store."""
        self._sequence += 1
        return {
            "addr": f"127.0.0.1:{self.port}",
            "born": self.born_ms,
            "info": {
                "backend": self._group,
                "cfgVer": "v1",
                "zone": self._zone,
                "maxConcurrency": self._slots,
            },
            "status": {
                "state": self.state,
                "seq": self._sequence,
                "warmupLeftMs": 0,
            },
        }

    async def listen(self, stack: contextlib.AsyncExitStack) -> None:
        """Serves until `stack` closes."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

        def close() -> None:
            server.close()
            for task in tuple(self._tasks):
                if task is not None:
                    task.cancel()

        stack.callback(close)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        previous = b""
        try:
            while True:
                request = await _read_request(reader)
                response_task = asyncio.create_task(self._respond(request))
                await asyncio.sleep(0)  # It begins to handle the request.
                copy = self.late_copy(request, previous)
                if copy:
                    writer.write(copy)
                    await writer.drain()
                response = await response_task
                await self.send(request, response, writer)
                previous = response
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The peer has closed the connection, or the run ends.
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def send(
        self, request: Request, response: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Sends the response to a request."""
        writer.write(response)
        await writer.drain()

    def late_copy(self, request: Request, previous: bytes) -> bytes:
        """Returns an extra response, sent where one to `request` is due.

        Args:
            request: The request that has just arrived.
            previous: Last response on the same connection; empty if none.
        """
        return b""

    async def work(self) -> None:
        """Works on a request."""
        await asyncio.sleep(self._service_s)

    def on_granted(self, first: int, last: int, token: int) -> None:
        """Called when a grant was taken."""

    async def _respond(self, request: Request) -> bytes:
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            headers = {"Instance-Id": self.name, "Not-Run": "1"}
            return _encode(request, 421, headers)
        match request.target:
            case "/healthz":
                return _encode(request, 200, {"Instance-Id": self.name})
            case "/berylweir/grant":
                return self._grant(request)
            case "/berylweir/release":
                return await self._release(request)
        return await self._run(request)

    def _grant(self, request: Request) -> bytes:
        fields = msgspec.json.decode(request.body)
        first, last, token = fields["from"], fields["to"], fields["fence"]
        keys = range(first, last + 1)
        if any(self._highest_tokens.get(key, 0) > token for key in keys):
            self._log.write("grant-refused", server=self.name, token=token)
            return _encode(request, 409, {})
        until_s = time.monotonic() + fields["holdMs"] / 1000.0
        is_new = any(
            (hold := self._holds.get(key)) is None or hold.token != token
            for key in keys
        )
        for key in keys:
            self._highest_tokens[key] = token
            self._holds[key] = _Hold(token, until_s)
        if is_new:
            self._log.write(
                "granted", server=self.name, first=first, last=last, token=token
            )
        self.on_granted(first, last, token)
        return _encode(request, 200, {})

    async def _release(self, request: Request) -> bytes:
        fields = msgspec.json.decode(request.body)
        first, last, token = fields["from"], fields["to"], fields["fence"]
        keys = range(first, last + 1)
        for key in keys:
            self._holds.pop(key, None)
            self._highest_tokens[key] = max(
                token, self._highest_tokens.get(key, 0)
            )
        self._log.write(
            "release-begun",
            server=self.name,
            first=first,
            last=last,
            token=token,
            at_work_on=self.works_on(first, last),
        )
        async with self._ended:
            await self._ended.wait_for(lambda: not self.works_on(first, last))
        self._log.write("release-answered", server=self.name, token=token)
        return _encode(request, 200, {"Handover": f"h{token}"})

    def holds(self, key: int) -> bool:
        """Returns whether it holds a key."""
        hold = self._holds.get(key)
        return hold is not None and hold.until_s > time.monotonic()

    async def _run(self, request: Request) -> bytes:
        text = request.headers.get("shard-key")
        key = int(text) if text is not None else None
        if self._is_keyed and (key is None or not self.holds(key)):
            return _encode(request, 421, {"Not-Run": "1"})
        if self.in_flight >= self._slots:
            return _encode(request, 503, {"Not-Run": "1"})
        request_id = request.headers.get("request-id", "")
        self.runs.append(Run(request_id, key, time.monotonic()))
        self._log.write("run", server=self.name, id=request_id, key=key)
        self._running[key] = self._running.get(key, 0) + 1
        try:
            await self.work()
        finally:
            self._running[key] -= 1
            async with self._ended:
                self._ended.notify_all()
        self._log.write("ran", server=self.name, id=request_id)
        body = self.body(request_id)
        return _encode(
            request,
            200,
            {
                "Response-Seal": hashlib.sha256(body).hexdigest()[:16],
                "Server-Load": f"{self.in_flight},0,{self._slots},100",
            },
            body,
        )

    def body(self, request_id: str) -> bytes:
        """Returns the body of the response to a request."""
        start = f"{self.name} {request_id} ".encode()
        return start + b"x" * max(0, self._body_bytes - len(start))


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def _encode(
    request: Request, status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    lines = [f"HTTP/1.1 {status} -"]
    if "request-id" in request.headers:
        lines.append(f"Request-Id: {request.headers['request-id']}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
