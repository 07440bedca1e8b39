"""The task that keeps refused requests in the store.

Gateways that start later, or that missed the message of the judge, read them
there, and operators lift them there.
"""

import asyncio
import logging
import time

import result

from berylweir.crash_suspects import fingerprint as fingerprints
from berylweir.crash_suspects import quarantine
from berylweir.gateway import messages as gateway
from berylweir.gateway import models
from berylweir.gateway.suspects import judges
from berylweir.gateway.suspects import messages
from berylweir.observability import counters
from berylweir.platform import exceptions
from berylweir.platform import objects
from berylweir.platform import store
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
_MAILBOX_SIZE = 1000  # messages
# Entries that wait to be written at most; further ones are only in memory.
_MAX_PENDING = 200
# Pause after a failed call, in seconds. It doubles up to the maximum.
_RETRY_BASE_S = 0.5
_RETRY_MAX_S = 4.0

Message = messages.WriteEntry | messages.QuarantineChanged | gateway.VmsChanged
Inbox = mailbox.Mailbox[Message]
_StoreResult = result.Result[store.StoredObject, exceptions.StoreFailure]


def create_inbox() -> Inbox:
    """Returns the mailbox of the task."""
    return mailbox.Mailbox("quarantine", _MAILBOX_SIZE)


class QuarantineWriter:
    """Writes entries of this VM, and removes those that are forgotten."""

    def __init__(
        self,
        local_vm: models.Vm,
        client: store.StoreClient,
        inbox: Inbox,
        metrics: counters.Counters,
    ) -> None:
        """Creates the task.

        Args:
            local_vm: This VM.
            client: Client of the store for the exclusive use of this task.
            inbox: Mailbox of the task.
            metrics: Counters.
        """
        self._client = client
        self._inbox = inbox
        self._metrics = metrics
        self._judges = judges.JudgeSelector(local_vm)
        self._pending: dict[int, quarantine.Entry] = {}
        self._stored: dict[int, quarantine.Entry] = {}

    def on_store_update(self, message: gateway.StoreUpdate) -> None:
        """Passes on the registered gateways and the stored entries."""
        match message:
            case gateway.VmsChanged() | messages.QuarantineChanged():
                self._inbox.post(message)
            case _:
                pass

    async def run(self, context: supervision.ChildContext) -> None:
        """Writes and removes entries until the supervisor stops the child."""
        context.stack.callback(self._client.close)
        context.report_ready()
        pause_s = _RETRY_BASE_S
        while True:
            try:
                async with asyncio.timeout(self._wait_s(pause_s)):
                    self._apply(await self._inbox.get())
            except TimeoutError:
                pass
            if await self._update_store():
                pause_s = _RETRY_BASE_S
            else:
                pause_s = min(2.0 * pause_s, _RETRY_MAX_S)

    def _wait_s(self, pause_s: float) -> float | None:
        """Returns the time until there is something to do, if there is."""
        if self._pending:
            return pause_s
        due_ms = [e.forgotten_ms for e in self._removable()]
        if not due_ms:
            return None
        return max(pause_s, (min(due_ms) - _unix_ms()) / 1000.0)

    def _apply(self, message: Message) -> None:
        match message:
            case messages.WriteEntry(entry):
                known = self._stored.get(entry.fingerprint)
                if known is not None and known.until_ms >= entry.until_ms:
                    return
                if len(self._pending) < _MAX_PENDING:
                    self._pending[entry.fingerprint] = entry
            case messages.QuarantineChanged(entries):
                self._stored = {e.fingerprint: e for e in entries}
            case gateway.VmsChanged(vms):
                self._judges.update_vms(vms)

    def _removable(self) -> list[quarantine.Entry]:
        """Returns the stored entries that this VM has to remove in time."""
        return [
            entry
            for entry in self._stored.values()
            if not entry.is_lifted and self._judges.is_first(entry.fingerprint)
        ]

    async def _update_store(self) -> bool:
        """Makes the calls that are due; returns whether none failed."""
        for entry in list(self._pending.values()):
            if entry.forgotten_ms <= _unix_ms() or await self._write(entry):
                del self._pending[entry.fingerprint]
            else:
                return False
        for entry in self._removable():
            if entry.forgotten_ms > _unix_ms():
                continue
            if not await self._remove(entry):
                return False
            self._stored.pop(entry.fingerprint, None)
        return True

    async def _write(self, entry: quarantine.Entry) -> bool:
        name = objects.quarantine_name(entry)
        spec = objects.encode_quarantine_entry(entry)
        outcome = await self._client.create(objects.GATEWAY_KIND, name, spec)
        match outcome:
            case result.Err(exceptions.Conflict() as conflict):
                stored = store.decode_conflict(conflict)
                if stored is None:
                    return False
                if _is_as_new(stored, entry):
                    return True
                outcome = await self._client.replace(
                    objects.GATEWAY_KIND, name, spec, stored.revision
                )
            case _:
                pass
        return self._is_done(outcome, entry, "written")

    async def _remove(self, entry: quarantine.Entry) -> bool:
        name = objects.quarantine_name(entry)
        stored = await self._client.get(objects.GATEWAY_KIND, name)
        match stored:
            case result.Err(exceptions.Missing()):
                return True
            case result.Err():
                return self._is_done(stored, entry, "read")
            case result.Ok(found):
                pass
        outcome = await self._client.delete(
            objects.GATEWAY_KIND, name, found.revision
        )
        return self._is_done(outcome, entry, "removed")

    def _is_done(
        self,
        outcome: result.Result[object, exceptions.StoreFailure],
        entry: quarantine.Entry,
        action: str,
    ) -> bool:
        match outcome:
            case result.Ok(_):
                return True
            case result.Err(failure):
                self._metrics.count("gateway.quarantine.store_failures")
                _LOGGER.warning(
                    "quarantine entry not %s",
                    action,
                    extra={
                        "fingerprint": fingerprints.to_text(entry.fingerprint),
                        "failure": failure,
                    },
                )
                return False


def _is_as_new(stored: store.StoredObject, entry: quarantine.Entry) -> bool:
    """Returns whether another VM has written an entry that ends as late."""
    match objects.decode_gateway_object(stored):
        case result.Ok(quarantine.Entry() as known):
            return known.until_ms >= entry.until_ms
        case _:
            return False


def _unix_ms() -> float:
    return time.time() * 1000.0
