"""Short soaks of the gateway programs."""

import json
import pathlib

import pytest

from berylweir.soak import fault_classes
from berylweir.soak import fault_schedule
from berylweir.soak import models
from berylweir.soak import planned_series
from berylweir.soak import rollouts
from berylweir.soak import runner
from tests import checkouts

_SECONDS = 14.0
# Length of the soaks that check what servers say of themselves, in seconds.
_STATEMENT_SECONDS = 30.0
# Seed of a soak in which gateways are cut off from all servers.
_ISOLATION_SEED = 8
# Seed and length of a soak with pipelined requests, in seconds.
_PIPELINING_SEED = 12
_PIPELINING_SECONDS = 10.5
# Length of the soaks with a further class of faults, in seconds.
_CLASS_SECONDS = 25.0
# The same with a time without faults at the end.
_UNEVEN_SECONDS = 45.0
# Seeds that failed once, each with the cause of its failure.
_REGRESSIONS = (
    2,  # SIGHUP ended a gateway that had just started.
)
# The same for soaks of `_STATEMENT_SECONDS`.
_STATEMENT_REGRESSIONS = (
    46,  # A source of an inherited move took a grant of the earlier keeper.
    114,  # A restarted server took a grant for its previous instance.
    56,  # A holder took the key tables of a restored store for current.
)


class TestSoak:
    """The programs as processes, with faults between and around them."""

    @pytest.mark.parametrize("seed", [1, *_REGRESSIONS])
    async def test_has_no_violations(self, seed: int, tmp_path: pathlib.Path):
        """Guards against failures that tests of single parts don't show."""
        assert await runner.Soak(seed, _SECONDS, tmp_path).run() == []

    @pytest.mark.parametrize("seed", [1, 4, *_STATEMENT_REGRESSIONS])
    async def test_statements_of_servers_are_heeded(
        self, seed: int, tmp_path: pathlib.Path
    ):
        """Guards against limits, pauses, leaving servers and restored stores.

        With these seeds, gateways that don't know them break several rules.
        """
        soak = runner.Soak(seed, _STATEMENT_SECONDS, tmp_path)
        assert await soak.run() == []

    async def test_isolated_gateways_keep_the_guarantees(
        self, tmp_path: pathlib.Path
    ):
        """Guards against promises broken by a gateway without servers."""
        soak = runner.Soak(
            _ISOLATION_SEED, _SECONDS, tmp_path, has_isolations=True
        )
        assert await soak.run() == []
        assert soak.isolated_counts.isolated_sent > 0
        assert soak.isolated_counts.other_served > 0

    async def test_request_that_crashes_servers_is_stopped(
        self, tmp_path: pathlib.Path
    ):
        """Guards against one request that ends servers amid other faults."""
        soak = runner.Soak(1, _SECONDS, tmp_path, has_harmful_request=True)
        assert await soak.run() == []

    async def test_pipelined_requests_are_answered_amid_planned_work(
        self, tmp_path: pathlib.Path
    ):
        """Guards against requests that planned work leaves without an answer.

        With this seed, the build 00d0a53 drops requests that have arrived, and
        holds answers back.
        """
        soak = runner.Soak(
            _PIPELINING_SEED, _PIPELINING_SECONDS, tmp_path, has_pipelining=True
        )
        assert await soak.run() == []
        assert soak.pipelining_result.checked > 0

    @pytest.mark.parametrize(
        ("fault_class", "seed"),
        [
            # Build 365902d lets servers share keys.
            (models.FaultClass.FROZEN_HOLDER, 3),
            # Build 493d379 grants keys that are in use.
            (models.FaultClass.LATE_COPIES, 2),
            # Build 999776f serves nothing after a start beside odd entries.
            (models.FaultClass.ODD_ENTRIES, 1),
            # Build 59daade uses more memory than its limit.
            (models.FaultClass.LONG_BODIES, 1),
        ],
    )
    async def test_classes_break_no_guarantee(
        self,
        fault_class: models.FaultClass,
        seed: int,
        tmp_path: pathlib.Path,
    ):
        """Guards against faults that only one class of disruptions shows."""
        soak = runner.Soak(
            seed, _CLASS_SECONDS, tmp_path, classes=[fault_class]
        )
        assert await soak.run() == []

    async def test_keys_move_after_disruptions(self, tmp_path: pathlib.Path):
        """Guards against a holder that plans no moves any more."""
        soak = runner.Soak(
            1,
            _UNEVEN_SECONDS,
            tmp_path,
            classes=[models.FaultClass.UNEVEN_LOAD],
        )
        assert await soak.run() == []
        assert soak.moved_after_s is not None


