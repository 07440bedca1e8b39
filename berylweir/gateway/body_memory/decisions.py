"""Decides how much body memory a source may use."""

import typing

from berylweir.gateway.body_memory import models

# Share of a VM's memory that bodies may use. The program itself and the buffers
# of its sockets need the rest.
_BODY_SHARE = 0.25


def body_bytes(memory_bytes: int) -> int:
    """Returns how much memory bodies may use, in bytes.

    Args:
        memory_bytes: Memory limit of the process, in bytes.
    """
    return int(memory_bytes * _BODY_SHARE)


def source_limit(use: models.Use, unused_bytes: int) -> float:
    """Returns the limit of what one source may hold, in bytes.

    Limits depend on the memory that nobody uses (dynamic thresholds, Choudhury
    and Hahne 1998). One source alone gets the share a/(1 + a) of all memory for
    the factor a, and n sources together leave 1/(1 + na) unused. So a source
    that takes all it can always leaves some for the others.

    Args:
        use: What the memory is for.
        unused_bytes: Memory that would be left unused, in bytes.
    """
    return _factor(use) * max(0, unused_bytes)


def _factor(use: models.Use) -> float:
    match use:
        case models.Retryable():
            # Without it, the response is streamed and can't be retried.
            return 0.5
        case models.Streamed():
            # Without it, the response waits.
            return 2.0
        case models.Upload():
            # Without it, the request is rejected.
            return 8.0
        case _:
            typing.assert_never(use)
