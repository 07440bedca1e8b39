"""The task that applies changes to the platform, one at a time."""

import asyncio
import random
import time

import msgspec
import result

from berylweir.api import decisions
from berylweir.api import exceptions
from berylweir.api import messages
from berylweir.api import models
from berylweir.api import object_sources
from berylweir.api.history import decisions as history
from berylweir.api.history import schemas as history_schemas
from berylweir.objects import client as platform_client
from berylweir.objects import exceptions as platform_exceptions
from berylweir.objects import messages as platform_messages
from berylweir.observability import counters
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_MAX_ATTEMPTS = 8
# Before attempt n + 1 a random delay of up to _RETRY_BASE_S * 2**n seconds, so
# that API processes that write the same object don't collide again.
_RETRY_BASE_S = 0.05
# Other changes count a recorded intent in their capacity check for
# INTENT_TIMEOUT_MS. If recording the intent took longer than this limit, the
# object isn't written, since its write could arrive after the intent expired.
_INTENT_WRITE_LIMIT_S = 10.0

_ReadLogResult = result.Result[
    tuple[int, history_schemas.ChangeLog], platform_exceptions.PlatformFailure
]


class ChangeTask:
    """Applies queued changes and owns the platform connection for them.

    A change is first recorded in the change log as intended, then written with
    the change id as operation id, then recorded as applied or lost. The record
    makes a repeated request harmless and shows other API processes which writes
    may still be in flight.
    """

    def __init__(
        self,
        url: str,
        timeout_s: float,
        status_url: str,
        inbox: mailbox.Mailbox[messages.SubmitChange],
        metrics: counters.Counters,
    ) -> None:
        """Creates the task.

        Args:
            url: Base URL of the platform.
            timeout_s: Time limit for one call to the platform, in seconds.
            status_url: Base URL of this VM's keeper.
            inbox: Changes to apply.
            metrics: Counters of the process.
        """
        self._url = url
        self._timeout_s = timeout_s
        self._status_url = status_url
        self._inbox = inbox
        self._metrics = metrics

    async def run(self, context: supervision.ChildContext) -> None:
        """Applies changes until cancelled or asked to stop."""
        platform = await platform_client.open_client(
            context.stack, self._url, self._timeout_s
        )
        keeper = await object_sources.open_keeper_client(
            context.stack, self._status_url
        )
        context.report_ready()
        serve_task = asyncio.create_task(self._serve(platform, keeper))
        context.stack.callback(serve_task.cancel)
        stop_task = asyncio.create_task(context.stop_event.wait())
        context.stack.callback(stop_task.cancel)
        await asyncio.wait(
            (serve_task, stop_task), return_when=asyncio.FIRST_COMPLETED
        )
        if serve_task.done():
            serve_task.result()

    async def _serve(
        self,
        platform: platform_client.PlatformClient,
        keeper: object_sources.KeeperClient,
    ) -> None:
        while True:
            request = await self._inbox.get()
            if request.reply.done():
                continue
            executor = _ChangeExecutor(platform, keeper, self._metrics)
            try:
                change_result = await executor.execute(request.change)
            except BaseException:
                # The object may have been written before the exception.
                if not request.reply.done():
                    request.reply.set_result(
                        result.Err(exceptions.OutcomeUnknown(request.change.id))
                    )
                raise
            self._metrics.count(
                "api.changes.accepted"
                if change_result.is_ok()
                else "api.changes.refused"
            )
            if not request.reply.done():
                request.reply.set_result(change_result)


