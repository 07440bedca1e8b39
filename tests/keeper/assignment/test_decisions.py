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
    servers: int = 6, zones_out: frozenset[str] = frozenset()
) -> models.ClusterView:
    return models.ClusterView(
        _GROUP,
        tuple(_server(i) for i in range(servers)),
        {
            z: schemas.AvailabilityZone(z, in_service=z not in zones_out)
            for z in "abc"
        },
        {f"vm-{i}": _member(f"vm-{i}", "abc"[i % 3]) for i in range(6)},
    )


def _settle(
    slices: tuple[schemas.SliceState, ...],
    view: models.ClusterView,
    lost: frozenset[str] = frozenset(),
    loads: tuple[float, ...] = (),
) -> tuple[tuple[schemas.SliceState, ...], int]:
    """Plans and finishes moves until nothing changes; counts the moves."""
    moves = 0
    for token in range(1, 200):
        planned = decisions.plan_moves(slices, view, lost, token, loads)
        moving = frozenset(
            i for i, s in enumerate(planned) if isinstance(s, schemas.Moving)
        )
        moves += len(moving)
        finished = decisions.finish_moves(planned, 0, moving, token)
        if finished == slices:
            return slices, moves
        slices = finished
    raise AssertionError("the plan never settles")


def _counts(slices: tuple[schemas.SliceState, ...]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for state in slices:
        assert isinstance(state, schemas.Owned)
        counts[state.server] = counts.get(state.server, 0) + 1
    return counts


_EMPTY: tuple[schemas.SliceState, ...] = (schemas.Unassigned(),) * 32


class TestPlanMoves:
    """Owners and moves of slices."""

    def test_first_plan_is_even(self):
        """Guards against a fresh group that starts out of balance."""
        slices, moves = _settle(_EMPTY, _view())
        assert moves == 0
        assert (
            max(_counts(slices).values()) - min(_counts(slices).values()) <= 1
        )

    def test_only_slices_of_a_lost_server_move(self):
        """Guards against a loss that disturbs the keys of other servers."""
        slices, _ = _settle(_EMPTY, _view())
        planned = decisions.plan_moves(slices, _view(), frozenset({"s-0"}), 9)
        for before, after in zip(slices, planned, strict=True):
            if before.server == "s-0":
                assert isinstance(after, schemas.Moving)
            else:
                assert after == before

    def test_zone_out_leaves_it_without_slices(self):
        """Guards against new work in a zone that operators took out."""
        slices, _ = _settle(_EMPTY, _view())
        slices, _ = _settle(slices, _view(zones_out=frozenset("a")))
        assert not {"s-0", "s-3"} & _counts(slices).keys()

    def test_returning_server_fills_up_in_steps(self):
        """Guards against a cold server that gets its whole share at once."""
        slices, _ = _settle(_EMPTY, _view(5))
        planned = decisions.plan_moves(slices, _view(6), frozenset(), 9)
        moving = [s for s in planned if isinstance(s, schemas.Moving)]
        assert len(moving) == decisions.MAX_REBALANCING_MOVES
        again = decisions.plan_moves(planned, _view(6), frozenset(), 10)
        assert again == planned

    def test_no_server_keeps_the_plan(self):
        """Guards against a crash when all servers are lost."""
        lost = frozenset(f"s-{i}" for i in range(6))
        assert decisions.plan_moves(_EMPTY, _view(), lost, 1) == _EMPTY

    def test_hot_slice_pushes_others_away(self):
        """Guards against a hot slice that shares its server's slots."""
        slices, _ = _settle(_EMPTY, _view())
        loads = tuple(100.0 if i == 0 else 5.0 for i in range(32))
        settled, moves = _settle(slices, _view(), loads=loads)
        hot = settled[0]
        assert isinstance(hot, schemas.Owned)
        assert _counts(settled)[hot.server] < _counts(slices)[hot.server]
        assert moves <= 12

    @given(
        st.lists(st.floats(0, 100), min_size=32, max_size=32),
        st.frozensets(
            st.sampled_from([f"s-{i}" for i in range(6)]), max_size=5
        ),
    )
    def test_every_plan_settles_with_one_live_owner_a_slice(
        self, loads: list[float], lost: frozenset[str]
    ):
        """Guards against slices that move back and forth for ever."""
        slices, _ = _settle(_EMPTY, _view())
        settled, _ = _settle(slices, _view(), lost, tuple(loads))
        assert not lost & _counts(settled).keys()


class TestChooseHomes:
    """Home VMs of backend servers."""

    def test_home_is_in_the_zone_of_the_server(self):
        """Guards against a zone that is cut off from its own servers."""
        view = _view()
        homes = decisions.choose_homes({}, view, frozenset(), frozenset())
        for server in view.servers:
            member = view.members[homes[server.name]]
            assert member.availability_zone == server.availability_zone

    def test_lost_home_is_kept_while_its_delegation_may_run(self):
        """Guards against two homes of one server."""
        view = _view()
        homes = decisions.choose_homes({}, view, frozenset(), frozenset())
        lost = frozenset({homes["s-0"]})
        held = decisions.choose_homes(homes, view, lost, lost)
        assert held == homes
        freed = decisions.choose_homes(homes, view, lost, frozenset())
        assert freed["s-0"] != homes["s-0"]
        assert freed["s-1"] == homes["s-1"]


class TestPickStandby:
    """Standby of a partition."""

    def test_standby_follows_the_setting(self):
        """Guards against a pair that one zone loss ends, or that a cut ends."""
        candidates = _view().members
        other = decisions.pick_standby("p", "a", candidates, schemas.Keyed())
        same = decisions.pick_standby(
            "p", "a", candidates, schemas.Keyed(standby_zone="same")
        )
        assert other is not None and same is not None
        assert candidates[other.vm].availability_zone != "a"
        assert candidates[same.vm].availability_zone == "a"
