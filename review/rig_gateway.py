"""Starts gateways as processes, as the deploy file says."""

import asyncio
import os
import pathlib
import random
import signal
import time
import tomllib

import rig_http

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_READY_TIMEOUT_S = 30.0
_BOUNDS = (
    "seedLagS=3",
    "reuseAfterS=2",
    "contactMs=3000",
    "ackMs=4000",
    "catchUpS=4",
    "drainMs=2000",
    "graceS=6",
    "lossSlackMs=200",
    "configMs=2000",
    "rollbackSlackMs=250",
    "maxStretchMs=5000",
    "retryRatio=0.2",
    "retryWindowS=10",
    "retrySlack=60",
    "warmupFactor=1.5",
    "warmupSlack=5",
    "evacMs=5000",
    "recoverS=15",
    "holdMaxMs=10000",
    "thawMs=300",
)


class Gateway:
    """One gateway with a loopback address of its own."""

    def __init__(
        self, name: str, store_port: int, folder: pathlib.Path
    ) -> None:
        """Writes the settings of a gateway that doesn't run yet.

        Args:
            name: Name of its machine.
            store_port: TCP port of the store, or of a proxy to it.
            folder: Temporary folder for settings and logs.
        """
        # The metrics have a fixed port, so each gateway has its own address.
        self.host = "127." + ".".join(
            str(random.randint(2, 250)) for _ in range(3)
        )
        front, ready, peers = rig_http.free_address(self.host, 3)
        self.front = front
        self._ready = ready
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._process: asyncio.subprocess.Process | None = None
        forward = peers + 1
        bounds = ",".join(f'"{bound}"' for bound in _BOUNDS)
        self._settings.write_text(
            f'node = "{name}"\nrole = "gateway"\nmachineClass = "edge"\n'
            f'serves = ["edge"]\nip = "{self.host}"\nzone = "zone-a"\n'
            f'region = "region"\nportRange = [{peers}, {forward}]\n'
            f"seeds = []\nbootstrap = true\nlossCounts = false\n"
            f'discovery = "platform"\nentry = "vip"\nbeatIntervalMs = 870\n'
            f'bounds = [{bounds}]\ngrants = "rpc"\n'
            f'[listen]\nfront = "{self.host}:{front}"\n'
            f'ready = "{self.host}:{ready}"\n'
            f"[limits]\ncpuShare = 0.86\ncores = 1\nramMb = 300\n"
            f"maxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
            f"[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n"
            f'[infra]\naddr = "127.0.0.1:{store_port}"\nform = "objects"\n'
            f"writesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
            f"valueBytes = 1048576\nttlMinMs = 1000\n",
            encoding="utf-8",
        )

    async def start(self) -> None:
        """Starts the program with the command of the deploy file."""
        deploy = tomllib.loads(
            (_ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        command = deploy["roles"]["gateway"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(_ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BERYLWEIR_SETTINGS"] = str(self._settings)
        with self._log.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, stdout=log, stderr=log, cwd=_ROOT, env=environment
            )

    async def wait_until_ready(self) -> None:
        """Waits until the gateway says that it is ready.

        Raises:
            TimeoutError: It doesn't say so.
        """
        until_s = time.monotonic() + _READY_TIMEOUT_S
        while not await self._is_ready():
            if time.monotonic() > until_s:
                raise TimeoutError(f"{self._settings.stem} isn't ready")
            await asyncio.sleep(0.1)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self._ready
            )
        except OSError:
            return False
        try:
            writer.write(b"GET /berylweir/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            first, _ = await rig_http.read_head(reader)
            return " 200 " in first
        except (OSError, EOFError):
            return False
        finally:
            writer.close()

    def memory_bytes(self) -> int:
        """Returns the program's own resident memory; 0 if it doesn't run.

        Pages of files that it shares with other programs don't count.
        """
        if self._process is None or self._process.returncode is not None:
            return 0
        try:
            status = pathlib.Path(f"/proc/{self._process.pid}/status")
            for line in status.read_text(encoding="ascii").splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) * 1024
        except OSError:
            pass  # It has just ended.
        return 0

    async def kill(self) -> None:
        """Ends the program at once, if it runs."""
        if self._process is not None and self._process.returncode is None:
            os.kill(self._process.pid, signal.SIGKILL)
            await self._process.wait()

    def read_log(self) -> str:
        """Returns what the program has logged."""
        return self._log.read_text(encoding="utf-8", errors="replace")


def configuration(
    services: list[str],
    routes: list[tuple[str, str, str]],
    max_body_bytes: int = 1_000_000,
) -> dict[str, object]:
    """Returns a configuration as the operator writes it.

    Args:
        services: Names of the services; none is divided by key.
        routes: Name, service and type of each route; its prefix is its name.
        max_body_bytes: Longest body of a request, in bytes.
    """
    return {
        "cfgVer": "0000000c",
        "services": [
            {
                "name": service,
                "healthPath": "/healthz",
                "maxConns": 120,
                "warmupS": 3.0,
                "warmupPerS": 8.0,
                "sharded": False,
            }
            for service in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": max_body_bytes,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "vhosts": [
            {
                "host": "site.example",
                "paths": [
                    {
                        "name": name,
                        "pathPrefix": f"/{name}/",
                        "type": kind,
                        "backend": service,
                        "attempts": 2,
                        "timeoutMs": 2500,
                        "goalMs": 400,
                        "prio": 1,
                    }
                    for name, service, kind in routes
                ],
            }
        ],
    }
