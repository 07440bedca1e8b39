"""Gets the newest key tables after the store was restored from a copy."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import holder_check


def is_due(
    epoch: int,
    tables: Mapping[str, models.KeyTable],
    groups: Iterable[models.ServerGroup],
) -> bool:
    """Returns whether the newest tables must be got before acting in an epoch.

    A holder writes the table of each group when it starts to act, so a table
    of an earlier generation may be older than the one by which keys were last
    granted. The same holds for a table that is missing.

    Args:
        epoch: Epoch of the lease under which a gateway is about to act.
        tables: The key tables that it knows, by group.
        groups: The configured server groups; none if the configuration isn't
            known.
    """
    generation = revisions.epoch_generation(epoch)
    if generation == 0:
        # The store has never been restored.
        return False
    if any(
        revisions.epoch_generation(table.epoch) < generation
        for table in tables.values()
    ):
        return True
    configured = list(groups)
    return not configured or any(
        group.is_keyed and group.name not in tables for group in configured
    )


async def recover(
    local_vm: models.Vm,
    own_lease: models.Lease,
    previous: models.Lease | None,
    check: holder_check.HolderCheck,
    on_newer_tables: Callable[[models.Vm], Awaitable[None]],
) -> None:
    """Gets the newest tables that any gateway knows.

    A restored store may have lost changes of the tables, but the other
    gateways know them. If the previous holder can't be asked, its last grants
    expire first, since no gateway may know its last changes.

    Args:
        local_vm: This gateway.
        own_lease: The lease that this gateway has acquired.
        previous: The lease before it; None if the store had none.
        check: Asks the other gateways.
        on_newer_tables: Called with a gateway that has newer tables.
    """
    statuses = await check.collect_statuses(own_lease)
    for vm in statuses.vms_by_table_revision():
        await on_newer_tables(vm)
    if previous is None:
        return
    is_own = (previous.holder, previous.incarnation) == (
        local_vm.name,
        local_vm.incarnation,
    )
    if not is_own and not statuses.includes(
        previous.holder, previous.incarnation
    ):
        await asyncio.sleep(grant_expiry.max_grant_lifetime_s())
