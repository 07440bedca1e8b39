"""The `berylweirctl` program."""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import functools
import os
import pathlib
import sys
import time
from typing import Any
from typing import TypeVar
import urllib.parse

import defopt
import result
import rich.console
import rich.live

from berylweir import conf
from berylweir.ctl import builds
from berylweir.ctl import client as api_client
from berylweir.ctl import decisions
from berylweir.ctl import exceptions
from berylweir.ctl import output
from berylweir.ctl import quarantine
from berylweir.ctl import schemas

_POLL_INTERVAL_S = 0.25
_DEFAULT_API = "http://127.0.0.1:7120"
_DESCRIPTION = """Changes and shows the configuration of berylweir.

The base URL of the API is that of --api or else of BERYLWEIR_API. The bearer
token is the content of the file of --token-file or else the value of
BERYLWEIR_TOKEN.

Commands of the groups: zone out, zone back, zone status, server drain, server
back, server lost, rollout watch, quarantine list, quarantine lift. Each command
has its own --help. Those of quarantine, and builds, need no API: they use the
platform's store, whose address is that of --store.

Exit codes: 0 success; 1 failure; 2 invalid option or file; 3 conflict with
another change; 4 refused, because too little capacity would be left or the
object is in use; 5 not permitted; 6 API or platform not reachable, nothing was
changed; 7 outcome unknown, repeat with the change id that is printed; 8 diff
found differences; 9 rollout not complete in time; 10 no such object.
"""

_T = TypeVar("_T")


class _CommandError(Exception):
    """Ends a command with a failure."""

    def __init__(self, failure: exceptions.Failure) -> None:
        super().__init__(exceptions.message(failure))
        self.failure = failure


def _unwrap(call_result: result.Result[_T, exceptions.Failure]) -> _T:
    match call_result:
        case result.Ok(value):
            return value
        case result.Err(failure):
            raise _CommandError(failure)


def _open_client(
    stack: contextlib.ExitStack, api: str, token_file: str
) -> api_client.ApiClient:
    url = api or os.environ.get("BERYLWEIR_API", _DEFAULT_API)
    token = os.environ.get("BERYLWEIR_TOKEN", "")
    if token_file:
        token = _read_text(pathlib.Path(token_file))
    return _unwrap(api_client.open_client(stack, url, token.strip()))


def _quote_path_segment(part: str) -> str:
    return urllib.parse.quote(part, safe="")


