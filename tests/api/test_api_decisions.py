"""Tests of the decisions of the administration API."""

import hashlib

import hypothesis
from hypothesis import strategies
import pytest

from berylweir.api import decisions
from berylweir.api import exceptions
from berylweir.api import models
from berylweir.api.access import decisions as access
from berylweir.api.access import models as access_models
from berylweir.api.history import decisions as history
from berylweir.api.history import schemas as history_schemas
from berylweir.objects import schemas
from tests.api import api_deployment

_ANA = access_models.Administrator("ana")


def build_snapshot(
    group: schemas.ServerGroup = api_deployment.STOCK_GROUP, servers: int = 3
) -> models.ObjectSnapshot:
    """Returns a group with balanced slices and servers in up to three zones.

    Args:
        group: The server group.
        servers: Number of its servers; server n is in zone n modulo 3.
    """
    values: list[schemas.ConfigObject] = [group]
    for index in range(servers):
        zone = "abc"[index % 3]
        values.append(schemas.AvailabilityZone(zone))
        values.append(
            schemas.BackendServer(
                f"s-{index}", group.name, zone, "127.0.0.1", 80
            )
        )
    items = {(v.KIND, v.name): models.ObjectVersion(1, "", v) for v in values}
    partition = schemas.Partition(
        group.name,
        0,
        1,
        schemas.Incarnation("vm-0", "n"),
        None,
        slices=tuple(schemas.Owned(f"s-{i % servers}", 1) for i in range(12)),
    )
    return models.ObjectSnapshot(
        {
            **items,
            (partition.KIND, partition.name): models.ObjectVersion(
                1, "", partition
            ),
        }
    )


def plan_change(
    operation: models.Operation,
    snapshot: models.ObjectSnapshot,
    **fields: object,
):
    """Plans an administrator's change; `fields` are its other fields."""
    change = models.Change("c", _ANA, operation, **fields)
    return decisions.plan_change(change, snapshot)


def record(number: int, **fields: object) -> history_schemas.ChangeRecord:
    """Returns the record of a change; `fields` replace its defaults."""
    values = {
        "id": f"c{number}",
        "number": number,
        "operator": "ana",
        "at_ms": 1000,
        "reason": "",
        "action": "apply",
        "kind": "availability_zone",
        "name": "a",
        "based_on": 1,
        "fingerprint": "f",
    }
    return history_schemas.ChangeRecord(**{**values, **fields})


class TestCapacityCheck:
    """Whether enough backend servers stay in service."""

    def test_last_server_of_a_partition_cant_be_drained(self):
        """Guards against a partition without a server to own its keys."""
        group = schemas.ServerGroup("stock", schemas.Keyed(16, partitions=2))
        snapshot = build_snapshot(group)
        moved_server = schemas.BackendServer(
            "s-0", "stock", "a", "127.0.0.1", 80, 1
        )
        snapshot = snapshot.with_value((moved_server.KIND, "s-0"), moved_server)
        refusal = plan_change(
            models.SetServerState("s-0", "draining"), snapshot
        ).unwrap_err()
        assert refusal == exceptions.CapacityTooLow(
            (models.CapacityChange("stock", 1, 1, 0, 1),)
        )

    def test_raised_requirement_must_be_met(self):
        """Guards against a requirement above the number of servers."""
        larger_group = schemas.ServerGroup(
            "stock", schemas.Keyed(16), spare_servers=4, team="stock"
        )
        assert plan_change(
            models.Apply(larger_group), build_snapshot()
        ).is_err()

    def test_change_that_adds_capacity_is_never_refused(self):
        """Guards against a refusal to add a server to a group with too few."""
        snapshot = build_snapshot()
        for name in ("s-0", "s-1"):
            drain_plan = plan_change(
                models.SetServerState(name, "draining"),
                snapshot,
                force=True,
                reason="r",
            ).unwrap()
            snapshot = snapshot.with_value(drain_plan.key, drain_plan.value)
        assert plan_change(
            models.SetServerState("s-1", "in_service"), snapshot
        ).is_ok()

    def test_pending_change_of_another_object_counts(self):
        """Guards against two changes that together leave too few servers."""
        pending = record(1, value='{"name": "a", "in_service": false}')
        with_pending = decisions.apply_pending(
            build_snapshot(), (pending,), ("availability_zone", "b")
        )
        assert plan_change(
            models.SetZoneService("b", False), with_pending
        ).is_err()
        without_pending = decisions.apply_pending(
            build_snapshot(), (pending,), ("availability_zone", "a")
        )
        assert plan_change(
            models.SetZoneService("a", False), without_pending
        ).is_ok()