class _ChangeExecutor:
    """Applies one change."""

    def __init__(
        self,
        platform: platform_client.PlatformClient,
        keeper: object_sources.KeeperClient,
        metrics: counters.Counters,
    ) -> None:
        self._platform = platform
        self._keeper = keeper
        self._metrics = metrics

    async def execute(self, change: models.Change) -> messages.ChangeResult:
        """Returns the outcome of a change.

        Tries again if the intent couldn't be recorded in time, or if another
        change was written first and this one doesn't demand a version.

        Returns:
            The outcome, `Busy` if the last attempt couldn't record the intent
            in time, or the failure that refused the change.
        """
        key = decisions.key_of(change.operation)
        if not await self._keeper.is_platform_up():
            return await self._platform_down_error(key)
        for attempt in range(_MAX_ATTEMPTS):
            change_result = await self._try_once(change, key)
            match change_result:
                case None:
                    self._metrics.count("api.changes.retried")
                case result.Err(exceptions.VersionConflict()) if (
                    change.expected is None and attempt < _MAX_ATTEMPTS - 1
                ):
                    self._metrics.count("api.changes.retried")
                case _:
                    return change_result
            await asyncio.sleep(random.uniform(0.0, _RETRY_BASE_S * 2**attempt))
        return result.Err(exceptions.Busy())

    async def _try_once(
        self, change: models.Change, key: models.ObjectKey
    ) -> messages.ChangeResult | None:
        """Returns the outcome, or None to try again."""
        match await self._read_state(key):
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok((log_version, log, snapshot)):
                pass
        earlier_record = history.find_record(log, change.id)
        if earlier_record is not None:
            if earlier_record.fingerprint != decisions.fingerprint(change):
                return result.Err(exceptions.ChangeIdReused(change.id))
            repeat_result = await self._outcome_of_repeat(
                earlier_record, snapshot, key
            )
            if repeat_result is not None:
                return repeat_result
        now_ms = int(time.time() * 1000)
        match self._plan(change, log, snapshot, now_ms):
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok(models.Applied() | models.Planned() as outcome):
                return result.Ok(outcome)
            case result.Ok(models.ChangePlan() as plan):
                pass
        record = _build_record(change, plan, now_ms)
        started_s = time.monotonic()
        write_result = await self._write_log(
            history.append_record(log, record), log_version
        )
        match write_result:
            case result.Ok(_):
                pass
            case result.Err(_):
                # The object hasn't been written. If the platform stored the
                # record although the call failed, the next attempt finds it.
                return None
        if time.monotonic() - started_s > _INTENT_WRITE_LIMIT_S:
            return None
        return await self._write_object(change, plan)

    async def _read_state(
        self, key: models.ObjectKey
    ) -> result.Result[
        tuple[int, history_schemas.ChangeLog, models.ObjectSnapshot],
        exceptions.Failure,
    ]:
        """Returns the version of the change log, the log and all objects.

        The log is read before the objects, so a change that is no longer
        pending in the log is already visible in the objects.
        """
        match await read_log(
            self._platform, history_schemas.ChangeLog.CURRENT_NAME
        ):
            case result.Err(_):
                return await self._platform_down_error(key)
            case result.Ok((log_version, log)):
                pass
        match await object_sources.read_snapshot(self._platform):
            case result.Err(_):
                return await self._platform_down_error(key)
            case result.Ok(snapshot):
                return result.Ok((log_version, log, snapshot))

    def _plan(
        self,
        change: models.Change,
        log: history_schemas.ChangeLog,
        snapshot: models.ObjectSnapshot,
        now_ms: int,
    ) -> result.Result[models.ChangePlan | models.Outcome, exceptions.Failure]:
        """Returns the plan to write, or the outcome if there is no write."""
        pending_changes = tuple(
            r for r in history.pending_records(log, now_ms) if r.id != change.id
        )
        key = decisions.key_of(change.operation)
        plan_result = decisions.plan_change(
            change, decisions.apply_pending(snapshot, pending_changes, key)
        )
        match plan_result:
            case result.Err(exceptions.VersionConflict() as conflict):
                return result.Err(decisions.with_winner(conflict, log.records))
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok(plan) if change.dry_run:
                return result.Ok(models.Planned(plan))
            case result.Ok(plan) if plan.unchanged:
                return result.Ok(models.Applied(plan, plan.based_on))
            case result.Ok(plan):
                return result.Ok(plan)

    async def _outcome_of_repeat(
        self,
        earlier_record: history_schemas.ChangeRecord,
        snapshot: models.ObjectSnapshot,
        key: models.ObjectKey,
    ) -> messages.ChangeResult | None:
        """Returns the outcome of an earlier request with the same change id.

        Returns:
            None if that request had no effect, so the change may be written
            now.
        """
        current = snapshot.objects.get(key)
        if earlier_record.state == "applied":
            return result.Ok(models.Applied(None, earlier_record.version, True))
        if current is not None and current.operation_id == earlier_record.id:
            await self._record_outcome(earlier_record.id, current.version)
            return result.Ok(models.Applied(None, current.version, True))
        if earlier_record.state == "lost" or current is None:
            return None
        if (
            current.version > earlier_record.based_on + 1
            and current.value is not None
        ):
            # The version after `based_on` may have been made by this change,
            # but a later write has replaced it and its operation id.
            return result.Err(exceptions.OutcomeUnknown(earlier_record.id))
        return None

    async def _write_object(
        self, change: models.Change, plan: models.ChangePlan
    ) -> messages.ChangeResult:
        kind, name = plan.key
        if plan.value is None:
            write_result = await self._platform.delete(
                kind, name, plan.based_on, change.id
            )
        else:
            write_result = await self._platform.update(
                kind,
                name,
                msgspec.json.encode(plan.value),
                plan.based_on,
                change.id,
            )
        match write_result:
            case result.Ok(stored):
                await self._record_outcome(change.id, stored.version)
                return result.Ok(models.Applied(plan, stored.version))
            case result.Err(platform_exceptions.Conflict(found=found_version)):
                await self._record_outcome(change.id, None)
                return result.Err(
                    await self._describe_conflict(
                        plan, found_version, change.id
                    )
                )
            case result.Err(_):
                self._metrics.count("api.changes.unknown")
                return result.Err(exceptions.OutcomeUnknown(change.id))

    async def _describe_conflict(
        self, plan: models.ChangePlan, found_version: int, change_id: str
    ) -> exceptions.VersionConflict:
        winner_id = ""
        records: tuple[history_schemas.ChangeRecord, ...] = ()
        match await self._platform.get(*plan.key):
            case result.Ok(stored):
                winner_id = stored.operation_id
                found_version = stored.version
            case result.Err(_):
                pass
        match await read_log(
            self._platform, history_schemas.ChangeLog.CURRENT_NAME
        ):
            case result.Ok((_, log)):
                records = log.records
            case result.Err(_):
                pass
        return decisions.with_winner(
            exceptions.VersionConflict(
                *plan.key, plan.based_on, found_version, winner_id
            ),
            records,
        )

    async def _record_outcome(
        self, change_id: str, version: int | None
    ) -> None:
        """Records the outcome of a change in the change log.

        If the log can't be written, the change stays recorded as intended
        until a request with the same change id resolves it.

        Args:
            change_id: Id of the change.
            version: Version that the change made, or None if it lost.
        """
        for attempt in range(_MAX_ATTEMPTS):
            read_result = await read_log(
                self._platform, history_schemas.ChangeLog.CURRENT_NAME
            )
            match read_result:
                case result.Err(_):
                    break
                case result.Ok((log_version, log)):
                    pass
            updated_log = history.record_outcome(
                log, change_id, applied_version=version
            )
            write_result = await self._write_log(updated_log, log_version)
            match write_result:
                case result.Err(platform_exceptions.Conflict()):
                    await asyncio.sleep(
                        random.uniform(0.0, _RETRY_BASE_S * 2**attempt)
                    )
                case result.Err(_):
                    break
                case result.Ok(_):
                    return
        self._metrics.count("api.history.unsettled")

    async def _write_log(
        self, log: history_schemas.ChangeLog, version: int
    ) -> result.Result[
        platform_messages.StoredObject, platform_exceptions.PlatformFailure
    ]:
        """Writes the current log; archives its oldest records if it is full."""
        split_log = history.split_off_archive(log)
        if split_log is not None:
            log, name, archive = split_log
            match await self._write_archive(name, archive):
                case result.Err(failure):
                    return result.Err(failure)
                case result.Ok(_):
                    pass
        return await self._platform.update(
            history_schemas.ChangeLog.KIND,
            history_schemas.ChangeLog.CURRENT_NAME,
            msgspec.json.encode(log),
            version,
            platform_client.new_operation_id(),
        )

    async def _write_archive(
        self, name: str, archive: history_schemas.ChangeLog
    ) -> result.Result[
        platform_messages.StoredObject, platform_exceptions.PlatformFailure
    ]:
        match await read_log(self._platform, name):
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok((version, _)):
                pass
        return await self._platform.update(
            history_schemas.ChangeLog.KIND,
            name,
            msgspec.json.encode(archive),
            version,
            platform_client.new_operation_id(),
        )

    async def _platform_down_error(
        self, key: models.ObjectKey
    ) -> result.Err[exceptions.Failure]:
        self._metrics.count("api.platform.down")
        self._keeper.mark_platform_down()
        in_force = await self._keeper.fetch_objects()
        version = next(
            (
                o.version
                for o in in_force.items
                if (o.kind, o.name) == key and not o.deleted
            ),
            0,
        )
        return result.Err(exceptions.PlatformDown(*key, version))


