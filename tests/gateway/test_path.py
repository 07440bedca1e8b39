"""End-to-end tests of requests from a caller to a backend server."""

import asyncio
import contextlib
import itertools

import pytest

from berylweir.gateway.exchange import outcomes
from berylweir.standin.gateway_platform import http
from berylweir.standin.gateway_platform import server as server_standin
from tests.gateway import rig


@contextlib.asynccontextmanager
async def start_deployment(kind: str = "safe", servers: int = 2, **options):
    """Starts a gateway and the servers of one unkeyed group."""
    async with rig.Rig() as deployment:
        await deployment.configure(
            {"books": False}, [rig.route("r", "books", kind=kind, **options)]
        )
        for number in range(servers):
            await deployment.add_server(f"s{number}", "books")
        yield deployment, await deployment.add_gateway()


def run_ids(deployment: rig.Rig) -> list[str]:
    """Returns the request ids of all runs on all servers."""
    return [
        r.request_id for s in deployment.servers.values() for r in s.executions
    ]


class TestAnswers:
    """Answers that a caller receives."""

    async def test_server_response_is_returned_unchanged(self):
        """Guards against losing the signature or a part of the body."""
        async with start_deployment() as (deployment, gateway):
            reply = await gateway.ask("/r/1", "a1")
            (server,) = [s for s in deployment.servers.values() if s.executions]
            server_response = server.build_response("a1", "/r/1")
            assert (reply.status, reply.body) == (200, server_response.body)
            assert (
                reply.headers["response-seal"]
                == server_response.headers["Response-Seal"]
            )
            assert server.executions[0].deadline_ms <= 2000

    async def test_unknown_route_returns_404(self):
        """Guards against a 503, which callers would retry in vain."""
        async with rig.Rig() as deployment:
            await deployment.configure({"books": False}, [])
            gateway = await deployment.add_gateway()
            assert (await gateway.ask("/none/1", "a1")).status == 404

    @pytest.mark.parametrize(
        "fault",
        [
            http.Response(0),
            http.Response(
                200, {"Response-Seal": "x"}, b"abcdef", is_truncated=True
            ),
            http.Response(200, {"Request-Id": "a1"}, b"no signature"),
            http.Response(
                200,
                {"Response-Seal": "x", "Content-Encoding": "br"},
                b"encoded",
            ),
            http.Response(500, {"Request-Id": "a1", "Response-Seal": "x"}),
        ],
        ids=["reset", "cut", "unsigned", "encoded", "failure"],
    )
    async def test_idempotent_request_is_retried(self, fault):
        """Guards against a failure that a retry would have avoided."""
        async with start_deployment() as (deployment, gateway):
            for server in deployment.servers.values():
                server.next_responses.append(fault)
            # Each server fails once. The two attempts of the first request use
            # up both faults, so that the second request succeeds.
            await gateway.ask("/r/1", "a1")
            reply = await gateway.ask("/r/2", "a2")
            assert (reply.status, reply.is_whole) == (200, True)

    @pytest.mark.parametrize(
        "fault",
        [
            http.Response(0),
            http.Response(
                200, {"Response-Seal": "x"}, b"abcdef", is_truncated=True
            ),
            http.Response(200, {"Request-Id": "a1"}, b"no signature"),
            http.Response(
                200,
                {"Request-Id": "a1", "Response-Seal": "x"},
                b"abcdef",
                is_head_truncated=True,
            ),
            http.Response(
                200,
                {"Request-Id": "a1", "Response-Seal": "x"},
                is_head_truncated=True,
                ends_with_connection=True,
            ),
        ],
        ids=["reset", "cut", "unsigned", "half a head", "head without length"],
    )
    async def test_non_idempotent_request_that_may_have_run_is_not_retried(
        self, fault
    ):
        """Guards against running a booking twice."""
        async with start_deployment("unsafe") as (deployment, gateway):
            for server in deployment.servers.values():
                server.next_responses.append(fault)
            reply = await gateway.ask("/r/1", "a1", method="POST", body=b"x")
            assert reply.status == 502
            assert run_ids(deployment) == ["a1"]

    async def test_close_delimited_body_is_accepted(self):
        """Guards against rejecting a body that ends with the connection."""
        async with start_deployment() as (deployment, gateway):
            for server in deployment.servers.values():
                server.next_responses.append(
                    http.Response(
                        200,
                        {"Request-Id": "a1", "Response-Seal": "x"},
                        b"whole",
                        ends_with_connection=True,
                    )
                )
            reply = await gateway.ask("/r/1", "a1")
            assert (reply.status, reply.body) == (200, b"whole")

    async def test_extra_response_never_reaches_another_caller(self):
        """Guards against returning an extra response for the next request."""
        extra_response = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nResponse-Seal: x\r\n"
            b"Content-Length: 5\r\n\r\nstale"
        )
        async with start_deployment(servers=1) as (deployment, gateway):
            server = deployment.servers["s0"]
            server_response = server.build_response("a1", "/r/1")
            server.next_responses.append(
                http.Response(
                    200,
                    server_response.headers,
                    server_response.body,
                    trailing_bytes=extra_response,
                )
            )
            await gateway.ask("/r/1", "a1")
            reply = await gateway.ask("/r/2", "a2")
            assert reply.body == server.build_response("a2", "/r/2").body

    @pytest.mark.parametrize(
        ("status", "headers", "expected_status"),
        [
            (200, {}, 502),
            (200, {"Response-Seal": "x", "Content-Encoding": "br"}, 502),
            (503, {"Not-Run": "1"}, 503),
        ],
        ids=["unsigned", "encoded", "rejection"],
    )
    async def test_endless_body_that_is_no_response_is_ended_at_once(
        self, status, headers, expected_status
    ):
        """Guards against holding such a body in memory until the deadline."""
        async with start_deployment("unsafe", servers=1) as (
            deployment,
            gateway,
        ):
            deployment.servers["s0"].next_responses.append(
                http.Response(
                    status,
                    {"Request-Id": "a1", **headers},
                    b"x" * 65_536,
                    repeats_body=True,
                )
            )
            reply = await gateway.ask(
                "/r/1", "a1", method="POST", body=b"x", deadline_ms=60_000
            )
            assert reply.status == expected_status

            async def is_next_request_served() -> bool:
                reply = await gateway.ask(
                    "/r/2", "a2", method="POST", body=b"x"
                )
                return reply.status == 200

            # The gateway backs off from a server that rejected a request.
            await rig.until(is_next_request_served)

    async def test_endless_signed_body_ends_at_the_deadline(self):
        """Guards against a stream that outlasts the caller's deadline."""
        async with start_deployment("download", servers=1) as (
            deployment,
            gateway,
        ):
            deployment.servers["s0"].next_responses.append(
                http.Response(
                    200,
                    {"Request-Id": "a1", "Response-Seal": "x"},
                    b"x" * 65_536,
                    repeats_body=True,
                )
            )
            caller = await gateway.connect()
            caller.send("/r/1", "a1", deadline_ms=1000)
            async with asyncio.timeout(20.0):
                with contextlib.suppress(ConnectionError):
                    while await caller.reader.read(1_000_000):
                        pass

    async def test_truncated_large_response_is_not_completed(self):
        """Guards against a truncated download that looks complete."""
        body = b"x" * 4_000_000
        async with start_deployment("download", servers=1) as (
            deployment,
            gateway,
        ):
            deployment.servers["s0"].next_responses.append(
                http.Response(
                    200,
                    {"Request-Id": "a1", "Response-Seal": "x"},
                    body,
                    is_truncated=True,
                )
            )
            reply = await gateway.ask("/r/1", "a1")
            assert reply is None or not reply.is_whole

    async def test_request_to_a_full_group_is_refused_with_retry_after(self):
        """Guards against holding a request until its deadline."""
        async with start_deployment("unsafe", servers=1) as (
            deployment,
            gateway,
        ):
            server = deployment.servers["s0"]
            server.service_s = 30.0
            blocking_requests = [
                asyncio.create_task(
                    gateway.ask("/r/1", f"h{i}", method="POST", body=b"x")
                )
                for i in range(9)
            ]
            await rig.until(lambda: server.in_flight == 3)
            reply = await gateway.ask("/r/1", "a1", method="POST", body=b"x")
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) > 0
            assert "a1" not in run_ids(deployment)
            for task in blocking_requests:
                task.cancel()

    async def test_route_timeout_ends_a_request(self):
        """Guards against a caller that waits without limit for a server."""
        async with start_deployment("unsafe", servers=1, timeout_ms=300) as (
            deployment,
            gateway,
        ):
            deployment.servers["s0"].service_s = 30.0
            reply = await gateway.ask("/r/1", "a1", method="POST", body=b"x")
            assert reply.status == 504


