"""Pure functions that validate a change and plan its effects."""

from collections.abc import Mapping
import hashlib
import typing

import msgspec
import result

from berylweir import keyspace
from berylweir.api import exceptions
from berylweir.api import models
from berylweir.api.access import decisions as access
from berylweir.api.history import schemas as history
from berylweir.keeper.assignment import decisions as assignment
from berylweir.keeper.authority import models as authority
from berylweir.objects import schemas

# Bound on the rounds of rebalancing that a plan simulates.
_MAX_PLAN_STEPS = 4096
_MAX_LABELS = 64


def key_of(operation: models.Operation) -> models.ObjectKey:
    """Returns the kind and name of the object that an operation changes."""
    match operation:
        case models.Apply(value=value):
            return value.KIND, value.name
        case models.Delete(kind=kind, name=name):
            return kind, name
        case models.ChangeLabels(kind=kind, name=name):
            return kind, name
        case models.SetZoneService(name=name):
            return schemas.AvailabilityZone.KIND, name
        case models.SetServerState(name=name):
            return schemas.BackendServer.KIND, name


def action_of(operation: models.Operation) -> str:
    """Returns the name of an operation's action, as the change log has it."""
    match operation:
        case models.Apply():
            return "apply"
        case models.Delete():
            return "delete"
        case models.ChangeLabels():
            return "labels"
        case models.SetZoneService(in_service=in_service):
            return "zone-back" if in_service else "zone-out"
        case models.SetServerState(state=state):
            return f"server-{state.replace('_', '-')}"


def fingerprint(change: models.Change) -> str:
    """Returns a hash that is equal for repeated requests of one change.

    The reason, `force` and `dry_run` aren't part of it.
    """
    content = msgspec.json.encode(
        (
            change.principal.name,
            type(change.operation).__name__,
            key_of(change.operation),
            msgspec.to_builtins(change.operation),
            change.expected,
        ),
        order="deterministic",
    )
    return hashlib.blake2b(content, digest_size=12).hexdigest()


def merge_labels(
    labels: Mapping[str, str], change: models.ChangeLabels
) -> dict[str, str]:
    """Returns the labels after some of them were set or removed."""
    other_labels = {k: v for k, v in labels.items() if k not in change.remove}
    return {**other_labels, **change.set}


def plan_change(
    change: models.Change, snapshot: models.ObjectSnapshot
) -> result.Result[models.ChangePlan, exceptions.Failure]:
    """Returns the plan of a change, or the failure that refuses it.

    The operator must be allowed to change both the present and the new value
    of the object. `force` skips only the capacity check.
    """
    key = key_of(change.operation)
    current = snapshot.config_object(key)
    version = snapshot.version(key)
    match _changed_value(change.operation, current):
        case result.Err(failure):
            return result.Err(failure)
        case result.Ok(value):
            pass
    groups = snapshot.groups()
    for checked_value in (current, value):
        if checked_value is not None and not access.may_change(
            change.principal, checked_value, groups
        ):
            return result.Err(exceptions.Forbidden(change.principal.name, *key))
    if change.expected is not None and change.expected != version:
        current_version = snapshot.objects.get(key)
        return result.Err(
            exceptions.VersionConflict(
                *key,
                change.expected,
                version,
                "" if current_version is None else current_version.operation_id,
            )
        )
    if change.force and not change.reason.strip():
        return result.Err(exceptions.ReasonMissing())
    snapshot_after = snapshot.with_value(key, value)
    constraint_failure = _check_constraints(current, value, snapshot_after)
    if constraint_failure is not None:
        return result.Err(constraint_failure)
    capacity = _compute_capacity_changes(snapshot, snapshot_after)
    too_low = tuple(c for c in capacity if _is_too_low(c))
    if too_low and not change.force:
        return result.Err(exceptions.CapacityTooLow(too_low))
    unchanged = value == current
    return result.Ok(
        models.ChangePlan(
            key,
            value,
            version,
            unchanged,
            ()
            if unchanged
            else moves_caused_by_change(snapshot, snapshot_after),
            tuple(c for c in capacity if c.before != c.after),
        )
    )


