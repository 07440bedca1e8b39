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
_ASKED = 3
# How long nobody answers before this VM takes the lease by itself, in seconds.
_ALONE_S = 3.0


class Witnesses:
    """Asks the other gateways before and after a lease passes on."""

    def __init__(self, me: models.Vm, client: peer_task.PeerClient) -> None:
        """Creates witnesses of which none is known.

        Args:
            me: This gateway.
            client: Asks other gateways.
        """
        self._me = me
        self._client = client
        self._vms: Mapping[str, models.Vm] = {}
        self._silent_since_s = float("inf")

    def see_vms(self, vms: Mapping[str, models.Vm]) -> None:
        """Takes the registered gateways."""
        self._vms = vms

    async def have_all_ended(self, mine: models.Lease) -> bool:
        """Returns whether all former holders certainly act no more.

        Not only the last one counts: one before it may still be cut off, and
        renew grants of servers that only it reaches.

        Args:
            mine: The lease of this gateway.
        """
        others = [vm for vm in self._vms.values() if vm.name != self._me.name]
        replies = await asyncio.gather(
            *(
                self._client.ask(vm, peers.ResignLease(mine.epoch))
                for vm in others
            )
        )
        return all(
            isinstance(reply, result.Ok)
            and isinstance(reply.ok_value, peers.GatewayStatus)
            and not reply.ok_value.is_holder
            for reply in replies
        )

    async def hear(self, lease: models.Lease) -> bool:
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
            if vm.name not in (self._me.name, lease.holder)
        ]
        asked = random.sample(others, min(_ASKED, len(others)))
        replies = await asyncio.gather(
            *(self._client.ask(vm, peers.GetStatus()) for vm in asked)
        )
        limit_s = election.heard_limit_s(len(self._vms))
        answered = [r.ok_value for r in replies if isinstance(r, result.Ok)]
        heard = sum(
            isinstance(s, peers.GatewayStatus)
            and s.heard_s is not None
            and s.heard_s < limit_s
            for s in answered
        )
        if asked and not answered:
            # Nobody answers: this VM is cut off, or all others are gone.
            self._silent_since_s = min(self._silent_since_s, clock.boot_s())
            return clock.boot_s() - self._silent_since_s < _ALONE_S
        self._silent_since_s = float("inf")
        return 2 * heard > len(answered)
