"""End-to-end tests of requests that one gateway forwards to another."""

import asyncio
import contextlib

import pytest

from berylweir.standin.gateway_platform import http
from tests.gateway import rig


@contextlib.asynccontextmanager
async def start_deployment(kind: str = "safe", gateways: int = 2, **options):
    """Starts gateways that know each other, and servers of two groups."""
    async with rig.Rig() as deployment:
        await deployment.configure(
            {"books": False, "slots": True},
            [
                rig.route("r", "books", kind=kind, **options),
                rig.route("k", "slots", kind=kind, **options),
            ],
        )
        for number in range(2):
            await deployment.add_server(f"s{number}", "books")
            await deployment.add_server(f"k{number}", "slots", is_keyed=True)
        for number in range(gateways):
            await deployment.add_gateway(f"vm-{number}")
        await rig.until(lambda: all_registered(deployment))
        yield deployment


def all_registered(deployment: rig.Rig) -> bool:
    """Returns whether the store has all gateways and a lease holder."""
    names = [f"vm.{g.environment.vm}" for g in deployment.gateways]
    return all(
        deployment.store.get("berylweir", name) for name in (*names, "lease")
    )


def split_by_lease(deployment: rig.Rig) -> tuple[rig.Gateway, rig.Gateway]:
    """Returns a gateway without the lease, and the lease holder."""
    holder = deployment.store.get("berylweir", "lease")["spec"]["holder"]
    others = {g.environment.vm: g for g in deployment.gateways}
    return next(g for n, g in others.items() if n != holder), others[holder]


def _answer(outcome: str, status: int, body: bytes = b"") -> http.Response:
    """Returns an answer of a gateway to another one."""
    return http.Response(status, {"Berylweir-Outcome": outcome}, body)


def count(gateway: rig.Gateway, result: str) -> int:
    """Returns how many forwarded requests of a gateway had a result."""
    return gateway.metrics.counts.get(f"gateway.forwarded.{result}", 0)


def run_ids(deployment: rig.Rig) -> list[str]:
    """Returns the request ids of all runs on all servers."""
    return [
        r.request_id for s in deployment.servers.values() for r in s.executions
    ]


async def cut(
    deployment: rig.Rig,
    gateway: rig.Gateway,
    how: rig.Cut = rig.Cut.REFUSED,
    path: str = "/r/0",
) -> None:
    """Cuts a gateway from all servers and waits until it uses the others."""
    deployment.cut_from_servers(gateway, how)
    others = [g for g in deployment.gateways if g is not gateway]

    async def uses_others() -> bool:
        await gateway.ask(path, "c", headers="Shard-Key: 7\r\n")
        return all(
            g.metrics.counts.get("gateway.answered_gateways.200")
            for g in others
        )

    await rig.until(uses_others)


class TestIsolatedHolder:
    """A lease holder that reaches no server, while another gateway does."""

    @pytest.mark.parametrize("how", list(rig.Cut))
    async def test_another_gateway_takes_the_lease(self, how):
        """Guards against keys without owners while the holder is cut off."""
        async with start_deployment() as deployment:
            other, holder = split_by_lease(deployment)

            async def serves_each_owner() -> bool:
                replies = [
                    await other.ask(
                        "/k/0", f"a{key}", headers=f"Shard-Key: {key}\r\n"
                    )
                    for key in (7, 40_000)
                ]
                return all(r and r.status == 200 for r in replies)

            await rig.until(serves_each_owner)
            deployment.cut_from_servers(holder, how)

            async def is_handed_over() -> bool:
                await serves_each_owner()
                lease = deployment.store.get("berylweir", "lease")
                return lease["spec"]["holder"] == other.environment.vm

            await rig.until(is_handed_over)
            await rig.until(serves_each_owner)


