"""Tests of what gateways of different builds may expect of each other."""

import asyncio
import base64
import json
import os
import pathlib
import subprocess
import sys

import msgspec
import pynng
import pytest
import result

from berylweir.crash_suspects import quarantine
from berylweir.gateway import models
from berylweir.gateway.peers import exceptions
from berylweir.gateway.peers import messages
from berylweir.gateway.peers import task as peers
from berylweir.gateway.suspects import codec as suspects
from berylweir.observability import counters
from berylweir.platform import objects
from berylweir.platform import store
from tests import checkouts
from tests.gateway import rig
from tests.upgrades import record

_DIRECTORY = pathlib.Path(__file__).parent
_CONTRACT = _DIRECTORY.parents[1] / "docs" / "upgrades.md"
_BUILDS = [
    json.loads(path.read_text())
    for path in sorted((_DIRECTORY / "recorded").glob("*.json"))
]
_IDS = [build["build"] for build in _BUILDS]


def missing(old, new, path=""):
    """Yields the places at which a message lacks a part of an older one."""
    match old, new:
        case dict(), dict():
            for key, value in old.items():
                if key not in new:
                    yield f"{path}.{key}"
                else:
                    yield from missing(value, new[key], f"{path}.{key}")
        case list(), list():
            if len(new) < len(old):
                yield path
            for index, (before, after) in enumerate(
                zip(old, new, strict=False)
            ):
                yield from missing(before, after, f"{path}[{index}]")
        case _:
            if old != new:
                yield path


class TestOlderBuilds:
    """Messages and objects that released builds have written."""

    @pytest.mark.parametrize("build", _BUILDS, ids=_IDS)
    def test_message_is_not_understood(self, build):
        """Guards against a build that doesn't know what others send."""
        assert len(build["messages"]) >= 10
        for name, text in build["messages"].items():
            data = base64.b64decode(text)
            decoded = [
                outcome.ok_value
                for outcome in (
                    messages.decode_request(data),
                    messages.decode_reply(data),
                )
                if isinstance(outcome, result.Ok)
            ]
            assert {type(d).__name__ for d in decoded} == {name}

    @pytest.mark.parametrize("build", _BUILDS, ids=_IDS)
    def test_message_lacks_what_an_older_build_needs(self, build):
        """Guards against a field that is taken away or renamed."""
        now = record.record()
        for name, text in build["messages"].items():
            before = msgspec.msgpack.decode(base64.b64decode(text))
            after = msgspec.msgpack.decode(
                base64.b64decode(now["messages"][name])
            )
            assert list(missing(before, after)) == [], name
        for name, text in build["objects"].items():
            after = json.loads(now["objects"][name])
            assert list(missing(json.loads(text), after)) == [], name

    @pytest.mark.parametrize("build", _BUILDS, ids=_IDS)
    def test_object_is_not_understood(self, build):
        """Guards against VMs, leases and tables lost in an upgrade."""

        def stored(name, text):
            spec = msgspec.Raw(text.encode())
            return store.build_stored_object(
                name, 5, spec, msgspec.Raw(b"null")
            )

        vm = objects.decode_gateway_object(
            stored("vm.a", build["objects"]["Vm"])
        ).ok_value
        assert (vm.name, vm.judges_requests) == ("a", False)
        lease = objects.decode_gateway_object(
            stored("lease", build["objects"]["Lease"])
        ).ok_value
        assert isinstance(lease, models.Lease)
        table = objects.decode_table(stored("g", build["objects"]["KeyTable"]))
        assert isinstance(table.ok_value, models.KeyTable)
        if "Entry" in build["objects"]:
            name = "quarantine.0000000000000007"
            entry = objects.decode_gateway_object(
                stored(name, build["objects"]["Entry"])
            )
            assert isinstance(entry.ok_value, quarantine.Entry)

    def test_rollback_meets_what_this_build_writes(self, tmp_path):
        """Guards against builds that can't be rolled back to the last ones."""
        written = record.record()
        names = [*written["messages"], *written["objects"]]
        for commit in checkouts.LANDINGS:
            tree = tmp_path / commit
            if not checkouts.check_out(commit, tree):
                pytest.skip(f"the history has no commit {commit}")
            read = subprocess.run(
                [sys.executable, str(_DIRECTORY / "decode.py")],
                input=json.dumps(written),
                cwd=tree,
                env={**os.environ, "PYTHONPATH": str(tree)},
                capture_output=True,
                text=True,
                check=True,
            )
            assert json.loads(read.stdout) == {name: name for name in names}


def stored_object(name, spec):
    """Returns an object of the store."""
    return store.build_stored_object(
        name, 5, msgspec.Raw(json.dumps(spec).encode()), msgspec.Raw(b"null")
    )


def odd_forms(spec, highest):
    """Yields an object or a message without each field, or with odd ones.

    Args:
        spec: The fields by name.
        highest: Highest number that the encoding allows.
    """
    for name in spec:
        yield {n: v for n, v in spec.items() if n != name}
        for value in (None, "odd", -1, 1.5, highest, [], [None], {}, {"": 1}):
            yield {**spec, name: value}


