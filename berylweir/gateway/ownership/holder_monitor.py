"""Decides from the responses to reports whether the lease holder is lost."""

from berylweir.gateway.ownership import election
from berylweir.gateway.peers import messages as peers

# Age of the holder's last confirmation above which another gateway takes over
# if the store is up, in seconds. It must exceed the interval of confirmations.
_MAX_CONFIRMATION_AGE_S = 4.0
# Time after a change of the lease during which unanswered reports don't count
# as failed, in seconds. The new holder is busy then: it sends requests to all
# other gateways and grants all keys, which can keep a slow VM busy this long.
_NEW_HOLDER_GRACE_S = 2.0
# Failed takeovers that are counted; each doubles the pause before the next one.
_MAX_FAILED_TAKEOVERS = 2


class HolderMonitor:
    """Responses of the lease holder; all times are on the boot clock."""

    def __init__(self) -> None:
        """Creates the monitor of a gateway that hasn't reported yet."""
        self._failed_reports = 0
        self._failed_takeovers = 0
        self._is_replacing = False
        self._responded_s = float("-inf")
        self._lease_changed_s = float("-inf")

    @property
    def failed_reports(self) -> int:
        """Number of consecutive reports that failed."""
        return self._failed_reports

    @property
    def is_lost(self) -> bool:
        """Whether the holder is considered lost, or is to be replaced."""
        return self._failed_reports >= election.LOST_AFTER_FAILED_REPORTS

    @property
    def is_replacing(self) -> bool:
        """Whether the holder responds but is to be replaced."""
        return self._is_replacing

    @property
    def responded_s(self) -> float:
        """When a holder last responded as such, in seconds."""
        return self._responded_s

    @property
    def failed_takeovers(self) -> int:
        """Takeovers in a row that the store didn't answer, up to 2."""
        return self._failed_takeovers

    def record_lease_change(self, now_s: float) -> None:
        """Starts to monitor the holder of another lease."""
        self._failed_takeovers = 0
        self._lease_changed_s = now_s
        self.reset()

    def record_holder(
        self, status: peers.GatewayStatus, now_s: float, *, is_store_up: bool
    ) -> None:
        """Records a response of the holder.

        A holder that can't reach the store still renews grants, but it can't
        write key tables, so it moves no keys and is replaced.

        Args:
            status: Status of the holder.
            now_s: Current time.
            is_store_up: Whether the store answers this gateway or one that it
                follows.
        """
        self._failed_reports = 0
        self._responded_s = now_s
        if (
            status.confirmed_s is not None
            and status.confirmed_s > _MAX_CONFIRMATION_AGE_S
            and is_store_up
        ):
            self._is_replacing = True
            self.record_other_gateway()

    def record_other_gateway(self) -> None:
        """Records a response of a gateway that isn't the holder any more."""
        self._failed_reports = election.LOST_AFTER_FAILED_REPORTS

    def record_no_response(self, now_s: float) -> None:
        """Records that the holder didn't respond in time."""
        if now_s - self._lease_changed_s > _NEW_HOLDER_GRACE_S:
            self._failed_reports += 1

    def record_no_address(self) -> None:
        """Records that a report wasn't sent for want of an address."""
        self._failed_reports += 1

    def record_deferral(self) -> None:
        """Records that the holder seems to be alive."""
        self._failed_reports = 0

    def record_failed_takeover(self) -> None:
        """Records that the store didn't take the lease of this gateway.

        That says nothing of a holder that doesn't respond. One that responds
        may have reached the store meanwhile, so it is asked again.
        """
        self._failed_takeovers = min(
            self._failed_takeovers + 1, _MAX_FAILED_TAKEOVERS
        )
        if self._is_replacing:
            self.reset()

    def reset(self) -> None:
        """Discards all responses but the time of the last one."""
        self._failed_reports = 0
        self._is_replacing = False
