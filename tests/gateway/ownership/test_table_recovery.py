"""Tests of getting the newest key tables after a restoration."""

from collections.abc import Callable

import pytest
import result

from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import holder_check
from berylweir.gateway.ownership import lease_history
from berylweir.gateway.ownership import table_recovery
from berylweir.gateway.ownership import tables
from berylweir.gateway.peers import exceptions
from berylweir.gateway.peers import messages as peers

_FIRST_EPOCH = revisions.next_epoch(0, 0)
_RESTORED_EPOCH = revisions.next_epoch(0, 1)


def table(group: str, epoch: int) -> models.KeyTable:
    """Returns the table of a group, as written under an epoch."""
    return tables.create(group, [models.ServerInstance("s1", 1)], epoch)


def group(name: str, *, is_keyed: bool = True) -> models.ServerGroup:
    """Returns the settings of a server group."""
    return models.ServerGroup(name, 8, 5.0, is_keyed)


class TestDue:
    """When the tables of the store may be older than the granted ones."""

    def is_due(
        self,
        table_epochs: dict[str, int],
        *,
        epoch: int = _RESTORED_EPOCH + 3,
        groups: tuple[models.ServerGroup, ...] = (group("g1"), group("g2")),
    ) -> bool:
        """Returns whether tables of the given epochs require a recovery."""
        known = {name: table(name, e) for name, e in table_epochs.items()}
        return table_recovery.is_due(epoch, known, groups)

    def test_is_due_until_a_holder_has_acted(self):
        """Guards against an old table if a holder ended before it acted."""
        assert self.is_due({"g1": _FIRST_EPOCH, "g2": _FIRST_EPOCH})

    def test_is_due_if_only_some_tables_were_written(self):
        """Guards against old tables if a holder ended while it wrote them."""
        assert self.is_due({"g1": _RESTORED_EPOCH, "g2": _FIRST_EPOCH})

    def test_is_due_if_a_table_is_missing(self):
        """Guards against a new table for keys that have owners."""
        assert self.is_due({"g1": _RESTORED_EPOCH})
        assert self.is_due({})

    def test_is_due_if_neither_tables_nor_groups_are_known(self):
        """Guards against a gateway that has only just started."""
        assert self.is_due({}, groups=())

    def test_is_due_again_after_another_restoration(self):
        """Guards against tables that are one restoration old."""
        restored_twice = revisions.next_epoch(0, 2)
        written = {"g1": _RESTORED_EPOCH, "g2": _RESTORED_EPOCH}
        assert self.is_due(written, epoch=restored_twice)

    def test_is_not_due_once_all_tables_were_written(self):
        """Guards against a delay of each later holder."""
        assert not self.is_due({"g1": _RESTORED_EPOCH, "g2": _RESTORED_EPOCH})

    @pytest.mark.parametrize("tables_known", [{}, {"g1": _FIRST_EPOCH}])
    def test_is_not_due_if_the_store_was_never_restored(self, tables_known):
        """Guards against a delay when a deployment starts."""
        assert not self.is_due(tables_known, epoch=_FIRST_EPOCH + 1)

    def test_groups_without_keys_need_no_table(self):
        """Guards against a delay of a deployment without keys."""
        assert not self.is_due({}, groups=(group("g", is_keyed=False),))


class TestActedEpoch:
    """The epoch whose holder has certainly written all tables."""

    def test_lowest_epoch_counts(self):
        """Guards against a holder that ended while it wrote the tables."""
        known = {"g1": table("g1", 7), "g2": table("g2", 5)}
        assert table_recovery.acted_epoch(known, {"g1", "g2"}) == 5

    def test_tables_of_removed_groups_do_not_count(self):
        """Guards against waiting for holders of long ago."""
        known = {"g1": table("g1", 7), "old": table("old", 2)}
        assert table_recovery.acted_epoch(known, {"g1"}) == 7

    def test_is_zero_without_tables(self):
        """Guards against trusting a gateway that knows nothing."""
        assert table_recovery.acted_epoch({}, {"g1"}) == 0


def vm(name: str) -> models.Vm:
    """Returns the VM of a gateway."""
    return models.Vm(name, f"run-{name}", "127.0.0.1", 1, "a")


