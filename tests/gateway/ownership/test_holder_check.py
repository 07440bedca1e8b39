"""Tests of the check with other gateways before a takeover."""

import pytest
import result

from berylweir.gateway import models
from berylweir.gateway.ownership import election
from berylweir.gateway.ownership import holder_check
from berylweir.gateway.peers import messages as peers


def vm(name: str) -> models.Vm:
    """Returns the VM of a gateway."""
    return models.Vm(name, f"run-{name}", "127.0.0.1", 1, "a")


class PeerGateways:
    """Other gateways, which the holder last answered equally long ago."""

    def __init__(self, heard_s: float) -> None:
        self._heard_s = heard_s

    async def ask(self, vm: models.Vm, _: peers.Request):
        """Returns a status with the time since the holder's last response."""
        status = peers.GatewayStatus(vm.incarnation, 3, False, self._heard_s)
        return result.Ok(status)


class TestHolderCheck:
    """Whether an unresponsive holder is lost or this VM is cut off."""

    async def should_defer(self, vms: int, heard_s: float) -> bool:
        """Checks with gateways that the holder answered `heard_s` ago."""
        vms_by_name = {f"vm-{n}": vm(f"vm-{n}") for n in range(vms)}
        check = holder_check.HolderCheck(
            vms_by_name["vm-0"], PeerGateways(heard_s)
        )
        check.update_vms(vms_by_name)
        return await check.should_defer_takeover(
            models.Lease("vm-1", "run-vm-1", 3, 1)
        )

    @pytest.mark.parametrize("vms", [9, 90, 300])
    async def test_takeover_is_deferred_if_the_holder_answers_reports(
        self, vms
    ):
        """Guards against replacing a holder that is alive."""
        interval_s = election.report_interval_s(election.DEPUTY_COUNT, vms)
        assert await self.should_defer(vms, interval_s)

    @pytest.mark.parametrize("vms", [9, 90, 300])
    async def test_takeover_is_not_deferred_after_two_missed_reports(self, vms):
        """Guards against keys that can't move because the holder has ended."""
        interval_s = election.report_interval_s(election.DEPUTY_COUNT, vms)
        assert not await self.should_defer(vms, 2.0 * interval_s + 1.0)


class TestGatewayStatuses:
    """The gateways that are asked for their key tables."""

    def test_only_newer_tables_are_read(self):
        """Guards against reading known tables from all gateways."""
        revisions = {"vm-1": {"g": 5}, "vm-2": {"g": 7}, "vm-3": {"h": 1}}
        statuses = holder_check.GatewayStatuses(
            tuple(
                (vm(name), peers.GatewayStatus("run", 1, False, tables=tables))
                for name, tables in revisions.items()
            ),
            are_complete=True,
        )

        def names(known: dict[str, int]) -> list[str]:
            orders = {n: models.TableOrder(4, r) for n, r in known.items()}
            return [v.name for v in statuses.vms_with_newer_tables(orders)]

        assert names({}) == ["vm-2", "vm-3"]
        assert names({"g": 7}) == ["vm-3"]
        assert names({"g": 6, "h": 1}) == ["vm-2"]
