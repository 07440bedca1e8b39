"""Input and output of the keeper's decisions, as data classes."""

from collections.abc import Mapping
import dataclasses

from berylweir.gateway import models


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """A range of keys that is to get another owner.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        target: Server instance that gets them.
    """

    first: int
    last: int
    target: models.ServerInstance


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that is eligible to own keys.

    Attributes:
        instance: The server instance.
        slots: Requests that it runs concurrently.
        service_ms: Typical service time of a request, in ms; 0 if unknown.
        failure_ratio: Fraction of its requests that fail, from 0 to 1.
        limit: Requests per second that it takes; None if it named no limit.
    """

    instance: models.ServerInstance
    slots: int
    service_ms: float
    failure_ratio: float
    limit: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Estimated request rates of the keys of a group.

    Attributes:
        rates: Requests per second of each key that was requested recently.
        base_rate: Requests per second to add to the rate of every key.
        rate_variance: Variance of the estimate of a rate, divided by the rate;
            0 if the rates are exact.
    """

    rates: Mapping[int, float]
    base_rate: float
    rate_variance: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class BalancePlan:
    """Moves that balance a group, and the load that they are planned for.

    Attributes:
        moves: The moves.
        busiest: The candidate with the highest utilisation; None without
            candidates.
        highest_utilisation: Its utilisation before the moves.
        mean_utilisation: Utilisation of each candidate if all were equal.
    """

    moves: tuple[Move, ...]
    busiest: models.ServerInstance | None = None
    highest_utilisation: float = 0.0
    mean_utilisation: float = 0.0
