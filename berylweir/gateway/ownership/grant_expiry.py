"""Until when each server may still hold keys, on the keeper's own clock."""

import dataclasses

from berylweir.gateway import models

# Length of a grant, in seconds. A lost server's keys are served again after
# it, and a lost keeper must be replaced within it.
GRANT_DURATION_S = 2.5
# Servers' clocks may run this much slow.
_MAX_CLOCK_DRIFT = 0.02
# Added to each wait, in seconds, for delays between a clock read and a send.
_SEND_MARGIN_S = 0.1
# How long a keeper grants after it last saw itself in the lease, in seconds.
# Outages of the store last several seconds.
AUTHORITY_S = 14.0
# Grants in a row that a server doesn't accept before it may count as lost. If
# it doesn't answer them, it gets no more until its hold has ended: each one
# prolongs the hold.
LOST_AFTER_FAILURES = 2


def max_grant_lifetime_s() -> float:
    """Returns how long a server may hold keys after a grant arrived."""
    return GRANT_DURATION_S * (1.0 + _MAX_CLOCK_DRIFT) + _SEND_MARGIN_S


@dataclasses.dataclass(slots=True)
class GrantExpiry:
    """What one life of a server may hold by this keeper's grants.

    Attributes:
        expires_s: Latest end of any grant that it was sent.
        unanswered_expires_s: Latest end of a grant that it didn't answer. Such
            a grant may be carried out after a release.
        is_fenced: Whether it has accepted this keeper's tokens for all of its
            keys, and so refuses a former keeper.
        consecutive_failures: Grants in a row that it didn't accept.
        consecutive_timeouts: Grants in a row that it didn't answer.
    """

    expires_s: float = float("-inf")
    unanswered_expires_s: float = float("-inf")
    is_fenced: bool = False
    consecutive_failures: int = 0
    consecutive_timeouts: int = 0
    _previous_expires_s: float = float("-inf")

    def record_sent(self, now_s: float) -> None:
        """Notes a grant that is about to be sent."""
        self._previous_expires_s = self.expires_s
        self.expires_s = max(self.expires_s, now_s + max_grant_lifetime_s())

    def record_accepted(self, now_s: float) -> None:
        """Notes that the last grant was accepted."""
        self.consecutive_failures = 0
        self.consecutive_timeouts = 0
        self.record_sent(now_s)

    def record_rejected(self) -> None:
        """Takes the last grant back: it wasn't sent, or was refused."""
        self.consecutive_failures += 1
        self.expires_s = self._previous_expires_s

    def record_unanswered(self, now_s: float) -> None:
        """Notes that a grant was given up; it has arrived by now or never."""
        self.consecutive_failures += 1
        self.consecutive_timeouts += 1
        self.record_sent(now_s)
        self.unanswered_expires_s = max(
            self.unanswered_expires_s, self.expires_s
        )


class GrantExpiries:
    """Holds of all servers that this keeper may have to wait for."""

    def __init__(self) -> None:
        """Creates holds of a keeper that has granted nothing."""
        self._expiries: dict[models.ServerInstance, GrantExpiry] = {}
        self._inherited_expires_s = float("-inf")

    def start_epoch(self, expires_s: float) -> None:
        """Forgets all grants, and notes those of a former keeper.

        Args:
            expires_s: Latest end of any of them.
        """
        self._inherited_expires_s = expires_s
        self._expiries.clear()

    def limit_inherited(self, expires_s: float) -> None:
        """Notes that a former keeper's grants end earlier.

        Args:
            expires_s: Latest end of any of them.
        """
        self._inherited_expires_s = min(self._inherited_expires_s, expires_s)

    def for_server(self, instance: models.ServerInstance) -> GrantExpiry:
        """Returns the hold of a server."""
        return self._expiries.setdefault(instance, GrantExpiry())

    def is_lost(self, instance: models.ServerInstance, now_s: float) -> bool:
        """Returns whether a server stopped answering and holds nothing.

        Args:
            instance: The server.
            now_s: Time on the boot clock, in seconds.
        """
        return (
            self.for_server(instance).consecutive_failures
            >= LOST_AFTER_FAILURES
            and self.expires_s(instance) <= now_s
        )

    def expires_s(self, instance: models.ServerInstance) -> float:
        """Returns when a server certainly holds nothing any more."""
        expiry = self.for_server(instance)
        if expiry.is_fenced:
            return expiry.expires_s
        return max(expiry.expires_s, self._inherited_expires_s)

    @property
    def inherited_expires_s(self) -> float:
        """Latest end of any grant of a former keeper."""
        return self._inherited_expires_s
