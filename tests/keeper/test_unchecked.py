"""Groups whose servers obey any sender: the sender's rules alone count."""

import dataclasses

import pytest

from berylweir.keeper.authority import models
from berylweir.keeper.grants import decisions
from berylweir.keeper.grants import models as grants
from berylweir.objects import schemas
from berylweir.peers import messages as peers
from berylweir.router.admission import decisions as admission
from berylweir.router.admission import models as admission_models
from tests.keeper import world

_SAFE = models.SafetyRules()


def _started(safety: models.SafetyRules = _SAFE) -> world.World:
    run = world.World(
        1,
        checks_grants=False,
        safety=safety,
        rates=(1.0,) * 4,
        server_rates=(1.0,) * 3,
    )
    run.run_until(run.is_served, 6.0)
    run.run(1.0)
    return run


def _send(run: world.World, server: str) -> int:
    """Sends a request to a server from its home; returns the slice."""
    home = run.nodes[run.partition().homes[server]]
    allowed = home.homes[server]
    run.request(home, allowed, allowed.slices[0])
    return allowed.slices[0].slice


def _owners(run: world.World) -> dict[int, str | None]:
    return {
        i: s.server if isinstance(s, schemas.Owned) else None
        for i, s in enumerate(run.partition().slices)
    }


class TestFrozenServer:
    """A server that stops with a request unread in its socket."""

    def test_slice_of_the_request_stays(self):
        """Guards against a second owner while the request can still run."""
        run = _started()
        server = "s-0"
        run.freeze(server)
        pinned = _send(run, server)
        theirs = {i for i, s in _owners(run).items() if s == server}
        run.run(6.0)
        assert _owners(run)[pinned] is None
        assert len(theirs) > 1
        assert all(_owners(run)[i] for i in theirs - {pinned})
        run.thaw(server)
        run.run(0.5)
        assert run.executed == 1
        run.run_until(run.is_served, 3.0)

    def test_all_slices_stay_if_the_home_is_lost_too(self):
        """Guards against a new home that doesn't know what was sent."""
        run = _started()
        server = "s-0"
        home = run.partition().homes[server]
        run.freeze(server)
        _send(run, server)
        theirs = {i for i, s in _owners(run).items() if s == server}
        run.kill(home)
        run.run(8.0)
        assert all(_owners(run)[i] in (None, server) for i in theirs)
        run.thaw(server)
        run.run(0.5)
        assert run.executed == 1
        run.start(home)
        run.run_until(run.is_served, 3.0)

    def test_slices_of_a_lost_server_move(self):
        """Guards against slices that stay though nothing was outstanding."""
        run = _started()
        run.kill_server("s-0")
        run.run(0.1)
        assert not run.is_served()
        run.run_until(run.is_served, 3.0)

    def test_new_instance_frees_the_slice(self):
        """Guards against a slice that stays though its request is gone."""
        run = _started()
        run.freeze("s-0")
        _send(run, "s-0")
        run.run(3.0)
        run.restart_server("s-0")
        run.run_until(run.is_served, 3.0)


def home_is_cut_off(safety: models.SafetyRules) -> None:
    """A home is cut off from all VMs and its server gives up its slices."""
    run = _started(safety)
    server = next(
        s
        for s, vm in sorted(run.partition().homes.items())
        if vm not in (run.holder(), run.standby())
    )
    home = run.nodes[run.partition().homes[server]]
    allowed = home.homes[server]
    for other in (*run.nodes, "platform"):
        if other != home.name:
            run.cut(home.name, other)
    run.run(2.5)
    run.change(
        schemas.BackendServer(
            server, "stock", "a", "127.0.0.1", 1, state="draining"
        )
    )
    for _ in range(40):
        run.run(0.1)
        for node in run.nodes.values():
            for name, present in node.homes.items():
                if node is not home:
                    for served in present.slices:
                        run.request(node, present, served)
                    assert name in run.servers
        for served in allowed.slices:
            run.request(home, allowed, served)


class TestCheckBeforeUse:
    """The check of a home's authority right before each send."""

    def test_home_that_is_cut_off_sends_nothing(self):
        """Guards against a former home that sends to its server."""
        home_is_cut_off(_SAFE)

    def test_check_is_needed(self):
        """Guards against a schedule that would pass without the check."""
        with pytest.raises(world.InvariantError):
            home_is_cut_off(
                dataclasses.replace(_SAFE, check_authority_before_use=False)
            )


class TestUnresolvedPair:
    """A pair that is cut off, seen from the VMs outside."""

    def test_nothing_is_served_outside(self):
        """Guards against two homes that send to one server."""
        run = _started()
        pair = {run.holder(), run.standby()}
        for name in pair:
            run.cut(name, "platform")
            for other in set(run.nodes) - pair:
                run.cut(name, other)
        run.run(8.0)
        assert run.partition().unresolved
        for name in set(run.nodes) - pair:
            node = run.nodes[name]
            assert all(
                h.valid_until_s <= node.task.clock()
                for h in node.homes.values()
            )


class TestRouterReport:
    """Reports of the router on what is outstanding."""

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
        old = decisions.record_router_report(
            home, peers.Drained("s-0", (), (), version=4)
        )
        assert not decisions.is_drained(old, 3)
        new = decisions.record_router_report(
            home, peers.Drained("s-0", (), (), version=5)
        )
        assert decisions.is_drained(new, 3)


class TestAbandonedRequest:
    """A request that its caller gave up while the server was silent."""

    @pytest.mark.parametrize(
        "newer",
        [{"last_idle_s": 3.0}, {"instance": "i-2"}],
    )
    def test_slice_stays_outstanding_until_proof(self, newer):
        """Guards against a move while the server may still run it."""
        limits = admission_models.Limits("books", 3)
        state = admission.new_state(limits)
        allowed = admission_models.Authority("s-0", "i-1", 9.0, {4: 1}, 0.0)
        admission.set_authorities(state, (allowed,), 0.0)
        ticket = admission_models.Ticket(
            1, "s-0", 4, "caller", 4, 5.0, True, "", 0, 0.0
        )
        admission.submit(state, ticket, 1.0, 1.0)
        admission.finish(
            state, "s-0", ticket, admission_models.Ending.TIMED_OUT, 2.0
        )
        admission.set_authorities(
            state, (dataclasses.replace(allowed, last_idle_s=1.5),), 2.5
        )
        assert set(state.servers["s-0"].abandoned) == {4}
        admission.set_authorities(
            state, (dataclasses.replace(allowed, **newer),), 3.5
        )
        assert not state.servers["s-0"].abandoned