class TestConnections:
    """Connections of callers: pipelining, disconnects and shutdown."""

    async def test_pipelined_requests_are_answered_in_order(self):
        """Guards against mixing up the answers to pipelined requests."""
        async with start_deployment(servers=3) as (deployment, gateway):
            caller = await gateway.connect()
            deployment.servers["s0"].service_s = 0.1
            for number in range(6):
                caller.send(f"/r/{number}", f"a{number}")
            replies = [await caller.read() for _ in range(6)]
            assert [r.headers["request-id"] for r in replies] == [
                f"a{n}" for n in range(6)
            ]

    async def test_unhandled_error_spares_the_other_requests(self, monkeypatch):
        """Guards against a close that drops all requests of a connection."""
        next_step = outcomes.next_step

        def fail_once(*args, **options) -> outcomes.Step:
            monkeypatch.setattr(outcomes, "next_step", next_step)
            raise ValueError("no such case")

        async with start_deployment("unsafe") as (deployment, gateway):
            monkeypatch.setattr(outcomes, "next_step", fail_once)
            caller = await gateway.connect()
            for number in range(2):
                caller.send(f"/r/{number}", f"a{number}", method="POST")
            replies = [await caller.read() for _ in range(2)]
            assert [r and r.status for r in replies] == [502, 200]
            assert gateway.metrics.counts["gateway.request.crashed"] == 1
            assert sorted(run_ids(deployment)) == ["a0", "a1"]

    async def test_non_idempotent_request_waits_for_earlier_responses(self):
        """Guards against running a request twice after a close.

        The caller sends the requests that were not answered before the close
        again, so the gateway must not have run them.
        """
        async with start_deployment("unsafe", servers=2) as (
            deployment,
            gateway,
        ):
            for server in deployment.servers.values():
                server.service_s = 0.1
            caller = await gateway.connect()
            caller.send(
                "/r/1",
                "a1",
                method="POST",
                body=b"x",
                headers="Connection: close\r\n",
            )
            caller.send("/r/2", "a2", method="POST", body=b"x")
            assert (await caller.read()).status == 200
            assert await caller.read() is None
            assert run_ids(deployment) == ["a1"]

    async def test_disconnect_of_the_caller_cancels_the_request(self):
        """Guards against servers that run requests of disconnected callers."""
        async with start_deployment(servers=1) as (deployment, gateway):
            server = deployment.servers["s0"]
            server.service_s = 5.0
            caller = await gateway.connect()
            caller.send("/r/1", "a1")
            await rig.until(lambda: server.in_flight == 1)
            caller.writer.transport.abort()
            # The gateway can use the slot of the server again.
            server.service_s = 0.0
            reply = await gateway.ask("/r/2", "a2")
            assert reply.status == 200

    async def test_sigterm_interrupts_no_request(self):
        """Guards against losing an answer at a planned shutdown."""
        async with start_deployment(servers=1) as (deployment, gateway):
            deployment.servers["s0"].service_s = 0.5
            caller = await gateway.connect()
            caller.send("/r/1", "a1")
            await rig.until(lambda: deployment.servers["s0"].in_flight == 1)
            stop_task = asyncio.create_task(gateway.stop())
            reply = await caller.read()
            assert (reply.status, reply.is_whole) == (200, True)
            assert reply.headers["connection"] == "close"
            assert not await gateway.is_ready()
            deployment.servers["s0"].service_s = 0.0
            late_reply = await gateway.ask("/r/2", "a2")
            assert late_reply.status == 200
            await stop_task

    async def test_sigterm_closes_a_connection_that_is_never_idle(self):
        """Guards against callers that keep a draining gateway busy.

        Each request that was received before the close is answered, and no
        other one is run.
        """
        async with start_deployment(servers=1) as (deployment, gateway):
            deployment.servers["s0"].service_s = 0.3
            caller = await gateway.connect()

            async def send_requests() -> None:
                for number in itertools.count():
                    caller.send(f"/r/{number}", f"a{number}")
                    await asyncio.sleep(0.2)

            send_task = asyncio.create_task(send_requests())
            await rig.until(lambda: deployment.servers["s0"].in_flight > 1)
            stop_task = asyncio.create_task(gateway.stop())
            replies = []
            while reply := await caller.read():
                replies.append(reply)
            send_task.cancel()
            assert {r.status for r in replies} == {200}
            assert [
                number
                for number, reply in enumerate(replies, 1)
                if "connection" in reply.headers
            ] == [len(replies)]
            assert sorted(run_ids(deployment)) == sorted(
                f"a{number}" for number in range(len(replies))
            )
            await stop_task

    async def test_draining_gateway_finally_stops_accepting_connections(self):
        """Guards against accepting requests that the shutdown would cut off."""
        async with start_deployment(servers=1) as (_, gateway):
            stop_task = asyncio.create_task(gateway.stop())
            await asyncio.sleep(3.5)
            with pytest.raises(OSError):
                await gateway.connect()
            await stop_task

    async def test_malformed_input_is_rejected(self):
        """Guards against passing a malformed request to a server."""
        async with start_deployment() as (deployment, gateway):
            caller = await gateway.connect()
            caller.writer.write(b"GET /r/1 HTTP/1.1\r\nContent-Length: x\r\n")
            caller.writer.write(b"Host: site.example\r\n\r\n")
            assert (await caller.read()).status == 400
            caller = await gateway.connect()
            caller.send("/r/1", "a1", headers=f"X: {'y' * 70_000}\r\n")
            assert (await caller.read()).status == 431
            assert not run_ids(deployment)


