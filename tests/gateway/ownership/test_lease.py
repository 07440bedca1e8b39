"""Tests of when the lease is taken from its holder."""

import asyncio
from collections.abc import Callable
import contextlib
import time

import pytest
import result

from berylweir.gateway import clock
from berylweir.gateway import models
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import lease as leases
from berylweir.gateway.peers import exceptions
from berylweir.gateway.peers import messages as peers
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import settings
from berylweir.platform import store
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import store as store_standin
from tests.gateway import rig

_TIMEOUT_S = 0.3


def vm(name: str) -> models.Vm:
    """Returns the VM of a gateway."""
    return models.Vm(name, f"run-{name}", "127.0.0.1", 1, "a")


async def ignore_tables(_: models.Vm) -> None:
    """Ignores that another gateway has newer key tables."""


class PeerGateways:
    """Client for the other gateways, of which one holds the lease."""

    def __init__(self, unresponsive_s: float) -> None:
        self._responds_at_s = time.monotonic() + unresponsive_s
        self.requests: list[tuple[str, peers.Request]] = []

    async def ask(self, vm: models.Vm, request: peers.Request):
        """Times out at first, and later responds as the holder."""
        self.requests.append((vm.name, request))
        if time.monotonic() < self._responds_at_s:
            await asyncio.sleep(_TIMEOUT_S)
            return result.Err(exceptions.PeerUnresponsive(vm.name, "silent"))
        return result.Ok(peers.GatewayStatus(vm.incarnation, 3, True))


class TestLeaseManager:
    """A deputy that monitors the holder."""

    @contextlib.asynccontextmanager
    async def run_deputy(self, unresponsive_s: float):
        """Runs a deputy whose holder is unresponsive at first.

        Yields:
            The store with the lease.
        """
        async with contextlib.AsyncExitStack() as stack:
            lease_store = store_standin.Store()
            port = await http.listen(stack, lease_store.handle)
            local_vm, holder = vm("me"), vm("holder")
            spec = {
                "holder": holder.name,
                "incarnation": holder.incarnation,
                "epoch": 3,
            }
            await lease_store.put(
                objects.GATEWAY_KIND, objects.LEASE_NAME, spec
            )
            client = store.StoreClient(
                settings.StoreAddress(("127.0.0.1", port))
            )
            stack.callback(client.close)

            def build_report() -> asyncio.Future[peers.ReportUsage]:
                report = asyncio.get_running_loop().create_future()
                report.set_result(peers.ReportUsage(local_vm.name, {}, {}))
                return report

            manager = leases.LeaseManager(
                local_vm,
                client,
                PeerGateways(unresponsive_s),
                counters.Counters(),
                collect_report=build_report,
                on_acquired=lambda lease, predecessors_stop_s: None,
                on_predecessors_stopped=lambda: None,
                is_recovery_due=lambda epoch: False,
                get_acted_epoch=lambda: 0,
                get_table_orders=dict,
                on_newer_tables=ignore_tables,
                on_lost=lambda: None,
                on_authority_confirmed=lambda: None,
                on_holder_status=lambda status: None,
                is_store_up=lambda: True,
            )
            manager.update_vms({"me": local_vm, "holder": holder})
            revision = lease_store.revision
            manager.update_lease(
                models.Lease(holder.name, holder.incarnation, 3, revision)
            )
            task = asyncio.create_task(manager.run())
            stack.callback(task.cancel)
            yield lease_store

    def read_epoch(self, lease_store: store_standin.Store) -> int:
        """Returns the epoch of the lease in the store."""
        stored = lease_store.get(objects.GATEWAY_KIND, objects.LEASE_NAME)
        assert stored is not None
        epoch: int = stored["spec"]["epoch"]
        return epoch

    async def test_a_briefly_unresponsive_new_holder_keeps_the_lease(self):
        """Guards against replacing each new holder, which is busy at first."""
        async with self.run_deputy(unresponsive_s=1.5) as lease_store:
            await asyncio.sleep(3.0)
            assert self.read_epoch(lease_store) == 3

    async def test_a_holder_that_stays_unresponsive_is_replaced(self):
        """Guards against a lost holder that no gateway replaces."""
        async with self.run_deputy(unresponsive_s=60.0) as lease_store:
            await rig.until(lambda: self.read_epoch(lease_store) == 4)


class SilentGateways:
    """Client for other gateways, none of which responds."""

    async def ask(self, vm: models.Vm, _: peers.Request):
        """Times out."""
        await asyncio.sleep(_TIMEOUT_S)
        return result.Err(exceptions.PeerUnresponsive(vm.name, "silent"))


class TimedManager(leases.LeaseManager):
    """A manager that records when it learns of leases of its own.

    Attributes:
        learned_s: When it had just learned of each of its leases, by epoch, on
            the boot clock, in seconds.
    """

    def __init__(self, *args, **options) -> None:
        super().__init__(*args, **options)
        self.learned_s: dict[int, float] = {}

    def update_lease(self, lease: models.Lease | None) -> None:
        """Applies a lease and records the time."""
        super().update_lease(lease)
        if self.is_holder:
            self.learned_s.setdefault(self.epoch, clock.boot_s())


