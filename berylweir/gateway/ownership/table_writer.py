"""Writes key tables to the store, on condition that nobody else has."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import logging

import result

from berylweir.gateway import models
from berylweir.gateway import revisions
from berylweir.gateway.ownership import table_publisher
from berylweir.observability import counters
from berylweir.platform import exceptions
from berylweir.platform import objects
from berylweir.platform import store

_LOGGER = logging.getLogger(__name__)
# Delay after a failed write of a table, in seconds.
_WRITE_RETRY_S = 0.3


class TableWriter:
    """Writes tables, and passes on what the store has after each write."""

    def __init__(
        self,
        client: store.StoreClient,
        tables: Mapping[str, models.KeyTable],
        publisher: table_publisher.TablePublisher,
        metrics: counters.Counters,
        *,
        on_written: Callable[[models.KeyTable], None],
        update_local_tables: Callable[[list[store.StoredObject]], None],
    ) -> None:
        """Creates a writer that knows no revisions.

        Args:
            client: Client of the store that nothing else uses.
            tables: Newest known table of each group.
            publisher: Sends tables to the other gateways.
            metrics: Counters.
            on_written: Called with a table as the store has it, which may be
                another keeper's.
            update_local_tables: Passes it to the other tasks of this gateway.
        """
        self._client = client
        self._tables = tables
        self._publisher = publisher
        self._metrics = metrics
        self._on_written = on_written
        self._update_local_tables = update_local_tables
        # Revisions for the condition of the next write, if the store has a
        # table at another one than that at which it was written; 0 if it has
        # none.
        self._stored_revisions: dict[str, int] = {}

    def record_revision(self, group: str, revision: int) -> None:
        """Records that the store has had a group's table at a revision."""
        if self._stored_revisions.get(group, 0) < revision:
            self._stored_revisions[group] = revision

    async def write(self, table: models.KeyTable) -> bool:
        """Writes a table; returns whether the store accepted it."""
        name = table.group
        if revisions.epoch_generation(table.epoch) < self._client.generation:
            # The lease must be taken again in the restored store first.
            return False
        spec = objects.encode_table(table)
        revision = self._stored_revisions.get(name, table.revision)
        if revision == 0:
            response = await self._client.create(
                objects.KEY_TABLES_KIND, name, spec
            )
        else:
            response = await self._client.replace(
                objects.KEY_TABLES_KIND, name, spec, revision
            )
        match response:
            case result.Ok(stored) if revisions.generation(
                stored.revision
            ) > revisions.epoch_generation(table.epoch):
                # The store was restored meanwhile. Another gateway may have
                # had the lease before that, and have granted other tables.
                self._stored_revisions[name] = stored.revision
                self._metrics.count("tables.restored")
            case result.Ok(stored):
                return self._accept_stored(stored)
            case result.Err(exceptions.Missing()):
                # The store was restored from a copy without the table.
                self._stored_revisions[name] = 0
            case result.Err(exceptions.Conflict() as conflict):
                # Another keeper has written the table, or an earlier write of
                # this keeper took effect although it got no response.
                self._metrics.count("tables.conflict")
                current = store.decode_conflict(conflict)
                if current is not None:
                    self._accept_stored(current)
            case result.Err(failure):
                self._metrics.count("tables.not_written")
                _LOGGER.warning(
                    "table not written",
                    extra={"group": table.group, "failure": failure},
                )
                await asyncio.sleep(_WRITE_RETRY_S)
        return False

    def _accept_stored(self, stored: store.StoredObject) -> bool:
        """Applies and publishes a table as the store has it.

        Returns:
            Whether the object could be decoded.
        """
        match objects.decode_table(stored):
            case result.Ok(decoded):
                self._stored_revisions[decoded.group] = stored.revision
                ordered = objects.order_by_writing(stored, decoded)
                table = dataclasses.replace(decoded, revision=ordered.revision)
                previous = self._tables.get(table.group)
                if previous is not None and table.order < previous.order:
                    # The store was restored from a copy with an older table, or
                    # an earlier holder wrote it there. The next write replaces
                    # it.
                    self._metrics.count("tables.restored")
                    return False
                if previous is not None and table.order == previous.order:
                    return True
                self._on_written(table)
                self._update_local_tables([ordered])
                self._publisher.publish(previous, table, ordered)
                return True
            case result.Err(failure):
                self._metrics.count("tables.undecodable")
                _LOGGER.error("table unreadable", extra={"failure": failure})
                return False