class TestPlan:
    """Slices that a change makes move."""

    def test_only_slices_of_the_drained_server_move(self):
        """Guards against a plan with slices that don't move."""
        plan = plan_change(
            models.SetServerState("s-0", "draining"), build_snapshot()
        )
        moves = plan.unwrap().moves
        assert {m.source for m in moves} == {"s-0"}
        assert sorted(s for m in moves for s in m.slices) == [0, 3, 6, 9]

    def test_moves_without_the_change_are_left_out(self):
        """Guards against a label change that is reported to move slices."""
        snapshot = build_snapshot().with_value(
            ("backend_server", "s-9"),
            schemas.BackendServer("s-9", "stock", "a", "127.0.0.1", 81),
        )
        plan = plan_change(
            models.ChangeLabels("server_group", "stock", {"a": "b"}), snapshot
        )
        assert plan.unwrap().moves == ()

    @hypothesis.given(strategies.integers(2, 9), strategies.data())
    def test_plan_leaves_nothing_on_a_drained_server(
        self, servers: int, data: strategies.DataObject
    ):
        """Guards against a plan that leaves slices on the drained server."""
        name = f"s-{data.draw(strategies.integers(0, servers - 1))}"
        group = schemas.ServerGroup("stock", schemas.Keyed(16))
        snapshot = build_snapshot(group, servers)
        plan = plan_change(models.SetServerState(name, "draining"), snapshot)
        moved_slices = {s for m in plan.unwrap().moves for s in m.slices}
        owned_slices = {
            i for i in range(12) if i % servers == int(name.split("-")[1])
        }
        assert owned_slices <= moved_slices


class TestConstraints:
    """Constraints that `force` doesn't skip."""

    def test_layout_of_a_group_cant_change(self):
        """Guards against slices that no partition object has."""
        value = schemas.ServerGroup("stock", schemas.Keyed(32), team="stock")
        refusal = plan_change(
            models.Apply(value), build_snapshot()
        ).unwrap_err()
        assert isinstance(refusal, exceptions.Invalid)

    @pytest.mark.parametrize(
        ("kind", "name"),
        [
            ("server_group", "stock"),
            ("backend_server", "s-0"),
            ("availability_zone", "a"),
        ],
    )
    def test_object_in_use_cant_be_deleted(self, kind: str, name: str):
        """Guards against references to an object that doesn't exist."""
        refusal = plan_change(
            models.Delete(kind, name), build_snapshot(), force=True, reason="r"
        ).unwrap_err()
        assert isinstance(refusal, exceptions.InUse)


class TestTokens:
    """Bearer tokens."""

    def test_all_faults_are_reported(self):
        """Guards against a tokens file whose faults appear one by one."""
        digest = hashlib.sha256(b"x").hexdigest()
        faults = access.parse_tokens(
            f"[a]\nrole = team\ntoken_sha256 = {digest}\n"
            "[b]\nrole = reader\ntoken_sha256 = short\n"
        ).unwrap_err()
        assert [f.section for f in faults] == ["a", "b"]

    @pytest.mark.parametrize("header", ["", "Bearer ", "Basic ana-token"])
    def test_other_headers_have_no_operator(self, header: str):
        """Guards against a request that is accepted without a token."""
        tokens = access.parse_tokens(api_deployment.tokens_file_text()).unwrap()
        assert access.authenticate(tokens, header) is None


class TestChangeLog:
    """The change log and its archives."""

    def test_number_of_records_is_bounded(self):
        """Guards against a change log that grows past a megabyte."""
        log = history_schemas.ChangeLog()
        archives = {}
        for number in range(10_000):
            log = history.append_record(log, record(number))
            split_result = history.split_off_archive(log)
            if split_result is not None:
                log, name, archive = split_result
                archives[name] = archive
        assert len(log.records) < history.MAX_CURRENT_RECORDS
        assert len(archives) == history.ARCHIVE_COUNT
        merged = history.merge_logs((*archives.values(), log))
        numbers = [r.number for r in merged]
        assert numbers == list(range(9_999, 9_999 - len(numbers), -1))
        assert (
            len(numbers) >= history.ARCHIVE_COUNT * history.RECORDS_PER_ARCHIVE
        )

    def test_abandoned_intent_expires(self):
        """Guards against a crashed API that blocks changes for good."""
        log = history.append_record(history_schemas.ChangeLog(), record(0))
        assert history.pending_records(
            log, 1000 + history.INTENT_TIMEOUT_MS - 1
        )
        assert not history.pending_records(
            log, 1000 + history.INTENT_TIMEOUT_MS
        )