class PeerGateways:
    """Client for the other gateways."""

    def __init__(
        self, answers: dict[str, Callable[[int], peers.GatewayStatus | None]]
    ) -> None:
        """Creates the client.

        Args:
            answers: By VM, returns the status for the n-th request, from 0;
                None if there is no response.
        """
        self._answers = answers
        self.requests: list[tuple[str, peers.Request]] = []

    def count(self, name: str) -> int:
        """Returns the number of requests to a VM."""
        return sum(asked == name for asked, _ in self.requests)

    async def ask(self, vm: models.Vm, request: peers.Request):
        """Returns the status of a gateway, or that it doesn't respond."""
        status = self._answers[vm.name](self.count(vm.name))
        self.requests.append((vm.name, request))
        if status is None:
            return result.Err(exceptions.PeerUnresponsive(vm.name, "silent"))
        return result.Ok(status)


def status(
    name: str,
    *,
    table_revision: int = 5,
    former: peers.FormerLeases | None = None,
    generation_age_s: float = 0.0,
) -> peers.GatewayStatus:
    """Returns the status of a gateway in the generation of the store."""
    return peers.GatewayStatus(
        f"run-{name}",
        _RESTORED_EPOCH,
        False,
        tables={"g1": table_revision},
        former=former,
        generation=1,
        generation_age_s=generation_age_s,
    )


class TestTableRecovery:
    """Gets the tables of other gateways, among them late ones."""

    _OWN_LEASE = models.Lease("vm-1", "run-vm-1", _RESTORED_EPOCH, 1)
    _FORMER = peers.FormerLeases(
        [peers.FormerLease("vm-2", "run-vm-2", 4)], is_last=True
    )

    async def recover(self, gateways: PeerGateways) -> list[str]:
        """Recovers the tables as vm-1, which knows revision 5 of one.

        Returns:
            The VMs whose tables were read.
        """
        known = {"g1": models.TableOrder(4, 5)}
        read = []

        async def read_tables(vm: models.Vm) -> None:
            read.append(vm.name)
            known["g1"] = models.TableOrder(4, 6)

        check = holder_check.HolderCheck(vm("vm-1"), gateways)
        check.update_vms({f"vm-{n}": vm(f"vm-{n}") for n in range(3)})
        recovery = table_recovery.TableRecovery(
            vm("vm-1"),
            check,
            lease_history.LeaseHistory(vm("vm-1")),
            is_due=lambda epoch: True,
            get_acted_epoch=lambda: 4,
            get_table_orders=lambda: known,
            on_newer_tables=read_tables,
        )
        restored_lease = models.Lease("vm-0", "run-vm-0", 3, 1)
        await recovery.run(self._OWN_LEASE, restored_lease)
        return read

    async def test_tables_of_a_late_holder_are_read(self):
        """Guards against moves of a holder that was suspended."""
        gateways = PeerGateways(
            {
                "vm-0": lambda n: status("vm-0", former=self._FORMER),
                "vm-2": lambda n: (
                    status("vm-2", table_revision=6, former=self._FORMER)
                    if n >= 2
                    else None
                ),
            }
        )
        assert await self.recover(gateways) == ["vm-2"]
        # A gateway that has responded isn't asked again.
        assert gateways.count("vm-0") == 1

    async def test_holder_that_never_responds_is_polled_until_the_end(self):
        """Guards against waiting forever, and against not asking again."""
        wait_s = grant_expiry.AUTHORITY_S + grant_expiry.max_grant_lifetime_s()
        gateways = PeerGateways(
            {
                "vm-0": lambda n: status(
                    "vm-0", former=self._FORMER, generation_age_s=wait_s - 1.0
                ),
                "vm-2": lambda n: None,
            }
        )
        assert await self.recover(gateways) == []
        assert gateways.count("vm-2") > 1

    async def test_new_holder_is_named_to_the_others(self):
        """Guards against a later restoration after which nobody knows it."""
        gateways = PeerGateways(
            {
                "vm-0": lambda n: status("vm-0", former=self._FORMER),
                "vm-2": lambda n: status("vm-2", former=self._FORMER),
            }
        )
        await self.recover(gateways)
        expected = peers.ResignLease(_RESTORED_EPOCH, "vm-1", "run-vm-1")
        assert gateways.requests == [("vm-0", expected), ("vm-2", expected)]