def _build_record(
    change: models.Change, plan: models.ChangePlan, now_ms: int
) -> history_schemas.ChangeRecord:
    kind, name = plan.key
    return history_schemas.ChangeRecord(
        change.id,
        0,
        change.principal.name,
        now_ms,
        change.reason,
        decisions.action_of(change.operation),
        kind,
        name,
        plan.based_on,
        decisions.fingerprint(change),
        change.force,
        value=(
            None
            if plan.value is None
            else msgspec.json.encode(plan.value).decode()
        ),
    )


async def read_log(
    platform: platform_client.PlatformClient, name: str
) -> _ReadLogResult:
    """Returns the version and the content of a change log.

    Args:
        platform: Client of the platform.
        name: Name of the log, `current` or that of an archive.

    Returns:
        0 and an empty log if the log doesn't exist; `Unavailable` if it can't
        be decoded, or the failure of the call.
    """
    match await platform.get(history_schemas.ChangeLog.KIND, name):
        case result.Ok(stored):
            try:
                log = msgspec.json.decode(
                    stored.value, type=history_schemas.ChangeLog
                )
            except msgspec.MsgspecError as error:
                return result.Err(
                    platform_exceptions.Unavailable(
                        f"GET {name}", f"the change log is invalid: {error}"
                    )
                )
            return result.Ok((stored.version, log))
        case result.Err(platform_exceptions.NotFound()):
            return result.Ok((0, history_schemas.ChangeLog()))
        case result.Err(failure):
            return result.Err(failure)
