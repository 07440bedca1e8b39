"""Replays of load patterns through the estimate of demand and the planner."""

import bisect
import dataclasses
import itertools
import random

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.ownership import balance
from berylweir.gateway.ownership import demand
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import tables

_SLOTS = 3
# Time between two plans, in seconds.
_INTERVAL_S = 0.5


@dataclasses.dataclass(slots=True)
class Load:
    """A load whose rates of keys can be changed.

    Attributes:
        rates: Requests per second by key.
        service_ms: Service time of each server, in ms.
    """

    rates: dict[int, float]
    service_ms: list[float]


class Replay:
    """Plays a load with random arrivals on virtual time."""

    def __init__(self, load: Load, seed: int) -> None:
        self.load = load
        self.moved_keys = 0
        self._random = random.Random(seed)
        self._instances = [
            models.ServerInstance(f"s{n}", 1)
            for n in range(len(load.service_ms))
        ]
        self._table = tables.create("g", self._instances, 1)
        self._estimator = demand.DemandEstimator()
        self._statistics = demand.ServerStatistics()
        self._now_s = 0.0

    def run(self, seconds: float) -> None:
        """Lets requests arrive, and plans moves at each interval."""
        keys = list(self.load.rates)
        cumulative = list(itertools.accumulate(self.load.rates.values()))
        for _ in range(int(seconds / _INTERVAL_S)):
            self._now_s += _INTERVAL_S
            arrivals = [
                keys[
                    bisect.bisect(
                        cumulative, self._random.random() * cumulative[-1]
                    )
                ]
                for _ in range(self._poisson(cumulative[-1] * _INTERVAL_S))
            ]
            self._estimator.record(arrivals)
            self._statistics.record(
                {
                    instance.server: messages.ServerUsage(
                        3, 0, ms * self._random.lognormvariate(0.0, 0.2)
                    )
                    for instance, ms in zip(
                        self._instances, self.load.service_ms, strict=True
                    )
                }
            )
            moves = balance.plan_moves(
                self._table,
                [
                    ownership.Candidate(
                        instance,
                        _SLOTS,
                        self._statistics.service_ms(instance.server),
                        0.0,
                    )
                    for instance in self._instances
                ],
                self._estimator.estimate(self._now_s),
                rebalance=True,
            ).moves
            self.moved_keys += sum(m.last - m.first + 1 for m in moves)
            self._table = tables.complete_moves(
                tables.start_moves(self._table, moves), lambda _: True
            )

    def moved_share(self) -> float:
        """Returns how often all keys changed hands."""
        return self.moved_keys / models.KEY_COUNT

    def utilisations(self) -> list[float]:
        """Returns the true utilisation of each server."""
        by_instance = dict.fromkeys(self._instances, 0.0)
        service_ms = dict(
            zip(self._instances, self.load.service_ms, strict=True)
        )
        firsts = [r.first for r in self._table.ranges]
        for key, rate in self.load.rates.items():
            index = bisect.bisect_right(firsts, key) - 1
            owner = self._table.ranges[index].owner
            by_instance[owner] += rate * service_ms[owner] / 1000.0 / _SLOTS
        return list(by_instance.values())

    def _poisson(self, mean: float) -> int:
        count, total = 0, self._random.expovariate(1.0)
        while total < mean:
            count += 1
            total += self._random.expovariate(1.0)
        return count


def clustered_load(
    servers: int, utilisation: float, seed: int, *, mean_ms: float = 100.0
) -> Load:
    """Returns a load whose busy keys are close to one another.

    Args:
        servers: Number of servers, whose speeds differ by a factor of two.
        utilisation: Mean utilisation of the servers.
        seed: Seed of the keys and speeds.
        mean_ms: Mean service time, in ms.
    """
    generator = random.Random(seed)
    service_ms = [
        mean_ms * generator.uniform(0.67, 1.33) for _ in range(servers)
    ]
    total_rate = utilisation * servers * _SLOTS / (mean_ms / 1000.0)
    weights: dict[int, float] = {}
    center = generator.randrange(models.KEY_COUNT)
    for rank in range(1000):
        key = int(center + generator.gauss(0.0, 3000.0)) % models.KEY_COUNT
        weights[key] = weights.get(key, 0.0) + 1.0 / (rank + 20.0)
    for _ in range(3000):
        key = generator.randrange(models.KEY_COUNT)
        weights[key] = weights.get(key, 0.0) + 0.001
    scale = total_rate / sum(weights.values())
    return Load({k: w * scale for k, w in sorted(weights.items())}, service_ms)


class TestSteadyLoad:
    """A steady load whose measured rates fluctuate."""

    def test_few_keys_move_once_the_load_is_balanced(self):
        """Guards against moves that follow noise in the measured rates."""
        for servers in (13, 54):
            for seed in range(3):
                replay = Replay(clustered_load(servers, 0.4, seed), seed)
                replay.run(20.0)
                replay.moved_keys = 0
                replay.run(60.0)
                assert replay.moved_share() < 0.2

    def test_no_server_is_left_overloaded(self):
        """Guards against confidence limits that prevent needed moves."""
        for servers in (13, 54):
            for seed in range(3):
                replay = Replay(clustered_load(servers, 0.45, seed), seed)
                replay.run(20.0)
                assert max(replay.utilisations()) < 0.8


class TestHotKeys:
    """Keys that become busy suddenly."""

    def test_the_rest_of_the_owner_s_keys_move_within_seconds(self):
        """Guards against a hot key that starves its neighbours."""
        for seed in range(3):
            load = clustered_load(13, 0.35, seed)
            replay = Replay(load, seed)
            replay.run(20.0)
            hot_key = max(load.rates, key=lambda key: load.rates[key])
            load.rates[hot_key] += 15.0
            replay.run(4.0)
            # The hot key alone uses 1.5 of the three slots of its owner.
            assert max(replay.utilisations()) < 0.9
