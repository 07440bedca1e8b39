"""The supervisor tree of a gateway."""

import asyncio
from collections.abc import Callable
import functools
import http
import uuid

from berylweir import build_id
from berylweir.gateway import departed_vms
from berylweir.gateway import fleet_builds
from berylweir.gateway import models
from berylweir.gateway import registration
from berylweir.gateway import store_cache
from berylweir.gateway.body_memory import budget
from berylweir.gateway.body_memory import decisions as body_memory
from berylweir.gateway.dispatch import probes as server_probes
from berylweir.gateway.dispatch import task as dispatch
from berylweir.gateway.exchange import handler
from berylweir.gateway.forwarding import server as forwarding
from berylweir.gateway.ingress import probes
from berylweir.gateway.ingress import task as ingress
from berylweir.gateway.ownership import task as ownership
from berylweir.gateway.peers import messages as peer_messages
from berylweir.gateway.peers import snapshots
from berylweir.gateway.peers import task as peers
from berylweir.gateway.permits import task as permits
from berylweir.gateway.replication import change_feed
from berylweir.gateway.replication import codec
from berylweir.gateway.replication import coordinator
from berylweir.gateway.replication import table_reader
from berylweir.gateway.replication import task as replication
from berylweir.gateway.suspects import store_writer
from berylweir.gateway.suspects import task as suspects
from berylweir.observability import counters
from berylweir.observability import exposition
from berylweir.platform import objects
from berylweir.platform import requests
from berylweir.platform import settings
from berylweir.platform import store
from berylweir.platform import store_generation
from berylweir.supervision import models as supervision
from berylweir.supervision import supervisor

# A watch of the store ends at the first change. Servers and gateways are
# watched again only after a delay, so that one call reads all changes of that
# time. Requests to a server that shuts down must stop within 2 s, which limits
# the delay for servers. The delay for gateways may be longer: if all start at
# once, they register at the same moment, and none waits for another one. The
# watch of the configuration is short, so that a store that stops answering is
# noticed early. Otherwise the gateways that follow this one would have an old
# configuration for too long.
_WATCH_TIMINGS = {
    objects.CONFIGURATION_KIND: replication.WatchTiming(
        wait_ms=1000, response_timeout_s=0.5
    ),
    objects.SERVERS_KIND: replication.WatchTiming(batch_delay_s=0.8),
    objects.GATEWAY_KIND: replication.WatchTiming(batch_delay_s=1.0),
}
METRICS_PATH = "/metrics"


