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
        self._port, ready_port, peer_port, self._metrics_port = _free_ports(4)
        self._settings_path = directory / f"vm-{vm}.toml"
        self._log_path = directory / f"vm-{vm}.log"
        self._settings_path.write_text(
            f'node = "vm-{vm}"\nip = "{_LOOPBACK}"\nzone = "a"\n'
            f"portRange = [{peer_port}, {peer_port}]\n"
            f'listen = {{ front = "{_LOOPBACK}:{self._port}", '
            f'ready = "{_LOOPBACK}:{ready_port}" }}\n'
            f'infra = {{ addr = "{_LOOPBACK}:{store_port}" }}\n',
            encoding="utf-8",
        )
        self._process: asyncio.subprocess.Process | None = None
        self._instance = 0
        self._newest_answering_instance = 0
        # Faults of one VM follow each other; those of several overlap.
        self._lock = asyncio.Lock()

    @property
    def vm(self) -> int:
        """Number of the VM."""
        return self._vm

    @property
    def instance(self) -> int:
        """Number of the present run of the program."""
        return self._instance

    @property
    def newest_answering_instance(self) -> int:
        """Number of the newest run that has answered a request."""
        return self._newest_answering_instance

    def record_answer(self, instance: int) -> None:
        """Notes that a run of the program has answered a request."""
        self._newest_answering_instance = max(
            self._newest_answering_instance, instance
        )

    @property
    def port(self) -> int:
        """TCP port for callers."""
        return self._port

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts the program, and ends it when `stack` closes."""
        stack.push_async_callback(self._kill_process)
        await self._start_process()

    async def kill_and_restart(self, downtime_s: float) -> None:
        """Ends the program at once and starts it again.

        Args:
            downtime_s: Time until it starts again, in seconds.
        """
        async with self._lock:
            await self._kill_process()
            await asyncio.sleep(downtime_s)
            await self._start_process()

    async def stop_and_restart(self) -> int:
        """Asks the program to end, and starts it again.

        Returns:
            Its exit status, or that of an end by itself before.
        """
        async with self._lock:
            process = self._process
            if process is None:
                return 0
            self._send_signal(signal.SIGTERM)
            status = await process.wait()
            await self._start_process()
            return status

    async def freeze(self, duration_s: float) -> None:
        """Pauses the program for a time, in seconds."""
        async with self._lock:
            self._send_signal(signal.SIGSTOP)
            await asyncio.sleep(duration_s)
            self._send_signal(signal.SIGCONT)

    async def reload_settings(self) -> None:
        """Says that the settings file has changed."""
        async with self._lock:
            self._send_signal(signal.SIGHUP)

    def _send_signal(self, signal_number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal_number)

    async def _start_process(self) -> None:
        self._instance += 1
        with self._log_path.open("ab") as log_file:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "berylweir.gateway.program",
                "--metrics-port",
                str(self._metrics_port),
                stdout=log_file,
                stderr=log_file,
                env=os.environ
                | {settings.SETTINGS_PATH_VARIABLE: str(self._settings_path)},
            )

    async def _kill_process(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            probe = stack.enter_context(socket.socket())
            probe.bind((_LOOPBACK, 0))
            ports.append(probe.getsockname()[1])
        return ports
