"""Remembers which requests may crash backend servers.

Requests in flight when a server crashes become suspects. A suspect runs alone
on its server, so a second crash names it: it is then quarantined. A suspect
that finishes well is cleared.

The bound on servers lost: a request that its caller sends again after each
failure costs two backend servers in all, one that makes it a suspect and one
on which it ran alone. For an unkeyed group, each VM that starts it before
`Suspects` has arrived (about 0.1 s) or that runs it alone at the same moment
costs one more. Copies that run side by side on several servers of a home
before the first crash cost one each.
"""

from collections.abc import Iterable
import dataclasses

_MAX_FINGERPRINTS = 1024


@dataclasses.dataclass(slots=True)
class CrashSuspects:
    """Fingerprints with the monotonic time at which each is forgotten.

    Each table holds at most 1,024 fingerprints; beyond that the one that
    expires first is forgotten.

    Attributes:
        isolation_s: How long a suspect must run alone, in seconds.
        quarantine_s: How long a quarantined request is refused, in seconds.
        suspected: Fingerprints that run alone.
        quarantined: Fingerprints that are refused.
        cleared: Fingerprints that finished well here, so that a message from
            before that doesn't make them suspects again.
        local: Fingerprints that this home found itself and must tell others.
        has_unreported: Whether `local` has changed since the last report.
    """

    isolation_s: float
    quarantine_s: float
    suspected: dict[int, float] = dataclasses.field(default_factory=dict)
    quarantined: dict[int, float] = dataclasses.field(default_factory=dict)
    cleared: dict[int, float] = dataclasses.field(default_factory=dict)
    local: set[int] = dataclasses.field(default_factory=set)
    has_unreported: bool = False


def is_suspect(suspects: CrashSuspects, fingerprint: int, now: float) -> bool:
    """Returns whether the request must run alone."""
    return suspects.suspected.get(fingerprint, 0.0) > now


def quarantine_left_s(
    suspects: CrashSuspects, fingerprint: int, now: float
) -> float:
    """Returns for how long the request is refused; 0 if it isn't."""
    return max(0.0, suspects.quarantined.get(fingerprint, 0.0) - now)


def mark_suspects(
    suspects: CrashSuspects, fingerprints: Iterable[int], now: float
) -> None:
    """Makes suspects of the requests in flight at a crash."""
    for fingerprint in fingerprints:
        suspects.cleared.pop(fingerprint, None)
        _put(suspects.suspected, fingerprint, now + suspects.isolation_s)
        suspects.local.add(fingerprint)
    suspects.has_unreported = True


def quarantine(suspects: CrashSuspects, fingerprint: int, now: float) -> None:
    """Refuses a suspect that ran alone when its server crashed."""
    suspects.cleared.pop(fingerprint, None)
    suspects.suspected.pop(fingerprint, None)
    _put(suspects.quarantined, fingerprint, now + suspects.quarantine_s)
    suspects.local.add(fingerprint)
    suspects.has_unreported = True


def clear(suspects: CrashSuspects, fingerprint: int, now: float) -> None:
    """Clears a suspect that finished well."""
    if suspects.suspected.pop(fingerprint, None) is not None:
        _put(suspects.cleared, fingerprint, now + suspects.isolation_s)
        suspects.local.discard(fingerprint)


def merge(
    suspects: CrashSuspects,
    suspected: Iterable[tuple[int, float]],
    quarantined: Iterable[tuple[int, float]],
    now: float,
) -> None:
    """Adds what another home has found; the later expiry wins.

    Args:
        suspects: Suspects of this home.
        suspected: Fingerprints with the seconds left.
        quarantined: Fingerprints with the seconds left.
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
    """Forgets what has expired."""
    for table in (suspects.suspected, suspects.quarantined, suspects.cleared):
        for fingerprint in [f for f, until in table.items() if until <= now]:
            del table[fingerprint]
    suspects.local.intersection_update(
        suspects.suspected.keys() | suspects.quarantined
    )


def _put(table: dict[int, float], fingerprint: int, until_s: float) -> None:
    table[fingerprint] = until_s
    if len(table) > _MAX_FINGERPRINTS:
        del table[min(table, key=table.__getitem__)]
