"""Compares ways to keep a server's limit among VMs, on virtual time.

Each server of a keyed group gets requests at random from all VMs, some of which
get more of the callers than others. The limit is below one request per second
and VM. The schedules are those of the gateway.
"""

from collections.abc import Callable
import dataclasses
import json
import pathlib
import random

import defopt
import numpy as np

from berylweir.gateway import messages
from berylweir.gateway.permits import decisions

_RESULTS = pathlib.Path(__file__).parent / "results" / "limits.json"
# Length of a run, in seconds, and the time at its start that isn't counted.
_RUN_S = 120.0
_SETTLE_S = 10.0
# Longest wait of a request for a permit, in seconds.
_MAX_WAIT_S = 0.24
# Time for which the demand of a server is doubled, and its start, in seconds.
_BURST_START_S = 60.0
_BURST_S = 10.0
# Time to another VM and back, in seconds.
_ROUND_TRIP_S = 0.002
# The platform's rule: requests in any window, as a multiple of what the limit
# allows, and in addition to that.
_WINDOW_S = 4.0
_LIMIT_FACTOR = 1.5
_LIMIT_SLACK = 5.0
# Most reports per second that the lease holder takes, and the shortest interval
# of one VM, in seconds.
_MAX_REPORTS_PER_S = 80.0
_MIN_REPORT_INTERVAL_S = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request for a key of the server.

    Attributes:
        arrived_s: When it arrived, in seconds.
        vm: Number of the VM at which it arrived.
    """

    arrived_s: float
    vm: int


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of the requests.

    Attributes:
        starts_s: When requests were sent, in seconds.
        waits_s: How long they waited, in seconds.
        messages: Messages between VMs.
    """

    starts_s: list[float]
    waits_s: list[float]
    messages: int


Policy = Callable[[list[Arrival], float, int, random.Random], Outcome]


def generate_arrivals(
    rate: float, vms: int, rng: random.Random
) -> list[Arrival]:
    """Returns random arrivals, twice as many per second during a burst.

    Args:
        rate: Requests per second.
        vms: Number of VMs; some get up to three times as many as others.
        rng: Source of randomness.
    """
    weights = [rng.uniform(1.0, 3.0) for _ in range(vms)]
    arrivals = []
    now_s = 0.0
    while now_s < _RUN_S:
        is_burst = _BURST_START_S <= now_s < _BURST_START_S + _BURST_S
        now_s += rng.expovariate(rate * (2.0 if is_burst else 1.0))
        (vm,) = rng.choices(range(vms), weights)
        arrivals.append(Arrival(now_s, vm))
    return arrivals


def send_all(
    arrivals: list[Arrival], _limit: float, _vms: int, _rng: random.Random
) -> Outcome:
    """Sends each request at once: limits are ignored."""
    return Outcome([a.arrived_s for a in arrivals], [0.0] * len(arrivals), 0)


def divide_limit(
    arrivals: list[Arrival], limit: float, vms: int, rng: random.Random
) -> Outcome:
    """Gives each VM an equal part of the limit."""
    schedules = [decisions.PermitSchedule(rng.random()) for _ in range(vms)]
    outcome = Outcome([], [], 0)
    for arrival in arrivals:
        permit = schedules[arrival.vm].reserve(
            arrival.arrived_s, limit / vms, _MAX_WAIT_S
        )
        if isinstance(permit, messages.PermitGranted):
            outcome.starts_s.append(permit.start_s)
            outcome.waits_s.append(permit.start_s - arrival.arrived_s)
    return outcome


def follow_reports(
    arrivals: list[Arrival], limit: float, vms: int, rng: random.Random
) -> Outcome:
    """Has each VM send the share of its requests that the holder computes.

    Each VM reports its requests at an interval, and is told the share that all
    reports of the last interval suggest.
    """
    interval_s = max(_MIN_REPORT_INTERVAL_S, vms / _MAX_REPORTS_PER_S)
    next_report_s = [rng.uniform(0.0, interval_s) for _ in range(vms)]
    unreported = [0] * vms
    rates = [0.0] * vms
    shares = [1.0] * vms
    starts_s: list[float] = []
    message_count = 0
    for arrival in arrivals:
        for vm in range(vms):
            if next_report_s[vm] <= arrival.arrived_s:
                next_report_s[vm] += interval_s
                rates[vm] = unreported[vm] / interval_s
                unreported[vm] = 0
                total_rate = sum(rates)
                shares[vm] = min(1.0, limit / total_rate if total_rate else 1.0)
                message_count += 2
        unreported[arrival.vm] += 1
        if rng.random() < shares[arrival.vm]:
            starts_s.append(arrival.arrived_s)
    return Outcome(starts_s, [0.0] * len(starts_s), message_count)


