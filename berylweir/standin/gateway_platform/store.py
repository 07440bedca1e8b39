"""Stand-in of the platform's object store."""

import asyncio
import bisect
import dataclasses
import enum
from typing import Any

import msgspec

from berylweir.standin.gateway_platform import http

_PREFIX = "/berylweir/objects/"
_PAGE = 3  # items of a listing; small, so that tests meet several pages


class Fault(enum.Enum):
    """What the store does to a call in place of serving it."""

    REFUSE = "refuse"
    LIMIT = "limit"
    RESET = "reset"
    SILENT = "silent"
    LOSE_ANSWER = "lose_answer"
    APPLY_LATE = "apply_late"


@dataclasses.dataclass(slots=True)
class _Event:
    revision: int
    kind: str
    object: dict[str, Any]
    removed: bool


class Store:
    """Objects with revisions, conditional writes and watches."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[_Event] = []
        self._history_from = 0
        self._changed = asyncio.Condition()
        self._late: list[http.Request] = []
        self.revision = 1
        self.calls: list[str] = []
        self.faults: list[Fault] = []
        self.fault: Fault | None = None

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns an object, if it exists."""
        return self._objects.get((kind, name))

    async def put(
        self, kind: str, name: str, spec: object, status: object = None
    ) -> None:
        """Writes an object unconditionally, as the platform would."""
        known = self._objects.get((kind, name))
        self.revision += 1
        created = known["meta"]["createRev"] if known else self.revision
        await self._store(kind, name, created, spec, status)

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object, as the platform would."""
        found = self._objects.pop((kind, name))
        self.revision += 1
        await self._note(_Event(self.revision, kind, found, True))

    async def forget_history(self) -> None:
        """Drops all events, and cuts the waiting watches."""
        self._history_from = self.revision
        self._events.clear()
        async with self._changed:
            self._changed.notify_all()

    async def apply_late_writes(self) -> None:
        """Carries out the writes that were held back."""
        while self._late:
            await self._write(self._late.pop(0))

    async def handle(self, request: http.Request) -> http.Response:
        """Serves a call."""
        self.calls.append(f"{request.method} {request.path}")
        fault = self.faults.pop(0) if self.faults else self.fault
        match fault:
            case Fault.REFUSE:
                return http.Response(503)
            case Fault.LIMIT:
                return http.Response(429)
            case Fault.RESET:
                return http.Response(0)
            case Fault.SILENT:
                await asyncio.sleep(3600)
            case Fault.APPLY_LATE:
                if request.method != "GET":
                    self._late.append(request)
                return http.Response(0)
            case Fault.LOSE_ANSWER:
                await self._serve(request)
                return http.Response(0)
            case None:
                pass
        return await self._serve(request)

    async def _serve(self, request: http.Request) -> http.Response:
        if request.method != "GET":
            return await self._write(request)
        kind, _, name = request.path.removeprefix(_PREFIX).partition("/")
        if name:
            found = self._objects.get((kind, name))
            return _json(found) if found else http.Response(404)
        if "watch" in request.query:
            return await self._watch(kind, request.query)
        after = request.query.get("after", "")
        names = sorted(n for k, n in self._objects if k == kind)
        page = names[bisect.bisect_right(names, after) :]
        return _json(
            {
                "items": [self._objects[(kind, n)] for n in page[:_PAGE]],
                "more": len(page) > _PAGE,
                "asOf": self.revision,
            }
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> http.Response:
        since = int(query["watch"])
        if since < self._history_from:
            return http.Response(410)

        def news() -> list[_Event]:
            return [
                e for e in self._events if e.kind == kind and e.revision > since
            ]

        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: bool(news()) or since < self._history_from
                    )
        except TimeoutError:
            pass
        if since < self._history_from:
            return http.Response(0)
        events = [{"object": e.object, "removed": e.removed} for e in news()]
        return _json({"events": events, "asOf": self.revision})

    async def _write(self, request: http.Request) -> http.Response:
        kind, _, name = request.path.removeprefix(_PREFIX).partition("/")
        if request.method == "DELETE":
            return await self._delete(kind, name, request.query.get("rev"))
        body = msgspec.json.decode(request.body)
        expected = body["meta"].get("rev")
        name = name or body["meta"]["name"]
        known = self._objects.get((kind, name))
        if request.method == "POST" and known is not None:
            return _json(known, 409)
        if request.method == "PUT" and known is None:
            return http.Response(404)
        if known is not None:
            if expected is not None and expected != known["meta"]["rev"]:
                return _json(known, 409)
            if known["spec"] == body["spec"]:
                return _json(known)
        self.revision += 1
        created = known["meta"]["createRev"] if known else self.revision
        return _json(await self._store(kind, name, created, body["spec"], None))

    async def _delete(
        self, kind: str, name: str, expected: str | None
    ) -> http.Response:
        known = self._objects.get((kind, name))
        if known is None:
            return http.Response(404)
        if expected is not None and int(expected) != known["meta"]["rev"]:
            return _json(known, 409)
        await self.remove(kind, name)
        return http.Response(200)

    async def _store(
        self, kind: str, name: str, created: int, spec: object, status: object
    ) -> dict[str, Any]:
        found = {
            "meta": {
                "name": name,
                "rev": self.revision,
                "createRev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self._objects[(kind, name)] = found
        await self._note(_Event(self.revision, kind, found, False))
        return found

    async def _note(self, event: _Event) -> None:
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()


def _json(value: object, status: int = 200) -> http.Response:
    return http.Response(
        status,
        {"content-type": "application/json"},
        msgspec.json.encode(value),
    )
