"""Tests of the home task."""

import asyncio
import contextlib

from berylweir.observability import counters
from berylweir.refusals import models as refusals
from berylweir.router import messages
from berylweir.router.admission import models as admission
from berylweir.router.backends import home
from berylweir.router.backends import pool
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision


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
