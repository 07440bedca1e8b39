"""Tests of the programs as separate processes."""

import asyncio
from collections.abc import Iterator
import pathlib
import signal
import subprocess
import sys

import httpx
import msgspec
import pytest

from berylweir.objects import client as platform_client
from berylweir.objects import schemas
from berylweir.standin import ports as ports_module

_HOST = "127.0.0.1"
_READY_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 20.0
_DRAINING_PROGRAM = """
import asyncio
import logging

from berylweir import process
from berylweir.supervision import models
from berylweir.supervision import supervisor


async def drain(context):
    context.report_ready()
    logging.getLogger().info("draining")
    await context.stop_event.wait()
    await asyncio.sleep(3600.0)


child = models.ChildSpec("child", drain, stop_timeout_s=3600.0)
process.run_tree(supervisor.Supervisor("root", (child,)), "INFO")
"""


class ProcessManager:
    """Starts programs as processes and kills them at the end of a test."""

    def __init__(self) -> None:
        self._processes: list[subprocess.Popen[bytes]] = []

    def start(self, module: str, *arguments: str) -> subprocess.Popen[bytes]:
        """Starts the program of a package of `berylweir`."""
        program = f"from berylweir.{module}.program import main; main()"
        process = subprocess.Popen(
            [sys.executable, "-c", program, *arguments],
            stderr=subprocess.DEVNULL,
        )
        self._processes.append(process)
        return process

    def kill_all(self) -> None:
        """Kills all processes and waits for their end."""
        for process in self._processes:
            process.kill()
            process.wait()


@pytest.fixture
def processes() -> Iterator[ProcessManager]:
    manager = ProcessManager()
    yield manager
    manager.kill_all()


async def _wait_until_served(
    client: httpx.AsyncClient, url: str, key: str
) -> str:
    """Returns the server that serves a key, once one does."""
    async with asyncio.timeout(_READY_TIMEOUT_S):
        while True:
            try:
                response = await client.get(url, headers={"berylweir-key": key})
            except httpx.HTTPError:
                await asyncio.sleep(0.05)
                continue
            if response.status_code == 200:
                return str(response.json()["server"])
            await asyncio.sleep(0.05)


async def _put(url: str, *objects: schemas.ConfigObject) -> None:
    async with httpx.AsyncClient(base_url=url) as http:
        client = platform_client.PlatformClient(http, 1.0)
        for value in objects:
            stored = await client.update(
                value.KIND, value.name, msgspec.json.encode(value), 0, "test"
            )
            assert stored.is_ok(), stored


def _write_settings(path: pathlib.Path) -> None:
    platform, keeper, link, status, router, peer, api = ports_module.free_ports(
        7
    )
    path.write_text(
        "[vm]\nname = vm-0\navailability_zone = a\n"
        f"[platform]\nurl = http://{_HOST}:{platform}\n"
        f"[keeper]\nport = {keeper}\nlink_port = {link}\n"
        f"status_port = {status}\n"
        f"[router]\nport = {router}\npeer_port = {peer}\n"
        f"[api]\nport = {api}\n"
    )


@pytest.mark.parametrize(
    "program", ["platform", "backend", "keeper", "router", "api"]
)
class TestSignals:
    """Signals in series, to programs that don't read settings again."""

    def _start(
        self, program: str, tmp_path: pathlib.Path
    ) -> subprocess.Popen[bytes]:
        """Starts a program and waits until it handles signals."""
        (port,) = ports_module.free_ports(1)
        settings = tmp_path / "vm.ini"
        _write_settings(settings)
        module, arguments = {
            "platform": ("standin", ["platform", "--port", str(port)]),
            "backend": ("standin", ["backend", "s", "--port", str(port)]),
        }.get(program, (program, [str(settings)]))
        process = subprocess.Popen(
            [
                sys.executable,
                "-c",
                f"from berylweir.{module}.program import main; main()",
                *arguments,
            ],
            stderr=subprocess.PIPE,
        )
        assert process.stderr is not None
        while b'"started"' not in (line := process.stderr.readline()):
            assert line, "the program ended"
        return process

    def _stop(
        self, process: subprocess.Popen[bytes], *numbers: signal.Signals
    ) -> tuple[int, bytes]:
        """Sends signals; returns the exit status and the last log lines.

        The others follow as soon as the program has handled the first, since
        the kernel merges equal signals that are pending.
        """
        assert process.stderr is not None
        try:
            process.send_signal(numbers[0])
            while b'"stopping"' not in (line := process.stderr.readline()):
                assert line, "the program ended without a shutdown"
            for number in numbers[1:]:
                process.send_signal(number)
            _, log = process.communicate(timeout=_STOP_TIMEOUT_S)
        finally:
            process.kill()
            process.wait()
        return process.returncode, log

    @pytest.mark.parametrize(
        "numbers",
        [
            (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGINT),
            (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT),
        ],
        ids=["hangup first", "hangup later"],
    )
    def test_series_is_a_planned_stop(self, program, numbers, tmp_path):
        """Guards against a hangup that ends a program without a shutdown."""
        process = self._start(program, tmp_path)
        status, log = self._stop(process, *numbers)
        assert status == 0
        assert b"Traceback" not in log


