"""Tests of the removal of VMs that are gone for good."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import msgspec
import pytest
import result

from berylweir.gateway import clock
from berylweir.gateway import departed_vms
from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.peers import exceptions
from berylweir.gateway.peers import messages as peers
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import settings
from berylweir.platform import store
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import store as store_standin
from berylweir.supervision import models as supervision
from tests.gateway import rig

_GONE_AFTER_S = 600.0
# Time in which other gateways would be asked, in seconds.
_OBSERVED_S = 0.3


class PeerGateways:
    """Client for other gateways, some of which don't respond."""

    def __init__(self) -> None:
        self.silent = {"vm-2"}
        self.asked: list[str] = []

    async def ask(self, vm: models.Vm, _: peers.Request):
        """Responds at once."""
        self.asked.append(vm.name)
        if vm.name in self.silent:
            return result.Err(exceptions.PeerUnresponsive(vm.name, "silent"))
        return result.Ok(peers.GatewayStatus(vm.incarnation, 1, False))


class Fleet:
    """The store with the objects of three VMs, and the task of the first."""

    def __init__(self, port: int) -> None:
        self.store = store_standin.Store()
        self.gateways = PeerGateways()
        self.vms: dict[str, models.Vm] = {}
        self.now_s = 1000.0
        self.task = departed_vms.DepartedVms(
            self.build_vm("vm-0", "first"),
            store.StoreClient(settings.StoreAddress(("127.0.0.1", port))),
            self.gateways,
            counters.Counters(),
            check_interval_s=0.01,
            gone_after_s=_GONE_AFTER_S,
        )

    def build_vm(self, name: str, incarnation: str) -> models.Vm:
        """Returns the VM of a run of a gateway."""
        return models.Vm(name, incarnation, "127.0.0.1", 1, "a")

    async def register(self, name: str, incarnation: str) -> None:
        """Writes the object of a VM and announces it."""
        vm = self.build_vm(name, incarnation)
        spec = msgspec.json.decode(objects.encode_vm(vm))
        await self.store.put(
            objects.GATEWAY_KIND, objects.VM_NAME_PREFIX + name, spec
        )
        self.vms = self.vms | {
            name: models.Vm(
                name,
                incarnation,
                "127.0.0.1",
                1,
                "a",
                registered_revision=self.store.revision,
            )
        }
        self.task.on_store_update(messages.VmsChanged(self.vms))

    async def pass_time(self, duration_s: float) -> None:
        """Has the boot clock advance, and waits for a check after that."""
        self.now_s += duration_s
        asked = len(self.gateways.asked)
        # The check that is under way may have begun before.
        await rig.until(
            lambda: len(self.gateways.asked) >= asked + 3 * (len(self.vms) - 1)
        )

    def give_lease(self, holder: str, epoch: int = 1) -> None:
        """Announces the holder of the lease."""
        lease = models.Lease(holder, "first", epoch, 1)
        self.task.on_store_update(messages.LeaseChanged(lease))

    def is_registered(self, name: str) -> bool:
        """Returns whether the store has the object of a VM."""
        name = objects.VM_NAME_PREFIX + name
        return self.store.get(objects.GATEWAY_KIND, name) is not None


@pytest.fixture
async def fleet(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Fleet]:
    async with contextlib.AsyncExitStack() as stack:
        handlers = []

        async def handle(request: http.Request) -> http.Response:
            return await handlers[0](request)

        running = Fleet(await http.listen(stack, handle))
        handlers.append(running.store.handle)
        monkeypatch.setattr(clock, "boot_s", lambda: running.now_s)
        for name in ("vm-0", "vm-1", "vm-2"):
            await running.register(name, "first")
        context = supervision.ChildContext(stack)
        task = asyncio.create_task(running.task.run(context))
        stack.callback(task.cancel)
        yield running


class TestDepartedVms:
    """The lease holder's check of all VMs."""

    async def test_gone_vm_is_counted_for_ever(self, fleet: Fleet):
        """Guards against limits that are divided among VMs that are gone."""
        fleet.give_lease("vm-0")
        await fleet.pass_time(0.0)
        await fleet.pass_time(0.9 * _GONE_AFTER_S)
        assert fleet.is_registered("vm-2")
        await fleet.pass_time(0.1 * _GONE_AFTER_S)
        await rig.until(lambda: not fleet.is_registered("vm-2"))
        assert fleet.is_registered("vm-0")
        assert fleet.is_registered("vm-1")

    async def test_other_gateways_remove_vms_too(self, fleet: Fleet):
        """Guards against calls of all gateways to all others."""
        fleet.give_lease("vm-1")
        await asyncio.sleep(_OBSERVED_S)
        fleet.now_s += 2.0 * _GONE_AFTER_S
        await asyncio.sleep(_OBSERVED_S)
        assert fleet.is_registered("vm-2")
        assert not fleet.gateways.asked

    async def test_briefly_silent_vm_is_removed(self, fleet: Fleet):
        """Guards against the removal of a VM that was cut off for a while."""
        fleet.give_lease("vm-0")
        for _ in range(8):
            await fleet.pass_time(0.5 * _GONE_AFTER_S)
            fleet.gateways.silent ^= {"vm-2"}
        await fleet.pass_time(0.0)
        assert fleet.is_registered("vm-2")

    async def test_restarted_vm_is_removed(self, fleet: Fleet):
        """Guards against a removal for the silence of an earlier run."""
        fleet.give_lease("vm-0")
        await fleet.pass_time(0.0)
        await fleet.pass_time(0.8 * _GONE_AFTER_S)
        await fleet.register("vm-2", "second")
        await fleet.pass_time(0.8 * _GONE_AFTER_S)
        await fleet.pass_time(0.0)
        assert fleet.is_registered("vm-2")

    async def test_object_that_has_just_changed_is_removed(self, fleet: Fleet):
        """Guards against removing a registration that isn't known yet."""
        fleet.give_lease("vm-0")
        name = objects.VM_NAME_PREFIX + "vm-2"
        await fleet.store.put(objects.GATEWAY_KIND, name, {"incarnation": "x"})
        await fleet.pass_time(0.0)
        await fleet.pass_time(_GONE_AFTER_S)
        await fleet.pass_time(0.0)
        assert fleet.is_registered("vm-2")

    async def test_new_holder_counts_the_silence_before(self, fleet: Fleet):
        """Guards against a removal after a time that nobody has observed."""
        for epoch in range(1, 5):
            fleet.give_lease("vm-0", epoch)
            await fleet.pass_time(0.0)
            await fleet.pass_time(0.8 * _GONE_AFTER_S)
        await fleet.pass_time(0.0)
        assert fleet.is_registered("vm-2")