def build(
    environment: models.Environment,
    address: settings.StoreAddress,
    metrics: counters.Counters,
    metrics_port: int,
) -> supervisor.Supervisor:
    """Returns the root supervisor of a gateway.

    Args:
        environment: Settings that the platform passed.
        address: Address of the store.
        metrics: Counters of the process.
        metrics_port: TCP port on which the metrics are served.
    """
    local_vm = models.Vm(
        environment.vm,
        uuid.uuid4().hex,
        environment.host,
        environment.peer_port,
        environment.availability_zone,
        size=environment.size,
        forward_port=environment.forward_port,
        capabilities=frozenset({models.JUDGES_REQUESTS}),
        build=build_id.build_id(),
    )

    generation = store_generation.StoreGeneration()

    def create_client() -> store.StoreClient:
        return store.StoreClient(address, generation)

    dispatch_inbox = dispatch.create_inbox()
    prober_inbox = server_probes.create_inbox()
    keeper_inbox = ownership.create_inbox()
    peer_client = peers.PeerClient(metrics)
    permits_inbox = permits.create_inbox()
    permit_task = permits.PermitTask(
        local_vm, peer_client, permits_inbox, metrics
    )
    suspect_inbox = suspects.create_inbox()
    quarantine_inbox = store_writer.create_inbox()
    suspect_task = suspects.SuspectTask(
        local_vm,
        peer_client,
        suspect_inbox,
        dispatch_inbox.post,
        quarantine_inbox.post,
        metrics,
    )
    quarantine_writer = store_writer.QuarantineWriter(
        local_vm, create_client(), quarantine_inbox, metrics
    )
    memory = budget.BodyMemory(
        body_memory.body_bytes(environment.memory_bytes), metrics
    )
    request_handler = handler.RequestHandler(
        environment.vm, dispatch_inbox, permits_inbox, memory, metrics
    )
    snapshot_client = snapshots.SnapshotClient(local_vm, peer_client)
    subscribers: list[store_cache.Subscriber] = [
        dispatch_inbox.post,
        keeper_inbox.post,
        request_handler.on_store_update,
        snapshot_client.on_store_update,
        permit_task.on_store_update,
        suspect_task.on_store_update,
        quarantine_writer.on_store_update,
        fleet_builds.FleetBuilds(local_vm, metrics).on_store_update,
    ]
    cache = store_cache.StoreCache(subscribers, metrics)
    reader = table_reader.TableReader(
        create_client(), cache.update_key_tables, snapshot_client, metrics
    )
    subscribers.append(reader.on_store_update)
    registration_task = registration.Registration(local_vm, create_client())
    subscribers.append(registration_task.on_store_update)
    departed = departed_vms.DepartedVms(
        local_vm, create_client(), peer_client, metrics
    )
    subscribers.append(departed.on_store_update)
    replicas: dict[str, replication.Replica] = {}
    feed = change_feed.ChangeFeed(replicas)
    replication_coordinator = coordinator.ReplicationCoordinator(
        local_vm,
        peer_client,
        replicas,
        registration_task.first_attempt_done,
        metrics,
    )
    subscribers.append(replication_coordinator.on_store_update)

    def on_change() -> None:
        feed.notify()
        replication_coordinator.notify()

    replicas |= _create_replicas(create_client, cache, on_change, metrics)
    keeper = ownership.Keeper(
        local_vm,
        create_client(),
        create_client(),
        peer_client,
        keeper_inbox,
        dispatch_inbox,
        cache.update_key_tables,
        lambda: cache.key_table_orders,
        reader.refresh,
        lambda: replication_coordinator.is_current,
        metrics,
        environment.bounds,
    )

    async def answer_peer(
        request: peer_messages.Request,
    ) -> peer_messages.Reply:
        match request:
            case peer_messages.GetObjects(objects.KEY_TABLES_KIND as kind):
                key_tables = cache.key_table_objects.values()
                revision = max((t.revision for t in key_tables), default=0)
                return peer_messages.ObjectsSnapshot(
                    kind, revision, codec.encode_objects(key_tables)
                )
            case peer_messages.PublishTable(table):
                cache.update_key_tables(codec.decode_objects(table))
                return await keeper.handle_request(request)
            case peer_messages.PublishTableChanges(
                base_revision, changed, base_epoch
            ):
                cache.apply_key_table_changes(
                    codec.decode_objects(changed), base_revision, base_epoch
                )
                return await keeper.handle_request(request)
            case peer_messages.GetObjects(kind):
                return peer_messages.ObjectsSnapshot(
                    kind, 0, codec.encode_objects([])
                )
            case peer_messages.AcquirePermit():
                return await permit_task.answer_peer(request)
            case (
                peer_messages.ReportCrashes()
                | peer_messages.AnnounceSuspect()
                | peer_messages.Completion()
                | peer_messages.QuarantineRequests()
                | peer_messages.GetQuarantine()
            ):
                return await suspect_task.answer_peer(request)
            case peer_messages.GetChanges():
                return await feed.get_changes(request)
            case peer_messages.GetChangedRevisions():
                return await feed.get_changed_revisions(request)
            case _:
                return await keeper.handle_request(request)

    draining = asyncio.Event()
    ingress_server = ingress.Ingress(
        ingress.caller_listener(environment),
        environment.bounds,
        request_handler,
        request_handler.handle,
        draining,
        memory,
        metrics,
    )
    forward_server = ingress.Ingress(
        ingress.gateway_listener(environment),
        environment.bounds,
        request_handler,
        forwarding.create_handler(request_handler.handle),
        draining,
        memory,
        metrics,
    )

    readiness = probes.ProbeServer(
        environment.ready_address,
        functools.partial(_answer_readiness, ingress_server),
    )
    metrics_page = probes.ProbeServer(
        (environment.host, metrics_port),
        functools.partial(_answer_metrics, metrics),
    )
    stop_s = environment.bounds.grace_s
    children = (
        supervision.ChildSpec("peer_client", peer_client.run),
        supervision.ChildSpec(
            "dispatcher",
            dispatch.Dispatcher(
                environment,
                dispatch_inbox,
                prober_inbox,
                metrics,
                keeper.report_soon,
                suspect_inbox.post,
            ).run,
            stop_timeout_s=0.0,
        ),
        supervision.ChildSpec(
            "prober",
            server_probes.ServerProber(prober_inbox, dispatch_inbox.post).run,
            stop_timeout_s=0.0,
        ),
        supervision.ChildSpec("permits", permit_task.run, stop_timeout_s=0.0),
        supervision.ChildSpec("suspects", suspect_task.run, stop_timeout_s=0.0),
        supervision.ChildSpec(
            "quarantine", quarantine_writer.run, stop_timeout_s=0.0
        ),
        supervision.ChildSpec("keeper", keeper.run, stop_timeout_s=1.0),
        supervision.ChildSpec(
            "peers", peers.PeerServer(environment, answer_peer, metrics).run
        ),
        *(
            supervision.ChildSpec(
                f"follower.{kind}", replica.run, stop_timeout_s=0.0
            )
            for kind, replica in replicas.items()
        ),
        supervision.ChildSpec("tables", reader.run, stop_timeout_s=0.0),
        supervision.ChildSpec(
            "registration", registration_task.run, stop_timeout_s=0.0
        ),
        supervision.ChildSpec("departed_vms", departed.run, stop_timeout_s=0.0),
        supervision.ChildSpec(
            "relay", replication_coordinator.run, stop_timeout_s=0.0
        ),
        supervision.ChildSpec("metrics", metrics_page.run),
        supervision.ChildSpec("readiness", readiness.run),
        *(
            (
                supervision.ChildSpec(
                    "forwarding", forward_server.run, stop_timeout_s=stop_s
                ),
            )
            if environment.forward_port
            else ()
        ),
        supervision.ChildSpec(
            "ingress", ingress_server.run, stop_timeout_s=stop_s
        ),
    )
    return supervisor.Supervisor("gateway", children)


