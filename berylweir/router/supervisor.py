"""The supervisor tree of a router."""

from berylweir import tls
from berylweir.conf import schemas as conf
from berylweir.observability import counters
from berylweir.observability import statsd_task
from berylweir.observability import tracing
from berylweir.router.backends import peers
from berylweir.router.backends import pool
from berylweir.router.ingress import forwarding
from berylweir.router.ingress import models
from berylweir.router.ingress import task as ingress_task
from berylweir.router.table import task as table
from berylweir.supervision import models as supervision
from berylweir.supervision import supervisor

_MAX_PEER_CONNECTIONS = 256
# The supervisor waits this much longer than the shutdown time for a listener
# to stop.
_STOP_MARGIN_S = 5.0


def build(
    settings: conf.Settings, metrics: counters.Counters
) -> supervisor.Supervisor:
    """Returns the root supervisor of a router.

    Args:
        settings: Settings of this VM.
        metrics: Counters of the process.
    """
    router = settings.router
    peer_pools = peers.PeerPools(
        pool.PoolLimits(
            _MAX_PEER_CONNECTIONS,
            router.connection_age_s,
            router.connect_timeout_s,
        )
    )
    limits = models.Limits(
        router.max_header_bytes,
        router.max_body_bytes,
        router.max_key_bytes,
        router.body_timeout_s,
        router.default_deadline_s,
        router.max_deadline_s,
    )
    ingress = forwarding.Ingress(
        settings.vm.name,
        limits,
        peer_pools,
        metrics,
        settings.admission.retry_budget,
    )
    certificate = tls.TlsTask(router.certificate, router.private_key, metrics)
    stop_s = router.shutdown_s + _STOP_MARGIN_S
    callers = ingress_task.CallerHandler(ingress, metrics)

    async def run_peer_pools(context: supervision.ChildContext) -> None:
        context.stack.callback(peer_pools.close)
        context.report_ready()
        await context.stop_event.wait()

    async def run_tracing(context: supervision.ChildContext) -> None:
        ingress.set_tracer(
            tracing.open_tracer(
                context.stack, settings.observability, settings.vm.name
            )
        )
        context.report_ready()
        await context.stop_event.wait()

    children = (
        statsd_task.create_child(settings.observability, metrics),
        supervision.ChildSpec("tracing", run_tracing),
        supervision.ChildSpec("peer_pools", run_peer_pools),
        supervision.ChildSpec("tls", certificate.run),
        supervision.ChildSpec(
            "table",
            table.TableTask(
                f"127.0.0.1:{settings.keeper.link_port}",
                settings,
                ingress.set_routing,
                metrics,
            ).run,
        ),
        supervision.ChildSpec(
            "peer_listener",
            ingress_task.ListenerTask(
                ingress.serve_peer,
                settings.vm.address,
                router.peer_port,
                ingress,
                limits,
                router.shutdown_s,
                metrics,
            ).run,
            stop_timeout_s=stop_s,
        ),
        supervision.ChildSpec(
            "caller_listener",
            ingress_task.ListenerTask(
                callers.serve,
                settings.vm.address,
                router.port,
                ingress,
                limits,
                router.shutdown_s,
                metrics,
                certificate,
            ).run,
            stop_timeout_s=stop_s,
        ),
    )
    return supervisor.Supervisor("router", children)
