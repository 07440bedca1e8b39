"""HTTP client of the platform's object API."""

import contextlib
from typing import TypeVar
import uuid

import httpx
import msgspec
import result

from berylweir.objects import exceptions
from berylweir.objects import messages

_VERSION_HEADER = "If-Match"
_OPERATION_HEADER = "X-Operation-Id"
_MAX_ATTEMPTS = 3

_ModelT = TypeVar("_ModelT")


def new_operation_id() -> str:
    """Returns a random id for one update."""
    return uuid.uuid4().hex


class PlatformClient:
    """Reads, watches and conditionally updates objects."""

    def __init__(self, client: httpx.AsyncClient, timeout_s: float) -> None:
        """Creates the client.

        Args:
            client: HTTP client whose base URL is that of the platform.
            timeout_s: Timeout of a call, in seconds.
        """
        self._client = client
        self._timeout_s = timeout_s

    async def get(
        self, kind: str, name: str
    ) -> result.Result[messages.StoredObject, exceptions.PlatformFailure]:
        """Reads one object.

        Returns:
            The object, `NotFound`, or `Unavailable`.
        """
        path = f"/objects/{kind}/{name}"
        response_result = await self._send_request("GET", path)
        match response_result:
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok(response) if response.status_code == 404:
                return result.Err(exceptions.NotFound(kind, name))
            case result.Ok(response):
                return _decode(response, messages.StoredObject, f"GET {path}")

    async def watch(
        self, kinds: tuple[str, ...], after_revision: int, wait_s: float
    ) -> result.Result[messages.ObjectList, exceptions.PlatformFailure]:
        """Waits for objects that change after a revision.

        Args:
            kinds: Kinds to watch.
            after_revision: Revision up to which the caller knows the objects;
                0 lists all objects.
            wait_s: Time that the platform may wait for a change before it
                responds, in seconds.

        Returns:
            The changed objects, empty if the wait ended without a change, or
            `Unavailable`.
        """
        path = "/objects"
        response_result = await self._send_request(
            "GET",
            path,
            params={
                "kinds": ",".join(kinds),
                "after": str(after_revision),
                "wait": str(wait_s),
            },
            timeout_s=wait_s + self._timeout_s,
        )
        match response_result:
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok(response):
                return _decode(response, messages.ObjectList, f"GET {path}")

    async def list_vms(
        self,
    ) -> result.Result[messages.VmList, exceptions.PlatformFailure]:
        """Reads the platform's list of VMs, which may be out of date."""
        response_result = await self._send_request("GET", "/vms")
        match response_result:
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok(response):
                return _decode(response, messages.VmList, "GET /vms")

    async def update(
        self,
        kind: str,
        name: str,
        value: bytes,
        expected_version: int,
        operation_id: str,
    ) -> result.Result[messages.StoredObject, exceptions.PlatformFailure]:
        """Writes an object if it still has the expected version.

        An update without a response is repeated. The expected version lets it
        take effect at most once, and a conflict whose stored object has this
        `operation_id` means that an earlier attempt succeeded.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            value: The object as JSON.
            expected_version: Version that the change is based on; 0 if the
                object must not exist.
            operation_id: Id of this update.

        Returns:
            The object as stored; `Conflict` if it has another version;
            `OutcomeUnknown` if no attempt got a usable response, or if an
            earlier attempt may have succeeded and been overwritten; or
            `Unavailable` if a response couldn't be decoded.
        """
        return await self._write(
            "PUT", kind, name, value, expected_version, operation_id
        )

    async def delete(
        self, kind: str, name: str, expected_version: int, operation_id: str
    ) -> result.Result[messages.StoredObject, exceptions.PlatformFailure]:
        """Deletes an object if it still has the expected version.

        Args and results are those of `update`.
        """
        return await self._write(
            "DELETE", kind, name, b"", expected_version, operation_id
        )

    async def _write(
        self,
        method: str,
        kind: str,
        name: str,
        value: bytes,
        expected_version: int,
        operation_id: str,
    ) -> result.Result[messages.StoredObject, exceptions.PlatformFailure]:
        path = f"/objects/{kind}/{name}"
        headers = {
            _VERSION_HEADER: str(expected_version),
            _OPERATION_HEADER: operation_id,
            "Content-Type": "application/json",
        }
        call = f"{method} {path}"
        for attempt in range(_MAX_ATTEMPTS):
            response_result = await self._send_request(
                method, path, headers=headers, content=value
            )
            match response_result:
                case result.Err(_):
                    continue
                case result.Ok(response) if response.status_code == 409:
                    return _resolve_conflict(
                        response,
                        call,
                        expected_version,
                        operation_id,
                        is_repeat=attempt > 0,
                    )
                case result.Ok(response):
                    return _decode(response, messages.StoredObject, call)
        return result.Err(exceptions.OutcomeUnknown(call, operation_id))

    async def _send_request(
        self,
        method: str,
        path: str,
        *,
        params: dict[str, str] | None = None,
        headers: dict[str, str] | None = None,
        content: bytes | None = None,
        timeout_s: float | None = None,
    ) -> result.Result[httpx.Response, exceptions.PlatformFailure]:
        call = f"{method} {path}"
        try:
            response = await self._client.request(
                method,
                path,
                params=params,
                headers=headers,
                content=content,
                timeout=timeout_s or self._timeout_s,
            )
        except httpx.HTTPError as error:
            return result.Err(
                exceptions.Unavailable(call, type(error).__name__)
            )
        if response.status_code >= 500 or response.status_code == 429:
            return result.Err(
                exceptions.Unavailable(call, f"status {response.status_code}")
            )
        return result.Ok(response)


def _resolve_conflict(
    response: httpx.Response,
    call: str,
    expected_version: int,
    operation_id: str,
    *,
    is_repeat: bool,
) -> result.Result[messages.StoredObject, exceptions.PlatformFailure]:
    """Decides whether an update with a conflict response took effect.

    Args:
        response: Response with status 409; its body is the current object.
        call: Method and path of the call.
        expected_version: Version that the update was based on.
        operation_id: Id of the update.
        is_repeat: Whether an earlier attempt got no usable response.
    """
    match _decode(response, messages.StoredObject, call):
        case result.Ok(stored_object) if (
            stored_object.operation_id == operation_id
        ):
            return result.Ok(stored_object)
        case result.Ok(stored_object) if (
            is_repeat and stored_object.version > expected_version + 1
        ):
            # An earlier attempt may have succeeded and been overwritten since.
            return result.Err(exceptions.OutcomeUnknown(call, operation_id))
        case result.Ok(stored_object):
            return result.Err(
                exceptions.Conflict(
                    stored_object.kind,
                    stored_object.name,
                    expected_version,
                    stored_object.version,
                )
            )
        case result.Err(failure):
            return result.Err(failure)


def _decode(
    response: httpx.Response, model: type[_ModelT], call: str
) -> result.Result[_ModelT, exceptions.PlatformFailure]:
    try:
        return result.Ok(msgspec.json.decode(response.content, type=model))
    except msgspec.MsgspecError as error:
        return result.Err(exceptions.Unavailable(call, str(error)))


async def open_client(
    stack: contextlib.AsyncExitStack, url: str, timeout_s: float
) -> PlatformClient:
    """Opens a client of the platform.

    Args:
        stack: Exit stack that closes the client's connections.
        url: Base URL of the platform.
        timeout_s: Timeout of a call, in seconds.
    """
    client = await stack.enter_async_context(httpx.AsyncClient(base_url=url))
    return PlatformClient(client, timeout_s)
