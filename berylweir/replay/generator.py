"""Generates traces from a seed, one per scenario and deployment."""

import dataclasses
import itertools
import math
import random
import uuid

from berylweir.replay import deployments
from berylweir.replay import schemas

# Wall-clock time at virtual time 0, in seconds since the Unix epoch.
WALL_CLOCK_START_S = 1_800_000_000.0
# Virtual time before a trace starts. In it the keepers assign homes and the
# servers get their grants.
SETUP_S = 6.0
# Length of each trace.
DURATION_S = 24.0
_KEYS = 2000
_ZIPF_EXPONENT = 0.9
# In the scenario hot_keys_move this many keys receive half of the lookups,
# and the set of them changes at a fixed interval.
_HOT_KEYS = 8
_HOT_SHARE = 0.5
_HOT_SET_INTERVAL_S = 6.0
_CALLERS = 40
# Share of the non-idempotent requests that callers repeat.
_REPEAT_SHARE = 0.15
_MAX_REPEATS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Traffic:
    """Differences of a scenario's traffic from the steady one.

    Attributes:
        hot_keys_move: Whether a changing set of keys gets half the lookups.
        avoided_zone: Zone to whose VMs the load balancer sends nothing, with
            start and end in seconds.
        overload: Request rate of the order group as a multiple of its
            capacity, with the phase in which it applies.
        killer_times_s: Arrival times of requests that crash their server.
    """

    hot_keys_move: bool = False
    avoided_zone: tuple[str, float, float] | None = None
    overload: tuple[tuple[float, schemas.Phase], ...] = ()
    killer_times_s: tuple[float, ...] = ()


def request_id(rng: random.Random, at_s: float) -> str:
    """Returns a version 7 UUID created `at_s` seconds into a trace."""
    milliseconds = int((WALL_CLOCK_START_S + SETUP_S + at_s) * 1000)
    value = milliseconds << 80 | 7 << 76 | rng.getrandbits(12) << 64
    value |= 2 << 62 | rng.getrandbits(62)
    return str(uuid.UUID(int=value))


