"""A retry budget that all VMs share without exchanging messages."""

import collections

# Share of the allowed retries that a VM uses. The rest covers VMs that have
# started but aren't known here yet, and windows that aren't aligned between
# VMs.
_BUDGET_SHARE = 0.7


class RetryBudget:
    """Limits the retries of one server group in a sliding window.

    The number of allowed retries is a ratio of the requests in the window
    plus this VM's part of a fixed allowance.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Creates a budget.

        Args:
            ratio: Retries allowed per request.
            slack: Retries that all VMs together may send in a window in
                addition to the ratio.
            window_s: Length of the window, in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._request_times_s: collections.deque[float] = collections.deque()
        self._retry_times_s: collections.deque[float] = collections.deque()

    def record_request(self, now_s: float) -> None:
        """Counts the first attempt of a request."""
        self._request_times_s.append(now_s)

    def try_acquire(self, now_s: float, vm_count: int) -> bool:
        """Counts a retry and returns True if the budget allows it.

        Args:
            now_s: Time, in seconds.
            vm_count: Number of VMs that share the slack.
        """
        for times_s in (self._request_times_s, self._retry_times_s):
            while times_s and times_s[0] < now_s - self._window_s:
                times_s.popleft()
        allowed = _BUDGET_SHARE * (
            self._ratio * len(self._request_times_s)
            + self._slack / max(1, vm_count)
        )
        if len(self._retry_times_s) + 1 > allowed:
            return False
        self._retry_times_s.append(now_s)
        return True

    def refund(self) -> None:
        """Returns a retry that wasn't sent."""
        if self._retry_times_s:
            self._retry_times_s.pop()
