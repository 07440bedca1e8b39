"""Delegations that a holder gives to homes, and what homes report to it."""

import dataclasses

from berylweir.keeper.authority import leases
from berylweir.keeper.authority import models
from berylweir.objects import schemas

# Delegations of an unkeyed group practically don't expire, since two homes at a
# time do no harm there.
_UNKEYED_DELEGATION_S = 3600.0


def handle_request(
    state: models.State,
    event: models.DelegationRequested,
    now: float,
    view: models.ClusterView,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> models.Step:
    """Records the report of a home, and delegates to it if this VM may act.

    A standby records reports too, so that it knows the servers when it takes
    over.
    """
    partition = state.partition
    if partition is None:
        return state, ()
    vm = event.sender.vm
    home_records = {h.vm: h for h in state.home_records}
    record = dataclasses.replace(
        home_records.get(vm, models.HomeRecord(vm, event.sender)),
        last_request_s=now,
    )
    commands: list[models.Command] = []
    if event.version < state.version and leases.may_act(
        state, now, timings, safety
    ):
        commands.append(models.SendObject(event.sender))
    server_records = {s.server: s for s in state.server_records}
    if safety.single_home_incarnation and _other_incarnation_may_act(
        record, event.sender, view, now, timings
    ):
        home_records[vm] = record
        return dataclasses.replace(
            state, home_records=tuple(home_records.values())
        ), tuple(commands)
    record = dataclasses.replace(record, incarnation=event.sender)
    server_records |= {
        name: models.ServerRecord(name, healthy, now, instance)
        for name, healthy, instance in event.servers
        if partition.homes.get(name) == vm
    }
    may_delegate = leases.may_act(state, now, timings, safety) and not (
        safety.respect_unresolved_pairs
        and _former_pair_blocks_delegation(partition, view)
    )
    if (
        may_delegate
        and vm in partition.homes.values()
        and event.version == state.version
    ):
        duration_s = _delegation_duration_s(state, view, now, timings, safety)
        record = dataclasses.replace(
            record,
            delegated_until_s=max(record.delegated_until_s, now + duration_s),
        )
        commands.append(
            models.SendDelegation(
                event.sender, event.nonce, state.version, duration_s
            )
        )
    home_records[vm] = record
    loads_by_home = dict(state.slice_loads_by_home) | {vm: event.slice_loads}
    return dataclasses.replace(
        state,
        home_records=tuple(home_records.values()),
        server_records=tuple(server_records.values()),
        slice_loads_by_home=tuple(loads_by_home.items()),
    ), tuple(commands)


def _other_incarnation_may_act(
    record: models.HomeRecord,
    sender: schemas.Incarnation,
    view: models.ClusterView,
    now: float,
    timings: models.Timings,
) -> bool:
    """Returns whether another incarnation of the home has a live delegation."""
    if record.incarnation == sender or isinstance(
        view.group.routing, schemas.Unkeyed
    ):
        return False
    return now < record.delegated_until_s + timings.margin_s


def _former_pair_blocks_delegation(
    partition: schemas.Partition, view: models.ClusterView
) -> bool:
    """Returns whether the former pair rules out new delegations.

    An unresolved pair may still delegate to a home of its own. Backend servers
    that check grants refuse that home by its older tokens; others don't.
    """
    match view.group.routing:
        case schemas.Keyed(checks_grants=False):
            return bool(partition.unresolved)
        case schemas.Keyed() | schemas.Unkeyed():
            return False


def _delegation_duration_s(
    state: models.State,
    view: models.ClusterView,
    now: float,
    timings: models.Timings,
    safety: models.SafetyRules,
) -> float:
    """Returns the duration of a delegation given now, in seconds."""
    match view.group.routing:
        case schemas.Unkeyed():
            return _UNKEYED_DELEGATION_S
        case schemas.Keyed():
            remaining_s = leases.authority_end_s(state, timings, safety) - now
            return max(0.0, min(timings.lease_s, remaining_s))


def record_release(
    state: models.State,
    event: models.SlicesReleased,
    now: float,
    view: models.ClusterView,
    safety: models.SafetyRules,
) -> models.State:
    """Records moving slices that their source no longer serves.

    Ignores reports on another version, and reports that don't rule out that
    the source still serves the slices.
    """
    partition = state.partition
    if partition is None or event.version != state.version:
        return state
    if safety.respect_unresolved_pairs and partition.unresolved:
        # A home of the former pair may still give grants to a server that
        # this VM can't reach, or to a new server instance, which knows no
        # tokens yet.
        return state
    if safety.single_home_incarnation:
        delegated_incarnations = {h.incarnation for h in state.home_records}
        if (
            event.sender not in delegated_incarnations
            or partition.homes.get(event.server) != event.sender.vm
        ):
            return state
        # Until the delegations of a resigned holder have ended, another home
        # may still give grants. Only a server that checks grants can rule this
        # out.
        is_confirmed_by_server = event.confirmed and _checks_grants(view)
        if now < state.former_delegations_end_s and not is_confirmed_by_server:
            return state
    first = partition.first_slice
    newly_released = {
        s
        for s in event.slices
        if 0 <= s - first < len(partition.slices)
        and source_server(partition.slices[s - first]) == event.server
    }
    return dataclasses.replace(
        state, released_slices=state.released_slices | newly_released
    )


def _checks_grants(view: models.ClusterView) -> bool:
    """Returns whether the backend servers of the group check grants."""
    match view.group.routing:
        case schemas.Keyed(checks_grants=checks_grants):
            return checks_grants
        case schemas.Unkeyed():
            return False


def source_server(slice_state: schemas.SliceState) -> str | None:
    """Returns the source of a moving slice, or None for other slices."""
    match slice_state:
        case schemas.Moving(source=source):
            return source
        case schemas.Owned() | schemas.Unassigned():
            return None
