"""Tests of the choice of the gateway to which a request is forwarded."""

import random

import pytest

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.forwarding import targets

_Result = messages.ForwardResult
_GROUP = messages.GroupUnreachable("g")
_OWNER = messages.OwnerUnreachable(models.ServerInstance("s", 1))


def create_targets(zones: str, forward_port: int = 2) -> targets.ForwardTargets:
    """Returns the targets of `vm-0` in zone `a`, one for each further zone."""
    state = targets.ForwardTargets("vm-0", "a", random.Random(1))
    state.update_vms(
        {
            f"vm-{n}": models.Vm(
                f"vm-{n}",
                "run",
                "127.0.0.1",
                1,
                zone,
                forward_port=forward_port,
            )
            for n, zone in enumerate("a" + zones)
        }
    )
    return state


def choose(
    state: targets.ForwardTargets,
    now_s: float = 0.0,
    cause: messages.ForwardCause = _GROUP,
    tried: tuple[str, ...] = (),
    unreachable: str = "",
) -> str | None:
    """Returns the name of the chosen VM, after starting a request there."""
    vm = state.choose(cause, frozenset(tried), frozenset(unreachable), now_s)
    if vm is None:
        return None
    state.start(vm.name)
    return vm.name


def finish(
    state: targets.ForwardTargets,
    name: str,
    result: messages.ForwardResult,
    now_s: float = 0.0,
    cause: messages.ForwardCause = _GROUP,
    *,
    is_draining: bool = False,
) -> None:
    """Reports a result of a VM."""
    vm = models.Vm(name, "run", "127.0.0.1", 1, "a", forward_port=2)
    forward = messages.Forward(vm, None, cause)
    state.finish(
        messages.ForwardFinished(forward, result, None, is_draining), now_s
    )


class TestChoice:
    """Choice between usable gateways."""

    def test_only_other_gateways_with_a_forward_port_are_chosen(self):
        """Guards against gateways of an older version, and against itself."""
        assert choose(create_targets("")) is None
        assert choose(create_targets("aa", forward_port=0)) is None
        assert choose(create_targets("a")) == "vm-1"

    def test_requests_are_spread(self):
        """Guards against overloading one gateway."""
        state = create_targets("aaaa")
        chosen = [choose(state) for _ in range(40)]
        assert all(chosen.count(name) >= 5 for name in set(chosen))
        assert len(set(chosen)) == 4

    def test_local_zone_comes_first_unless_a_vm_of_it_failed(self):
        """Guards against traffic between zones, and three tries in one."""
        state = create_targets("baa")
        assert choose(state) in ("vm-2", "vm-3")
        assert choose(state, tried=("vm-2",)) == "vm-1"
        assert choose(state, tried=("vm-2", "vm-1")) == "vm-3"

    def test_vms_of_an_unreachable_zone_are_not_chosen(self):
        """Guards against a connect timeout for each VM of a lost zone."""
        assert choose(create_targets("b"), unreachable="b") is None
        assert choose(create_targets("bc"), unreachable="b") == "vm-2"

    def test_a_request_goes_to_three_gateways_at_most(self):
        """Guards against a request that visits all gateways."""
        tried = ("vm-1", "vm-2", "vm-3")
        assert choose(create_targets("aaaa"), tried=tried) is None


class TestBackoff:
    """Gateways and servers that couldn't be used."""

    @pytest.mark.parametrize(
        "result", [_Result.ISOLATED, _Result.NOT_CONNECTED, _Result.UNKNOWN]
    )
    def test_failed_gateway_is_avoided_for_longer_each_time(self, result):
        """Guards against many tries at a gateway that can't help."""
        state = create_targets("a")
        now_s, chosen_s = 0.0, []
        while now_s < 30.0:
            if choose(state, now_s):
                chosen_s.append(now_s)
                finish(state, "vm-1", result, now_s)
            now_s += 0.1
        assert len(chosen_s) <= 11
        finish(state, "vm-1", _Result.ANSWERED, now_s)
        assert choose(state, now_s) == "vm-1"

    def test_draining_gateway_is_avoided(self):
        """Guards against requests at a gateway that stops."""
        state = create_targets("a")
        finish(state, "vm-1", _Result.ANSWERED, is_draining=True)
        assert choose(state, 0.1) is None

    def test_server_that_two_gateways_cannot_reach_is_not_forwarded_for(self):
        """Guards against forwarding requests for a server that is gone."""
        state = create_targets("aaa")
        for name in ("vm-1", "vm-1", "vm-1"):
            finish(state, name, _Result.UNREACHABLE, cause=_OWNER)
        assert choose(state, cause=_OWNER)
        finish(state, "vm-2", _Result.UNREACHABLE, cause=_OWNER)
        assert choose(state, 0.9, _OWNER) is None
        assert choose(state, 0.9, _GROUP)
        assert choose(state, 1.1, _OWNER)

    def test_old_statements_do_not_count(self):
        """Guards against two short faults that are taken for one."""
        state = create_targets("aaa")
        finish(state, "vm-1", _Result.UNREACHABLE, 0.0)
        finish(state, "vm-2", _Result.UNREACHABLE, 100.0)
        assert choose(state, 100.0)

    def test_restarted_gateway_is_used_at_once(self):
        """Guards against blaming a gateway for its earlier run."""
        state = create_targets("a")
        finish(state, "vm-1", _Result.NOT_CONNECTED)
        assert choose(state) is None
        restarted = models.Vm(
            "vm-1", "run-2", "127.0.0.1", 1, "a", forward_port=2
        )
        state.update_vms({"vm-1": restarted})
        assert choose(state) == "vm-1"
