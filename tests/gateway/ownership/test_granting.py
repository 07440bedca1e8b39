"""Tests of how grants and moves are carried out."""

import asyncio
import dataclasses

from berylweir.gateway import clock
from berylweir.gateway import models
from berylweir.gateway.ownership import courier
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import granting
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import tables
from berylweir.observability import counters
from berylweir.platform import grants

_LIVES = [models.ServerInstance(name, 1) for name in ("from", "target", "next")]
_FORMER_ACTS_S = 0.5


class Server:
    """Takes orders for some keys, and no others."""

    address = ("127.0.0.1", 1)

    def __init__(self, refused: range) -> None:
        self._refused = refused
        self.granted_s: dict[int, float] = {}

    async def deliver(self, order: grants.Command) -> courier.Delivery:
        """Answers an order at once."""
        await asyncio.sleep(0)
        if order.first in self._refused:
            return courier.NotDelivered()
        if isinstance(order, grants.Grant):
            self.granted_s.setdefault(order.first, clock.boot_s())
        return grants.Accepted("warm")

    def close(self) -> None:
        """Does nothing."""


class TestGranter:
    """Moves that a former keeper left under way."""

    async def test_keys_that_a_former_keeper_may_grant_are_waited_for(self):
        """Guards against a target that a former keeper still grants keys."""
        start, target, later = _LIVES
        table = tables.create("g", [start, target], 1)
        moved = range(0, 100)
        first = tables.move(table, [ownership.Move(0, 99, target)])
        first = tables.raise_tokens(first, 2)
        known = {"g": first}
        servers = {
            start: Server(range(0)),
            target: Server(moved),
            later: Server(range(0)),
        }
        granter = granting.Granter(
            known.get,
            lambda: True,
            lambda: None,
            lambda: None,
            lambda: None,
            counters.Counters(),
        )
        granter._couriers.update(servers)
        began_s = clock.boot_s()
        granter.begin(began_s + _FORMER_ACTS_S)
        granter.follow(first)
        await asyncio.sleep(0.3)
        # The target has accepted its other keys, but not those that move.
        assert list(servers[target].granted_s) == [models.KEY_COUNT // 2]
        again = tables.move(first, [ownership.Move(0, 99, later)])
        known["g"] = dataclasses.replace(again, revision=2)
        granter.follow(known["g"])
        async with asyncio.timeout(30):
            while 0 not in servers[later].granted_s:
                await asyncio.sleep(0.01)
        granter.close()
        waited_s = servers[later].granted_s[0] - began_s
        assert waited_s >= _FORMER_ACTS_S + grant_expiry.GRANT_DURATION_S
