"""Tests of requests to other gateways."""

import asyncio

import pynng
import result

from berylweir.gateway import models
from berylweir.gateway.peers import exceptions
from berylweir.gateway.peers import messages
from berylweir.gateway.peers import task as peers
from berylweir.observability import counters
from tests.gateway import rig


class TestPeerClient:
    """Requests to other gateways and their replies."""

    async def test_a_request_fails_when_the_client_is_closed(self):
        """Guards against a task that crashes when the gateway stops."""
        port = rig.free_port()
        vm = models.Vm("v", "run", "127.0.0.1", port, "a")
        with pynng.Rep0(listen=f"tcp://127.0.0.1:{port}"):
            client = peers.PeerClient(counters.Counters())
            asking = asyncio.create_task(
                client.ask(vm, messages.GetStatus(), max_hold_s=5.0)
            )
            await asyncio.sleep(0.2)
            client.close()
            async with asyncio.timeout(5):
                reply = await asking
        assert isinstance(reply, result.Err)
        assert isinstance(reply.err_value, exceptions.PeerUnresponsive)
