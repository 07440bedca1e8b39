"""Reads key tables that the lease holder may not have published here."""

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
# Pause after each read, whether it failed or not, in seconds.
_READ_PAUSE_S = 0.5


class TableReader:
    """Reads the key tables after each change of the lease, and on demand."""

    def __init__(
        self,
        client: store.StoreClient,
        publish: Callable[[list[store.StoredObject]], None],
        snapshot_client: snapshots.SnapshotClient,
        metrics: counters.Counters,
    ) -> None:
        """Creates a reader that waits for the first lease.

        Args:
            client: Client of the store for the exclusive use of this task.
            publish: Function that is called with the tables.
            snapshot_client: Fetches tables from other gateways.
            metrics: Counters.
        """
        self._client = client
        self._publish = publish
        self._snapshot_client = snapshot_client
        self._metrics = metrics
        self._refresh_requested = asyncio.Event()

    def on_store_update(self, message: messages.StoreUpdate) -> None:
        """Requests a read after each change of the lease."""
        match message:
            case messages.LeaseChanged(lease) if lease is not None:
                self._refresh_requested.set()
            case _:
                pass

    def refresh(self) -> None:
        """Requests a read, since a newer table is known to exist."""
        self._refresh_requested.set()

    async def run(self, context: supervision.ChildContext) -> None:
        """Reads on request until the supervisor stops the child."""
        context.stack.callback(self._client.close)
        context.report_ready()
        while True:
            await self._refresh_requested.wait()
            self._refresh_requested.clear()
            await self._read()
            await asyncio.sleep(_READ_PAUSE_S)

    async def _read(self) -> None:
        """Reads the tables from the lease holder, else from the store.

        The holder has the newest tables, since it writes them. If neither
        answers, a few other gateways are asked and the read is repeated.
        """
        snapshot = await self._snapshot_client.fetch_from_holder(
            objects.KEY_TABLES_KIND
        )
        if snapshot is not None:
            self._publish(codec.decode_objects(snapshot.objects))
            return
        match await self._client.list_all(objects.KEY_TABLES_KIND):
            case result.Ok(listing):
                self._publish(objects.order_tables(listing.objects))
            case result.Err(failure):
                self._metrics.count("store.failed.tables")
                _LOGGER.warning("tables not read", extra={"failure": failure})
                self._refresh_requested.set()
                for other in await self._snapshot_client.fetch_from_others(
                    objects.KEY_TABLES_KIND
                ):
                    self._publish(codec.decode_objects(other.objects))