class TestRecovery:
    """A holder that waits before it acts in a restored store."""

    @contextlib.asynccontextmanager
    async def run_manager(
        self, on_acquired: Callable[[float], None], duration_s: float
    ):
        """Runs a gateway that takes a lease in a restored store.

        Args:
            on_acquired: Called once it starts to act, with the time until which
                an earlier holder may grant keys.
            duration_s: Time for which it must wait before, in seconds.

        Yields:
            The manager and the store.
        """
        async with contextlib.AsyncExitStack() as stack:
            lease_store = store_standin.Store()
            lease_store.generation = 1

            async def handle(request: http.Request) -> http.Response | None:
                response = await lease_store.handle(request)
                if request.method in ("POST", "PUT"):
                    self._written_s = clock.boot_s()
                return response

            port = await http.listen(stack, handle)
            client = store.StoreClient(
                settings.StoreAddress(("127.0.0.1", port))
            )
            stack.callback(client.close)
            recovered_s = time.monotonic() + duration_s
            manager = TimedManager(
                vm("me"),
                client,
                SilentGateways(),
                counters.Counters(),
                collect_report=asyncio.Future,
                on_acquired=lambda lease, stop_s: on_acquired(stop_s),
                on_predecessors_stopped=lambda: None,
                is_recovery_due=lambda epoch: time.monotonic() < recovered_s,
                get_acted_epoch=lambda: 0,
                get_table_orders=dict,
                on_newer_tables=ignore_tables,
                on_lost=lambda: None,
                on_authority_confirmed=lambda: None,
                on_holder_status=lambda status: None,
                is_store_up=lambda: True,
            )
            manager.update_vms({"me": vm("me"), "silent": vm("silent")})
            manager.update_lease(None)
            task = asyncio.create_task(manager.run())
            stack.callback(task.cancel)
            yield manager, lease_store

    async def test_lease_is_confirmed_during_the_wait(self):
        """Guards against a waiting holder that is replaced and waits again."""
        acquired = []
        async with self.run_manager(acquired.append, float("inf")) as (
            manager,
            lease_store,
        ):

            def is_confirmed_twice() -> bool:
                calls = [c for c in lease_store.calls if c.startswith("GET")]
                return len(calls) >= 2

            await rig.until(is_confirmed_twice)
            assert manager.is_holder
            assert not manager.may_act
            assert not acquired

    async def test_earlier_holders_stop_during_the_wait(self):
        """Guards against waiting twice for holders that don't respond."""
        stops_s = []
        async with self.run_manager(stops_s.append, 2.0) as (manager, _):
            await rig.until(lambda: bool(stops_s))
            # The first lease is written before the store's generation is
            # known, and is taken again in that generation at once.
            learned_s = manager.learned_s[manager.epoch]
            assert clock.boot_s() - learned_s > 1.0
            # No earlier holder can confirm its lease after the new one was
            # written, but it can until then.
            assert stops_s[0] >= self._written_s + grant_expiry.AUTHORITY_S
            assert stops_s[0] <= learned_s + grant_expiry.AUTHORITY_S


