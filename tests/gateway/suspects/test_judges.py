"""Tests of the selection of judges."""

import dataclasses

from berylweir.gateway import models
from berylweir.gateway.suspects import judges


def vm(name, *, judges_requests=True):
    """Returns a VM."""
    capabilities = {models.JUDGES_REQUESTS} if judges_requests else set()
    return models.Vm(
        name, "run", "127.0.0.1", 1, "a", capabilities=frozenset(capabilities)
    )


class TestJudgeSelector:
    """Selection of the gateway that judges a request."""

    def test_gateways_select_different_judges(self):
        """Guards against evidence that is spread over several judges."""
        vms = {f"vm-{n}": vm(f"vm-{n}") for n in range(20)}
        for fingerprint in range(50):
            first = set()
            for local in vms.values():
                selector = judges.JudgeSelector(local)
                selector.update_vms(vms)
                first.add(selector.select(fingerprint, 0.0)[0].name)
            assert len(first) == 1

    def test_older_build_is_asked(self):
        """Guards against messages that another build doesn't know."""
        vms = {"vm-0": vm("vm-0", judges_requests=False), "vm-1": vm("vm-1")}
        selector = judges.JudgeSelector(vms["vm-1"])
        selector.update_vms(vms)
        assert selector.others == []
        for fingerprint in range(20):
            selected = selector.select(fingerprint, 0.0)
            assert selected == [vms["vm-1"]]

    def test_silent_judge_is_asked_again_and_again(self):
        """Guards against a delay of each report by a VM that is lost."""
        vms = {f"vm-{n}": vm(f"vm-{n}") for n in range(3)}
        selector = judges.JudgeSelector(vms["vm-0"])
        selector.update_vms(vms)
        fingerprint = next(
            f for f in range(100) if len(selector.select(f, 0.0)) == 3
        )
        silent = selector.select(fingerprint, 0.0)[0]
        selector.record_failure(silent, 0.0)
        assert silent not in selector.select(fingerprint, 1.0)
        assert silent in selector.select(fingerprint, 10.0)
        restarted = dataclasses.replace(silent, incarnation="next")
        selector.update_vms({**vms, silent.name: restarted})
        assert restarted in selector.select(fingerprint, 1.0)
