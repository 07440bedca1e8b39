"""Tests of the commands on refused requests, against the stand-in store."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import json

import msgspec
import pytest

from berylweir.crash_suspects import quarantine
from berylweir.ctl import program
from berylweir.platform import objects
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import store as store_standin

_ENTRY = quarantine.Entry(
    0xAB, 9_000_000_000_000, 600_000, ("s1", "s2"), ("vm-1",), ("r1", "r2")
)
_TEXT = "00000000000000ab"


@pytest.fixture
async def store_with_entry() -> AsyncIterator[tuple[store_standin.Store, str]]:
    store = store_standin.Store()
    await store.put(
        objects.GATEWAY_KIND,
        objects.quarantine_name(_ENTRY),
        msgspec.json.decode(objects.encode_quarantine_entry(_ENTRY)),
    )
    async with contextlib.AsyncExitStack() as stack:
        port = await http.listen(stack, store.handle)
        yield store, f"127.0.0.1:{port}"


async def ctl(*arguments: str) -> int:
    """Runs a command in a thread; the store needs the loop's thread."""
    return await asyncio.to_thread(program.run, list(arguments))


class TestQuarantineCommands:
    """Commands that read and write entries in the store."""

    async def test_list_hides_what_led_to_an_entry(
        self, store_with_entry, capsys: pytest.CaptureFixture[str]
    ):
        """Guards against an operator who can't judge an entry."""
        _, address = store_with_entry
        assert (
            await ctl("quarantine", "list", "--store", address, "--json") == 0
        )
        (row,) = json.loads(capsys.readouterr().out)
        assert row["fingerprint"] == _TEXT
        assert row["state"] == "refused"
        assert row["servers"] == ["s1", "s2"]
        assert row["reporters"] == ["vm-1"]
        assert row["requests"] == ["r1", "r2"]

    async def test_lifted_entry_stays_in_force(self, store_with_entry):
        """Guards against a command without an effect."""
        store, address = store_with_entry
        assert await ctl("quarantine", "lift", _TEXT, "--store", address) == 0
        name = objects.quarantine_name(_ENTRY)
        spec = store.get(objects.GATEWAY_KIND, name)["spec"]
        assert spec["until_ms"] == 0
        assert spec["servers"] == ["s1", "s2"]

    async def test_failures_have_the_same_exit_code(self, store_with_entry):
        """Guards against scripts that can't tell a failure from success."""
        _, address = store_with_entry
        lift = ("quarantine", "lift")
        assert await ctl(*lift, "f" * 16, "--store", address) == 10
        assert await ctl(*lift, "zz", "--store", address) == 2
        assert await ctl(*lift, _TEXT, "--store", "nowhere") == 2
        assert await ctl(*lift, _TEXT, "--store", "127.0.0.1:1") == 6
