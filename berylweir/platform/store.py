"""Client of the platform's object store, over one HTTP connection."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import dataclasses
from typing import Annotated
from typing import TypeVar
import urllib.parse

import msgspec
import result

from berylweir.gateway import revisions
from berylweir.platform import exceptions
from berylweir.platform import nesting
from berylweir.platform import settings
from berylweir.platform import store_generation
from berylweir.router.backends import connection as http
from berylweir.router.backends import exceptions as http_exceptions

# Timeout of a call, in seconds. The store usually responds in about 4 ms, and
# has taken up to 60 times as long.
CALL_TIMEOUT_S = 1.5
# Long-poll duration of a watch, in milliseconds. The store allows at most
# 30,000.
WATCH_WAIT_MS = 25_000
# Longest response, in bytes. Pages have about 1 MB, and so has an object.
_MAX_BODY_BYTES = 16 * 2**20
_PATH_PREFIX = "/berylweir/objects"
_GENERATION_HEADER = b"store-era"
# Highest generation that is taken from a response. It rises by one with each
# restoration.
_MAX_GENERATION = 1_000_000
_T = TypeVar("_T")


class _Meta(msgspec.Struct):
    name: str
    rev: Annotated[int, msgspec.Meta(ge=0, le=revisions.MAX_NUMBER)]


class StoredObject(msgspec.Struct):
    """Object in the store, with its contents left as JSON.

    Attributes:
        meta: Name of the object and the revision of its last change.
        spec: Contents as JSON.
        status: Reported state as JSON.
    """

    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b"null")
    status: msgspec.Raw = msgspec.Raw(b"null")

    @property
    def name(self) -> str:
        """Name of the object."""
        return self.meta.name

    @property
    def revision(self) -> int:
        """Revision, with the store's generation, of its last change."""
        return self.meta.rev


class _Page(msgspec.Struct, rename="camel"):
    items: list[msgspec.Raw]
    as_of: int
    more: bool = False


class _Event(msgspec.Struct):
    object: msgspec.Raw
    removed: bool = False


class _Events(msgspec.Struct, rename="camel"):
    events: list[msgspec.Raw]
    as_of: int


class Listing(msgspec.Struct):
    """All objects of a kind.

    Attributes:
        objects: Objects that could be decoded.
        revision: Store revision up to which the listing is complete.
        undecodable: Number of objects skipped because they couldn't be
            decoded.
        undecodable_names: Names of those whose names could be decoded.
    """

    objects: list[StoredObject]
    revision: int
    undecodable: int
    undecodable_names: list[str]


class ObjectChange(msgspec.Struct):
    """Write or removal of an object.

    Attributes:
        object: The written or removed object.
        is_removed: Whether the object was removed.
    """

    object: StoredObject
    is_removed: bool


class ObjectChanges(msgspec.Struct):
    """Changes of a kind since a revision.

    Attributes:
        changes: Changes in the order in which they were made.
        revision: Store revision up to which the changes are complete.
        undecodable: Number of changes skipped because they couldn't be
            decoded.
        undecodable_names: Names of their objects, as far as they could be
            decoded.
    """

    changes: list[ObjectChange]
    revision: int
    undecodable: int
    undecodable_names: list[str]


_OBJECT_DECODER = msgspec.json.Decoder(StoredObject)
_PAGE_DECODER = msgspec.json.Decoder(_Page)
_EVENT_DECODER = msgspec.json.Decoder(_Event)
_EVENTS_DECODER = msgspec.json.Decoder(_Events)
# Number of arrays and objects around the items of a page and around events.
_ITEM_DEPTH = 2
# Members that lead to the name of an object, and of the object of an event.
_OBJECT_NAME_PATH = (b"meta", b"name")
_EVENT_NAME_PATH = (b"object", *_OBJECT_NAME_PATH)


@dataclasses.dataclass(frozen=True, slots=True)
class _Response:
    """A successful response of the store.

    Attributes:
        body: The body.
        generation: Generation of the store that it states; 0 if it doesn't.
    """

    body: bytes
    generation: int


