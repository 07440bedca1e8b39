"""Starts gateways with the command of the deploy file."""

import asyncio
import contextlib
import os
import pathlib
import random
import signal
import socket
import tomllib

_ROOT = pathlib.Path(__file__).resolve().parents[1]
_METRICS_PORT = 9464
_PORTS = {"front": 8641, "ready": 8640, "control": 8649}
_ZONES = ("a", "b", "c")
_SETTINGS = """\
node = "{node}"
role = "gateway"
machineClass = "edge"
serves = ["edge"]
ip = "{ip}"
zone = "{zone}"
region = "r"
portRange = [7620, 7635]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "vip"
beatIntervalMs = 870
contracts = ["base","drain","config","cost","retry","recover","own","places","platform"]
bounds = ["seedLagS=3","reuseAfterS=2","contactMs=3000","ackMs=4000","catchUpS=4","drainMs=2000","graceS=6","lossSlackMs=200","configMs=2000","rollbackSlackMs=250","maxStretchMs=5000","retryRatio=0.2","retryWindowS=10","retrySlack=60","warmupFactor=1.5","warmupSlack=5","evacMs=5000","recoverS=15","holdMaxMs=10000","thawMs=300"]
grants = "rpc"

[zones]
a = "r"
b = "r"
c = "r"

[listen]
front = "{ip}:8641"
ready = "{ip}:8640"
control = "{ip}:8649"

[limits]
cpuShare = 0.86
cores = 1
ramMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0

[tolerate]
machines = 2
zones = 1
regions = 0

[infra]
addr = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""  # noqa: E501


class CannotRunError(Exception):
    """The case could not be run."""


def free_addresses(count: int) -> list[str]:
    """Returns loopback addresses on which the ports of gateways are free."""
    found: list[str] = []
    for _ in range(200):
        numbers = [random.randint(2, 250) for _ in range(3)]
        address = "127." + ".".join(map(str, numbers))
        if address not in found and _is_free(address):
            found.append(address)
        if len(found) == count:
            return found
    raise CannotRunError("no free loopback addresses")


def _is_free(address: str) -> bool:
    with contextlib.ExitStack() as stack:
        for port in (*_PORTS.values(), _METRICS_PORT, 7620, 7621):
            bound = stack.enter_context(socket.socket())
            try:
                bound.bind((address, port))
            except OSError:
                return False
    return True


class Gateway:
    """The process of one entry machine."""

    def __init__(
        self, node: str, address: str, store: str, directory: pathlib.Path
    ) -> None:
        """Writes the settings file; `start` starts the process.

        Args:
            node: Name of the machine.
            address: Its loopback address.
            store: Address of the platform's store.
            directory: Directory for the settings and the log.
        """
        self.node = node
        self.address = address
        self.port = _PORTS["front"]
        self._settings_path = directory / f"{node}.toml"
        self._log_path = directory / f"{node}.log"
        self._settings_path.write_text(
            _SETTINGS.format(
                node=node, ip=address, zone=node.split("-")[1], store=store
            ),
            encoding="utf-8",
        )
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process."""
        deploy = tomllib.loads(
            (_ROOT / "deploy/system.toml").read_text(encoding="utf-8")
        )
        command = deploy["roles"]["gateway"]["run"].split(" ")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with self._log_path.open("ab") as log_file:
            self._process = await asyncio.create_subprocess_exec(
                *command,
                stdout=log_file,
                stderr=log_file,
                cwd=_ROOT,
                env=environment
                | {
                    "PYTHONPATH": str(_ROOT / "target/deps"),
                    "BERYLWEIR_SETTINGS": str(self._settings_path),
                },
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    def memory_bytes(self) -> int:
        """Returns the resident memory of the process, in bytes."""
        if self._process is None or self._process.returncode is not None:
            return 0
        try:
            status = pathlib.Path(f"/proc/{self._process.pid}/status")
            for line in status.read_text(encoding="utf-8").splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) * 1024
        except OSError:
            pass  # The process has just ended.
        return 0

    async def wait(self) -> int:
        """Waits for the end of the process and returns its status."""
        assert self._process is not None
        return await self._process.wait()

    async def kill(self) -> None:
        """Ends the process at once."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Returns the result of one readiness check."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.address, _PORTS["ready"]
                )
                try:
                    writer.write(
                        b"GET /berylweir/readyz HTTP/1.1\r\nHost: x\r\n\r\n"
                    )
                    return b" 200 " in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return False

    async def until_ready(self, timeout_s: float = 20.0) -> None:
        """Waits until the process says that it is ready.

        Raises:
            CannotRunError: If it isn't within `timeout_s`.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while True:
                    if await self.is_ready():
                        return
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise CannotRunError(f"{self.node} isn't ready") from None


async def start_all(
    stack: contextlib.AsyncExitStack,
    count: int,
    store_port: int,
    directory: pathlib.Path,
) -> list[Gateway]:
    """Starts gateways, and kills them when `stack` closes."""
    started = []
    for number, address in enumerate(free_addresses(count)):
        gateway = Gateway(
            f"edge-{_ZONES[number % 3]}-{number + 1}",
            address,
            f"127.0.0.1:{store_port}",
            directory,
        )
        stack.push_async_callback(gateway.kill)
        await gateway.start()
        started.append(gateway)
    for gateway in started:
        await gateway.until_ready()
    return started
