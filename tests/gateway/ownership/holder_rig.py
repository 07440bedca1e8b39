"""A keeper on virtual time, with fakes in place of all sockets."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib
import random
import selectors
from typing import Any
from unittest import mock

import msgspec
import result

from berylweir.gateway import clock
from berylweir.gateway import messages
from berylweir.gateway import models
from berylweir.gateway.ownership import grant_client
from berylweir.gateway.ownership import task
from berylweir.gateway.peers import exceptions as peer_exceptions
from berylweir.gateway.peers import messages as peers
from berylweir.observability import counters
from berylweir.platform import exceptions
from berylweir.platform import grants
from berylweir.platform import objects
from berylweir.platform import store
from berylweir.supervision import models as supervision
from berylweir.supervision import supervisor

GROUP = models.ServerGroup("slots", 100, 8.0, True)
_VM_NAMES = ("me", "b", "c", "d")
_VMS = {
    name: models.Vm(name, f"run-{name}", "127.0.0.1", 1, "a")
    for name in _VM_NAMES
}
_SLOTS = 3
_SERVICE_MS = 100.0
# Requests per second of the busy keys, which two servers can just serve.
_BUSY_RATE = 40.0
_REPORT_INTERVAL_S = 0.5


class _VirtualSelector(selectors.SelectSelector):
    """Lets time pass at once instead of waiting for events."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout=None):
        """Advances the time by the timeout."""
        assert timeout is not None, "nothing is left to wait for"
        self.now_s += timeout
        return super().select(0)


