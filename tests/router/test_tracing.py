"""Tests of tracing across routers."""

import contextlib

from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace.export import in_memory_span_exporter

from berylweir.conf import schemas as conf
from berylweir.observability import tracing
from tests.router import rig

_TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
_CALLER_SPAN_ID = "b7ad6b7169203331"
_TRACEPARENT = f"00-{_TRACE_ID}-{_CALLER_SPAN_ID}-01"


class TestSpans:
    """The spans that each router records for a request."""

    async def test_entry_and_home_continue_the_trace_of_the_caller(self):
        """Guards against a trace that is not continued at the next router."""
        traceparents: list[str] = []

        async def script(stream: rig.Stream) -> None:
            request = await stream.next_request()
            traceparents.append(request.fields["traceparent"])
            stream.respond()

        span_exporter = in_memory_span_exporter.InMemorySpanExporter()
        with contextlib.ExitStack() as stack:
            async with rig.Rig(script) as harness:
                for vm, name in ((harness.entry, "e"), (harness.home, "h")):
                    vm.ingress.set_tracer(
                        tracing.create_tracer(
                            stack,
                            export.SimpleSpanProcessor(span_exporter),
                            name,
                        )
                    )
                await rig.fetch(
                    harness.entry.port, rig.request(traceparent=_TRACEPARENT)
                )
                await rig.wait_until(
                    lambda: len(span_exporter.get_finished_spans()) == 2
                )
        spans = {s.name: s for s in span_exporter.get_finished_spans()}
        entry, home = spans["entry"], spans["home"]
        assert f"{entry.context.trace_id:032x}" == _TRACE_ID
        assert f"{entry.parent.span_id:016x}" == _CALLER_SPAN_ID
        assert home.parent.span_id == entry.context.span_id
        assert traceparents == [
            f"00-{_TRACE_ID}-{home.context.span_id:016x}-01"
        ]
        assert home.attributes["berylweir.ending"] == "answered"

    async def test_bad_traceparent_starts_a_new_trace(self):
        """Guards against a trace header that fails the request."""
        span_exporter = in_memory_span_exporter.InMemorySpanExporter()
        with contextlib.ExitStack() as stack:
            async with rig.Rig() as harness:
                harness.home.ingress.set_tracer(
                    tracing.create_tracer(
                        stack, export.SimpleSpanProcessor(span_exporter), "h"
                    )
                )
                response = await rig.fetch(
                    harness.home.port, rig.request(traceparent="00-zz")
                )
                assert response.status == 200
                await rig.wait_until(
                    lambda: bool(span_exporter.get_finished_spans())
                )
        assert span_exporter.get_finished_spans()[0].parent is None


class TestOff:
    """Tracing switched off, which is the default."""

    async def test_traceparent_is_passed_on_as_it_came(self):
        """Guards against dropping the trace at a router without an exporter."""
        traceparents: list[str] = []

        async def script(stream: rig.Stream) -> None:
            request = await stream.next_request()
            traceparents.append(request.fields["traceparent"])
            stream.respond()

        async with rig.Rig(script) as harness:
            await rig.fetch(
                harness.entry.port, rig.request(traceparent=_TRACEPARENT)
            )
        assert traceparents == [_TRACEPARENT]

    def test_no_tracer_is_made(self):
        """Guards against creating an exporter that is not configured."""
        with contextlib.ExitStack() as stack:
            assert (
                tracing.open_tracer(stack, conf.ObservabilitySection(), "vm")
                is None
            )
