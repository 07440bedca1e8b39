"""Tests that the listeners refuse invalid requests, over real sockets."""

import asyncio
import contextlib

import pytest

from berylweir.router.ingress import models
from tests.router import rig

_LIMITS = models.Limits(
    max_header_bytes=2048,
    max_body_bytes=100_000,
    max_key_bytes=64,
    body_timeout_s=0.4,
)
_CHUNKED = {"transfer_encoding": "chunked"}
_LARGE_CHUNK = b"4000\r\n" + bytes(0x4000) + b"\r\n"
_INVALID_REQUESTS = {
    "length and encoding": (
        rig.request(content_length="3", **_CHUNKED) + b"0\r\n\r\n",
        400,
        "bad-request",
    ),
    "two lengths": (
        b"GET /k/x HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        400,
        "bad-request",
    ),
    "other encoding": (
        rig.request(transfer_encoding="gzip, chunked") + b"0\r\n\r\n",
        400,
        "bad-request",
    ),
    "bad chunk": (rig.request(**_CHUNKED) + b"zz\r\n", 400, "bad-request"),
    "no http": (b"\x16\x03\x01\x02\x00\x01\r\n\r\n", 400, "bad-request"),
    "http 1.0": (b"GET /k/x HTTP/1.0\r\n\r\n", 400, "bad-request"),
    "upgrade": (
        rig.request(upgrade="websocket", connection="upgrade"),
        400,
        "bad-request",
    ),
    "two keys": (
        b"GET /k/x HTTP/1.1\r\nberylweir-key: a\r\nberylweir-key: b\r\n\r\n",
        400,
        "bad-request",
    ),
    "long headers": (rig.request(x="y" * 3000), 431, "headers-too-large"),
    "endless headers": (
        b"GET /k/x HTTP/1.1\r\nx: " + b"y" * 3000,
        431,
        "headers-too-large",
    ),
    "long target": (
        rig.request(path="/k/" + "y" * 3000),
        431,
        "headers-too-large",
    ),
    "large stated body": (
        rig.request("POST", content_length="100001"),
        413,
        "body-too-large",
    ),
    "large chunked body": (
        rig.request("PUT", **_CHUNKED, idempotency_key=rig.FRESH_ID)
        + _LARGE_CHUNK * 7
        + b"0\r\n\r\n",
        413,
        "body-too-large",
    ),
    "no key": (rig.request(berylweir_key=""), 400, "bad-key"),
    "long key": (rig.request(berylweir_key="k" * 65), 400, "bad-key"),
    "deadline in words": (
        rig.request(berylweir_deadline_ms="soon"),
        400,
        "bad-deadline",
    ),
    "negative deadline": (
        rig.request(berylweir_deadline_ms="-5"),
        400,
        "bad-deadline",
    ),
    "deadline of 1500 digits": (
        rig.request(berylweir_deadline_ms="9" * 1500),
        400,
        "bad-deadline",
    ),
    "no such path": (rig.request(path="/none"), 404, "no-selector"),
    "slow head": (b"GET /k/x HTTP/1.1\r\nx:", 408, "slow-sender"),
    "slow small body": (
        rig.request("POST", content_length="10") + b"abc",
        408,
        "slow-sender",
    ),
    "slow large body": (
        rig.request(
            "POST", content_length="90000", idempotency_key=rig.FRESH_ID
        )
        + bytes(80_000),
        408,
        "slow-sender",
    ),
    **{
        f"internal {name}": (
            rig.request(**{f"berylweir_{name}": "1"}),
            400,
            "internal-header",
        )
        for name in ("slice", "token", "server", "hop", "priority", "refusal")
    },
}
_PEER_HEADERS = {
    "berylweir_group": "k",
    "berylweir_server": rig.SERVER,
    "berylweir_slice": "1",
    "berylweir_priority": "4",
    "berylweir_hop": "entry",
}
_INVALID_PEER_HEADERS = {
    "no internal headers": (
        dict.fromkeys(_PEER_HEADERS, ""),
        400,
        "bad-request",
    ),
    "no hop": ({"berylweir_hop": ""}, 400, "bad-request"),
    "no slice": ({"berylweir_slice": ""}, 400, "bad-request"),
    "no server": ({"berylweir_server": ""}, 400, "bad-request"),
    "slice in words": ({"berylweir_slice": "x"}, 400, "bad-request"),
    "negative slice": ({"berylweir_slice": "-1"}, 400, "bad-request"),
    "slice out of range": ({"berylweir_slice": "2"}, 400, "bad-request"),
    "slice too long": ({"berylweir_slice": "1" * 1500}, 400, "bad-request"),
    "bad priority": ({"berylweir_priority": "8"}, 400, "bad-request"),
    "no priority": ({"berylweir_priority": ""}, 400, "bad-request"),
    "a token": ({"berylweir_token": "1"}, 400, "internal-header"),
    "other group": ({"berylweir_group": "other"}, 503, "not-home"),
    "other server": ({"berylweir_server": "other"}, 503, "not-home"),
}


