"""Tests of the checks on pipelined requests."""

import dataclasses

import pytest

from berylweir.soak import gateways
from berylweir.soak import models
from berylweir.soak import pipelining_checks
from berylweir.soak import processor_waits
from berylweir.soak import stalls
from berylweir.standin.gateway_platform import server as server_standin

_CLOSED = models.RequestEnd.CLOSED_BY_GATEWAY
_LEFT = models.RequestEnd.LEFT_BY_CALLER
# Start of the soak on the monotonic clock.
_STARTED_S = 100.0


def make_request(end: models.RequestEnd = _CLOSED, **changes):
    """Returns a request without an answer; `changes` replace its fields."""
    fields = {
        "sent_s": 5.0,
        "ended_s": 5.5,
        "deadline_s": 7.0,
        "requests_ahead": 0,
    } | changes
    exchange = models.Exchange(
        "r1", "/safe/1", True, 0, 1, fields["sent_s"], fields["ended_s"], None
    )
    return models.PipelinedExchange(
        exchange, fields["deadline_s"], fields["requests_ahead"], end
    )


def make_server(
    *, arrived_s: float | None = None, completed_s: float | None = None
) -> server_standin.Server:
    """Returns a server that got the request, and had its response ready."""
    server = server_standin.Server("s0")
    if arrived_s is not None:
        server.arrivals.append(
            server_standin.Arrival(
                "r1", _STARTED_S + arrived_s, None, False, None
            )
        )
    if completed_s is not None:
        server.completions.append(
            server_standin.Completion("r1", _STARTED_S + completed_s)
        )
    return server


def check(
    request: models.PipelinedExchange | None = None,
    server: server_standin.Server | None = None,
    **records,
) -> pipelining_checks.Result:
    """Checks one request."""
    return pipelining_checks.check(
        pipelining_checks.Records(
            _STARTED_S,
            [request] if request is not None else [],
            records.pop("idle_closes", ()),
            [server or make_server()],
            **records,
        )
    )


class TestClosedConnections:
    """Requests whose connection the gateway closes."""

    def test_arrived_request_must_be_answered(self):
        """Guards against a check that misses dropped requests."""
        (violation,) = check(make_request()).violations
        assert "cut by a close" in violation

    @pytest.mark.parametrize(
        ("requests_ahead", "crossed"), [(0, (1, 0)), (2, (0, 1))]
    )
    def test_crossing_of_a_close_is_counted(self, requests_ahead, crossed):
        """Guards against blaming a gateway for what it can't have read."""
        result = check(
            make_request(ended_s=5.15, requests_ahead=requests_ahead)
        )
        assert result.violations == []
        assert (result.crossed_idle, result.crossed_answer) == crossed

    def test_stall_of_the_soak_does_not_count(self):
        """Guards against blaming a gateway for a busy soak."""
        stall = stalls.Stall(_STARTED_S + 5.1, _STARTED_S + 5.45)
        assert check(make_request(), stalls=[stall]).violations == []
        assert check(make_request(ended_s=5.7), stalls=[stall]).violations

    def test_wait_for_a_processor_does_not_count(self):
        """Guards against blaming a gateway for other work of the machine."""
        wait = processor_waits.ProcessorWait(
            0, _STARTED_S + 5.2, _STARTED_S + 5.5, 0.3
        )
        assert check(make_request(), processor_waits=[wait]).crossed_idle == 1
        shorter = dataclasses.replace(wait, waited_s=0.25)
        assert check(make_request(), processor_waits=[shorter]).violations

    def test_passed_deadline_excuses_a_request(self):
        """Guards against blaming a gateway for an answer nobody waits for."""
        assert check(make_request(deadline_s=5.4)).violations == []

    def test_unplanned_fault_excuses_a_request(self):
        """Guards against blaming a gateway that was killed or frozen."""
        excused = [
            models.Disruption(0, _STARTED_S + 1.0, _STARTED_S + 2.1),
            models.Disruption(0, _STARTED_S + 5.4, _STARTED_S + 6.0),
        ]
        for fault in excused:
            assert not check(
                make_request(), unplanned_faults=[fault]
            ).violations
        others = [
            models.Disruption(0, _STARTED_S + 1.0, _STARTED_S + 1.9),
            models.Disruption(1, _STARTED_S + 5.4, _STARTED_S + 6.0),
        ]
        assert check(make_request(), unplanned_faults=others).violations

    def test_request_behind_another_may_be_dropped_late_in_a_stop(self):
        """Guards against a check that excuses requests early in a stop."""
        request = make_request(requests_ahead=1)
        late_stop = {(0, 1): _STARTED_S + 2.3}
        early_stop = {(0, 1): _STARTED_S + 2.5}
        result = check(request, terminated_s=late_stop)
        assert result.violations == []
        assert result.not_run == 1
        assert check(request).violations
        assert check(request, terminated_s=early_stop).violations
        assert check(make_request(), terminated_s=late_stop).violations

    def test_request_that_reached_a_server_may_not_be_dropped(self):
        """Guards against a check that excuses requests that were started."""
        stop = {(0, 1): _STARTED_S + 2.3}
        request = make_request(requests_ahead=1)
        assert check(
            request, make_server(arrived_s=5.1), terminated_s=stop
        ).violations


