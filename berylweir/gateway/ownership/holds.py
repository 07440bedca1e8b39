"""Until when each server may still hold keys, on the keeper's own clock."""

import dataclasses

from berylweir.gateway import models

# Length of a grant, in seconds. A lost server's keys are served again after
# it, and a lost keeper must be replaced within it.
HOLD_S = 2.5
# Servers' clocks may run this much slow.
_CLOCK_DRIFT = 0.02
# Added to each wait, in seconds, for delays between a clock read and a send.
_MARGIN_S = 0.1
# How long a keeper grants after it last saw itself in the lease, in seconds.
# Outages of the store last several seconds.
AUTHORITY_S = 14.0
# Grants in a row that a server doesn't accept before it may count as lost. If
# it doesn't answer them, it gets no more until its hold has ended: each one
# prolongs the hold.
MAX_FAILURES = 2


def longest_hold_s() -> float:
    """Returns how long a server may hold keys after a grant arrived."""
    return HOLD_S * (1.0 + _CLOCK_DRIFT) + _MARGIN_S


@dataclasses.dataclass(slots=True)
class ServerHold:
    """What one life of a server may hold by this keeper's grants.

    Attributes:
        until_s: Latest end of any grant that it was sent.
        unanswered_until_s: Latest end of a grant that it didn't answer. Such
            a grant may be carried out after a release.
        is_fenced: Whether it has accepted this keeper's tokens for all of its
            keys, and so refuses a former keeper.
        failures: Grants in a row that it didn't accept.
        silences: Grants in a row that it didn't answer.
    """

    until_s: float = float("-inf")
    unanswered_until_s: float = float("-inf")
    is_fenced: bool = False
    failures: int = 0
    silences: int = 0
    _before_s: float = float("-inf")

    def sent(self, now_s: float) -> None:
        """Notes a grant that is about to be sent."""
        self._before_s = self.until_s
        self.until_s = max(self.until_s, now_s + longest_hold_s())

    def accepted(self, now_s: float) -> None:
        """Notes that the last grant was accepted."""
        self.failures = 0
        self.silences = 0
        self.sent(now_s)

    def not_taken(self) -> None:
        """Takes the last grant back: it wasn't sent, or was refused."""
        self.failures += 1
        self.until_s = self._before_s

    def unanswered(self, now_s: float) -> None:
        """Notes that a grant was given up; it has arrived by now or never."""
        self.failures += 1
        self.silences += 1
        self.sent(now_s)
        self.unanswered_until_s = max(self.unanswered_until_s, self.until_s)


class Holds:
    """Holds of all servers that this keeper may have to wait for."""

    def __init__(self) -> None:
        """Creates holds of a keeper that has granted nothing."""
        self._holds: dict[models.ServerInstance, ServerHold] = {}
        self._inherited_until_s = float("-inf")

    def begin(self, until_s: float) -> None:
        """Forgets all grants, and notes those of a former keeper.

        Args:
            until_s: Latest end of any of them.
        """
        self._inherited_until_s = until_s
        self._holds.clear()

    def shorten(self, until_s: float) -> None:
        """Notes that a former keeper's grants end earlier.

        Args:
            until_s: Latest end of any of them.
        """
        self._inherited_until_s = min(self._inherited_until_s, until_s)

    def of(self, life: models.ServerInstance) -> ServerHold:
        """Returns the hold of a server."""
        return self._holds.setdefault(life, ServerHold())

    def is_lapsed(self, life: models.ServerInstance, now_s: float) -> bool:
        """Returns whether a server stopped answering and holds nothing.

        Args:
            life: The server.
            now_s: Time on the boot clock, in seconds.
        """
        return (
            self.of(life).failures >= MAX_FAILURES
            and self.until_s(life) <= now_s
        )

    def until_s(self, life: models.ServerInstance) -> float:
        """Returns when a server certainly holds nothing any more."""
        hold = self.of(life)
        if hold.is_fenced:
            return hold.until_s
        return max(hold.until_s, self._inherited_until_s)

    @property
    def inherited_until_s(self) -> float:
        """Latest end of any grant of a former keeper."""
        return self._inherited_until_s