class TraceGenerator:
    """Generates the requests of one trace.

    The order of the draws from `_rng` determines the trace.
    """

    def __init__(
        self, deployment: deployments.Deployment, traffic: Traffic, seed: int
    ) -> None:
        """Creates a generator.

        Args:
            deployment: Deployment that the traffic is for.
            traffic: Differences from the steady traffic.
            seed: Seed of the random numbers.
        """
        self._deployment = deployment
        self._traffic = traffic
        self._rng = random.Random(f"{deployment.name}.{seed}")
        weights = (1 / (r + 1) ** _ZIPF_EXPONENT for r in range(_KEYS))
        self._cumulative_weights = list(itertools.accumulate(weights))

    def requests(self) -> tuple[schemas.Request, ...]:
        """Returns all requests, sorted by time."""
        requests: list[schemas.Request] = []
        for group in self._deployment.groups:
            requests += self._group_requests(group)
        requests += self._overload_requests()
        requests += self._killer_requests()
        return tuple(sorted(requests, key=lambda r: (r.at_ms, r.group, r.key)))

    def _group_requests(
        self, group: deployments.GroupSpec
    ) -> list[schemas.Request]:
        requests: list[schemas.Request] = []
        at_s = 0.0
        peak_rate = group.requests_per_s * 1.4
        while True:
            at_s += self._rng.expovariate(peak_rate)
            if at_s >= DURATION_S:
                return requests
            # The rate follows a daily curve, compressed to the length of the
            # trace. Arrivals are drawn at the peak rate and thinned out.
            share = 1 - 0.4 * math.cos(2 * math.pi * at_s / DURATION_S)
            if self._rng.random() * 1.4 < share:
                requests += self._request_with_repeats(
                    group, at_s, self._random_caller()
                )

    def _random_caller(self) -> str:
        return f"caller-{self._rng.randrange(_CALLERS)}"

    def _request_with_repeats(
        self, group: deployments.GroupSpec, at_s: float, caller: str
    ) -> list[schemas.Request]:
        rng = self._rng
        first = schemas.Request(
            round(at_s * 1000, 2),
            group.server_group.name,
            self._random_key(at_s) if group.is_keyed else "",
            caller,
            self._random_entry(at_s),
            round(group.mean_work_ms * rng.uniform(0.5, 1.5), 1),
            group.deadline_ms,
            "" if group.is_idempotent else request_id(rng, at_s),
        )
        if group.is_idempotent or rng.random() >= _REPEAT_SHARE:
            return [first]
        # The caller does not wait for the answer and repeats the request
        # through a random entry VM.
        requests = [first]
        for _ in range(rng.randint(1, _MAX_REPEATS)):
            at_s += rng.uniform(0.05, 0.6)
            requests.append(
                _repeat_of(
                    first,
                    at_ms=round(at_s * 1000, 2),
                    entry=self._random_entry(at_s),
                )
            )
        return requests

    def _random_key(self, at_s: float) -> str:
        rng = self._rng
        if self._traffic.hot_keys_move and rng.random() < _HOT_SHARE:
            hot_set = int(at_s / _HOT_SET_INTERVAL_S)
            return f"hot-{hot_set}-{rng.randrange(_HOT_KEYS)}"
        (index,) = rng.choices(
            range(_KEYS), cum_weights=self._cumulative_weights
        )
        return f"key-{index}"

    def _random_entry(self, at_s: float) -> int:
        while True:
            entry = self._rng.randrange(self._deployment.vm_count)
            avoided_zone = self._traffic.avoided_zone
            if avoided_zone is None:
                return entry
            zone, from_s, until_s = avoided_zone
            if not (
                from_s <= at_s < until_s and deployments.zone_of(entry) == zone
            ):
                return entry

    def _overload_requests(self) -> list[schemas.Request]:
        """Returns requests that raise the order group to the overload rate."""
        requests: list[schemas.Request] = []
        group = self._deployment.order_group
        capacity = (
            group.server_count
            * group.server_group.slots
            * 1000
            / group.mean_work_ms
        )
        for multiple, phase in self._traffic.overload:
            at_s = phase.from_s
            rate = capacity * multiple - group.requests_per_s
            while True:
                at_s += self._rng.expovariate(rate)
                if at_s >= phase.until_s:
                    break
                # Above the capacity one caller sends half of the requests.
                is_flood = multiple > 1 and self._rng.random() < 0.5
                caller = "flood" if is_flood else self._random_caller()
                requests += self._request_with_repeats(group, at_s, caller)[:1]
        return requests

    def _killer_requests(self) -> list[schemas.Request]:
        group = self._deployment.groups[-1]
        return [
            schemas.Request(
                at_s * 1000,
                group.server_group.name,
                "",
                "caller-killer",
                self._random_entry(at_s),
                group.mean_work_ms,
                group.deadline_ms,
                kills=True,
            )
            for at_s in self._traffic.killer_times_s
        ]


def _repeat_of(
    request: schemas.Request, *, at_ms: float, entry: int
) -> schemas.Request:
    """Returns a repeat of the request, with the same request id."""
    return schemas.Request(
        at_ms,
        request.group,
        request.key,
        request.caller,
        entry,
        request.work_ms,
        request.deadline_ms,
        request.request_id,
    )


def _server_name(group: deployments.GroupSpec, index: int) -> str:
    return f"{group.server_group.name}-{index}"


