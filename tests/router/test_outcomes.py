"""Tests of the responses that callers get when an exchange fails."""

import asyncio
import contextlib

import pytest

from berylweir.router.ingress import decisions
from tests.router import rig

_MEGABYTE = 1_000_000
# Upper bound of what the body limits and the reads from a socket let a router
# buffer.
_MAX_BUFFERED_BYTES = 2 * _MEGABYTE


def post_with_request_id(**fields: str) -> bytes:
    return rig.request("POST", idempotency_key=rig.uuid7(), **fields)


@pytest.mark.parametrize("hops", [1, 2])
class TestTruncatedDownload:
    """A response that is cut."""

    @pytest.mark.parametrize("framing", ["content-length", "chunked"])
    async def test_is_an_error_at_the_caller(self, hops: int, framing: str):
        """Guards against a cut response that looks complete to the caller."""

        async def script(stream: rig.Stream) -> None:
            await stream.next_request()
            if framing == "chunked":
                stream.writer.write(
                    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
                    b"3e8\r\n" + bytes(1000) + b"\r\n"
                )
            else:
                stream.writer.write(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n"
                    + bytes(1000)
                )
            await stream.writer.drain()

        async with rig.Rig(script) as harness:
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await rig.fetch(harness.vm(hops).port, rig.request())
            assert harness.vm(hops).count("router.response.cut") == 1


@pytest.mark.parametrize("hops", [1, 2])
class TestCrossedResponse:
    """Bytes on a connection without a request."""

    @pytest.mark.parametrize("delay_s", [0.0, 0.05])
    async def test_second_response_reaches_nobody(
        self, hops: int, delay_s: float
    ):
        """Guards against sending a late response to another caller."""

        async def script(stream: rig.Stream) -> None:
            while True:
                request = await stream.next_request()
                stream.respond(request.start_line.split()[1].encode())
                await asyncio.sleep(delay_s)
                stream.respond(b"crossed")

        async with rig.Rig(script) as harness:
            for number in range(20):
                path = f"/k/{number}"
                response = await rig.fetch(
                    harness.vm(hops).port, rig.request(path=path)
                )
                assert response.body == path.encode()
                await asyncio.sleep(delay_s)

    async def test_unread_response_is_detected_before_the_next_request(
        self, hops: int
    ):
        """Guards against a late response that the event loop has not read."""

        async def script(stream: rig.Stream) -> None:
            while True:
                request = await stream.next_request()
                stream.respond(request.start_line.split()[1].encode())

        async with rig.Rig(script) as harness:
            port = harness.vm(hops).port
            await rig.fetch(port, rig.request())
            # The bytes are in the socket at once, but the event loop reads
            # them only after the call of `take_idle`.
            harness.streams[0].respond(b"crossed")
            pool = harness.home_task._pools[rig.SERVER]
            assert pool.take_idle() is None
            response = await rig.fetch(port, rig.request(path="/k/next"))
            assert response.body == b"/k/next"


@pytest.mark.parametrize("hops", [1, 2])
class TestCallerThatDisconnects:
    """A caller that closes its connection while it waits for a response."""

    async def test_cancels_the_work_and_retires_the_connection(self, hops: int):
        """Guards against continuing a request without a caller."""
        cancelled = asyncio.Event()
        arrived = asyncio.Event()

        async def script(stream: rig.Stream) -> None:
            await stream.next_request()
            arrived.set()
            if stream.number == 0:
                await stream.reader.read()
                cancelled.set()
            stream.respond(b"fresh")

        async with rig.Rig(script, slots=1) as harness:
            port = harness.vm(hops).port
            async with (
                asyncio.timeout(rig.WAIT_S),
                rig.open_caller_connection(port) as (_, writer),
            ):
                writer.write(rig.request())
                await arrived.wait()
            async with asyncio.timeout(rig.WAIT_S):
                await cancelled.wait()
            response = await rig.fetch(port, rig.request())
            assert response.body == b"fresh"
            assert harness.home.count("router.exchange.cancelled") == 1


