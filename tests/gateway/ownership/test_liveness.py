"""Randomised test that a lease holder goes on moving keys."""

import asyncio
import random

import pytest

from berylweir.gateway.ownership import grant_client
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import tables
from berylweir.platform import grants
from berylweir.platform import objects
from tests.gateway.ownership import holder_rig

_SERVERS = [f"s{n}" for n in range(5)]
# Time in which, after the last disruption, the lease is taken again and the
# grants of an earlier holder expire, in seconds.
_SETTLED_S = grant_expiry.AUTHORITY_S + grant_expiry.max_grant_lifetime_s()
# Time within which a settled holder moves keys, in seconds.
_MOVE_WITHIN_S = 5.0


class TestLiveness:
    """A holder that starts and is disrupted in a random order."""

    @pytest.mark.parametrize("seed", range(40))
    @pytest.mark.parametrize("is_settled", [False, True])
    def test_busy_keys_move_after_any_disruptions(self, seed, is_settled):
        """Guards against a holder that waits for something without a bound."""
        holder_rig.run(self.play(random.Random(seed), is_settled))

    async def play(self, rng: random.Random, is_settled: bool) -> None:
        """Disrupts a holder for some time and then makes the load uneven.

        Args:
            rng: Chooses the disruptions.
            is_settled: Whether the load is uneven only once the holder had time
                to recover from them.
        """
        deployment = holder_rig.Deployment(rng)
        self.prepare_store(deployment, rng)
        async with deployment.run():
            for name in _SERVERS[: rng.randrange(1, len(_SERVERS))]:
                deployment.add_server(name)
            for _ in range(rng.randrange(0, 14)):
                await asyncio.sleep(rng.expovariate(1.0))
                self.disrupt(deployment, rng)
            self.end_disruptions(deployment)
            within_s = 2.0 * _SETTLED_S
            async with asyncio.timeout(within_s):
                while deployment.table is None:
                    await asyncio.sleep(0.1)
            if is_settled:
                await asyncio.sleep(_SETTLED_S)
                within_s = _MOVE_WITHIN_S
            deployment.make_uneven()
            async with asyncio.timeout(within_s):
                while len(deployment.busy_owners()) == 1:
                    await asyncio.sleep(0.1)

    def prepare_store(
        self, deployment: holder_rig.Deployment, rng: random.Random
    ) -> None:
        """Starts with an empty store, or with the state of another holder."""
        if rng.random() < 0.5:
            deployment.announce_no_lease()
            return
        owners = [holder_rig.instance(name) for name in _SERVERS[:3]]
        table = tables.start_moves(
            tables.create(holder_rig.GROUP.name, owners, 1),
            [ownership.Move(0, 99, owners[2])],
        )
        deployment.store.put(table.group, objects.encode_table(table))
        deployment.announce_table()
        deployment.set_lease(rng.choice(["", "b"]), 1)

    def disrupt(
        self, deployment: holder_rig.Deployment, rng: random.Random
    ) -> None:
        """Begins or ends one disruption."""
        server = rng.choice(list(deployment.servers.values()))
        match rng.randrange(9):
            case 0:
                deployment.add_server(rng.choice(_SERVERS))
            case 1:
                server.faults = (grant_client.NoResponse(), None)
            case 2:
                server.faults = (
                    grants.Rejected(403),
                    grant_client.NotSent(),
                    grants.Superseded(),
                )
            case 3:
                server.faults = ()
            case 4:
                deployment.silent_vms = set(rng.sample(["b", "c", "d"], 2))
            case 5:
                deployment.store.failure_ratio = rng.choice([0.0, 0.5, 1.0])
            case 6:
                deployment.dispatcher_crashes = 1
            case 7:
                deployment.dispatcher_losses = 1
            case 8:
                deployment.replace_holder()

    def end_disruptions(self, deployment: holder_rig.Deployment) -> None:
        """Lets everything answer again."""
        deployment.silent_vms = set()
        deployment.store.failure_ratio = 0.0
        for server in deployment.servers.values():
            server.faults = ()
        for name in _SERVERS:
            if name not in deployment.servers:
                deployment.add_server(name)


class TestLostLease:
    """A store that lacks the lease under which its key table was written."""

    def test_keys_get_owners(self):
        """Guards against a holder whose epoch stays below the table's."""
        holder_rig.run(self.play())

    async def play(self) -> None:
        """Waits until the table is written under a higher epoch."""
        deployment = holder_rig.Deployment(random.Random(1))
        owners = [holder_rig.instance(name) for name in _SERVERS[:3]]
        table = tables.create(holder_rig.GROUP.name, owners, 7)
        deployment.store.put(table.group, objects.encode_table(table))
        deployment.announce_table()
        deployment.announce_no_lease()
        async with deployment.run():
            for name in _SERVERS[:3]:
                deployment.add_server(name)
            async with asyncio.timeout(_SETTLED_S):
                while deployment.table.epoch <= 7:
                    await asyncio.sleep(0.1)


class TestReports:
    """A gateway that reports to the holder of the lease."""

    def test_reports_go_on_without_the_dispatcher(self):
        """Guards against a holder that doesn't know the load of a VM."""
        holder_rig.run(self.report())

    async def report(self) -> None:
        """Loses a request for the usage, and awaits further reports."""
        deployment = holder_rig.Deployment(random.Random(1))
        deployment.responding_holder = "b"
        deployment.set_lease("b", 1)
        async with deployment.run():
            await asyncio.sleep(3.0)
            assert deployment.reports > 0
            deployment.dispatcher_losses = 1
            await asyncio.sleep(3.0)
            reports = deployment.reports
            await asyncio.sleep(3.0)
            assert deployment.reports > reports
