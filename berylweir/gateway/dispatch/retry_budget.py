"""Limit on repeated requests, shared by all VMs without talking."""

import collections

# Part of the allowed repeats that is used. The rest covers VMs that have
# started since and windows that don't line up.
_BUDGET_SHARE = 0.7


class RetryBudget:
    """Counts requests and repeats of one server group in a sliding window."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Creates a budget.

        Args:
            ratio: Repeats allowed per request, over all VMs.
            slack: Repeats allowed in a window beyond that, over all VMs.
            window_s: Length of the window, in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._request_times_s: collections.deque[float] = collections.deque()
        self._retry_times_s: collections.deque[float] = collections.deque()

    def record_request(self, now_s: float) -> None:
        """Counts the first send of a request."""
        self._request_times_s.append(now_s)

    def try_acquire(self, now_s: float, vm_count: int) -> bool:
        """Counts a repeat if it is allowed, and returns whether it is.

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
