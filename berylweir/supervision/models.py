"""Child specifications and the policies that a supervisor applies to them."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import enum


class Restart(enum.Enum):
    """Says when a child that has ended is started again."""

    PERMANENT = "permanent"
    TRANSIENT = "transient"
    TEMPORARY = "temporary"


class Strategy(enum.Enum):
    """Says which siblings are restarted together with a crashed child."""

    ONE_FOR_ONE = "one_for_one"
    REST_FOR_ONE = "rest_for_one"
    ONE_FOR_ALL = "one_for_all"


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """Delay between restarts: exponential with full jitter.

    Attributes:
        initial_s: Upper bound of the first delay, in seconds.
        factor: Growth of the bound with each restart in the window.
        max_s: Largest bound, in seconds.
    """

    initial_s: float = 0.05
    factor: float = 2.0
    max_s: float = 2.0

    def max_delay_s(self, restarts: int) -> float:
        """Returns the delay bound in seconds after `restarts` restarts."""
        return min(self.max_s, self.initial_s * self.factor**restarts)


@dataclasses.dataclass(frozen=True, slots=True)
class Intensity:
    """Restarts that a supervisor tolerates before it gives up.

    Attributes:
        max_restarts: Tolerated number of restarts within the window.
        window_s: Length of the window, in seconds.
    """

    max_restarts: int = 10
    window_s: float = 10.0


class ChildContext:
    """What a running child gets from its supervisor."""

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        """Creates the context.

        Args:
            stack: Owns all that the child opens; closed after the child ends.
        """
        self._stack = stack
        self._ready_event = asyncio.Event()
        self._stop_event = asyncio.Event()

    @property
    def stack(self) -> contextlib.AsyncExitStack:
        """The exit stack that owns what the child opens."""
        return self._stack

    @property
    def ready_event(self) -> asyncio.Event:
        """Set once the child has finished its start."""
        return self._ready_event

    @property
    def stop_event(self) -> asyncio.Event:
        """Set when the child is asked to end by itself."""
        return self._stop_event

    def report_ready(self) -> None:
        """Tells the supervisor that the next child may start."""
        self._ready_event.set()


ChildFunction = Callable[[ChildContext], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class ChildSpec:
    """Describes one child of a supervisor.

    Attributes:
        name: Name of the child, unique among its siblings.
        run: Runs the child until `ChildContext.stop_event` is set or it
            crashes.
        restart: When the child is started again.
        backoff: Delay between restarts.
        start_timeout_s: Time for the child to report ready, in seconds.
        stop_timeout_s: Time to end by itself before it is cancelled, in
            seconds.
    """

    name: str
    run: ChildFunction
    restart: Restart = Restart.PERMANENT
    backoff: Backoff = Backoff()
    start_timeout_s: float = 10.0
    stop_timeout_s: float = 5.0
