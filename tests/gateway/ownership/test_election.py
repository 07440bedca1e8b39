"""Tests of the order in which gateways take over the lease."""

from berylweir.gateway import models
from berylweir.gateway.ownership import election


def vm(name: str, link_mbps: float) -> models.Vm:
    """Returns a VM with a link of some bandwidth in Mbit/s."""
    size = models.VmSize(link_mbps)
    return models.Vm(name, f"run-{name}", "127.0.0.1", 1, "a", 1, size)


class TestSuccessionRank:
    """The order of succession."""

    def succession(self, vms: dict[str, models.Vm], epoch: int) -> list[str]:
        """Returns the names by rank, without that of the holder."""
        names_by_rank = {
            election.succession_rank(candidate, vms, "v0", epoch): name
            for name, candidate in vms.items()
            if name != "v0"
        }
        return [names_by_rank[position] for position in sorted(names_by_rank)]

    def test_large_vms_come_first(self):
        """Guards against a small VM as the holder, which grants all keys."""
        vms = {
            f"v{i}": vm(f"v{i}", 100.0 if i >= 80 else 5.0) for i in range(90)
        }
        succession = self.succession(vms, 1)
        assert len(succession) == 89
        assert set(succession[:10]) == {f"v{i}" for i in range(80, 90)}

    def test_the_first_of_vms_of_equal_size_varies_by_epoch(self):
        """Guards against ranking a VM that is down first each time."""
        vms = {f"v{i}": vm(f"v{i}", 5.0) for i in range(10)}
        assert len({self.succession(vms, epoch)[0] for epoch in range(20)}) > 3

    def test_an_unregistered_gateway_has_a_rank(self):
        """Guards against a first start at which no gateway takes the lease."""
        assert election.succession_rank(vm("me", 5.0), {}, "", 0) == 0


class TestTakeoverDelay:
    """The wait before a lost lease is taken."""

    def test_a_gateway_without_servers_comes_last(self):
        """Guards against an isolated gateway as the next holder."""
        ranks = range(100)
        reaching = [election.takeover_delay_s(rank) for rank in ranks]
        isolated = [
            election.takeover_delay_s(rank, reaches_servers=False)
            for rank in ranks
        ]
        assert max(reaching) < min(isolated)

    def test_an_offered_lease_is_taken_at_once(self):
        """Guards against keys without an owner for longer than needed."""
        assert election.takeover_delay_s(50, was_offered=True) == 0.0