def _slowdown_faults(
    deployment: deployments.Deployment, seed: int
) -> tuple[schemas.Fault, ...]:
    """Returns faults that slow one lookup server in six, at least one.

    Each slowed server is ten times as slow, for 300 ms every 3 s.
    """
    rng = random.Random(f"slow.{deployment.name}.{seed}")
    group = deployment.lookup_group
    slowed_indexes = rng.sample(
        range(group.server_count), max(1, group.server_count // 6)
    )
    faults: list[schemas.Fault] = []
    for index in slowed_indexes:
        at_s = rng.uniform(0.5, 3.0)
        while at_s < DURATION_S:
            faults.append(
                schemas.ServerSlow(
                    round(at_s, 2),
                    _server_name(group, index),
                    round(at_s + 0.3, 2),
                    10.0,
                )
            )
            at_s += 3.0
    return tuple(faults)


def _zone_outage_faults(
    deployment: deployments.Deployment,
) -> tuple[schemas.Fault, ...]:
    """Returns faults that take zone c out of service from 4 s to 12 s.

    Its servers are down from 7 s to 11.5 s and warm up for 4 s after that.
    """
    faults: list[schemas.Fault] = [
        schemas.ZoneService(4.0, "c", False),
        schemas.ZoneService(12.0, "c", True),
    ]
    for group in deployment.groups:
        faults += [
            schemas.ServerCrash(
                7.0, _server_name(group, i), back_s=11.5, cold_s=4.0
            )
            for i in range(group.server_count)
            if deployments.zone_of(i) == "c"
        ]
    return tuple(faults)


def generate_trace(
    scenario: str, deployment: deployments.Deployment, seed: int
) -> schemas.Trace:
    """Returns the trace of a scenario.

    Raises:
        ValueError: If there is no such scenario.
    """
    lookups, orders = deployment.lookup_group, deployment.order_group
    traffic = Traffic()
    faults: tuple[schemas.Fault, ...] = ()
    phases: tuple[schemas.Phase, ...] = ()
    match scenario:
        case "steady":
            pass
        case "hot_keys_move":
            traffic = Traffic(hot_keys_move=True)
        case "backend_loss":
            faults = (
                schemas.ServerCrash(6.0, _server_name(lookups, 1)),
                schemas.ServerCrash(10.0, _server_name(orders, 2)),
            )
        case "cold_restart":
            faults = tuple(
                schemas.ServerCrash(
                    6.0 + 3.0 * i, _server_name(lookups, i), 6.5 + 3.0 * i, 4.0
                )
                for i in range(3)
            )
        case "slow_backends":
            faults = _slowdown_faults(deployment, seed)
        case "zone_out_and_back":
            faults = _zone_outage_faults(deployment)
            traffic = Traffic(avoided_zone=("c", 5.0, 12.0))
            phases = (schemas.Phase("return", 12.0, DURATION_S),)
        case "zone_cut_off":
            faults = (schemas.ZoneCut(6.0, "c", 14.0),)
        case "platform_outage":
            faults = (
                schemas.PlatformDown(4.0, 16.0),
                schemas.ServerCrash(8.0, _server_name(lookups, 1), 11.0, 2.0),
            )
        case "overload":
            # The phases are shorter the more slots there are, so that the
            # number of requests stays limited.
            length_s = (
                1000.0 / (orders.server_count * orders.server_group.slots) / 10
            )
            length_s = max(2.5, min(5.0, length_s))
            phases = (
                schemas.Phase("capacity", 4.0, 4.0 + length_s),
                schemas.Phase("threefold", 12.0, 12.0 + length_s),
            )
            traffic = Traffic(overload=((1.0, phases[0]), (3.0, phases[1])))
        case "killer_request":
            traffic = Traffic(killer_times_s=(5.0, 6.0, 7.0, 8.0, 9.0, 10.0))
            phases = (schemas.Phase("killer", 5.0, 14.0),)
        case _:
            raise ValueError(f"scenario {scenario!r} does not exist")
    return schemas.Trace(
        schemas.TraceHeader(
            scenario, deployment.name, seed, DURATION_S, faults, phases
        ),
        TraceGenerator(deployment, traffic, seed).requests(),
    )


SCENARIOS = (
    "steady",
    "backend_loss",
    "slow_backends",
    "overload",
    "zone_out_and_back",
    "cold_restart",
    "hot_keys_move",
    "zone_cut_off",
    "platform_outage",
    "killer_request",
)
