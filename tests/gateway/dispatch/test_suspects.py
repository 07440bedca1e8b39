"""Tests of the dispatcher's part in finding requests that crash servers."""

import asyncio
import dataclasses

from berylweir.crash_suspects import evidence
from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import models as dispatch
from berylweir.gateway.dispatch import suspects as suspect_requests
from berylweir.gateway.suspects import messages as suspects
from berylweir.observability import counters

_F = 7
_SERVER = models.BackendServer(
    "s", 1, "g", "127.0.0.1", 1, "a", 3, False, 0.0, 1
)


def server_number(number):
    """Returns another server."""
    return dataclasses.replace(_SERVER, name=f"s{number}")


class Harness:
    """Suspects of one VM, and what they report."""

    def __init__(self):
        self.reports = []
        self.probed = []
        self.suspects = suspect_requests.SuspectRequests(
            "vm", self.reports.append, self.probed.append, counters.Counters()
        )
        self.state = dispatch.ServerState(_SERVER)

    def requirements(self, *, is_retry=False, fingerprint=_F):
        """Returns what the request needs."""
        return messages.ServerRequirements(
            request_id="r",
            group="g",
            key=None,
            priority=1,
            is_idempotent=True,
            goal_ms=400.0,
            is_download=False,
            is_retry=is_retry,
            tried_instances=frozenset(),
            rejecting_instance=None,
            queue_deadline_s=100.0,
            owner_wait_deadline_s=100.0,
            deadline_s=100.0,
            fingerprint=fingerprint,
        )

    def finish(self, result, now_s, server=_SERVER, fingerprint=_F):
        """Ends an attempt; returns the servers that are probed then."""
        placement = messages.Placement(server, None, now_s - 0.1, 0.0)
        self.state.server = server
        self.probed.clear()
        self.suspects.finish(
            messages.AttemptFinished(
                placement,
                self.requirements(fingerprint=fingerprint),
                result,
                None,
                models.ServerStatements(),
                None,
                0.1,
            ),
            self.state,
            now_s,
        )
        return [server.name for server in self.probed]

    def overload(self):
        """Uses up the probes after first losses."""
        for number in range(10):
            self.finish(
                messages.AttemptResult.RESET,
                1.0,
                server_number(number),
                fingerprint=100 + number,
            )

    def check(self, now_s, *, is_retry=False):
        """Returns why the request is not sent; None if it is."""
        refusal = self.suspects.check(
            self.requirements(is_retry=is_retry), now_s
        )
        return refusal.reason if refusal is not None else None

    def probe(self, *, is_refused):
        """Reports a probe that opened no connection."""
        self.suspects.record_probe(
            messages.ServerProbed(_SERVER, None, is_refused=is_refused), 1.01
        )

    async def announce(self, since_s):
        """Announces the suspect; returns when it was last completed."""
        reply = asyncio.get_running_loop().create_future()
        self.suspects.apply(
            suspects.SuspectAnnounced(_F, since_s, reply), since_s
        )
        return await reply


