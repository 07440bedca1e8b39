"""Registers this gateway in the store, so that other gateways find it."""

import asyncio
import logging

import result

from berylweir.gateway import models
from berylweir.platform import exceptions
from berylweir.platform import objects
from berylweir.platform import store
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
# Pause after a failed attempt, in seconds.
_RETRY_PAUSE_S = 0.5


class Registration:
    """Writes the object of this VM once per run of the gateway."""

    def __init__(self, local_vm: models.Vm, client: store.StoreClient) -> None:
        """Creates a task that hasn't registered the gateway yet.

        Args:
            local_vm: This gateway.
            client: Client of the store for the exclusive use of this task.
        """
        self._local_vm = local_vm
        self._client = client
        self._first_attempt_done = asyncio.Event()

    @property
    def first_attempt_done(self) -> asyncio.Event:
        """Event that is set once the first attempt has succeeded or failed."""
        return self._first_attempt_done

    async def run(self, context: supervision.ChildContext) -> None:
        """Retries until the gateway is registered, then waits to be stopped."""
        context.stack.callback(self._client.close)
        context.report_ready()
        name = objects.VM_NAME_PREFIX + self._local_vm.name
        spec = objects.encode_vm(self._local_vm)
        revision: int | None = None
        while not context.stop_event.is_set():
            outcome = (
                await self._client.create(objects.GATEWAY_KIND, name, spec)
                if revision is None
                else await self._client.replace(
                    objects.GATEWAY_KIND, name, spec, revision
                )
            )
            match outcome:
                case result.Ok(_):
                    self._first_attempt_done.set()
                    self._client.close()
                    await context.stop_event.wait()
                case result.Err(exceptions.Conflict() as conflict):
                    # The object was written by an earlier run on this VM, or
                    # by an attempt of this run that got no answer.
                    stored = store.decode_conflict(conflict)
                    revision = stored.revision if stored else None
                    if stored is None:
                        await asyncio.sleep(_RETRY_PAUSE_S)
                case result.Err(exceptions.Missing()):
                    revision = None
                case result.Err(failure):
                    self._first_attempt_done.set()
                    _LOGGER.warning(
                        "registration failed; retrying",
                        extra={"failure": failure},
                    )
                    await asyncio.sleep(_RETRY_PAUSE_S)