def _changed_value(
    operation: models.Operation, current: schemas.ConfigObject | None
) -> result.Result[schemas.ConfigObject | None, exceptions.Failure]:
    if isinstance(operation, models.Apply):
        return result.Ok(operation.value)
    if current is None:
        return result.Err(exceptions.NoSuchObject(*key_of(operation)))
    match operation:
        case models.Delete():
            return result.Ok(None)
        case models.ChangeLabels() if isinstance(current, schemas.Selector):
            return result.Err(
                exceptions.Invalid(
                    f"selector {current.name!r} can't have labels"
                )
            )
        case models.ChangeLabels():
            assert not isinstance(current, schemas.Selector)
            labels = merge_labels(current.labels, operation)
            if len(labels) > _MAX_LABELS:
                return result.Err(
                    exceptions.Invalid(
                        f"{current.KIND} {current.name!r} would have "
                        f"{len(labels)} labels; at most {_MAX_LABELS} are "
                        "allowed"
                    )
                )
            return result.Ok(msgspec.structs.replace(current, labels=labels))
        case models.SetZoneService(in_service=in_service):
            return result.Ok(
                msgspec.structs.replace(current, in_service=in_service)
            )
        case models.SetServerState(state=state):
            return result.Ok(msgspec.structs.replace(current, state=state))
        case _:
            typing.assert_never(operation)


def _check_constraints(
    current: schemas.ConfigObject | None,
    value: schemas.ConfigObject | None,
    snapshot_after: models.ObjectSnapshot,
) -> exceptions.Failure | None:
    match value:
        case None:
            return (
                None
                if current is None
                else _check_not_in_use(current, snapshot_after)
            )
        case schemas.ServerGroup():
            return _check_group(current, value)
        case schemas.BackendServer(group=group):
            return _check_server(value, snapshot_after.groups().get(group))
        case schemas.Selector(group=group):
            if group not in snapshot_after.groups():
                return exceptions.Invalid(f"there is no server group {group!r}")
            return None
        case schemas.AvailabilityZone() | schemas.Vm():
            return None


def _check_group(
    current: schemas.ConfigObject | None, value: schemas.ServerGroup
) -> exceptions.Failure | None:
    match value.routing:
        case schemas.Keyed(slices=slices, partitions=partitions):
            if slices & (slices - 1) or partitions > slices:
                return exceptions.Invalid(
                    f"server group {value.name!r} has {slices} slices and "
                    f"{partitions} partitions; slices must be a power of two "
                    "and at least the number of partitions"
                )
        case schemas.Unkeyed():
            pass
    if isinstance(current, schemas.ServerGroup) and (
        _partition_layout(current.routing) != _partition_layout(value.routing)
    ):
        # The partition objects of a group are created once and never resized.
        return exceptions.Invalid(
            f"routing type, slices and partitions of server group "
            f"{value.name!r} can't change; create another group and move the "
            "selectors to it"
        )
    return None


def _partition_layout(routing: schemas.Routing) -> tuple[str, int, int]:
    match routing:
        case schemas.Keyed(slices=slices, partitions=partitions):
            return "keyed", slices, partitions
        case schemas.Unkeyed(partitions=partitions):
            return "unkeyed", 0, partitions


def _check_server(
    value: schemas.BackendServer, group: schemas.ServerGroup | None
) -> exceptions.Failure | None:
    if group is None:
        return exceptions.Invalid(f"there is no server group {value.group!r}")
    if value.partition >= group.routing.partitions:
        return exceptions.Invalid(
            f"server group {group.name!r} has {group.routing.partitions} "
            f"partitions; backend server {value.name!r} can't be in "
            f"partition {value.partition}"
        )
    return None


def _check_not_in_use(
    current: schemas.ConfigObject, snapshot_after: models.ObjectSnapshot
) -> exceptions.Failure | None:
    users: list[str] = []
    match current:
        case schemas.ServerGroup(name=name):
            users += [
                f"selector/{s.name}"
                for s in snapshot_after.selectors()
                if s.group == name
            ]
            users += [
                f"backend_server/{s.name}"
                for s in snapshot_after.servers()
                if s.group == name
            ]
        case schemas.BackendServer(name=name):
            users += [
                f"partition/{p.name}"
                for _, p in snapshot_after.partitions()
                if any(_names_server(s, name) for s in p.slices)
            ]
        case schemas.AvailabilityZone(name=name):
            users += [
                f"backend_server/{s.name}"
                for s in snapshot_after.servers()
                if s.availability_zone == name
            ]
            users += [
                f"vm/{v.name}"
                for v in snapshot_after.vms()
                if v.availability_zone == name
            ]
        case schemas.Selector() | schemas.Vm():
            pass
    if not users:
        return None
    return exceptions.InUse(current.KIND, current.name, tuple(users))


