"""Tracks when the grants sent to each server expire, on the keeper's clock."""

import dataclasses

from berylweir.gateway import models

# Lifetime of a grant, in seconds. The keys of a lost server are unavailable for
# this long. A lost keeper must be replaced before it has passed, or its grants
# expire at servers that are still running.
GRANT_DURATION_S = 2.5
# Maximum fraction by which a server's clock may run slow.
_MAX_CLOCK_DRIFT = 0.02
# Added to each lifetime, in seconds, to cover the delay between reading the
# clock and sending the grant.
_SEND_MARGIN_S = 0.1
# How long a keeper may go on granting after it last read itself as the holder
# of the lease, in seconds. Store outages last several seconds, and grants must
# be renewed throughout them.
AUTHORITY_S = 14.0
# Consecutive grants that a server must fail to accept before it can be treated
# as lost. If it responded to none of them, no more are sent until the last one
# has expired, because each further grant would postpone that expiry.
LOST_AFTER_FAILURES = 2


def max_grant_lifetime_s() -> float:
    """Returns the longest time that a server may act on a grant, in seconds.

    The time counts from the arrival of the grant. It includes the maximum clock
    drift and the margin for delays.
    """
    return GRANT_DURATION_S * (1.0 + _MAX_CLOCK_DRIFT) + _SEND_MARGIN_S


@dataclasses.dataclass(slots=True)
class GrantExpiry:
    """Expiry of this keeper's grants to one server instance.

    All times are on the boot clock, in seconds.

    Attributes:
        expires_s: Latest time at which any grant sent to it expires.
        unanswered_expires_s: Latest expiry of a grant that it didn't respond
            to. It may still apply such a grant, even after a release.
        is_fenced: Whether it has accepted this keeper's fencing tokens for all
            of its keys, and therefore rejects grants of an earlier keeper.
        consecutive_failures: Grants in a row that it didn't accept.
        consecutive_timeouts: Grants in a row that it didn't respond to.
    """

    expires_s: float = float("-inf")
    unanswered_expires_s: float = float("-inf")
    is_fenced: bool = False
    consecutive_failures: int = 0
    consecutive_timeouts: int = 0
    _previous_expires_s: float = float("-inf")

    def record_sent(self, now_s: float) -> None:
        """Extends the expiry for a grant that is about to be sent."""
        self._previous_expires_s = self.expires_s
        self.expires_s = max(self.expires_s, now_s + max_grant_lifetime_s())

    def record_accepted(self, now_s: float) -> None:
        """Records that the server accepted the last grant."""
        self.consecutive_failures = 0
        self.consecutive_timeouts = 0
        self.record_sent(now_s)

    def record_rejected(self) -> None:
        """Undoes the last `record_sent`; the grant was rejected or not sent."""
        self.consecutive_failures += 1
        self.expires_s = self._previous_expires_s

    def record_unanswered(self, now_s: float) -> None:
        """Records that a response didn't come in time."""
        self.consecutive_failures += 1
        self.consecutive_timeouts += 1
        self.record_abandoned(now_s)

    def record_abandoned(self, now_s: float) -> None:
        """Records that the keeper stopped waiting for a response.

        Its connection is closed, so the grant arrived before `now_s` or will
        never arrive.
        """
        self.record_sent(now_s)
        self.unanswered_expires_s = max(
            self.unanswered_expires_s, self.expires_s
        )


class GrantExpiries:
    """Expiry of the grants of all servers, including an earlier keeper's."""

    def __init__(self) -> None:
        """Creates the state of a keeper that has granted nothing."""
        self._expiries: dict[models.ServerInstance, GrantExpiry] = {}
        self._inherited_expires_s = float("-inf")

    def start_epoch(self, expires_s: float) -> None:
        """Discards all grants and sets the expiry of an earlier keeper's.

        Args:
            expires_s: Time on the boot clock at which the last grant of any
                earlier keeper expires, in seconds.
        """
        self._inherited_expires_s = expires_s
        self._expiries.clear()

    def limit_inherited(self, expires_s: float) -> None:
        """Lowers the expiry of the earlier keepers' grants.

        Args:
            expires_s: Time on the boot clock at which the last of them
                expires, in seconds. A time after the known one is ignored.
        """
        self._inherited_expires_s = min(self._inherited_expires_s, expires_s)

    def for_server(self, instance: models.ServerInstance) -> GrantExpiry:
        """Returns the record of a server instance; creates it if needed."""
        return self._expiries.setdefault(instance, GrantExpiry())

    def is_lost(self, instance: models.ServerInstance, now_s: float) -> bool:
        """Returns whether a server is lost and all its grants have expired.

        Args:
            instance: The server instance.
            now_s: Time on the boot clock, in seconds.
        """
        return (
            self.for_server(instance).consecutive_failures
            >= LOST_AFTER_FAILURES
            and self.expires_s(instance) <= now_s
        )

    def expires_s(self, instance: models.ServerInstance) -> float:
        """Returns when the server's last grant expires, by any keeper.

        The time is on the boot clock, in seconds.
        """
        expiry = self.for_server(instance)
        if expiry.is_fenced:
            return expiry.expires_s
        return max(expiry.expires_s, self._inherited_expires_s)

    @property
    def inherited_expires_s(self) -> float:
        """Time at which the last grant of any earlier keeper expires."""
        return self._inherited_expires_s
