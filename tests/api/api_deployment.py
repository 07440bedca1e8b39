"""Runs a stand-in deployment with administration APIs, for tests."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import hashlib
import pathlib

import httpx
import msgspec

from berylweir.api import supervisor
from berylweir.conf import schemas as conf
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.standin import deployment

STOCK_GROUP = schemas.ServerGroup(
    "stock", schemas.Keyed(slices=16), spare_servers=2, team="stock"
)
DEFAULT_GROUPS = (deployment.GroupSpec(STOCK_GROUP, "/stock/", servers=3),)
OPERATOR_ROLES = {
    "ana": "role = administrator",
    "berta": "role = team\nteam = stock",
    "carla": "role = team\nteam = orders",
    "dora": "role = reader",
}


def tokens_file_text() -> str:
    """Returns a tokens file in which each token is `<name>-token`."""
    return "".join(
        f"[{name}]\ntoken_sha256 = "
        f"{hashlib.sha256(f'{name}-token'.encode()).hexdigest()}\n{role}\n"
        for name, role in OPERATOR_ROLES.items()
    )


def auth_header(name: str) -> dict[str, str]:
    """Returns the request header with an operator's token."""
    return {"Authorization": f"Bearer {name}-token"}


@dataclasses.dataclass(slots=True)
class ApiDeployment:
    """A running stand-in deployment with APIs on two of its entry VMs.

    Attributes:
        standin: The deployment.
        api: Client of the API on the first entry VM.
        second_api: Client of the API on the second entry VM.
    """

    standin: deployment.Deployment
    api: httpx.AsyncClient
    second_api: httpx.AsyncClient

    async def version(self, kind: str, name: str) -> int:
        """Returns the version of an object, as the first API reports it."""
        response = await self.api.get(
            f"/v1/objects/{kind}/{name}", headers=auth_header("dora")
        )
        return int(response.json()["version"])


@contextlib.asynccontextmanager
async def run_api_deployment(
    directory: pathlib.Path,
    groups: tuple[deployment.GroupSpec, ...] = DEFAULT_GROUPS,
    vms: int = 2,
) -> AsyncIterator[ApiDeployment]:
    """Runs a deployment with an API on each of its first two entry VMs.

    Args:
        directory: Directory for the tokens file.
        groups: Server groups of the deployment.
        vms: Number of entry VMs.
    """
    tokens = directory / "tokens.ini"
    tokens.write_text(tokens_file_text())
    async with (
        deployment.Deployment(groups, vms=vms) as standin,
        contextlib.AsyncExitStack() as stack,
    ):
        clients = []
        for entry_vm in list(standin.vms.values())[:2]:
            port = entry_vm.settings.api.port
            settings = msgspec.structs.replace(
                entry_vm.settings, api=conf.ApiSection(port, str(tokens))
            )
            supervisor_tree = supervisor.build(settings, counters.Counters())
            api_server = deployment.ChildRunner(supervisor_tree.run)
            stack.push_async_callback(api_server.kill)
            await api_server.start()
            clients.append(
                await stack.enter_async_context(
                    httpx.AsyncClient(
                        base_url=f"http://127.0.0.1:{port}",
                        headers=auth_header("ana"),
                        timeout=10.0,
                    )
                )
            )
        yield ApiDeployment(standin, clients[0], clients[1])