def _read_text(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        raise _CommandError(exceptions.BadInput(str(path), reason)) from error


def _load_manifest(path: pathlib.Path) -> schemas.Manifest:
    return _unwrap(
        decisions.parse_manifest(
            _read_text(path), toml=path.suffix == ".toml", source=str(path)
        )
    )


def _change_rows(responses: Iterable[dict[str, Any]]) -> list[dict[str, Any]]:
    rows = []
    for response in responses:
        outcome = "applied"
        if response["unchanged"]:
            outcome = "unchanged"
        elif response["dry_run"]:
            outcome = "would apply"
        elif response["repeated"]:
            outcome = "applied before"
        rows.append(
            {
                "kind": response["kind"],
                "name": response["name"],
                "outcome": outcome,
                "version": response["version"],
                "slices_moving": response["slices_moving"],
                "in_service": "; ".join(
                    f"{c['group']}: {c['before']} to {c['after']}, "
                    f"needs {c['required']}"
                    for c in response["capacity"]
                ),
                "change_id": response["change_id"],
            }
        )
    return rows


def apply(
    *,
    file: pathlib.Path,
    dry_run: bool = False,
    force: bool = False,
    reason: str = "",
    json: bool = False,
    api: str = "",
    token_file: str = "",
) -> int:
    """Creates or updates the objects of a file.

    Objects that are already as in the file aren't written again. The command
    stops at the first failure; the objects before it stay applied.

    Args:
        file: TOML or JSON file with a list of objects for each kind.
        dry_run: Show the plan without applying it.
        force: Skip the capacity check; needs a reason.
        reason: Reason, kept with the change.
        json: Print JSON instead of a table.
        api: Base URL of the administration API, such as http://10.0.0.1:7120.
        token_file: File with the bearer token.
    """
    manifest = _load_manifest(file)
    params = _change_params(dry_run, force, reason)
    responses: list[dict[str, Any]] = []
    with contextlib.ExitStack() as stack:
        client = _open_client(stack, api, token_file)
        try:
            for value in manifest.objects():
                responses.append(
                    _unwrap(
                        client.change(
                            "PUT",
                            f"/v1/objects/{value.KIND}/{value.name}",
                            params=params,
                            body=value,
                        )
                    )
                )
        finally:
            if responses:
                output.show(_change_rows(responses), responses, as_json=json)
    return exceptions.ExitCode.OK


def _change_params(dry_run: bool, force: bool, reason: str) -> dict[str, str]:
    params = {"reason": reason} if reason else {}
    if dry_run:
        params["dry_run"] = "true"
    if force:
        params["force"] = "true"
    return params


def get(
    kind: str,
    name: str = "",
    *,
    json: bool = False,
    api: str = "",
    token_file: str = "",
) -> int:
    """Shows the objects of a kind, or one object.

    Args:
        kind: server_group, backend_server, availability_zone, vm, selector or
            partition.
        name: Name of one object; all objects of the kind if omitted.
        json: Print JSON instead of a table.
        api: Base URL of the administration API, such as http://10.0.0.1:7120.
        token_file: File with the bearer token.
    """
    with contextlib.ExitStack() as stack:
        client = _open_client(stack, api, token_file)
        path = f"/v1/objects/{_quote_path_segment(kind)}"
        if name:
            path += f"/{_quote_path_segment(name)}"
        response = _unwrap(client.get(path))
    items = [response] if name else response["items"]
    rows = [
        {
            "name": i["name"],
            "version": i["version"],
            **{
                k: v
                for k, v in i["value"].items()
                if k not in ("name", "slices")
            },
        }
        for i in items
    ]
    columns = list(dict.fromkeys(c for r in rows for c in r))
    output.show(
        [{c: r.get(c) for c in columns} for r in rows], response, as_json=json
    )
    if not name and response["source"] == "in_force":
        _print_stderr(
            "the platform doesn't respond; showing what entry VM "
            f"{response['vm']} has in force"
        )
    return exceptions.ExitCode.OK


def diff(
    *,
    file: pathlib.Path,
    json: bool = False,
    api: str = "",
    token_file: str = "",
) -> int:
    """Shows how stored objects differ from a file; exits with 8 if they do.

    Args:
        file: TOML or JSON file with a list of objects for each kind.
        json: Print JSON instead of a table.
        api: Base URL of the administration API, such as http://10.0.0.1:7120.
        token_file: File with the bearer token.
    """
    manifest = _load_manifest(file)
    current: dict[tuple[str, str], dict[str, Any]] = {}
    with contextlib.ExitStack() as stack:
        client = _open_client(stack, api, token_file)
        for kind in sorted({o.KIND for o in manifest.objects()}):
            for item in _unwrap(client.get(f"/v1/objects/{kind}"))["items"]:
                current[(kind, item["name"])] = item["value"]
    rows = [
        {
            "kind": d.kind,
            "name": d.name,
            "field": d.field,
            "present": d.present,
            "wanted": d.wanted,
        }
        for o in manifest.objects()
        for d in decisions.differences(o, current.get((o.KIND, o.name)))
    ]
    if rows or json:
        output.show(rows, rows, as_json=json)
    return (
        exceptions.ExitCode.DIFFERENCES_FOUND
        if rows
        else exceptions.ExitCode.OK
    )


def _post_operation(
    path: str,
    dry_run: bool,
    force: bool,
    reason: str,
    change_id: str,
    json: bool,
    api: str,
    token_file: str,
) -> int:
    with contextlib.ExitStack() as stack:
        client = _open_client(stack, api, token_file)
        response = _unwrap(
            client.change(
                "POST",
                path,
                change_id=change_id,
                params=_change_params(dry_run, force, reason),
            )
        )
    output.show(_change_rows([response]), response, as_json=json)
    return exceptions.ExitCode.OK


def _operation_command(
    name: str, path: str, summary: str, object_type: str
) -> Callable[..., int]:
    """Returns a command that sends a POST request to the API.

    Args:
        name: Name of the command.
        path: Path of the request, with `{}` for the name of the object.
        summary: First line of the command's help text.
        object_type: What the command changes, such as "backend server".
    """

    def run(
        target: str,
        *,
        dry_run: bool = False,
        force: bool = False,
        reason: str = "",
        change_id: str = "",
        json: bool = False,
        api: str = "",
        token_file: str = "",
    ) -> int:
        return _post_operation(
            path.format(_quote_path_segment(target)),
            dry_run,
            force,
            reason,
            change_id,
            json,
            api,
            token_file,
        )

    run.__name__ = name
    run.__doc__ = f"""{summary}

    Args:
        target: Name of the {object_type}.
        dry_run: Show the plan without applying it.
        force: Skip the capacity check; needs a reason.
        reason: Reason, kept with the change.
        change_id: Id of an earlier change whose outcome is unknown; repeating
            it is safe and returns the outcome.
        json: Print JSON instead of a table.
        api: Base URL of the administration API, such as http://10.0.0.1:7120.
        token_file: File with the bearer token.
    """
    return run


def status(
    zone: str = "", *, json: bool = False, api: str = "", token_file: str = ""
) -> int:
    """Shows the numbers of VMs, servers and slices of each zone.

    Args:
        zone: Name of one availability zone; all zones if omitted.
        json: Print JSON instead of a table.
        api: Base URL of the administration API, such as http://10.0.0.1:7120.
        token_file: File with the bearer token.
    """
    with contextlib.ExitStack() as stack:
        client = _open_client(stack, api, token_file)

        def values(kind: str) -> list[dict[str, Any]]:
            response = _unwrap(client.get(f"/v1/objects/{kind}"))
            return [i["value"] for i in response["items"]]

        rows = decisions.zone_rows(
            values("availability_zone"),
            values("backend_server"),
            values("partition"),
            values("vm"),
        )
    if zone:
        rows = [r for r in rows if r["zone"] == zone]
        if not rows:
            raise _CommandError(
                exceptions.ProblemResponse(
                    404, "", f"there is no availability_zone {zone}"
                )
            )
    output.show(rows, rows, as_json=json)
    return exceptions.ExitCode.OK


def watch(
    kind: str,
    name: str,
    *,
    timeout: float = 60.0,
    json: bool = False,
    api: str = "",
    token_file: str = "",
) -> int:
    """Follows a rollout until the newest version is in force on all VMs.

    Args:
        kind: Kind of the object, such as server_group.
        name: Name of the object.
        timeout: Longest wait in seconds; then the exit code is 9.
        json: Print JSON instead of a table, once at the end.
        api: Base URL of the administration API, such as http://10.0.0.1:7120.
        token_file: File with the bearer token.
    """
    deadline_s = time.monotonic() + timeout
    with contextlib.ExitStack() as stack:
        client = _open_client(stack, api, token_file)
        console = rich.console.Console()
        live = None
        if console.is_terminal and not json:
            live = stack.enter_context(
                rich.live.Live(console=console, auto_refresh=False)
            )
        while True:
            response = _unwrap(
                client.get(
                    f"/rollout/{_quote_path_segment(kind)}"
                    f"/{_quote_path_segment(name)}"
                )
            )
            if live is not None:
                live.update(output.table(_rollout_rows(response)), refresh=True)
            if response["complete"] or time.monotonic() >= deadline_s:
                break
            time.sleep(_POLL_INTERVAL_S)
    if live is None:
        output.show(_rollout_rows(response), response, as_json=json)
    if response["complete"]:
        if response["newest"] == 0:
            raise _CommandError(
                exceptions.ProblemResponse(
                    404, "", f"there is no {kind} {name}"
                )
            )
        return exceptions.ExitCode.OK
    if not response["platform_up"]:
        _print_stderr("the platform doesn't respond; a newer version may exist")
    unreachable_vms = [v["vm"] for v in response["vms"] if v["version"] is None]
    if unreachable_vms:
        _print_stderr(f"no response from: {', '.join(unreachable_vms)}")
    return exceptions.ExitCode.ROLLOUT_INCOMPLETE


def _rollout_rows(response: dict[str, Any]) -> list[dict[str, Any]]:
    return [
        {
            "vm": v["vm"],
            "zone": v["availability_zone"],
            "version": v["version"],
            "newest": response["newest"],
            "state": (
                f"no response: {v['fault']}"
                if v["version"] is None
                else "in force"
                if v["version"] == response["newest"]
                else "waiting"
            ),
        }
        for v in response["vms"]
    ]


def explain(
    key: str,
    *,
    path: str = "",
    json: bool = False,
    api: str = "",
    token_file: str = "",
) -> int:
    """Shows selector, slice, owner, token and home VM of a key.

    `since version` is the version of the partition object at which the owner
    of the slice last changed.

    Args:
        key: The key, as a caller sends it.
        path: Path of the request; the prefix of each selector if omitted.
        json: Print JSON instead of a table.
        api: Base URL of the administration API, such as http://10.0.0.1:7120.
        token_file: File with the bearer token.
    """
    with contextlib.ExitStack() as stack:
        client = _open_client(stack, api, token_file)
        paths = [path]
        if not path:
            selectors = _unwrap(client.get("/v1/objects/selector"))["items"]
            paths = [i["value"]["path_prefix"] for i in selectors]
        responses = [
            _unwrap(client.get("/v1/explain", {"path": p, "key": key}))
            for p in paths
        ]
    if not responses:
        raise _CommandError(
            exceptions.ProblemResponse(404, "", "there is no selector")
        )
    columns = (
        "selector",
        "path",
        "group",
        "slice",
        "state",
        "owner",
        "token",
        "home",
        "since_version",
        "vm",
    )
    output.show(
        [{c: r.get(c) for c in columns} for r in responses],
        responses,
        as_json=json,
    )
    return exceptions.ExitCode.OK


def check(file: pathlib.Path) -> int:
    """Checks a file with objects or settings; doesn't call the API.

    Args:
        file: TOML or JSON file with objects, or INI file with settings.
    """
    if file.suffix == ".ini":
        match conf.load(file):
            case result.Err(faults):
                for fault in faults:
                    _print_stderr(str(fault))
                return exceptions.ExitCode.USAGE
            case result.Ok(_):
                print("settings are valid")
                return exceptions.ExitCode.OK
    manifest = _load_manifest(file)
    print(f"{len(manifest.objects())} objects are valid")
    return exceptions.ExitCode.OK


def list_quarantine(*, store: str, json: bool = False) -> int:
    """Shows the requests that gateways refuse because they crash servers.

    Args:
        store: HOST:PORT of the platform's store.
        json: Print JSON instead of a table.
    """
    _unwrap(quarantine.show_entries(store, as_json=json))
    return exceptions.ExitCode.OK


def lift_quarantine(fingerprint: str, *, store: str) -> int:
    """Lets the gateways send such a request to servers again.

    Args:
        fingerprint: Fingerprint of the request, 16 hexadecimal digits.
        store: HOST:PORT of the platform's store.
    """
    _unwrap(quarantine.lift(store, fingerprint))
    return exceptions.ExitCode.OK


def show_builds(*, store: str, json: bool = False) -> int:
    """Shows the build and the capabilities of each VM's gateway.

    Args:
        store: HOST:PORT of the platform's store.
        json: Print JSON instead of a table.
    """
    _unwrap(builds.show(store, as_json=json))
    return exceptions.ExitCode.OK


def _print_stderr(text: str) -> None:
    print(f"berylweirctl: {text}", file=sys.stderr)


def _commands() -> dict[str, Any]:
    zone = "/v1/availability_zones/{}"
    server = "/v1/backend_servers/{}"
    return {
        "apply": apply,
        "get": get,
        "diff": diff,
        "zone": {
            "out": _operation_command(
                "out",
                f"{zone}/out",
                "Takes an availability zone out of service.",
                "availability zone",
            ),
            "back": _operation_command(
                "back",
                f"{zone}/back",
                "Brings an availability zone back into service.",
                "availability zone",
            ),
            "status": status,
        },
        "server": {
            "drain": _operation_command(
                "drain",
                f"{server}/drain",
                "Drains a backend server: it gets no new work.",
                "backend server",
            ),
            "back": _operation_command(
                "back",
                f"{server}/back",
                "Brings a backend server back into service.",
                "backend server",
            ),
            "lost": _operation_command(
                "lost",
                f"{server}/lost",
                "Declares that a backend server will never run again.",
                "backend server",
            ),
        },
        "rollout": {"watch": watch},
        "quarantine": {"list": list_quarantine, "lift": lift_quarantine},
        "builds": show_builds,
        "explain": explain,
        "check": check,
    }


def run(arguments: list[str]) -> int:
    """Runs a command and returns its exit code.

    Args:
        arguments: Command line without the name of the program.
    """
    command = functools.partial(
        defopt.run,
        _commands(),
        argv=arguments,
        short={"file": "f"},
        argparse_kwargs={"prog": "berylweirctl", "description": _DESCRIPTION},
    )
    try:
        return int(command())
    except _CommandError as error:
        _print_stderr(str(error))
        return exceptions.exit_code(error.failure)
    except BrokenPipeError:
        sys.stderr.close()
        return exceptions.ExitCode.FAILED
    except Exception as error:
        _print_stderr(f"internal error: {type(error).__name__}: {error}")
        return exceptions.ExitCode.FAILED
    except KeyboardInterrupt:
        _print_stderr("interrupted")
        return exceptions.ExitCode.FAILED


def main() -> None:
    """Runs `berylweirctl` with the arguments of the process."""
    sys.exit(run(sys.argv[1:]))
