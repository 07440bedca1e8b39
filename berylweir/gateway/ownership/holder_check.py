"""Asks the other gateways about the lease holder and its predecessors."""

import asyncio
from collections.abc import Collection
from collections.abc import Mapping
import dataclasses
import random

import result

from berylweir.gateway import clock
from berylweir.gateway import models
from berylweir.gateway.ownership import election
from berylweir.gateway.ownership import table_order
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.peers import task as peer_task

# Number of other gateways that are asked whether the holder responds to them.
_MAX_PEERS_ASKED = 3
# Time without a response from any other gateway after which this one takes the
# lease although it may be the one that is cut off, in seconds.
_ISOLATION_TIMEOUT_S = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class GatewayStatuses:
    """Status of the other gateways.

    Attributes:
        replies: The gateways that responded, with their status.
        are_complete: Whether all of them responded.
    """

    replies: tuple[tuple[models.Vm, peers.GatewayStatus], ...]
    are_complete: bool

    def vms_with_newer_tables(
        self, known: table_order.Orders
    ) -> list[models.Vm]:
        """Returns the gateways with the newest state of any key table.

        Args:
            known: Order of each table that is already known, by name.
        """
        return table_order.vms_with_newer_tables(self.replies, known)


class HolderCheck:
    """Checks with the other gateways before and after a takeover."""

    def __init__(
        self, local_vm: models.Vm, client: peer_task.PeerClient
    ) -> None:
        """Creates the check without any other gateways.

        Args:
            local_vm: VM of this gateway.
            client: Client for requests to other gateways.
        """
        self._local_vm = local_vm
        self._client = client
        self._vms: Mapping[str, models.Vm] = {}
        self._no_replies_since_s = float("inf")

    @property
    def registered(self) -> Collection[str]:
        """Names of the VMs of all registered gateways."""
        return self._vms.keys()

    def update_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Replaces the registered gateways.

        Args:
            vms: All of them by the name of their VM.
        """
        self._vms = vms

    async def ask_all_to_resign(self, own_lease: models.Lease) -> bool:
        """Announces the new lease and returns whether no other holder is left.

        All gateways are asked, not only the previous holder: an earlier holder
        may be cut off and still renew grants of servers that only it reaches.

        Args:
            own_lease: The lease that this gateway took.

        Returns:
            Whether every other gateway responded that it isn't a holder.
        """
        statuses = await self.collect_statuses(own_lease)
        return statuses.are_complete and not any(
            status.is_holder for _, status in statuses.replies
        )

    async def collect_statuses(
        self, own_lease: models.Lease, names: Collection[str] | None = None
    ) -> GatewayStatuses:
        """Asks other gateways to resign and returns their status.

        Args:
            own_lease: The lease that this gateway took.
            names: Names of the VMs to ask; None for all registered ones.
        """
        others = [
            vm
            for vm in self._vms.values()
            if vm.name != self._local_vm.name
            and (names is None or vm.name in names)
        ]
        request = peers.ResignLease(
            own_lease.epoch, own_lease.holder, own_lease.incarnation
        )
        replies = await asyncio.gather(
            *(self._client.ask(vm, request) for vm in others)
        )
        received = tuple(
            (vm, reply.ok_value)
            for vm, reply in zip(others, replies, strict=True)
            if isinstance(reply, result.Ok)
            and isinstance(reply.ok_value, peers.GatewayStatus)
        )
        return GatewayStatuses(received, len(received) == len(others))

    async def should_defer_takeover(self, lease: models.Lease) -> bool:
        """Returns whether the holder is probably alive, and this VM cut off.

        That is so if the holder responds to most of the gateways that reply,
        or, for a limited time, if none of those asked replies. A takeover would
        then replace a holder that works.

        Args:
            lease: The lease of the holder that doesn't respond to this VM.
        """
        holder = self._vms.get(lease.holder)
        if holder is None or holder.incarnation != lease.incarnation:
            return False
        others = [
            vm
            for vm in self._vms.values()
            if vm.name not in (self._local_vm.name, lease.holder)
        ]
        sampled = random.sample(others, min(_MAX_PEERS_ASKED, len(others)))
        replies = await asyncio.gather(
            *(self._client.ask(vm, peers.GetStatus()) for vm in sampled)
        )
        max_age_s = election.max_response_age_s(len(self._vms))
        statuses = [
            reply.ok_value for reply in replies if isinstance(reply, result.Ok)
        ]
        reachable_count = sum(
            isinstance(status, peers.GatewayStatus)
            and status.heard_s is not None
            and status.heard_s < max_age_s
            for status in statuses
        )
        if sampled and not statuses:
            # This VM is cut off, or all the gateways that were asked are down.
            self._no_replies_since_s = min(
                self._no_replies_since_s, clock.boot_s()
            )
            return (
                clock.boot_s() - self._no_replies_since_s < _ISOLATION_TIMEOUT_S
            )
        self._no_replies_since_s = float("inf")
        return 2 * reachable_count > len(statuses)
