"""Stand-in of the platform's store for the second review.

It speaks what the platform's page says: objects by kind and name, listings in
pages, watches, conditional writes. It is never down and loses nothing.
"""

import asyncio
from collections.abc import Callable
import json
from typing import Any

import rig_http

_PREFIX = "/berylweir/objects/"
# Items of a page at most, as the page states.
_PAGE_ITEMS = 500


class Store:
    """Objects with revisions."""

    def __init__(
        self, *, answer_s: float = 0.0, page_items: int = _PAGE_ITEMS
    ) -> None:
        """Creates an empty store.

        Args:
            answer_s: Time that each call takes, in seconds.
            page_items: Largest number of items of a page.
        """
        self._answer_s = answer_s
        self._page_items = page_items
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Condition()
        self._revision = 10
        self.on_page: Callable[[str, int], None] = lambda kind, page: None

    async def put(
        self, kind: str, name: str, spec: object, status: object = None
    ) -> None:
        """Writes an object for the operator or a server."""
        known = self._objects.get((kind, name))
        await self._save(kind, name, spec, status, known)

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object."""
        stored = self._objects.pop((kind, name))
        self._revision += 1
        await self._announce(kind, stored, is_removed=True)

    async def handle(self, request: rig_http.Request) -> rig_http.Response:
        """Answers a call."""
        await asyncio.sleep(self._answer_s)
        kind, _, name = request.path.removeprefix(_PREFIX).partition("/")
        if request.method == "GET" and name:
            stored = self._objects.get((kind, name))
            return _encode(stored) if stored else rig_http.Response(404)
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request.query)
        if request.method == "GET":
            return self._list(kind, request.query.get("after", ""))
        if request.method == "DELETE":
            return await self._delete(kind, name, request.query.get("rev"))
        return await self._write(request, kind, name)

    def _list(self, kind: str, after: str) -> rig_http.Response:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        page = names[: self._page_items]
        answer = _encode(
            {
                "items": [self._objects[kind, n] for n in page],
                "more": len(names) > len(page),
                "asOf": self._revision,
            }
        )
        self.on_page(kind, len(page))
        return answer

    async def _watch(
        self, kind: str, query: dict[str, str]
    ) -> rig_http.Response:
        after = int(query["watch"])

        def find() -> list[tuple[int, str, dict[str, Any], bool]]:
            return [e for e in self._events if e[0] > after and e[1] == kind]

        try:
            async with asyncio.timeout(int(query["waitMs"]) / 1000.0):
                async with self._changed:
                    await self._changed.wait_for(lambda: bool(find()))
        except TimeoutError:
            pass
        events = [{"object": o, "removed": r} for _, _, o, r in find()]
        return _encode({"events": events, "asOf": self._revision})

    async def _write(
        self, request: rig_http.Request, kind: str, name: str
    ) -> rig_http.Response:
        body = json.loads(request.body)
        name = name or body["meta"]["name"]
        expected = body["meta"].get("rev")
        known = self._objects.get((kind, name))
        if request.method == "POST" and known is not None:
            return _encode(known, 409)
        if request.method == "PUT" and known is None:
            return rig_http.Response(404)
        if known is not None and expected not in (None, known["meta"]["rev"]):
            return _encode(known, 409)
        if known is not None and known["spec"] == body["spec"]:
            return _encode(known)
        return _encode(await self._save(kind, name, body["spec"], None, known))

    async def _delete(
        self, kind: str, name: str, expected: str | None
    ) -> rig_http.Response:
        known = self._objects.get((kind, name))
        if known is None:
            return rig_http.Response(404)
        if expected is not None and int(expected) != known["meta"]["rev"]:
            return _encode(known, 409)
        await self.remove(kind, name)
        return rig_http.Response(200)

    async def _save(
        self,
        kind: str,
        name: str,
        spec: object,
        status: object,
        known: dict[str, Any] | None,
    ) -> dict[str, Any]:
        self._revision += 1
        stored = {
            "meta": {
                "name": name,
                "rev": self._revision,
                "createRev": (
                    known["meta"]["createRev"] if known else self._revision
                ),
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self._objects[kind, name] = stored
        await self._announce(kind, stored, is_removed=False)
        return stored

    async def _announce(
        self, kind: str, stored: dict[str, Any], *, is_removed: bool
    ) -> None:
        self._events.append((self._revision, kind, stored, is_removed))
        async with self._changed:
            self._changed.notify_all()


def _encode(value: object, status: int = 200) -> rig_http.Response:
    return rig_http.Response(
        status,
        {"Content-Type": "application/json"},
        json.dumps(value).encode(),
    )
