"""Tests of the renewal of grants and the execution of moves."""

import asyncio
from collections.abc import Mapping
import contextlib
import dataclasses
from unittest import mock

from berylweir.gateway import clock
from berylweir.gateway import models
from berylweir.gateway.ownership import grant_client
from berylweir.gateway.ownership import grant_expiry
from berylweir.gateway.ownership import granting
from berylweir.gateway.ownership import models as ownership
from berylweir.gateway.ownership import tables
from berylweir.observability import counters
from berylweir.platform import grants
from berylweir.router.backends import connection as http
from tests.gateway.ownership import holder_rig

_INSTANCES = [
    models.ServerInstance(name, 1) for name in ("from", "target", "next")
]
_EARLIER_KEEPER_ACTS_S = 0.5


def create_granter(
    tables_by_group: Mapping[str, models.KeyTable],
    servers: Mapping[models.ServerInstance, "FakeServer"],
    **options,
) -> granting.Granter:
    """Returns a granter that may act and reaches the servers."""
    granter = granting.Granter(
        tables_by_group.get,
        lambda: True,
        lambda: None,
        lambda: None,
        lambda: None,
        counters.Counters(),
        **options,
    )
    granter._clients.update(servers)
    return granter


class FakeServer:
    """Accepts commands except for keys whose commands can't be sent.

    Attributes:
        address: Host and port, as of the real client.
        granted_s: Boot time of the first grant, by the first key of its range.
    """

    address = ("127.0.0.1", 1)

    def __init__(
        self, unreachable_keys: range, *, releases: bool = True
    ) -> None:
        self._unreachable_keys = unreachable_keys
        self._releases = releases
        self.granted_s: dict[int, float] = {}

    async def send(self, command: grants.Command) -> grant_client.SendOutcome:
        """Returns the outcome of a command without a delay."""
        await asyncio.sleep(0)
        if command.first in self._unreachable_keys:
            return grant_client.NotSent()
        if isinstance(command, grants.Release) and not self._releases:
            return grants.Rejected(503)
        if isinstance(command, grants.Grant):
            self.granted_s.setdefault(command.first, clock.boot_s())
        return grants.Accepted("warm")

    def close(self) -> None:
        """Does nothing, as there are no connections."""


class TestGranter:
    """Moves that an earlier keeper has started."""

    async def test_moved_keys_wait_for_the_grants_of_an_earlier_keeper(self):
        """Guards against a second owner granted by an earlier keeper.

        It may still grant moving keys to the target of the move, so this keeper
        must not move them on before such a grant has expired.
        """
        source, target, new_target = _INSTANCES
        table = tables.create("g", [source, target], 1)
        moved_keys = range(0, 100)
        table_with_move = tables.start_moves(
            table, [ownership.Move(0, 99, target)]
        )
        table_with_move = tables.raise_tokens(table_with_move, 2)
        tables_by_group = {"g": table_with_move}
        servers = {
            source: FakeServer(range(0)),
            target: FakeServer(moved_keys),
            new_target: FakeServer(range(0)),
        }
        granter = create_granter(tables_by_group, servers)
        started_s = clock.boot_s()
        granter.start_epoch(started_s + _EARLIER_KEEPER_ACTS_S)
        granter.apply_table(table_with_move)
        await asyncio.sleep(0.3)
        # The target has accepted a grant of its other keys only.
        assert list(servers[target].granted_s) == [models.KEY_COUNT // 2]
        moved_again = tables.start_moves(
            table_with_move, [ownership.Move(0, 99, new_target)]
        )
        tables_by_group["g"] = dataclasses.replace(moved_again, revision=2)
        granter.apply_table(tables_by_group["g"])
        async with asyncio.timeout(30):
            while 0 not in servers[new_target].granted_s:
                await asyncio.sleep(0.01)
        granter.close()
        waited_s = servers[new_target].granted_s[0] - started_s
        assert (
            waited_s >= _EARLIER_KEEPER_ACTS_S + grant_expiry.GRANT_DURATION_S
        )


class TestRefusedReleases:
    """Moves whose source gets grants of other keys but releases none."""

    def test_keys_move_once_the_last_grant_of_them_has_expired(self):
        """Guards against a wait that each renewal of other keys extends."""
        holder_rig.run(self.move())

    async def move(self) -> None:
        """Moves keys of a source that never accepts all of its grants."""
        source, target, _ = _INSTANCES
        table = tables.start_moves(
            tables.create("g", [source], 1),
            [ownership.Move(100 * n, 100 * n + 99, target) for n in (1, 3)],
        )
        table = tables.complete_moves(table, lambda _: True)
        tables_by_group = {"g": table}
        servers = {
            source: FakeServer(range(400, 500), releases=False),
            target: FakeServer(range(0)),
        }
        granter = create_granter(tables_by_group, servers)
        granter.start_epoch(clock.boot_s() + _EARLIER_KEEPER_ACTS_S)
        granter.apply_table(table)
        while 200 not in servers[source].granted_s:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.5)
        started_s = clock.boot_s()
        moving = tables.start_moves(table, [ownership.Move(200, 299, target)])
        tables_by_group["g"] = dataclasses.replace(moving, revision=2)
        granter.apply_table(tables_by_group["g"])
        async with asyncio.timeout(10.0):
            while 200 not in servers[target].granted_s:
                await asyncio.sleep(0.01)
        granter.close()
        waited_s = servers[target].granted_s[200] - started_s
        assert waited_s >= grant_expiry.GRANT_DURATION_S - 0.5


