"""The supervisor tree of a keeper."""

import os

from berylweir.conf import schemas as conf
from berylweir.keeper import link
from berylweir.keeper import messages
from berylweir.keeper.authority import models
from berylweir.keeper.authority import task as authority
from berylweir.keeper.authority import writer
from berylweir.keeper.configuration import task as configuration
from berylweir.keeper.grants import homes
from berylweir.keeper.grants import task as grants
from berylweir.keeper.status import task as status
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.observability import statsd_task
from berylweir.peers import authentication
from berylweir.peers import messages as peers
from berylweir.peers import task as peer_task
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision
from berylweir.supervision import supervisor

_INBOX_MESSAGES = 4096
_OUTBOX_MESSAGES = 4096


def lease_timings(settings: conf.Settings) -> models.Timings:
    """Returns the intervals of the lease protocol from the settings."""
    lease = settings.lease
    return models.Timings(
        renew_s=lease.renew_s,
        lease_s=lease.lease_s,
        margin_s=lease.margin_s,
        server_loss_s=lease.server_loss_s,
        home_loss_s=lease.home_loss_s,
        silent_pair_s=lease.silent_pair_s,
    )


def build(
    settings: conf.Settings, metrics: counters.Counters
) -> supervisor.Supervisor:
    """Returns the root supervisor of a keeper.

    Args:
        settings: Settings of this VM.
        metrics: Counters of the process.
    """
    inbox: mailbox.Mailbox[messages.AuthorityMessage] = mailbox.Mailbox(
        "keeper.authority", _INBOX_MESSAGES
    )
    homes_inbox: mailbox.Mailbox[messages.HomesMessage] = mailbox.Mailbox(
        "keeper.homes", _INBOX_MESSAGES
    )

    def deliver(message: messages.AuthorityMessage) -> None:
        if inbox.offer(message).is_err():
            metrics.count("keeper.inbox.full")

    def deliver_home(message: messages.HomesMessage) -> None:
        if homes_inbox.offer(message).is_err():
            metrics.count("keeper.homes.inbox_full")

    def deliver_peer(received: peer_task.Received) -> None:
        match received.message:
            case peers.Delegation() | peers.Suspects():
                deliver_home(messages.PeerMessageReceived(received))
            case _:
                deliver(messages.PeerMessageReceived(received))

    keepers: mailbox.Mailbox[peer_task.Outgoing] = mailbox.Mailbox(
        "keeper.peers", _OUTBOX_MESSAGES
    )
    to_router: mailbox.LatestMailbox[peers.ToRouterMessage] = (
        mailbox.LatestMailbox()
    )
    writes: mailbox.LatestMailbox[messages.PartitionUpdate] = (
        mailbox.LatestMailbox()
    )
    partitions: mailbox.LatestMailbox[messages.PartitionChanged] = (
        mailbox.LatestMailbox()
    )
    orders: mailbox.LatestMailbox[messages.ServerRequest] = (
        mailbox.LatestMailbox()
    )
    me = schemas.Incarnation(settings.vm.name, os.urandom(8).hex())
    neighbours = tuple(
        n.strip() for n in settings.keeper.neighbours.split(",") if n.strip()
    )
    core = authority.AuthorityTask(
        authority.Identity(me, settings.vm.availability_zone, neighbours),
        lease_timings(settings),
        inbox,
        authority.Outboxes(keepers, writes, partitions, to_router),
        metrics,
    )
    home_tasks = homes.HomesTask(
        settings.vm.name,
        lease_timings(settings),
        homes_inbox,
        partitions,
        homes.Outboxes(keepers, orders, to_router),
        metrics,
    )

    def router_connected() -> None:
        core.router_connected()
        home_tasks.router_connected()

    platform = settings.platform
    children = (
        supervision.ChildSpec(
            "peers",
            peer_task.PeerTask(
                f"{settings.vm.address}:{settings.keeper.port}",
                me,
                settings.vm.availability_zone,
                deliver_peer,
                keepers,
                metrics,
                authentication.keyring(
                    settings.keeper.peer_key, settings.keeper.further_peer_key
                ),
            ).run,
        ),
        supervision.ChildSpec(
            "router_link",
            link.RouterLinkTask(
                f"127.0.0.1:{settings.keeper.link_port}",
                to_router,
                deliver_home,
                router_connected,
                metrics,
            ).run,
        ),
        supervision.ChildSpec(
            "writer",
            writer.PartitionWriterTask(
                platform.url,
                platform.timeout_s,
                writes,
                deliver,
                metrics,
            ).run,
        ),
        supervision.ChildSpec(
            "grants",
            grants.GrantTask(orders, deliver_home, metrics).run,
        ),
        supervision.ChildSpec(
            "watch",
            configuration.WatchTask(
                platform.url,
                platform.timeout_s,
                platform.watch_s,
                deliver,
                metrics,
            ).run,
            stop_timeout_s=0.1,
        ),
        supervision.ChildSpec("homes", home_tasks.run),
        supervision.ChildSpec("authority", core.run),
        supervision.ChildSpec(
            "status",
            status.StatusTask(
                deliver, settings.vm.address, settings.keeper.status_port
            ).run,
            stop_timeout_s=0.5,
        ),
        statsd_task.create_child(settings.observability, metrics),
    )
    return supervisor.Supervisor(
        "keeper",
        children,
        strategy=supervision.Strategy.ONE_FOR_ONE,
        intensity=supervision.Intensity(5, 10.0),
    )
