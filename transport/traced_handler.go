package transport

import (
	"context"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcmetadata"
)

// TracedHandler records a span for each call that names its caller's span. Other
// calls, such as the many messages of consensus, are not recorded.
type TracedHandler struct {
	handler drpc.Handler
	tracer  trace.Tracer
}

// NewTracedHandler wraps a handler. Without a tracer it returns the handler itself.
func NewTracedHandler(handler drpc.Handler, tracer trace.Tracer) drpc.Handler {
	if tracer == nil {
		return handler
	}
	return &TracedHandler{handler: handler, tracer: tracer}
}

// HandleRPC serves one call.
func (h *TracedHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	metadata, ok := drpcmetadata.Get(stream.Context())
	if !ok {
		return h.handler.HandleRPC(stream, rpc)
	}
	ctx := propagation.TraceContext{}.Extract(stream.Context(), propagation.MapCarrier(metadata))
	ctx, span := h.tracer.Start(ctx, rpc, trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	err := h.handler.HandleRPC(tracedStream{stream, ctx}, rpc)
	if err != nil {
		span.SetStatus(codes.Error, "the call failed")
	}
	return errors.Trace(err)
}

// tracedStream is a stream whose context carries the span.
type tracedStream struct {
	drpc.Stream
	ctx context.Context
}

// Context returns the context of the call.
func (s tracedStream) Context() context.Context { return s.ctx }
