"""Tests of groups whose servers don't check grants.

Only the rules of the sender keep two servers from running one slice there.
"""

import dataclasses

import pytest

from berylweir.keeper.authority import models
from berylweir.keeper.grants import decisions
from berylweir.keeper.grants import models as grants
from berylweir.objects import schemas
from berylweir.peers import messages as peers
from berylweir.router.admission import decisions as admission
from berylweir.router.admission import models as admission_models
from tests.keeper import simulation as simulator

_SAFE = models.SafetyRules()


def _start_simulation(
    safety: models.SafetyRules = _SAFE,
) -> simulator.Simulation:
    simulation = simulator.Simulation(
        1,
        checks_grants=False,
        safety=safety,
        rates=(1.0,) * 4,
        server_rates=(1.0,) * 3,
    )
    simulation.run_until(simulation.is_served, 6.0)
    simulation.run(1.0)
    return simulation


def _send_request(simulation: simulator.Simulation, server: str) -> int:
    """Sends a request to a server from its home; returns the slice."""
    home = simulation.nodes[simulation.partition().homes[server]]
    home_server = home.home_servers[server]
    simulation.send_request(home, home_server, home_server.slices[0])
    return home_server.slices[0].slice


def _owner_by_slice(simulation: simulator.Simulation) -> dict[int, str | None]:
    return {
        i: s.server if isinstance(s, schemas.Owned) else None
        for i, s in enumerate(simulation.partition().slices)
    }


class TestFrozenServer:
    """A server that freezes with an unread request in its socket."""

    def test_slice_of_the_request_stays(self):
        """Guards against a second owner while the request can still run."""
        simulation = _start_simulation()
        server = "s-0"
        simulation.freeze(server)
        affected_slice = _send_request(simulation, server)
        own_slices = {
            i for i, s in _owner_by_slice(simulation).items() if s == server
        }
        simulation.run(6.0)
        assert _owner_by_slice(simulation)[affected_slice] is None
        assert len(own_slices) > 1
        assert all(
            _owner_by_slice(simulation)[i]
            for i in own_slices - {affected_slice}
        )
        simulation.thaw(server)
        simulation.run(0.5)
        assert simulation.executed_requests == 1
        simulation.run_until(simulation.is_served, 3.0)

    def test_all_slices_stay_if_the_home_is_lost_too(self):
        """Guards against a new home that doesn't know the sent requests."""
        simulation = _start_simulation()
        server = "s-0"
        home = simulation.partition().homes[server]
        simulation.freeze(server)
        _send_request(simulation, server)
        own_slices = {
            i for i, s in _owner_by_slice(simulation).items() if s == server
        }
        simulation.kill(home)
        simulation.run(8.0)
        assert all(
            _owner_by_slice(simulation)[i] in (None, server) for i in own_slices
        )
        simulation.thaw(server)
        simulation.run(0.5)
        assert simulation.executed_requests == 1
        simulation.start(home)
        simulation.run_until(simulation.is_served, 3.0)

    def test_slices_of_a_lost_server_move(self):
        """Guards against slices that stay with no request outstanding."""
        simulation = _start_simulation()
        simulation.kill_server("s-0")
        simulation.run(0.1)
        assert not simulation.is_served()
        simulation.run_until(simulation.is_served, 3.0)

    def test_new_instance_frees_the_slice(self):
        """Guards against a slice that stays after its request was lost."""
        simulation = _start_simulation()
        simulation.freeze("s-0")
        _send_request(simulation, "s-0")
        simulation.run(3.0)
        simulation.restart_server("s-0")
        simulation.run_until(simulation.is_served, 3.0)


