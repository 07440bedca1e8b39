"""Serves API requests: checks them, queries the tasks, encodes responses."""

import asyncio
import dataclasses
from typing import Any
from typing import TypeVar
import uuid

from litestar import response as responses
import msgspec
import result

from berylweir.api import decisions
from berylweir.api import exceptions
from berylweir.api import messages
from berylweir.api import models
from berylweir.api import object_sources
from berylweir.api import problems
from berylweir.api import schemas
from berylweir.api.access import decisions as access
from berylweir.api.access import models as access_models
from berylweir.api.access import task as access_task
from berylweir.keeper.configuration import store
from berylweir.objects import messages as platform_messages
from berylweir.objects import schemas as config_objects
from berylweir.observability import counters
from berylweir.supervision import mailbox

CHANGE_ID_HEADER = "Berylweir-Change-Id"
PLATFORM_HEADER = "Berylweir-Platform"
_MAX_CHANGE_ID_CHARS = 128
_CHANGE_TIMEOUT_S = 30.0
_QUERY_TIMEOUT_S = 5.0

Response = responses.Response[bytes]
_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeOptions:
    """Headers and query parameters that all change requests accept.

    Attributes:
        authorization: Authorization header.
        if_match: If-Match header, with the ETag that the object must have.
        if_none_match: If-None-Match header; `*` if the object must not exist.
        change_id: Berylweir-Change-Id header; empty for a generated id.
        reason: Reason that the operator gives.
        force: Whether to skip the capacity check.
        dry_run: Whether to return the plan without applying it.
    """

    authorization: str = ""
    if_match: str = ""
    if_none_match: str = ""
    change_id: str = ""
    reason: str = ""
    force: bool = False
    dry_run: bool = False


def expected_version(
    options: ChangeOptions,
) -> result.Result[int | None, exceptions.Invalid]:
    """Returns the version that If-Match or If-None-Match demands.

    Returns:
        0 if the object must not exist, None if no version is demanded, or
        `Invalid` if If-Match isn't an ETag of this API.
    """
    if options.if_none_match.strip() == "*":
        return result.Ok(0)
    tag = options.if_match.strip()
    if tag in ("", "*"):
        return result.Ok(None)
    text = tag.removeprefix("W/").strip('"')
    if text.isascii() and text.isdigit():
        return result.Ok(int(text))
    return result.Err(
        exceptions.Invalid(
            f'If-Match is {tag!r}; it must be an ETag of this API, such as "3"'
        )
    )


def json_response(
    body: Any,
    status: int = 200,
    headers: dict[str, str] | None = None,
    media_type: str = "application/json",
) -> Response:
    """Returns a response with a JSON body."""
    return responses.Response(
        msgspec.json.encode(body),
        status_code=status,
        headers=headers,
        media_type=media_type,
    )


def problem_response(failure: exceptions.Failure) -> Response:
    """Returns the response with the problem+json body of a failure."""
    problem = problems.problem_of(failure)
    headers = {}
    match failure:
        case exceptions.Unauthenticated():
            headers["WWW-Authenticate"] = 'Bearer realm="berylweir"'
        case exceptions.PlatformDown():
            headers[PLATFORM_HEADER] = "down"
        case exceptions.VersionConflict(found=found_version):
            headers["ETag"] = f'"{found_version}"'
        case _:
            pass
    return json_response(problem, problem.status, headers, problems.MEDIA_TYPE)