class TestNewerBuilds:
    """Objects that only a far newer build, or another writer, has written."""

    @pytest.mark.parametrize("build", _BUILDS, ids=_IDS)
    def test_odd_object_ends_its_reader(self, build):
        """Guards against tasks that fail on the object of another build."""
        for kind, decode in (
            ("vm.a", objects.decode_gateway_object),
            ("lease", objects.decode_gateway_object),
            ("g", objects.decode_table),
        ):
            names = {"vm.a": "Vm", "lease": "Lease", "g": "KeyTable"}
            spec = json.loads(build["objects"][names[kind]])
            for odd in odd_forms(spec, 2**70):
                decoded = decode(stored_object(kind, odd))
                match decoded:
                    case result.Ok(models.Lease(epoch=epoch)):
                        status = messages.GatewayStatus("run", epoch, False)
                    case result.Ok(models.KeyTable(epoch=epoch)):
                        status = messages.GatewayStatus(
                            "run", 1, False, table_epochs={"g": epoch}
                        )
                    case _:
                        continue
                assert messages.encode(status)

    @pytest.mark.parametrize("number", [-1, 2**70])
    def test_odd_number_in_a_key_table(self, number):
        """Guards against tokens that can't be sent to servers."""
        table = {"group": "g", "epoch": 1, "next_token": 2}
        good = [0, 5, "s", 1, 1]
        stored = stored_object("g", {**table, "ranges": [good]})
        assert isinstance(objects.decode_table(stored), result.Ok)
        for index in (0, 1, 3, 4):
            odd = [*good[:index], number, *good[index + 1 :]]
            stored = stored_object("g", {**table, "ranges": [odd]})
            assert isinstance(objects.decode_table(stored), result.Err)

    @pytest.mark.parametrize("build", _BUILDS, ids=_IDS)
    def test_odd_message_ends_its_reader(self, build):
        """Guards against tasks that fail on the message of another build."""
        for text in build["messages"].values():
            message = msgspec.msgpack.decode(base64.b64decode(text))
            for odd in odd_forms(message, 2**64 - 1):
                data = msgspec.msgpack.encode(odd)
                for decode in (messages.decode_request, messages.decode_reply):
                    match decode(data):
                        case result.Ok(messages.ReportUsage() as usage):
                            messages.decode_usage(usage)
                        case result.Ok(messages.Findings() as findings):
                            suspects.decode_findings(findings)
                        case result.Ok() | result.Err():
                            pass

    @pytest.mark.parametrize("host", ["::1", "", "a\0b"])
    async def test_address_of_another_kind_ends_the_caller(self, host):
        """Guards against gateways that fail on the object of one VM."""
        metrics = counters.Counters()
        client = peers.PeerClient(metrics)
        vm = models.Vm("v", "run", host, 80, "a")
        for _ in range(2):
            match await client.ask(vm, messages.GetStatus()):
                case result.Err(exceptions.PeerUnresponsive()):
                    pass
                case other:
                    raise AssertionError(other)
        assert metrics.counts["peers.silent"] == 2
        client.close()


class TestContract:
    """The page that says what builds may expect."""

    def test_message_changes_without_an_entry(self):
        """Guards against a change that nobody has thought through.

        After a change, complete the page, then write the new field lists to
        `messages.json`.
        """
        known = json.loads((_DIRECTORY / "messages.json").read_text())
        assert record.field_lists() == known

    def test_page_names_each_message(self):
        """Guards against messages whose receivers nobody has thought of."""
        page = _CONTRACT.read_text()
        names = [kind.__name__ for kind in record.message_types()]
        assert [n for n in names if f"`{n}`" not in page] == []


class TestUnknownMessage:
    """Messages of a newer build."""

    async def test_sender_waits_for_an_older_build_each_time(self):
        """Guards against messages that are sent on though nobody knows them."""
        port = rig.free_port()
        vm = models.Vm("v", "run", "127.0.0.1", port, "a")
        metrics = counters.Counters()
        client = peers.PeerClient(metrics)
        reply = messages.encode(messages.Unsupported("unknown tag"))
        with pynng.Rep0(listen=f"tcp://127.0.0.1:{port}") as socket:
            asking = asyncio.create_task(
                client.ask(vm, messages.GetQuarantine())
            )
            await socket.arecv()
            await socket.asend(reply)
            failure = exceptions.MessageUnsupported("v", "GetQuarantine")
            assert await asking == result.Err(failure)
        # Nobody listens any more, so this doesn't ask.
        assert await client.ask(vm, messages.GetQuarantine()) == result.Err(
            failure
        )
        assert metrics.counts["peers.unsupported"] == 1
        client.close()

    async def test_unknown_message_gets_no_answer(self):
        """Guards against senders that wait for a reply in vain."""
        async with rig.Rig() as deployment:
            await deployment.configure({"g": False}, [rig.route("r", "g")])
            gateway = await deployment.add_gateway()
            address = f"tcp://127.0.0.1:{gateway.environment.peer_port}"
            with pynng.Req0(dial=address) as socket:
                await socket.asend(
                    msgspec.msgpack.encode({"type": "from the future"})
                )
                match messages.decode_reply(await socket.arecv()):
                    case result.Ok(messages.Unsupported()):
                        pass
                    case other:
                        raise AssertionError(other)