class TestCallerPort:
    """Invalid requests of a caller."""

    @pytest.mark.parametrize("name", _INVALID_REQUESTS)
    async def test_is_refused_by_type(self, name: str):
        """Guards against forwarding invalid requests or failing on them."""
        data, status, refusal = _INVALID_REQUESTS[name]
        async with rig.Rig(limits=_LIMITS) as harness:
            response = await rig.fetch(harness.home.port, data)
            assert response.status == status
            assert response.fields["berylweir-refusal"] == refusal
            assert harness.home.count(f"router.refused.{refusal}") == 1
            assert harness.home.count("router.request.crashed") == 0
            response = await rig.fetch(harness.home.port, rig.request())
            assert response.body == b"/k/x"

    @pytest.mark.parametrize("size", [10, 90_000])
    async def test_cut_body_is_refused(self, size: int):
        """Guards against running a request whose body is incomplete."""
        data = rig.request(
            "POST", content_length=str(size), idempotency_key=rig.FRESH_ID
        )
        async with rig.Rig(limits=_LIMITS) as harness:
            response = await rig.fetch(
                harness.home.port, data + bytes(size - 1), eof=True
            )
            assert response.status == 400
            assert response.fields["berylweir-refusal"] == "body-cut"
            assert response.fields["berylweir-outcome"] == (
                "not-run" if size == 10 else "unknown"
            )
            assert harness.home.count("router.refused.body-cut") == 1

    async def test_group_and_deadline_of_callers_are_not_forwarded(self):
        """Guards against callers that set headers meant for routers only."""
        forwarded: list[rig.Message] = []

        async def script(stream: rig.Stream) -> None:
            forwarded.append(await stream.next_request())
            stream.respond()

        async with rig.Rig(script) as harness:
            await rig.fetch(
                harness.home.port,
                rig.request(berylweir_group="x", berylweir_deadline_ms="900"),
            )
        assert "berylweir-group" not in forwarded[0].fields
        assert 0 < int(forwarded[0].fields["berylweir-deadline-ms"]) <= 900

    async def test_pipelined_requests_are_answered_in_order(self):
        """Guards against responses in another order than the requests."""
        async with (
            rig.Rig() as harness,
            asyncio.timeout(rig.WAIT_S),
            rig.open_caller_connection(harness.home.port) as (reader, writer),
        ):
            writer.write(
                b"".join(rig.request(path=f"/k/{i}") for i in range(20))
            )
            for number in range(20):
                response = await rig.read_message(reader)
                assert response.body == f"/k/{number}".encode()


class TestSlowConnections:
    """Many callers that send their requests slowly."""

    async def test_others_are_served(self):
        """Guards against slow callers that use up slots."""
        async with (
            rig.Rig(limits=_LIMITS, slots=2) as harness,
            contextlib.AsyncExitStack() as stack,
        ):
            partial_requests = (
                b"GET /k/x HTTP/1.1\r\nx:",
                rig.request("POST", content_length="10") + b"abc",
            )
            readers = []
            for number in range(300):
                reader, writer = await stack.enter_async_context(
                    rig.open_caller_connection(harness.home.port)
                )
                writer.write(partial_requests[number % 2])
                readers.append(reader)
            for _ in range(20):
                response = await rig.fetch(harness.home.port, rig.request())
                assert response.status == 200
            async with asyncio.timeout(rig.WAIT_S):
                responses = [await rig.read_message(r) for r in readers]
            assert {a.status for a in responses} == {408}
            assert harness.home.count("router.refused.slow-sender") == 300


class TestPeerPort:
    """Requests of other routers with invalid internal headers."""

    @pytest.mark.parametrize("name", _INVALID_PEER_HEADERS)
    async def test_is_refused_by_type(self, name: str):
        """Guards against internal headers that cause errors or skip checks."""
        fields, status, refusal = _INVALID_PEER_HEADERS[name]
        async with rig.Rig(limits=_LIMITS) as harness:
            port = harness.home.peer_listener.port
            response = await rig.fetch(
                port, rig.request(**{**_PEER_HEADERS, **fields})
            )
            assert response.status == status
            assert response.fields["berylweir-refusal"] == refusal
            assert harness.home.count(f"router.refused.{refusal}") == 1
            assert harness.home.count("router.request.crashed") == 0
            response = await rig.fetch(port, rig.request(**_PEER_HEADERS))
            assert response.body == b"/k/x"
