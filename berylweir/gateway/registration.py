"""Registers this gateway in the store, so that other gateways find it."""

import asyncio
import logging

import result

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.platform import exceptions
from berylweir.platform import objects
from berylweir.platform import store
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
# Pause after a failed attempt, in seconds.
_RETRY_PAUSE_S = 0.5


class Registration:
    """Writes the object of this VM, and again if the store has lost it."""

    def __init__(self, local_vm: models.Vm, client: store.StoreClient) -> None:
        """Creates a task that hasn't registered the gateway yet.

        Args:
            local_vm: This gateway.
            client: Client of the store for the exclusive use of this task.
        """
        self._local_vm = local_vm
        self._client = client
        self._first_attempt_done = asyncio.Event()
        # Whether the registered gateways include this run of this one.
        self._is_listed = False
        self._was_lost = asyncio.Event()

    @property
    def first_attempt_done(self) -> asyncio.Event:
        """Event that is set once the first attempt has succeeded or failed."""
        return self._first_attempt_done

    def on_store_update(self, message: messages.StoreUpdate) -> None:
        """Registers again if the object of this VM is missing.

        The store may have been restored from a copy without it.
        """
        match message:
            case messages.VmsChanged(vms):
                known = vms.get(self._local_vm.name)
                was_listed = self._is_listed
                self._is_listed = (
                    known is not None
                    and known.incarnation == self._local_vm.incarnation
                )
                if was_listed and not self._is_listed:
                    self._was_lost.set()
            case _:
                pass

    async def run(self, context: supervision.ChildContext) -> None:
        """Keeps the gateway registered until the supervisor stops the child."""
        context.stack.callback(self._client.close)
        context.report_ready()
        while not context.stop_event.is_set():
            await self._register(context)
            await self._was_lost.wait()
            self._was_lost.clear()
            _LOGGER.warning("registration lost; registering again")

    async def _register(self, context: supervision.ChildContext) -> None:
        """Writes the object until the store has it or the child is stopped."""
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
                    return
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
