"""Tests of whole replays against expected outcomes."""

import pathlib
import random

import pytest

from berylweir.keeper.authority import models as authority
from berylweir.replay import driver
from berylweir.replay import generator
from berylweir.replay import metrics
from berylweir.replay import models
from berylweir.replay import schemas

_TRACES = pathlib.Path(__file__).parents[2] / "bench" / "traces"
_ID = "0190e0c0-0000-7000-8000-000000000001"


def _trace(requests, *faults, duration_s=4.0):
    header = schemas.TraceHeader("steady", "maipo", 7, duration_s, faults)
    return schemas.Trace(header, tuple(requests))


def _lookup(at_ms, entry=0, key="key-1", work_ms=100.0):
    return schemas.Request(
        at_ms, "availability", key, "caller", entry, work_ms, 1000
    )


def _booking(at_ms, entry, request_id):
    return schemas.Request(
        at_ms, "booking", "", "caller", entry, 100.0, 1000, request_id
    )


def _burst():
    """Returns ten simultaneous requests for one key, one per entry VM."""
    return [_lookup(1000.0, entry) for entry in range(10)]


class TestReplay:
    """What a replay records."""

    @pytest.mark.parametrize(
        "policy", [models.HomeRouting(), models.Baseline()]
    )
    def test_same_seed_gives_same_result(self, policy):
        """Guards against metrics that can't be reproduced."""
        trace = _trace(
            [_lookup(100.0 * n, n % 10, f"key-{n}") for n in range(30)],
            schemas.ServerCrash(1.0, "availability-1", 2.0, 1.0),
        )
        first = metrics.compute_metrics(driver.replay(trace, policy))
        second = metrics.compute_metrics(driver.replay(trace, policy))
        assert first == second

    def test_each_call_has_one_outcome(self):
        """Guards against calls that are lost or answered twice."""
        trace = _trace(
            [_lookup(50.0 * n, n % 10, f"key-{n % 5}") for n in range(60)],
            schemas.ZoneCut(1.0, "c", 2.0),
        )
        for policy in (
            models.HomeRouting(),
            models.Baseline(),
            models.SlotCredits(),
        ):
            history = driver.replay(trace, policy)
            answered_ids = sorted(o.call.id for o in history.outcomes)
            assert answered_ids == list(range(60))

    def test_idle_deployment_serves_in_the_stated_time(self):
        """Guards against network delays that are missing or counted twice."""
        history = driver.replay(_trace([_lookup(1000.0)]), models.HomeRouting())
        (outcome,) = history.outcomes
        assert outcome.answer == models.Served()
        latency_s = outcome.ended_s - outcome.call.sent_s
        # 8 ms each way to the client, 100 ms of work, and at most two hops
        # of 0.5 ms each way.
        assert 0.116 < latency_s <= 0.118 + 1e-9


class TestLimit:
    """Enforcement of a server's slots under each policy."""

    def test_fixed_share_per_vm_exceeds_the_slots(self):
        """Guards against a replay that hides requests beyond the slots."""
        history = driver.replay(_trace(_burst()), models.PerVmLimit())
        assert metrics.over_limit_seconds(history) > 0

    @pytest.mark.parametrize(
        "policy", [models.HomeRouting(), models.SlotCredits()]
    )
    def test_exact_limit_holds(self, policy):
        """Guards against slots that are assigned twice."""
        history = driver.replay(_trace(_burst()), policy)
        assert metrics.over_limit_seconds(history) == 0
        assert metrics.served_ratio(history) == 1.0


class TestSafety:
    """Safety violations that a replay must reveal."""

    def test_baseline_runs_a_repeat_through_another_vm_twice(self):
        """Guards against a replay that hides double executions."""
        trace = _trace([_booking(1000.0, 0, _ID), _booking(1050.0, 1, _ID)])
        history = driver.replay(trace, models.Baseline())
        assert metrics.double_runs(history) == 1

    def test_move_without_waiting_gives_a_second_owner(self):
        """Guards against a replay that hides a second owner.

        With the safety rule `wait_for_grant_expiry` off, slices move while
        the server behind the network partition still has its grant.
        """
        trace = _trace([], schemas.ZoneCut(1.0, "c", 6.0), duration_s=8.0)
        unsafe_policy = models.HomeRouting(
            safety=authority.SafetyRules(wait_for_grant_expiry=False)
        )
        history = driver.replay(trace, unsafe_policy)
        assert metrics.two_owner_instants(history) > 0
        history = driver.replay(trace, models.HomeRouting())
        assert metrics.two_owner_instants(history) == 0