def _names_server(state: schemas.SliceState, server: str) -> bool:
    match state:
        case schemas.Owned(server=owner):
            return owner == server
        case schemas.Moving(source=source, target=target):
            return server in (source, target)
        case schemas.Unassigned():
            return False


def _partitions_in_service(
    snapshot: models.ObjectSnapshot,
) -> dict[str, list[int]]:
    """Returns the partition numbers of the servers in service, by group.

    A group's list has one entry for each of its servers in service.
    """
    zones = snapshot.zones()
    partitions_by_group: dict[str, list[int]] = {
        g: [] for g in snapshot.groups()
    }
    for server in snapshot.servers():
        zone = zones.get(server.availability_zone)
        if server.state == "in_service" and (zone is None or zone.in_service):
            partitions_by_group.setdefault(server.group, []).append(
                server.partition
            )
    return partitions_by_group


def _compute_capacity_changes(
    snapshot_before: models.ObjectSnapshot,
    snapshot_after: models.ObjectSnapshot,
) -> tuple[models.CapacityChange, ...]:
    """Returns groups and partitions whose number of servers in service changes.

    A partition is returned only if it would lose its last server in service. A
    group is returned too if the change raises the number that it requires.
    """
    partitions_before, partitions_after = (
        _partitions_in_service(snapshot_before),
        _partitions_in_service(snapshot_after),
    )
    groups_before = snapshot_before.groups()
    changes = []
    for name, group in sorted(snapshot_after.groups().items()):
        in_service_before, in_service_after = (
            partitions_before.get(name, []),
            partitions_after[name],
        )
        required = max(1, group.spare_servers)
        previous_group = groups_before.get(name)
        requirement_rises = previous_group is not None and required > max(
            1, previous_group.spare_servers
        )
        if len(in_service_before) != len(in_service_after) or requirement_rises:
            changes.append(
                models.CapacityChange(
                    name,
                    None,
                    # A raised requirement counts as a loss of servers, so that
                    # _is_too_low refuses it if the group is too small.
                    len(in_service_before)
                    + (required if requirement_rises else 0),
                    len(in_service_after),
                    required,
                )
            )
        for partition in sorted(set(in_service_before) - set(in_service_after)):
            changes.append(
                models.CapacityChange(
                    name, partition, in_service_before.count(partition), 0, 1
                )
            )
    return tuple(changes)


def _is_too_low(capacity: models.CapacityChange) -> bool:
    return (
        capacity.after < capacity.before and capacity.after < capacity.required
    )


def moves_caused_by_change(
    snapshot_before: models.ObjectSnapshot,
    snapshot_after: models.ObjectSnapshot,
) -> tuple[models.SliceMoves, ...]:
    """Returns the slices that would move because of a change.

    Slices that would move between the same servers without the change are left
    out.

    Args:
        snapshot_before: The objects without the change.
        snapshot_after: The objects with the change.
    """
    moves: list[models.SliceMoves] = []
    for _, partition in snapshot_after.partitions():
        moves_without_change = _plan_slice_moves(partition, snapshot_before)
        slices_by_servers: dict[tuple[str, str], list[int]] = {}
        for slice_index, servers in _plan_slice_moves(
            partition, snapshot_after
        ).items():
            if moves_without_change.get(slice_index) != servers:
                slices_by_servers.setdefault(servers, []).append(slice_index)
        moves += [
            models.SliceMoves(
                partition.group, partition.index, source, target, tuple(slices)
            )
            for (source, target), slices in sorted(slices_by_servers.items())
        ]
    return tuple(moves)


def _plan_slice_moves(
    partition: schemas.Partition, snapshot: models.ObjectSnapshot
) -> dict[int, tuple[str, str]]:
    """Returns the present and the final server of each slice that moves.

    Simulates rebalancing until it makes no further move; each move, also one
    that is under way now, counts as finished at once. Slices that have no owner
    now are left out.
    """
    group = snapshot.groups().get(partition.group)
    if group is None:
        return {}
    view = authority.ClusterView(
        group,
        tuple(
            s
            for s in snapshot.servers()
            if s.group == group.name and s.partition == partition.index
        ),
        snapshot.zones(),
        {},
    )
    first_slice = partition.first_slice
    all_slices = frozenset(
        range(first_slice, first_slice + len(partition.slices))
    )
    initial_slices = assignment.finish_moves(
        partition.slices, first_slice, all_slices, 0
    )
    current_slices = initial_slices
    for _ in range(_MAX_PLAN_STEPS):
        planned_slices = assignment.plan_moves(
            current_slices, view, frozenset(), 0
        )
        next_slices = assignment.finish_moves(
            planned_slices, first_slice, all_slices, 0
        )
        if next_slices == current_slices:
            break
        current_slices = next_slices
    moves: dict[int, tuple[str, str]] = {}
    for slice_index, (state_before, state_after) in enumerate(
        zip(initial_slices, current_slices, strict=True), first_slice
    ):
        match state_before, state_after:
            case (
                schemas.Owned(server=source),
                schemas.Owned(server=target),
            ) if source != target:
                moves[slice_index] = (source, target)
            case _:
                pass
    return moves


