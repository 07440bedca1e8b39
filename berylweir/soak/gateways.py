"""The real gateway programs, started and disturbed as processes."""

import asyncio
import contextlib
import os
import pathlib
import signal
import socket
import sys

from berylweir.platform import settings

_LOOPBACK = "127.0.0.1"


class Gateway:
    """One VM: its addresses, and the run of the program that it has now."""

    def __init__(
        self, vm: int, store_port: int, directory: pathlib.Path
    ) -> None:
        """Writes the settings of a VM.

        Args:
            vm: Number of the VM.
            store_port: TCP port of its link to the store.
            directory: Where its settings and logs go.
        """
        self._vm = vm
        self._port, ready, peer, self._metrics_port = _free_ports(4)
        self._settings = directory / f"vm-{vm}.toml"
        self._logs = directory / f"vm-{vm}.log"
        self._settings.write_text(
            f'node = "vm-{vm}"\nip = "{_LOOPBACK}"\nzone = "a"\n'
            f"portRange = [{peer}, {peer}]\n"
            f'listen = {{ front = "{_LOOPBACK}:{self._port}", '
            f'ready = "{_LOOPBACK}:{ready}" }}\n'
            f'infra = {{ addr = "{_LOOPBACK}:{store_port}" }}\n',
            encoding="utf-8",
        )
        self._process: asyncio.subprocess.Process | None = None
        self._run = 0
        self._answered_run = 0
        # Faults of one VM follow each other; those of several overlap.
        self._lock = asyncio.Lock()

    @property
    def vm(self) -> int:
        """Number of the VM."""
        return self._vm

    @property
    def run(self) -> int:
        """Number of the present run of the program."""
        return self._run

    @property
    def answered_run(self) -> int:
        """Number of the newest run that has answered a request."""
        return self._answered_run

    def note_answer(self, run: int) -> None:
        """Notes that a run of the program has answered a request."""
        self._answered_run = max(self._answered_run, run)

    @property
    def port(self) -> int:
        """TCP port for callers."""
        return self._port

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts the program, and ends it when `stack` closes."""
        stack.push_async_callback(self._end)
        await self._start()

    async def kill(self, down_s: float) -> None:
        """Ends the program at once and starts it again.

        Args:
            down_s: Time until it starts again, in seconds.
        """
        async with self._lock:
            await self._end()
            await asyncio.sleep(down_s)
            await self._start()

    async def stop(self) -> int:
        """Asks the program to end, and starts it again.

        Returns:
            Its exit status, or that of an end by itself before.
        """
        async with self._lock:
            process = self._process
            if process is None:
                return 0
            self._send(signal.SIGTERM)
            status = await process.wait()
            await self._start()
            return status

    async def freeze(self, for_s: float) -> None:
        """Pauses the program for a time, in seconds."""
        async with self._lock:
            self._send(signal.SIGSTOP)
            await asyncio.sleep(for_s)
            self._send(signal.SIGCONT)

    async def reload(self) -> None:
        """Says that the settings file has changed."""
        async with self._lock:
            self._send(signal.SIGHUP)

    def _send(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def _start(self) -> None:
        self._run += 1
        with self._logs.open("ab") as logs:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "berylweir.gateway.program",
                "--metrics-port",
                str(self._metrics_port),
                stdout=logs,
                stderr=logs,
                env=os.environ
                | {settings.SETTINGS_PATH_VARIABLE: str(self._settings)},
            )

    async def _end(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        found = []
        for _ in range(count):
            probe = stack.enter_context(socket.socket())
            probe.bind((_LOOPBACK, 0))
            found.append(probe.getsockname()[1])
        return found
