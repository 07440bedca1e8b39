"""Tests of `berylweirctl` against a running administration API."""

import asyncio
from collections.abc import AsyncIterator
import json
import pathlib

import pytest

from berylweir.ctl import exceptions
from berylweir.ctl import program
from tests.api import api_deployment

_MANIFEST = """
[[availability_zone]]
name = "d"
[[selector]]
name = "orders"
path_prefix = "/orders/"
group = "stock"
team = "stock"
"""


@pytest.fixture
async def cluster(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> AsyncIterator[api_deployment.ApiDeployment]:
    async with api_deployment.run_api_deployment(tmp_path) as deployment:
        monkeypatch.setenv("BERYLWEIR_API", str(deployment.api.base_url))
        monkeypatch.setenv("BERYLWEIR_TOKEN", "ana-token")
        yield deployment


async def ctl(*arguments: str) -> int:
    """Runs a command in a thread; the API occupies the event loop's thread."""
    return await asyncio.to_thread(program.run, list(arguments))


class TestCommands:
    """Commands that reach the API."""

    async def test_apply_then_diff_finds_nothing(
        self,
        cluster: api_deployment.ApiDeployment,
        tmp_path: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ):
        """Guards against a diff that isn't empty after apply."""
        file = tmp_path / "objects.toml"
        file.write_text(_MANIFEST)
        assert await ctl("diff", "-f", str(file)) == 8
        assert await ctl("apply", "-f", str(file), "--dry-run") == 0
        assert await ctl("diff", "-f", str(file)) == 8
        assert await ctl("apply", "-f", str(file)) == 0
        assert await ctl("diff", "-f", str(file)) == 0
        capsys.readouterr()
        assert await ctl("apply", "-f", str(file), "--json") == 0
        responses = json.loads(capsys.readouterr().out)
        assert [r["unchanged"] for r in responses] == [True, True]

    async def test_rollout_of_a_zone_out_completes(
        self,
        cluster: api_deployment.ApiDeployment,
        capsys: pytest.CaptureFixture[str],
    ):
        """Guards against a rollout that is never reported as complete."""
        assert await ctl("zone", "out", "a", "--reason", "drill") == 0
        assert await ctl("rollout", "watch", "availability_zone", "a") == 0
        capsys.readouterr()
        assert await ctl("zone", "status", "a", "--json") == 0
        row = json.loads(capsys.readouterr().out)[0]
        assert (row["in_service"], row["servers_in_service"]) == (False, 1)
        assert await ctl("zone", "out", "b") == 4
        assert "stock would have 1 in service" in capsys.readouterr().err
        assert await ctl("zone", "back", "a") == 0

    async def test_explain_names_the_owner(
        self,
        cluster: api_deployment.ApiDeployment,
        capsys: pytest.CaptureFixture[str],
    ):
        """Guards against an explanation that differs from the partition."""
        explanations: list[dict[str, object]] = [{}]
        async with asyncio.timeout(10):
            while "owner" not in explanations[0]:
                capsys.readouterr()
                assert await ctl("explain", "k1", "--json") == 0
                explanations = json.loads(capsys.readouterr().out)
        partition = cluster.standin.partition("stock.0")
        assert partition is not None
        assert (
            explanations[0]["home"]
            == partition.homes[str(explanations[0]["owner"])]
        )

    async def test_rollout_with_a_lost_vm_is_incomplete(
        self,
        cluster: api_deployment.ApiDeployment,
        capsys: pytest.CaptureFixture[str],
    ):
        """Guards against exit code 0 although a VM didn't respond."""
        await cluster.standin.kill_vm("vm-1")
        assert (
            await ctl(
                "rollout", "watch", "availability_zone", "a", "--timeout", "1"
            )
            == 9
        )
        assert "no response from: vm-1" in capsys.readouterr().err

    async def test_platform_down_changes_nothing(
        self,
        cluster: api_deployment.ApiDeployment,
        capsys: pytest.CaptureFixture[str],
    ):
        """Guards against a success that is reported during an outage."""
        cluster.standin.platform.faults.down = True
        cluster.standin.platform.wake_watches()
        assert await ctl("server", "drain", "stock-0") == 6
        assert "nothing was changed" in capsys.readouterr().err
        assert await ctl("get", "server_group") == 0
        assert "has in force" in capsys.readouterr().err

    @pytest.mark.parametrize(
        ("arguments", "code"),
        [
            (["get", "nothing"], 10),
            (["get", "server_group", "a/b"], 10),
            (["server", "drain", "missing"], 10),
            (["zone", "out", "a", "--force"], 2),
            (["zone", "status", "missing"], 10),
            (["rollout", "watch", "server_group", "missing"], 10),
        ],
    )
    async def test_each_failure_has_its_exit_code(
        self,
        cluster: api_deployment.ApiDeployment,
        arguments: list[str],
        code: int,
    ):
        """Guards against one exit code for failures of different kinds."""
        assert await ctl(*arguments) == code


class TestWithoutApi:
    """Failures without a response of the API."""

    def test_unreachable_api_is_a_plain_message(
        self, capsys: pytest.CaptureFixture[str]
    ):
        """Guards against a traceback when no API runs."""
        code = program.run(["get", "vm", "--api", "http://127.0.0.1:1"])
        assert code == exceptions.ExitCode.UNREACHABLE
        assert "can't be reached" in capsys.readouterr().err

    @pytest.mark.parametrize("text", ["[[vm]]\nname = 1", "= x", ""])
    def test_message_names_the_invalid_file(
        self,
        text: str,
        tmp_path: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ):
        """Guards against an invalid file whose first objects are applied."""
        file = tmp_path / "bad.toml"
        file.write_text(text)
        assert program.run(["check", str(file)]) == 2
        assert "bad.toml" in capsys.readouterr().err

    def test_message_names_the_missing_token_file(
        self, capsys: pytest.CaptureFixture[str]
    ):
        """Guards against a request without the operator's token."""
        assert program.run(["get", "vm", "--token-file", "/missing"]) == 2
        assert "/missing" in capsys.readouterr().err