class TestServerChanges:
    """Changes of server entries, zones and routes in the store."""

    async def test_draining_server_gets_no_new_requests(self):
        """Guards against sending requests to a server that is shutting down."""
        async with start_deployment() as (deployment, gateway):
            spec = deployment.store.get("servers", "s0")["spec"]
            draining_spec = spec | {
                "status": spec["status"] | {"state": "draining"}
            }
            await deployment.store.put("servers", "s0", draining_spec)
            await asyncio.sleep(0.1)
            run_count = len(deployment.servers["s0"].executions)
            for number in range(10):
                await gateway.ask("/r/1", f"a{number}")
            assert len(deployment.servers["s0"].executions) == run_count

    async def test_evacuated_zone_gets_no_requests(self):
        """Guards against sending requests to an evacuated zone."""
        async with start_deployment() as (deployment, gateway):
            await deployment.add_server("b0", "books", zone="b")
            await deployment.store.put("evacuations", "a", {})
            await asyncio.sleep(0.1)
            for server in deployment.servers.values():
                server.executions.clear()
            for number in range(6):
                assert (await gateway.ask("/r/1", f"a{number}")).status == 200
            assert len(deployment.servers["b0"].executions) == 6

    async def test_undecodable_entries_are_ignored(self):
        """Guards against one undecodable entry that hides the valid ones."""
        async with start_deployment() as (deployment, gateway):
            await deployment.store.put("servers", "x1", {"addr": 7})
            await deployment.store.put("servers", "x2", "text")
            await deployment.store.put("servers", "x3", {"info": {}})
            await asyncio.sleep(0.1)
            assert (await gateway.ask("/r/1", "a1")).status == 200
            assert gateway.metrics.counts["store.undecodable"] >= 2

    async def test_reused_address_does_not_run_the_request(self):
        """Guards against running a request on a server of another group."""
        async with start_deployment(servers=1) as (deployment, gateway):
            await gateway.ask("/r/1", "a1")
            deployment.servers["s0"].name = "other"
            deployment.servers["s0"].executions.clear()
            assert (await gateway.ask("/r/2", "a2")).status == 503
            assert not deployment.servers["s0"].executions

    async def test_new_configuration_changes_the_group_of_a_route(self):
        """Guards against ignoring a newer configuration."""
        async with start_deployment() as (deployment, gateway):
            other = await deployment.add_server("o0", "other")
            await deployment.configure(
                {"books": False, "other": False},
                [rig.route("r", "other")],
                version=2,
            )

            async def reaches_new_group() -> bool:
                await gateway.ask("/r/1", "a1")
                return bool(other.executions)

            await rig.until(reaches_new_group)


