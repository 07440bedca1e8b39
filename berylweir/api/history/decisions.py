"""Pure functions on the log of changes."""

from collections.abc import Iterable

import msgspec

from berylweir.api.history import schemas

MAX_CURRENT_RECORDS = 128
RECORDS_PER_ARCHIVE = 64
ARCHIVE_COUNT = 64
# An intended change older than this was given up by its API process, whose
# calls to the platform all end within it.
INTENT_TIMEOUT_MS = 30_000


def find_record(
    log: schemas.ChangeLog, change_id: str
) -> schemas.ChangeRecord | None:
    """Returns the record of a change, if the log has it."""
    for record in log.records:
        if record.id == change_id:
            return record
    return None


def append_record(
    log: schemas.ChangeLog, record: schemas.ChangeRecord
) -> schemas.ChangeLog:
    """Returns the log with one more record, which gets the next number.

    A record with the same id is replaced.
    """
    others = tuple(r for r in log.records if r.id != record.id)
    numbered_record = msgspec.structs.replace(record, number=log.next_number)
    return schemas.ChangeLog(log.next_number + 1, (*others, numbered_record))


def record_outcome(
    log: schemas.ChangeLog, change_id: str, *, applied_version: int | None
) -> schemas.ChangeLog:
    """Returns the log with the outcome of a change.

    Args:
        log: The log.
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
    """Returns what to keep, and what to archive under which name.

    The archives form a ring, so the number of records is bounded.

    Returns:
        None while the log has room.
    """
    if len(log.records) < MAX_CURRENT_RECORDS:
        return None
    oldest = log.records[:RECORDS_PER_ARCHIVE]
    slot = (oldest[0].number // RECORDS_PER_ARCHIVE) % ARCHIVE_COUNT
    return (
        schemas.ChangeLog(log.next_number, log.records[RECORDS_PER_ARCHIVE:]),
        f"archive-{slot:02d}",
        schemas.ChangeLog(oldest[-1].number + 1, oldest),
    )


def pending_records(
    log: schemas.ChangeLog, now_ms: int
) -> tuple[schemas.ChangeRecord, ...]:
    """Returns changes whose write may be on its way."""
    return tuple(
        r
        for r in log.records
        if r.state == "intended" and now_ms - r.at_ms < INTENT_TIMEOUT_MS
    )


def merge_logs(logs: Iterable[schemas.ChangeLog]) -> list[schemas.ChangeRecord]:
    """Returns the records of several logs, newest first, each once."""
    by_id = {r.id: r for log in logs for r in log.records}
    return sorted(by_id.values(), key=lambda r: r.number, reverse=True)
