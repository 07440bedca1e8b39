"""Tests of what the lease holder reports of moves that it doesn't start."""

import logging

import pytest

from berylweir.gateway import models
from berylweir.gateway.ownership import balance_monitor
from berylweir.gateway.ownership import holds
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import tables
from berylweir.observability import counters

_SOURCE, _TARGET = (models.ServerInstance(n, 1) for n in ("from", "target"))


class TestBalanceMonitor:
    """A holder that plans every half second."""

    @pytest.fixture(autouse=True)
    def create(self, caplog: pytest.LogCaptureFixture):
        """Creates the monitor of a holder with two VMs."""
        caplog.set_level(logging.INFO)
        self.log = caplog
        self.metrics = counters.Counters()
        self.monitor = balance_monitor.BalanceMonitor(self.metrics)
        self.monitor.reports.update_vms(("me", "other"), 0.0)
        self.monitor.start_epoch(0.0)

    def run(self, first_s: int, last_s: int, *found, reports=("me", "other")):
        """Records passes in a time, with the same holds in each."""
        for half_s in range(2 * first_s, 2 * last_s):
            for vm in reports:
                self.monitor.reports.record(vm, half_s / 2.0)
            self.monitor.record_pass("g", found, half_s / 2.0)

    def lines(self):
        """Returns event, reason and subject of each log line."""
        return [(r.getMessage(), r.reason, r.awaited) for r in self.log.records]

    def test_a_lasting_hold_is_logged_when_it_begins_and_ends(self):
        """Guards against moves that stop for long while nothing says so."""
        self.run(0, 30, holds.AwaitsFirstGrant("s1"))
        assert self.lines() == [("moves held", "AwaitsFirstGrant", "s1")]
        self.run(30, 31)
        assert self.lines()[1:] == [("moves resumed", "AwaitsFirstGrant", "s1")]
        assert self.log.records[1].held_s == 30.0
        assert self.metrics.counts == {"moves.held.awaits_first_grant": 60}

    def test_short_holds_are_only_counted(self):
        """Guards against two lines for each move of keys."""
        for start_s in range(0, 40, 4):
            self.run(start_s, start_s + 3, holds.AwaitsRelease("s1"))
            self.run(start_s + 3, start_s + 4)
        assert not self.lines()
        assert self.metrics.counts == {"moves.held.awaits_release": 60}

    def test_a_silent_vm_is_named(self):
        """Guards against a load that is underestimated without a sign."""
        self.run(0, 20, reports=("me",))
        assert self.lines() == [("moves held", "ReportsMissing", "other")]
        assert self.metrics.gauges["reports.oldest_s"] == 19.5
        self.run(20, 21)
        assert self.lines()[1:] == [
            ("moves resumed", "ReportsMissing", "other")
        ]

    def test_a_move_ages_when_its_token_is_raised(self):
        """Guards against a stuck move that seems new to each epoch's table."""
        table = tables.start_moves(
            tables.create("g", [_SOURCE], 1), [ownership.Move(0, 9, _TARGET)]
        )
        self.monitor.record_tables({"g": table}, 1.0)
        self.monitor.record_tables({"g": tables.raise_tokens(table, 2)}, 4.0)
        self.run(8, 9)
        assert self.metrics.gauges["moves.oldest_s"] == 7.5
        self.monitor.record_tables({}, 9.0)
        self.run(9, 10)
        assert self.metrics.gauges["moves.oldest_s"] == 0.0

    def test_holds_end_with_the_lease(self):
        """Guards against a stuck move of a gateway that isn't the holder."""
        self.run(0, 10, holds.LeaseUnconfirmed())
        self.monitor.stop(12.0)
        assert [event for event, *_ in self.lines()] == [
            "moves held",
            "moves resumed",
        ]
        assert self.metrics.gauges["reports.oldest_s"] == 0.0
