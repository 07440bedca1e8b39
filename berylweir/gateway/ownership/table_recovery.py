"""Gets the newest key tables after the store was restored from a copy."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import logging

from berylweir.gateway import clock
from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.gateway.ownership import holder_check
from berylweir.gateway.ownership import lease_history
from berylweir.gateway.ownership import recovery_wait
from berylweir.gateway.ownership import table_order
from berylweir.gateway.peers import messages as peers

_LOGGER = logging.getLogger(__name__)
# Time between two requests to a gateway that doesn't respond, in seconds.
_POLL_INTERVAL_S = 0.3


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


def acted_epoch(
    tables: Mapping[str, models.KeyTable], groups: Collection[str]
) -> int:
    """Returns the lowest epoch under which a known table was written.

    Args:
        tables: The known key tables, by group.
        groups: Names of the configured server groups; tables of others aren't
            written any more. Empty if the configuration isn't known.

    Returns:
        The epoch; 0 if no table is known.
    """
    return min(
        (
            table.epoch
            for name, table in tables.items()
            if name in groups or not groups
        ),
        default=0,
    )


class TableRecovery:
    """Gets the newest tables, and awaits holders that may know newer ones."""

    def __init__(
        self,
        local_vm: models.Vm,
        check: holder_check.HolderCheck,
        history: lease_history.LeaseHistory,
        *,
        is_due: Callable[[int], bool],
        get_acted_epoch: Callable[[], int],
        get_table_orders: Callable[[], table_order.Orders],
        on_newer_tables: Callable[[models.Vm], Awaitable[None]],
    ) -> None:
        """Creates a recovery; `run` may be called for each lease.

        Args:
            local_vm: VM of this gateway.
            check: Asks the other gateways.
            history: Leases that this gateway knew before a restoration.
            is_due: Returns whether the newest tables must be got before acting
                in an epoch.
            get_acted_epoch: Returns the lowest epoch under which a known table
                was written; 0 if no table is known.
            get_table_orders: Returns the order of each known table, by name.
            on_newer_tables: Called with a gateway that has newer tables.
        """
        self._local_vm = local_vm
        self._check = check
        self._history = history
        self._is_due = is_due
        self._get_acted_epoch = get_acted_epoch
        self._get_table_orders = get_table_orders
        self._on_newer_tables = on_newer_tables

    def is_due(self, epoch: int) -> bool:
        """Returns whether `run` is required before acting in an epoch."""
        return self._is_due(epoch)

    async def run(
        self, own_lease: models.Lease, previous: models.Lease | None
    ) -> None:
        """Returns when the tables by which keys were last granted are known.

        That is also so once the grants of any unknown holder have expired.

        Args:
            own_lease: The lease that this gateway has acquired.
            previous: The lease before it; None if the store had none.
        """
        generation = revisions.epoch_generation(own_lease.epoch)
        started_s = clock.boot_s()
        self._history.record_generation(generation, started_s)
        restored_lease = (
            previous
            if previous is not None
            and revisions.epoch_generation(previous.epoch) < generation
            else None
        )
        responses = {
            self._local_vm.name: recovery_wait.Response(
                self._local_vm.incarnation,
                started_s,
                self._history.former,
                self._history.generation_known_s,
                are_tables_known=True,
            )
        }
        awaited: frozenset[str] | None = None
        while True:
            responses |= await self._ask(own_lease, awaited)
            wait = recovery_wait.plan(
                started_s,
                restored_lease,
                responses,
                self._check.registered,
                self._get_acted_epoch(),
            )
            remaining_s = wait.until_s - clock.boot_s()
            if remaining_s <= 0.0 or not self._is_due(own_lease.epoch):
                return
            if wait.awaited != awaited:
                awaited = wait.awaited
                _LOGGER.warning(
                    "earlier holders awaited",
                    extra={
                        "epoch": own_lease.epoch,
                        "remaining_s": round(remaining_s, 2),
                        "vms": sorted(awaited),
                    },
                )
            await asyncio.sleep(
                min(remaining_s, _POLL_INTERVAL_S) if awaited else remaining_s
            )

    async def _ask(
        self, own_lease: models.Lease, names: frozenset[str] | None
    ) -> dict[str, recovery_wait.Response]:
        """Asks other gateways, gets newer tables, and returns the responses.

        Args:
            own_lease: The lease that this gateway has acquired.
            names: Names of the VMs to ask; None for all.
        """
        statuses = await self._check.collect_statuses(own_lease, names)
        responded_s = clock.boot_s()
        for vm in statuses.vms_with_newer_tables(self._get_table_orders()):
            await self._on_newer_tables(vm)
        known = self._get_table_orders()
        generation = revisions.epoch_generation(own_lease.epoch)
        return {
            vm.name: _to_response(status, responded_s, generation, known)
            for vm, status in statuses.replies
        }


def _to_response(
    status: peers.GatewayStatus,
    responded_s: float,
    generation: int,
    known: table_order.Orders,
) -> recovery_wait.Response:
    """Returns what a gateway's status says of earlier holders.

    Args:
        status: The status.
        responded_s: When it was received, on the boot clock, in seconds.
        generation: Generation of the store in which this gateway has the
            lease.
        known: Order of each known table, by name.
    """
    age_s = 0.0
    if status.generation == generation and status.generation_age_s is not None:
        age_s = status.generation_age_s
    return recovery_wait.Response(
        status.incarnation,
        responded_s,
        peers.decode_former_leases(status.former),
        responded_s - age_s,
        table_order.knows_all(status, known),
    )
