"""The keeper task, which decides which server owns which keys.

One keeper runs on every VM. Only the one that holds the lease creates and
changes key tables, moves keys between servers and renews their grants.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import functools
import logging
from typing import Any

import result

from berylweir.gateway import clock
from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.dispatch import task as dispatch
from berylweir.gateway.ownership import balance
from berylweir.gateway.ownership import balance_monitor
from berylweir.gateway.ownership import candidates
from berylweir.gateway.ownership import granting
from berylweir.gateway.ownership import holds
from berylweir.gateway.ownership import lease as leases
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import owner_contact
from berylweir.gateway.ownership import table_order
from berylweir.gateway.ownership import table_publisher
from berylweir.gateway.ownership import table_recovery
from berylweir.gateway.ownership import table_writer
from berylweir.gateway.ownership import tables
from berylweir.gateway.ownership import usage_reports
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.peers import task as peer_task
from berylweir.gateway.replication import codec
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import store
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_LOGGER = logging.getLogger(__name__)
# Time between two plans that balance the keys, in seconds.
_BALANCE_INTERVAL_S = 0.5
# Delay between acquiring the lease and creating the first table of a group, in
# seconds, so that all servers can register. Each does so with its first
# heartbeat.
_REGISTRATION_WAIT_S = 2.0
# Delay before completed moves are written, in seconds, so that moves that
# complete at about the same time share one write.
_COMPLETION_BATCH_S = 0.01

Inbox = mailbox.Mailbox[messages.StoreUpdate]


def create_inbox() -> Inbox:
    """Returns the mailbox of the keeper."""
    return mailbox.Mailbox("keeper", 1000)


class Keeper:
    """Holds or monitors the lease, and as its holder moves and grants keys."""

    def __init__(
        self,
        local_vm: models.Vm,
        client: store.StoreClient,
        lease_client: store.StoreClient,
        peer_client: peer_task.PeerClient,
        inbox: Inbox,
        dispatcher: dispatch.Inbox,
        update_local_tables: Callable[[list[store.StoredObject]], None],
        get_table_orders: Callable[[], table_order.Orders],
        refresh_tables: Callable[[], None],
        is_store_up: Callable[[], bool],
        metrics: counters.Counters,
        bounds: models.Bounds,
    ) -> None:
        """Creates the keeper; `run` starts its tasks.

        Args:
            local_vm: VM of this gateway.
            client: Client of the store for tables.
            lease_client: Client of the store for the lease.
            peer_client: Client for requests to other gateways.
            inbox: Mailbox of the keeper, which gets the changes of the store.
            dispatcher: Mailbox of the dispatcher.
            update_local_tables: Passes written tables to the other tasks of
                this gateway.
            get_table_orders: Returns the order of each known table, by name.
            refresh_tables: Requests another read of the key tables.
            is_store_up: Returns whether the store answers this VM or a gateway
                that it follows.
            metrics: Counters.
            bounds: Limits that the platform sets.
        """
        self._update_local_tables = update_local_tables
        self._get_table_orders = get_table_orders
        self._refresh_tables = refresh_tables
        self._client = client
        self._lease_client = lease_client
        self._peer_client = peer_client
        self._inbox = inbox
        self._metrics = metrics
        self._groups: Mapping[str, models.ServerGroup] = {}
        self._servers: Mapping[str, models.BackendServer] = {}
        self._vms: Mapping[str, models.Vm] = {}
        self._tables: dict[str, models.KeyTable] = {}
        # Groups whose tokens this keeper has raised under its present lease.
        # The granter gets the tables of these groups only.
        self._groups_with_new_tokens: set[str] = set()
        self._reports = usage_reports.UsageReports(
            local_vm.name, dispatcher, metrics
        )
        self._candidates = candidates.CandidateSelector(
            self._reports.server_statistics
        )
        self._monitor = balance_monitor.BalanceMonitor(metrics)
        self._state_changed = asyncio.Event()
        self._move_completed = asyncio.Event()
        self._lease_acquired_s = 0.0
        self._lease = leases.LeaseManager(
            local_vm,
            lease_client,
            peer_client,
            metrics,
            collect_report=self._reports.collect_report,
            on_acquired=self._on_lease_acquired,
            on_predecessors_stopped=self._on_predecessors_stopped,
            is_recovery_due=self._is_recovery_due,
            get_acted_epoch=lambda: table_recovery.acted_epoch(
                self._tables, self._groups
            ),
            get_table_orders=get_table_orders,
            on_newer_tables=self._fetch_tables,
            on_lost=self._on_lease_lost,
            on_authority_confirmed=self._state_changed.set,
            on_holder_status=self._refresh_stale_tables,
            is_store_up=is_store_up,
            is_isolated=lambda: self._reports.is_isolated,
        )
        self._publisher = table_publisher.TablePublisher(local_vm, peer_client)
        self._table_writer = table_writer.TableWriter(
            client,
            self._tables,
            self._publisher,
            metrics,
            on_written=self._update_table,
            update_local_tables=update_local_tables,
        )
        self._granter = granting.Granter(
            self._tables.get,
            lambda: self._lease.may_act,
            self._move_completed.set,
            self._on_superseded,
            self._state_changed.set,
            metrics,
            max_grant_ms=bounds.max_hold_ms,
            on_grant_sent=self._record_grant,
        )

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until the supervisor stops the child, then resigns the lease."""
        context.stack.callback(self._client.close)
        context.stack.callback(self._lease_client.close)
        context.stack.callback(self._granter.close)
        context.stack.callback(self._publisher.close)
        self._restore_closed_parts()
        async with contextlib.AsyncExitStack() as stack:
            tasks: list[asyncio.Task[Any]] = [
                asyncio.create_task(context.stop_event.wait())
            ]
            for work in (
                self._process_updates(),
                self._lease.run(),
                self._balance_tables(),
            ):
                tasks.append(asyncio.create_task(work))
            for task in tasks:
                stack.callback(task.cancel)
            context.report_ready()
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                if task.done():
                    task.result()
        # They may still use the connection on which the lease is released.
        await asyncio.wait(tasks)
        await self._lease.resign()

    def _restore_closed_parts(self) -> None:
        """Opens again what an earlier run closed when it crashed."""
        self._update_servers()
        self._publisher.update_vms(self._vms)
        self._lease.restart_epoch()

    def report_soon(self) -> None:
        """Has the next report to the lease holder, or balance, made at once."""
        self._lease.report_soon()
        self._state_changed.set()

    async def handle_request(
        self, request: peers.Request
    ) -> peers.GatewayStatus:
        """Handles a request of another gateway and returns this one's status.

        A report or a request to resign has an effect; other requests only get
        the status.
        """
        match request:
            case peers.ReportUsage():
                self._record_usage(peers.decode_usage(request))
            case peers.ResignLease(epoch, holder, incarnation):
                self._lease.handle_newer_epoch(epoch, holder, incarnation)
            case peers.OfferLease(epoch, revision):
                self._lease.accept_offer(epoch, revision)
            case (
                peers.GetObjects()
                | peers.GetChanges()
                | peers.GetChangedRevisions()
                | peers.GetStatus()
                | peers.PublishTable()
                | peers.PublishTableChanges()
                | peers.AcquirePermit()
            ):
                pass
        return self._lease.status(self._get_table_orders())

    # Known state

    async def _process_updates(self) -> None:
        """Applies changes of the store until it is cancelled."""
        while True:
            match await self._inbox.get():
                case messages.ConfigurationChanged(configuration):
                    self._groups = configuration.groups
                    self._update_servers()
                case messages.ServersChanged(servers):
                    self._servers = servers
                    self._update_servers()
                case messages.EvacuationsChanged(zones):
                    self._candidates.update_evacuations(zones)
                case messages.VmsChanged(vms):
                    self._vms = vms
                    self._lease.update_vms(vms)
                    self._publisher.update_vms(vms)
                    self._monitor.reports.update_vms(vms, clock.boot_s())
                case messages.LeaseChanged(lease):
                    self._lease.update_lease(lease)
                case messages.KeyTableChanged(table):
                    self._update_table(table)
            self._state_changed.set()

    def _update_servers(self) -> None:
        """Passes on the servers whose group is configured.

        An entry of an unknown group is ignored, so that it can't claim the
        address of another server.
        """
        servers = {
            name: server
            for name, server in self._servers.items()
            if server.group in self._groups
        }
        self._candidates.update_servers(servers)
        self._granter.update_servers(servers)

    def _update_table(self, table: models.KeyTable) -> None:
        """Replaces the known table of a group if the given one is newer."""
        current = self._tables.get(table.group)
        if current is None or table.order > current.order:
            self._tables[table.group] = table
            self._table_writer.record_revision(table.group, table.revision)
            if self._lease.is_holder and table.epoch > self._lease.epoch:
                # Another keeper has taken over, and this one hasn't read its
                # lease yet.
                self._lease.handle_newer_epoch(table.epoch)
            if table.group in self._groups_with_new_tokens:
                self._granter.apply_table(table)

    def _record_usage(self, usage: messages.KeyUsage) -> None:
        self._monitor.reports.record(usage.vm, clock.boot_s())
        if self._reports.record(usage):
            self._state_changed.set()

    def _refresh_stale_tables(self, status: peers.GatewayStatus) -> None:
        """Requests a read of the tables if the holder has newer ones."""
        known = {name: table.order for name, table in self._tables.items()}
        if not table_order.knows_all(status, known):
            self._refresh_tables()

    # The lease

    def _on_lease_acquired(
        self, lease: models.Lease, predecessors_stop_s: float
    ) -> None:
        self._groups_with_new_tokens.clear()
        self._lease_acquired_s = clock.boot_s()
        self._monitor.start_epoch(self._lease_acquired_s)
        self._reports.owner_contact.start_epoch()
        self._granter.start_epoch(predecessors_stop_s)
        self._state_changed.set()

    def _is_recovery_due(self, epoch: int) -> bool:
        return table_recovery.is_due(epoch, self._tables, self._groups.values())

    async def _fetch_tables(self, vm: models.Vm) -> None:
        """Reads the key tables of another gateway."""
        match await self._peer_client.ask(
            vm, peers.GetObjects(objects.KEY_TABLES_KIND)
        ):
            case result.Ok(peers.ObjectsSnapshot() as snapshot):
                stored_objects = codec.decode_objects(snapshot.objects)
                self._update_local_tables(stored_objects)
                for stored in stored_objects:
                    match objects.decode_table(stored):
                        case result.Ok(table):
                            self._update_table(table)
                        case result.Err(failure):
                            _LOGGER.error(
                                "table unreadable", extra={"failure": failure}
                            )
            case _:
                _LOGGER.warning("tables not fetched", extra={"vm": vm.name})

    def _on_predecessors_stopped(self) -> None:
        self._granter.confirm_predecessors_stopped()

    def _on_lease_lost(self) -> None:
        _LOGGER.info("stopped granting")
        self._groups_with_new_tokens.clear()
        self._monitor.stop(clock.boot_s())
        self._granter.stop()
        self._publisher.stop()

    def _on_superseded(self) -> None:
        """Has new tokens written, since a server rejected one as too low."""
        self._metrics.count("grants.superseded")
        self._groups_with_new_tokens.clear()
        self._state_changed.set()

    def _record_grant(
        self, instance: models.ServerInstance, sent_s: float, responded: bool
    ) -> None:
        self._reports.owner_contact.record_grant(
            instance, sent_s, has_response=responded
        )

    def _hand_over_if_cut_off(self) -> bool:
        """Hands the lease over if only other gateways reach the owners."""
        owners = {
            key_range.owner
            for table in self._tables.values()
            for key_range in table.ranges
            if key_range.owner is not None
        }
        match self._reports.owner_contact.decide(owners, clock.boot_s()):
            case owner_contact.KeepLease():
                return False
            case owner_contact.HandOverLease(vms):
                self._metrics.count("lease.handed_over")
                _LOGGER.warning("lease handed over", extra={"vms": vms[:3]})
                self._lease.hand_over(vms)
                return True

    # Tables

    async def _balance_tables(self) -> None:
        """Writes completed and new moves while this keeper may act.

        Runs on each interval, when a move completes and when the state of the
        servers, tables or lease changes.
        """
        loop = asyncio.get_running_loop()
        next_balance_s = 0.0
        while True:
            if not self._lease.may_act:
                await self._wait_for_authority()
                continue
            if self._hand_over_if_cut_off():
                continue
            await self._write_completed_moves()
            is_due = loop.time() >= next_balance_s
            if is_due:
                next_balance_s = loop.time() + _BALANCE_INTERVAL_S
                usage = await self._reports.collect()
                if usage is not None:
                    self._record_usage(usage)
            for name, group in list(self._groups.items()):
                if group.is_keyed and self._lease.may_act:
                    found = await self._balance_group(name, is_due=is_due)
                    if is_due and self._lease.may_act:
                        now_s = clock.boot_s()
                        self._monitor.record_tables(self._tables, now_s)
                        self._monitor.record_pass(name, found, now_s)
            self._move_completed.clear()
            self._state_changed.clear()
            waiters = [
                asyncio.ensure_future(self._move_completed.wait()),
                asyncio.ensure_future(self._state_changed.wait()),
            ]
            await asyncio.wait(
                waiters,
                timeout=max(0.0, next_balance_s - loop.time()),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for waiter in waiters:
                waiter.cancel()
            if self._move_completed.is_set():
                await asyncio.sleep(_COMPLETION_BATCH_S)

    async def _wait_for_authority(self) -> None:
        """Waits until this keeper may act, or for an interval."""
        if self._lease.is_holder:
            for name, group in self._groups.items():
                if group.is_keyed:
                    self._monitor.record_pass(
                        name, (holds.LeaseUnconfirmed(),), clock.boot_s()
                    )
        self._state_changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_BALANCE_INTERVAL_S):
                await self._state_changed.wait()

    async def _balance_group(
        self, name: str, *, is_due: bool
    ) -> Sequence[holds.Hold]:
        """Creates a group's table, raises its tokens or starts moves in it.

        Args:
            name: Name of the server group.
            is_due: Whether to move keys for balance; if not, only the keys of
                servers that can't own any more are moved.

        Returns:
            What has held moves of the group.
        """
        table = self._tables.get(name)
        eligible = self._candidates.select(
            name,
            table,
            self._granter.is_lost
            if name in self._groups_with_new_tokens
            else None,
        )
        if table is None:
            return await self._create_table(name, eligible)
        if table.epoch > self._lease.epoch:
            # The store has lost the lease of that epoch, so this one was taken
            # below it.
            self._metrics.count("lease.below_table")
            _LOGGER.warning(
                "lease below key table",
                extra={
                    "group": name,
                    "epoch": self._lease.epoch,
                    "table_epoch": table.epoch,
                },
            )
            self._lease.handle_newer_epoch(table.epoch)
            return ()
        if name not in self._groups_with_new_tokens:
            return await self._raise_tokens(table)
        if not eligible:
            return (holds.NoCandidates(),)
        plan = balance.plan_moves(
            table, eligible, self._reports.demand(name), rebalance=is_due
        )
        self._monitor.record_plan(name, plan)
        startable, found = holds.partition_moves(
            plan.moves,
            lambda move: holds.check_move(
                table,
                move,
                awaits_first_grant=self._granter.awaits_first_grant,
                is_released=functools.partial(self._granter.is_released, name),
            ),
        )
        if not startable:
            return found
        if not await self._table_writer.write(
            tables.start_moves(table, startable)
        ):
            return (*found, holds.TableNotWritten())
        _LOGGER.info(
            "moves begun",
            extra={
                "group": name,
                "moves": len(startable),
                "candidates": len(eligible),
                "revision": self._tables[name].revision,
            },
        )
        return found

    async def _raise_tokens(
        self, table: models.KeyTable
    ) -> Sequence[holds.Hold]:
        """Writes a group's table with tokens of the present lease."""
        if not await self._table_writer.write(
            tables.raise_tokens(table, self._lease.epoch)
        ):
            return (holds.TableNotWritten(),)
        self._groups_with_new_tokens.add(table.group)
        self._granter.apply_table(self._tables[table.group])
        return ()

    async def _create_table(
        self, name: str, eligible: list[ownership.Candidate]
    ) -> Sequence[holds.Hold]:
        """Creates a group's first table once servers had time to register."""
        if clock.boot_s() - self._lease_acquired_s < _REGISTRATION_WAIT_S:
            return ()
        if not eligible:
            return (holds.NoCandidates(),)
        owners = self._candidates.sort_by_zone(eligible)
        table = tables.create(name, owners, self._lease.epoch)
        if not await self._table_writer.write(table):
            return (holds.TableNotWritten(),)
        self._groups_with_new_tokens.add(name)
        self._granter.apply_table(self._tables[name])
        return ()

    async def _write_completed_moves(self) -> None:
        """Writes the tables in which moves were completed."""
        for name, table in list(self._tables.items()):
            if name not in self._groups_with_new_tokens:
                continue
            updated = tables.complete_moves(
                table, functools.partial(self._granter.is_completed, name)
            )
            if updated.ranges != table.ranges:
                await self._table_writer.write(updated)
