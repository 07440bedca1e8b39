"""Stand-in of a backend server for the second review."""

import asyncio
from collections.abc import Callable
import dataclasses
import time

import rig_http


@dataclasses.dataclass
class Run:
    """A request that a server has begun to run.

    Attributes:
        request_id: Its id.
        path: Its path.
        began_s: When it began, on the monotonic clock, in seconds.
        ended_s: When its answer was ready; None before.
        is_broken_off: Whether the server breaks the answer off.
    """

    request_id: str
    path: str
    began_s: float
    ended_s: float | None = None
    is_broken_off: bool = False


class Server:
    """Runs requests; its answers bear its seal and the id of the request."""

    def __init__(
        self,
        name: str,
        service: str,
        *,
        work_s: float = 0.005,
        slots: int = 16,
        body: bytes = b"ok",
        choose_break: Callable[[], int | None] = lambda: None,
    ) -> None:
        """Creates a server that doesn't listen yet.

        Args:
            name: Its id.
            service: Its service.
            work_s: Time that a request takes, in seconds.
            slots: Number of requests that it says it runs at a time.
            body: The body of each answer.
            choose_break: Returns after how many bytes of the body an answer
                is broken off; None if it isn't.
        """
        self.name = name
        self.service = service
        self.runs: list[Run] = []
        self._work_s = work_s
        self._slots = slots
        self._body = body
        self._choose_break = choose_break
        self._born_ms = int(time.time() * 1000.0)
        self.listener = rig_http.Listener(self.handle)

    def spec(self) -> dict[str, object]:
        """Returns the part of its entry that doesn't change."""
        return {
            "addr": f"{self.listener.host}:{self.listener.port}",
            "born": self._born_ms,
            "info": {
                "backend": self.service,
                "cfgVer": "v1",
                "zone": "zone-a",
                "maxConcurrency": self._slots,
            },
        }

    async def handle(self, request: rig_http.Request) -> rig_http.Response:
        """Answers a request."""
        request_id = request.headers.get("request-id", "")
        known = {"Request-Id": request_id} if request_id else {}
        if request.headers.get("expect-instance", self.name) != self.name:
            return rig_http.Response(421, {**known, "Not-Run": "1"})
        if request.path == "/healthz":
            return rig_http.Response(200, {"Instance-Id": self.name})
        run = Run(request_id, request.path, time.monotonic())
        self.runs.append(run)
        await asyncio.sleep(self._work_s)
        run.ended_s = time.monotonic()
        break_after = self._choose_break()
        run.is_broken_off = break_after is not None
        headers = {**known, "Response-Seal": f"{self.name}.{request_id}"}
        return rig_http.Response(200, headers, self._body, break_after)


def status(state: str = "ready") -> dict[str, object]:
    """Returns the part of a server's entry that changes.

    Args:
        state: `ready` or `draining`.
    """
    return {"state": state, "seq": 1, "warmupLeftMs": 0}