class TestHandOver:
    """A holder that reaches no servers, and the gateway that it chooses."""

    @contextlib.asynccontextmanager
    async def run_manager(
        self,
        holder: str,
        is_isolated: bool = False,
        read_delay_s: float = 0.0,
    ):
        """Runs a gateway, `me`, while it or `other` holds the lease.

        Args:
            holder: The VM that holds it.
            is_isolated: Whether `me` reaches no server.
            read_delay_s: Time after which the store answers reads, in seconds.

        Yields:
            The manager, the store with the lease and the other gateways.
        """
        async with contextlib.AsyncExitStack() as stack:
            lease_store = store_standin.Store()
            self._reads = 0

            async def handle(request: http.Request) -> http.Response | None:
                if request.method == "GET":
                    self._reads += 1
                    await asyncio.sleep(read_delay_s)
                return await lease_store.handle(request)

            port = await http.listen(stack, handle)
            vms = {name: vm(name) for name in ("me", "other")}
            spec = {
                "holder": holder,
                "incarnation": vms[holder].incarnation,
                "epoch": 3,
            }
            await lease_store.put(
                objects.GATEWAY_KIND, objects.LEASE_NAME, spec
            )
            client = store.StoreClient(
                settings.StoreAddress(("127.0.0.1", port))
            )
            stack.callback(client.close)

            def build_report() -> asyncio.Future[peers.ReportUsage]:
                report = asyncio.get_running_loop().create_future()
                report.set_result(peers.ReportUsage("me", {}, {}))
                return report

            gateways = PeerGateways(unresponsive_s=0.0)
            manager = leases.LeaseManager(
                vms["me"],
                client,
                gateways,
                counters.Counters(),
                collect_report=build_report,
                on_acquired=lambda lease, predecessors_stop_s: None,
                on_predecessors_stopped=lambda: None,
                is_recovery_due=lambda epoch: False,
                get_acted_epoch=lambda: 3,
                get_table_orders=dict,
                on_newer_tables=ignore_tables,
                on_lost=lambda: None,
                on_authority_confirmed=lambda: None,
                on_holder_status=lambda status: None,
                is_store_up=lambda: True,
                is_isolated=lambda: is_isolated,
            )
            manager.update_vms(vms)
            manager.update_lease(
                models.Lease(
                    holder, vms[holder].incarnation, 3, lease_store.revision
                )
            )
            task = asyncio.create_task(manager.run())
            stack.callback(task.cancel)
            yield manager, lease_store, gateways

    def read_lease(self, lease_store: store_standin.Store) -> dict:
        """Returns the lease in the store."""
        stored = lease_store.get(objects.GATEWAY_KIND, objects.LEASE_NAME)
        assert stored is not None
        spec: dict = stored["spec"]
        return spec

    async def test_the_lease_is_released_and_offered(self):
        """Guards against a holder without contact that keeps the lease."""
        async with self.run_manager("me") as (manager, lease_store, gateways):
            await rig.until(lambda: manager.may_act)
            manager.hand_over(["gone", "other"])
            assert not manager.is_holder
            await rig.until(
                lambda: self.read_lease(lease_store)["holder"] == ""
            )
            offer = peers.OfferLease(3, lease_store.revision)
            await rig.until(lambda: ("other", offer) in gateways.requests)

    @pytest.mark.parametrize("holder", ["me", "other"])
    async def test_a_suspended_holder_confirms_its_lease_first(
        self, monkeypatch, holder
    ):
        """Guards against grants to a server that has forgotten its tokens."""
        async with self.run_manager("me") as (manager, lease_store, _):
            await rig.until(lambda: manager.may_act)
            reads = self._reads
            if holder != "me":
                spec = {
                    "holder": holder,
                    "incarnation": vm(holder).incarnation,
                    "epoch": 4,
                }
                await lease_store.put(
                    objects.GATEWAY_KIND, objects.LEASE_NAME, spec
                )
            boot_s = clock.boot_s
            monkeypatch.setattr(clock, "boot_s", lambda: boot_s() + 3.0)
            while self._reads == reads:
                assert not manager.may_act
                await asyncio.sleep(0.001)
            await rig.until(lambda: manager.may_act == (holder == "me"))
            assert manager.is_holder == (holder == "me")

    async def test_a_hand_over_waits_for_the_read_of_the_lease(self):
        """Guards against a response that is taken for that of another call."""
        async with self.run_manager("me", read_delay_s=0.3) as (
            manager,
            lease_store,
            gateways,
        ):
            await rig.until(lambda: manager.may_act)
            reads = self._reads
            # A change of the gateways has the lease read again.
            manager.update_vms({name: vm(name) for name in ("me", "other")})
            await rig.until(lambda: self._reads > reads)
            manager.hand_over(["other"])
            await rig.until(
                lambda: self.read_lease(lease_store)["holder"] == ""
            )
            offer = peers.OfferLease(3, lease_store.revision)
            await rig.until(lambda: ("other", offer) in gateways.requests)

    async def test_an_offered_lease_is_taken(self):
        """Guards against an offer that has no effect."""
        async with self.run_manager("other") as (manager, lease_store, _):
            await lease_store.put(
                objects.GATEWAY_KIND,
                objects.LEASE_NAME,
                {"holder": "", "incarnation": "", "epoch": 3},
            )
            manager.accept_offer(3, lease_store.revision)
            await rig.until(
                lambda: self.read_lease(lease_store)["holder"] == "me"
            )

    async def test_a_change_does_not_shorten_the_wait_before_a_takeover(self):
        """Guards against an isolated holder that takes the lease back."""
        async with self.run_manager("me") as (manager, lease_store, _):
            await rig.until(lambda: manager.may_act)
            manager.hand_over([])
            await rig.until(
                lambda: self.read_lease(lease_store)["holder"] == ""
            )
            for _ in range(10):
                manager.update_vms({n: vm(n) for n in ("me", "other")})
                await asyncio.sleep(0.05)
            assert self.read_lease(lease_store)["holder"] == ""

    async def test_a_gateway_that_handed_over_ignores_an_offer(self):
        """Guards against a lease that moves to and fro."""
        async with self.run_manager("me") as (manager, lease_store, _):
            await rig.until(lambda: manager.may_act)
            manager.hand_over([])
            await rig.until(
                lambda: self.read_lease(lease_store)["holder"] == ""
            )
            manager.accept_offer(3, lease_store.revision + 1)
            assert manager._succession.takeover_delay_s(None, 0.0) > 0.0
            assert manager._lease.revision == lease_store.revision

    async def test_an_isolated_gateway_ignores_an_offer(self):
        """Guards against a lease that moves between isolated gateways."""
        async with self.run_manager("other", is_isolated=True) as (
            manager,
            lease_store,
            _,
        ):
            manager.accept_offer(3, lease_store.revision + 1)
            assert not manager.is_holder
            assert self.read_lease(lease_store)["holder"] == "other"