def _answer_readiness(
    ingress_server: ingress.Ingress, path: str
) -> probes.ProbeResponse:
    if path == requests.READY_PATH and ingress_server.is_ready:
        return probes.ProbeResponse(http.HTTPStatus.OK)
    return probes.ProbeResponse(http.HTTPStatus.SERVICE_UNAVAILABLE)


def _answer_metrics(
    metrics: counters.Counters, path: str
) -> probes.ProbeResponse:
    if path != METRICS_PATH:
        return probes.ProbeResponse(http.HTTPStatus.NOT_FOUND)
    return probes.ProbeResponse(http.HTTPStatus.OK, exposition.render(metrics))


def _create_replicas(
    create_client: Callable[[], store.StoreClient],
    cache: store_cache.StoreCache,
    on_change: Callable[[], None],
    metrics: counters.Counters,
) -> dict[str, replication.Replica]:
    """Returns a replica for each kind that the gateway needs."""
    publishers = {
        objects.CONFIGURATION_KIND: cache.update_configuration,
        objects.SERVERS_KIND: cache.update_servers,
        objects.EVACUATIONS_KIND: cache.update_evacuations,
        objects.GATEWAY_KIND: cache.update_gateway_objects,
    }
    return {
        kind: replication.Replica(
            kind,
            create_client(),
            publish,
            on_change,
            metrics,
            keeps_expired=kind == objects.SERVERS_KIND,
            keeps_lost=kind in (objects.SERVERS_KIND, objects.EVACUATIONS_KIND),
            timing=_WATCH_TIMINGS.get(kind, replication.WatchTiming()),
        )
        for kind, publish in publishers.items()
    }
