"""Checks that pipelined requests are answered before connections are closed.

A gateway that was killed or frozen in the time in question is excused.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from berylweir.soak import models
from berylweir.soak import processor_waits as soak_waits
from berylweir.soak import stalls as soak_stalls
from berylweir.soak import statement_checks
from berylweir.standin.gateway_platform import server as server_standin

# A request that was sent this long before the gateway closed its connection, or
# less, may have crossed the close, in seconds.
_CROSSING_S = 0.2
# Time from a server's response until the gateway must have written it, in
# seconds.
_WRITING_S = 0.3
# Time that a fault's effects last, in seconds.
_RECOVERY_S = 3.0
# Time after SIGTERM in which a gateway takes all requests, in seconds: 2.8 less
# the time that a request may need to arrive.
_ACCEPT_S = 2.6
# Time for which a gateway may have waited for a processor and is still expected
# to answer before a deadline, in seconds; it does so 0.1 s before.
_MAX_WAIT_S = 0.05
# Time in which the ends of all requests of a leaving caller are recorded, in
# seconds.
_LEAVING_S = 0.05
# Time by which the caller's measure of an idle time may exceed the gateway's,
# in seconds.
_IDLE_SLACK_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """What callers and servers saw of a soak.

    Attributes:
        started_s: Start of the soak, on the monotonic clock, in seconds.
        exchanges: All pipelined requests.
        idle_closes: Connections that gateways closed without a request on them.
        servers: The backend servers.
        unplanned_faults: Times in which gateways were killed or frozen.
        interruptions: The same, and planned stops.
        terminated_s: When instances of gateways got SIGTERM, on the monotonic
            clock, in seconds; by VM and instance.
        link_faults: Faults of the connections to each server, by its name.
        versions_in_force: Versions of the configuration at the gateways.
        idle_limits: Idle limit of each version.
        stalls: Times in which the process of the callers and servers stalled.
        processor_waits: Times that gateways waited for a processor.
        sent_to: Servers to which gateways had sent requests without an answer
            when the callers of these left, by request id.
    """

    started_s: float
    exchanges: Sequence[models.PipelinedExchange]
    idle_closes: Sequence[models.IdleClose]
    servers: Sequence[server_standin.Server]
    unplanned_faults: Sequence[models.Disruption] = ()
    interruptions: Sequence[models.Disruption] = ()
    terminated_s: Mapping[tuple[int, int], float] = dataclasses.field(
        default_factory=dict
    )
    link_faults: Mapping[str, Sequence[models.LinkDisruption]] = (
        dataclasses.field(default_factory=dict)
    )
    versions_in_force: Sequence[models.VersionInForce] = ()
    idle_limits: Sequence[models.IdleLimit] = ()
    stalls: Sequence[soak_stalls.Stall] = ()
    processor_waits: Sequence[soak_waits.ProcessorWait] = ()
    sent_to: Mapping[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Result of the checks.

    Attributes:
        violations: A line for each violation.
        sent: Pipelined requests.
        answered: Those that were answered, with any status.
        checked: Those at gateways without unplanned faults.
        crossed_idle: Those that were sent right before the gateway closed their
            idle connection, and got no answer.
        crossed_answer: The same behind another request, whose answer announced
            the close.
        not_run: Those that were dropped behind another one late in a stop, and
            reached no server.
        starved: Those whose answers were held back while their gateway waited
            for a processor; no violations.
        left: Those whose caller left before their answer.
        idle_closes: Connections closed by gateways while idle.
        longest_stall_s: Longest time in which the soak stalled, in seconds.
    """

    violations: list[str]
    sent: int
    answered: int
    checked: int
    crossed_idle: int
    crossed_answer: int
    not_run: int
    starved: int
    left: int
    idle_closes: int
    longest_stall_s: float

    def __str__(self) -> str:
        """Describes the counts for the summary of a soak."""
        return (
            f"{self.answered} of {self.sent} pipelined requests answered,"
            f" {self.checked} checked; {self.crossed_idle} crossed an idle"
            f" close, {self.crossed_answer} a last answer, {self.not_run} were"
            f" dropped late in a stop, {self.starved} held back beside other"
            f" work of the machine, {self.left} left by their callers;"
            f" {self.idle_closes} idle connections closed, longest stall of the"
            f" soak {self.longest_stall_s:.2f} s"
        )