class TestInheritedMoves:
    """Moves that an earlier keeper wrote, but may not know of."""

    async def move(self, confirmed: bool) -> float:
        """Returns when the target of a move is granted its keys.

        Args:
            confirmed: Whether the earlier keeper is known to have stopped.

        Returns:
            The time in seconds, from the start of the epoch.
        """
        source, target, _ = _INSTANCES
        table = tables.raise_tokens(
            tables.start_moves(
                tables.create("g", [source], 1), [ownership.Move(0, 99, target)]
            ),
            2,
        )
        servers = {s: FakeServer(range(0)) for s in (source, target)}
        granter = create_granter({"g": table}, servers)
        started_s = clock.boot_s()
        granter.start_epoch(started_s + _EARLIER_KEEPER_ACTS_S)
        if confirmed:
            granter.confirm_predecessors_stopped()
        granter.apply_table(table)
        async with asyncio.timeout(30.0):
            while 0 not in servers[target].granted_s:
                await asyncio.sleep(0.01)
        granter.close()
        return servers[target].granted_s[0] - started_s

    async def test_released_keys_wait_for_an_earlier_keeper_that_may_act(self):
        """Guards against a source that an earlier keeper grants keys again.

        The earlier keeper wrote the move, got no response and goes on renewing
        the grants of the source, which has accepted no higher token.
        """
        waited_s = await self.move(confirmed=False)
        assert (
            waited_s >= _EARLIER_KEEPER_ACTS_S + grant_expiry.GRANT_DURATION_S
        )

    async def test_released_keys_wait_for_late_grants_only(self):
        """Guards against a longer wait if the earlier keeper has stopped."""
        waited_s = await self.move(confirmed=True)
        assert waited_s >= grant_expiry.GRANT_DURATION_S
        assert waited_s < _EARLIER_KEEPER_ACTS_S + grant_expiry.GRANT_DURATION_S


