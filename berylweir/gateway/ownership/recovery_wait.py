"""Decides which gateways a holder awaits after the store was restored.

The restored store may have lost the last lease of the earlier generation and
the last moves of its holder. Keys may only be granted once the holder's tables
are known, or its grants have expired.
"""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

from berylweir.gateway import models
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import lease_history


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """What a gateway responded; all times are on the own boot clock.

    Attributes:
        incarnation: Id of the run of the gateway.
        responded_s: Time of the response, in seconds. The gateway has granted
            no keys since.
        former: Newest leases of earlier generations that it knows; None if
            it has only started in the present one.
        restored_s: Time before which the store was restored, in seconds.
        are_tables_known: Whether all key tables that it knows are known here.
    """

    incarnation: str
    responded_s: float
    former: lease_history.FormerLeases | None
    restored_s: float
    are_tables_known: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """How long to wait, and for whom.

    Attributes:
        until_s: Time on the boot clock at which no holder of an earlier
            generation has unknown grants any more, in seconds, as far as is
            known.
        awaited: Names of VMs whose response may make that earlier or later.
    """

    until_s: float
    awaited: frozenset[str]


def plan(
    started_s: float,
    restored_lease: models.Lease | None,
    responses: Mapping[str, Response],
    registered: Collection[str],
    acted_epoch: int,
) -> Wait:
    """Returns how long to wait for holders of earlier generations.

    The holder of an epoch writes all key tables when it starts to act, by the
    tables of the holders before. So only the holder of that epoch and later
    ones can have made moves that aren't known. If a responding gateway
    certainly knows these holders, only they are awaited, else each gateway
    that doesn't respond.

    Args:
        started_s: When the wait began, on the boot clock, in seconds.
        restored_lease: The lease in the restored store, if it is of an earlier
            generation; None if there is none.
        responses: Responses by VM, with the own gateway's.
        registered: Names of the VMs of all registered gateways.
        acted_epoch: Lowest epoch under which a known table was written; 0 if
            no table is known.
    """
    known = _known_leases(restored_lease, responses)
    last_epoch = max((lease.epoch for lease in known), default=0)
    leases = [
        lease
        for lease in known
        if lease.epoch >= acted_epoch or lease.epoch == last_epoch
    ]
    lifetime_s = grant_expiry.max_grant_lifetime_s()
    # A holder confirmed its lease before the restoration for the last time.
    latest_s = (
        min(started_s, *(r.restored_s for r in responses.values()))
        + grant_expiry.AUTHORITY_S
        + lifetime_s
    )
    awaited = {
        lease.holder
        for lease in leases
        if lease.holder and lease.holder not in responses
    }
    expiries_s = [started_s]
    if not known:
        expiries_s.append(started_s + lifetime_s)
    for lease in leases:
        response = responses.get(lease.holder)
        if not lease.holder:
            expiries_s.append(started_s + lifetime_s)
        elif response is not None and not (
            response.incarnation == lease.incarnation
            and response.are_tables_known
        ):
            expiries_s.append(response.responded_s + lifetime_s)
    if not _are_all_known(last_epoch, responses, registered, acted_epoch):
        awaited |= set(registered) - responses.keys()
        # An earlier run of a gateway that has only started may have been a
        # holder.
        expiries_s += [
            response.responded_s + lifetime_s
            for response in responses.values()
            if response.former is None or not response.are_tables_known
        ]
    until_s = latest_s if awaited else min(max(expiries_s), latest_s)
    return Wait(until_s, frozenset(awaited))


def _known_leases(
    restored_lease: models.Lease | None, responses: Mapping[str, Response]
) -> set[lease_history.FormerLease]:
    """Returns all leases of earlier generations that any gateway knows.

    One that was resigned is only returned without its holder, since the copy
    and some gateways may not know of that. Only a gateway that read the
    resignation counts: a lease that was announced, but not read yet, has no
    holder either.
    """
    known = {
        lease
        for response in responses.values()
        if response.former is not None
        for lease in response.former.leases
    }
    resigned = {lease.epoch for lease in known if not lease.holder}
    if restored_lease is not None:
        known.add(
            lease_history.FormerLease(
                restored_lease.holder,
                restored_lease.incarnation,
                restored_lease.epoch,
            )
        )
    return {
        lease
        for lease in known
        if not lease.holder or lease.epoch not in resigned
    }


def _are_all_known(
    last_epoch: int,
    responses: Mapping[str, Response],
    registered: Collection[str],
    acted_epoch: int,
) -> bool:
    """Returns whether all leases are known from an epoch on.

    A new holder announces its lease to all gateways. One that certainly knows
    the last lease suffices, or most of them if each may have been cut off.

    Args:
        last_epoch: Highest epoch that any gateway knows.
        responses: Responses by VM.
        registered: Names of the VMs of all registered gateways.
        acted_epoch: The epoch from which on the leases must be known.
    """
    witnesses = [
        r.former
        for r in responses.values()
        if r.former is not None and r.former.newest.epoch == last_epoch
    ]
    return any(w.leases[0].epoch <= acted_epoch for w in witnesses) and (
        any(w.is_last for w in witnesses)
        or 2 * len(witnesses) > len(registered)
    )