def check(records: Records) -> Result:
    """Checks the guarantees of pipelined requests.

    These are:

    - a request whose connection the gateway closes has been answered, unless it
      crossed the close, its deadline had passed, or it was sent behind another
      one late in a stop and reached no server;
    - a request whose answer was ready before its caller left, and whose
      deadline hadn't passed, has been answered, unless the gateway was stopping
      and a server worked on a request in front of it, or its response had to
      pass a faulty link;
    - an idle connection is kept for the idle limit of the configuration.

    Args:
        records: What callers and servers saw.
    """
    checked = [
        e for e in records.exchanges if not _is_excused(records, e.exchange)
    ]
    reached = {a.request_id for s in records.servers for a in s.arrivals}
    closed = [
        e for e in checked if e.end is models.RequestEnd.CLOSED_BY_GATEWAY
    ]
    crossed = [e for e in closed if _is_crossing(records, e.exchange)]
    not_run = [
        e
        for e in closed
        if e not in crossed
        and e.requests_ahead
        and e.exchange.request_id not in reached
        and _is_late_in_stop(records, e.exchange)
    ]
    cut = [
        e
        for e in closed
        if e not in crossed
        and e not in not_run
        and e.deadline_s > e.exchange.ended_s
    ]
    held_back = _find_held_back(records, checked)
    starved = [e for e, _ in held_back if _is_starved(records, e.exchange)]
    violations = [f"cut by a close: {_describe(e)}" for e in cut]
    violations += [
        f"ready for {ready_s:.2f} s, yet lost: {_describe(e)}"
        for e, ready_s in held_back
        if e not in starved
    ]
    violations += _find_closed_early(records)
    return Result(
        violations,
        len(records.exchanges),
        _count(records.exchanges, models.RequestEnd.ANSWERED),
        len(checked),
        sum(not e.requests_ahead for e in crossed),
        sum(e.requests_ahead > 0 for e in crossed),
        len(not_run),
        len(starved),
        _count(records.exchanges, models.RequestEnd.LEFT_BY_CALLER),
        len(records.idle_closes),
        max((s.end_s - s.start_s for s in records.stalls), default=0.0),
    )


def _find_held_back(
    records: Records, checked: Iterable[models.PipelinedExchange]
) -> list[tuple[models.PipelinedExchange, float]]:
    """Returns requests whose callers left because of another deadline.

    Each one comes with the time for which its answer was ready, in seconds.
    """
    completions = {
        completion.request_id: (server.name, completion.completed_s)
        for server in records.servers
        for completion in server.completions
    }
    held_back = []
    for pipelined in checked:
        exchange = pipelined.exchange
        if (
            pipelined.end is not models.RequestEnd.LEFT_BY_CALLER
            or pipelined.deadline_s <= exchange.ended_s
            or exchange.request_id not in completions
        ):
            continue
        server, completed_s = completions[exchange.request_id]
        end_s = records.started_s + exchange.ended_s
        ready_s = end_s - completed_s
        stalled_s = soak_stalls.stalled_s(records.stalls, completed_s, end_s)
        if ready_s - stalled_s <= _WRITING_S:
            continue
        if _had_link_fault(
            records, server, exchange
        ) or _is_behind_work_in_stop(records, pipelined):
            continue
        held_back.append((pipelined, ready_s))
    return held_back


def _had_link_fault(
    records: Records, server: str, exchange: models.Exchange
) -> bool:
    """Returns whether the link to a server was faulty during a request."""
    start_s = records.started_s + exchange.sent_s - _RECOVERY_S
    end_s = records.started_s + exchange.ended_s
    return any(
        fault.start_s <= end_s
        and fault.end_s >= start_s
        and (fault.vms is None or exchange.vm in fault.vms)
        for fault in records.link_faults.get(server, ())
    )


