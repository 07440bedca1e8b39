"""HTTP routes of the administration API."""

from typing import Annotated
from typing import Any

import litestar
from litestar import datastructures
from litestar import exceptions as litestar_exceptions
from litestar import openapi
from litestar import params
from litestar import types
from litestar.openapi import datastructures as openapi_data
from litestar.openapi import spec
import msgspec

from berylweir.api import admin_service
from berylweir.api import exceptions
from berylweir.api import models
from berylweir.api import problems
from berylweir.api import schemas
from berylweir.objects import schemas as objects

MAX_BODY_BYTES = 1_000_000
# The archives of the change log hold this many records together.
_MAX_HISTORY_RECORDS = 4096

_Request = litestar.Request[Any, Any, datastructures.State]
_Kind = Annotated[
    str,
    params.PathParameter(
        description="Kind of the object, such as server_group"
    ),
]
_Name = Annotated[str, params.PathParameter(description="Name of the object")]
_Authorization = Annotated[
    str,
    params.HeaderParameter(
        name="Authorization", description="`Bearer` and the operator's token"
    ),
]
_Handlers = list[types.ControllerRouterHandler]


async def _change_options(
    authorization: _Authorization = "",
    if_match: Annotated[
        str,
        params.HeaderParameter(
            name="If-Match", description="ETag that the object must have"
        ),
    ] = "",
    if_none_match: Annotated[
        str,
        params.HeaderParameter(
            name="If-None-Match", description="* if the object must not exist"
        ),
    ] = "",
    change_id: Annotated[
        str,
        params.HeaderParameter(
            name=admin_service.CHANGE_ID_HEADER,
            description="Id of the change; requests with the same id "
            "are applied once",
        ),
    ] = "",
    reason: Annotated[
        str, params.QueryParameter(description="Reason, kept with the change")
    ] = "",
    force: Annotated[
        bool,
        params.QueryParameter(
            description="Skip the capacity check; needs a reason"
        ),
    ] = False,
    dry_run: Annotated[
        bool, params.QueryParameter(description="Return the plan only")
    ] = False,
) -> admin_service.ChangeOptions:
    return admin_service.ChangeOptions(
        authorization,
        if_match,
        if_none_match,
        change_id,
        reason,
        force,
        dry_run,
    )


_CHANGE_ROUTE_OPTIONS: dict[str, Any] = {
    "dependencies": {"options": _change_options},
    "responses": {
        200: openapi_data.ResponseSpec(
            schemas.ChangeAnswer,
            description="The change was applied, or planned by a dry run",
            generate_examples=False,
        ),
        409: openapi_data.ResponseSpec(
            schemas.Problem,
            description="Too few backend servers would stay in service, "
            "the object is in use, or the change id was used before",
            generate_examples=False,
            media_type=problems.MEDIA_TYPE,
        ),
        412: openapi_data.ResponseSpec(
            schemas.Problem,
            description="The object has a different version than expected",
            generate_examples=False,
            media_type=problems.MEDIA_TYPE,
        ),
        503: openapi_data.ResponseSpec(
            schemas.Problem,
            description="The platform doesn't respond, or too many changes "
            "wait",
            generate_examples=False,
            media_type=problems.MEDIA_TYPE,
        ),
    },
    "status_code": 200,
}


def _read_responses(
    model: type[msgspec.Struct],
) -> dict[int, openapi_data.ResponseSpec]:
    return {
        200: openapi_data.ResponseSpec(
            model, description="What was read", generate_examples=False
        )
    }


def create_app(service: admin_service.AdminService) -> litestar.Litestar:
    """Creates the ASGI application, which also serves /schema."""
    return litestar.Litestar(
        [
            *_read_handlers(service),
            *_object_handlers(service),
            *_operation_handlers(service),
        ],
        request_max_body_size=MAX_BODY_BYTES,
        openapi_config=openapi.OpenAPIConfig(
            title="berylweir administration API",
            version="1",
            components=spec.Components(
                security_schemes={
                    "token": spec.SecurityScheme(type="http", scheme="bearer")
                }
            ),
            security=[{"token": []}],
            use_handler_docstrings=True,
        ),
        exception_handlers={
            TimeoutError: _on_timeout,
            litestar_exceptions.HTTPException: _on_http_error,
        },
        logging_config=None,
    )


def _on_timeout(
    _request: _Request, _error: Exception
) -> admin_service.Response:
    return admin_service.problem_response(exceptions.Busy())


def _on_http_error(
    _request: _Request, error: litestar_exceptions.HTTPException
) -> admin_service.Response:
    return admin_service.json_response(
        schemas.Problem(
            "urn:berylweir:problem:bad-request",
            error.detail,
            error.status_code,
            {"faults": error.extra} if error.extra else {},
        ),
        error.status_code,
        media_type=problems.MEDIA_TYPE,
    )