class TestMovesBeforeTheFirstGrant:
    """Moves whose source hasn't accepted this keeper's token for the keys."""

    async def move(self, *, releases: bool) -> float:
        """Returns when the target of a move is granted its keys.

        The move starts before the source has been granted anything, so that
        it only accepts grants of its other keys.

        Args:
            releases: Whether the source accepts the release.

        Returns:
            The time in seconds, from the start of the epoch.
        """
        source, target, _ = _INSTANCES
        table = tables.raise_tokens(tables.create("g", [source], 1), 2)
        tables_by_group = {"g": table}
        servers = {
            source: FakeServer(range(0) if releases else range(100)),
            target: FakeServer(range(0)),
        }
        granter = create_granter(tables_by_group, servers)
        started_s = clock.boot_s()
        granter.start_epoch(started_s + _EARLIER_KEEPER_ACTS_S)
        granter.apply_table(table)
        moving = tables.start_moves(table, [ownership.Move(0, 99, target)])
        tables_by_group["g"] = dataclasses.replace(moving, revision=2)
        granter.apply_table(tables_by_group["g"])
        async with asyncio.timeout(30.0):
            while 0 not in servers[target].granted_s:
                await asyncio.sleep(0.01)
        granter.close()
        assert list(servers[source].granted_s) == [100]
        return servers[target].granted_s[0] - started_s

    async def test_released_keys_wait_for_an_earlier_keeper(self):
        """Guards against a source that an earlier keeper grants keys again."""
        waited_s = await self.move(releases=True)
        assert (
            waited_s >= _EARLIER_KEEPER_ACTS_S + grant_expiry.GRANT_DURATION_S
        )

    async def test_unreleased_keys_wait_for_an_earlier_keeper(self):
        """Guards against a source that is taken for fenced by other keys."""
        waited_s = await self.move(releases=False)
        assert (
            waited_s >= _EARLIER_KEEPER_ACTS_S + grant_expiry.GRANT_DURATION_S
        )

    async def test_accepted_part_does_not_wait(self):
        """Guards against a wait for keys whose new token was accepted."""
        source, target, _ = _INSTANCES
        table = tables.raise_tokens(tables.create("g", [source], 1), 2)
        tables_by_group = {"g": table}
        servers = {s: FakeServer(range(0)) for s in (source, target)}
        granter = create_granter(tables_by_group, servers)
        granter.start_epoch(clock.boot_s() + 60.0)
        granter.apply_table(table)
        for first in (0, 500):
            moving = tables.start_moves(
                tables_by_group["g"],
                [ownership.Move(first, first + 99, target)],
            )
            tables_by_group["g"] = dataclasses.replace(moving, revision=2)
            granter.apply_table(tables_by_group["g"])
            await asyncio.sleep(0.3)
        assert 500 in servers[target].granted_s
        assert 0 not in servers[target].granted_s
        granter.close()

    async def test_move_is_planned_once_the_owner_was_granted_its_keys(self):
        """Guards against keys that nobody serves until earlier grants expire.

        An owner that can't be granted its keys isn't waited for.
        """
        source, gone, _ = _INSTANCES
        table = tables.raise_tokens(tables.create("g", [source, gone], 1), 2)
        servers = {source: FakeServer(range(0))}
        granter = create_granter({"g": table}, servers)
        granter.start_epoch(clock.boot_s() + 60.0)
        granter.apply_table(table)
        awaited = [granter.awaits_first_grant(r) for r in table.ranges]
        assert awaited == [True, False]
        await asyncio.sleep(0.1)
        awaited = [granter.awaits_first_grant(r) for r in table.ranges]
        assert awaited == [False, False]
        granter.close()

    async def test_first_grant_is_awaited_no_longer_than_earlier_grants(self):
        """Guards against keys that never move, as their owner is granted none.

        Moving them takes no longer once no earlier keeper's grant is left.
        """
        source, _, _ = _INSTANCES
        table = tables.raise_tokens(tables.create("g", [source], 1), 2)
        granter = create_granter({"g": table}, {source: FakeServer(range(0))})
        granter.start_epoch(
            clock.boot_s() - grant_expiry.max_grant_lifetime_s()
        )
        granter.apply_table(table)
        assert not granter.awaits_first_grant(table.ranges[0])
        granter.close()


class Authority:
    """Whether a keeper may act."""

    def __init__(self) -> None:
        self.may_act = True


class CommandLog(FakeServer):
    """A server that accepts all commands and keeps them."""

    def __init__(self) -> None:
        super().__init__(range(0))
        self.commands: list[grants.Command] = []

    async def send(self, command: grants.Command) -> grant_client.SendOutcome:
        """Keeps a command and accepts it."""
        self.commands.append(command)
        return await super().send(command)


