"""Tests of requests to other gateways."""

import asyncio

import msgspec
import pynng
import result

from berylweir.gateway import models
from berylweir.gateway.ownership import lease_history
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


class TestLongMessages:
    """Messages that are longer than gateways send them."""

    async def test_message_that_is_too_long_is_not_received(self):
        """Guards against messages that use up the memory of a VM."""
        async with rig.Rig() as deployment:
            await deployment.configure({}, [])
            gateway = await deployment.add_gateway()
            address = f"tcp://127.0.0.1:{gateway.environment.peer_port}"
            with pynng.Req0(dial=address) as sender:
                await sender.asend(bytes(17 * 2**20))
                await asyncio.sleep(0.5)
            with pynng.Req0(dial=address) as sender:
                await sender.asend(messages.encode(messages.GetStatus()))
                async with asyncio.timeout(5.0):
                    reply = messages.decode_reply(await sender.arecv())
            assert isinstance(reply.unwrap(), messages.GatewayStatus)
            assert "peers.undecodable" not in gateway.metrics.counts


class TestOlderMessages:
    """Messages of gateways of an earlier release."""

    def test_status_without_newer_fields_is_decoded(self):
        """Guards against gateways that don't understand each other."""
        older = msgspec.msgpack.encode(
            {
                "type": "standing",
                "incarnation": "run",
                "epoch": 3,
                "is_holder": True,
            }
        )
        match messages.decode_reply(older):
            case result.Ok(messages.GatewayStatus() as status):
                assert messages.decode_former_leases(status.former) is None
            case other:
                raise AssertionError(other)

    def test_announcement_without_holder_is_decoded(self):
        """Guards against a former holder that doesn't resign."""
        older = msgspec.msgpack.encode({"type": "resign", "epoch": 3})
        assert messages.decode_request(older) == result.Ok(
            messages.ResignLease(3)
        )


class TestFormerLeases:
    """Leases that a status names."""

    def test_encoding_keeps_all(self):
        """Guards against a holder that nobody waits for."""
        former = lease_history.FormerLeases(
            (
                lease_history.FormerLease("vm-1", "a", 4),
                lease_history.FormerLease("vm-2", "b", 5),
            ),
            is_last=True,
        )
        status = messages.GatewayStatus(
            "run", 6, False, former=messages.encode_former_leases(former)
        )
        match messages.decode_reply(messages.encode(status)):
            case result.Ok(messages.GatewayStatus() as decoded):
                assert messages.decode_former_leases(decoded.former) == former
            case other:
                raise AssertionError(other)
