"""Tests of the gateway program as the platform starts it."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys

from berylweir.platform import settings
from tests.gateway import rig


class TestStart:
    """What the program does before it serves."""

    def test_command_line_parser_is_not_imported(self):
        """Guards against a slow start, which each restart of a VM pays for."""
        imported_modules = subprocess.run(
            [
                sys.executable,
                "-c",
                "import sys, berylweir.gateway.program; print(*sys.modules)",
            ],
            check=True,
            capture_output=True,
            text=True,
        ).stdout.split()
        assert "berylweir.gateway.supervisor" in imported_modules
        assert not {"defopt", "docutils", "berylweir.conf"} & {
            *imported_modules
        }


class TestProgram:
    """Signals to the program while it starts."""

    async def test_a_reload_signal_does_not_end_the_start(self, tmp_path):
        """Guards against SIGHUP ending the process before it is handled."""
        command, environment = build_command(tmp_path)
        process = await asyncio.create_subprocess_exec(
            *command, stdout=asyncio.subprocess.PIPE, env=environment
        )
        assert process.stdout is not None
        try:
            for _ in range(10):
                await asyncio.sleep(0.02)
                # A signal before the first import of the program, while the
                # interpreter starts, would end the process: nothing there can
                # ignore it yet.
                if is_importing(process.pid):
                    break
            process.send_signal(signal.SIGHUP)
            line = await asyncio.wait_for(process.stdout.readline(), 20.0)
            assert b"started" in line
        finally:
            if process.returncode is None:
                process.kill()
            await process.wait()

    def test_interrupt_is_counted_once(self, tmp_path):
        """Guards against a planned stop that is cut off by one interrupt.

        The signals arrive together, while the event loop is busy.
        """
        for _ in range(16):
            command, environment = build_command(tmp_path)
            process = subprocess.Popen(
                command, stdout=subprocess.PIPE, env=environment
            )
            assert process.stdout is not None
            try:
                while b'"started"' not in (line := process.stdout.readline()):
                    assert line, "the program ended"
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGINT)
                process.communicate(timeout=20.0)
            finally:
                process.kill()
                process.wait()
            assert process.returncode == 0


def build_command(
    directory: pathlib.Path,
) -> tuple[list[str], dict[str, str]]:
    """Returns command and environment of a gateway that reaches no store."""
    front, ready, peer, store, metrics = (rig.free_port() for _ in range(5))
    settings_file = directory / "settings.toml"
    settings_file.write_text(
        'node = "vm-1"\nip = "127.0.0.1"\nzone = "a"\n'
        f"portRange = [{peer}, {peer}]\n"
        f'listen = {{ front = "127.0.0.1:{front}", '
        f'ready = "127.0.0.1:{ready}" }}\n'
        f'infra = {{ addr = "127.0.0.1:{store}" }}\n'
    )
    return (
        [
            sys.executable,
            "-m",
            "berylweir.gateway.program",
            "--metrics-port",
            str(metrics),
        ],
        os.environ | {settings.SETTINGS_PATH_VARIABLE: str(settings_file)},
    )


def is_importing(pid: int) -> bool:
    """Returns whether a process has begun to import the program."""
    maps = pathlib.Path(f"/proc/{pid}/maps")
    return "msgspec" in maps.read_text(encoding="utf-8")