def home_is_cut_off(safety: models.SafetyRules) -> None:
    """A home is cut off from all VMs, and its server is drained."""
    simulation = _start_simulation(safety)
    server = next(
        s
        for s, vm in sorted(simulation.partition().homes.items())
        if vm not in (simulation.holder_vm(), simulation.standby_vm())
    )
    home = simulation.nodes[simulation.partition().homes[server]]
    home_server = home.home_servers[server]
    for other in (*simulation.nodes, "platform"):
        if other != home.name:
            simulation.cut(home.name, other)
    simulation.run(2.5)
    simulation.update_configuration(
        schemas.BackendServer(
            server, "stock", "a", "127.0.0.1", 1, state="draining"
        )
    )
    for _ in range(40):
        simulation.run(0.1)
        for node in simulation.nodes.values():
            for name, reachable_server in node.home_servers.items():
                if node is not home:
                    for served_slice in reachable_server.slices:
                        simulation.send_request(
                            node, reachable_server, served_slice
                        )
                    assert name in simulation.servers
        for served_slice in home_server.slices:
            simulation.send_request(home, home_server, served_slice)


class TestCheckBeforeUse:
    """The check of a home's authority right before each send."""

    def test_home_that_is_cut_off_sends_nothing(self):
        """Guards against a former home that sends to its server."""
        home_is_cut_off(_SAFE)

    def test_check_is_needed(self):
        """Guards against a schedule that would pass without the check."""
        with pytest.raises(simulator.InvariantError):
            home_is_cut_off(
                dataclasses.replace(_SAFE, check_authority_before_use=False)
            )


class TestUnresolvedPair:
    """A pair that is cut off from all other VMs."""

    def test_nothing_is_served_outside(self):
        """Guards against two homes that send to one server."""
        simulation = _start_simulation()
        pair = {simulation.holder_vm(), simulation.standby_vm()}
        for name in pair:
            simulation.cut(name, "platform")
            for other in set(simulation.nodes) - pair:
                simulation.cut(name, other)
        simulation.run(8.0)
        assert simulation.partition().unresolved
        for name in set(simulation.nodes) - pair:
            node = simulation.nodes[name]
            assert all(
                h.valid_until_s <= node.task.clock()
                for h in node.home_servers.values()
            )


class TestRouterReport:
    """Reports of the router on outstanding requests."""

    def test_report_on_an_older_object_proves_nothing(self):
        """Guards against a report from before the slice was served."""
        server = schemas.BackendServer("s-0", "stock", "a", "127.0.0.1", 1)
        home = grants.HomeState(
            server,
            "stock.0",
            5,
            checks_grants=False,
            is_keyed=True,
            became_home_s=0.0,
            became_home_wall_s=0.0,
            moving_slices=((3, 5),),
        )
        home_with_older_report = decisions.record_router_report(
            home, peers.Drained("s-0", (), (), version=4)
        )
        assert not decisions.is_drained(home_with_older_report, 3)
        home_with_newer_report = decisions.record_router_report(
            home, peers.Drained("s-0", (), (), version=5)
        )
        assert decisions.is_drained(home_with_newer_report, 3)


class TestAbandonedRequest:
    """A request that its caller abandoned while the server was silent."""

    @pytest.mark.parametrize(
        "proof",
        [{"last_idle_s": 3.0}, {"instance": "i-2"}],
    )
    def test_slice_stays_outstanding_until_proof(self, proof):
        """Guards against a move while the server may still run it."""
        limits = admission_models.Limits("books", 3)
        state = admission.new_state(limits)
        authority = admission_models.Authority("s-0", "i-1", 9.0, {4: 1}, 0.0)
        admission.set_authorities(state, (authority,), 0.0)
        ticket = admission_models.Ticket(
            1, "s-0", 4, "caller", 4, 5.0, True, "", 0, 0.0
        )
        admission.submit(state, ticket, 1.0, 1.0)
        admission.finish(
            state, "s-0", ticket, admission_models.Ending.TIMED_OUT, 2.0
        )
        admission.set_authorities(
            state, (dataclasses.replace(authority, last_idle_s=1.5),), 2.5
        )
        assert set(state.servers["s-0"].abandoned) == {4}
        admission.set_authorities(
            state, (dataclasses.replace(authority, **proof),), 3.5
        )
        assert not state.servers["s-0"].abandoned
