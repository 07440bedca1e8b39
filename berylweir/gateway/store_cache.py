"""Cache of the store's decoded objects, which announces their changes."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import logging

import msgspec
import result

from berylweir.crash_suspects import quarantine
from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway import skipped_objects
from berylweir.gateway.ownership import tables
from berylweir.gateway.suspects import messages as suspects
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import store

_LOGGER = logging.getLogger(__name__)

Subscriber = Callable[[messages.StoreUpdate], None]


class StoreCache:
    """Decodes each revision of an object once and announces what changed.

    A configuration, key table or lease that is older than the known one is
    ignored, since objects may come from the store and from several other
    gateways.
    """

    def __init__(
        self, subscribers: Sequence[Subscriber], metrics: counters.Counters
    ) -> None:
        """Creates an empty cache.

        Args:
            subscribers: Functions that are called with each change.
            metrics: Counters.
        """
        self._subscribers = subscribers
        self._metrics = metrics
        self._configuration: models.Configuration | None = None
        self._configuration_revision = 0
        self._servers: dict[str, models.BackendServer] = {}
        self._skipped_objects = skipped_objects.SkippedObjects(metrics)
        self._undecodable_revisions: dict[str, int] = {}
        # Encoded key tables; those that other gateways sent as changes are
        # only encoded on request.
        self._key_table_objects: dict[str, store.StoredObject] = {}
        self._key_tables: dict[str, models.KeyTable] = {}
        self._vms: dict[str, models.Vm] = {}
        self._quarantine_entries: tuple[quarantine.Entry, ...] = ()
        self._has_announced_lease = False
        self._lease: models.Lease | None = None

    def update_configuration(
        self, stored_objects: list[store.StoredObject]
    ) -> None:
        """Announces the configuration, unless it is older than the known one.

        Args:
            stored_objects: All objects of the configuration's kind.
        """
        for stored in stored_objects:
            if (
                stored.name != objects.CONFIGURATION_NAME
                or stored.revision == self._configuration_revision
            ):
                continue
            match objects.decode_configuration(stored):
                case result.Ok(configuration):
                    self._configuration_revision = stored.revision
                    self._apply_configuration(configuration)
                case result.Err(failure):
                    self._report_undecodable(
                        objects.CONFIGURATION_KIND, stored, failure
                    )

    def _apply_configuration(self, configuration: models.Configuration) -> None:
        current = self._configuration
        if current is not None and configuration.order <= current.order:
            _LOGGER.info(
                "older configuration ignored",
                extra={
                    "configuration": configuration.version,
                    "revision": configuration.revision,
                    "in_force": current.version,
                },
            )
            return
        self._configuration = configuration
        self._notify(messages.ConfigurationChanged(configuration))

    def update_servers(self, stored_objects: list[store.StoredObject]) -> None:
        """Announces all backend servers.

        Args:
            stored_objects: Entries of all servers.
        """
        servers: dict[str, models.BackendServer] = {}
        for stored in stored_objects:
            cached = self._servers.get(stored.name)
            if cached is not None and cached.revision == stored.revision:
                servers[stored.name] = cached
                continue
            match objects.decode_server(stored):
                case result.Ok(decoded):
                    server = _keep_draining(cached, decoded)
                    servers[stored.name] = server
                    self._log_server_change(cached, server)
                case result.Err(failure):
                    self._report_undecodable(
                        objects.SERVERS_KIND, stored, failure
                    )
        for name in self._servers.keys() - servers.keys():
            _LOGGER.info("server gone", extra={"server": name})
        self._servers = servers
        self._notify(messages.ServersChanged(servers))

    def update_evacuations(
        self, stored_objects: list[store.StoredObject]
    ) -> None:
        """Announces the availability zones that get no requests.

        Args:
            stored_objects: One object for each evacuated zone.
        """
        zones = frozenset(stored.name for stored in stored_objects)
        _LOGGER.info("evacuations", extra={"zones": sorted(zones)})
        self._notify(messages.EvacuationsChanged(zones))

    def update_gateway_objects(
        self, stored_objects: list[store.StoredObject]
    ) -> None:
        """Announces gateways, refused requests and the lease if they changed.

        Args:
            stored_objects: All objects of the gateways' own kind.
        """
        vms: dict[str, models.Vm] = {}
        lease: models.Lease | None = None
        entries: list[quarantine.Entry] = []
        for stored in stored_objects:
            match objects.decode_gateway_object(stored):
                case result.Ok(models.Vm() as vm):
                    vms[vm.name] = vm
                case result.Ok(models.Lease() as lease):
                    pass
                case result.Ok(quarantine.Entry() as entry):
                    entries.append(entry)
                case result.Err(failure):
                    self._report_undecodable(
                        objects.GATEWAY_KIND, stored, failure
                    )
        if vms != self._vms:
            self._vms = vms
            self._notify(messages.VmsChanged(vms))
        if tuple(entries) != self._quarantine_entries:
            self._quarantine_entries = tuple(entries)
            self._notify(suspects.QuarantineChanged(self._quarantine_entries))
        self._apply_lease(lease)

    def _apply_lease(self, lease: models.Lease | None) -> None:
        """Announces the lease if it is newer, or that there is none yet."""
        if lease is None:
            is_newer = not self._has_announced_lease
        else:
            is_newer = self._lease is None or lease.order > self._lease.order
        if is_newer:
            self._has_announced_lease = True
            self._lease = lease
            self._notify(messages.LeaseChanged(lease))

    def update_key_tables(
        self, stored_objects: list[store.StoredObject]
    ) -> None:
        """Announces key tables that are newer than the known ones.

        Args:
            stored_objects: Whole key tables.
        """
        for stored in stored_objects:
            cached = self._key_tables.get(stored.name)
            match objects.decode_table(stored):
                case result.Ok(table):
                    if cached is not None and table.order <= cached.order:
                        continue
                    self._key_table_objects[stored.name] = stored
                    self._set_key_table(stored.name, table)
                case result.Err(failure):
                    self._report_undecodable(
                        objects.KEY_TABLES_KIND, stored, failure
                    )

    def apply_key_table_changes(
        self,
        stored_objects: list[store.StoredObject],
        base_revision: int,
        base_epoch: int | None,
    ) -> None:
        """Applies changes to key tables and announces the results.

        Changes to another table than the known one are ignored.

        Args:
            stored_objects: Key tables with only the ranges that changed.
            base_revision: Revision of the tables that the changes apply to.
            base_epoch: Epoch of these tables; None if it isn't known.
        """
        for stored in stored_objects:
            cached = self._key_tables.get(stored.name)
            if cached is None or cached.revision != base_revision:
                continue
            if base_epoch is not None and cached.epoch != base_epoch:
                # A restored store has given out the revision again.
                continue
            match objects.decode_table(stored):
                case result.Ok(changed):
                    table = tables.apply_diff(cached, changed)
                    if table is None:
                        self._metrics.count("tables.misfit")
                        _LOGGER.warning(
                            "key table changes leave gaps; skipped",
                            extra={
                                "group": stored.name,
                                "base_revision": base_revision,
                                "revision": stored.revision,
                            },
                        )
                        continue
                    if table.order > cached.order:
                        self._key_table_objects.pop(stored.name, None)
                        self._set_key_table(stored.name, table)
                case result.Err(failure):
                    self._report_undecodable(
                        objects.KEY_TABLES_KIND, stored, failure
                    )

    def _set_key_table(self, name: str, table: models.KeyTable) -> None:
        self._key_tables[name] = table
        self._notify(messages.KeyTableChanged(table))

    @property
    def key_table_orders(self) -> dict[str, models.TableOrder]:
        """Orders of the known key tables by object name."""
        return {name: t.order for name, t in self._key_tables.items()}

    @property
    def key_table_objects(self) -> Mapping[str, store.StoredObject]:
        """Newest known key tables by object name."""
        for name, table in self._key_tables.items():
            if name not in self._key_table_objects:
                self._key_table_objects[name] = store.build_stored_object(
                    name,
                    table.revision,
                    msgspec.Raw(objects.encode_table(table)),
                    msgspec.Raw(b"null"),
                )
        return self._key_table_objects

    def _notify(self, message: messages.StoreUpdate) -> None:
        for subscriber in self._subscribers:
            subscriber(message)

    def _log_server_change(
        self,
        cached: models.BackendServer | None,
        server: models.BackendServer,
    ) -> None:
        if cached is not None and cached.is_draining == server.is_draining:
            return
        _LOGGER.info(
            "server draining" if server.is_draining else "server ready",
            extra={
                "server": server.name,
                "group": server.group,
                "zone": server.availability_zone,
                "born_ms": server.born_ms,
                "cold_ms": server.cold_ms,
                "revision": server.revision,
            },
        )

    def _report_undecodable(
        self, kind: str, stored: store.StoredObject, failure: object
    ) -> None:
        """Counts each revision of an undecodable object, and logs it."""
        name = f"{kind}/{stored.name}"
        is_new = self._undecodable_revisions.get(name) != stored.revision
        self._undecodable_revisions[name] = stored.revision
        self._skipped_objects.report(
            kind, (stored.name,), 1 if is_new else 0, failure
        )


def _keep_draining(
    known: models.BackendServer | None, server: models.BackendServer
) -> models.BackendServer:
    """Returns a server that stays draining once its instance has been.

    The entry in a store that was restored from a copy may be older.
    """
    if (
        known is not None
        and known.is_draining
        and known.instance == server.instance
    ):
        return dataclasses.replace(server, is_draining=True)
    return server