class AdminService:
    """Authenticates requests and has the API's tasks answer them."""

    def __init__(
        self,
        tokens: access_task.TokensTask,
        change_inbox: mailbox.Mailbox[messages.SubmitChange],
        query_inbox: mailbox.Mailbox[messages.Query],
        metrics: counters.Counters,
    ) -> None:
        """Creates the service.

        Args:
            tokens: Task that holds the tokens in force.
            change_inbox: Mailbox of the task that applies changes.
            query_inbox: Mailbox of the task that answers queries.
            metrics: Counters of the process.
        """
        self._tokens = tokens
        self._change_inbox = change_inbox
        self._query_inbox = query_inbox
        self._metrics = metrics

    def authenticate(
        self, authorization: str
    ) -> result.Result[access_models.Principal, exceptions.Failure]:
        """Returns the operator of a request, or `Unauthenticated`."""
        principal = access.authenticate(self._tokens.tokens, authorization)
        if principal is None:
            self._metrics.count("api.unauthenticated")
            return result.Err(exceptions.Unauthenticated())
        return result.Ok(principal)

    async def change(
        self, operation: models.Operation, options: ChangeOptions
    ) -> Response:
        """Applies a change, or plans it for a dry run.

        Responds with `OutcomeUnknown` if the change takes more than
        `_CHANGE_TIMEOUT_S` seconds, and with `Busy` if too many changes wait.
        """
        principal = self.authenticate(options.authorization)
        if isinstance(principal, result.Err):
            return problem_response(principal.err_value)
        expected = expected_version(options)
        if isinstance(expected, result.Err):
            return problem_response(expected.err_value)
        change_id = options.change_id or uuid.uuid4().hex
        if len(change_id) > _MAX_CHANGE_ID_CHARS or not change_id.isprintable():
            return problem_response(
                exceptions.Invalid(
                    f"{CHANGE_ID_HEADER} must have at most "
                    f"{_MAX_CHANGE_ID_CHARS} printable characters"
                )
            )
        change = models.Change(
            change_id,
            principal.ok_value,
            operation,
            expected.ok_value,
            options.reason,
            options.force,
            options.dry_run,
        )
        reply: asyncio.Future[messages.ChangeResult] = (
            asyncio.get_running_loop().create_future()
        )
        if self._change_inbox.offer(
            messages.SubmitChange(change, reply)
        ).is_err():
            self._metrics.count("api.changes.busy")
            return problem_response(exceptions.Busy())
        try:
            async with asyncio.timeout(_CHANGE_TIMEOUT_S):
                change_result = await reply
        except TimeoutError:
            return problem_response(exceptions.OutcomeUnknown(change_id))
        match change_result:
            case result.Err(failure):
                problem = problem_response(failure)
                problem.headers[CHANGE_ID_HEADER] = change_id
                return problem
            case result.Ok(outcome):
                return _change_response(change, outcome)

    async def read_objects(self) -> schemas.Objects:
        """Returns all objects, from the platform if it responds."""
        reply: asyncio.Future[schemas.Objects] = (
            asyncio.get_running_loop().create_future()
        )
        return await self._send_query(messages.ReadObjects(reply), reply)

    async def list_kind(self, authorization: str, kind: str) -> Response:
        """Returns the objects of a kind."""
        principal = self.authenticate(authorization)
        if isinstance(principal, result.Err):
            return problem_response(principal.err_value)
        if kind not in store.WATCHED_KINDS:
            return problem_response(exceptions.UnknownKind(kind))
        listing = await self.read_objects()
        items = tuple(
            _object_view(o)
            for o in listing.items
            if o.kind == kind and not o.deleted
        )
        if not listing.heard:
            return problem_response(exceptions.PlatformDown(kind, "", 0))
        return json_response(
            schemas.ObjectViews(
                listing.source,
                listing.vm,
                tuple(sorted(items, key=lambda v: v.name)),
            ),
            headers=_platform_header(listing),
        )

    async def get(self, authorization: str, kind: str, name: str) -> Response:
        """Returns one object, with its version as ETag."""
        principal = self.authenticate(authorization)
        if isinstance(principal, result.Err):
            return problem_response(principal.err_value)
        if kind not in store.WATCHED_KINDS:
            return problem_response(exceptions.UnknownKind(kind))
        listing = await self.read_objects()
        if not listing.heard:
            return problem_response(exceptions.PlatformDown(kind, name, 0))
        for stored in listing.items:
            if (stored.kind, stored.name) == (kind, name) and (
                not stored.deleted
            ):
                return json_response(
                    _object_view(stored),
                    headers={
                        "ETag": f'"{stored.version}"',
                        **_platform_header(listing),
                    },
                )
        return problem_response(exceptions.NoSuchObject(kind, name))

    async def in_force(self, authorization: str) -> Response:
        """Returns the configuration objects in force on this VM."""
        principal = self.authenticate(authorization)
        if isinstance(principal, result.Err):
            return problem_response(principal.err_value)
        reply: asyncio.Future[schemas.Objects] = (
            asyncio.get_running_loop().create_future()
        )
        listing = await self._send_query(messages.ReadInForce(reply), reply)
        return json_response(
            schemas.ObjectViews(
                listing.source,
                listing.vm,
                tuple(
                    _object_view(o)
                    for o in listing.items
                    if o.kind in config_objects.CONFIG_KINDS and not o.deleted
                ),
            )
        )

    async def history(
        self, authorization: str, kind: str, name: str, limit: int
    ) -> Response:
        """Returns recorded changes, newest first.

        Args:
            authorization: Authorization header.
            kind: Kind of the changed objects, or empty for all kinds.
            name: Name of the changed objects, or empty for all names.
            limit: Largest number of changes to return.
        """
        principal = self.authenticate(authorization)
        if isinstance(principal, result.Err):
            return problem_response(principal.err_value)
        reply: asyncio.Future[messages.HistoryResult] = (
            asyncio.get_running_loop().create_future()
        )
        match await self._send_query(messages.ReadHistory(reply), reply):
            case result.Err(failure):
                return problem_response(failure)
            case result.Ok(records):
                matching_records = [
                    r
                    for r in records
                    if kind in ("", r.kind) and name in ("", r.name)
                ]
                return json_response({"items": matching_records[:limit]})

    async def rollout(
        self, authorization: str, kind: str, name: str
    ) -> Response:
        """Returns the version of an object in force on each entry VM."""
        principal = self.authenticate(authorization)
        if isinstance(principal, result.Err):
            return problem_response(principal.err_value)
        if kind not in store.WATCHED_KINDS:
            return problem_response(exceptions.UnknownKind(kind))
        reply: asyncio.Future[schemas.Rollout] = (
            asyncio.get_running_loop().create_future()
        )
        return json_response(
            await self._send_query(
                messages.ReadRollout(kind, name, reply), reply
            )
        )

    async def explain(
        self, authorization: str, path: str, key: str
    ) -> Response:
        """Returns how this VM routes a request with a path and a key."""
        principal = self.authenticate(authorization)
        if isinstance(principal, result.Err):
            return problem_response(principal.err_value)
        reply: asyncio.Future[schemas.Objects] = (
            asyncio.get_running_loop().create_future()
        )
        listing = await self._send_query(messages.ReadInForce(reply), reply)
        match decisions.explain(
            object_sources.snapshot_of(listing.items), path, key
        ):
            case result.Err(failure):
                return problem_response(failure)
            case result.Ok(explanation):
                return json_response({"vm": listing.vm, **explanation})

    async def _send_query(
        self, query: messages.Query, reply: asyncio.Future[_T]
    ) -> _T:
        # Each waiting query has an open connection, so the number of
        # connections bounds the number of queries in the mailbox.
        self._query_inbox.post(query)
        async with asyncio.timeout(_QUERY_TIMEOUT_S):
            return await reply