class TestReadyAnswers:
    """Requests whose callers leave because of another deadline."""

    def test_ready_answer_must_arrive(self):
        """Guards against a check that misses answers behind a slow one."""
        server = make_server(completed_s=5.15)
        (violation,) = check(make_request(_LEFT), server).violations
        assert "ready for 0.35 s, yet lost" in violation

    def test_late_or_missing_answer_is_no_violation(self):
        """Guards against blaming a gateway for a slow server."""
        for server in (make_server(), make_server(completed_s=5.25)):
            assert check(make_request(_LEFT), server).violations == []

    def test_wait_for_a_processor_excuses_a_late_answer(self):
        """Guards against blaming a gateway for other work of the machine."""
        server = make_server(completed_s=5.1)
        wait = processor_waits.ProcessorWait(
            0, _STARTED_S + 5.4, _STARTED_S + 5.5, 0.06
        )
        result = check(make_request(_LEFT), server, processor_waits=[wait])
        assert result.violations == []
        assert result.starved == 1
        for other in (
            dataclasses.replace(wait, waited_s=0.04),
            dataclasses.replace(wait, vm=1),
            dataclasses.replace(wait, start_s=_STARTED_S + 5.6, end_s=106.0),
        ):
            assert check(
                make_request(_LEFT), server, processor_waits=[other]
            ).violations

    def test_own_deadline_excuses_a_request(self):
        """Guards against blaming a gateway for a server's late answer."""
        request = make_request(_LEFT, deadline_s=5.5)
        assert check(request, make_server(completed_s=5.1)).violations == []

    @pytest.mark.parametrize(
        ("vms", "is_excused"), [(None, True), ((0, 2), True), ((1,), False)]
    )
    def test_fault_of_the_link_excuses_a_request(self, vms, is_excused):
        """Guards against blaming a gateway for a response it didn't get."""
        fault = models.LinkDisruption(_STARTED_S + 5.2, _STARTED_S + 9.0, vms)
        result = check(
            make_request(_LEFT),
            make_server(completed_s=5.1),
            link_faults={"s0": [fault]},
        )
        assert (result.violations == []) is is_excused

    @pytest.mark.parametrize(
        ("terminated_s", "completed_s", "is_excused"),
        [
            (4.0, None, True),
            (4.0, 6.0, True),
            (4.0, 5.1, False),
            (5.6, None, False),
            (None, None, False),
        ],
    )
    def test_work_in_front_excuses_a_request_in_a_stop(
        self, terminated_s, completed_s, is_excused
    ):
        """Guards against demanding that a stop breaks off work."""
        behind = make_request(_LEFT, sent_s=5.0, requests_ahead=1)
        first = dataclasses.replace(
            behind,
            exchange=dataclasses.replace(behind.exchange, request_id="r0"),
            requests_ahead=0,
        )
        server = make_server(completed_s=5.1)
        server.executions.append(
            server_standin.Execution("r0", "GET", "/", None, None, 105.0, ())
        )
        if completed_s is not None:
            server.completions.append(
                server_standin.Completion("r0", _STARTED_S + completed_s)
            )
        result = pipelining_checks.check(
            pipelining_checks.Records(
                _STARTED_S,
                [first, behind],
                (),
                [server],
                terminated_s={}
                if terminated_s is None
                else {(0, 1): _STARTED_S + terminated_s},
            )
        )
        lost = [v for v in result.violations if " r1 " in v]
        assert (lost == []) is is_excused

    @pytest.mark.parametrize(
        ("terminated_s", "sent_to", "is_excused"),
        [
            (4.0, {"r0": "s9"}, True),
            (4.0, {"r0": "s0"}, False),
            (4.0, {"r1": "s9"}, False),
            (5.6, {"r0": "s9"}, False),
            (None, {"r0": "s9"}, False),
        ],
    )
    def test_faulty_link_in_front_excuses_a_request_in_a_stop(
        self, terminated_s, sent_to, is_excused
    ):
        """Guards against demanding that a stop breaks off what was sent."""
        behind = make_request(_LEFT, requests_ahead=1)
        first = dataclasses.replace(
            behind,
            exchange=dataclasses.replace(behind.exchange, request_id="r0"),
            requests_ahead=0,
        )
        fault = models.LinkDisruption(_STARTED_S + 5.2, _STARTED_S + 9.0, None)
        result = pipelining_checks.check(
            pipelining_checks.Records(
                _STARTED_S,
                [first, behind],
                (),
                [make_server(completed_s=5.1)],
                terminated_s={}
                if terminated_s is None
                else {(0, 1): _STARTED_S + terminated_s},
                link_faults={"s9": [fault]},
                sent_to=sent_to,
            )
        )
        lost = [v for v in result.violations if " r1 " in v]
        assert (lost == []) is is_excused