class TestInvestigation:
    """The time between a lost connection and the finding."""

    def test_retry_is_sent_before_the_finding(self):
        """Guards against a second crash a few ms after the first."""
        harness = Harness()
        assert harness.finish(messages.AttemptResult.RESET, 1.0) == ["s"]
        reason = messages.RefusalReason.INVESTIGATED
        assert harness.check(1.01, is_retry=True) is reason
        harness.probe(is_refused=True)
        assert harness.check(1.02, is_retry=True) is reason
        (ended,) = harness.reports
        assert [e.server for e in ended.requests[0].ends] == ["s"]
        harness.suspects.apply(
            suspects.RequestsAssessed({_F: evidence.Finding.UNSUSPECTED}),
            1.02,
        )
        assert harness.check(1.03, is_retry=True) is None

    def test_reset_by_a_full_server_is_reported(self):
        """Guards against blaming requests that a full server reset."""
        harness = Harness()
        assert harness.finish(messages.AttemptResult.RESET, 1.0) == ["s"]
        harness.probe(is_refused=False)
        assert harness.reports == []
        assert harness.check(1.01, is_retry=True) is None

    def test_request_waits_for_a_judge_that_is_lost(self):
        """Guards against a retry that waits until its deadline."""
        harness = Harness()
        harness.finish(messages.AttemptResult.RESET, 1.0)
        harness.probe(is_refused=True)
        assert harness.check(1.2, is_retry=True) is None

    def test_end_of_a_leaving_server_is_reported(self):
        """Guards against blaming requests for a planned end."""
        harness = Harness()
        harness.state.leaving_since_s = 0.5
        assert harness.finish(messages.AttemptResult.RESET, 1.0) == []

    def test_hot_request_is_held_up_by_each_reset(self):
        """Guards against a probe and a wait for each reset of a hot path."""
        harness = Harness()
        harness.finish(messages.AttemptResult.SERVED, 0.9)
        assert harness.finish(messages.AttemptResult.RESET, 1.0) == []
        assert harness.check(1.01) is None

    def test_overloaded_servers_are_probed_after_each_reset(self):
        """Guards against connections that add to the load of full servers."""
        harness = Harness()
        probed = [
            harness.finish(
                messages.AttemptResult.RESET,
                1.0 + 0.01 * n,
                server_number(n),
                fingerprint=100 + n,
            )
            for n in range(50)
        ]
        assert sum(map(len, probed)) < 6

    def test_losses_at_an_overloaded_server_fill_the_memory(self):
        """Guards against requests that are remembered for good."""
        harness = Harness()
        harness.overload()
        for number in range(3000):
            now_s = 1.0 + 0.02 * number
            harness.finish(
                messages.AttemptResult.EXPIRED, now_s, fingerprint=1000 + number
            )
            if number % 50 == 0:
                harness.suspects.forget_old(now_s)
        assert harness.suspects.loss_count < 600

    def test_second_loss_of_a_request_is_taken_for_overload(self):
        """Guards against missing a harmful request while servers are full."""
        harness = Harness()
        harness.overload()
        assert harness.finish(messages.AttemptResult.RESET, 1.1) == []
        second = harness.finish(
            messages.AttemptResult.RESET, 1.2, server_number(99)
        )
        assert second == ["s", "s99"]
        reason = messages.RefusalReason.INVESTIGATED
        assert harness.check(1.21, is_retry=True) is reason

    async def test_earlier_losses_of_a_suspect_are_forgotten(self):
        """Guards against ends that no VM has noticed in an overload."""
        harness = Harness()
        harness.overload()
        assert harness.finish(messages.AttemptResult.RESET, 1.1) == []
        await harness.announce(1.15)
        assert harness.probed == [_SERVER]

    def test_server_that_ends_after_the_deadline_is_not_noticed(self):
        """Guards against a harmful request that waits in queues for long."""
        harness = Harness()
        assert harness.finish(messages.AttemptResult.EXPIRED, 1.0) == []
        assert harness.check(1.1) is None
        probed = harness.finish(
            messages.AttemptResult.RESET, 1.5, server_number(2)
        )
        assert probed == ["s", "s2"]

    def test_server_that_refuses_connections_later_is_not_probed(self):
        """Guards against ends that show only with the next request."""
        harness = Harness()
        harness.overload()
        assert harness.finish(messages.AttemptResult.RESET, 1.1) == []
        probed = harness.finish(
            messages.AttemptResult.UNREACHABLE, 1.3, fingerprint=9
        )
        assert probed == ["s"]


class TestSuspect:
    """Requests that were found to be suspected."""

    async def test_suspect_gets_a_second_server(self):
        """Guards against spending two servers on each try of a suspect."""
        harness = Harness()
        assert await harness.announce(1.0) is None
        assert harness.check(1.1) is None
        reason = messages.RefusalReason.SUSPECTED
        assert harness.check(1.1, is_retry=True) is reason

    async def test_suspect_runs_twice_at_a_time(self):
        """Guards against copies of a suspect on several servers."""
        harness = Harness()
        await harness.announce(1.0)
        harness.suspects.begin(harness.requirements())
        reason = messages.RefusalReason.INVESTIGATED
        assert harness.check(1.1) is reason
        harness.suspects.end(harness.requirements())
        assert harness.check(1.1) is None

    async def test_completed_suspect_stays_suspected(self):
        """Guards against refusing a request that servers survive."""
        harness = Harness()
        await harness.announce(1.0)
        harness.finish(messages.AttemptResult.SERVED, 2.0)
        assert harness.reports == [suspects.SuspectCompleted(_F, 2.0)]
        assert harness.check(2.1, is_retry=True) is None

    async def test_completion_between_the_crashes_is_not_told(self):
        """Guards against suspecting what this VM has served since."""
        harness = Harness()
        harness.finish(messages.AttemptResult.SERVED, 2.0)
        assert await harness.announce(1.0) == 2.0
        assert harness.check(2.1, is_retry=True) is None
        assert await harness.announce(3.0) is None