def _platform_header(listing: schemas.Objects) -> dict[str, str]:
    return {PLATFORM_HEADER: "up" if listing.source == "platform" else "down"}


def _object_view(stored: platform_messages.StoredObject) -> schemas.ObjectView:
    return schemas.ObjectView(
        stored.kind,
        stored.name,
        stored.version,
        stored.operation_id,
        stored.value,
    )


def _change_response(
    change: models.Change, outcome: models.Outcome
) -> Response:
    kind, name = decisions.key_of(change.operation)
    match outcome:
        case models.Planned(plan=dry_run_plan):
            plan: models.ChangePlan | None = dry_run_plan
            version, repeated = dry_run_plan.based_on, False
        case models.Applied(plan=plan, version=version, repeated=repeated):
            pass
    applied = not change.dry_run
    body = schemas.ChangeAnswer(
        change.id,
        kind,
        name,
        version,
        applied,
        change.dry_run,
        repeated=repeated,
    )
    if plan is not None:
        body = msgspec.structs.replace(
            body,
            unchanged=plan.unchanged,
            value=plan.value,
            moves=tuple(
                schemas.Moves(
                    m.group, m.partition, m.source, m.target, m.slices
                )
                for m in plan.moves
            ),
            slices_moving=sum(len(m.slices) for m in plan.moves),
            capacity=tuple(
                schemas.CapacityChange(
                    c.group, c.partition, c.before, c.after, c.required
                )
                for c in plan.capacity
            ),
        )
    headers = {CHANGE_ID_HEADER: change.id, "ETag": f'"{version}"'}
    return json_response(body, headers=headers)