class TestIsolatedGateway:
    """A gateway that reaches no server, while another one does."""

    @pytest.mark.parametrize("how", list(rig.Cut))
    @pytest.mark.parametrize("kind", ["safe", "unsafe"])
    @pytest.mark.parametrize("path", ["/r/1", "/k/1"])
    async def test_requests_are_served_through_another_gateway(
        self, kind, how, path
    ):
        """Guards against refusing all requests that callers send there."""
        async with start_deployment(kind) as deployment:
            gateway, _ = split_by_lease(deployment)
            await cut(deployment, gateway, how, path)
            for number in range(10):
                reply = await gateway.ask(
                    path,
                    f"a{number}",
                    method="POST",
                    body=b"x",
                    headers="Shard-Key: 7\r\n",
                )
                assert reply.status == 200
                assert reply.headers["request-id"] == f"a{number}"
                assert "response-seal" in reply.headers
                assert not any("berylweir" in name for name in reply.headers)
            ids = [i for i in run_ids(deployment) if i != "c"]
            assert sorted(ids) == [f"a{n}" for n in range(10)]

    @pytest.mark.parametrize("is_truncated", [False, True])
    async def test_large_responses_are_streamed(self, is_truncated):
        """Guards against a cut-off download that looks complete."""
        async with start_deployment("download") as deployment:
            gateway, _ = split_by_lease(deployment)
            await cut(deployment, gateway)
            body = b"x" * 4_000_000
            for name in ("s0", "s1"):
                deployment.servers[name].next_responses.append(
                    http.Response(
                        200,
                        {"Request-Id": "a1", "Response-Seal": "x"},
                        body,
                        is_truncated=is_truncated,
                    )
                )
            reply = await gateway.ask("/r/1", "a1")
            if is_truncated:
                assert reply is None or not reply.is_whole
            else:
                assert (reply.status, reply.body) == (200, body)

    async def test_failure_of_a_server_is_returned_unchanged(self):
        """Guards against hiding a server's own response."""
        async with start_deployment("unsafe") as deployment:
            gateway, _ = split_by_lease(deployment)
            await cut(deployment, gateway)
            for name in ("s0", "s1"):
                deployment.servers[name].next_responses.append(
                    http.Response(
                        500, {"Request-Id": "a1", "Response-Seal": "x"}, b"why"
                    )
                )
            reply = await gateway.ask("/r/1", "a1", method="POST", body=b"x")
            assert (reply.status, reply.body) == (500, b"why")
            assert reply.headers["response-seal"] == "x"

    async def test_leaving_server_gets_no_request_after_the_cut(self):
        """Guards against use of a server that told another gateway only."""
        async with start_deployment() as deployment:
            gateway, _ = split_by_lease(deployment)
            await cut(deployment, gateway)
            leaving = deployment.servers["s0"]
            leaving.is_leaving = True

            async def has_been_told() -> bool:
                await gateway.ask("/r/1", "t")
                return (
                    gateway.metrics.gauges.get("gateway.servers_leaving") == 1
                )

            await rig.until(has_been_told)
            deployment.reconnect(gateway)

            async def sends_itself() -> bool:
                forwarded = count(gateway, "answered")
                await gateway.ask("/r/1", "b")
                return count(gateway, "answered") == forwarded

            await rig.until(sends_itself)
            arrived = len(leaving.arrivals)
            for number in range(10):
                await gateway.ask("/r/1", f"a{number}")
            assert len(leaving.arrivals) == arrived

    async def test_statement_of_a_long_response_is_read_at_its_end(self):
        """Guards against use of a server that has told another gateway."""
        async with start_deployment() as deployment:
            gateway, _ = split_by_lease(deployment)
            await cut(deployment, gateway)
            headers = {
                "Request-Id": "a",
                "Response-Seal": "x",
                "Server-Leaving": "1",
            }
            for server in deployment.servers.values():
                server.next_responses = [
                    http.Response(
                        200, headers, bytes(65_536), repeats_body=True
                    )
                ]
            caller = await gateway.connect()
            caller.send("/r/1", "a", deadline_ms=20_000)
            await caller.reader.readuntil(b"\r\n\r\n")
            await rig.until(
                lambda: (
                    gateway.metrics.gauges.get("gateway.servers_leaving") == 1
                ),
                1.5,
            )
            caller.writer.close()

    async def test_rejected_request_is_refused_with_retry_after(self):
        """Guards against taking a rejection for a run."""
        async with start_deployment("unsafe") as deployment:
            gateway, _ = split_by_lease(deployment)
            await cut(deployment, gateway)
            for name in ("s0", "s1"):
                deployment.servers[name].is_rejecting = True
            reply = await gateway.ask("/r/1", "a1", method="POST", body=b"x")
            assert reply.status == 503
            assert float(reply.headers["retry-after"]) > 0
            assert "a1" not in run_ids(deployment)

    async def test_gateway_that_reaches_servers_again_forwards_no_more(self):
        """Guards against an extra hop that is never given up."""
        async with start_deployment() as deployment:
            gateway, _ = split_by_lease(deployment)
            await cut(deployment, gateway)
            deployment.reconnect(gateway)

            async def serves_itself() -> bool:
                before = count(gateway, "answered")
                reply = await gateway.ask("/r/1", "a1")
                after = count(gateway, "answered")
                return reply.status == 200 and before == after

            await rig.until(serves_itself)


