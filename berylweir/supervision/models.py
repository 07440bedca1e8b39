"""Child specifications, and the restart policies of a supervisor."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import enum


class Restart(enum.Enum):
    """When a child that has ended is restarted.

    `PERMANENT` children are always restarted, `TRANSIENT` ones only after a
    crash, `TEMPORARY` ones never.
    """

    PERMANENT = "permanent"
    TRANSIENT = "transient"
    TEMPORARY = "temporary"


class Strategy(enum.Enum):
    """Which children are restarted together with a crashed child.

    `ONE_FOR_ONE` restarts only the crashed child, `REST_FOR_ONE` also those
    started after it, `ONE_FOR_ALL` all children.
    """

    ONE_FOR_ONE = "one_for_one"
    REST_FOR_ONE = "rest_for_one"
    ONE_FOR_ALL = "one_for_all"


@dataclasses.dataclass(frozen=True, slots=True)
class Backoff:
    """Delay before a restart: exponential backoff with full jitter.

    Attributes:
        initial_s: Maximum delay before the first restart, in seconds.
        factor: Factor by which each restart raises the maximum delay.
        max_s: Limit of the maximum delay, in seconds.
    """

    initial_s: float = 0.05
    factor: float = 2.0
    max_s: float = 2.0

    def max_delay_s(self, restarts: int) -> float:
        """Returns the maximum delay after `restarts` restarts, in seconds.

        The actual delay is random, between 0 and this maximum.
        """
        return min(self.max_s, self.initial_s * self.factor**restarts)


@dataclasses.dataclass(frozen=True, slots=True)
class Intensity:
    """Rate of restarts that a supervisor tolerates before it gives up.

    Attributes:
        max_restarts: Largest number of restarts within the window.
        window_s: Length of the window, in seconds.
    """

    max_restarts: int = 10
    window_s: float = 10.0


class ChildContext:
    """Connects a running child with its supervisor."""

    def __init__(self, stack: contextlib.AsyncExitStack) -> None:
        """Creates the context.

        Args:
            stack: Exit stack for the child's resources; closed when the child
                ends.
        """
        self._stack = stack
        self._ready_event = asyncio.Event()
        self._stop_event = asyncio.Event()

    @property
    def stack(self) -> contextlib.AsyncExitStack:
        """Exit stack that closes the child's resources when the child ends."""
        return self._stack

    @property
    def ready_event(self) -> asyncio.Event:
        """Event that is set once the child has finished its startup."""
        return self._ready_event

    @property
    def stop_event(self) -> asyncio.Event:
        """Event that is set when the child is asked to end."""
        return self._stop_event

    def report_ready(self) -> None:
        """Reports that the startup is finished, so the next child may start."""
        self._ready_event.set()


ChildFunction = Callable[[ChildContext], Awaitable[None]]


@dataclasses.dataclass(frozen=True, slots=True)
class ChildSpec:
    """Describes one child of a supervisor.

    Attributes:
        name: Name of the child, unique among its siblings.
        run: Runs the child until `ChildContext.stop_event` is set or it
            crashes.
        restart: When the child is restarted.
        backoff: Delay before a restart.
        start_timeout_s: Time within which the child must report that it is
            ready, in seconds.
        stop_timeout_s: Time between the request to end and the cancellation
            of the child's task, in seconds.
    """

    name: str
    run: ChildFunction
    restart: Restart = Restart.PERMANENT
    backoff: Backoff = Backoff()
    start_timeout_s: float = 10.0
    stop_timeout_s: float = 5.0