class TestIdleConnections:
    """Connections that gateways close while no request is on them."""

    _CLOSE = models.IdleClose(0, 1, 5.0, 7.0)
    _LIMITS = (
        models.IdleLimit(1, _STARTED_S, 1.9),
        models.IdleLimit(2, _STARTED_S + 3.0, 8.0),
    )

    def find_violations(self, versions, **records) -> list[str]:
        """Checks a connection that was idle for two seconds."""
        return check(
            idle_closes=[self._CLOSE],
            versions_in_force=versions,
            **({"idle_limits": self._LIMITS} | records),
        ).violations

    def test_raised_limit_holds_for_open_connections(self):
        """Guards against a check that misses connections with old limits."""
        in_force = models.VersionInForce(0, 1, 2, _STARTED_S + 4.9)
        (violation,) = self.find_violations([in_force])
        assert "idle for 2.00 of 8.0 s" in violation

    @pytest.mark.parametrize(
        "in_force",
        [
            models.VersionInForce(0, 1, 2, _STARTED_S + 5.1),
            models.VersionInForce(0, 2, 2, _STARTED_S + 4.9),
            models.VersionInForce(1, 1, 2, _STARTED_S + 4.9),
        ],
    )
    def test_older_limit_holds_until_the_newer_is_in_force(self, in_force):
        """Guards against blaming a gateway that hasn't read a raised limit."""
        assert self.find_violations([in_force]) == []

    def test_lowered_limit_may_hold_at_once(self):
        """Guards against blaming a gateway that has read a lowered limit."""
        in_force = models.VersionInForce(0, 1, 2, _STARTED_S + 4.9)
        lowered = models.IdleLimit(3, _STARTED_S + 6.9, 1.0)
        later = models.IdleLimit(3, _STARTED_S + 7.1, 1.0)
        assert not self.find_violations(
            [in_force], idle_limits=[*self._LIMITS, lowered]
        )
        assert self.find_violations(
            [in_force], idle_limits=[*self._LIMITS, later]
        )

    def test_stop_closes_idle_connections(self):
        """Guards against blaming a gateway that is being stopped."""
        in_force = models.VersionInForce(0, 1, 2, _STARTED_S + 4.9)
        stop = models.Disruption(0, _STARTED_S + 6.0, _STARTED_S + 9.0)
        assert not self.find_violations([in_force], interruptions=[stop])


class TestLogs:
    """Logs of gateways, which tell where requests were."""

    def test_only_requests_at_a_server_count_as_sent(self, tmp_path):
        """Guards against excusing a gateway that could give a request up."""
        gateway = gateways.Gateway(0, 1, tmp_path)
        lines = [
            '{"message": "abandoned", "request": "r0", "sent_to": "s0"}',
            '{"message": "abandoned", "request": "r1", "sent_to": null}',
            '{"message": "answered", "request": "r2", "reason": "abandoned"}',
            '{"message": "abandoned", "request": "r3", "sen',
        ]
        (tmp_path / "vm-0.log").write_text("\n".join(lines))
        assert gateway.read_sent_to() == {"r0": "s0"}
