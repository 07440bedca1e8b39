"""Removes the objects of VMs that are gone for good.

Budgets and limits are divided among the registered VMs, and after a restoration
of the store a holder waits for those that don't respond.
"""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping
import logging

import result

from berylweir.gateway import clock
from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.peers import exceptions
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.peers import task as peer_task
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import store
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
# Time between two checks of all VMs, in seconds.
_CHECK_INTERVAL_S = 60.0
# Time without a response after which a VM counts as gone, in seconds. One that
# is only cut off registers again when it finds its object missing.
_GONE_AFTER_S = 600.0
_Reply = result.Result[peers.Reply, exceptions.PeerFailure]
# Number of VMs that are asked at the same time.
_ASKED_AT_ONCE = 8


class DepartedVms:
    """Checks all VMs while this gateway holds the lease."""

    def __init__(
        self,
        local_vm: models.Vm,
        client: store.StoreClient,
        peer_client: peer_task.PeerClient,
        metrics: counters.Counters,
        *,
        check_interval_s: float = _CHECK_INTERVAL_S,
        gone_after_s: float = _GONE_AFTER_S,
    ) -> None:
        """Creates a task that knows neither VMs nor the lease.

        Args:
            local_vm: VM of this gateway.
            client: Client of the store for the exclusive use of this task.
            peer_client: Client for requests to other gateways.
            metrics: Counters.
            check_interval_s: Time between two checks, in seconds.
            gone_after_s: Time without a response after which a VM counts as
                gone, in seconds.
        """
        self._local_vm = local_vm
        self._client = client
        self._peer_client = peer_client
        self._metrics = metrics
        self._check_interval_s = check_interval_s
        self._gone_after_s = gone_after_s
        self._vms: Mapping[str, models.Vm] = {}
        self._lease: models.Lease | None = None
        # Runs of gateways that don't respond, by name and incarnation, with
        # the time of the first failure on the boot clock, in seconds.
        self._silent_since_s: dict[tuple[str, str], float] = {}

    def on_store_update(self, message: messages.StoreUpdate) -> None:
        """Remembers the registered gateways and the lease."""
        match message:
            case messages.VmsChanged(vms):
                self._vms = vms
            case messages.LeaseChanged(lease):
                self._lease = lease
                self._silent_since_s.clear()
            case _:
                pass

    async def run(self, context: supervision.ChildContext) -> None:
        """Checks at an interval until the supervisor stops the child."""
        context.stack.callback(self._client.close)
        context.report_ready()
        while not context.stop_event.is_set():
            try:
                async with asyncio.timeout(self._check_interval_s):
                    await context.stop_event.wait()
            except TimeoutError:
                await self._check()

    @property
    def _is_holder(self) -> bool:
        return (
            self._lease is not None
            and self._lease.holder == self._local_vm.name
            and self._lease.incarnation == self._local_vm.incarnation
        )

    async def _check(self) -> None:
        """Asks all VMs, and removes those that are silent for long."""
        if not self._is_holder:
            return
        others = [
            vm for vm in self._vms.values() if vm.name != self._local_vm.name
        ]
        for first in range(0, len(others), _ASKED_AT_ONCE):
            asked = others[first : first + _ASKED_AT_ONCE]
            replies = await asyncio.gather(
                *(self._peer_client.ask(vm, peers.GetStatus()) for vm in asked)
            )
            self._record(zip(asked, replies, strict=True), clock.boot_s())
        due_s = clock.boot_s() - self._gone_after_s
        for vm in others:
            since_s = self._silent_since_s.get((vm.name, vm.incarnation))
            if since_s is not None and since_s <= due_s and self._is_holder:
                await self._remove(vm)
        self._client.close()

    def _record(
        self,
        replies: Iterable[tuple[models.Vm, _Reply]],
        now_s: float,
    ) -> None:
        for vm, reply in replies:
            run = (vm.name, vm.incarnation)
            if isinstance(reply, result.Ok):
                self._silent_since_s.pop(run, None)
            else:
                self._silent_since_s.setdefault(run, now_s)

    async def _remove(self, vm: models.Vm) -> None:
        """Removes the object of a VM, unless it has registered again."""
        outcome = await self._client.delete(
            objects.GATEWAY_KIND,
            objects.VM_NAME_PREFIX + vm.name,
            vm.registered_revision,
        )
        match outcome:
            case result.Ok(_):
                self._silent_since_s.pop((vm.name, vm.incarnation), None)
                self._metrics.count("vms.removed")
                _LOGGER.warning(
                    "VM removed",
                    extra={"vm": vm.name, "silent_s": self._gone_after_s},
                )
            case result.Err(failure):
                _LOGGER.warning(
                    "VM not removed", extra={"vm": vm.name, "failure": failure}
                )