def _read_handlers(service: admin_service.AdminService) -> _Handlers:
    @litestar.get("/healthz")
    async def healthz() -> dict[str, str]:
        """Returns ok while the API runs."""
        return {"status": "ok"}

    @litestar.get(
        "/v1/objects/{kind:str}", responses=_read_responses(schemas.ObjectViews)
    )
    async def list_kind(
        kind: _Kind, authorization: _Authorization = ""
    ) -> admin_service.Response:
        """Lists the objects of a kind."""
        return await service.list_kind(authorization, kind)

    @litestar.get(
        "/v1/objects/{kind:str}/{name:str}",
        responses=_read_responses(schemas.ObjectView),
    )
    async def get(
        kind: _Kind, name: _Name, authorization: _Authorization = ""
    ) -> admin_service.Response:
        """Returns one object with its version as ETag."""
        return await service.get(authorization, kind, name)

    @litestar.get(
        "/v1/in-force", responses=_read_responses(schemas.ObjectViews)
    )
    async def in_force(
        authorization: _Authorization = "",
    ) -> admin_service.Response:
        """Returns the configuration objects in force on this VM."""
        return await service.in_force(authorization)

    @litestar.get("/v1/changes")
    async def changes(
        authorization: _Authorization = "",
        kind: Annotated[str, params.QueryParameter()] = "",
        name: Annotated[str, params.QueryParameter()] = "",
        limit: Annotated[
            int, params.QueryParameter(ge=1, le=_MAX_HISTORY_RECORDS)
        ] = 100,
    ) -> admin_service.Response:
        """Returns the recorded changes, newest first."""
        return await service.history(authorization, kind, name, limit)

    @litestar.get(
        "/rollout/{kind:str}/{name:str}",
        responses=_read_responses(schemas.Rollout),
    )
    async def rollout(
        kind: _Kind, name: _Name, authorization: _Authorization = ""
    ) -> admin_service.Response:
        """Returns the version of an object in force on each entry VM."""
        return await service.rollout(authorization, kind, name)

    @litestar.get("/v1/explain")
    async def explain(
        path: Annotated[str, params.QueryParameter()],
        key: Annotated[str, params.QueryParameter()] = "",
        authorization: _Authorization = "",
    ) -> admin_service.Response:
        """Returns selector, slice, owner, token and home VM of a key."""
        return await service.explain(authorization, path, key)

    return [healthz, list_kind, get, in_force, changes, rollout, explain]


def _object_handlers(service: admin_service.AdminService) -> _Handlers:
    @litestar.put("/v1/objects/{kind:str}/{name:str}", **_CHANGE_ROUTE_OPTIONS)
    async def apply(
        request: _Request,
        kind: _Kind,
        name: _Name,
        options: admin_service.ChangeOptions,
    ) -> admin_service.Response:
        """Creates or replaces an object."""
        model = objects.CONFIG_KINDS.get(kind)
        if model is None:
            return admin_service.problem_response(exceptions.UnknownKind(kind))
        try:
            value = msgspec.json.decode(await request.body(), type=model)
        except msgspec.MsgspecError as error:
            return admin_service.problem_response(
                exceptions.Invalid(str(error))
            )
        if value.name != name:
            return admin_service.problem_response(
                exceptions.Invalid(
                    f"the object in the body is named {value.name!r}, that of "
                    f"the path {name!r}"
                )
            )
        return await service.change(models.Apply(value), options)

    @litestar.delete(
        "/v1/objects/{kind:str}/{name:str}", **_CHANGE_ROUTE_OPTIONS
    )
    async def delete(
        kind: _Kind, name: _Name, options: admin_service.ChangeOptions
    ) -> admin_service.Response:
        """Removes an object."""
        if kind not in objects.CONFIG_KINDS:
            return admin_service.problem_response(exceptions.UnknownKind(kind))
        return await service.change(models.Delete(kind, name), options)

    @litestar.patch(
        "/v1/objects/{kind:str}/{name:str}/labels", **_CHANGE_ROUTE_OPTIONS
    )
    async def labels(
        request: _Request,
        kind: _Kind,
        name: _Name,
        options: admin_service.ChangeOptions,
    ) -> admin_service.Response:
        """Sets some labels of an object and removes others."""
        model = objects.CONFIG_KINDS.get(kind)
        if model is None or "labels" not in model.__struct_fields__:
            return admin_service.problem_response(exceptions.UnknownKind(kind))
        try:
            patch = msgspec.json.decode(
                await request.body(), type=schemas.LabelsPatch
            )
        except msgspec.MsgspecError as error:
            return admin_service.problem_response(
                exceptions.Invalid(str(error))
            )
        return await service.change(
            models.ChangeLabels(kind, name, patch.set, patch.remove),
            options,
        )

    return [apply, delete, labels]


def _operation_handlers(service: admin_service.AdminService) -> _Handlers:
    @litestar.post(
        "/v1/availability_zones/{name:str}/out", **_CHANGE_ROUTE_OPTIONS
    )
    async def zone_out(
        name: _Name, options: admin_service.ChangeOptions
    ) -> admin_service.Response:
        """Takes an availability zone out of service."""
        return await service.change(models.SetZoneService(name, False), options)

    @litestar.post(
        "/v1/availability_zones/{name:str}/back", **_CHANGE_ROUTE_OPTIONS
    )
    async def zone_back(
        name: _Name, options: admin_service.ChangeOptions
    ) -> admin_service.Response:
        """Brings an availability zone back into service."""
        return await service.change(models.SetZoneService(name, True), options)

    def server_state_handler(
        path: str, state: models.ServerState, docstring: str
    ) -> types.ControllerRouterHandler:
        async def handle(
            name: _Name, options: admin_service.ChangeOptions
        ) -> admin_service.Response:
            return await service.change(
                models.SetServerState(name, state), options
            )

        handle.__doc__ = docstring
        handle.__name__ = f"server_{path}"
        return litestar.post(
            f"/v1/backend_servers/{{name:str}}/{path}", **_CHANGE_ROUTE_OPTIONS
        )(handle)

    return [
        zone_out,
        zone_back,
        server_state_handler("drain", "draining", "Drains a backend server."),
        server_state_handler(
            "back", "in_service", "Brings a backend server back into service."
        ),
        server_state_handler(
            "lost",
            "lost",
            "Declares a backend server lost: it will never execute requests "
            "that were sent to it.",
        ),
    ]
