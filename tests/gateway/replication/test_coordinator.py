"""Tests of the choice between the store and upstreams."""

import asyncio
import contextlib

import result

from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.peers import messages as peers
from berylweir.gateway.replication import coordinator
from berylweir.gateway.replication import upstreams
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.supervision import models as supervision

_WAIT_S = 10.0


def gateway_vm(name: str, revision: int) -> models.Vm:
    """Returns a registered gateway; the lowest revisions are the watchers."""
    return models.Vm(name, "i", "127.0.0.1", 1, "a", revision)


class Inbox:
    """Keeps the messages that a replica would receive."""

    def __init__(self) -> None:
        self.messages: list[object] = []

    def post(self, message: object) -> None:
        """Stores a message."""
        self.messages.append(message)


class Replica:
    """A loaded replica that never changes."""

    def __init__(self) -> None:
        self.inbox = Inbox()
        self.revision = 5
        self.is_loaded = True
        self.is_current = True
        self.is_store_lost = False


class Client:
    """Answers like upstreams of which only the standby is current."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, type]] = []
        self.changes_requested = asyncio.Event()
        self.standby = ""

    async def ask(self, vm, request, *, max_hold_s=0.0):
        """Records a request and returns the answer of the upstream."""
        self.requests.append((vm.name, type(request)))
        if isinstance(request, peers.GetChangedRevisions):
            self.standby = self.standby or vm.name
        await asyncio.sleep(0.02)
        is_current = vm.name == self.standby
        match request:
            case peers.GetChangedRevisions():
                return result.Ok(
                    peers.ChangedRevisions(
                        is_current,
                        {objects.SERVERS_KIND: 6} if is_current else {},
                    )
                )
            case _:
                if is_current:
                    self.changes_requested.set()
                    await asyncio.sleep(3600)
                return result.Ok(peers.Changes(is_current=False))


@contextlib.asynccontextmanager
async def running(local: models.Vm, client: Client, others: int):
    """Runs the coordinator of a gateway beside older gateways."""
    registered = asyncio.Event()
    registered.set()
    relay = coordinator.ReplicationCoordinator(
        local,
        client,
        {
            kind: Replica()
            for kind in (objects.CONFIGURATION_KIND, objects.SERVERS_KIND)
        },
        registered,
        counters.Counters(),
    )
    vms = [gateway_vm(f"w-{n}", n + 1) for n in range(others)]
    relay.on_store_update(
        messages.VmsChanged({vm.name: vm for vm in (*vms, local)})
    )
    context = supervision.ChildContext(contextlib.AsyncExitStack())
    task = asyncio.create_task(relay.run(context))
    try:
        yield relay
    finally:
        task.cancel()
        await asyncio.wait((task,))


class TestStandby:
    """Changes that only the standby upstream knows of."""

    async def test_are_requested_once_the_primary_is_not_current(self):
        """Guards against an old configuration while watchers lose the store."""
        client = Client()
        local = gateway_vm("local", 100)
        async with running(local, client, upstreams.WATCHER_COUNT):
            async with asyncio.timeout(_WAIT_S):
                await client.changes_requested.wait()
            # Upstreams that aren't current are asked again every 0.1 s; a
            # wait of the full standby delay would be many such requests.
            polls_of_lost = [
                name
                for name, kind in client.requests
                if kind is peers.GetChanges and name != client.standby
            ]
            assert len(polls_of_lost) <= 2 * upstreams.WATCHER_COUNT


class TestIdle:
    """A gateway to which nothing happens."""

    async def test_watcher_does_not_decide_again(self, monkeypatch):
        """Guards against periodic wake-ups, which each VM pays for."""
        local = gateway_vm("local", 0)
        async with running(local, Client(), 1) as relay:
            await asyncio.sleep(2.0)
            decisions = []
            monkeypatch.setattr(
                relay, "_post_modes", lambda: decisions.append(1)
            )
            await asyncio.sleep(1.0)
            assert not decisions