class TestUnkeyedRepeats:
    """Repeats of non-idempotent requests in an unkeyed group."""

    def test_repeat_through_another_vm_runs_once(self):
        """Guards against a second booking by a repeat at another home.

        The idempotency table of a home lacks the requests of other homes, so
        repeats must reach the same home. The bookings start after 7 s without
        a change of homes: requests with older ids are answered "unknown", as
        another home may have executed them.
        """
        ids = [generator.request_id(random.Random(n), 9.0) for n in range(10)]
        trace = _trace(
            [
                _booking(9000.0 + 200.0 * repeat, repeat, request_id)
                for repeat in range(3)
                for request_id in ids
            ],
            duration_s=12.0,
        )
        history = driver.replay(trace, models.HomeRouting())
        assert metrics.served_ratio(history) == 1.0
        assert metrics.double_runs(history) == 0


class TestCutZone:
    """A zone that a network partition separates from all others."""

    def test_keys_of_its_servers_are_served_elsewhere_within_3_s(self):
        """Guards against homes that are assigned within the cut-off zone.

        If each lost home is replaced by another VM of that zone, no home
        detects that the zone's servers are lost.
        """
        header = schemas.TraceHeader(
            "zone_cut_off", "prairie", 7, 8.0, (schemas.ZoneCut(1.0, "c", 7.0),)
        )
        history = driver.replay(schemas.Trace(header, ()), models.HomeRouting())
        assert max(history.service_gaps_s) <= 3.0


class TestReturningZone:
    """A zone that operators have put back in service."""

    def test_its_servers_get_keys_again(self):
        """Guards against servers that stay idle after their return.

        The busiest server owns a single hot slice, so no move reduces its
        load. The other busy servers' slices must move nevertheless.
        """
        path = _TRACES / "zone_out_and_back.maipo.jsonl"
        trace = schemas.decode_trace(path.read_bytes())
        history = driver.replay(trace, models.HomeRouting())
        late_server_indexes = {
            int(r.server.rsplit("-", 1)[1])
            for r in history.runs
            if r.group == "availability"
            and r.started_s > history.begin_s + 18.0
        }
        assert any(index % 3 == 2 for index in late_server_indexes)


class TestOutcomes:
    """Outcomes of faults."""

    def test_keys_of_a_lost_server_are_served_within_3_s(self):
        """Guards against slices that remain assigned to a lost server."""
        trace = _trace(
            [], schemas.ServerCrash(1.0, "availability-1"), duration_s=6.0
        )
        history = driver.replay(trace, models.HomeRouting())
        assert history.service_gaps_s
        assert max(history.service_gaps_s) <= 3.0

    def test_platform_outage_alone_leaves_all_keys_served(self):
        """Guards against leases that are not renewed during an outage."""
        trace = _trace([], schemas.PlatformDown(1.0, 5.0), duration_s=6.0)
        history = driver.replay(trace, models.HomeRouting())
        assert metrics.unavailable_ratio(history) == 0

    def test_zone_out_of_service_gets_no_work_after_3_s(self):
        """Guards against requests to the servers of a zone out of service."""
        trace = _trace(
            [_lookup(50.0 * n, n % 10, f"key-{n}") for n in range(100)],
            schemas.ZoneService(1.0, "c", False),
            duration_s=6.0,
        )
        history = driver.replay(trace, models.HomeRouting())
        late_servers = {
            r.server
            for r in history.runs
            if r.started_s > history.begin_s + 4.0
        }
        assert late_servers
        assert not any(int(s.rsplit("-", 1)[1]) % 3 == 2 for s in late_servers)
