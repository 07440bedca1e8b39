"""Reads key tables when the holder of the lease may not have told them."""

import asyncio
from collections.abc import Callable
import logging

import result

from berylweir.gateway import messages
from berylweir.gateway.peers import snapshots
from berylweir.gateway.replication import codec
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import store
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
# Pause after a read that failed, and between two reads, in seconds.
_READ_PAUSE_S = 0.5


class TableReader:
    """Reads the key tables when the lease has passed on, and on demand."""

    def __init__(
        self,
        client: store.StoreClient,
        publish: Callable[[list[store.StoredObject]], None],
        snapshot_client: snapshots.SnapshotClient,
        metrics: counters.Counters,
    ) -> None:
        """Creates a reader.

        Args:
            client: Client of the store that nothing else uses.
            publish: Takes the tables.
            snapshot_client: Asks other gateways.
            metrics: Counters.
        """
        self._client = client
        self._publish = publish
        self._snapshot_client = snapshot_client
        self._metrics = metrics
        self._refresh_requested = asyncio.Event()

    def on_store_update(self, message: messages.StoreUpdate) -> None:
        """Reads again when the lease has passed on."""
        match message:
            case messages.LeaseChanged(lease) if lease is not None:
                self._refresh_requested.set()
            case _:
                pass

    def refresh(self) -> None:
        """Reads again, since a newer table is known to exist."""
        self._refresh_requested.set()

    async def run(self, context: supervision.ChildContext) -> None:
        """Reads when it is asked to, until the supervisor stops the child."""
        context.stack.callback(self._client.close)
        context.report_ready()
        while True:
            await self._refresh_requested.wait()
            self._refresh_requested.clear()
            await self._read()
            await asyncio.sleep(_READ_PAUSE_S)

    async def _read(self) -> None:
        """Asks the holder, which has the newest tables, or else the store."""
        snapshot = await self._snapshot_client.fetch_from_holder(
            objects.KEY_TABLES_KIND
        )
        if snapshot is not None:
            self._publish(codec.decode_objects(snapshot.objects))
            return
        match await self._client.list_all(objects.KEY_TABLES_KIND):
            case result.Ok(listing):
                self._publish(listing.objects)
            case result.Err(failure):
                self._metrics.count("store.failed.tables")
                _LOGGER.warning("tables not read", extra={"failure": failure})
                self._refresh_requested.set()
                snapshot = await self._snapshot_client.fetch_from_others(
                    objects.KEY_TABLES_KIND
                )
                if snapshot is not None:
                    self._publish(codec.decode_objects(snapshot.objects))
