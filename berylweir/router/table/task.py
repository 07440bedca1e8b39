"""The task that receives routing updates from the keeper of the same VM."""

import asyncio
from collections.abc import Callable
import dataclasses

import pynng
import result

from berylweir.conf import schemas as conf
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.peers import codec
from berylweir.peers import messages as peers
from berylweir.peers import sockets
from berylweir.router import messages
from berylweir.router.admission import models as admission
from berylweir.router.backends import home
from berylweir.router.backends import pool
from berylweir.router.table import decisions
from berylweir.router.table import models
from berylweir.supervision import dynamic
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_HOME_INBOX_CAPACITY = 8192
_REPORT_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingSnapshot:
    """Routing data for the ingress; each update replaces the whole snapshot.

    Attributes:
        table: The routing table.
        home_inboxes: Mailboxes of the home tasks on this VM, by server group.
        local_servers: Backend servers whose home is this VM, by server group.
    """

    table: models.Table
    home_inboxes: dict[str, mailbox.Mailbox[messages.HomeMessage]]
    local_servers: dict[str, tuple[str, ...]]


class TableTask:
    """Owns the socket to the keeper, and starts and stops the home tasks.

    There is one home task for each server group with servers whose home is
    this VM.
    """

    def __init__(
        self,
        keeper: str,
        settings: conf.Settings,
        publish: Callable[[RoutingSnapshot], None],
        metrics: counters.Counters,
    ) -> None:
        """Creates the task.

        Args:
            keeper: Loopback address and port of the keeper.
            settings: Settings of this VM.
            publish: Called with each new routing snapshot.
            metrics: Counters.
        """
        self._keeper = keeper
        self._settings = settings
        self._publish = publish
        self._metrics = metrics
        self._homes = dynamic.DynamicSupervisor("homes")
        self._home_inboxes: dict[
            str, mailbox.Mailbox[messages.HomeMessage]
        ] = {}
        self._table = models.Table()
        self._granted_servers: tuple[peers.HomeServer, ...] = ()
        self._home_reports: dict[str, messages.HomeReport] = {}
        self._suspect_reports: list[peers.Suspects] = []

    async def run(self, context: supervision.ChildContext) -> None:
        """Runs until asked to stop."""
        socket = pynng.Pair0(recv_max_size=0)
        context.stack.callback(socket.close)
        context.stack.push_async_callback(self._homes.stop_all)
        socket.reconnect_time_min = 50
        socket.reconnect_time_max = 500
        socket.dial(f"tcp://{self._keeper}", block=False)
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            tasks = [
                group.create_task(self._receive(socket)),
                group.create_task(self._send_reports(socket)),
            ]
            await context.stop_event.wait()
            for task in tasks:
                task.cancel()

    async def _receive(self, socket: pynng.Pair0) -> None:
        while True:
            match codec.decode_to_router(await sockets.receive(socket)):
                case result.Ok(peers.TableUpdate() as update):
                    self._table = decisions.build(update)
                    await self._update_homes()
                case result.Ok(peers.HomesUpdate(homes=homes)):
                    self._granted_servers = homes
                    await self._update_homes()
                case result.Ok(peers.Suspects() as suspects):
                    self._metrics.count("router.suspects.received")
                    for inbox in self._home_inboxes.values():
                        # `post` ignores the capacity of the mailbox. There is
                        # at most one such message for each report of another
                        # VM, and a lost one can let a request crash a server.
                        inbox.post(messages.SuspectsReceived(suspects))
                case result.Err(_):
                    self._metrics.count("router.link.undecodable")

    async def _update_homes(self) -> None:
        """Starts, stops and updates home tasks, and publishes the routing."""
        usable = decisions.usable_servers(self._table)
        by_group: dict[
            str, list[tuple[schemas.BackendServer, admission.Authority]]
        ] = {}
        for granted in self._granted_servers:
            server = self._table.servers.get(granted.server)
            if server is not None and server.group in self._table.groups:
                by_group.setdefault(server.group, []).append(
                    (server, _build_authority(granted, usable))
                )
        for name in self._homes.child_names - by_group.keys():
            if name in self._table.groups:
                # The home task keeps counting requests in flight, because
                # the servers may return before these have ended.
                by_group[name] = []
                continue
            await self._homes.stop_child(name)
            del self._home_inboxes[name]
            self._home_reports.pop(name, None)
        for name, servers in by_group.items():
            group = self._table.groups[name]
            if name not in self._home_inboxes:
                self._start_home(group)
            message = messages.Authorities(
                group,
                tuple(servers),
                self._settings.vm.name,
                self._table.request_id_homes.get(name, ()),
            )
            if self._home_inboxes[name].offer(message).is_err():
                self._metrics.count("router.home.inbox_full")
        self._publish(
            RoutingSnapshot(
                self._table,
                dict(self._home_inboxes),
                {
                    n: tuple(s.name for s, _ in servers)
                    for n, servers in by_group.items()
                },
            )
        )

    def _start_home(self, group: schemas.ServerGroup) -> None:
        settings = self._settings
        inbox: mailbox.Mailbox[messages.HomeMessage] = mailbox.Mailbox(
            f"router.home.{group.name}", _HOME_INBOX_CAPACITY
        )
        self._home_inboxes[group.name] = inbox
        task = home.HomeTask(
            admission.Limits(
                group.name,
                group.slots,
                settings.admission.queue_limit,
                settings.admission.ledger_retention_s,
                settings.admission.clock_skew_s,
                settings.admission.quarantine_s,
                group.idempotent,
            ),
            pool.PoolLimits(
                group.connections,
                settings.router.connection_age_s,
                settings.router.connect_timeout_s,
            ),
            inbox,
            self._store_report,
            self._metrics,
        )
        self._homes.start_child(supervision.ChildSpec(group.name, task.run))

    def _store_report(self, report: messages.HomeReport) -> None:
        if report.suspects.suspected or report.suspects.quarantined:
            self._suspect_reports.append(report.suspects)
        if report.servers:
            self._home_reports[report.group] = report

    async def _send_reports(self, socket: pynng.Pair0) -> None:
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            servers = tuple(
                s for r in self._home_reports.values() for s in r.servers
            )
            suspects = decisions.merge_suspect_reports(self._suspect_reports)
            self._home_reports.clear()
            self._suspect_reports.clear()
            if servers or suspects.suspected or suspects.quarantined:
                await sockets.send(
                    socket, codec.encode(peers.RouterReport(servers, suspects))
                )


def _build_authority(
    granted: peers.HomeServer, usable: frozenset[str]
) -> admission.Authority:
    return admission.Authority(
        granted.server,
        granted.instance,
        granted.valid_until_s,
        {s.slice: s.token for s in granted.slices},
        granted.since_s,
        granted.version,
        granted.idle_s,
        takes_work=granted.server in usable,
        owned_since_s={s.slice: s.since_s for s in granted.slices},
    )
