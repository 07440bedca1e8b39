"""Tests of how grants and moves are carried out."""

import asyncio
import dataclasses

from berylweir.gateway import clock
from berylweir.gateway import models
from berylweir.gateway.ownership import grant_client
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import granting
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import tables
from berylweir.observability import counters
from berylweir.platform import grants

_INSTANCES = [
    models.ServerInstance(name, 1) for name in ("from", "target", "next")
]
_PREVIOUS_KEEPER_ACTS_S = 0.5


class Server:
    """Takes orders for some keys, and no others."""

    address = ("127.0.0.1", 1)

    def __init__(self, refused: range) -> None:
        self._refused = refused
        self.granted_s: dict[int, float] = {}

    async def send(self, order: grants.Command) -> grant_client.SendOutcome:
        """Answers an order at once."""
        await asyncio.sleep(0)
        if order.first in self._refused:
            return grant_client.NotSent()
        if isinstance(order, grants.Grant):
            self.granted_s.setdefault(order.first, clock.boot_s())
        return grants.Accepted("warm")

    def close(self) -> None:
        """Does nothing."""


class TestGranter:
    """Moves that a former keeper left under way."""

    async def test_keys_that_a_former_keeper_may_grant_are_waited_for(self):
        """Guards against a target that a former keeper still grants keys."""
        source, target, later = _INSTANCES
        table = tables.create("g", [source, target], 1)
        moved = range(0, 100)
        inherited = tables.start_moves(table, [ownership.Move(0, 99, target)])
        inherited = tables.raise_tokens(inherited, 2)
        known = {"g": inherited}
        servers = {
            source: Server(range(0)),
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
        granter._clients.update(servers)
        started_s = clock.boot_s()
        granter.start_epoch(started_s + _PREVIOUS_KEEPER_ACTS_S)
        granter.apply_table(inherited)
        await asyncio.sleep(0.3)
        # The target has accepted its other keys, but not those that move.
        assert list(servers[target].granted_s) == [models.KEY_COUNT // 2]
        moved_again = tables.start_moves(
            inherited, [ownership.Move(0, 99, later)]
        )
        known["g"] = dataclasses.replace(moved_again, revision=2)
        granter.apply_table(known["g"])
        async with asyncio.timeout(30):
            while 0 not in servers[later].granted_s:
                await asyncio.sleep(0.01)
        granter.close()
        waited_s = servers[later].granted_s[0] - started_s
        assert (
            waited_s >= _PREVIOUS_KEEPER_ACTS_S + grant_expiry.GRANT_DURATION_S
        )
