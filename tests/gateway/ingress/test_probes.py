"""Tests of the server for readiness checks and metrics."""

import asyncio
import http
import logging

import pytest
import uvloop

from berylweir.gateway.ingress import probes
from berylweir.standin import deployment
from berylweir.standin import ports

_HOST = "127.0.0.1"
_REQUEST = b"GET /metrics HTTP/1.1\r\n\r\n"


async def _stop_beside_open_connections() -> list[bytes]:
    """Stops a server whose clients stay; returns what they read after that."""
    port = ports.free_ports(1)[0]
    server = probes.ProbeServer(
        (_HOST, port), lambda _: probes.ProbeResponse(http.HTTPStatus.OK)
    )
    runner = deployment.ChildRunner(server.run)
    await runner.start()
    idle_reader, idle = await asyncio.open_connection(_HOST, port)
    served_reader, served = await asyncio.open_connection(_HOST, port)
    served.write(_REQUEST)
    await served_reader.readuntil(b"\r\n\r\n")
    await runner.stop()
    remainders = []
    for reader, writer in ((idle_reader, idle), (served_reader, served)):
        remainders.append(await reader.read())
        writer.close()
    return remainders


class TestStop:
    """A stop while clients keep their connections open."""

    def test_is_logged_without_errors(self, caplog: pytest.LogCaptureFixture):
        """Guards against error lines and open connections at a planned stop."""
        with caplog.at_level(logging.ERROR):
            remainders = uvloop.run(
                asyncio.wait_for(_stop_beside_open_connections(), 10.0)
            )
        assert remainders == [b"", b""]
        assert not caplog.records
