"""Registers this gateway in the store, so that others find it."""

import asyncio
import logging

import result

from berylweir.gateway import models
from berylweir.platform import exceptions
from berylweir.platform import objects
from berylweir.platform import store
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
_RETRY_PAUSE_S = 0.5


class Registration:
    """Writes the object of this VM once a run."""

    def __init__(self, me: models.Vm, client: store.StoreClient) -> None:
        """Creates a registration.

        Args:
            me: This gateway.
            client: Client of the store that nothing else uses.
        """
        self._me = me
        self._client = client
        self._first_attempt_done = asyncio.Event()

    @property
    def first_attempt_done(self) -> asyncio.Event:
        """Set once the first attempt has ended."""
        return self._first_attempt_done

    async def run(self, context: supervision.ChildContext) -> None:
        """Writes until it succeeds, then waits for the end."""
        context.stack.callback(self._client.close)
        context.ready()
        name = objects.VM_NAME_PREFIX + self._me.name
        spec = objects.encode_vm(self._me)
        revision: int | None = None
        while not context.stopping.is_set():
            found = (
                await self._client.create(objects.GATEWAY_KIND, name, spec)
                if revision is None
                else await self._client.replace(
                    objects.GATEWAY_KIND, name, spec, revision
                )
            )
            match found:
                case result.Ok(_):
                    self._first_attempt_done.set()
                    self._client.close()
                    await context.stopping.wait()
                case result.Err(exceptions.Conflict() as conflict):
                    # An earlier run of this VM, or a write of this one that
                    # got no answer.
                    stored = store.decode_conflict(conflict)
                    revision = stored.revision if stored else None
                    if stored is None:
                        await asyncio.sleep(_RETRY_PAUSE_S)
                case result.Err(exceptions.Missing()):
                    revision = None
                case result.Err(failure):
                    self._first_attempt_done.set()
                    _LOGGER.warning(
                        "not registered", extra={"failure": failure}
                    )
                    await asyncio.sleep(_RETRY_PAUSE_S)
