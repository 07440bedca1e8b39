"""Gets the newest key tables after the store was restored from a copy."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import holder_check


async def recover(
    local_vm: models.Vm,
    own_lease: models.Lease,
    previous: models.Lease,
    check: holder_check.HolderCheck,
    on_newer_tables: Callable[[models.Vm], Awaitable[None]],
) -> None:
    """Gets the newest tables that any gateway knows, if the store may not have.

    The restored store may have lost changes of the tables, but the other
    gateways know them. If the previous holder can't be asked, its last grants
    expire first, since no gateway may know its last changes.

    Args:
        local_vm: This gateway.
        own_lease: The lease that this gateway has acquired.
        previous: The lease before it.
        check: Asks the other gateways.
        on_newer_tables: Called with a gateway that has newer tables.
    """
    if revisions.epoch_generation(previous.epoch) == revisions.epoch_generation(
        own_lease.epoch
    ):
        return
    statuses = await check.collect_statuses(own_lease)
    for vm in statuses.vms_by_table_revision():
        await on_newer_tables(vm)
    is_own = (previous.holder, previous.incarnation) == (
        local_vm.name,
        local_vm.incarnation,
    )
    if not is_own and not statuses.includes(
        previous.holder, previous.incarnation
    ):
        await asyncio.sleep(grant_expiry.max_grant_lifetime_s())
