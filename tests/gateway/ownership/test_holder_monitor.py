"""Tests of when the lease holder is considered lost."""

from berylweir.gateway.ownership import holder_monitor
from berylweir.gateway.peers import messages as peers


def status(confirmed_s: float) -> peers.GatewayStatus:
    """Returns the status of a holder that was confirmed some time ago."""
    return peers.GatewayStatus("run", 3, True, confirmed_s=confirmed_s)


class TestHolderMonitor:
    """Responses and silence of the holder."""

    def create(self) -> holder_monitor.HolderMonitor:
        """Returns the monitor of a holder that has had the lease for long."""
        monitor = holder_monitor.HolderMonitor()
        monitor.record_lease_change(0.0)
        return monitor

    def test_holder_that_stays_silent_is_lost(self):
        """Guards against a lost holder that no gateway replaces."""
        monitor = self.create()
        monitor.record_no_response(100.0)
        assert not monitor.is_lost
        monitor.record_no_response(101.0)
        assert monitor.is_lost

    def test_response_makes_up_for_silence(self):
        """Guards against replacing a holder after two lost messages."""
        monitor = self.create()
        monitor.record_no_response(100.0)
        monitor.record_holder(status(1.0), 101.0, is_store_up=True)
        monitor.record_no_response(102.0)
        assert not monitor.is_lost

    def test_new_holder_may_be_silent(self):
        """Guards against replacing a holder that is busy at first."""
        monitor = self.create()
        for _ in range(5):
            monitor.record_no_response(0.5)
        assert not monitor.is_lost

    def test_holder_without_store_is_replaced(self):
        """Guards against a holder that can't move keys."""
        monitor = self.create()
        monitor.record_holder(status(60.0), 100.0, is_store_up=True)
        assert monitor.is_lost
        assert monitor.is_replacing

    def test_holder_is_kept_while_the_store_is_down(self):
        """Guards against replacing a holder that still renews grants."""
        monitor = self.create()
        monitor.record_holder(status(60.0), 100.0, is_store_up=False)
        assert not monitor.is_lost

    def test_former_holder_is_lost_at_once(self):
        """Guards against a delay when the holder has resigned."""
        monitor = self.create()
        monitor.record_other_gateway()
        assert monitor.is_lost

    def test_silent_holder_is_taken_for_alive_when_the_store_fails(self):
        """Guards against keys without an owner while the store is unsteady."""
        monitor = self.create()
        for now_s in (100.0, 101.0):
            monitor.record_no_response(now_s)
        for _ in range(5):
            monitor.record_failed_takeover()
        assert monitor.is_lost
        assert monitor.failed_takeovers == 2
        monitor.record_lease_change(110.0)
        assert monitor.failed_takeovers == 0

    def test_holder_that_responds_is_replaced_without_asking_again(self):
        """Guards against replacing a holder that reaches the store again."""
        monitor = self.create()
        monitor.record_holder(status(60.0), 100.0, is_store_up=True)
        monitor.record_failed_takeover()
        assert not monitor.is_lost
        assert not monitor.is_replacing