def _is_behind_work_in_stop(
    records: Records, behind: models.PipelinedExchange
) -> bool:
    """Returns whether a stopping gateway waited for a server's work.

    In a planned stop, a request at a server isn't broken off for those behind
    it. The gateway can't tell whether a server behind a faulty link is at work.
    """
    exchange = behind.exchange
    end_s = records.started_s + exchange.ended_s
    terminated_s = records.terminated_s.get((exchange.vm, exchange.instance))
    if terminated_s is None or terminated_s > end_s:
        return False
    ahead = {
        e.exchange.request_id: e.exchange
        for e in records.exchanges
        if e.end is models.RequestEnd.LEFT_BY_CALLER
        and _caller_of(e.exchange) == _caller_of(exchange)
        and e.exchange.instance == exchange.instance
        and abs(e.exchange.ended_s - exchange.ended_s) < _LEAVING_S
        and e.exchange.sent_s <= exchange.sent_s
        and e is not behind
    }
    if any(
        execution.request_id in ahead
        and not any(
            c.request_id == execution.request_id and c.completed_s <= end_s
            for c in server.completions
        )
        for server in records.servers
        for execution in server.executions
    ):
        return True
    return any(
        request_id in records.sent_to
        and _had_link_fault(records, records.sent_to[request_id], first)
        for request_id, first in ahead.items()
    )


def _caller_of(exchange: models.Exchange) -> str:
    """Returns the name of the caller, the prefix of its request ids."""
    return exchange.request_id.rpartition("-")[0]


def _find_closed_early(records: Records) -> list[str]:
    """Checks connections that were closed without a request on them."""
    violations = []
    for close in records.idle_closes:
        idle_since_s = records.started_s + close.idle_since_s
        closed_s = records.started_s + close.closed_s
        if statement_checks.is_disrupted(
            [d for d in records.interruptions if d.vm == close.vm],
            idle_since_s,
            closed_s,
        ):
            continue
        oldest_version = max(
            (
                v.version
                for v in records.versions_in_force
                if (v.vm, v.instance) == (close.vm, close.instance)
                and v.seen_s <= idle_since_s
            ),
            default=1,
        )
        limit_s = min(
            limit.limit_s
            for limit in records.idle_limits
            if limit.version >= oldest_version and limit.written_s <= closed_s
        )
        idle_s = closed_s - soak_stalls.undisturbed_s(
            records.stalls, idle_since_s
        )
        if idle_s + _IDLE_SLACK_S < limit_s:
            violations.append(
                f"vm-{close.vm} closed a connection at {close.closed_s:.2f} s,"
                f" idle for {idle_s:.2f} of {limit_s} s"
            )
    return violations


def _is_excused(records: Records, exchange: models.Exchange) -> bool:
    return statement_checks.is_disrupted(
        [d for d in records.unplanned_faults if d.vm == exchange.vm],
        records.started_s + exchange.sent_s - _RECOVERY_S,
        records.started_s + exchange.ended_s,
    )


def _is_crossing(records: Records, exchange: models.Exchange) -> bool:
    elapsed_s = exchange.ended_s - exchange.sent_s
    stalled_s = soak_stalls.stalled_s(
        records.stalls,
        records.started_s + exchange.sent_s,
        records.started_s + exchange.ended_s,
    )
    waited_s = _waited_s(records, exchange)
    return elapsed_s - stalled_s - waited_s <= _CROSSING_S


def _is_starved(records: Records, exchange: models.Exchange) -> bool:
    return _waited_s(records, exchange) > _MAX_WAIT_S


def _waited_s(records: Records, exchange: models.Exchange) -> float:
    """Returns how long the gateway of a request waited for a processor."""
    return soak_waits.waited_s(
        records.processor_waits,
        exchange.vm,
        records.started_s + exchange.sent_s,
        records.started_s + exchange.ended_s,
    )


def _is_late_in_stop(records: Records, exchange: models.Exchange) -> bool:
    terminated_s = records.terminated_s.get((exchange.vm, exchange.instance))
    return (
        terminated_s is not None
        and records.started_s + exchange.sent_s >= terminated_s + _ACCEPT_S
    )


def _count(
    exchanges: Iterable[models.PipelinedExchange], end: models.RequestEnd
) -> int:
    return sum(e.end is end for e in exchanges)


def _describe(pipelined: models.PipelinedExchange) -> str:
    exchange = pipelined.exchange
    return (
        f"{exchange.request_id} {exchange.path} at vm-{exchange.vm}, sent at"
        f" {exchange.sent_s:.2f} s, ended at {exchange.ended_s:.2f} s, deadline"
        f" {pipelined.deadline_s:.2f} s, {pipelined.requests_ahead} ahead"
    )
