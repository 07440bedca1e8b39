"""Tests of the `berylweir-soak` program."""

import asyncio
import pathlib
import signal
import sys
import tempfile

import pytest

from berylweir.soak import program
from berylweir.soak import runner


def gateway_process_ids(logs: pathlib.Path) -> list[int]:
    """Returns the ids of processes whose settings file is in a directory."""
    process_ids = []
    for process in pathlib.Path("/proc").glob("[0-9]*"):
        try:
            environment = (process / "environ").read_bytes()
        except OSError:
            continue  # The process has ended, or belongs to another user.
        if f"BERYLWEIR_SETTINGS={logs}".encode() in environment:
            process_ids.append(int(process.name))
    return process_ids


class TestProgram:
    """Early end of a soak."""

    async def test_a_stopped_soak_leaves_no_process(self, tmp_path):
        """Guards against gateways that keep running after the soak."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "berylweir.soak.program",
            "--logs",
            str(tmp_path),
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            async with asyncio.timeout(20):
                while len(gateway_process_ids(tmp_path)) < 3:
                    await asyncio.sleep(0.05)
            process.send_signal(signal.SIGTERM)
            async with asyncio.timeout(20):
                await process.wait()
            assert gateway_process_ids(tmp_path) == []
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


class TestLogs:
    """The logs of a soak that names no directory for them."""

    def _run(
        self,
        violations: list[str],
        tmp_path: pathlib.Path,
        monkeypatch: pytest.MonkeyPatch,
    ) -> int:
        """Runs a soak that reports violations; returns the exit status."""

        class Soak:
            def __init__(self, seed, seconds, directory, vms, **_: object):
                (directory / "vm-0.log").touch()

            async def run(self) -> list[str]:
                return violations

        monkeypatch.setattr(runner, "Soak", Soak)
        monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
        try:
            program.soak()
        except SystemExit as end:
            return int(end.code or 0)
        return 0

    def test_are_kept_after_a_violation(self, tmp_path, monkeypatch):
        """Guards against a violation that can't be traced."""
        assert self._run(["OWNER"], tmp_path, monkeypatch) == 1
        assert list(tmp_path.glob("*/vm-0.log"))

    def test_are_removed_otherwise(self, tmp_path, monkeypatch):
        """Guards against soaks that fill the disk."""
        assert self._run([], tmp_path, monkeypatch) == 0
        assert not list(tmp_path.iterdir())