class TestStaleKeeper:
    """A keeper whose authority ended while it was executing a move."""

    def start(self):
        """Starts a keeper that has granted all keys to the source.

        Returns:
            The keeper, its authority, its tables and the servers.
        """
        source, target, _ = _INSTANCES
        authority = Authority()
        tables_by_group = {"g": tables.create("g", [source], 1)}
        servers = {s: CommandLog() for s in (source, target)}
        granter = granting.Granter(
            tables_by_group.get,
            lambda: authority.may_act,
            lambda: None,
            lambda: None,
            lambda: None,
            counters.Counters(),
        )
        granter._clients.update(servers)
        granter.start_epoch(clock.boot_s())
        granter.apply_table(tables_by_group["g"])
        return granter, authority, tables_by_group, servers

    def move_all(self, granter, tables_by_group) -> None:
        """Starts a move of all keys to the target."""
        moving = tables.start_moves(
            tables_by_group["g"],
            [ownership.Move(0, models.KEY_COUNT - 1, _INSTANCES[1])],
        )
        tables_by_group["g"] = dataclasses.replace(moving, revision=2)
        granter.apply_table(tables_by_group["g"])

    async def test_release_is_not_sent_without_authority(self):
        """Guards against keys that are released for a later keeper's owner."""
        granter, authority, tables_by_group, servers = self.start()
        await asyncio.sleep(0.1)
        self.move_all(granter, tables_by_group)
        authority.may_act = False
        await asyncio.sleep(0.5)
        granter.close()
        commands = servers[_INSTANCES[0]].commands
        assert [c for c in commands if isinstance(c, grants.Release)] == []

    async def test_grant_is_not_sent_without_authority(self):
        """Guards against a grant that waited for another one to the server."""
        granter, authority, tables_by_group, servers = self.start()
        await asyncio.sleep(0.1)
        async with granter._lock(_INSTANCES[1]):
            self.move_all(granter, tables_by_group)
            await asyncio.sleep(0.3)
            authority.may_act = False
        await asyncio.sleep(0.3)
        granter.close()
        assert servers[_INSTANCES[1]].commands == []

    async def test_grant_is_not_sent_if_authority_ends_while_connecting(self):
        """Guards against a grant of a gateway that was suspended meanwhile.

        The loop's clock doesn't include the suspension, so that no timeout
        passes.
        """
        authority = Authority()
        received: list[bytes] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            data = b""
            with contextlib.suppress(ConnectionResetError):
                data = await reader.read(1)
            received.append(data)
            writer.close()

        connect = http.connect

        async def connect_slowly(*args, **options) -> http.Connection:
            connection = await connect(*args, **options)
            authority.may_act = False
            return connection

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        owner = _INSTANCES[0]
        table = tables.create("g", [owner], 1)
        granter = granting.Granter(
            {"g": table}.get,
            lambda: authority.may_act,
            lambda: None,
            lambda: None,
            lambda: None,
            counters.Counters(),
        )
        entry = models.BackendServer(
            owner.server, 1, "g", "127.0.0.1", port, "a", 3, False, 0.0, 1
        )
        with mock.patch.object(http, "connect", connect_slowly):
            granter.update_servers({owner.server: entry})
            granter.start_epoch(clock.boot_s())
            granter.apply_table(table)
            async with asyncio.timeout(5.0):
                while not received:
                    await asyncio.sleep(0.01)
        granter.close()
        listener.close()
        assert received == [b""]


class RestartedServer(FakeServer):
    """A server that has started again under its id.

    Attributes:
        released_s: When it accepted a release, on the boot clock.
    """

    def __init__(self, responds: bool) -> None:
        super().__init__(range(0))
        self.released_s = float("inf")
        self._responds = responds

    async def send(self, command: grants.Command) -> grant_client.SendOutcome:
        """Accepts a release, unless it doesn't respond."""
        if not self._responds:
            return grant_client.NoResponse()
        if isinstance(command, grants.Release):
            self.released_s = clock.boot_s()
        return await super().send(command)


class TestRestartedOwner:
    """Moves from an owner that has started again under its id."""

    async def move(
        self, restarted: RestartedServer, earlier_keeper_acts_s: float = 0.0
    ) -> float:
        """Returns when the keys are granted to the target of the move.

        The owner gets a grant before the keeper knows of its new start.

        Args:
            restarted: The owner after its new start.
            earlier_keeper_acts_s: Time for which an earlier keeper may act, in
                seconds; 0 if it is known to have stopped.

        Returns:
            The time on the boot clock, in seconds.
        """
        source, target, _ = _INSTANCES
        fast = FakeServer(range(0))
        tables_by_group = {"g": tables.create("g", [source], 1)}
        granter = create_granter(
            tables_by_group, {source: FakeServer(range(0)), target: fast}
        )
        granter.start_epoch(clock.boot_s() + earlier_keeper_acts_s)
        if not earlier_keeper_acts_s:
            granter.confirm_predecessors_stopped()
        granter.apply_table(tables_by_group["g"])
        await asyncio.sleep(0.05)
        entry = models.BackendServer(
            source.server, 2, "g", "127.0.0.1", 1, "a", 3, False, 0.0, 1
        )
        granter._servers = {source.server: entry}
        del granter._clients[source]
        granter._clients[entry.instance] = restarted
        table = tables.start_moves(
            tables_by_group["g"],
            [ownership.Move(0, models.KEY_COUNT - 1, target)],
        )
        tables_by_group["g"] = dataclasses.replace(table, revision=2)
        granter.apply_table(tables_by_group["g"])
        async with asyncio.timeout(30.0):
            while 0 not in fast.granted_s:
                await asyncio.sleep(0.01)
        granter.close()
        return fast.granted_s[0]

    async def test_restarted_owner_releases_what_it_was_granted(self):
        """Guards against a new life that holds keys granted to the old one."""
        restarted = RestartedServer(responds=True)
        granted_s = await self.move(restarted)
        assert granted_s >= restarted.released_s

    async def test_restarted_owner_may_be_granted_keys_by_an_earlier_keeper(
        self,
    ):
        """Guards against a new life that has forgotten the higher tokens."""
        started_s = clock.boot_s()
        granted_s = await self.move(
            RestartedServer(responds=True), _EARLIER_KEEPER_ACTS_S
        )
        assert (
            granted_s - started_s
            >= _EARLIER_KEEPER_ACTS_S + grant_expiry.GRANT_DURATION_S
        )

    async def test_keys_of_a_silent_restarted_owner_wait_for_its_grants(self):
        """Guards against a second owner while the new life can't be asked."""
        started_s = clock.boot_s()
        granted_s = await self.move(RestartedServer(responds=False))
        assert granted_s - started_s >= grant_expiry.GRANT_DURATION_S