class TestDeadline:
    """The deadline set by a caller."""

    @pytest.mark.parametrize("hops", [1, 2])
    async def test_shrinks_at_each_hop(self, hops: int):
        """Guards against a home that works longer than the caller waits.

        Each hop forwards only the time that is left, in whole milliseconds.
        """
        queued_ms = 50
        gate = asyncio.Event()
        held = asyncio.Event()
        deadlines_ms: list[int] = []

        async def script(stream: rig.Stream) -> None:
            while True:
                request = await stream.next_request()
                if request.start_line.split()[1] == "/k/hold":
                    held.set()
                    await gate.wait()
                else:
                    deadlines_ms.append(
                        int(request.fields["berylweir-deadline-ms"])
                    )
                stream.respond()

        async with rig.Rig(script, slots=1) as harness:
            holding = asyncio.create_task(
                rig.fetch(harness.home.port, rig.request(path="/k/hold"))
            )
            await held.wait()
            entry = harness.vm(hops)
            received = entry.count("router.requests")
            fetching = asyncio.create_task(
                rig.fetch(entry.port, rig.request(berylweir_deadline_ms="3000"))
            )
            await rig.wait_until(
                lambda: (
                    entry.count("router.requests") > received
                    and harness.home.count("router.peer.requests") >= hops - 1
                )
            )
            await asyncio.sleep(queued_ms / 1000.0)
            gate.set()
            assert (await fetching).status == 200
            await holding
        # Each hop rounds what is left down, after some time has passed.
        assert 0 < deadlines_ms[0] <= 3000 - queued_ms - hops

    @pytest.mark.parametrize("hops", [1, 2])
    async def test_cancels_the_work(self, hops: int):
        """Guards against continuing a request after its deadline."""
        cancelled = asyncio.Event()

        async def script(stream: rig.Stream) -> None:
            await stream.next_request()
            await stream.reader.read()
            cancelled.set()

        async with rig.Rig(script) as harness:
            response = await rig.fetch(
                harness.vm(hops).port,
                post_with_request_id(berylweir_deadline_ms="150"),
            )
            assert response.status == 504
            assert response.fields["berylweir-outcome"] == "unknown"
            async with asyncio.timeout(rig.WAIT_S):
                await cancelled.wait()


@pytest.mark.parametrize("hops", [1, 2])
class TestLargeBodies:
    """Bodies larger than a router may buffer."""

    async def test_download_is_bounded_while_the_caller_is_slow(
        self, hops: int
    ):
        """Guards against buffering a whole download in memory."""
        size = 50 * _MEGABYTE

        async def script(stream: rig.Stream) -> None:
            await stream.next_request()
            stream.writer.write(
                b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size
            )
            for _ in range(50):
                stream.writer.write(bytes(_MEGABYTE))
                await stream.writer.drain()

        received = 0
        async with (
            rig.Rig(script) as harness,
            rig.sample_buffers(harness) as buffers,
            asyncio.timeout(3 * rig.WAIT_S),
            rig.open_caller_connection(harness.vm(hops).port) as (
                reader,
                writer,
            ),
        ):
            writer.write(rig.request(berylweir_deadline_ms="60000"))
            await rig.read_head(reader)
            await asyncio.sleep(0.3)
            while received < size:
                part = await reader.read(_MEGABYTE)
                assert part, f"cut after {received} bytes"
                received += len(part)
        assert received == size
        assert 0 < buffers.max_bytes <= _MAX_BUFFERED_BYTES

    async def test_upload_is_bounded_while_the_server_is_slow(self, hops: int):
        """Guards against buffering a whole upload in memory."""
        size = 20 * _MEGABYTE

        async def script(stream: rig.Stream) -> None:
            head = await rig.read_head(stream.reader)
            await asyncio.sleep(0.3)
            left = int(head.fields["content-length"])
            while left:
                left -= len(await stream.reader.read(min(left, _MEGABYTE)))
            stream.respond(b"whole")

        async with (
            rig.Rig(script) as harness,
            rig.sample_buffers(harness) as buffers,
            asyncio.timeout(3 * rig.WAIT_S),
            rig.open_caller_connection(harness.vm(hops).port) as (
                reader,
                writer,
            ),
        ):
            writer.write(
                post_with_request_id(
                    content_length=str(size), berylweir_deadline_ms="60000"
                )
            )
            for _ in range(20):
                writer.write(bytes(_MEGABYTE))
                await writer.drain()
            response = await rig.read_message(reader)
        assert response.body == b"whole"
        assert 0 < buffers.max_bytes <= _MAX_BUFFERED_BYTES


