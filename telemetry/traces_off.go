package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/embedded"
	"go.opentelemetry.io/otel/trace/noop"
)

// disabledProvider serves while traces are off. The no-op provider of OpenTelemetry
// allocates a context for each span; this one returns the context unchanged,
// which also lets a received traceparent pass through to the next hop.
type disabledProvider struct{ embedded.TracerProvider }

func (disabledProvider) Tracer(string, ...trace.TracerOption) trace.Tracer {
	return disabledTracer{}
}

type disabledTracer struct{ embedded.Tracer }

func (disabledTracer) Start(ctx context.Context, _ string, _ ...trace.SpanStartOption) (context.Context, trace.Span) {
	return ctx, noop.Span{}
}