class StoreClient:
    """Client of the object store; not for concurrent calls.

    Opens its connection with the first call and reopens it after a failure.
    Revisions in its arguments and results include the store's generation.
    """

    def __init__(
        self,
        address: settings.StoreAddress,
        generation: store_generation.StoreGeneration | None = None,
    ) -> None:
        """Creates a client without opening a connection.

        Args:
            address: Address of the store, read for each call.
            generation: Generation of the store that all clients of the process
                share; None for a client of its own.
        """
        self._address = address
        self._generation = generation or store_generation.StoreGeneration()
        self._generation.subscribe(self._on_store_restored)
        self._connection: http.Connection | None = None
        self._is_watching = False

    @property
    def generation(self) -> int:
        """Generation of the store, as far as it is known."""
        return self._generation.current

    def close(self) -> None:
        """Closes the connection; a call in progress fails."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Has a function called after each restoration of the store."""
        self._generation.subscribe(listener)

    def _on_store_restored(self) -> None:
        if self._is_watching:
            # The watch waits for revisions that the store gives out again.
            self.close()

    async def list_all(
        self, kind: str
    ) -> result.Result[Listing, exceptions.StoreFailure]:
        """Lists all objects of a kind, page by page.

        Args:
            kind: Kind of the objects.

        Returns:
            All objects, or the failure of the first page that can't be read.
        """
        objects: list[StoredObject] = []
        undecodable = 0
        undecodable_names: list[str] = []
        last_name = ""
        query = ""
        while True:
            path = f"{_PATH_PREFIX}/{kind}{query}"
            match await self._send_request("GET", path):
                case result.Err(failure):
                    return result.Err(failure)
                case result.Ok(response):
                    pass
            try:
                page = _decode_items(
                    _PAGE_DECODER, response.body, _OBJECT_NAME_PATH
                )
            except msgspec.MsgspecError as error:
                return result.Err(exceptions.Undecodable(kind, str(error)))
            known_name = last_name
            for raw in page.items:
                stored_object = _decode_object(raw, response.generation)
                if stored_object is not None:
                    objects.append(stored_object)
                    last_name = stored_object.name
                    continue
                undecodable += 1
                name = _find_name(raw, _OBJECT_NAME_PATH)
                if name is not None:
                    undecodable_names.append(name)
                    last_name = name
            if not page.more or not page.items:
                revision = revisions.compose(response.generation, page.as_of)
                return result.Ok(
                    Listing(objects, revision, undecodable, undecodable_names)
                )
            if last_name == known_name:
                # The next page is asked for by the name of the last object.
                return result.Err(
                    exceptions.Undecodable(kind, "a page without names")
                )
            after = urllib.parse.quote(last_name, safe="")
            query = f"?after={after}"

    async def watch(
        self,
        kind: str,
        revision: int,
        *,
        wait_ms: int = WATCH_WAIT_MS,
        response_timeout_s: float = CALL_TIMEOUT_S,
    ) -> result.Result[ObjectChanges, exceptions.StoreFailure]:
        """Waits for changes of a kind after a revision.

        Args:
            kind: Kind of the objects.
            revision: Store revision up to which the caller knows the objects.
            wait_ms: Time that the store may wait for a change, in
                milliseconds.
            response_timeout_s: Time for the response after that wait, in
                seconds.

        Returns:
            The changes, empty if the wait ended without one; or
            `HistoryExpired` if the objects must be listed again.
        """
        generation = revisions.generation(revision)
        if generation < self._generation.current:
            return result.Err(exceptions.HistoryExpired(kind, revision))
        number = revisions.number(revision)
        path = f"{_PATH_PREFIX}/{kind}?watch={number}&waitMs={wait_ms}"
        timeout_s = wait_ms / 1000.0 + response_timeout_s
        self._is_watching = True
        try:
            response = await self._send_request(
                "GET", path, timeout_s=timeout_s
            )
        finally:
            self._is_watching = False
        match response:
            case result.Err(exceptions.Rejected(_, 410)):
                return result.Err(exceptions.HistoryExpired(kind, revision))
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok(received):
                pass
        if received.generation != generation:
            # The store was restored, and the revision is another one there.
            return result.Err(exceptions.HistoryExpired(kind, revision))
        try:
            events = _decode_items(
                _EVENTS_DECODER, received.body, _EVENT_NAME_PATH
            )
        except msgspec.MsgspecError as error:
            return result.Err(exceptions.Undecodable(kind, str(error)))
        changes: list[ObjectChange] = []
        undecodable = 0
        undecodable_names: list[str] = []
        for raw in events.events:
            change = _decode_change(raw, generation)
            if change is not None:
                changes.append(change)
                continue
            undecodable += 1
            name = _find_name(raw, _EVENT_NAME_PATH)
            if name is not None:
                undecodable_names.append(name)
        return result.Ok(
            ObjectChanges(
                changes,
                revisions.compose(generation, events.as_of),
                undecodable,
                undecodable_names,
            )
        )

    async def get(
        self, kind: str, name: str
    ) -> result.Result[StoredObject, exceptions.StoreFailure]:
        """Reads one object with a linearizable read."""
        return self._decode_object_response(
            name, await self._send_request("GET", _object_path(kind, name))
        )

    async def create(
        self, kind: str, name: str, spec: bytes
    ) -> result.Result[StoredObject, exceptions.StoreFailure]:
        """Creates an object.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            spec: Contents as JSON.

        Returns:
            The created object, `Conflict` if it already exists, or another
            failure.
        """
        body = b'{"meta":{"name":%s},"spec":%s}' % (
            msgspec.json.encode(name),
            spec,
        )
        response = await self._send_request(
            "POST", f"{_PATH_PREFIX}/{kind}", body
        )
        return self._decode_object_response(name, response)

    async def replace(
        self, kind: str, name: str, spec: bytes, revision: int
    ) -> result.Result[StoredObject, exceptions.StoreFailure]:
        """Replaces an object that hasn't changed since `revision`.

        Returns:
            The replaced object, `Conflict` if it has changed or the store was
            restored, or another failure.
        """
        if revisions.generation(revision) < self._generation.current:
            return await self._report_conflict(kind, name)
        body = b'{"meta":{"name":%s,"rev":%d},"spec":%s}' % (
            msgspec.json.encode(name),
            revisions.number(revision),
            spec,
        )
        response = await self._send_request(
            "PUT", _object_path(kind, name), body
        )
        return self._decode_object_response(name, response)

    async def delete(
        self, kind: str, name: str, revision: int
    ) -> result.Result[None, exceptions.StoreFailure]:
        """Deletes an object that hasn't changed since `revision`.

        Returns:
            `Conflict` if it has changed or the store was restored, or another
            failure.
        """
        if revisions.generation(revision) < self._generation.current:
            conflict = await self._report_conflict(kind, name)
            return conflict.map(lambda _: None)
        number = revisions.number(revision)
        path = f"{_object_path(kind, name)}?rev={number}"
        match await self._send_request("DELETE", path):
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok(_):
                return result.Ok(None)

    async def _report_conflict(
        self, kind: str, name: str
    ) -> result.Result[StoredObject, exceptions.StoreFailure]:
        """Returns a conflict with the object as the restored store has it.

        Its revision may have been given to another state of the object, so the
        condition of a write would mean nothing.
        """
        match await self._send_request("GET", _object_path(kind, name)):
            case result.Err(exceptions.Rejected(_, 404)):
                return result.Err(exceptions.Missing(name))
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok(response):
                return result.Err(
                    exceptions.Conflict(
                        name, response.body, response.generation
                    )
                )

    def _decode_object_response(
        self,
        name: str,
        response: result.Result[_Response, exceptions.StoreFailure],
    ) -> result.Result[StoredObject, exceptions.StoreFailure]:
        match response:
            case result.Err(exceptions.Rejected(_, 404)):
                return result.Err(exceptions.Missing(name))
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok(received):
                stored = _decode_object(
                    msgspec.Raw(received.body), received.generation
                )
                if stored is None:
                    return result.Err(
                        exceptions.Undecodable(name, "not a stored object")
                    )
                return result.Ok(stored)

    async def _send_request(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> result.Result[_Response, exceptions.StoreFailure]:
        call = f"{method} {path.partition('?')[0]}"
        host, port = self._address.current
        head = f"{method} {path} HTTP/1.1\r\nhost: {host}:{port}\r\n"
        if body:
            head += "content-type: application/json\r\n"
        if body or method != "GET":
            head += f"content-length: {len(body)}\r\n"
        message = head.encode() + b"\r\n" + body
        is_complete = False
        try:
            async with asyncio.timeout(timeout_s):
                connection = await self._ensure_connected(host, port)
                connection.begin(message, is_head_request=False)
                response = await connection.read_head()
                response_body = await connection.read_whole(_MAX_BODY_BYTES)
            is_complete = True
        except (OSError, TimeoutError, http_exceptions.ExchangeError) as error:
            return result.Err(exceptions.Unreachable(call, repr(error)))
        finally:
            # After an incomplete response, the next bytes on the connection
            # would be mistaken for the response to the next request.
            if not is_complete or not connection.is_reusable:
                self.close()
        generation = _decode_generation(response.headers)
        self._generation.record(generation)
        if response.status == 409:
            name = path.partition("?")[0].rpartition("/")[2]
            return result.Err(
                exceptions.Conflict(name, response_body, generation)
            )
        if not 200 <= response.status < 300:
            return result.Err(exceptions.Rejected(call, response.status))
        return result.Ok(_Response(response_body, generation))

    async def _ensure_connected(self, host: str, port: int) -> http.Connection:
        if self._connection is None or self._connection.is_closed:
            try:
                self._connection = await http.connect(
                    host, port, CALL_TIMEOUT_S, reset_on_close=True
                )
            except (OSError, TimeoutError):
                self._address.reload()
                raise
            self._connection.enable_keepalive()
        return self._connection


def decode_conflict(
    failure: exceptions.Conflict,
) -> StoredObject | None:
    """Decodes the current object from the response to a conflicting write.

    Returns:
        The object as the store has it, or None if it can't be decoded.
    """
    return _decode_object(msgspec.Raw(failure.body), failure.generation)


def _decode_items(
    decoder: msgspec.json.Decoder[_T], body: bytes, name_path: Sequence[bytes]
) -> _T:
    """Decodes a response, with names for items that can't be decoded."""
    try:
        return decoder.decode(body)
    except nesting.DECODE_ERRORS:
        return decoder.decode(
            nesting.drop_undecodable_items(body, _ITEM_DEPTH, name_path)
        )


def _find_name(raw: msgspec.Raw, name_path: Sequence[bytes]) -> str | None:
    """Returns the name of an item that isn't valid, or was replaced by it."""
    with contextlib.suppress(*nesting.DECODE_ERRORS):
        return msgspec.json.decode(raw, type=str)
    return nesting.find_name(bytes(raw), name_path)


def _decode_change(raw: msgspec.Raw, generation: int) -> ObjectChange | None:
    with contextlib.suppress(*nesting.DECODE_ERRORS):
        event = _EVENT_DECODER.decode(raw)
        stored = _decode_object(event.object, generation)
        return ObjectChange(stored, event.removed) if stored else None
    return None


def _decode_object(raw: msgspec.Raw, generation: int) -> StoredObject | None:
    with contextlib.suppress(*nesting.DECODE_ERRORS):
        stored = _OBJECT_DECODER.decode(raw)
        stored.meta.rev = revisions.compose(generation, stored.meta.rev)
        return stored
    return None


def _decode_generation(headers: Iterable[tuple[bytes, bytes]]) -> int:
    """Returns the generation in the headers of a response; 0 if none."""
    for name, value in headers:
        if name == _GENERATION_HEADER and value.isdigit():
            return min(int(value[:20]), _MAX_GENERATION)
    return 0


def _object_path(kind: str, name: str) -> str:
    return f"{_PATH_PREFIX}/{kind}/{urllib.parse.quote(name, safe='')}"


def build_stored_object(
    name: str, revision: int, spec: msgspec.Raw, status: msgspec.Raw
) -> StoredObject:
    """Builds an object from fields that another gateway has read.

    Args:
        name: Name of the object.
        revision: Store revision at which it last changed.
        spec: Contents as JSON.
        status: Reported state as JSON.
    """
    return StoredObject(_Meta(name, revision), spec, status)
