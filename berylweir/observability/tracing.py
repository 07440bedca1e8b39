"""Spans of the hops of a request, carried on with W3C `traceparent`."""

from collections.abc import Mapping
import contextlib

from opentelemetry import trace
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export
from opentelemetry.trace.propagation import tracecontext

from berylweir.conf import schemas as conf

TRACEPARENT = b"traceparent"
TRACESTATE = b"tracestate"
_TRACE_CONTEXT_HEADERS = (TRACEPARENT, TRACESTATE)


class Span:
    """The span of one hop, and the headers that carry it on."""

    def __init__(self, span: trace.Span) -> None:
        """Creates a span that has begun."""
        self._span = span
        carrier: dict[str, str] = {}
        tracecontext.TraceContextTextMapPropagator().inject(
            carrier, trace.set_span_in_context(span)
        )
        self._headers = [
            (name.encode(), value.encode()) for name, value in carrier.items()
        ]

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """Headers of the request that this hop sends."""
        return self._headers

    def end(self, attributes: Mapping[str, str]) -> None:
        """Ends the span with what was learnt of the request."""
        self._span.set_attributes(dict(attributes))
        self._span.end()


class Tracer:
    """Records a span for each hop."""

    def __init__(self, provider: sdk.TracerProvider) -> None:
        """Creates a tracer that records with `provider`."""
        self._tracer = provider.get_tracer("berylweir")

    def start_span(self, name: str, headers: Mapping[bytes, bytes]) -> Span:
        """Begins the span of a hop.

        Args:
            name: Name of the hop, `entry` or `home`.
            headers: Headers of the request, with names in lower case.
        """
        carrier = {
            header.decode(): headers[header].decode("latin-1")
            for header in _TRACE_CONTEXT_HEADERS
            if header in headers
        }
        parent = tracecontext.TraceContextTextMapPropagator().extract(carrier)
        return Span(
            self._tracer.start_span(
                name, context=parent, kind=trace.SpanKind.SERVER
            )
        )


def open_tracer(
    stack: contextlib.ExitStack | contextlib.AsyncExitStack,
    settings: conf.ObservabilitySection,
    vm: str,
) -> Tracer | None:
    """Returns the tracer that the settings ask for, or None if it is off.

    Args:
        stack: Flushes and ends the exporter when it closes.
        settings: Settings of the observability.
        vm: Name of this VM.
    """
    match settings.traces:
        case "off":
            return None
        case "console":
            exporter = export.ConsoleSpanExporter()
    # The processor exports in a thread of its own, which waits between
    # batches, so the data path never waits for the exporter.
    return create_tracer(stack, export.BatchSpanProcessor(exporter), vm)


def create_tracer(
    stack: contextlib.ExitStack | contextlib.AsyncExitStack,
    processor: sdk.SpanProcessor,
    vm: str,
) -> Tracer:
    """Returns a tracer with its own processor.

    Args:
        stack: Ends the processor when it closes.
        processor: Takes the spans.
        vm: Name of this VM.
    """
    provider = sdk.TracerProvider(
        resource=resources.Resource.create(
            {"service.name": "berylweir-router", "service.instance.id": vm}
        ),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(processor)
    stack.callback(provider.shutdown)
    return Tracer(provider)
