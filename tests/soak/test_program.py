"""Tests of the `berylweir-soak` program."""

import asyncio
import pathlib
import signal
import sys


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
