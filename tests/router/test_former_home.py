"""Tests of requests to a home that has ended."""

import asyncio
import dataclasses

from tests.router import rig

_PEER_HEADERS = {
    "berylweir_group": "k",
    "berylweir_server": rig.SERVER,
    "berylweir_slice": "1",
    "berylweir_priority": "4",
    "berylweir_hop": "entry",
    "berylweir_deadline_ms": "60000",
}


def remove_homes(harness: rig.Rig) -> None:
    """Publishes routing data in which the router is home of no server."""
    ingress = harness.home.ingress
    ingress.set_routing(dataclasses.replace(ingress.routing, home_inboxes={}))


class TestFormerHome:
    """A home that stops while requests are sent to it."""

    async def test_request_is_refused_when_the_home_is_gone(self):
        """Guards against a request that waits in a mailbox without a reader."""
        async with rig.Rig() as harness:
            await harness.home_runner.stop()
            response = await rig.fetch(
                harness.home.peer_listener.port, rig.request(**_PEER_HEADERS)
            )
            assert response.status == 503
            assert response.fields["berylweir-refusal"] == "not-home"
            assert response.fields["berylweir-outcome"] == "not-run"

    async def test_connection_of_a_running_request_is_closed(self):
        """Guards against connections that stay open after their home ended."""
        arrived, gate = asyncio.Event(), asyncio.Event()

        async def script(stream: rig.Stream) -> None:
            await stream.next_request()
            arrived.set()
            await gate.wait()
            stream.respond(b"whole")
            await stream.reader.read()

        async with rig.Rig(script) as harness:
            fetching = asyncio.create_task(
                rig.fetch(harness.home.port, rig.request())
            )
            await arrived.wait()
            await harness.home_runner.stop()
            remove_homes(harness)
            gate.set()
            assert (await fetching).body == b"whole"
            await rig.wait_until(harness.streams[0].reader.at_eof)
