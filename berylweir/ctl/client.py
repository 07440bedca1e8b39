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
# The API responds to a change within 30 s, with `outcome-unknown` if need be;
# the client waits longer, so that it gets that response.
_RESPONSE_TIMEOUT_S = 35.0


class ApiClient:
    """Sends reads and changes to the administration API."""

    def __init__(self, client: httpx.Client) -> None:
        """Creates a client.

        Args:
            client: HTTP client with the base URL of the API and the token.
        """
        self._client = client

    def get(
        self, path: str, params: dict[str, str] | None = None
    ) -> CallResult:
        """Sends a GET request and returns the decoded body or the failure."""
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
        """Sends a change and returns the decoded body or the failure.

        If the response is lost or the outcome unknown, the request is repeated
        with the same change id, which is safe and returns the outcome. There
        are at most `_MAX_ATTEMPTS` requests.

        Args:
            method: HTTP method.
            path: Path of the request.
            change_id: Id of the change; empty for a new one.
            params: Query parameters.
            if_match: Version that the object must have, or empty for any.
            body: Value that is sent as JSON, or None for no body.
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
                    f"{url} responded with status {response.status_code} "
                    "and no JSON object; is it the administration API?",
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
    """Opens a client of the administration API.

    Args:
        stack: Closes the connections of the client.
        url: Base URL of the API.
        token: Bearer token, or empty for none.

    Returns:
        The client, or `BadInput` if the URL or the token is invalid.
    """
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
