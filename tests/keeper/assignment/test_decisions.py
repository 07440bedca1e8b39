"""Tests of the placement of slices, homes and standbys."""

from hypothesis import given
from hypothesis import strategies as st

from berylweir.keeper.assignment import decisions
from berylweir.keeper.authority import models
from berylweir.objects import schemas

_GROUP = schemas.ServerGroup("g", schemas.Keyed(slices=32))


def _server(index: int, state: str = "in_service") -> schemas.BackendServer:
    return schemas.BackendServer(
        f"s-{index}",
        "g",
        "abc"[index % 3],
        "127.0.0.1",
        1000 + index,
        state=state,
    )


def _member(name: str, zone: str) -> models.Member:
    return models.Member(schemas.Incarnation(name, "1"), zone, 0.0)


def _view(
    servers: int = 6, zones_out_of_service: frozenset[str] = frozenset()
) -> models.ClusterView:
    return models.ClusterView(
        _GROUP,
        tuple(_server(i) for i in range(servers)),
        {
            z: schemas.AvailabilityZone(
                z, in_service=z not in zones_out_of_service
            )
            for z in "abc"
        },
        {f"vm-{i}": _member(f"vm-{i}", "abc"[i % 3]) for i in range(6)},
    )


def _plan_until_stable(
    slices: tuple[schemas.SliceState, ...],
    view: models.ClusterView,
    lost: frozenset[str] = frozenset(),
    loads: tuple[float, ...] = (),
) -> tuple[tuple[schemas.SliceState, ...], int]:
    """Returns the slices once plans no longer change them, and the moves made.

    Each planned move is finished before the next plan.
    """
    move_count = 0
    for token in range(1, 200):
        planned_slices = decisions.plan_moves(slices, view, lost, token, loads)
        moving_slices = frozenset(
            i
            for i, s in enumerate(planned_slices)
            if isinstance(s, schemas.Moving)
        )
        move_count += len(moving_slices)
        updated_slices = decisions.finish_moves(
            planned_slices, 0, moving_slices, token
        )
        if updated_slices == slices:
            return slices, move_count
        slices = updated_slices
    raise AssertionError("plans still change the slices after 199 rounds")


def _counts(slices: tuple[schemas.SliceState, ...]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for state in slices:
        assert isinstance(state, schemas.Owned)
        counts[state.server] = counts.get(state.server, 0) + 1
    return counts


_EMPTY: tuple[schemas.SliceState, ...] = (schemas.Unassigned(),) * 32


class TestPlanMoves:
    """Choice of the owners and moves of slices."""

    def test_first_plan_is_even(self):
        """Guards against a new group whose slices are unevenly spread."""
        slices, moves = _plan_until_stable(_EMPTY, _view())
        assert moves == 0
        assert (
            max(_counts(slices).values()) - min(_counts(slices).values()) <= 1
        )

    def test_only_slices_of_a_lost_server_move(self):
        """Guards against a loss that moves slices of other servers."""
        slices, _ = _plan_until_stable(_EMPTY, _view())
        planned_slices = decisions.plan_moves(
            slices, _view(), frozenset({"s-0"}), 9
        )
        for before, after in zip(slices, planned_slices, strict=True):
            if before.server == "s-0":
                assert isinstance(after, schemas.Moving)
            else:
                assert after == before

    def test_zone_out_of_service_keeps_no_slices(self):
        """Guards against slices in a zone that an operator took out."""
        slices, _ = _plan_until_stable(_EMPTY, _view())
        slices, _ = _plan_until_stable(
            slices, _view(zones_out_of_service=frozenset("a"))
        )
        assert not {"s-0", "s-3"} & _counts(slices).keys()

    def test_returning_server_fills_up_in_steps(self):
        """Guards against a returning server that gets all slices at once."""
        slices, _ = _plan_until_stable(_EMPTY, _view(5))
        planned_slices = decisions.plan_moves(slices, _view(6), frozenset(), 9)
        moving_slices = [
            s for s in planned_slices if isinstance(s, schemas.Moving)
        ]
        assert len(moving_slices) == decisions.MAX_REBALANCING_MOVES
        replanned_slices = decisions.plan_moves(
            planned_slices, _view(6), frozenset(), 10
        )
        assert replanned_slices == planned_slices

    def test_plan_is_unchanged_without_servers(self):
        """Guards against a crash when all servers are lost."""
        lost = frozenset(f"s-{i}" for i in range(6))
        assert decisions.plan_moves(_EMPTY, _view(), lost, 1) == _EMPTY

    def test_other_slices_leave_the_server_of_a_hot_slice(self):
        """Guards against a hot slice on a server with as many other slices."""
        slices, _ = _plan_until_stable(_EMPTY, _view())
        loads = tuple(100.0 if i == 0 else 5.0 for i in range(32))
        final_slices, moves = _plan_until_stable(slices, _view(), loads=loads)
        hot_slice = final_slices[0]
        assert isinstance(hot_slice, schemas.Owned)
        assert (
            _counts(final_slices)[hot_slice.server]
            < _counts(slices)[hot_slice.server]
        )
        assert moves <= 12

    @given(
        st.lists(st.floats(0, 100), min_size=32, max_size=32),
        st.frozensets(
            st.sampled_from([f"s-{i}" for i in range(6)]), max_size=5
        ),
    )
    def test_plans_become_stable_with_live_owners(
        self, loads: list[float], lost: frozenset[str]
    ):
        """Guards against slices that move back and forth endlessly."""
        slices, _ = _plan_until_stable(_EMPTY, _view())
        final_slices, _ = _plan_until_stable(
            slices, _view(), lost, tuple(loads)
        )
        assert not lost & _counts(final_slices).keys()


class TestChooseHomes:
    """Choice of the home VMs of backend servers."""

    def test_home_is_in_the_zone_of_the_server(self):
        """Guards against servers whose home a network partition cuts off."""
        view = _view()
        homes = decisions.choose_homes({}, view, frozenset(), frozenset())
        for server in view.servers:
            member = view.members[homes[server.name]]
            assert member.availability_zone == server.availability_zone

    def test_lost_home_is_kept_while_its_delegation_may_run(self):
        """Guards against two VMs that act as home of one server."""
        view = _view()
        homes = decisions.choose_homes({}, view, frozenset(), frozenset())
        lost = frozenset({homes["s-0"]})
        homes_during_delegation = decisions.choose_homes(
            homes, view, lost, lost
        )
        assert homes_during_delegation == homes
        homes_after_delegation = decisions.choose_homes(
            homes, view, lost, frozenset()
        )
        assert homes_after_delegation["s-0"] != homes["s-0"]
        assert homes_after_delegation["s-1"] == homes["s-1"]


class TestChooseStandby:
    """Choice of the standby of a partition."""

    def test_standby_follows_the_setting(self):
        """Guards against a standby in the wrong zone.

        By default it is in another zone than the holder, so that the loss of
        one zone doesn't end both. With `standby_zone="same"` a network
        partition between zones doesn't separate them.
        """
        candidates = _view().members
        default_standby = decisions.choose_standby(
            "p", "a", candidates, schemas.Keyed()
        )
        same_zone_standby = decisions.choose_standby(
            "p", "a", candidates, schemas.Keyed(standby_zone="same")
        )
        assert default_standby is not None and same_zone_standby is not None
        assert candidates[default_standby.vm].availability_zone != "a"
        assert candidates[same_zone_standby.vm].availability_zone == "a"
