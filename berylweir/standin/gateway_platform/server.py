"""Stand-in of a backend server behind the gateway."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import hashlib
import time

import msgspec

from berylweir.standin.gateway_platform import http

_NOT_RUN = {"Not-Run": "1"}
# Time from the start of a request that crashes the server to the crash.
_CRASH_AFTER_S = 0.04
# Part of a response that is sent again and again until the crash.
_RESPONSE_PART = 16_384 * b"x"


@dataclasses.dataclass(slots=True)
class _KeyGrant:
    token: int
    expires_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Execution:
    """A request that the server executed.

    Attributes:
        request_id: Id of the request.
        method: HTTP method.
        path: Path.
        key: Key, if the request has one.
        deadline_ms: Value of `Deadline-Ms`, in milliseconds, if there is one.
        started_s: When it started, on the server's clock, in seconds.
        header_names: Names of its headers, in lower case.
    """

    request_id: str
    method: str
    path: str
    key: int | None
    deadline_ms: float | None
    started_s: float
    header_names: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrived, executed or not.

    Attributes:
        request_id: Id of the request.
        arrived_s: When it arrived, on the server's clock, in seconds.
        limit_per_s: Limit that the server named then, if any.
        is_leaving: Whether it said then that it is leaving.
        pause_s: Time for which it asked for no requests, in seconds, if it
            rejected this one and asked so.
        has_statements: Whether its response said any of that. A response that
            another server should get the request doesn't.
        instance: Number of times that the server had started again.
    """

    request_id: str
    arrived_s: float
    limit_per_s: float | None
    is_leaving: bool
    pause_s: float | None
    has_statements: bool = True
    instance: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Completion:
    """A request whose response the server had ready.

    Attributes:
        request_id: Id of the request.
        completed_s: When it was, on the server's clock, in seconds.
    """

    request_id: str
    completed_s: float