def apply_pending(
    snapshot: models.ObjectSnapshot,
    pending: tuple[history.ChangeRecord, ...],
    excluded_key: models.ObjectKey,
) -> models.ObjectSnapshot:
    """Returns the objects as if all pending writes had been accepted.

    Two changes that each leave enough capacity can together leave too little,
    so the change that is recorded second is checked with the first applied.

    Args:
        snapshot: The objects.
        pending: Changes whose write may still be in flight.
        excluded_key: Object that is left as it is, because a race for one
            object is decided by its version.
    """
    for record in pending:
        key = (record.kind, record.name)
        if key == excluded_key or snapshot.version(key) != record.based_on:
            continue
        model = schemas.CONFIG_KINDS.get(record.kind)
        if model is None:
            continue
        value = (
            None
            if record.value is None
            else msgspec.json.decode(record.value, type=model)
        )
        snapshot = models.ObjectSnapshot(
            {
                **snapshot.objects,
                key: models.ObjectVersion(record.based_on, record.id, value),
            }
        )
    return snapshot


def with_winner(
    conflict: exceptions.VersionConflict,
    records: tuple[history.ChangeRecord, ...],
) -> exceptions.VersionConflict:
    """Returns a conflict with the operator and time of the winning change.

    The conflict is returned unchanged if no record has the winner's change id.
    """
    for record in records:
        if record.id == conflict.lost_to:
            return exceptions.VersionConflict(
                conflict.kind,
                conflict.name,
                conflict.expected,
                conflict.found,
                record.id,
                record.operator,
                record.at_ms,
            )
    return conflict


def explain(
    snapshot: models.ObjectSnapshot, path: str, key: str
) -> result.Result[dict[str, str | int | None], exceptions.Failure]:
    """Returns how a request with a path and a key is routed.

    The selector with the longest matching prefix is used. The result has the
    selector, the group and, for a keyed group, the slice with its partition,
    owner, fencing token and home VM.
    """
    matching_selectors = [
        s for s in snapshot.selectors() if path.startswith(s.path_prefix)
    ]
    if not matching_selectors:
        return result.Err(
            exceptions.Invalid(f"no selector matches the path {path!r}")
        )
    selector = max(matching_selectors, key=lambda s: len(s.path_prefix))
    explanation: dict[str, str | int | None] = {
        "path": path,
        "key": key,
        "selector": selector.name,
        "group": selector.group,
    }
    group = snapshot.groups().get(selector.group)
    if group is None:
        return result.Err(
            exceptions.NoSuchObject(schemas.ServerGroup.KIND, selector.group)
        )
    match group.routing:
        case schemas.Unkeyed():
            return result.Ok({**explanation, "routing": "unkeyed"})
        case schemas.Keyed(slices=slices):
            slice_index = keyspace.slice_of(key.encode(), slices)
    explanation = {**explanation, "routing": "keyed", "slice": slice_index}
    for version, partition in snapshot.partitions():
        offset = slice_index - partition.first_slice
        if partition.group != group.name or not (
            0 <= offset < len(partition.slices)
        ):
            continue
        explanation |= {
            "partition": partition.name,
            "partition_version": version,
            "holder": partition.holder.vm,
        }
        match partition.slices[offset]:
            case schemas.Owned(server=server, token=token):
                explanation |= {
                    "state": "owned",
                    "owner": server,
                    "token": token,
                    "since_version": token,
                    "home": partition.homes.get(server),
                }
            case schemas.Moving(source=source, target=target, token=token):
                explanation |= {
                    "state": "moving",
                    "source": source,
                    "target": target,
                    "token": token,
                }
            case schemas.Unassigned():
                explanation["state"] = "unassigned"
    return result.Ok(explanation)
