"""Tests of when the load balancer may send callers to a gateway."""

import asyncio
import contextlib

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.body_memory import budget
from berylweir.gateway.dispatch import task as dispatch
from berylweir.gateway.exchange import handler
from berylweir.gateway.ingress import task as ingress
from berylweir.gateway.permits import task as permits
from berylweir.observability import counters
from berylweir.standin import ports
from berylweir.supervision import models as supervision
from tests.gateway import rig


class TestReadiness:
    """Readiness of the listener for callers."""

    async def test_gateway_is_ready_before_it_listens(self):
        """Guards against callers whose connections are refused.

        The readiness check is served while the last parts of the gateway start.
        """
        metrics = counters.Counters()
        memory = budget.BodyMemory(1_000_000, metrics)
        request_handler = handler.RequestHandler(
            "vm-0",
            dispatch.create_inbox(),
            permits.create_inbox(),
            memory,
            metrics,
        )
        address = ("127.0.0.1", ports.free_ports(1)[0])
        environment = models.Environment(
            vm="vm-0",
            host="127.0.0.1",
            availability_zone="a",
            caller_address=address,
            ready_address=address,
            peer_port=1,
            store_address=address,
            bounds=models.Bounds(),
        )
        server = ingress.Ingress(
            ingress.caller_listener(environment),
            environment.bounds,
            request_handler,
            request_handler.handle,
            asyncio.Event(),
            memory,
            metrics,
        )
        configuration = models.Configuration(
            "1", 1, (), {}, models.CallerLimits()
        )
        request_handler.on_store_update(
            messages.ConfigurationChanged(configuration)
        )
        assert not server.is_ready
        async with contextlib.AsyncExitStack() as stack:
            context = supervision.ChildContext(stack)
            task = asyncio.create_task(server.run(context))
            stack.callback(task.cancel)
            await rig.until(lambda: server.is_ready)
            _, writer = await asyncio.open_connection(*address)
            writer.close()
        assert not server.is_ready
