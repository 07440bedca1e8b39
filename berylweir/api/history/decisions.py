"""Pure functions on the change log.

The newest records are in the current log; older ones are moved to a ring of
archives, each an object of its own.
"""

from collections.abc import Iterable

import msgspec

from berylweir.api.history import schemas

MAX_CURRENT_RECORDS = 128
RECORDS_PER_ARCHIVE = 64
ARCHIVE_COUNT = 64
# An API process ends all its calls to the platform for a change within this
# time, so an intent that is older belongs to a process that has given it up.
INTENT_TIMEOUT_MS = 30_000


def find_record(
    log: schemas.ChangeLog, change_id: str
) -> schemas.ChangeRecord | None:
    """Returns the record of a change, or None if the log doesn't have it."""
    for record in log.records:
        if record.id == change_id:
            return record
    return None


def append_record(
    log: schemas.ChangeLog, record: schemas.ChangeRecord
) -> schemas.ChangeLog:
    """Returns the log with a record appended, which gets the next number.

    An earlier record with the same change id is removed.
    """
    other_records = tuple(r for r in log.records if r.id != record.id)
    numbered_record = msgspec.structs.replace(record, number=log.next_number)
    return schemas.ChangeLog(
        log.next_number + 1, (*other_records, numbered_record)
    )


def record_outcome(
    log: schemas.ChangeLog, change_id: str, *, applied_version: int | None
) -> schemas.ChangeLog:
    """Returns the log with the outcome of a change recorded.

    Args:
        log: The log before.
        change_id: Id of the change.
        applied_version: Version that it made, or None if it lost.
    """
    records = tuple(
        msgspec.structs.replace(
            r,
            state="lost" if applied_version is None else "applied",
            version=applied_version or 0,
            value=None,
        )
        if r.id == change_id
        else r
        for r in log.records
    )
    return msgspec.structs.replace(log, records=records)


def split_off_archive(
    log: schemas.ChangeLog,
) -> tuple[schemas.ChangeLog, str, schemas.ChangeLog] | None:
    """Moves the oldest records of a full log to an archive.

    The archives form a ring: a new archive replaces the oldest one, so the
    number of records is bounded.

    Returns:
        The remaining log, the name of the archive and its content, or None if
        the log has fewer than `MAX_CURRENT_RECORDS` records.
    """
    if len(log.records) < MAX_CURRENT_RECORDS:
        return None
    oldest_records = log.records[:RECORDS_PER_ARCHIVE]
    slot = (oldest_records[0].number // RECORDS_PER_ARCHIVE) % ARCHIVE_COUNT
    return (
        schemas.ChangeLog(log.next_number, log.records[RECORDS_PER_ARCHIVE:]),
        f"archive-{slot:02d}",
        schemas.ChangeLog(oldest_records[-1].number + 1, oldest_records),
    )


def pending_records(
    log: schemas.ChangeLog, now_ms: int
) -> tuple[schemas.ChangeRecord, ...]:
    """Returns the intended changes whose write may still be in flight.

    Args:
        log: The log.
        now_ms: Wall clock, in milliseconds since 1970.
    """
    return tuple(
        r
        for r in log.records
        if r.state == "intended" and now_ms - r.at_ms < INTENT_TIMEOUT_MS
    )


def merge_logs(logs: Iterable[schemas.ChangeLog]) -> list[schemas.ChangeRecord]:
    """Returns the records of several logs without repeats, newest first."""
    by_id = {r.id: r for log in logs for r in log.records}
    return sorted(by_id.values(), key=lambda r: r.number, reverse=True)
