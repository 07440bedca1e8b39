"""Discrete-event simulation: virtual time and message delays."""

from collections.abc import Callable
import itertools
import random
from typing import Any

import simpy

from berylweir.replay import deployments
from berylweir.replay import generator
from berylweir.replay import models

# Name of the platform's actor, and of the zone in which it is.
PLATFORM = "platform"
_PLATFORM_DELAY_S = 0.002
# A connection attempt across a network partition fails after this time.
CONNECT_TIMEOUT_S = 0.5

MessageHandler = Callable[[Any], None]


class Simulation:
    """Delivers messages between actors on virtual time.

    Each actor owns its state and communicates by messages only. A message
    takes the delay between the zones of its sender and receiver. The history
    is shared: actors append what they do to it.

    Attributes:
        env: Event queue and clock of simpy.
        deployment: Sizes and delays.
        history: Record of the replay.
        rng: Random numbers of the replay. Actors share them, so the order of
            the draws is part of the result.
        ids: Unique ids of tickets and operations.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        history: models.History,
        seed: int,
    ) -> None:
        """Creates a simulation at time 0 without actors.

        Args:
            deployment: Sizes and delays.
            history: Record to which the actors append.
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
        """Wall-clock time in seconds since the Unix epoch."""
        return generator.WALL_CLOCK_START_S + self.now

    def register(self, name: str, zone: str, handler: MessageHandler) -> None:
        """Adds an actor in a zone; `handler` gets each message to its name."""
        self._handlers[name] = handler
        self._zones[name] = zone

    def zone(self, name: str) -> str:
        """Returns the zone of an actor."""
        return self._zones[name]

    def set_zone_cut(self, zone: str, *, is_cut: bool) -> None:
        """Starts or ends the network partition of a zone from all others."""
        if is_cut:
            self._cut_zones.add(zone)
        else:
            self._cut_zones.discard(zone)

    def can_reach(self, source: str, target: str) -> bool:
        """Returns whether no network partition separates two actors."""
        source_zone, target_zone = self._zones[source], self._zones[target]
        return source_zone == target_zone or not self._cut_zones & {
            source_zone,
            target_zone,
        }

    def delay_s(self, source: str, target: str) -> float:
        """Returns the one-way network delay between two actors, in seconds."""
        zones = {self._zones[source], self._zones[target]}
        if PLATFORM in zones:
            return _PLATFORM_DELAY_S
        if len(zones) == 1:
            return self.deployment.local_delay_s
        return self.deployment.zone_delay_s

    def send(self, source: str, target: str, message: Any) -> None:
        """Sends a message over the network; a network partition drops it."""
        if self.can_reach(source, target):
            self.deliver_after(self.delay_s(source, target), target, message)

    def send_or_fail(
        self, source: str, target: str, message: Any, failure: Any
    ) -> None:
        """Sends a message that needs a connection.

        If a network partition prevents it, the source gets `failure` after
        `CONNECT_TIMEOUT_S` instead.
        """
        if self.can_reach(source, target):
            self.send(source, target, message)
        else:
            self.deliver_after(CONNECT_TIMEOUT_S, source, failure)

    def deliver_after(self, delay_s: float, target: str, message: Any) -> None:
        """Delivers a message after `delay_s` seconds, bypassing the network.

        This is for timers and messages within a VM. A negative delay counts
        as 0.
        """
        handler = self._handlers[target]
        timeout = self.env.timeout(max(0.0, delay_s))
        timeout.callbacks.append(lambda _: handler(message))

    def record_outcome(
        self, call: models.Call, answer: models.Answer, hop_delay_s: float
    ) -> None:
        """Records the answer that reaches the caller after the client delay."""
        self.history.outcomes.append(
            models.Outcome(
                call,
                answer,
                self.now + self.deployment.client_delay_s,
                hop_delay_s,
            )
        )
