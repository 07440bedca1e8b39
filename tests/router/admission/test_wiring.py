"""Tests of a home connected to a keeper and to a backend server."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import itertools
import time

import pynng
import pytest
import result

from berylweir.conf import schemas as conf
from berylweir.objects import schemas
from berylweir.observability import counters
from berylweir.peers import codec
from berylweir.peers import messages as peers
from berylweir.peers import sockets
from berylweir.refusals import models as refusals
from berylweir.router import messages
from berylweir.router.admission import models
from berylweir.router.table import task as table
from berylweir.standin import ports
from berylweir.supervision import models as supervision
from tests import listening

_NUMBERS = itertools.count(1)
_HOMES = (peers.HomeServer("s0", "x", 0.0, (), 0.0),)


class Router:
    """A table task with one home, and the keeper's socket connected to it."""

    def __init__(self, keeper: pynng.Pair0) -> None:
        self.keeper = keeper
        self.routing: asyncio.Future[table.RoutingSnapshot] = (
            asyncio.get_running_loop().create_future()
        )

    def publish(self, routing: table.RoutingSnapshot) -> None:
        """Stores the first routing that has a home."""
        if routing.home_inboxes and not self.routing.done():
            self.routing.set_result(routing)

    async def post(self, message: messages.HomeMessage) -> None:
        """Sends a message to the home."""
        (await self.routing).home_inboxes["files"].post(message)

    async def admit(self, fingerprint: int) -> messages.AdmissionResult:
        """Asks the home to let a request run."""
        reply: asyncio.Future[messages.AdmissionResult] = (
            asyncio.get_running_loop().create_future()
        )
        now = time.monotonic()
        number = next(_NUMBERS)
        ticket = models.Ticket(
            number, None, None, "a", 4, now + 9, True, "", fingerprint, now
        )
        await self.post(messages.Admit(ticket, reply))
        return await reply


@pytest.fixture
async def router() -> AsyncIterator[Router]:
    async def read(reader: asyncio.StreamReader, _: asyncio.StreamWriter):
        await reader.read()

    context = supervision.ChildContext(contextlib.AsyncExitStack())
    port = await context.stack.enter_async_context(listening.listen(read))
    group = schemas.ServerGroup("files", schemas.Unkeyed(), slots=1)
    update = peers.TableUpdate(
        1,
        (group,),
        (schemas.BackendServer("s0", "files", "z", "127.0.0.1", port),),
        (),
        (schemas.Selector("files", "/", "files"),),
        (),
        (
            (
                1,
                schemas.Partition(
                    "files",
                    0,
                    1,
                    schemas.Incarnation("vm-0", "n"),
                    None,
                    homes={"s0": "vm-0"},
                ),
            ),
        ),
    )
    async with context.stack:
        link_port = ports.free_ports(1)[0]
        keeper = pynng.Pair0(listen=f"tcp://127.0.0.1:{link_port}")
        context.stack.callback(keeper.close)
        started = Router(keeper)
        task = asyncio.create_task(
            table.TableTask(
                f"127.0.0.1:{link_port}",
                conf.Settings(
                    conf.VmSection("vm-0", "z"),
                    conf.PlatformSection("http://127.0.0.1"),
                ),
                started.publish,
                counters.Counters(),
            ).run(context)
        )
        for message in (update, peers.HomesUpdate(_HOMES)):
            await sockets.send(keeper, codec.encode(message))
        yield started
        context.stop_event.set()
        await task


class TestSuspects:
    """Suspects sent between homes."""

    async def test_quarantine_of_another_vm_is_applied(self, router: Router):
        """Guards against a request that crashes servers of VM after VM."""
        await router.routing
        message = peers.Suspects(quarantined=((7, 60.0),))
        await sockets.send(router.keeper, codec.encode(message))
        async with asyncio.timeout(5.0):
            while (answer := await router.admit(7)).is_ok():
                await router.post(
                    messages.ExchangeFinished(
                        answer.unwrap(), models.Ending.COMPLETED
                    )
                )
                await asyncio.sleep(0.01)
        assert isinstance(answer.unwrap_err(), refusals.Quarantined)

    async def test_crash_is_reported_to_the_keeper(self, router: Router):
        """Guards against suspects that are not reported to other homes."""
        answer = await router.admit(7)
        await router.post(
            messages.ExchangeFinished(answer.unwrap(), models.Ending.CUT)
        )
        suspected: tuple[tuple[int, float], ...] = ()
        async with asyncio.timeout(5.0):
            while not suspected:
                data = await sockets.receive(router.keeper)
                report = codec.decode_from_router(data).unwrap()
                suspected = report.suspects.suspected
        assert [f for f, _ in suspected] == [7]


class TestWithdraw:
    """Callers that disconnect."""

    async def test_unused_reply_frees_its_slot(self, router: Router):
        """Guards against a lost slot if the caller disconnects at the reply."""
        admitted = (await router.admit(1)).unwrap()
        await router.post(messages.Withdraw(admitted.ticket))
        async with asyncio.timeout(5.0):
            match await router.admit(2):
                case result.Ok(second):
                    assert second.connection is admitted.connection
                case result.Err(refusal):
                    raise AssertionError(refusal)


class TestReturn:
    """A server that leaves this VM and returns."""

    async def test_requests_in_flight_still_count(self, router: Router):
        """Guards against more requests in flight than slots after a return."""
        first = (await router.admit(1)).unwrap()
        for homes in ((), _HOMES):
            update = peers.HomesUpdate(homes)
            await sockets.send(router.keeper, codec.encode(update))

        async def admit_after_return() -> None:
            while (await router.admit(2)).is_err():
                await asyncio.sleep(0.01)

        second = asyncio.create_task(admit_after_return())
        await asyncio.sleep(0.3)
        assert not second.done()
        await router.post(
            messages.ExchangeFinished(first, models.Ending.COMPLETED)
        )
        async with asyncio.timeout(5.0):
            await second