class TestRefusalThroughTwoHops:
    """A refusal of the home that the entry router forwards."""

    async def test_is_unchanged(self):
        """Guards against an entry router that changes or drops the outcome."""
        responses = []
        async with rig.Rig() as harness:
            for hops in (1, 2):
                responses.append(
                    await rig.fetch(
                        harness.vm(hops).port,
                        rig.request("POST", idempotency_key="none"),
                    )
                )
        first, second = responses
        assert first.status == second.status == 400
        assert first.body == second.body
        for name in ("berylweir-outcome", "berylweir-refusal", "content-type"):
            assert first.fields[name] == second.fields[name]

    async def test_backend_server_cannot_forge_a_refusal(self):
        """Guards against a forged refusal that makes a request run twice."""
        runs = 0

        async def script(stream: rig.Stream) -> None:
            nonlocal runs
            while True:
                await stream.next_request()
                runs += 1
                stream.respond(
                    status="503 Busy", extra="berylweir-refusal: not-home\r\n"
                )

        async with rig.Rig(script) as harness:
            response = await rig.fetch(
                harness.entry.port, post_with_request_id()
            )
        assert response.status == 503
        assert "berylweir-refusal" not in response.fields
        assert runs == 1


@pytest.mark.parametrize("hops", [1, 2])
class TestCutAfterSending:
    """A connection that is cut after the request was sent."""

    async def test_post_has_unknown_outcome_and_runs_once(self, hops: int):
        """Guards against running a non-idempotent request twice."""
        runs = 0

        async def script(stream: rig.Stream) -> None:
            nonlocal runs
            await stream.next_request()
            runs += 1

        async with rig.Rig(script) as harness:
            response = await rig.fetch(
                harness.vm(hops).port, post_with_request_id()
            )
            assert response.status == 502
            assert response.fields["berylweir-outcome"] == "unknown"
            assert response.fields["berylweir-refusal"] == "exchange-cut"
            assert runs == 1

    async def test_get_is_repeated_once(self, hops: int):
        """Guards against failing a GET because one connection was cut."""

        async def script(stream: rig.Stream) -> None:
            await stream.next_request()
            if stream.number > 0:
                stream.respond(b"second")

        async with rig.Rig(script) as harness:
            response = await rig.fetch(harness.vm(hops).port, rig.request())
            assert response.body == b"second"
            assert harness.home.count("router.retries") == 1

    async def test_get_is_repeated_no_more_than_once(self, hops: int):
        """Guards against retries at each of the hops."""
        runs = 0

        async def script(stream: rig.Stream) -> None:
            nonlocal runs
            await stream.next_request()
            runs += 1

        async with rig.Rig(script) as harness:
            response = await rig.fetch(harness.vm(hops).port, rig.request())
            assert response.status == 502
            assert runs == 2

    async def test_retries_stay_within_the_budget(self, hops: int):
        """Guards against retries that add to an overload."""
        runs = 0
        requests = 40

        async def script(stream: rig.Stream) -> None:
            nonlocal runs
            await stream.next_request()
            runs += 1

        async with rig.Rig(script) as harness:
            for number in range(requests):
                # Each request has its own path, because a path that always
                # cuts its connection would be quarantined.
                await rig.fetch(
                    harness.vm(hops).port, rig.request(path=f"/k/{number}")
                )
            assert runs <= requests * 1.1 + 1
            assert harness.home.count("router.retries.over_budget") > 0

    async def test_server_that_sheds_is_not_tried_again(self, hops: int):
        """Guards against retries at a server that sheds requests."""
        runs = 0

        async def script(stream: rig.Stream) -> None:
            nonlocal runs
            while True:
                await stream.next_request()
                runs += 1
                stream.respond(
                    status="503 Busy", extra="berylweir-outcome: not-run\r\n"
                )

        async with rig.Rig(script) as harness:
            response = await rig.fetch(harness.vm(hops).port, rig.request())
            assert response.status == 503
            assert response.fields["berylweir-outcome"] == "not-run"
            assert runs == 1


class TestRetryBudget:
    """The limit on the share of retries."""

    def test_allows_a_tenth_of_the_requests(self):
        """Guards against a budget that allows too many or too few retries."""
        budget = decisions.RetryBudget(0.1)
        retries = 0
        for _ in range(1000):
            budget.add_request()
            retries += budget.try_spend()
        assert 99 <= retries <= 101


class TestHead:
    """Responses to HEAD."""

    async def test_response_has_no_body(self):
        """Guards against waiting for a body after a response to HEAD."""

        async def script(stream: rig.Stream) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError):
                await stream.next_request()
                stream.writer.write(
                    b"HTTP/1.1 200 OK\r\ncontent-length: 500\r\n\r\n"
                )
                await stream.reader.read()

        async with (
            rig.Rig(script) as harness,
            rig.open_caller_connection(harness.home.port) as (reader, writer),
            asyncio.timeout(rig.WAIT_S),
        ):
            for _ in range(2):
                writer.write(rig.request("HEAD"))
                head = await rig.read_head(reader)
                assert head.fields["content-length"] == "500"
