"""Gateway programs that run as processes, and faults of these processes."""

import asyncio
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import os
import pathlib
import signal
import sys
import time

import msgspec

from berylweir.platform import settings
from berylweir.soak import models
from berylweir.standin import ports

_LOOPBACK = "127.0.0.1"


class Gateway:
    """The gateway of one VM, whose program may be started several times."""

    def __init__(
        self,
        vm: int,
        store_port: int,
        directory: pathlib.Path,
        builds: Sequence[pathlib.Path] = (),
        memory_mb: int | None = None,
    ) -> None:
        """Chooses free ports and writes the settings file of the gateway.

        Args:
            vm: Number of the VM.
            store_port: TCP port on loopback of the proxy to the store.
            directory: Directory for the settings file and the log file.
            builds: Source trees of the builds that the VM runs in turn, from
                one start to the next; none for the build of this process. Half
                of the VMs begin with the first one, the others with the next.
            memory_mb: Memory limit that the settings state, in MiB; None to
                state none.
        """
        self._builds = builds
        self._vm = vm
        self._port, self._ready_port, peer_port, self._metrics_port = (
            ports.free_ports(4)
        )
        self._settings_path = directory / f"vm-{vm}.toml"
        self._log_path = directory / f"vm-{vm}.log"
        self._settings_path.write_text(
            f'node = "vm-{vm}"\nip = "{_LOOPBACK}"\nzone = "a"\n'
            f"portRange = [{peer_port}, {peer_port}]\n"
            f'listen = {{ front = "{_LOOPBACK}:{self._port}", '
            f'ready = "{_LOOPBACK}:{self._ready_port}" }}\n'
            f'infra = {{ addr = "{_LOOPBACK}:{store_port}" }}\n'
            + (f"limits = {{ ramMb = {memory_mb} }}\n" if memory_mb else ""),
            encoding="utf-8",
        )
        self._process: asyncio.subprocess.Process | None = None
        self._instance = 0
        # Index of the build that it runs from the next start on; None if the
        # build changes with each start.
        self._selected_build: int | None = None
        self._newest_answering_instance = 0
        self._unplanned_faults: list[models.Disruption] = []
        self._terminated_s: dict[int, float] = {}
        self._is_stopping = False
        # Serialises the faults of this VM; those of several VMs may overlap.
        self._lock = asyncio.Lock()

    @property
    def vm(self) -> int:
        """Number of the VM."""
        return self._vm

    @property
    def _build(self) -> pathlib.Path | None:
        """Source tree of the current instance; None for that of this process.

        The program is imported from its working directory.
        """
        if not self._builds:
            return None
        if self._selected_build is not None:
            return self._builds[self._selected_build % len(self._builds)]
        return self._builds[(self._vm + self._instance) % len(self._builds)]

    @property
    def unplanned_faults(self) -> list[models.Disruption]:
        """Times in which the program was killed or frozen, once they ended."""
        return self._unplanned_faults

    @property
    def terminated_s(self) -> dict[int, float]:
        """When each instance got SIGTERM, on the monotonic clock, in s."""
        return self._terminated_s

    @property
    def instance(self) -> int:
        """Number of the program's current instance; 0 before the first."""
        return self._instance

    @property
    def newest_answering_instance(self) -> int:
        """Number of the newest instance that has answered a request, or 0."""
        return self._newest_answering_instance

    def record_answer(self, instance: int) -> None:
        """Records that an instance of the program has answered a request."""
        self._newest_answering_instance = max(
            self._newest_answering_instance, instance
        )

    @property
    def pid(self) -> int:
        """Process id of the program; 0 if it doesn't run."""
        return self._process.pid if self._process is not None else 0

    def read_sent_to(self) -> dict[str, str]:
        """Returns where requests were when their callers left, by request id.

        The name of the server, or of the VM that got the request, is read from
        the log. A line that the end of the program cut off is skipped.
        """
        sent_to = {}
        for line in self._log_path.read_bytes().splitlines():
            if b'"abandoned"' not in line:
                continue
            with contextlib.suppress(msgspec.DecodeError):
                fields = msgspec.json.decode(line, type=dict[str, object])
                if fields.get("message") == "abandoned" and fields["sent_to"]:
                    sent_to[str(fields["request"])] = str(fields["sent_to"])
        return sent_to

    @property
    def port(self) -> int:
        """TCP port for callers."""
        return self._port

    def select_build(self, number: int) -> None:
        """Has the program run one build from its next start on.

        Args:
            number: Index of the build.
        """
        self._selected_build = number

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts the program, and kills it when `stack` closes."""
        stack.push_async_callback(self._kill_process)
        await self._start_process()

    async def is_ready(self) -> bool:
        """Returns the result of the load balancer's readiness check."""
        try:
            reader, writer = await asyncio.open_connection(
                _LOOPBACK, self._ready_port
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /berylweir/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    async def kill_and_restart(self, downtime_s: float) -> None:
        """Kills the program with SIGKILL and starts it again.

        Args:
            downtime_s: Time between the end and the new start, in seconds.
        """
        async with self._lock:
            with self._record_unplanned():
                await self._kill_process()
                await asyncio.sleep(downtime_s)
                await self._start_process()

    async def stop_and_restart(self) -> tuple[int, float]:
        """Asks the program to end by SIGTERM, and starts it again.

        Returns:
            The exit status of the program, also if it had ended before the
            signal; negative if a signal ended it. And when the signal was
            sent, on the monotonic clock, in seconds: it waits for the other
            faults of the VM.
        """
        async with self._lock:
            process = self._process
            signalled_s = time.monotonic()
            if process is None:
                return 0, signalled_s
            self._send_signal(signal.SIGTERM)
            self._terminated_s[self._instance] = signalled_s
            self._is_stopping = True
            status = await process.wait()
            self._is_stopping = False
            await self._start_process()
            return status, signalled_s

    async def freeze(self, duration_s: float) -> None:
        """Stops the program by SIGSTOP, and continues it after `duration_s`.

        Args:
            duration_s: Time until it continues, in seconds.
        """
        async with self._lock:
            with self._record_unplanned():
                self._send_signal(signal.SIGSTOP)
                await asyncio.sleep(duration_s)
                self._send_signal(signal.SIGCONT)

    async def reload_settings(self) -> None:
        """Has the program read its settings file again, by SIGHUP."""
        async with self._lock:
            self._send_signal(signal.SIGHUP)

    def signal_while_stopping(self, signal_number: signal.Signals) -> bool:
        """Sends one more signal to the program if it is being stopped.

        Returns:
            Whether it is.
        """
        if self._is_stopping:
            self._send_signal(signal_number)
        return self._is_stopping

    @contextlib.contextmanager
    def _record_unplanned(self) -> Iterator[None]:
        start_s = time.monotonic()
        yield
        self._unplanned_faults.append(
            models.Disruption(self._vm, start_s, time.monotonic())
        )

    def _send_signal(self, signal_number: signal.Signals) -> None:
        # `Process.send_signal` would take the exit status of a process that has
        # just ended from the event loop.
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, signal_number)

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
                cwd=self._build,
                env=os.environ
                | {settings.SETTINGS_PATH_VARIABLE: str(self._settings_path)},
            )

    async def _kill_process(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._send_signal(signal.SIGKILL)
            await self._process.wait()
