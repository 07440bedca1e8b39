"""Trace spans of requests, propagated with W3C `traceparent` headers."""

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
    """Span of one hop of a request, with its trace context headers."""

    def __init__(self, span: trace.Span) -> None:
        """Wraps a span that has been started."""
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
        """Trace context headers for the request to the next hop."""
        return self._headers

    def end(self, attributes: Mapping[str, str]) -> None:
        """Adds attributes to the span and ends it."""
        self._span.set_attributes(dict(attributes))
        self._span.end()


class Tracer:
    """Starts a span for each hop of a request."""

    def __init__(self, provider: sdk.TracerProvider) -> None:
        """Creates a tracer whose spans go to `provider`."""
        self._tracer = provider.get_tracer("berylweir")

    def start_span(self, name: str, headers: Mapping[bytes, bytes]) -> Span:
        """Starts the span of a hop, as a child of the span in the headers.

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
    """Returns the configured tracer, or None if tracing is off.

    Args:
        stack: Exit stack that flushes and closes the exporter.
        settings: Observability section of the settings.
        vm: Name of this VM.
    """
    match settings.traces:
        case "off":
            return None
        case "console":
            exporter = export.ConsoleSpanExporter()
    # The processor exports batches in its own thread, so request handling
    # never waits for the exporter.
    return create_tracer(stack, export.BatchSpanProcessor(exporter), vm)


def create_tracer(
    stack: contextlib.ExitStack | contextlib.AsyncExitStack,
    processor: sdk.SpanProcessor,
    vm: str,
) -> Tracer:
    """Returns a tracer that sends its spans to `processor`.

    Args:
        stack: Exit stack that flushes and closes the processor.
        processor: Processes ended spans.
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
