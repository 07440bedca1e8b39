"""The clock by which leases and grants are timed."""

import time


def boot_s() -> float:
    """Returns the time since the VM booted, in seconds.

    Unlike the monotonic clock it includes the time for which the VM was
    suspended, during which leases and grants go on expiring.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
