"""The supervisor tree of the administration API."""

from berylweir import httpd
from berylweir import tls
from berylweir.api import admin_service
from berylweir.api import app
from berylweir.api import changes
from berylweir.api import messages
from berylweir.api import queries
from berylweir.api.access import task as access
from berylweir.conf import schemas as conf
from berylweir.observability import counters
from berylweir.observability import statsd_task
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision
from berylweir.supervision import supervisor

_CHANGE_QUEUE_SIZE = 256
_QUERY_QUEUE_SIZE = 1024
_SHUTDOWN_TIMEOUT_S = 5.0


def build(
    settings: conf.Settings, metrics: counters.Counters
) -> supervisor.Supervisor:
    """Returns the root supervisor of the administration API.

    Args:
        settings: Settings of this entry VM.
        metrics: Counters of the process.
    """
    change_inbox: mailbox.Mailbox[messages.SubmitChange] = mailbox.Mailbox(
        "api.changes", _CHANGE_QUEUE_SIZE
    )
    query_inbox: mailbox.Mailbox[messages.Query] = mailbox.Mailbox(
        "api.queries", _QUERY_QUEUE_SIZE
    )
    platform = settings.platform
    address = settings.vm.address
    host = f"[{address}]" if ":" in address else address
    status_url = f"http://{host}:{settings.keeper.status_port}"
    certificate = tls.TlsTask(
        settings.api.certificate, settings.api.private_key, metrics
    )
    tokens = access.TokensTask(settings.api.tokens, metrics)
    application = app.create_app(
        admin_service.AdminService(tokens, change_inbox, query_inbox, metrics)
    )

    async def listen(context: supervision.ChildContext) -> None:
        server, serve_task = await httpd.start(
            context.stack,
            application,
            address,
            settings.api.port,
            shutdown_s=_SHUTDOWN_TIMEOUT_S,
            tls=certificate.context,
        )
        context.report_ready()
        await context.stop_event.wait()
        server.should_exit = True
        await serve_task

    children = (
        statsd_task.create_child(settings.observability, metrics),
        supervision.ChildSpec("tokens", tokens.run),
        supervision.ChildSpec("tls", certificate.run),
        supervision.ChildSpec(
            "queries",
            queries.QueryTask(
                settings.vm.name,
                platform.url,
                platform.timeout_s,
                status_url,
                query_inbox,
                metrics,
            ).run,
        ),
        supervision.ChildSpec(
            "changes",
            changes.ChangeTask(
                platform.url,
                platform.timeout_s,
                status_url,
                change_inbox,
                metrics,
            ).run,
        ),
        supervision.ChildSpec(
            "listener", listen, stop_timeout_s=_SHUTDOWN_TIMEOUT_S + 1.0
        ),
    )
    return supervisor.Supervisor("api", children)
