"""Stand-in of the platform's object API that keeps objects in memory."""

import asyncio
import dataclasses
from typing import Annotated
from typing import Any

import litestar
from litestar import datastructures
from litestar import params
from litestar import response as responses
from litestar import types
import msgspec

from berylweir.objects import messages
from berylweir.standin import faults

MAX_VALUE_BYTES = 1_000_000

_Request = litestar.Request[Any, Any, datastructures.State]
_VersionHeader = Annotated[int, params.HeaderParameter(name="If-Match")]
_OperationHeader = Annotated[str, params.HeaderParameter(name="X-Operation-Id")]
_KindPath = Annotated[str, params.PathParameter()]
_NamePath = Annotated[str, params.PathParameter()]
_RouteHandlers = list[types.ControllerRouterHandler]


@dataclasses.dataclass(slots=True)
class CallCounts:
    """Number of calls served, by type, and of calls refused."""

    reads: int = 0
    watches: int = 0
    writes: int = 0
    refused: int = 0


class PlatformState:
    """Objects, faults and call counts of one stand-in.

    Attributes:
        faults: Faults that are active.
        calls: Number of calls so far.
        vms: Response to `/vms`.
    """

    def __init__(self) -> None:
        """Creates an empty platform."""
        self._objects: dict[tuple[str, str], messages.StoredObject] = {}
        self._revision = 0
        self._changed = asyncio.Event()
        self.faults = faults.PlatformFaults()
        self.calls = CallCounts()
        self.vms = messages.VmList()

    @property
    def revision(self) -> int:
        """Number of accepted writes, which orders all versions."""
        return self._revision

    def get(self, kind: str, name: str) -> messages.StoredObject | None:
        """Returns an object, or None if it doesn't exist."""
        stored = self._objects.get((kind, name))
        return None if stored is None or stored.deleted else stored

    def changed_after(
        self, kinds: frozenset[str], revision: int
    ) -> messages.ObjectList:
        """Returns the objects of `kinds` that changed after `revision`.

        They include deleted objects and are sorted by revision.
        """
        items = sorted(
            (
                o
                for o in self._objects.values()
                if o.kind in kinds and o.revision > revision
            ),
            key=lambda o: o.revision,
        )
        return messages.ObjectList(self._revision, tuple(items))

    async def wait_changed(
        self, kinds: frozenset[str], revision: int, wait_s: float
    ) -> messages.ObjectList:
        """Waits until an object of `kinds` has changed after `revision`.

        Returns the changes, or an empty list after `wait_s` seconds or once
        the platform is down.
        """
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            changes = self.changed_after(kinds, revision)
            remaining = deadline - asyncio.get_running_loop().time()
            if changes.items or remaining <= 0 or self.faults.down:
                return changes
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                continue

    def write(
        self,
        kind: str,
        name: str,
        value: bytes,
        expected_version: int,
        operation_id: str,
        *,
        deleted: bool = False,
    ) -> tuple[bool, messages.StoredObject]:
        """Writes an object if it has the expected version.

        Expected version 0 creates an object that is missing or deleted.

        Returns:
            Whether the write was accepted, and the current object.
        """
        current = self._objects.get((kind, name))
        version = 0 if current is None else current.version
        matches = version == expected_version or (
            expected_version == 0 and current is not None and current.deleted
        )
        if not matches:
            current_object = current or messages.StoredObject(kind, name, 0, 0)
            return False, current_object
        self._revision += 1
        stored = messages.StoredObject(
            kind,
            name,
            version + 1,
            self._revision,
            operation_id,
            deleted,
            msgspec.Raw(value or b"null"),
        )
        self._objects[(kind, name)] = stored
        self.wake_watches()
        return True, stored

    def wake_watches(self) -> None:
        """Makes all waiting watches check the objects and faults again."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


def _json_response(
    body: object, status: int = 200
) -> responses.Response[bytes]:
    return responses.Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type="application/json",
    )


def _unavailable_response(state: PlatformState) -> responses.Response[bytes]:
    state.calls.refused += 1
    return _json_response({"error": "unavailable"}, 503)


async def _delay_and_check_available(state: PlatformState) -> bool:
    """Waits for the delay fault; returns False if the platform is down."""
    if state.faults.delay_s:
        await asyncio.sleep(state.faults.delay_s)
    return not state.faults.down


def create_app(state: PlatformState) -> litestar.Litestar:
    """Creates the ASGI application that serves `state`."""
    return litestar.Litestar(
        [
            *_read_handlers(state),
            *_write_handlers(state),
            *_control_handlers(state),
        ],
        request_max_body_size=MAX_VALUE_BYTES,
        openapi_config=None,
        logging_config=None,
    )


def _read_handlers(state: PlatformState) -> _RouteHandlers:
    @litestar.get("/objects")
    async def watch(
        kinds: str, after: int = 0, wait: float = 0.0
    ) -> responses.Response[bytes]:
        if not await _delay_and_check_available(state):
            return _unavailable_response(state)
        state.calls.watches += 1
        changes = await state.wait_changed(
            frozenset(kinds.split(",")), after, wait
        )
        if state.faults.down:
            return _unavailable_response(state)
        return _json_response(changes)

    @litestar.get("/objects/{kind:str}/{name:str}")
    async def read(
        kind: _KindPath, name: _NamePath
    ) -> responses.Response[bytes]:
        if not await _delay_and_check_available(state):
            return _unavailable_response(state)
        state.calls.reads += 1
        current = state.get(kind, name)
        if current is None:
            return _json_response({"error": "not found"}, 404)
        return _json_response(current)

    @litestar.get("/vms")
    async def vms() -> responses.Response[bytes]:
        if not await _delay_and_check_available(state):
            return _unavailable_response(state)
        state.calls.reads += 1
        return _json_response(state.vms)

    return [watch, read, vms]


def _write_handlers(state: PlatformState) -> _RouteHandlers:
    async def write(
        request: _Request, kind: str, name: str, version: int, operation_id: str
    ) -> responses.Response[bytes]:
        if not await _delay_and_check_available(state):
            return _unavailable_response(state)
        state.calls.writes += 1
        accepted, stored = state.write(
            kind,
            name,
            await request.body(),
            version,
            operation_id,
            deleted=request.method == "DELETE",
        )
        if accepted and state.faults.lose_answers:
            state.faults.lose_answers -= 1
            return _json_response({"error": "answer lost"}, 504)
        return _json_response(stored, 200 if accepted else 409)

    @litestar.put("/objects/{kind:str}/{name:str}")
    async def put(
        request: _Request,
        kind: _KindPath,
        name: _NamePath,
        version: _VersionHeader,
        operation_id: _OperationHeader,
    ) -> responses.Response[bytes]:
        return await write(request, kind, name, version, operation_id)

    @litestar.delete("/objects/{kind:str}/{name:str}", status_code=200)
    async def remove(
        request: _Request,
        kind: _KindPath,
        name: _NamePath,
        version: _VersionHeader,
        operation_id: _OperationHeader,
    ) -> responses.Response[bytes]:
        return await write(request, kind, name, version, operation_id)

    return [put, remove]


def _control_handlers(state: PlatformState) -> _RouteHandlers:
    @litestar.put("/_faults")
    async def set_faults(request: _Request) -> responses.Response[bytes]:
        state.faults = msgspec.json.decode(
            await request.body(), type=faults.PlatformFaults
        )
        state.wake_watches()
        return _json_response(state.faults)

    @litestar.get("/_calls")
    async def calls() -> responses.Response[bytes]:
        return _json_response(dataclasses.asdict(state.calls))

    return [set_faults, calls]
