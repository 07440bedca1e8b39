"""Tests of the command that shows builds, against the stand-in store."""

import asyncio
import contextlib
import json

import msgspec
import pytest

from berylweir.ctl import program
from berylweir.gateway import models
from berylweir.platform import objects
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import store as store_standin


def vm(name: str, build: str, *capabilities: str) -> models.Vm:
    """Returns the VM of a gateway of a build."""
    return models.Vm(
        name,
        f"run-{name}",
        "127.0.0.1",
        1,
        "a",
        capabilities=frozenset(capabilities),
        build=build,
    )


class TestBuildsCommand:
    """The command `builds`."""

    async def show(self, vms: list[models.Vm], *options: str) -> int:
        """Runs the command against a store with some VMs."""
        async with contextlib.AsyncExitStack() as stack:
            store = store_standin.Store()
            for one in vms:
                spec = msgspec.json.decode(objects.encode_vm(one))
                if not one.build:
                    # As written by a build that doesn't state its id.
                    del spec["build"]
                await store.put(
                    objects.GATEWAY_KIND,
                    objects.VM_NAME_PREFIX + one.name,
                    spec,
                )
            lease = {"holder": "vm-1", "incarnation": "run-vm-1", "epoch": 4}
            await store.put(objects.GATEWAY_KIND, objects.LEASE_NAME, lease)
            port = await http.listen(stack, store.handle)
            arguments = ["builds", "--store", f"127.0.0.1:{port}", *options]
            return await asyncio.to_thread(program.run, arguments)

    async def test_vms_of_an_older_build_are_left_out(
        self, capsys: pytest.CaptureFixture[str]
    ):
        """Guards against an upgrade that seems complete but isn't."""
        vms = [vm("vm-0", "aa", "x"), vm("vm-1", "bb", "x"), vm("vm-2", "")]
        assert await self.show(vms, "--json") == 0
        report = json.loads(capsys.readouterr().out)
        assert [v["build"] for v in report["vms"]] == ["aa", "bb", "unknown"]
        holds_lease = [v["holds_lease"] for v in report["vms"]]
        assert holds_lease == [False, True, False]
        assert report["builds"] == {"aa": 1, "bb": 1, "unknown": 1}
        assert report["capabilities_missing_on"] == {"x": ["vm-2"]}

    async def test_summary_lacks_what_is_not_in_force(
        self, capsys: pytest.CaptureFixture[str]
    ):
        """Guards against an operator who must compare the rows."""
        vms = [vm("vm-0", "aa", "x"), vm("vm-1", "bb")]
        assert await self.show(vms) == 0
        printed = capsys.readouterr().out
        assert "aa: 1 of 2 VMs" in printed
        assert "x: not on vm-1" in printed

    @pytest.mark.parametrize(
        ("vms", "obstacle"),
        [
            ([vm("vm-0", "aa"), vm("vm-1", "bb")], None),
            ([vm("vm-0", "aa"), vm("vm-2", "aa")], "no_lease_holder"),
            ([vm(f"vm-{n}", f"b{n}") for n in range(4)], "too_many_builds"),
        ],
    )
    async def test_operator_goes_on_too_early(self, capsys, vms, obstacle):
        """Guards against one more replacement while the fleet isn't settled."""
        assert await self.show(vms, "--json") == 0
        assert json.loads(capsys.readouterr().out)["obstacle"] == obstacle
        assert await self.show(vms) == 0
        printed = capsys.readouterr().out
        last = "replace vm-1 last" if obstacle is None else "wait"
        assert last in printed

    async def test_an_unreachable_store_looks_like_an_empty_fleet(self):
        """Guards against scripts that go on after a failure."""
        code = await asyncio.to_thread(
            program.run, ["builds", "--store", "127.0.0.1:1"]
        )
        assert code == 6
