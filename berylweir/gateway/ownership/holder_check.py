"""What the other gateways say of the holders of the lease."""

import asyncio
from collections.abc import Mapping
import random

import result

from berylweir.gateway import clock
from berylweir.gateway import models
from berylweir.gateway.ownership import election
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.peers import task as peer_task

# Other gateways that are asked whether they hear the holder.
_MAX_PEERS_ASKED = 3
# How long nobody answers before this VM takes the lease by itself, in seconds.
_ISOLATION_TIMEOUT_S = 3.0


class HolderCheck:
    """Asks the other gateways before and after a lease passes on."""

    def __init__(
        self, local_vm: models.Vm, client: peer_task.PeerClient
    ) -> None:
        """Creates witnesses of which none is known.

        Args:
            local_vm: This gateway.
            client: Asks other gateways.
        """
        self._local_vm = local_vm
        self._client = client
        self._vms: Mapping[str, models.Vm] = {}
        self._no_replies_since_s = float("inf")

    def update_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Takes the registered gateways."""
        self._vms = vms

    async def ask_all_to_resign(self, own_lease: models.Lease) -> bool:
        """Returns whether all former holders certainly act no more.

        Not only the last one counts: one before it may still be cut off, and
        renew grants of servers that only it reaches.

        Args:
            own_lease: The lease of this gateway.
        """
        others = [
            vm for vm in self._vms.values() if vm.name != self._local_vm.name
        ]
        replies = await asyncio.gather(
            *(
                self._client.ask(vm, peers.ResignLease(own_lease.epoch))
                for vm in others
            )
        )
        return all(
            isinstance(reply, result.Ok)
            and isinstance(reply.ok_value, peers.GatewayStatus)
            and not reply.ok_value.is_holder
            for reply in replies
        )

    async def should_defer_takeover(self, lease: models.Lease) -> bool:
        """Returns whether others hear a holder that this VM doesn't.

        Then this VM is cut off, and would only take the lease from a holder
        that does its work.
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
            # Nobody answers: this VM is cut off, or all others are gone.
            self._no_replies_since_s = min(
                self._no_replies_since_s, clock.boot_s()
            )
            return (
                clock.boot_s() - self._no_replies_since_s < _ISOLATION_TIMEOUT_S
            )
        self._no_replies_since_s = float("inf")
        return 2 * reachable_count > len(statuses)
