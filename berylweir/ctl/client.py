"""Calls to the administration API."""

import contextlib
from typing import Any
import uuid

import httpx
import msgspec
import result

from berylweir.ctl import exceptions

CallResult = result.Result[dict[str, Any], exceptions.Failure]
_MAX_ATTEMPTS = 3
_RESPONSE_TIMEOUT_S = 35.0


class ApiClient:
    """Reads objects and asks for changes."""

    def __init__(self, client: httpx.Client) -> None:
        """Creates it with a client that has base URL and token."""
        self._client = client

    def get(
        self, path: str, params: dict[str, str] | None = None
    ) -> CallResult:
        """Reads what is at a path."""
        return self._send_request("GET", path, "", params or {}, {}, None)

    def change(
        self,
        method: str,
        path: str,
        *,
        change_id: str = "",
        params: dict[str, str] | None = None,
        if_match: str = "",
        body: Any = None,
    ) -> CallResult:
        """Asks for a change.

        A lost answer is resolved by repeating the request with the same
        change id.
        """
        change_id = change_id or uuid.uuid4().hex
        headers = {"Berylweir-Change-Id": change_id}
        if if_match:
            headers["If-Match"] = f'"{if_match}"'
        call_result: CallResult = result.Err(
            exceptions.NoResponse(str(self._client.base_url), "", change_id)
        )
        for _ in range(_MAX_ATTEMPTS):
            call_result = self._send_request(
                method,
                path,
                change_id,
                params or {},
                headers,
                None if body is None else msgspec.json.encode(body),
            )
            match call_result:
                case result.Err(
                    exceptions.NoResponse()
                    | exceptions.ProblemResponse(problem_type="outcome-unknown")
                ):
                    continue
                case _:
                    return call_result
        return call_result

    def _send_request(
        self,
        method: str,
        path: str,
        change_id: str,
        params: dict[str, str],
        headers: dict[str, str],
        content: bytes | None,
    ) -> CallResult:
        url = str(self._client.base_url)
        try:
            response = self._client.request(
                method, path, params=params, headers=headers, content=content
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return result.Err(exceptions.Unreachable(url, str(error)))
        except httpx.HTTPError as error:
            reason = str(error) or type(error).__name__
            return result.Err(exceptions.NoResponse(url, reason, change_id))
        try:
            decoded_body = msgspec.json.decode(response.content)
        except msgspec.MsgspecError:
            decoded_body = None
        if not isinstance(decoded_body, dict):
            return result.Err(
                exceptions.ProblemResponse(
                    response.status_code,
                    "not-the-api",
                    f"{url} answered {response.status_code} without JSON; "
                    "is it the administration API?",
                )
            )
        if response.is_success:
            return result.Ok(decoded_body)
        return result.Err(
            exceptions.ProblemResponse(
                response.status_code,
                str(decoded_body.get("type", "")).rsplit(":", 1)[-1],
                str(
                    decoded_body.get("title", f"status {response.status_code}")
                ),
                decoded_body.get("detail") or {},
            )
        )


def open_client(
    stack: contextlib.ExitStack, url: str, token: str
) -> result.Result[ApiClient, exceptions.Failure]:
    """Opens a client whose connections `stack` closes."""
    try:
        client = httpx.Client(
            base_url=url,
            headers={"Authorization": f"Bearer {token}"} if token else {},
            timeout=httpx.Timeout(_RESPONSE_TIMEOUT_S, connect=3.0),
        )
        base_url = client.base_url
    except (httpx.InvalidURL, UnicodeEncodeError) as error:
        return result.Err(exceptions.BadInput(url, str(error)))
    if base_url.scheme not in ("http", "https") or not base_url.host:
        return result.Err(
            exceptions.BadInput(
                f"--api {url!r}",
                "it must be a URL such as http://10.0.0.1:7120",
            )
        )
    stack.enter_context(client)
    return result.Ok(ApiClient(client))
