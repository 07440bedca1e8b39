"""Tests of the home task."""

import asyncio
import contextlib
import dataclasses
import time

from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.refusals import models as refusals
from berylweir.router import messages
from berylweir.router.admission import models as admission
from berylweir.router.backends import home
from berylweir.router.backends import pool
from berylweir.standin import deployment
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision
from tests import listening


def _ticket(number: int) -> admission.Ticket:
    return admission.Ticket(
        number, "s", None, "c", 4, 1e12, True, "", number, 0.0
    )


class TestHomeTask:
    """Requests to a home that has ended."""

    async def test_requests_of_an_ended_home_are_refused(self):
        """Guards against a request that waits for a home that has ended.

        The ingress may still offer requests to the mailbox after the home has
        ended and before it receives the next routing snapshot. Without a
        refusal they would wait until their deadline.
        """
        inbox: mailbox.Mailbox[messages.HomeMessage] = mailbox.Mailbox("h", 9)
        task = home.HomeTask(
            admission.Limits("g", 1),
            pool.PoolLimits(1, 1.0, 1.0),
            inbox,
            lambda _: None,
            counters.Counters(),
        )
        stack = contextlib.AsyncExitStack()
        context = supervision.ChildContext(stack)

        async def run() -> None:
            async with stack:
                await task.run(context)

        home_run = asyncio.create_task(run())
        await context.ready_event.wait()
        reply: asyncio.Future[messages.AdmissionResult] = asyncio.Future()
        context.stop_event.set()
        assert inbox.offer(messages.Admit(_ticket(1), reply)).is_ok()
        await home_run
        assert reply.result().unwrap_err() in (
            refusals.NotHome("g"),
            refusals.NotHome("s"),
        )
        late_reply: asyncio.Future[messages.AdmissionResult] = asyncio.Future()
        offered = inbox.offer(messages.Admit(_ticket(2), late_reply))
        assert offered.unwrap_err() == mailbox.MailboxClosed("h")


class TestTakenSlice:
    """A slice that is taken away while a connection is opened."""

    async def test_request_is_refused(self):
        """Guards against a request that is sent without a fencing token.

        A server that doesn't check grants would execute it as the owner.
        """
        inbox: mailbox.Mailbox[messages.HomeMessage] = mailbox.Mailbox("h", 9)
        task = home.HomeTask(
            admission.Limits("g", 1),
            pool.PoolLimits(1, 9.0, 1.0),
            inbox,
            lambda _: None,
            counters.Counters(),
        )
        runner = deployment.ChildRunner(task.run)
        await runner.start()

        async def serve(
            reader: asyncio.StreamReader, _: asyncio.StreamWriter
        ) -> None:
            await reader.read()

        group = schemas.ServerGroup("g", schemas.Keyed(1, checks_grants=False))
        authority = admission.Authority(
            "s", "i", time.monotonic() + 60.0, {0: 7}, 0.0
        )
        ticket = dataclasses.replace(_ticket(1), server="s", slice=0)
        reply: asyncio.Future[messages.AdmissionResult] = asyncio.Future()
        async with listening.listen(serve) as port, asyncio.timeout(10.0):
            server = schemas.BackendServer("s", "g", "a", "127.0.0.1", port)
            inbox.post(messages.Authorities(group, ((server, authority),)))
            inbox.post(messages.Admit(ticket, reply))
            without_slice = dataclasses.replace(authority, tokens={})
            inbox.post(messages.Authorities(group, ((server, without_slice),)))
            outcome = await reply
            await runner.stop()
        assert outcome.unwrap_err() == refusals.NotHome("s")
