"""Tests of the keeper task as a child of its supervisor."""

import asyncio
import contextlib

import result

from berylweir.gateway import clock
from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import task
from berylweir.gateway.peers import exceptions
from berylweir.gateway.peers import messages as peers
from berylweir.observability import counters
from berylweir.platform import settings
from berylweir.platform import store
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import store as store_standin
from berylweir.supervision import models as supervision
from berylweir.supervision import supervisor
from tests.gateway import rig

_GROUP = models.ServerGroup("slots", 100, 8.0, True)
_VMS = {
    name: models.Vm(name, f"run-{name}", "127.0.0.1", 1, "a")
    for name in ("me", "other")
}


class GrantRecorder:
    """A backend server that accepts all commands.

    Attributes:
        grants_s: When it got grants, on the boot clock, in seconds.
        is_silent: Whether it doesn't answer any more.
    """

    def __init__(self) -> None:
        self.grants_s: list[float] = []
        self.is_silent = False

    async def handle(self, request: http.Request) -> http.Response | None:
        """Accepts a command, unless it is silent."""
        if self.is_silent:
            await asyncio.sleep(3600.0)
        if request.path.endswith("/grant"):
            self.grants_s.append(clock.boot_s())
        return http.Response(200)


class CrashingDispatcher:
    """Mailbox of a dispatcher, which raises an error on request."""

    def __init__(self) -> None:
        self.crashes = 0
        self._is_crash_due = False

    def crash(self) -> None:
        """Has the next message raise an error."""
        self._is_crash_due = True

    def post(self, message: messages.CollectKeyUsage) -> None:
        """Replies that no keys were used."""
        if self._is_crash_due:
            self._is_crash_due = False
            self.crashes += 1
            raise RuntimeError("injected by the test")
        message.reply.set_result(messages.KeyUsage("me", {}, {}))


class PublishedTables:
    """Client for the other gateways, which counts published tables."""

    def __init__(self) -> None:
        self.tables = 0

    async def ask(self, vm: models.Vm, request: peers.Request):
        """Doesn't respond."""
        if isinstance(request, peers.PublishTable | peers.PublishTableChanges):
            self.tables += 1
        await asyncio.sleep(0.01)
        return result.Err(exceptions.PeerUnresponsive(vm.name, "silent"))


class TestRestart:
    """A keeper that holds the lease and is restarted after a crash."""

    @contextlib.asynccontextmanager
    async def run_keeper(self):
        """Runs a keeper that has granted all keys to one server.

        Yields:
            The test itself, which has the parts of the rig.
        """
        async with contextlib.AsyncExitStack() as stack:
            port = await http.listen(stack, store_standin.Store().handle)
            address = settings.StoreAddress(("127.0.0.1", port))
            self.dispatcher = CrashingDispatcher()
            self.gateways = PublishedTables()
            self.inbox = task.create_inbox()
            self.servers = {"s1": GrantRecorder(), "s2": GrantRecorder()}
            self.entries = {
                name: models.BackendServer(
                    name,
                    1,
                    _GROUP.name,
                    "127.0.0.1",
                    await http.listen(stack, server.handle),
                    "a",
                    3,
                    False,
                    0.0,
                    1,
                )
                for name, server in self.servers.items()
            }
            keeper = task.Keeper(
                _VMS["me"],
                store.StoreClient(address),
                store.StoreClient(address),
                self.gateways,
                self.inbox,
                self.dispatcher,
                lambda tables: None,
                dict,
                lambda: None,
                lambda: True,
                counters.Counters(),
                models.Bounds(),
            )
            self.inbox.post(
                messages.ConfigurationChanged(
                    models.Configuration(
                        "1", 1, (), {"slots": _GROUP}, models.CallerLimits()
                    )
                )
            )
            self.inbox.post(messages.VmsChanged(_VMS))
            self.inbox.post(messages.ServersChanged({"s1": self.entries["s1"]}))
            self.inbox.post(messages.LeaseChanged(None))
            tree = supervisor.Supervisor(
                "test", (supervision.ChildSpec("keeper", keeper.run),)
            )
            context = supervision.ChildContext(
                await stack.enter_async_context(contextlib.AsyncExitStack())
            )
            running = asyncio.create_task(tree.run(context))
            stack.callback(running.cancel)
            await rig.until(lambda: bool(self.servers["s1"].grants_s))
            yield self

    async def crash(self) -> None:
        """Crashes the keeper."""
        self.dispatcher.crash()
        await rig.until(lambda: self.dispatcher.crashes == 1)

    async def test_grants_are_renewed_after_a_restart(self):
        """Guards against keys that expire, as the clients are closed.

        No server is announced again, since none has changed.
        """
        async with self.run_keeper():
            await self.crash()
            grants_s = self.servers["s1"].grants_s
            last_s = grants_s[-1]
            count = len(grants_s)
            await rig.until(lambda: len(grants_s) > count)
            assert grants_s[count] - last_s < grant_expiry.GRANT_DURATION_S

    async def test_tables_are_published_after_a_restart(self):
        """Guards against gateways that don't learn of moves any more."""
        async with self.run_keeper():
            await self.crash()
            published = self.gateways.tables
            await rig.until(lambda: self.gateways.tables > published + 1)

    async def test_grants_of_before_a_restart_expire_first(self):
        """Guards against a second owner, as the expiry is forgotten."""
        async with self.run_keeper():
            silent = self.servers["s1"]
            silent.is_silent = True
            await self.crash()
            self.inbox.post(messages.ServersChanged({"s2": self.entries["s2"]}))
            granted_s = self.servers["s2"].grants_s
            await rig.until(lambda: bool(granted_s))
            waited_s = granted_s[0] - silent.grants_s[-1]
            assert waited_s >= grant_expiry.GRANT_DURATION_S