def run(scenario: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine on virtual time, which is the boot clock as well."""
    selector = _VirtualSelector()
    loop = asyncio.SelectorEventLoop(selector)
    with (
        mock.patch.object(loop, "time", lambda: selector.now_s),
        mock.patch.object(clock, "boot_s", lambda: selector.now_s),
        asyncio.Runner(loop_factory=lambda: loop) as runner,
    ):
        runner.run(scenario)


class Store:
    """Client of a store, whose calls can fail before or after their effect."""

    generation = 0

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._revision = 0
        self.objects: dict[str, store.StoredObject] = {}
        self.failure_ratio = 0.0

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Ignores the listener, as the store is never restored."""

    def close(self) -> None:
        """Does nothing, as there are no connections."""

    def put(self, name: str, spec: bytes) -> store.StoredObject:
        """Writes an object without a condition."""
        self._revision += 1
        self.objects[name] = store.build_stored_object(
            name, self._revision, msgspec.Raw(spec), msgspec.Raw(b"null")
        )
        return self.objects[name]

    async def get(self, kind: str, name: str):
        """Reads an object."""
        return await self._call(
            lambda: (
                result.Ok(self.objects[name])
                if name in self.objects
                else result.Err(exceptions.Missing(name))
            )
        )

    async def create(self, kind: str, name: str, spec: bytes):
        """Writes an object that doesn't exist."""
        return await self.replace(kind, name, spec, 0)

    async def replace(self, kind: str, name: str, spec: bytes, revision: int):
        """Writes an object if it is of a revision; 0 if it doesn't exist."""

        def write():
            current = self.objects.get(name)
            if (current.revision if current else 0) == revision:
                return result.Ok(self.put(name, spec))
            if current is None:
                return result.Err(exceptions.Missing(name))
            return result.Err(
                exceptions.Conflict(name, msgspec.json.encode(current))
            )

        return await self._call(write)

    async def _call(self, apply: Callable[[], Any]):
        await asyncio.sleep(self._rng.uniform(0.001, 0.02))
        if self._rng.random() >= self.failure_ratio:
            return apply()
        if self._rng.random() < 0.5:
            apply()
        await asyncio.sleep(0.2)
        return result.Err(exceptions.Unreachable("call", "injected"))


class Server:
    """A backend server that checks tokens and may not answer.

    Attributes:
        faults: Outcomes of which one replaces each answer; empty if it answers.
    """

    address = ("127.0.0.1", 1)

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._tokens: list[tuple[int, int, int]] = []
        self.faults: tuple[grant_client.SendOutcome | None, ...] = ()

    async def send(self, command: grants.Command) -> grant_client.SendOutcome:
        """Carries out a command, or injects a fault."""
        await asyncio.sleep(self._rng.uniform(0.001, 0.03))
        fault = self._rng.choice(self.faults) if self.faults else None
        match fault:
            case grant_client.NoResponse():
                if self._rng.random() < 0.5:
                    self._apply(command)
                await asyncio.sleep(0.5)
                return fault
            case None:
                return self._apply(command)
            case _:
                return fault

    def _apply(self, command: grants.Command) -> grant_client.SendOutcome:
        if any(
            first <= command.last and last >= command.first
            for first, last, token in self._tokens
            if token > command.token
        ):
            return grants.Superseded()
        self._tokens.append((command.first, command.last, command.token))
        return grants.Accepted(None)

    def close(self) -> None:
        """Does nothing, as there are no connections."""


def instance(name: str) -> models.ServerInstance:
    """Returns the first instance of a server."""
    return models.ServerInstance(name, 1)


class Deployment:
    """A keeper, its store, servers and the reports of the other VMs.

    Attributes:
        servers: Backend servers by name.
        entries: Entries of the registered servers by name.
        silent_vms: Names of the VMs that don't report or respond.
        dispatcher_losses: Requests for the usage that the dispatcher is still
            to lose.
        dispatcher_crashes: Requests for the usage that crash the keeper.
        busy_keys: Keys that get the requests.
        responding_holder: VM that responds as the holder of the lease; empty
            if no other one does.
        reports: Number of reports that this VM sent to it.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self.store = Store(rng)
        self.metrics = counters.Counters()
        self.servers: dict[str, Server] = {}
        self.entries: dict[str, models.BackendServer] = {}
        self.silent_vms: set[str] = set()
        self.dispatcher_losses = 0
        self.dispatcher_crashes = 0
        self.busy_keys: list[int] = []
        self.responding_holder = ""
        self.reports = 0
        self._inbox = task.create_inbox()
        self.keeper = task.Keeper(
            _VMS["me"],
            self.store,
            self.store,
            self,
            self._inbox,
            self,
            lambda tables: None,
            dict,
            lambda: None,
            lambda: True,
            self.metrics,
            models.Bounds(),
        )

    @contextlib.asynccontextmanager
    async def run(self):
        """Runs the keeper and the other VMs' reports."""
        async with contextlib.AsyncExitStack() as stack:
            stack.enter_context(
                mock.patch.object(
                    grant_client,
                    "GrantClient",
                    lambda name, *_: self.servers[name],
                )
            )
            self._inbox.post(
                messages.ConfigurationChanged(
                    models.Configuration(
                        "1", 1, (), {"slots": GROUP}, models.CallerLimits()
                    )
                )
            )
            self._inbox.post(messages.VmsChanged(_VMS))
            tree = supervisor.Supervisor(
                "test",
                (supervision.ChildSpec("keeper", self.keeper.run),),
                intensity=supervision.Intensity(100, 1.0),
            )
            context = supervision.ChildContext(
                await stack.enter_async_context(contextlib.AsyncExitStack())
            )
            for work in (tree.run(context), self._report()):
                running = asyncio.create_task(work)
                stack.callback(running.cancel)
            yield self

    def add_server(self, name: str) -> None:
        """Registers a server, or its next instance."""
        number = len(self.entries)
        known = self.entries.get(name)
        self.servers[name] = Server(self._rng)
        self.entries[name] = models.BackendServer(
            name,
            1 if known is None else known.born_ms + 1,
            GROUP.name,
            "127.0.0.1",
            number + 1 if known is None else known.port,
            "a",
            _SLOTS,
            False,
            0.0,
            1,
        )
        self._inbox.post(messages.ServersChanged(dict(self.entries)))

    def announce_table(self) -> None:
        """Tells the keeper of the table that the store has."""
        self._inbox.post(messages.KeyTableChanged(self.table))

    def replace_holder(self) -> None:
        """Has another gateway take the lease, and end at once."""
        stored = self.store.objects.get(objects.LEASE_NAME)
        if stored is not None:
            lease = objects.decode_gateway_object(stored).ok_value
            self.set_lease("b", lease.epoch + 1)

    def set_lease(self, holder: str, epoch: int) -> None:
        """Writes the lease as another gateway would."""
        spec = objects.encode_lease(
            models.Lease(holder, f"run-{holder}", epoch, 0)
        )
        stored = self.store.put(objects.LEASE_NAME, spec)
        lease = models.Lease(holder, f"run-{holder}", epoch, stored.revision)
        self._inbox.post(messages.LeaseChanged(lease))

    def announce_no_lease(self) -> None:
        """Tells the keeper that the store has no lease."""
        self._inbox.post(messages.LeaseChanged(None))

    @property
    def table(self) -> models.KeyTable | None:
        """The key table as the store has it."""
        stored = self.store.objects.get(GROUP.name)
        return None if stored is None else objects.decode_table(stored).ok_value

    def busy_owners(self) -> set[models.ServerInstance | None]:
        """Returns the owners of the busy keys, also of those that move."""
        return {
            r.owner
            for r in self.table.ranges
            if any(r.first <= key <= r.last for key in self.busy_keys)
        }

    def make_uneven(self) -> None:
        """Has all requests use keys of one server from now on."""
        widest = max(self.table.ranges, key=lambda r: r.last - r.first)
        step = (widest.last - widest.first) // 65
        assert step > 0
        self.busy_keys = [widest.first + n * step for n in range(1, 65)]

    async def ask(self, vm: models.Vm, request: peers.Request):
        """Responds as another gateway."""
        if vm.name in self.silent_vms:
            await asyncio.sleep(0.5)
            return result.Err(
                peer_exceptions.PeerUnresponsive(vm.name, "injected")
            )
        await asyncio.sleep(0.002)
        is_holder = vm.name == self.responding_holder
        self.reports += is_holder and isinstance(request, peers.ReportUsage)
        return result.Ok(peers.GatewayStatus(vm.incarnation, 1, is_holder))

    def post(self, message: messages.CollectKeyUsage) -> None:
        """Replies as the dispatcher with this VM's usage."""
        if self.dispatcher_crashes > 0:
            self.dispatcher_crashes -= 1
            raise RuntimeError("injected by the test")
        if self.dispatcher_losses > 0:
            self.dispatcher_losses -= 1
        elif not message.reply.done():
            message.reply.set_result(self._usage("me"))

    async def _report(self) -> None:
        """Reports the requests of the other VMs."""
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            for vm in _VM_NAMES[1:]:
                if vm not in self.silent_vms:
                    await self.keeper.handle_request(
                        peers.encode_usage(self._usage(vm))
                    )

    def _usage(self, vm: str) -> messages.KeyUsage:
        count = int(_BUSY_RATE * _REPORT_INTERVAL_S / len(_VM_NAMES))
        keys = (
            self._rng.choices(self.busy_keys, k=count) if self.busy_keys else []
        )
        owners = self.busy_owners() if keys else set()
        return messages.KeyUsage(
            vm,
            {GROUP.name: tuple(keys)},
            {
                owner.server: messages.ServerUsage(count, 0, _SERVICE_MS)
                for owner in owners
            },
        )
