"""Fixed schedules that break the ownership core when a rule is missing."""

import dataclasses

import pytest

from berylweir.keeper.authority import decisions
from berylweir.keeper.authority import models
from berylweir.objects import schemas
from berylweir.standin import backend
from tests.keeper import world

_EVEN = {"rates": (1.0,) * 4, "server_rates": (1.0,) * 3}
# Fast detection: only the rules keep the owners apart, not the time it takes.
_HASTY = models.Timings(
    server_loss_s=0.2, home_loss_s=0.3, silent_pair_s=0.6, renew_s=0.05
)


class _Unfenced(backend.BackendState):
    """A backend server that obeys any grant, whatever its token."""

    def grant(self, request):
        """Applies the grant."""
        if request.instance == self._instance:
            self._granted = {g.slice: g.token for g in request.slices}
            self._expires_at_s = request.expires_at_s
        return self.status()


def _started(
    safety: models.SafetyRules, seed: int = 1, **options
) -> world.World:
    started = world.World(seed, safety=safety, **{**_EVEN, **options})
    started.run_until(started.is_served, 5.0)
    started.run(1.0)
    return started


def _separate(world_: world.World, names: set[str]) -> None:
    """Cuts some VMs off from the platform and from all other VMs."""
    for name in names:
        world_.cut(name, "platform")
        for other in set(world_.nodes) - names:
            world_.cut(name, other)


def takeover_without_answer(safety: models.SafetyRules) -> None:
    """The standby takes over, doesn't know it, and hears from the holder."""
    run = _started(safety)
    holder, standby = run.holder(), run.standby()
    run.pause(holder)
    run.platform.faults.lose_answers = 3
    while run.holder() == holder:
        run.run(0.01)
    _separate(run, {holder, standby})
    run.resume(holder)
    run.run(6.0)


def home_restarts_unheard(safety: models.SafetyRules) -> None:
    """A home restarts, and its server can hear but not answer."""
    run = _started(safety, timings=_HASTY)
    home = run.partition().homes["s-0"]
    run.cut("s-0", home, one_way=True)
    run.kill(home)
    run.start(home)
    run.run(3.0)


def silent_server_goes_on(safety: models.SafetyRules) -> None:
    """A server hears its home but can't answer; its grant still runs."""
    run = _started(safety, timings=_HASTY)
    home = run.partition().homes["s-0"]
    run.cut("s-0", home, one_way=True)
    run.run(3.0)


def late_promise(safety: models.SafetyRules) -> None:
    """Promises arrive late, and then the holder is cut off."""
    run = _started(safety)
    holder = run.holder()
    for other in run.nodes:
        run.delays[(other, holder)] = 0.3
    run.run(2.0)
    _separate(run, {holder})
    run.run(3.0)


def slow_clock_of_the_holder(safety: models.SafetyRules) -> None:
    """The holder's clock is slow, the standby's fast, and the link breaks."""
    for seed in range(12):
        run = _started(safety, seed, rates=(0.98,) * 4)
        holder, standby = run.holder(), run.standby()
        run.set_rate(standby, 1.02)
        run.run(1.0)
        assert (run.holder(), run.standby()) == (holder, standby)
        _separate(run, {holder})
        run.run(2.0)


def holder_goes_on_writing(safety: models.SafetyRules) -> None:
    """The holder writes owners while it can't reach its standby."""
    run = _started(safety)
    holder, standby = run.holder(), run.standby()
    run.cut(holder, standby)
    for state in ("draining", "in_service", "draining", "in_service"):
        run.run(0.24)
        run.change(
            schemas.BackendServer(
                "s-1", "stock", "b", "127.0.0.1", 2, state=state
            )
        )
    run.run(0.1)
    _separate(run, {holder})
    run.run(3.0)


def former_homes_go_on(state: type[backend.BackendState]) -> None:
    """The pair is cut off from all VMs, but not from the servers."""
    run = _started(models.SafetyRules(), backend_state=state)
    _separate(run, {run.holder(), run.standby()})
    run.run(8.0)


def pair_is_cut_off(safety: models.SafetyRules) -> None:
    """The pair is cut off with a server, and a VM outside takes over."""
    run = _started(safety, vms=4)
    pair = {run.holder(), run.standby()}
    homes = run.partition().homes
    inside = {s for s, vm in homes.items() if vm in pair}
    _separate(run, pair)
    for server in inside:
        for name in set(run.nodes) - pair:
            run.cut(name, server)
    run.run(8.0)


_SCHEDULES = {
    "wait_for_grant_expiry": silent_server_goes_on,
    "single_home_incarnation": home_restarts_unheard,
    "lease_counts_from_request": late_promise,
    "clock_drift_margin": slow_clock_of_the_holder,
    "only_new_epoch_extends_lease": holder_goes_on_writing,
    "no_promise_for_uncertain_pair": takeover_without_answer,
    "respect_unresolved_pairs": pair_is_cut_off,
}


@pytest.mark.parametrize("rule", _SCHEDULES)
class TestSafetyRule:
    """Each safety rule, on and off."""

    def test_schedule_is_safe(self, rule):
        """Guards against two owners or holders under the schedule."""
        _SCHEDULES[rule](models.SafetyRules())

    def test_rule_is_needed(self, rule):
        """Guards against a schedule that would pass without the rule."""
        broken = dataclasses.replace(models.SafetyRules(), **{rule: False})
        with pytest.raises(world.InvariantError):
            _SCHEDULES[rule](broken)


class TestFence:
    """The check of tokens in a backend server."""

    def test_former_homes_are_refused(self):
        """Guards against a former home that a server still obeys."""
        former_homes_go_on(backend.BackendState)

    def test_check_is_needed(self):
        """Guards against a schedule that would pass without the check."""
        with pytest.raises(world.InvariantError):
            former_homes_go_on(_Unfenced)


class TestOldVersion:
    """An older object that arrives after a newer one."""

    @pytest.mark.parametrize("refuse", [True, False])
    def test_version_falls_only_without_the_rule(self, refuse):
        """Guards against a keeper that goes back to a former pair.

        The object store in front of the decisions refuses older versions
        too, so that a whole keeper doesn't miss the rule.
        """
        run = _started(models.SafetyRules())
        name = run.holder()
        keeper = run.nodes[name].task
        state = keeper.states[world.PARTITION]
        seen = models.ObjectReceived(state.partition, state.version - 1)
        view = models.ClusterView(
            schemas.ServerGroup("stock", schemas.Keyed()), (), {}, {}
        )
        safety = models.SafetyRules(reject_old_versions=refuse)
        after, _ = decisions.step(
            state, seen, keeper.clock(), view, models.Timings(), "", safety
        )
        assert (after.version == state.version) == refuse
