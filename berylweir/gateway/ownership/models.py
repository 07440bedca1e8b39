"""What the keeper decides, as data."""

from collections.abc import Mapping
import dataclasses

from berylweir.gateway import models


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Keys that are to change their owner.

    Attributes:
        first: First key.
        last: Last key, inclusive.
        target: ServerInstance that gets them.
    """

    first: int
    last: int
    target: models.ServerInstance


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A server that can own keys.

    Attributes:
        instance: Its life.
        slots: Requests that it runs at a time.
        service_ms: Typical duration of a request there; 0 if not known.
        failure_ratio: Part of its requests that fail, 0 to 1.
    """

    instance: models.ServerInstance
    slots: int
    service_ms: float
    failure_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Requests a second by key, and the floor for keys that got none.

    Attributes:
        rates: Requests a second of each key that got any lately.
        base_rate: Requests a second assumed for each key besides.
    """

    rates: Mapping[int, float]
    base_rate: float
