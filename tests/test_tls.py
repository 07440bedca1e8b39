"""Tests of TLS to callers and to the administration API."""

import asyncio
import pathlib
import shutil
import ssl

import httpx
import msgspec
import pytest

from berylweir.api import supervisor as api_supervisor
from berylweir.conf import loading
from berylweir.observability import counters
from berylweir.router import supervisor as router_supervisor
from berylweir.standin import deployment
from berylweir.standin import ports as ports_module

# Made with `openssl req -x509 -newkey ec -pkeyopt
# ec_paramgen_curve:prime256v1 -nodes -days 36500`, for these tests only.
_CERTIFICATES = pathlib.Path(__file__).parent / "certificates"


def install_certificate(directory: pathlib.Path, name: str) -> tuple[str, str]:
    """Copies a certificate and its key to the paths in the settings."""
    for suffix in ("pem", "key"):
        shutil.copy(
            _CERTIFICATES / f"{name}.{suffix}", directory / f"in-force.{suffix}"
        )
    return str(directory / "in-force.pem"), str(directory / "in-force.key")


def create_trusting_client(name: str) -> httpx.AsyncClient:
    """Returns a client that accepts only one certificate."""
    context = ssl.create_default_context(
        cafile=str(_CERTIFICATES / f"{name}.pem")
    )
    return httpx.AsyncClient(verify=context)


async def wait_accepted(
    name: str, url: str, first_client: httpx.AsyncClient
) -> None:
    """Waits until a listener uses a certificate for new connections.

    Meanwhile `first_client` sends requests, so that its connection isn't
    closed for being idle.
    """
    async with asyncio.timeout(10):
        while True:
            await first_client.get(url)
            async with create_trusting_client(name) as client:
                try:
                    await client.get(url)
                except httpx.ConnectError:
                    await asyncio.sleep(0.05)
                else:
                    return


class TestTls:
    """Certificates of the listeners."""

    @pytest.mark.parametrize("program", ["api", "router"])
    async def test_new_certificate_leaves_connections_alone(
        self, program: str, tmp_path: pathlib.Path
    ):
        """Guards against a renewal that closes open connections."""
        certificate, key = install_certificate(tmp_path, "first")
        async with deployment.Deployment((), vms=1) as cluster:
            settings = cluster.vms["vm-0"].settings
            metrics = counters.Counters()
            if program == "api":
                section = msgspec.structs.replace(
                    settings.api, certificate=certificate, private_key=key
                )
                settings = msgspec.structs.replace(settings, api=section)
                supervisor_tree, port = (
                    api_supervisor.build(settings, metrics),
                    section.port,
                )
            else:
                port, peer_port = ports_module.free_ports(2)
                settings = msgspec.structs.replace(
                    settings,
                    router=msgspec.structs.replace(
                        settings.router,
                        port=port,
                        peer_port=peer_port,
                        certificate=certificate,
                        private_key=key,
                    ),
                )
                supervisor_tree = router_supervisor.build(settings, metrics)
            running_program = deployment.ChildRunner(supervisor_tree.run)
            await running_program.start()
            url = f"https://127.0.0.1:{port}/healthz"
            async with create_trusting_client("first") as first_client:
                assert (await first_client.get(url)).status_code == 200
                # While only one of the two files is replaced, the first pair
                # stays in use.
                shutil.copy(_CERTIFICATES / "second.pem", certificate)
                async with asyncio.timeout(10):
                    while not metrics.counts.get("tls.reload_failed"):
                        await first_client.get(url)
                        await asyncio.sleep(0.05)
                async with create_trusting_client("first") as new_client:
                    assert (await new_client.get(url)).status_code == 200
                install_certificate(tmp_path, "second")
                await wait_accepted("second", url, first_client)
                # This client trusts only the first certificate, so a request
                # succeeds only on its open connection.
                assert (await first_client.get(url)).status_code == 200
                with pytest.raises(httpx.ConnectError):
                    async with create_trusting_client("first") as late_client:
                        await late_client.get(url)
            await running_program.kill()


class TestTlsSettings:
    """Checks of the files that settings name."""

    def test_faults_of_all_files_are_named_at_once(
        self, tmp_path: pathlib.Path
    ):
        """Guards against a program that starts with unusable files."""
        certificate, _ = install_certificate(tmp_path, "first")
        tokens = tmp_path / "tokens.ini"
        tokens.write_text("[ana]\nrole = king\ntoken_sha256 = x\n")
        faults = loading.parse(
            "[vm]\nname = v\navailability_zone = a\n"
            "[platform]\nurl = http://127.0.0.1:1\n"
            f"[router]\ncertificate = {certificate}\n"
            f"[api]\ncertificate = {certificate}\n"
            f"private_key = {_CERTIFICATES / 'second.key'}\n"
            f"tokens = {tokens}\n"
        ).unwrap_err()
        assert [(f.id, f.section) for f in faults] == [
            ("conf.E109", "router"),
            ("conf.E111", "api"),
            ("conf.E110", "ana"),
        ]
