"""Fixed fault schedules that violate safety if a safety rule is off."""

import dataclasses

import pytest

from berylweir.keeper.authority import decisions
from berylweir.keeper.authority import models
from berylweir.objects import schemas
from berylweir.standin import backend
from tests.keeper import simulation as simulator

_EQUAL_CLOCK_RATES = {"rates": (1.0,) * 4, "server_rates": (1.0,) * 3}
# Detection of a loss within one lease, so that slow detection can't hide a
# missing rule.
_FAST_DETECTION = models.Timings(
    server_loss_s=0.2, home_loss_s=0.3, silent_pair_s=0.6, renew_s=0.05
)


class _BackendWithoutTokenCheck(backend.BackendState):
    """A backend server that accepts any grant, whatever its fencing token."""

    def grant(self, request):
        """Applies the grant without comparing tokens."""
        if request.instance == self._instance:
            self._granted_tokens = {g.slice: g.token for g in request.slices}
            self._expires_at_s = request.expires_at_s
        return self.status()


def _start_simulation(
    safety: models.SafetyRules, seed: int = 1, **options
) -> simulator.Simulation:
    simulation = simulator.Simulation(
        seed, safety=safety, **{**_EQUAL_CLOCK_RATES, **options}
    )
    simulation.run_until(simulation.is_served, 5.0)
    simulation.run(1.0)
    return simulation


def _isolate_group(simulation: simulator.Simulation, names: set[str]) -> None:
    """Cuts some VMs off from the platform and from all other VMs."""
    for name in names:
        simulation.cut(name, "platform")
        for other in set(simulation.nodes) - names:
            simulation.cut(name, other)


def takeover_without_response(safety: models.SafetyRules) -> None:
    """The response to the standby's takeover is lost, and the holder returns.

    The standby doesn't know that it is holder now, so the paused holder asks it
    for a promise when it resumes.
    """
    simulation = _start_simulation(safety)
    holder, standby = simulation.holder_vm(), simulation.standby_vm()
    simulation.pause(holder)
    simulation.platform.faults.lose_answers = 3
    while simulation.holder_vm() == holder:
        simulation.run(0.01)
    _isolate_group(simulation, {holder, standby})
    simulation.resume(holder)
    simulation.run(6.0)


def home_restarts_unheard(safety: models.SafetyRules) -> None:
    """A home restarts while its server receives grants but can't respond."""
    simulation = _start_simulation(safety, timings=_FAST_DETECTION)
    home = simulation.partition().homes["s-0"]
    simulation.cut("s-0", home, one_way=True)
    simulation.kill(home)
    simulation.start(home)
    simulation.run(3.0)


def silent_server_goes_on(safety: models.SafetyRules) -> None:
    """A server receives grants but can't respond.

    It counts as lost while its last grant is still valid.
    """
    simulation = _start_simulation(safety, timings=_FAST_DETECTION)
    home = simulation.partition().homes["s-0"]
    simulation.cut("s-0", home, one_way=True)
    simulation.run(3.0)


def late_promise(safety: models.SafetyRules) -> None:
    """Promises arrive 0.3 s late, and then the holder is cut off."""
    simulation = _start_simulation(safety)
    holder = simulation.holder_vm()
    for other in simulation.nodes:
        simulation.extra_delays_s[(other, holder)] = 0.3
    simulation.run(2.0)
    _isolate_group(simulation, {holder})
    simulation.run(3.0)


def slow_clock_of_the_holder(safety: models.SafetyRules) -> None:
    """The holder's clock is slow, the standby's fast; the holder is cut off."""
    for seed in range(12):
        simulation = _start_simulation(safety, seed, rates=(0.98,) * 4)
        holder, standby = simulation.holder_vm(), simulation.standby_vm()
        simulation.set_rate(standby, 1.02)
        simulation.run(1.0)
        assert (simulation.holder_vm(), simulation.standby_vm()) == (
            holder,
            standby,
        )
        _isolate_group(simulation, {holder})
        simulation.run(2.0)


def holder_goes_on_writing(safety: models.SafetyRules) -> None:
    """The holder writes owners while it can't reach its standby."""
    simulation = _start_simulation(safety)
    holder, standby = simulation.holder_vm(), simulation.standby_vm()
    simulation.cut(holder, standby)
    for state in ("draining", "in_service", "draining", "in_service"):
        simulation.run(0.24)
        simulation.update_configuration(
            schemas.BackendServer(
                "s-1", "stock", "b", "127.0.0.1", 2, state=state
            )
        )
    simulation.run(0.1)
    _isolate_group(simulation, {holder})
    simulation.run(3.0)


def former_homes_go_on(state: type[backend.BackendState]) -> None:
    """The pair is cut off from all other VMs, but not from the servers."""
    simulation = _start_simulation(models.SafetyRules(), backend_state=state)
    _isolate_group(
        simulation, {simulation.holder_vm(), simulation.standby_vm()}
    )
    simulation.run(8.0)


def pair_is_cut_off(safety: models.SafetyRules) -> None:
    """The pair is cut off together with a server; another VM takes over."""
    simulation = _start_simulation(safety, vms=4)
    pair = {simulation.holder_vm(), simulation.standby_vm()}
    homes = simulation.partition().homes
    servers_of_pair = {s for s, vm in homes.items() if vm in pair}
    _isolate_group(simulation, pair)
    for server in servers_of_pair:
        for name in set(simulation.nodes) - pair:
            simulation.cut(name, server)
    simulation.run(8.0)


_SCHEDULES = {
    "wait_for_grant_expiry": silent_server_goes_on,
    "single_home_incarnation": home_restarts_unheard,
    "lease_counts_from_request": late_promise,
    "clock_drift_margin": slow_clock_of_the_holder,
    "only_new_epoch_extends_lease": holder_goes_on_writing,
    "no_promise_for_uncertain_pair": takeover_without_response,
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
        rules_without_one = dataclasses.replace(
            models.SafetyRules(), **{rule: False}
        )
        with pytest.raises(simulator.InvariantError):
            _SCHEDULES[rule](rules_without_one)


class TestFence:
    """Fencing tokens, checked by a backend server."""

    def test_former_homes_are_refused(self):
        """Guards against a server that accepts grants of a former home."""
        former_homes_go_on(backend.BackendState)

    def test_check_is_needed(self):
        """Guards against a schedule that would pass without the check."""
        with pytest.raises(simulator.InvariantError):
            former_homes_go_on(_BackendWithoutTokenCheck)


class TestOldVersion:
    """An older object that arrives after a newer one."""

    @pytest.mark.parametrize("is_rule_on", [True, False])
    def test_version_falls_only_without_the_rule(self, is_rule_on):
        """Guards against a keeper that goes back to a former pair.

        The object store drops older versions too, so the rule can only be
        tested on the decisions alone.
        """
        simulation = _start_simulation(models.SafetyRules())
        name = simulation.holder_vm()
        authority_task = simulation.nodes[name].task
        state = authority_task.states[simulator.PARTITION]
        older_object = models.ObjectReceived(state.partition, state.version - 1)
        view = models.ClusterView(
            schemas.ServerGroup("stock", schemas.Keyed()), (), {}, {}
        )
        safety = models.SafetyRules(reject_old_versions=is_rule_on)
        next_state, _ = decisions.step(
            state,
            older_object,
            authority_task.clock(),
            view,
            models.Timings(),
            "",
            safety,
        )
        assert (next_state.version == state.version) == is_rule_on
