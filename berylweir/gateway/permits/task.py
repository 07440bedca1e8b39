"""The task that gives and gets permits for requests to limited servers."""

import asyncio
import collections
from collections.abc import Callable
import random
import typing

import result

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.peers import messages as peer_messages
from berylweir.gateway.peers import task as peers
from berylweir.gateway.permits import decisions
from berylweir.observability import counters
from berylweir.supervision import mailbox
from berylweir.supervision import models as supervision

_MAILBOX_SIZE = 10_000  # messages; far more than a VM's concurrent requests
# Time for another VM's response, in seconds. Requests to a limited server wait
# for it.
_REPLY_TIMEOUT_S = 0.25
# Schedules that are kept at most; the one that was used longest ago is dropped.
_MAX_SCHEDULES = 2000

Inbox = mailbox.Mailbox[messages.PermitMessage]


def create_inbox() -> Inbox:
    """Returns the mailbox of the permit task."""
    return mailbox.Mailbox("permits", _MAILBOX_SIZE)


class _Schedules:
    """Schedules of the servers that were used last."""

    def __init__(self, choose_phase: Callable[[], float]) -> None:
        """Creates no schedules.

        Args:
            choose_phase: Returns the phase of a new schedule.
        """
        self._choose_phase = choose_phase
        self._schedules: collections.OrderedDict[
            models.ServerInstance, decisions.PermitSchedule
        ] = collections.OrderedDict()

    def of(self, server: models.ServerInstance) -> decisions.PermitSchedule:
        """Returns the schedule of a server; a new one if it has none."""
        schedule = self._schedules.get(server)
        if schedule is None:
            schedule = decisions.PermitSchedule(self._choose_phase())
            self._schedules[server] = schedule
        self._schedules.move_to_end(server)
        if len(self._schedules) > _MAX_SCHEDULES:
            self._schedules.popitem(last=False)
        return schedule


class PermitTask:
    """Counts the requests to some limited servers, and asks for the others."""

    def __init__(
        self,
        local_vm: models.Vm,
        peer_client: peers.PeerClient,
        inbox: Inbox,
        metrics: counters.Counters,
    ) -> None:
        """Creates the task.

        Args:
            local_vm: This VM.
            peer_client: Client for requests to other gateways.
            inbox: Mailbox of the task.
            metrics: Counters.
        """
        self._peer_client = peer_client
        self._inbox = inbox
        self._metrics = metrics
        self._selector = decisions.CounterSelector(local_vm)
        # Requests of all VMs to servers that this VM counts.
        self._counted = _Schedules(lambda: 0.0)
        # Requests of this VM to servers whose counters don't respond. The phase
        # keeps the VMs from sending their first requests at the same time.
        self._own_shares = _Schedules(random.random)

    async def run(self, context: supervision.ChildContext) -> None:
        """Handles messages until the supervisor stops the child."""
        context.report_ready()
        async with asyncio.TaskGroup() as group:
            while True:
                match await self._inbox.get():
                    case messages.VmsChanged(vms):
                        self._selector.update_vms(vms)
                    case messages.CountRequest() as count_request:
                        self._count(count_request)
                    case messages.AcquirePermit() as acquire:
                        group.create_task(self._acquire(acquire))

    def on_store_update(self, message: messages.StoreUpdate) -> None:
        """Passes on the registered gateways."""
        match message:
            case messages.VmsChanged():
                self._inbox.post(message)
            case _:
                pass

    async def answer_peer(
        self, request: peer_messages.AcquirePermit
    ) -> peer_messages.PermitGranted | peer_messages.PermitDenied:
        """Answers another gateway that asks for a permit."""
        loop = asyncio.get_running_loop()
        reply: asyncio.Future[messages.Permit] = loop.create_future()
        self._inbox.post(
            messages.CountRequest(
                models.ServerInstance(request.server, request.born_ms),
                request.rate,
                request.max_wait_s,
                reply,
            )
        )
        permit = await reply
        match permit:
            case messages.PermitGranted(start_s):
                return peer_messages.PermitGranted(start_s - loop.time())
            case messages.PermitDenied(available_s):
                return peer_messages.PermitDenied(available_s - loop.time())
            case _:
                typing.assert_never(permit)

    def _count(self, request: messages.CountRequest) -> None:
        if not request.reply.done():
            request.reply.set_result(
                self._counted.of(request.server).reserve(
                    self._now_s(), request.rate, request.max_wait_s
                )
            )

    async def _acquire(self, acquire: messages.AcquirePermit) -> None:
        permit: messages.Permit = messages.PermitDenied(self._now_s())
        try:
            permit = await self._find_permit(acquire)
        finally:
            if not acquire.reply.done():
                acquire.reply.set_result(permit)

    async def _find_permit(
        self, acquire: messages.AcquirePermit
    ) -> messages.Permit:
        server = acquire.server
        deadline_s = self._now_s() + acquire.max_wait_s
        for step in self._selector.steps(
            server.server, acquire.limit, self._now_s()
        ):
            max_wait_s = max(0.0, deadline_s - self._now_s())
            match step:
                case decisions.AskVm(vm, rate):
                    permit = await self._ask(vm, server, rate, max_wait_s)
                    if permit is not None:
                        return permit
                case decisions.CountHere(rate):
                    return self._counted.of(server).reserve(
                        self._now_s(), rate, max_wait_s
                    )
                case decisions.UseOwnShare(rate):
                    self._metrics.count("gateway.permits.uncounted")
                    return self._own_shares.of(server).reserve(
                        self._now_s(), rate, max_wait_s
                    )
                case _:
                    typing.assert_never(step)
        return messages.PermitDenied(deadline_s)

    async def _ask(
        self,
        vm: models.Vm,
        server: models.ServerInstance,
        rate: float,
        max_wait_s: float,
    ) -> messages.Permit | None:
        """Asks another VM for a permit; returns None if it doesn't respond."""
        self._metrics.count("gateway.permits.asked")
        reply = await self._peer_client.ask(
            vm,
            peer_messages.AcquirePermit(
                server.server, server.born_ms, rate, max_wait_s
            ),
            reply_timeout_s=_REPLY_TIMEOUT_S,
        )
        now_s = self._now_s()
        match reply:
            case result.Ok(peer_messages.PermitGranted(wait_s)):
                self._selector.record_response(vm)
                return messages.PermitGranted(now_s + wait_s)
            case result.Ok(peer_messages.PermitDenied(wait_s)):
                self._selector.record_response(vm)
                return messages.PermitDenied(now_s + wait_s)
            case _:
                self._selector.record_failure(vm, now_s)
                return None

    def _now_s(self) -> float:
        return asyncio.get_running_loop().time()
