"""What a holder gives to homes, and what they give back."""

import dataclasses

from berylweir.keeper.authority import leases
from berylweir.keeper.authority import models
from berylweir.objects import schemas

_NO_EXPIRY_S = 3600.0


def delegate(
    state: models.State,
    event: models.DelegationRequested,
    now: float,
    view: models.ClusterView,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> models.Step:
    """Notes what a home reports, and delegates to it if this VM may act."""
    partition = state.partition
    if partition is None:
        return state, ()
    vm = event.sender.vm
    homes = {h.vm: h for h in state.homes}
    record = dataclasses.replace(
        homes.get(vm, models.HomeRecord(vm, event.sender)), heard_s=now
    )
    commands: list[models.Command] = []
    if event.version < state.version and leases.may_act(
        state, now, timings, safety
    ):
        commands.append(models.SendObject(event.sender))
    servers = {s.server: s for s in state.servers}
    if safety.one_home_incarnation and _is_other_home(
        record, event.sender, view, now, timings
    ):
        homes[vm] = record
        return dataclasses.replace(state, homes=tuple(homes.values())), tuple(
            commands
        )
    record = dataclasses.replace(record, incarnation=event.sender)
    servers |= {
        name: models.ServerRecord(name, healthy, now, instance)
        for name, healthy, instance in event.servers
        if partition.homes.get(name) == vm
    }
    may_delegate = leases.may_act(state, now, timings, safety) and not (
        safety.unresolved_pairs and _must_stay_unserved(partition, view)
    )
    if (
        may_delegate
        and vm in partition.homes.values()
        and event.version == state.version
    ):
        duration_s = _delegation_s(state, view, now, timings, safety)
        record = dataclasses.replace(
            record,
            delegated_until_s=max(record.delegated_until_s, now + duration_s),
        )
        commands.append(
            models.SendDelegation(
                event.sender, event.nonce, state.version, duration_s
            )
        )
    homes[vm] = record
    loads = dict(state.loads) | {vm: event.slice_loads}
    return dataclasses.replace(
        state,
        homes=tuple(homes.values()),
        servers=tuple(servers.values()),
        loads=tuple(loads.items()),
    ), tuple(commands)


def _is_other_home(
    record: models.HomeRecord,
    sender: schemas.Incarnation,
    view: models.ClusterView,
    now: float,
    timings: models.Timings,
) -> bool:
    """Returns whether another incarnation of the home may still act."""
    if record.incarnation == sender or isinstance(
        view.group.routing, schemas.Unkeyed
    ):
        return False
    return now < record.delegated_until_s + timings.margin_s


def _must_stay_unserved(
    partition: schemas.Partition, view: models.ClusterView
) -> bool:
    """Returns whether a former pair may let another home send.

    Backend servers that check grants refuse that home by its tokens.
    """
    match view.group.routing:
        case schemas.Keyed(checks_grants=False):
            return bool(partition.unresolved)
        case schemas.Keyed() | schemas.Unkeyed():
            return False


def _delegation_s(
    state: models.State,
    view: models.ClusterView,
    now: float,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> float:
    match view.group.routing:
        case schemas.Unkeyed():
            return _NO_EXPIRY_S
        case schemas.Keyed():
            remaining_s = leases.authority_until_s(state, timings, safety) - now
            return max(0.0, min(timings.lease_s, remaining_s))


def release(
    state: models.State,
    event: models.SlicesReleased,
    now: float,
    view: models.ClusterView,
    safety: models.SafetyRules,
) -> models.State:
    """Notes slices that have left their source."""
    partition = state.partition
    if partition is None or event.version != state.version:
        return state
    if safety.unresolved_pairs and partition.unresolved:
        # A home of the former pair may still grant: to a server that this VM
        # can't reach, or to a new instance, which knows no tokens.
        return state
    if safety.one_home_incarnation:
        delegated = {h.incarnation for h in state.homes}
        if (
            event.sender not in delegated
            or partition.homes.get(event.server) != event.sender.vm
        ):
            return state
        is_sure = event.confirmed and _checks_grants(view)
        if now < state.resigned_until_s and not is_sure:
            return state
    first = partition.first_slice
    freed = {
        s
        for s in event.slices
        if 0 <= s - first < len(partition.slices)
        and source_of(partition.slices[s - first]) == event.server
    }
    return dataclasses.replace(state, released=state.released | freed)


def _checks_grants(view: models.ClusterView) -> bool:
    match view.group.routing:
        case schemas.Keyed(checks_grants=checks_grants):
            return checks_grants
        case schemas.Unkeyed():
            return False


def source_of(slice_state: schemas.SliceState) -> str | None:
    """Returns the server that a moving slice leaves, or None."""
    match slice_state:
        case schemas.Moving(source=source):
            return source
        case schemas.Owned() | schemas.Unassigned():
            return None
