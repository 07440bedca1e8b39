"""Isolates and quarantines requests that may crash backend servers.

All requests in flight when a server crashes become suspects. A suspect runs
alone on its server, so a second crash identifies it as the cause, and it is
quarantined. A suspect that completes is cleared.

This bounds the number of servers that one request can crash. If its caller
sends it again after each failure, it crashes two in all: at the first it
becomes a suspect, and at the second it runs alone. In an unkeyed group, each
VM that starts it before the `Suspects` message arrives (about 0.1 s), or that
runs it alone at the same time, loses one more. Copies that run concurrently
on several servers of a home before the first crash take one server each.
"""

from collections.abc import Iterable
import dataclasses

_MAX_FINGERPRINTS = 1024


@dataclasses.dataclass(slots=True)
class CrashSuspects:
    """Fingerprints of suspects, with the monotonic time at which each expires.

    Each table holds at most 1,024 fingerprints; beyond that, the entry that
    expires first is dropped.

    Attributes:
        isolation_s: How long a suspect must run alone, in seconds.
        quarantine_s: How long a quarantined request is refused, in seconds.
        suspected: Fingerprints of requests that must run alone.
        quarantined: Fingerprints of requests that are refused.
        cleared: Fingerprints of former suspects that completed here. An older
            message of another home doesn't make them suspects again.
        detected_here: Fingerprints that this home detected itself and must
            report.
        has_unreported: Whether `detected_here` has changed since the last
            report.
    """

    isolation_s: float
    quarantine_s: float
    suspected: dict[int, float] = dataclasses.field(default_factory=dict)
    quarantined: dict[int, float] = dataclasses.field(default_factory=dict)
    cleared: dict[int, float] = dataclasses.field(default_factory=dict)
    detected_here: set[int] = dataclasses.field(default_factory=set)
    has_unreported: bool = False


def is_suspect(suspects: CrashSuspects, fingerprint: int, now: float) -> bool:
    """Returns whether the request must run alone."""
    return suspects.suspected.get(fingerprint, 0.0) > now


def quarantine_left_s(
    suspects: CrashSuspects, fingerprint: int, now: float
) -> float:
    """Returns how long the request is still refused, in seconds, or 0."""
    return max(0.0, suspects.quarantined.get(fingerprint, 0.0) - now)


def mark_suspects(
    suspects: CrashSuspects, fingerprints: Iterable[int], now: float
) -> None:
    """Marks the requests that were in flight at a crash as suspects."""
    for fingerprint in fingerprints:
        suspects.cleared.pop(fingerprint, None)
        _put(suspects.suspected, fingerprint, now + suspects.isolation_s)
        suspects.detected_here.add(fingerprint)
    suspects.has_unreported = True


def quarantine(suspects: CrashSuspects, fingerprint: int, now: float) -> None:
    """Quarantines a suspect that ran alone when its server crashed."""
    suspects.cleared.pop(fingerprint, None)
    suspects.suspected.pop(fingerprint, None)
    _put(suspects.quarantined, fingerprint, now + suspects.quarantine_s)
    suspects.detected_here.add(fingerprint)
    suspects.has_unreported = True


def clear(suspects: CrashSuspects, fingerprint: int, now: float) -> None:
    """Clears a suspect that completed."""
    if suspects.suspected.pop(fingerprint, None) is not None:
        _put(suspects.cleared, fingerprint, now + suspects.isolation_s)
        suspects.detected_here.discard(fingerprint)


def merge(
    suspects: CrashSuspects,
    suspected: Iterable[tuple[int, float]],
    quarantined: Iterable[tuple[int, float]],
    now: float,
) -> None:
    """Adds the suspects that another home reported; the later expiry wins.

    Args:
        suspects: Suspects of this home.
        suspected: Fingerprints, each with the seconds until it expires.
        quarantined: Fingerprints, each with the seconds until it expires.
        now: Monotonic time, in seconds.
    """
    for fingerprint, left_s in suspected:
        if fingerprint not in suspects.cleared:
            until_s = now + min(left_s, suspects.isolation_s)
            known_s = suspects.suspected.get(fingerprint, 0.0)
            _put(suspects.suspected, fingerprint, max(known_s, until_s))
    for fingerprint, left_s in quarantined:
        until_s = now + min(left_s, suspects.quarantine_s)
        known_s = suspects.quarantined.get(fingerprint, 0.0)
        _put(suspects.quarantined, fingerprint, max(known_s, until_s))


def expire(suspects: CrashSuspects, now: float) -> None:
    """Drops expired fingerprints."""
    for table in (suspects.suspected, suspects.quarantined, suspects.cleared):
        for fingerprint in [f for f, until in table.items() if until <= now]:
            del table[fingerprint]
    suspects.detected_here.intersection_update(
        suspects.suspected.keys() | suspects.quarantined
    )


def _put(table: dict[int, float], fingerprint: int, until_s: float) -> None:
    table[fingerprint] = until_s
    if len(table) > _MAX_FINGERPRINTS:
        del table[min(table, key=table.__getitem__)]