class SlowServer(FakeServer):
    """A server that applies grants without responding to them."""

    def __init__(self) -> None:
        super().__init__(range(0))
        self.last_grant_s = float("-inf")

    async def send(self, command: grants.Command) -> grant_client.SendOutcome:
        """Accepts releases at once, and never responds to a grant."""
        if isinstance(command, grants.Grant):
            self.last_grant_s = clock.boot_s()
            await asyncio.sleep(3600)
        return grants.Accepted("warm")


class TestCancelledGrants:
    """Grants whose responses the keeper doesn't wait for any more."""

    async def test_moved_keys_wait_for_a_grant_in_flight(self):
        """Guards against a second owner that applies a cancelled grant late.

        The renewal of an owner is cancelled when its last keys are moved.
        """
        source, target, _ = _INSTANCES
        slow, fast = SlowServer(), FakeServer(range(0))
        tables_by_group = {"g": tables.create("g", [source], 1)}
        granter = create_granter(tables_by_group, {source: slow, target: fast})
        granter.start_epoch(clock.boot_s())
        granter.apply_table(tables_by_group["g"])
        async with asyncio.timeout(10.0):
            while slow.last_grant_s < 0:
                await asyncio.sleep(0.01)
        table = tables.start_moves(
            tables_by_group["g"],
            [ownership.Move(0, models.KEY_COUNT - 1, target)],
        )
        tables_by_group["g"] = dataclasses.replace(table, revision=2)
        granter.apply_table(tables_by_group["g"])
        async with asyncio.timeout(30.0):
            while 0 not in fast.granted_s:
                await asyncio.sleep(0.01)
        granter.close()
        waited_s = fast.granted_s[0] - slow.last_grant_s
        assert waited_s >= grant_expiry.GRANT_DURATION_S


class RecordingServer(FakeServer):
    """A server that rejects all grants and keeps them.

    The first grant raises an error that nothing expects.
    """

    def __init__(self) -> None:
        super().__init__(range(0))
        self.commands: list[grants.Command] = []

    async def send(self, command: grants.Command) -> grant_client.SendOutcome:
        """Keeps a command and rejects it."""
        self.commands.append(command)
        if len(self.commands) == 1:
            raise ZeroDivisionError
        return grants.Rejected(400)


class TestRenewals:
    """Grants of the ranges that a server owns."""

    async def run_once(self, **options) -> RecordingServer:
        """Sends a first grant to a server that rejects it."""
        server = RecordingServer()
        table = tables.create("g", [_INSTANCES[0]], 1)
        granter = create_granter(
            {"g": table}, {_INSTANCES[0]: server}, **options
        )
        granter.start_epoch(clock.boot_s())
        granter.apply_table(table)
        async with asyncio.timeout(10.0):
            while len(server.commands) < 2:
                await asyncio.sleep(0.01)
        granter.close()
        return server

    async def test_unexpected_error_does_not_end_them(self, caplog):
        """Guards against a server that loses its keys after one error."""
        await self.run_once()
        assert "unhandled error in a grant" in caplog.messages

    async def test_duration_stays_within_the_platform_s_limit(self):
        """Guards against grants that all servers of a platform reject."""
        server = await self.run_once(max_grant_ms=1500.0)
        assert server.commands[0].duration_ms == 1500

    async def test_failed_grant_is_logged_with_its_outcome(self, caplog):
        """Guards against log lines that don't tell failures apart."""
        await self.run_once()
        (record,) = [r for r in caplog.records if r.msg == "grant failed"]
        assert record.delivery == "Rejected"