class TestSecondInterrupt:
    """Ctrl-C pressed twice, while the program drains."""

    def test_has_a_status_of_its_own(self):
        """Guards against a traceback for the user, and a wait for the drain."""
        process = subprocess.Popen(
            [sys.executable, "-c", _DRAINING_PROGRAM], stderr=subprocess.PIPE
        )
        assert process.stderr is not None
        try:
            for expected in (b"draining", b'"stopping"'):
                while expected not in (line := process.stderr.readline()):
                    assert line, "the program ended"
                process.send_signal(signal.SIGINT)
            _, log = process.communicate(timeout=_STOP_TIMEOUT_S)
        finally:
            process.kill()
            process.wait()
        assert process.returncode == 130
        assert b"Traceback" not in log


class TestPrograms:
    """Programs of the stand-ins, the keeper and the router."""

    async def test_request_goes_through_separate_processes(
        self, processes: ProcessManager, tmp_path: pathlib.Path
    ):
        """Guards against a request path that works only in one process."""
        platform_port, *ports = ports_module.free_ports(13)
        backend_ports, vm_ports = ports[:2], ports[2:]
        platform_url = f"http://{_HOST}:{platform_port}"
        processes.start("standin", "platform", "--port", str(platform_port))
        for index, port in enumerate(backend_ports):
            processes.start(
                "standin", "backend", f"s-{index}", "--port", str(port)
            )
        routers = []
        vms = []
        for index, zone in enumerate(("a", "b")):
            keeper, link, status, router, peer = vm_ports[
                index * 5 : index * 5 + 5
            ]
            vms.append(schemas.Vm(f"vm-{index}", zone, _HOST, peer, keeper))
            path = tmp_path / f"vm-{index}.ini"
            path.write_text(
                f"[vm]\nname = vm-{index}\navailability_zone = {zone}\n"
                f"[platform]\nurl = {platform_url}\n"
                f"[keeper]\nport = {keeper}\nlink_port = {link}\n"
                f"status_port = {status}\n"
                f"[router]\nport = {router}\npeer_port = {peer}\n"
            )
            processes.start("keeper", str(path))
            routers.append((processes.start("router", str(path)), router))
        async with httpx.AsyncClient() as client:
            async with asyncio.timeout(_READY_TIMEOUT_S):
                while True:
                    try:
                        await client.get(f"{platform_url}/vms")
                        break
                    except httpx.HTTPError:
                        await asyncio.sleep(0.05)
            await _put(
                platform_url,
                schemas.ServerGroup("s", schemas.Keyed(slices=8)),
                schemas.Selector("s", "/", "s"),
                *vms,
                *(
                    schemas.BackendServer(f"s-{i}", "s", "a", _HOST, port)
                    for i, port in enumerate(backend_ports)
                ),
            )
            owners = {
                await _wait_until_served(
                    client, f"http://{_HOST}:{port}/x", "key"
                )
                for _, port in routers
            }
        assert len(owners) == 1
        process, _ = routers[0]
        process.terminate()
        assert process.wait(_STOP_TIMEOUT_S) == 0

    def test_faulty_settings_start_nothing(self, tmp_path: pathlib.Path):
        """Guards against a program that starts with invalid settings."""
        path = tmp_path / "bad.ini"
        path.write_text("[vm]\nname = UPPER\n")
        for module in ("keeper", "router"):
            result = subprocess.run(
                [
                    sys.executable,
                    "-c",
                    f"from berylweir.{module}.program import main; main()",
                    str(path),
                ],
                capture_output=True,
                timeout=_STOP_TIMEOUT_S,
                check=False,
            )
            assert result.returncode == 2
            assert b"conf.E005 [vm] name" in result.stderr
            assert b"Traceback" not in result.stderr
