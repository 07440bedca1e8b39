"""The task that carries changes into the platform, one at a time."""

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
from berylweir.objects import messages as platform
from berylweir.observability import counters
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_ATTEMPTS = 8
_RETRY_S = 0.05
# An intended change counts for the capacity of others for
# INTENT_TIMEOUT_MS; the write
# has to be sent well before.
_WRITE_WITHIN_S = 10.0

_LogResult = result.Result[
    tuple[int, history_schemas.ChangeLog], platform_exceptions.PlatformFailure
]


class ChangeTask:
    """Owns the connection for changes.

    A change is first recorded as intended, then written with the change id as
    operation id, then recorded as applied or lost. The record makes a repeat
    harmless and shows other API processes what is on its way.
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
            timeout_s: Time for one call, in seconds.
            status_url: Base URL of this VM's keeper.
            inbox: Changes to carry out.
            metrics: Counters.
        """
        self._url = url
        self._timeout_s = timeout_s
        self._status_url = status_url
        self._inbox = inbox
        self._metrics = metrics

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until cancelled or asked to stop."""
        platform_calls = await platform_client.open_client(
            context.stack, self._url, self._timeout_s
        )
        local = await object_sources.open_keeper_client(
            context.stack, self._status_url
        )
        context.report_ready()
        serving = asyncio.create_task(self._serve(platform_calls, local))
        context.stack.callback(serving.cancel)
        stopping = asyncio.create_task(context.stop_event.wait())
        context.stack.callback(stopping.cancel)
        await asyncio.wait(
            (serving, stopping), return_when=asyncio.FIRST_COMPLETED
        )
        if serving.done():
            serving.result()

    async def _serve(
        self,
        calls: platform_client.PlatformClient,
        local: object_sources.KeeperClient,
    ) -> None:
        while True:
            message = await self._inbox.get()
            if message.reply.done():
                continue
            carrier = _Carrier(calls, local, self._metrics)
            try:
                answer = await carrier.carry_out(message.change)
            except BaseException:
                # A crash or a cancellation may come after the write.
                if not message.reply.done():
                    message.reply.set_result(
                        result.Err(exceptions.OutcomeUnknown(message.change.id))
                    )
                raise
            self._metrics.count(
                "api.changes.accepted"
                if answer.is_ok()
                else "api.changes.refused"
            )
            if not message.reply.done():
                message.reply.set_result(answer)


class _Carrier:
    """Carries out one change."""

    def __init__(
        self,
        calls: platform_client.PlatformClient,
        local: object_sources.KeeperClient,
        metrics: counters.Counters,
    ) -> None:
        self._calls = calls
        self._local = local
        self._metrics = metrics

    async def carry_out(self, change: models.Change) -> messages.ChangeResult:
        """Returns the outcome; retries races that the change may lose."""
        key = decisions.key_of(change.operation)
        if not await self._local.platform_up():
            return await self._platform_down(key)
        for attempt in range(_ATTEMPTS):
            answer = await self._attempt(change, key)
            match answer:
                case None:
                    self._metrics.count("api.changes.retried")
                case result.Err(exceptions.VersionConflict()) if (
                    change.expected is None and attempt < _ATTEMPTS - 1
                ):
                    self._metrics.count("api.changes.retried")
                case _:
                    return answer
            await asyncio.sleep(random.uniform(0.0, _RETRY_S * 2**attempt))
        return result.Err(exceptions.Busy())

    async def _attempt(
        self, change: models.Change, key: models.ObjectKey
    ) -> messages.ChangeResult | None:
        """Returns the outcome, or None to try again."""
        match await self._read(key):
            case result.Err(down):
                return result.Err(down)
            case result.Ok((log_version, log, snapshot)):
                pass
        known = history.find_record(log, change.id)
        if known is not None:
            if known.fingerprint != decisions.fingerprint(change):
                return result.Err(exceptions.ChangeIdReused(change.id))
            repeated = await self._resume(known, snapshot, key)
            if repeated is not None:
                return repeated
        now_ms = int(time.time() * 1000)
        match self._decide(change, log, snapshot, now_ms):
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok(models.Applied() | models.Planned() as outcome):
                return result.Ok(outcome)
            case result.Ok(models.ChangePlan() as decision):
                pass
        record = _record(change, decision, now_ms)
        began_s = time.monotonic()
        written = await self._write_log(
            history.append_record(log, record), log_version
        )
        match written:
            case result.Ok(_):
                pass
            case result.Err(_):
                # The object is untouched, and a record that was written after
                # all is found by the next attempt.
                return None
        if time.monotonic() - began_s > _WRITE_WITHIN_S:
            return None
        return await self._write(change, decision)

    async def _read(
        self, key: models.ObjectKey
    ) -> result.Result[
        tuple[int, history_schemas.ChangeLog, models.ObjectSnapshot],
        exceptions.Failure,
    ]:
        """Returns the log, its version and all objects.

        The log is read first: a change that is no longer pending there has its
        effect in the objects.
        """
        match await read_log(
            self._calls, history_schemas.ChangeLog.CURRENT_NAME
        ):
            case result.Err(_):
                return await self._platform_down(key)
            case result.Ok((log_version, log)):
                pass
        match await object_sources.read_snapshot(self._calls):
            case result.Err(_):
                return await self._platform_down(key)
            case result.Ok(snapshot):
                return result.Ok((log_version, log, snapshot))

    def _decide(
        self,
        change: models.Change,
        log: history_schemas.ChangeLog,
        snapshot: models.ObjectSnapshot,
        now_ms: int,
    ) -> result.Result[models.ChangePlan | models.Outcome, exceptions.Failure]:
        """Returns what to write, or the outcome if nothing is to be written."""
        others = tuple(
            r for r in history.pending_records(log, now_ms) if r.id != change.id
        )
        key = decisions.key_of(change.operation)
        decided = decisions.plan_change(
            change, decisions.apply_pending(snapshot, others, key)
        )
        match decided:
            case result.Err(exceptions.VersionConflict() as conflict):
                return result.Err(decisions.with_winner(conflict, log.records))
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok(decision) if change.dry_run:
                return result.Ok(models.Planned(decision))
            case result.Ok(decision) if decision.unchanged:
                return result.Ok(models.Applied(decision, decision.based_on))
            case result.Ok(decision):
                return result.Ok(decision)

    async def _resume(
        self,
        known: history_schemas.ChangeRecord,
        snapshot: models.ObjectSnapshot,
        key: models.ObjectKey,
    ) -> messages.ChangeResult | None:
        """Returns the outcome of an earlier request with the same change id.

        Returns:
            None if it had no effect and may be written now.
        """
        item = snapshot.items.get(key)
        if known.state == "applied":
            return result.Ok(models.Applied(None, known.version, True))
        if item is not None and item.operation_id == known.id:
            await self._settle(known.id, item.version)
            return result.Ok(models.Applied(None, item.version, True))
        if known.state == "lost" or item is None:
            return None
        if item.version > known.based_on + 1 and item.value is not None:
            # The write may have been accepted and then replaced.
            return result.Err(exceptions.OutcomeUnknown(known.id))
        return None

    async def _write(
        self, change: models.Change, decision: models.ChangePlan
    ) -> messages.ChangeResult:
        kind, name = decision.key
        if decision.value is None:
            answer = await self._calls.delete(
                kind, name, decision.based_on, change.id
            )
        else:
            answer = await self._calls.update(
                kind,
                name,
                msgspec.json.encode(decision.value),
                decision.based_on,
                change.id,
            )
        match answer:
            case result.Ok(stored):
                await self._settle(change.id, stored.version)
                return result.Ok(models.Applied(decision, stored.version))
            case result.Err(platform_exceptions.Conflict(found=found)):
                await self._settle(change.id, None)
                return result.Err(
                    await self._conflict(decision, found, change.id)
                )
            case result.Err(_):
                self._metrics.count("api.changes.unknown")
                return result.Err(exceptions.OutcomeUnknown(change.id))

    async def _conflict(
        self, decision: models.ChangePlan, found: int, change_id: str
    ) -> exceptions.VersionConflict:
        winner = ""
        records: tuple[history_schemas.ChangeRecord, ...] = ()
        match await self._calls.get(*decision.key):
            case result.Ok(stored):
                winner = stored.operation_id
                found = stored.version
            case result.Err(_):
                pass
        match await read_log(
            self._calls, history_schemas.ChangeLog.CURRENT_NAME
        ):
            case result.Ok((_, log)):
                records = log.records
            case result.Err(_):
                pass
        return decisions.with_winner(
            exceptions.VersionConflict(
                *decision.key, decision.based_on, found, winner
            ),
            records,
        )

    async def _settle(self, change_id: str, version: int | None) -> None:
        """Records the outcome; a failure leaves it to the next repeat."""
        for attempt in range(_ATTEMPTS):
            read = await read_log(
                self._calls, history_schemas.ChangeLog.CURRENT_NAME
            )
            match read:
                case result.Err(_):
                    break
                case result.Ok((log_version, log)):
                    pass
            settled = history.record_outcome(
                log, change_id, applied_version=version
            )
            written = await self._write_log(settled, log_version)
            match written:
                case result.Err(platform_exceptions.Conflict()):
                    await asyncio.sleep(
                        random.uniform(0.0, _RETRY_S * 2**attempt)
                    )
                case result.Err(_):
                    break
                case result.Ok(_):
                    return
        self._metrics.count("api.history.unsettled")

    async def _write_log(
        self, log: history_schemas.ChangeLog, version: int
    ) -> result.Result[
        platform.StoredObject, platform_exceptions.PlatformFailure
    ]:
        """Writes the current log, after moving its oldest records away."""
        split = history.split_off_archive(log)
        if split is not None:
            log, name, archive = split
            match await self._write_archive(name, archive):
                case result.Err(failure):
                    return result.Err(failure)
                case result.Ok(_):
                    pass
        return await self._calls.update(
            history_schemas.ChangeLog.KIND,
            history_schemas.ChangeLog.CURRENT_NAME,
            msgspec.json.encode(log),
            version,
            platform_client.new_operation_id(),
        )

    async def _write_archive(
        self, name: str, archive: history_schemas.ChangeLog
    ) -> result.Result[
        platform.StoredObject, platform_exceptions.PlatformFailure
    ]:
        match await read_log(self._calls, name):
            case result.Err(failure):
                return result.Err(failure)
            case result.Ok((version, _)):
                pass
        return await self._calls.update(
            history_schemas.ChangeLog.KIND,
            name,
            msgspec.json.encode(archive),
            version,
            platform_client.new_operation_id(),
        )

    async def _platform_down(
        self, key: models.ObjectKey
    ) -> result.Err[exceptions.Failure]:
        self._metrics.count("api.platform.down")
        self._local.mark_platform_down()
        objects = await self._local.objects()
        version = next(
            (
                o.version
                for o in objects.items
                if (o.kind, o.name) == key and not o.deleted
            ),
            0,
        )
        return result.Err(exceptions.PlatformDown(*key, version))


def _record(
    change: models.Change, decision: models.ChangePlan, now_ms: int
) -> history_schemas.ChangeRecord:
    kind, name = decision.key
    return history_schemas.ChangeRecord(
        change.id,
        0,
        change.principal.name,
        now_ms,
        change.reason,
        decisions.action_of(change.operation),
        kind,
        name,
        decision.based_on,
        decisions.fingerprint(change),
        change.force,
        value=(
            None
            if decision.value is None
            else msgspec.json.encode(decision.value).decode()
        ),
    )


async def read_log(
    calls: platform_client.PlatformClient, name: str
) -> _LogResult:
    """Returns a log of changes with its version; empty if there is none."""
    match await calls.get(history_schemas.ChangeLog.KIND, name):
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
