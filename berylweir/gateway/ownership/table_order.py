"""Tells which gateways know newer key tables than others.

Key tables are ordered by `models.TableOrder` everywhere. Builds that don't
state the epochs of their tables are compared by revisions.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from berylweir.gateway import models
from berylweir.gateway.peers import messages as peers

Orders = Mapping[str, models.TableOrder]


def revisions(orders: Orders) -> dict[str, int]:
    """Returns the revisions of tables, by name."""
    return {name: order.revision for name, order in orders.items()}


def epochs(orders: Orders) -> dict[str, int]:
    """Returns the epochs of tables, by name."""
    return {name: order.epoch for name, order in orders.items()}


def knows_newer(
    status: peers.GatewayStatus, name: str, known: models.TableOrder | None
) -> bool:
    """Returns whether a gateway has a newer table than a known one.

    Args:
        status: Status of the gateway.
        name: Name of the table.
        known: Order of the known table; None if none is known.
    """
    revision = status.tables.get(name)
    if revision is None:
        return False
    if known is None:
        return True
    epoch = status.table_epochs.get(name)
    if epoch is None:
        return revision > known.revision
    return models.TableOrder(epoch, revision) > known


def is_older(
    status: peers.GatewayStatus, name: str, table: models.KeyTable
) -> bool:
    """Returns whether a gateway has an older table than the given one, or none.

    Args:
        status: Status of the gateway.
        name: Name of the table.
        table: The table.
    """
    revision = status.tables.get(name)
    if revision is None:
        return True
    epoch = status.table_epochs.get(name)
    if epoch is None:
        return revision < table.revision
    return models.TableOrder(epoch, revision) < table.order


def knows_all(status: peers.GatewayStatus, orders: Orders) -> bool:
    """Returns whether a gateway has no newer table than the known ones.

    Args:
        status: Status of the gateway.
        orders: Orders of the known tables, by name.
    """
    return not any(
        knows_newer(status, name, orders.get(name)) for name in status.tables
    )


def vms_with_newer_tables(
    replies: Iterable[tuple[models.Vm, peers.GatewayStatus]], known: Orders
) -> list[models.Vm]:
    """Returns the gateways with the newest state of any key table.

    Args:
        replies: The gateways that responded, with their status.
        known: Order of each table that is already known, by name.
    """
    # Tables with and without a stated epoch can't be compared.
    newest: dict[tuple[str, bool], tuple[models.TableOrder, models.Vm]] = {}
    for vm, status in replies:
        for name, revision in status.tables.items():
            if not knows_newer(status, name, known.get(name)):
                continue
            epoch = status.table_epochs.get(name)
            key = name, epoch is not None
            order = models.TableOrder(epoch or 0, revision)
            if key not in newest or order > newest[key][0]:
                newest[key] = order, vm
    return list(dict.fromkeys(vm for _, vm in newest.values()))