class TestOtherGateway:
    """The gateway to which requests are forwarded."""

    async def test_two_isolated_gateways_refuse_at_once(self):
        """Guards against a request that goes to and fro between gateways."""
        async with start_deployment("unsafe") as deployment:
            for gateway in deployment.gateways:
                deployment.cut_from_servers(gateway, rig.Cut.REFUSED)
            for number in range(20):
                for gateway in deployment.gateways:
                    reply = await gateway.ask(
                        "/r/1", f"a{number}", method="POST", body=b"x"
                    )
                    assert reply.status == 503
                    assert "retry-after" in reply.headers
            # A request that was forwarded isn't forwarded again.
            forwards = sum(
                count(gateway, result)
                for gateway in deployment.gateways
                for result in ("answered", "unreachable", "isolated")
            )
            assert 0 < forwards <= 40
            assert not run_ids(deployment)

    async def test_caller_that_leaves_cancels_the_request(self):
        """Guards against servers that run requests of disconnected callers."""
        async with start_deployment() as deployment:
            gateway, _ = split_by_lease(deployment)
            await cut(deployment, gateway)
            for server in deployment.servers.values():
                server.service_s = 60.0
            caller = await gateway.connect()
            caller.send("/r/1", "a1", deadline_ms=60_000)
            await rig.until(lambda: "a1" in run_ids(deployment))
            caller.writer.transport.abort()
            await rig.until(lambda: count(gateway, "abandoned") == 1)

    async def test_forwarded_request_that_outlasts_a_stop_is_answered(self):
        """Guards against a stop that cuts off what it has forwarded."""
        async with start_deployment("unsafe", timeout_ms=20_000) as deployment:
            gateway, _ = split_by_lease(deployment)
            await cut(deployment, gateway)
            for server in deployment.servers.values():
                server.service_s = 60.0
            caller = await gateway.connect()
            caller.send("/r/1", "a1", method="POST", deadline_ms=20_000)
            await rig.until(lambda: "a1" in run_ids(deployment))
            stop_task = asyncio.create_task(gateway.stop())
            async with asyncio.timeout(15.0):
                reply = await caller.read()
            assert reply.status == 502
            assert reply.headers["connection"] == "close"
            await stop_task

    async def test_stopped_gateway_is_replaced_by_another(self):
        """Guards against requests that are lost at a planned stop."""
        async with start_deployment("unsafe", gateways=3) as deployment:
            gateway, other = split_by_lease(deployment)
            await cut(deployment, gateway)
            stop_task = asyncio.create_task(other.stop())
            number = 0
            while not stop_task.done():
                reply = await gateway.ask(
                    "/r/1", f"a{number}", method="POST", body=b"x"
                )
                assert reply.status == 200
                number += 1
            ids = [i for i in run_ids(deployment) if i != "c"]
            assert sorted(ids) == sorted(f"a{n}" for n in range(number))