def count_in_one_place(
    arrivals: list[Arrival], limit: float, vms: int, _rng: random.Random
) -> Outcome:
    """Asks one VM for each request, unless it has just denied one."""
    schedule = decisions.PermitSchedule()
    available_s = [float("-inf")] * vms
    starts_s: list[float] = []
    waits_s: list[float] = []
    message_count = 0
    for arrival in arrivals:
        deadline_s = arrival.arrived_s + _MAX_WAIT_S
        if available_s[arrival.vm] > deadline_s:
            continue
        message_count += 2
        permit = schedule.reserve(arrival.arrived_s, limit, _MAX_WAIT_S)
        match permit:
            case messages.PermitGranted(start_s):
                start_s = max(start_s, arrival.arrived_s + _ROUND_TRIP_S)
                starts_s.append(start_s)
                waits_s.append(start_s - arrival.arrived_s)
            case messages.PermitDenied(permit_available_s):
                available_s[arrival.vm] = permit_available_s
    return Outcome(starts_s, waits_s, message_count)


POLICIES: dict[str, Policy] = {
    "no limit kept": send_all,
    "part for each vm": divide_limit,
    "share by reports": follow_reports,
    "one counter": count_in_one_place,
}


def most_in_window(starts_s: list[float]) -> int:
    """Returns the largest number of requests in any window of the rule."""
    times_s = np.sort(np.array([s for s in starts_s if s >= _SETTLE_S]))
    ends = np.searchsorted(times_s, times_s + _WINDOW_S, side="right")
    return int(max(ends - np.arange(len(times_s)), default=0))


def measure(
    policy: Policy, limit: float, load: float, vms: int, seed: int
) -> dict[str, float]:
    """Returns the metrics of one run.

    Args:
        policy: Way to keep the limit.
        limit: Requests per second that the server takes.
        load: Requests per second that arrive, as a multiple of the limit.
        vms: Number of VMs.
        seed: Seed of the arrivals.
    """
    rng = random.Random(seed)
    arrivals = generate_arrivals(load * limit, vms, rng)
    outcome = policy(arrivals, limit, vms, rng)
    allowed = _LIMIT_FACTOR * _WINDOW_S * limit + _LIMIT_SLACK
    served_per_s = len(outcome.starts_s) / _RUN_S
    return {
        "most requests in 4 s, of those allowed": most_in_window(
            outcome.starts_s
        )
        / allowed,
        "served, of what limit and load allow": served_per_s
        / min(limit, len(arrivals) / _RUN_S),
        "p99 wait, ms": 1000.0
        * float(np.percentile(outcome.waits_s or [0.0], 99)),
        "messages per second": outcome.messages / _RUN_S,
    }


def run(*, seeds: int = 20, limit: float = 4.0) -> None:
    """Compares all policies and writes the results.

    Args:
        seeds: Number of runs of each case.
        limit: Requests per second that the server takes.
    """
    records = []
    for vms in (10, 75, 200):
        for load in (0.7, 1.2, 2.0):
            for name, policy in POLICIES.items():
                runs = [
                    measure(policy, limit, load, vms, seed)
                    for seed in range(seeds)
                ]
                worst = max(
                    r["most requests in 4 s, of those allowed"] for r in runs
                )
                record = {
                    "policy": name,
                    "vms": vms,
                    "load": load,
                    "limit": limit,
                    "seeds": seeds,
                    "worst window, of that allowed": round(worst, 3),
                } | {
                    metric: round(float(np.mean([r[metric] for r in runs])), 3)
                    for metric in runs[0]
                }
                records.append(record)
                print(json.dumps(record))
    _RESULTS.write_text(json.dumps(records, indent=1) + "\n")


if __name__ == "__main__":
    defopt.run(run)