class Server:
    """Executes requests, accepts key grants and injects faults.

    Attributes:
        name: Its instance id.
        executions: Requests that it executed, in order of their start.
        completions: Requests whose responses were ready, in their order.
        arrivals: Requests that arrived, also rejected ones, in their order.
        ownership_calls: `grant` or `release` for each such call that it
            carried out.
        next_responses: Responses, mostly faulty, that replace those to the
            next executed requests.
        service_s: Execution time of a request, in seconds.
        limit_per_s: Requests per second that it says it takes; None if it
            names no limit.
        is_leaving: Whether it says that it is shutting down.
        rejection_pause_s: Time for which it asks for no requests with each
            rejection, in seconds; None to ask for none.
        is_rejecting: Whether it rejects all requests as if it were full.
        in_flight: Number of requests that it is executing.
        crashing_paths: Paths of requests that end it soon after their start.
        crashes_in_response: Whether it ends while it sends the response to such
            a request, instead of before it.
        endless_paths: Paths of requests whose responses don't end.
        on_crash: Called to end it.
        repeats_ids: Whether its responses to commands repeat their ids, as
            those to other requests always do.
        choose_copy: Returns whether it sends a response once more, on the same
            connection when the next request has arrived.
        choose_grant_delay_s: Returns the delay of a grant in seconds, or None
            to apply it at once. A delayed grant gets no response.
    """

    def __init__(
        self,
        name: str,
        *,
        is_keyed: bool = False,
        slots: int = 3,
        service_s: float = 0.0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Creates a server that holds no keys.

        Args:
            name: Its instance id.
            is_keyed: Whether it executes only requests whose keys it holds.
            slots: Number of requests that it executes at the same time.
            service_s: Execution time of a request, in seconds.
            clock: Monotonic clock, in seconds.
        """
        self.name = name
        self.executions: list[Execution] = []
        self.completions: list[Completion] = []
        self.arrivals: list[Arrival] = []
        self.ownership_calls: list[str] = []
        self.next_responses: list[http.Response] = []
        self.service_s = service_s
        self.limit_per_s: float | None = None
        self.is_leaving = False
        self.rejection_pause_s: float | None = None
        self.is_rejecting = False
        self.in_flight = 0
        self.crashing_paths: frozenset[str] = frozenset()
        self.crashes_in_response = False
        self.endless_paths: frozenset[str] = frozenset()
        self.on_crash: Callable[[], None] = lambda: None
        self.repeats_ids = False
        self.choose_copy: Callable[[], bool] = lambda: False
        self.choose_grant_delay_s: Callable[[], float | None] = lambda: None
        self._slots = slots
        self._is_keyed = is_keyed
        self._clock = clock
        self._grants: dict[int, _KeyGrant] = {}
        self._highest_tokens: dict[int, int] = {}
        # When the last grant of each key runs out, even if it was released.
        self._hold_ends_s: dict[int, float] = {}
        self._in_flight_by_key: collections.Counter[int] = collections.Counter()
        self._request_ended = asyncio.Condition()
        self._instance = 0

    def holds(self, key: int) -> bool:
        """Returns whether it has a grant of the key that is not expired."""
        grant = self._grants.get(key)
        return grant is not None and grant.expires_at_s > self._clock()

    @property
    def keys_at_work(self) -> list[int]:
        """Keys of running requests whose grants haven't run out yet.

        A grant that was released counts as well.
        """
        now_s = self._clock()
        return [
            key
            for key in self._in_flight_by_key
            if self._hold_ends_s.get(key, 0.0) > now_s
        ]

    async def handle(self, request: http.Request) -> http.Response:
        """Serves a caller's request, a health check, a grant or a release."""
        response = await self._respond(request)
        if response.status == 0:
            return response
        request_id = request.headers.get("request-id")
        headers = response.headers
        if self.repeats_ids and request_id is not None:
            headers = {"Request-Id": request_id, **headers}
        return dataclasses.replace(
            response, headers=headers, comes_again=self.choose_copy()
        )

    async def _respond(self, request: http.Request) -> http.Response:
        expected = request.headers.get("expect-instance", self.name)
        if expected != self.name:
            return _reject(request, 421, {"Instance-Id": self.name})
        match request.path:
            case "/healthz":
                return http.Response(200, {"Instance-Id": self.name})
            case "/berylweir/grant":
                fields = msgspec.json.decode(request.body)
                delay_s = self.choose_grant_delay_s()
                if delay_s is not None:
                    # Simulates a grant that is delayed in the network. It
                    # still expires `holdMs` after the call arrived.
                    arrived_s = self._clock()
                    asyncio.get_running_loop().call_later(
                        delay_s, self._apply_grant, fields, arrived_s
                    )
                    return http.Response(0)
                return self._apply_grant(fields, self._clock())
            case "/berylweir/release":
                return await self._release(msgspec.json.decode(request.body))
        return await self._run(request)

    def _apply_grant(
        self, fields: dict[str, int], arrived_s: float
    ) -> http.Response:
        """Grants a range of keys unless a newer token was granted for one."""
        self.ownership_calls.append("grant")
        keys = range(fields["from"], fields["to"] + 1)
        if any(
            self._highest_tokens.get(key, 0) > fields["fence"] for key in keys
        ):
            return http.Response(409)
        expires_at_s = arrived_s + fields["holdMs"] / 1000.0
        for key in keys:
            self._highest_tokens[key] = fields["fence"]
            self._grants[key] = _KeyGrant(fields["fence"], expires_at_s)
            self._hold_ends_s[key] = expires_at_s
        return http.Response(200)

    async def _release(self, fields: dict[str, int]) -> http.Response:
        """Removes grants; responds once requests for their keys have ended."""
        self.ownership_calls.append("release")
        keys = range(fields["from"], fields["to"] + 1)
        for key in keys:
            self._grants.pop(key, None)
        async with self._request_ended:
            await self._request_ended.wait_for(
                lambda: not any(self._in_flight_by_key.get(key) for key in keys)
            )
        return http.Response(200, {"Handover": f"from-{self.name}"})

    async def _run(self, request: http.Request) -> http.Response:
        text = request.headers.get("shard-key")
        key = int(text) if text is not None else None
        is_misdirected = self._is_keyed and (key is None or not self.holds(key))
        is_full = not is_misdirected and (
            self.is_rejecting or self.in_flight >= self._slots
        )
        self.arrivals.append(
            Arrival(
                request.headers.get("request-id", ""),
                self._clock(),
                self.limit_per_s,
                self.is_leaving,
                self.rejection_pause_s if is_full else None,
                has_statements=not is_misdirected,
                instance=self._instance,
            )
        )
        if is_misdirected:
            return _reject(request, 421)
        if is_full:
            return _reject(request, 503, self._statements(is_rejection=True))
        request_id = request.headers.get("request-id", "")
        deadline = request.headers.get("deadline-ms")
        self.executions.append(
            Execution(
                request_id,
                request.method,
                request.path,
                key,
                float(deadline) if deadline is not None else None,
                self._clock(),
                frozenset(request.headers),
            )
        )
        self.in_flight += 1
        if key is not None:
            self._in_flight_by_key[key] += 1
        try:
            if request.path in self.crashing_paths:
                if self.crashes_in_response:
                    return self._begin_crash(request_id, request.path)
                await asyncio.sleep(_CRASH_AFTER_S)
                self.on_crash()
            await asyncio.sleep(self.service_s)
        finally:
            self.in_flight -= 1
            if key is not None:
                self._in_flight_by_key[key] -= 1
                if not self._in_flight_by_key[key]:
                    del self._in_flight_by_key[key]
            async with self._request_ended:
                self._request_ended.notify_all()
        if self.next_responses:
            return self.next_responses.pop(0)
        self.completions.append(Completion(request_id, self._clock()))
        response = self.build_response(request_id, request.path)
        if request.path not in self.endless_paths:
            return response
        return dataclasses.replace(
            response, body=_RESPONSE_PART, repeats_body=True
        )

    def _begin_crash(self, request_id: str, path: str) -> http.Response:
        """Returns a response that doesn't end before the server does."""
        asyncio.get_running_loop().call_later(_CRASH_AFTER_S, self.on_crash)
        response = self.build_response(request_id, path)
        return dataclasses.replace(
            response, body=_RESPONSE_PART, repeats_body=True
        )

    def restart(self) -> None:
        """Ends the statements and forgets all keys, as a new start does."""
        self._instance += 1
        self.limit_per_s = None
        self.is_leaving = False
        self._grants.clear()
        self._hold_ends_s.clear()
        self._highest_tokens.clear()

    def _statements(self, *, is_rejection: bool) -> dict[str, str]:
        """Returns the headers in which it says something of itself."""
        headers = {}
        if self.limit_per_s is not None:
            headers["Server-Limit"] = f"{self.limit_per_s:g}"
        if self.is_leaving:
            headers["Server-Leaving"] = "1"
        if is_rejection and self.rejection_pause_s is not None:
            headers["Retry-After"] = f"{self.rejection_pause_s:g}"
        return headers

    def matches_response(
        self, request_id: str, path: str, body: bytes, seal: str
    ) -> bool:
        """Returns whether a response is complete and its own."""
        expected = self.build_response(request_id, path)
        return (
            body == expected.body and seal == expected.headers["Response-Seal"]
        )

    def build_response(self, request_id: str, path: str) -> http.Response:
        """Returns the response to a request, with its `Response-Seal`."""
        body = f"{self.name} {path}".encode()
        seal = hashlib.sha256(request_id.encode() + body).hexdigest()[:16]
        headers = {
            "Request-Id": request_id,
            "Response-Seal": seal,
            "Server-Load": f"{self.in_flight},0,{self._slots},100",
            **self._statements(is_rejection=False),
        }
        return http.Response(200, headers, body)


def _reject(
    request: http.Request, status: int, headers: dict[str, str] | None = None
) -> http.Response:
    """Returns a response that states that a request wasn't executed."""
    stated = {**_NOT_RUN, **(headers or {})}
    if "request-id" in request.headers:
        stated["Request-Id"] = request.headers["request-id"]
    return http.Response(status, stated)


def server_spec(
    server: str,
    group: str,
    port: int,
    *,
    zone: str = "a",
    born_ms: int = 1,
    state: str = "ready",
    cold_ms: float = 0.0,
    slots: int = 3,
) -> dict[str, object]:
    """Returns the spec of a server's object in the store."""
    return {
        "addr": f"127.0.0.1:{port}",
        "born": born_ms,
        "info": {
            "backend": group,
            "cfgVer": "v1",
            "zone": zone,
            "maxConcurrency": slots,
        },
        "status": {"state": state, "seq": 1, "warmupLeftMs": cold_ms},
    }


def route_spec(
    name: str,
    group: str,
    *,
    kind: str = "safe",
    attempts: int = 2,
    timeout_ms: int = 2000,
    goal_ms: int = 400,
    split: list[dict[str, object]] | None = None,
) -> dict[str, object]:
    """Returns the spec of a route whose path prefix is `/<name>/`."""
    spec: dict[str, object] = {
        "name": name,
        "pathPrefix": f"/{name}/",
        "type": kind,
        "timeoutMs": timeout_ms,
        "goalMs": goal_ms,
        "prio": 1,
        "attempts": attempts,
    }
    if split:
        return spec | {"split": split}
    return spec | {"backend": group}


def configuration_spec(
    groups: dict[str, bool],
    routes: list[dict[str, object]],
    version: int = 1,
    *,
    idle_timeout_ms: int = 15_000,
    max_body_bytes: int = 1_000_000,
) -> dict[str, object]:
    """Returns the spec of a configuration object.

    Args:
        groups: For each group, whether its requests are routed by key.
        routes: Routes of the host `site.example`.
        version: Version number of the configuration.
        idle_timeout_ms: Time for which an idle connection is kept, in ms.
        max_body_bytes: Longest request body, in bytes.
    """
    return {
        "cfgVer": f"{version:08x}",
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 100,
                "warmupS": 3.0,
                "warmupPerS": 8.0,
                "sharded": is_keyed,
            }
            for name, is_keyed in groups.items()
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": max_body_bytes,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": idle_timeout_ms,
        },
        "vhosts": [{"host": "site.example", "paths": routes}],
    }