class TestAnswersOfOtherGateway:
    """Answers of another gateway to one that is isolated."""

    @pytest.mark.parametrize(
        ("kind", "response", "status", "expected_forwards"),
        [
            ("unsafe", http.Response(0), 502, 1),
            ("safe", http.Response(0), 502, 2),
            ("unsafe", http.Response(200, {"Response-Seal": "x"}), 502, 1),
            ("unsafe", _answer("served", 200, b"unsigned"), 502, 1),
            ("unsafe", _answer("failed", 502), 502, 1),
            ("unsafe", _answer("failed", 504), 504, 1),
            ("unsafe", _answer("refused", 503), 503, 1),
            ("unsafe", _answer("unreachable", 503), 503, 2),
            ("unsafe", _answer("isolated", 503), 503, 3),
        ],
        ids=[
            "reset",
            "reset of an idempotent request",
            "no outcome",
            "unsigned",
            "failed",
            "out of time",
            "refused",
            "unreachable",
            "isolated",
        ],
    )
    async def test_answer_tells_whether_the_request_may_have_run(
        self, kind, response, status, expected_forwards
    ):
        """Guards against a 503 for a request that a server may run."""
        async with rig.Rig() as deployment:
            await deployment.configure(
                {"books": False}, [rig.route("r", "books", kind=kind)]
            )
            await deployment.add_server("s0", "books")
            gateway = await deployment.add_gateway()
            arrivals: list[str] = []

            async def handle(request: http.Request) -> http.Response:
                assert request.headers["berylweir-forwarded-by"] == "vm-1"
                assert float(request.headers["deadline-ms"]) <= 2000
                arrivals.append(request.headers["request-id"])
                return response

            for number in range(4):
                await deployment.add_other_gateway(f"x{number}", handle)
            deployment.cut_from_servers(gateway, rig.Cut.REFUSED)
            reply = None
            number = 0

            async def is_forwarded() -> bool:
                nonlocal reply, number
                number += 1
                reply = await gateway.ask(
                    "/r/1", f"a{number}", method="POST", body=b"x"
                )
                return arrivals.count(f"a{number}") == expected_forwards

            await rig.until(is_forwarded)
            assert reply.status == status
            assert not run_ids(deployment)


class TestHeaders:
    """Headers that gateways exchange."""

    async def test_headers_of_a_caller_have_no_effect(self):
        """Guards against callers that pass for a gateway."""
        own = (
            "Berylweir-Forwarded-By: vm-9\r\nBerylweir-Group: slots\r\n"
            "Berylweir-Sent-Attempts: 99\r\nBerylweir-May-Have-Run: 1\r\n"
            "Berylweir-Timeout-Ms: 1\r\nBerylweir-Outcome: isolated\r\n"
        )
        async with start_deployment() as deployment:
            gateway, _ = split_by_lease(deployment)
            for is_cut in (False, True):
                if is_cut:
                    await cut(deployment, gateway)
                reply = await gateway.ask("/r/1", "a1", headers=own)
                assert reply.status == 200
                assert not any("berylweir" in name for name in reply.headers)
            names = [
                name
                for server in deployment.servers.values()
                for execution in server.executions
                for name in execution.header_names
            ]
            assert "request-id" in names
            assert not any("berylweir" in name for name in names)

    async def test_refusal_of_an_incomplete_request_tells_its_outcome(self):
        """Guards against a 502 for a request that was never received.

        Another gateway takes a refusal of unknown kind for one of a server.
        """
        own = (
            "Berylweir-Forwarded-By: vm-9\r\nBerylweir-Group: books\r\n"
            "Berylweir-Sent-Attempts: 0\r\nBerylweir-May-Have-Run: 0\r\n"
            "Berylweir-Timeout-Ms: 20000\r\nContent-Length: 99\r\n"
        )
        async with start_deployment("unsafe", gateways=1) as deployment:
            (gateway,) = deployment.gateways
            caller = rig.Caller(
                *await asyncio.open_connection(
                    gateway.environment.host, gateway.environment.forward_port
                )
            )
            caller.send(
                "/r/1", "a1", method="POST", deadline_ms=20_000, headers=own
            )
            stop_task = asyncio.create_task(gateway.stop())
            for _ in range(4):
                await asyncio.sleep(1.0)
                caller.writer.write(b"x")
            reply = await caller.read()
            assert reply.status == 503
            assert reply.headers["berylweir-outcome"] == "refused"
            await stop_task
            assert not run_ids(deployment)

    async def test_forward_port_rejects_requests_of_others(self):
        """Guards against requests whose earlier attempts aren't known."""
        async with start_deployment() as deployment:
            environment = deployment.gateways[0].environment
            caller = rig.Caller(
                *await asyncio.open_connection(
                    environment.host, environment.forward_port
                )
            )
            caller.send("/r/1", "a1")
            assert (await caller.read()).status == 400
            assert not run_ids(deployment)
