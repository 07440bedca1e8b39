"""Virtual time, and the delays between the parts of a replay."""

from collections.abc import Callable
import itertools
import random
from typing import Any

import simpy

from berylweir.replay import deployments
from berylweir.replay import generator
from berylweir.replay import models

PLATFORM = "platform"
_PLATFORM_DELAY_S = 0.002
# A new connection to a part that a cut hides fails after this time.
CONNECT_TIMEOUT_S = 0.5

MessageHandler = Callable[[Any], None]


class Simulation:
    """Delivers messages after the stated delays, and records the history.

    A part of the replay owns its state and is reached by messages alone.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        history: models.History,
        seed: int,
    ) -> None:
        """Creates a simulation at time 0 without parts.

        Args:
            deployment: Sizes and delays.
            history: Where the parts record what happens.
            seed: Seed of the random numbers.
        """
        self.env = simpy.Environment()
        self.deployment = deployment
        self.history = history
        self.rng = random.Random(seed)
        self.ids = itertools.count(1)
        self._handlers: dict[str, MessageHandler] = {}
        self._zones: dict[str, str] = {}
        self._cut_zones: set[str] = set()

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return float(self.env.now)

    @property
    def wall_clock_s(self) -> float:
        """Wall-clock time in seconds."""
        return generator.WALL_CLOCK_START_S + self.now

    def register(self, name: str, zone: str, handler: MessageHandler) -> None:
        """Adds a part that takes messages in a zone."""
        self._handlers[name] = handler
        self._zones[name] = zone

    def zone(self, name: str) -> str:
        """Returns the zone of a part."""
        return self._zones[name]

    def set_zone_cut(self, zone: str, *, is_cut: bool) -> None:
        """Cuts a zone off from the others and the platform, or heals it."""
        if is_cut:
            self._cut_zones.add(zone)
        else:
            self._cut_zones.discard(zone)

    def can_reach(self, source: str, target: str) -> bool:
        """Returns whether messages get from one part to the other."""
        source_zone, target_zone = self._zones[source], self._zones[target]
        return source_zone == target_zone or not self._cut_zones & {
            source_zone,
            target_zone,
        }

    def delay_s(self, source: str, target: str) -> float:
        """Returns the one-way delay between two parts."""
        zones = {self._zones[source], self._zones[target]}
        if PLATFORM in zones:
            return _PLATFORM_DELAY_S
        if len(zones) == 1:
            return self.deployment.local_delay_s
        return self.deployment.zone_delay_s

    def send(self, source: str, target: str, message: Any) -> None:
        """Delivers a message after the delay, unless a cut drops it."""
        if self.can_reach(source, target):
            self.deliver_after(self.delay_s(source, target), target, message)

    def send_or_fail(
        self, source: str, target: str, message: Any, failure: Any
    ) -> None:
        """Delivers a message, or a failure to the source after a time-out."""
        if self.can_reach(source, target):
            self.send(source, target, message)
        else:
            self.deliver_after(CONNECT_TIMEOUT_S, source, failure)

    def deliver_after(self, delay_s: float, target: str, message: Any) -> None:
        """Delivers a message of a timer or of the same VM after a time."""
        handler = self._handlers[target]
        timeout = self.env.timeout(max(0.0, delay_s))
        timeout.callbacks.append(lambda _: handler(message))

    def record_outcome(
        self, call: models.Call, answer: models.Answer, hop_delay_s: float
    ) -> None:
        """Records what the caller of a request will have seen."""
        self.history.outcomes.append(
            models.Outcome(
                call,
                answer,
                self.now + self.deployment.client_delay_s,
                hop_delay_s,
            )
        )
