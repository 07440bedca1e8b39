"""Tests of the report of builds that run beside the local one."""

import logging

import pytest

from berylweir import build_id
from berylweir.gateway import fleet_builds
from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.observability import counters
from berylweir.platform import objects
from tests.gateway import rig


def vm(name: str, build: str) -> models.Vm:
    """Returns the VM of a gateway of a build."""
    return models.Vm(name, f"run-{name}", "127.0.0.1", 1, "a", build=build)


class TestFleetBuilds:
    """The log lines on other builds."""

    def seen(self, caplog: pytest.LogCaptureFixture) -> list[str | None]:
        """Returns the builds that were logged."""
        return [
            r.its_build
            for r in caplog.records
            if r.getMessage() == "another build seen"
        ]

    def test_each_other_build_is_logged_at_each_change(
        self, caplog: pytest.LogCaptureFixture
    ):
        """Guards against a line for each VM of a large fleet."""
        metrics = counters.Counters()
        report = fleet_builds.FleetBuilds(vm("vm-0", "new"), metrics)
        vms = {
            "vm-0": vm("vm-0", "new"),
            "vm-1": vm("vm-1", "old"),
            "vm-2": vm("vm-2", "old"),
            "vm-3": vm("vm-3", ""),
        }
        with caplog.at_level(logging.INFO):
            report.on_store_update(messages.VmsChanged(vms))
            report.on_store_update(messages.VmsChanged(dict(vms)))
        assert self.seen(caplog) == ["old", None]

    def test_a_fleet_of_one_build_is_reported_as_mixed(
        self, caplog: pytest.LogCaptureFixture
    ):
        """Guards against lines on each start of an ordinary fleet."""
        report = fleet_builds.FleetBuilds(vm("vm-0", "b"), counters.Counters())
        with caplog.at_level(logging.INFO):
            report.on_store_update(
                messages.VmsChanged({"vm-1": vm("vm-1", "b")})
            )
        assert not self.seen(caplog)

    async def test_a_gateway_registers_without_its_build(self):
        """Guards against a fleet whose builds can't be told apart."""
        async with rig.Rig() as deployment:
            await deployment.configure({"pool": False}, [])
            await deployment.add_gateway("vm-0")
            stored = deployment.store.get(objects.GATEWAY_KIND, "vm.vm-0")
            assert stored["spec"]["build"] == build_id.build_id()
