"""Stand-in of the object store that the gateway uses."""

import asyncio
import bisect
import dataclasses
import enum
from typing import Any

import msgspec

from berylweir.standin.gateway_platform import http

_PREFIX = "/berylweir/objects/"
_PAGE_ITEMS = 3  # Small, so that tests need several pages for a listing.


class Fault(enum.Enum):
    """Faults of a call to the store.

    REFUSE and LIMIT respond with status 503 and 429. RESET closes the
    connection, SILENT never responds. LOSE_ANSWER applies the call and then
    closes the connection; APPLY_LATE closes it and applies a write only in
    `Store.apply_late_writes`.
    """

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


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of a store.

    Attributes:
        revision: Revision up to which it is complete.
        objects: All objects by kind and name.
    """

    revision: int
    objects: dict[tuple[str, str], dict[str, Any]]


class Store:
    """Objects with revisions, conditional writes and watches.

    Attributes:
        revision: Revision of the last change.
        generation: Number that rises with each restoration, in all responses.
        calls: Method and path of each call.
        next_faults: Faults of the next calls, one for each.
        default_fault: Fault of each call once `next_faults` is empty.
        faults_by_call: Fault of the next call with a method and path; comes
            before the others.
    """

    def __init__(self) -> None:
        """Creates an empty store."""
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[_Event] = []
        self._compacted_revision = 0
        self._changed = asyncio.Condition()
        self._delayed_writes: list[http.Request] = []
        self.revision = 1
        self.generation = 0
        self.calls: list[str] = []
        self.next_faults: list[Fault] = []
        self.default_fault: Fault | None = None
        self.faults_by_call: dict[str, Fault] = {}

    def get(self, kind: str, name: str) -> dict[str, Any] | None:
        """Returns an object, if it exists."""
        return self._objects.get((kind, name))

    async def put(
        self, kind: str, name: str, spec: object, status: object = None
    ) -> None:
        """Writes an object, whatever its current revision."""
        current = self._objects.get((kind, name))
        self.revision += 1
        created_revision = (
            current["meta"]["createRev"] if current else self.revision
        )
        await self._save(kind, name, created_revision, spec, status)

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object that exists."""
        stored = self._objects.pop((kind, name))
        self.revision += 1
        await self._append_event(_Event(self.revision, kind, stored, True))

    async def compact_history(self) -> None:
        """Discards all events and closes the waiting watches.

        A later watch from an older revision gets status 410.
        """
        self._compacted_revision = self.revision
        self._events.clear()
        async with self._changed:
            self._changed.notify_all()

    def copy(self) -> "StoreCopy":
        """Returns a copy of all objects, to be restored later."""
        return StoreCopy(self.revision, dict(self._objects))

    async def restore(self, copy: "StoreCopy") -> None:
        """Returns to a copy; what was written since is lost.

        Waiting watches are cut off.
        """
        self._objects = dict(copy.objects)
        self.revision = copy.revision
        self._events = [e for e in self._events if e.revision <= self.revision]
        self.generation += 1
        async with self._changed:
            self._changed.notify_all()

    async def apply_late_writes(self) -> None:
        """Applies the writes that `Fault.APPLY_LATE` delayed, in order."""
        while self._delayed_writes:
            await self._write(self._delayed_writes.pop(0))

    async def handle(self, request: http.Request) -> http.Response:
        """Serves a call, or applies the fault that is set for it."""
        call = f"{request.method} {request.path}"
        self.calls.append(call)
        match self._take_fault(call):
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
                    self._delayed_writes.append(request)
                return http.Response(0)
            case Fault.LOSE_ANSWER:
                await self._serve(request)
                return http.Response(0)
            case None:
                pass
        response = await self._serve(request)
        if response.status == 0:
            return response
        return dataclasses.replace(
            response,
            headers={**response.headers, "Store-Era": str(self.generation)},
        )

    def _take_fault(self, call: str) -> Fault | None:
        if call in self.faults_by_call:
            return self.faults_by_call.pop(call)
        if self.next_faults:
            return self.next_faults.pop(0)
        return self.default_fault

    async def _serve(self, request: http.Request) -> http.Response:
        if request.method != "GET":
            return await self._write(request)
        kind, _, name = request.path.removeprefix(_PREFIX).partition("/")
        if name:
            stored = self._objects.get((kind, name))
            return _json_response(stored) if stored else http.Response(404)
        if "watch" in request.query:
            return await self._watch(kind, request.query)
        after = request.query.get("after", "")
        names = sorted(n for k, n in self._objects if k == kind)
        remaining = names[bisect.bisect_right(names, after) :]
        return _json_response(
            {
                "items": [
                    self._objects[(kind, n)] for n in remaining[:_PAGE_ITEMS]
                ],
                "more": len(remaining) > _PAGE_ITEMS,
                "asOf": self.revision,
            }
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> http.Response:
        after = int(query["watch"])
        if after < self._compacted_revision or after > self.revision:
            return http.Response(410)
        generation = self.generation

        def new_events() -> list[_Event]:
            return [
                e for e in self._events if e.kind == kind and e.revision > after
            ]

        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000):
                async with self._changed:
                    await self._changed.wait_for(
                        lambda: (
                            bool(new_events())
                            or after < self._compacted_revision
                            or self.generation != generation
                        )
                    )
        except TimeoutError:
            pass
        if after < self._compacted_revision or self.generation != generation:
            return http.Response(0)
        events = [
            {"object": e.object, "removed": e.removed} for e in new_events()
        ]
        return _json_response({"events": events, "asOf": self.revision})

    async def _write(self, request: http.Request) -> http.Response:
        kind, _, name = request.path.removeprefix(_PREFIX).partition("/")
        if request.method == "DELETE":
            return await self._delete(kind, name, request.query.get("rev"))
        body = msgspec.json.decode(request.body)
        expected = body["meta"].get("rev")
        name = name or body["meta"]["name"]
        current = self._objects.get((kind, name))
        if request.method == "POST" and current is not None:
            return _json_response(current, 409)
        if request.method == "PUT" and current is None:
            return http.Response(404)
        if current is not None:
            if expected is not None and expected != current["meta"]["rev"]:
                return _json_response(current, 409)
            if current["spec"] == body["spec"]:
                return _json_response(current)
        self.revision += 1
        created_revision = (
            current["meta"]["createRev"] if current else self.revision
        )
        return _json_response(
            await self._save(kind, name, created_revision, body["spec"], None)
        )

    async def _delete(
        self, kind: str, name: str, expected: str | None
    ) -> http.Response:
        current = self._objects.get((kind, name))
        if current is None:
            return http.Response(404)
        if expected is not None and int(expected) != current["meta"]["rev"]:
            return _json_response(current, 409)
        await self.remove(kind, name)
        return http.Response(200)

    async def _save(
        self,
        kind: str,
        name: str,
        created_revision: int,
        spec: object,
        status: object,
    ) -> dict[str, Any]:
        stored = {
            "meta": {
                "name": name,
                "rev": self.revision,
                "createRev": created_revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self._objects[(kind, name)] = stored
        await self._append_event(_Event(self.revision, kind, stored, False))
        return stored

    async def _append_event(self, event: _Event) -> None:
        self._events.append(event)
        async with self._changed:
            self._changed.notify_all()


def _json_response(value: object, status: int = 200) -> http.Response:
    return http.Response(
        status,
        {"content-type": "application/json"},
        msgspec.json.encode(value),
    )