class TestRollouts:
    """Changes of the build amid the other faults."""

    async def test_fleet_of_two_builds_breaks_promises(
        self, tmp_path: pathlib.Path
    ):
        """Guards against builds that can't run side by side."""
        previous = tmp_path / "previous"
        commit = checkouts.LANDINGS[0]
        if not checkouts.check_out(commit, previous):
            pytest.skip(f"the history has no commit {commit}")
        logs = tmp_path / "logs"
        logs.mkdir()
        soak = runner.Soak(
            1,
            _STATEMENT_SECONDS,
            logs,
            has_rollouts=True,
            builds=(previous, checkouts.ROOT),
        )
        assert await soak.run() == []
        builds = {
            json.loads(line)["build"]
            for path in sorted(logs.glob("*.log"))
            for line in path.read_text(encoding="utf-8").splitlines()
            if '"message":"started"' in line
        }
        assert len(builds) == 2

    def test_equal_seeds_generate_other_rollouts(self):
        """Guards against a failure that its seed doesn't reproduce."""
        assert rollouts.generate(5, 60.0, 3) == rollouts.generate(5, 60.0, 3)
        assert rollouts.generate(5, 60.0, 3) != rollouts.generate(6, 60.0, 3)

    def test_first_upgrade_changes_all_vms(self):
        """Guards against rollouts without a time of two builds."""
        for seed in range(20):
            canary, half, *rest = rollouts.generate(seed, 60.0, 5)
            assert len(canary.fault.vms) == 1
            assert set(canary.fault.vms) < set(half.fault.vms)
            assert len(half.fault.vms) == 3
            assert {len(r.fault.vms) for r in rest} == {5}
            assert {r.fault.build for r in rest} == {0, 1}

    def test_holder_changes_in_any_order(self):
        """Guards against rollouts that don't meet a change of the lease."""

        def sort_vms(order: models.RolloutOrder, holder: int | None):
            rollout = models.Rollout(1, (2, 0, 1), order, 1.0, 0.0)
            return rollouts.sort_vms(rollout, holder)

        assert sort_vms(models.RolloutOrder.HOLDER_FIRST, 0) == [0, 2, 1]
        assert sort_vms(models.RolloutOrder.HOLDER_LAST, 0) == [2, 1, 0]
        assert sort_vms(models.RolloutOrder.AS_LISTED, 0) == [2, 0, 1]
        assert sort_vms(models.RolloutOrder.HOLDER_LAST, None) == [2, 0, 1]


class TestFaultSchedule:
    """Schedule of the faults of a soak."""

    def test_equal_seeds_generate_equal_faults(self):
        """Guards against a failure that its seed doesn't reproduce."""
        assert fault_schedule.generate(
            5, 60.0, 3, 8
        ) == fault_schedule.generate(5, 60.0, 3, 8)
        assert fault_schedule.generate(
            5, 60.0, 3, 8
        ) != fault_schedule.generate(6, 60.0, 3, 8)

    def test_equal_seeds_generate_equal_series_of_planned_work(self):
        """Guards against a failure that its seed doesn't reproduce."""
        series = planned_series.generate(5, 60.0, 3)
        assert series == planned_series.generate(5, 60.0, 3)
        assert series != planned_series.generate(6, 60.0, 3)

    @pytest.mark.parametrize("vms", [1, 2, 3, 24])
    def test_isolations_do_not_change_the_other_faults(self, vms: int):
        """Guards against regression seeds that no longer test the same."""
        with_isolations = fault_schedule.generate(
            5, 60.0, vms, 8, has_isolations=True
        )
        isolations = [
            s for s in with_isolations if isinstance(s.fault, models.Isolate)
        ]
        assert isolations
        assert fault_schedule.generate(5, 60.0, vms, 8) == [
            s for s in with_isolations if s not in isolations
        ]

    def test_classes_do_not_change_each_other(self):
        """Guards against regression seeds that no longer test the same."""
        alone = [
            fault_classes.generate(5, 60.0, 3, 8, [fault_class])
            for fault_class in models.FaultClass
        ]
        together = fault_classes.generate(
            5, 60.0, 3, 8, list(models.FaultClass)
        )
        without_faults = {models.FaultClass.UNEVEN_LOAD}
        assert {
            fault_class
            for fault_class, faults in zip(
                models.FaultClass, alone, strict=True
            )
            if not faults
        } == without_faults
        assert together == [fault for faults in alone for fault in faults]

    def test_usual_faults_remain_beside_classes(self):
        """Guards against classes that meet no other fault, or too many."""
        usual = fault_schedule.generate(5, 60.0, 3, 8)
        counts = {
            len(fault_classes.thin_out(seed, usual)) for seed in range(20)
        }
        assert 0 < min(counts) < len(usual) / 4
        assert max(counts) == len(usual)

    def test_all_kinds_of_faults_are_generated(self):
        """Guards against a kind of fault that is never injected."""
        kinds = {
            type(scheduled_fault.fault)
            for seed in range(20)
            for scheduled_fault in (
                *fault_schedule.generate(seed, 60.0, 3, 8, has_isolations=True),
                *rollouts.generate(seed, 60.0, 3),
                *planned_series.generate(seed, 60.0, 3),
                *fault_classes.generate(
                    seed, 60.0, 3, 8, list(models.FaultClass)
                ),
            )
        }
        assert kinds == set(models.Fault.__args__)
