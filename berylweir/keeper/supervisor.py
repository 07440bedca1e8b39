"""The supervisor tree of a keeper."""

import os

from berylweir.conf import schemas as conf
from berylweir.keeper import messages
from berylweir.keeper import router_link
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
    authority_inbox: mailbox.Mailbox[messages.AuthorityMessage] = (
        mailbox.Mailbox("keeper.authority", _INBOX_MESSAGES)
    )
    homes_inbox: mailbox.Mailbox[messages.HomesMessage] = mailbox.Mailbox(
        "keeper.homes", _INBOX_MESSAGES
    )

    def deliver_to_authority(message: messages.AuthorityMessage) -> None:
        if authority_inbox.offer(message).is_err():
            metrics.count("keeper.inbox.full")

    def deliver_to_homes(message: messages.HomesMessage) -> None:
        if homes_inbox.offer(message).is_err():
            metrics.count("keeper.homes.inbox_full")

    def route_peer_message(received: peer_task.ReceivedMessage) -> None:
        """Puts a message from a keeper into the mailbox of its task."""
        match received.message:
            case peers.Delegation() | peers.Suspects():
                deliver_to_homes(messages.PeerMessageReceived(received))
            case _:
                deliver_to_authority(messages.PeerMessageReceived(received))

    peer_outbox: mailbox.Mailbox[peer_task.Outgoing] = mailbox.Mailbox(
        "keeper.peers", _OUTBOX_MESSAGES
    )
    router_outbox: mailbox.LatestMailbox[peers.ToRouterMessage] = (
        mailbox.LatestMailbox()
    )
    partition_updates: mailbox.LatestMailbox[messages.PartitionUpdate] = (
        mailbox.LatestMailbox()
    )
    partition_changes: mailbox.LatestMailbox[messages.PartitionChanged] = (
        mailbox.LatestMailbox()
    )
    server_requests: mailbox.LatestMailbox[messages.ServerRequest] = (
        mailbox.LatestMailbox()
    )
    own_incarnation = schemas.Incarnation(settings.vm.name, os.urandom(8).hex())
    neighbours = tuple(
        n.strip() for n in settings.keeper.neighbours.split(",") if n.strip()
    )
    authority_task = authority.AuthorityTask(
        authority.Identity(
            own_incarnation, settings.vm.availability_zone, neighbours
        ),
        lease_timings(settings),
        authority_inbox,
        authority.Outboxes(
            peer_outbox, partition_updates, partition_changes, router_outbox
        ),
        metrics,
    )
    homes_task = homes.HomesTask(
        settings.vm.name,
        lease_timings(settings),
        homes_inbox,
        partition_changes,
        homes.Outboxes(peer_outbox, server_requests, router_outbox),
        metrics,
    )

    def router_connected() -> None:
        authority_task.router_connected()
        homes_task.router_connected()

    platform = settings.platform
    children = (
        supervision.ChildSpec(
            "peers",
            peer_task.PeerTask(
                f"{settings.vm.address}:{settings.keeper.port}",
                own_incarnation,
                settings.vm.availability_zone,
                route_peer_message,
                peer_outbox,
                metrics,
                authentication.parse_keyring(
                    settings.keeper.peer_key, settings.keeper.further_peer_key
                ),
            ).run,
        ),
        supervision.ChildSpec(
            "router_link",
            router_link.RouterLinkTask(
                f"127.0.0.1:{settings.keeper.link_port}",
                router_outbox,
                deliver_to_homes,
                router_connected,
                metrics,
            ).run,
        ),
        supervision.ChildSpec(
            "writer",
            writer.PartitionWriterTask(
                platform.url,
                platform.timeout_s,
                partition_updates,
                deliver_to_authority,
                metrics,
            ).run,
        ),
        supervision.ChildSpec(
            "grants",
            grants.GrantTask(server_requests, deliver_to_homes, metrics).run,
        ),
        supervision.ChildSpec(
            "watch",
            configuration.WatchTask(
                platform.url,
                platform.timeout_s,
                platform.watch_s,
                deliver_to_authority,
                metrics,
            ).run,
            stop_timeout_s=0.1,
        ),
        supervision.ChildSpec("homes", homes_task.run),
        supervision.ChildSpec("authority", authority_task.run),
        supervision.ChildSpec(
            "status",
            status.StatusTask(
                deliver_to_authority,
                settings.vm.address,
                settings.keeper.status_port,
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