class TestUnreachableServers:
    """Servers to which the gateway can't open a connection."""

    async def test_requests_are_not_used_as_probes(self):
        """Guards against requests that wait for a server known to be lost."""
        async with start_deployment(servers=1) as (deployment, gateway):
            server = server_standin.Server("lost")
            port = rig.free_port()
            await deployment.store.put(
                "servers",
                "lost",
                server_standin.server_spec("lost", "books", port, zone="a"),
            )
            ids = (f"a{number}" for number in itertools.count())

            async def is_lost() -> bool:
                assert (await gateway.ask("/r/1", next(ids))).status == 200
                return "gateway.tried_again" in gateway.metrics.counts

            await rig.until(is_lost)
            for _ in range(40):
                assert (await gateway.ask("/r/1", next(ids))).status == 200
                await asyncio.sleep(0.05)
            assert gateway.metrics.counts["gateway.tried_again"] == 1
            async with contextlib.AsyncExitStack() as stack:
                await http.listen(stack, server.handle, port)

                async def is_used() -> bool:
                    assert (await gateway.ask("/r/1", next(ids))).status == 200
                    return bool(server.executions)

                await rig.until(is_used)
            counts = gateway.metrics.counts
            assert counts["gateway.probes.failed"] >= 1
            assert counts["gateway.probes.connected"] == 1

    async def test_request_that_hangs_on_an_earlier_connection_starts_a_probe(
        self,
    ):
        """Guards against lost links that show only at the deadlines."""
        async with start_deployment(servers=1) as (deployment, gateway):
            assert (await gateway.ask("/r/1", "a1")).status == 200
            deployment.servers["s0"].service_s = 0.7
            assert (await gateway.ask("/r/1", "a2")).status == 200
            assert gateway.metrics.counts["gateway.probes.connected"] == 1
