"""Reads key tables when the holder of the lease may not have told them."""

import asyncio
from collections.abc import Callable
import logging

import result

from berylweir.gateway import messages
from berylweir.gateway.followers import sharing
from berylweir.gateway.peers import neighbours as neighbours_module
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import store
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
# Pause after a read that failed, and between two reads, in seconds.
_PAUSE_S = 0.5


class TableReader:
    """Reads the key tables when the lease has passed on, and on demand."""

    def __init__(
        self,
        client: store.StoreClient,
        publish: Callable[[list[store.StoredObject]], None],
        neighbours: neighbours_module.Neighbours,
        metrics: counters.Counters,
    ) -> None:
        """Creates a reader.

        Args:
            client: Client of the store that nothing else uses.
            publish: Takes the tables.
            neighbours: Asks other gateways.
            metrics: Counters.
        """
        self._client = client
        self._publish = publish
        self._neighbours = neighbours
        self._metrics = metrics
        self._wanted = asyncio.Event()

    def on_store_update(self, message: messages.StoreUpdate) -> None:
        """Reads again when the lease has passed on."""
        match message:
            case messages.LeaseChanged(lease) if lease is not None:
                self._wanted.set()
            case _:
                pass

    def refresh(self) -> None:
        """Reads again, since a newer table is known to exist."""
        self._wanted.set()

    async def run(self, context: supervision.ChildContext) -> None:
        """Reads when it is asked to, until the supervisor stops the child."""
        context.stack.callback(self._client.close)
        context.ready()
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            await self._read()
            await asyncio.sleep(_PAUSE_S)

    async def _read(self) -> None:
        """Asks the holder, which has the newest tables, or else the store."""
        view = await self._neighbours.ask_holder(objects.KEY_TABLES_KIND)
        if view is not None:
            self._publish(sharing.receive_objects(view.objects))
            return
        match await self._client.list_all(objects.KEY_TABLES_KIND):
            case result.Ok(listing):
                self._publish(listing.objects)
            case result.Err(failure):
                self._metrics.count("store.failed.tables")
                _LOGGER.warning("tables not read", extra={"failure": failure})
                self._wanted.set()
                view = await self._neighbours.ask_others(
                    objects.KEY_TABLES_KIND
                )
                if view is not None:
                    self._publish(sharing.receive_objects(view.objects))
