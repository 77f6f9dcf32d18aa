"""Tracing with OpenTelemetry: a span per hop, with W3C trace context.

The OpenTelemetry library is imported only if spans are exported, as it takes
2 MB of a router's memory.
"""

from __future__ import annotations

import typing as ty

from peridotmast.schema import peridotmast_pb2 as pb

TRACEPARENT = 'traceparent'
"""Header that carries the trace context from hop to hop."""


class Span(ty.Protocol):
    """One hop of a request."""

    def set_attribute(self, key: str, value: ty.Any) -> None:
        """Set an attribute of the span."""

    def end(self) -> None:
        """End the span."""


class _NoSpan:
    """Span that does nothing, used while tracing is disabled."""

    def set_attribute(self, key: str, value: ty.Any) -> None:
        """Ignore the attribute."""

    def end(self) -> None:
        """Do nothing."""


NO_SPAN = _NoSpan()
"""Shared instance of the span that does nothing."""


class Tracing:
    """Creates and exports the spans of one program.

    Parameters
    ----------
    service : str
        Value of the spans' ``service.name``.
    cfg : pb.TelemetrySettings
        Destinations of the spans; tracing is disabled if neither a file nor
        an endpoint is set.
    """

    def __init__(self, service: str, cfg: pb.TelemetrySettings) -> None:
        self.enabled = bool(cfg.trace_file or cfg.otlp_endpoint)
        """Whether spans are exported."""
        self._provider: ty.Any = None
        self._tracer: ty.Any = None
        self._propagator: ty.Any = None
        if self.enabled:
            self._set_up(service, cfg)

    def start(self, name: str, parent: str = '', **attributes: ty.Any) -> Span:
        """Start a span; the caller ends it with ``span.end()``.

        Parameters
        ----------
        name : str
            Name of the span.
        parent : str
            Value of the ``traceparent`` header of the previous hop, if any.
        """
        if not self.enabled:
            return NO_SPAN
        context = self._propagator.extract({TRACEPARENT: parent})
        return self._tracer.start_span(
            name, context=context, attributes=attributes
        )

    def traceparent_of(self, span: Span) -> str:
        """Return the header value that makes `span` the next hop's parent."""
        if not self.enabled:
            return ''
        from opentelemetry import trace

        carrier: dict[str, str] = {}
        self._propagator.inject(
            carrier, trace.set_span_in_context(ty.cast(ty.Any, span))
        )
        return carrier.get(TRACEPARENT, '')

    def close(self) -> None:
        """Export buffered spans and shut the exporters down."""
        if self._provider is not None:
            self._provider.shutdown()

    def _set_up(self, service: str, cfg: pb.TelemetrySettings) -> None:
        from opentelemetry.sdk import resources
        from opentelemetry.sdk import trace as sdk_trace
        from opentelemetry.sdk.trace import export
        from opentelemetry.trace.propagation import tracecontext

        self._propagator = tracecontext.TraceContextTextMapPropagator()
        self._provider = sdk_trace.TracerProvider(
            resource=resources.Resource({'service.name': service}),
            shutdown_on_exit=False,
        )
        if cfg.trace_file:
            self._provider.add_span_processor(
                export.SimpleSpanProcessor(_file_exporter(cfg.trace_file))
            )
        if cfg.otlp_endpoint:
            self._provider.add_span_processor(
                export.BatchSpanProcessor(_otlp_exporter(cfg.otlp_endpoint))
            )
        self._tracer = self._provider.get_tracer('peridotmast')


def _otlp_exporter(address: str) -> ty.Any:
    from opentelemetry.exporter.otlp.proto.http import trace_exporter

    endpoint = address.rstrip('/') + '/v1/traces'
    return trace_exporter.OTLPSpanExporter(endpoint=endpoint)


def _file_exporter(path: str) -> ty.Any:
    """Return an exporter that writes each span as one line of JSON."""
    from opentelemetry.sdk.trace import export

    return export.ConsoleSpanExporter(
        out=open(path, 'a', encoding='utf-8'),
        formatter=lambda span: span.to_json(indent=None) + '\n',
    )
