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

// TracedHandler records a server span for each call that carries a trace context.
// Other calls, such as the frequent consensus messages, are not recorded.
type TracedHandler struct {
	handler drpc.Handler
	tracer  trace.Tracer
}

// NewTracedHandler wraps a handler. If the tracer is nil, it returns the handler itself.
func NewTracedHandler(handler drpc.Handler, tracer trace.Tracer) drpc.Handler {
	if tracer == nil {
		return handler
	}
	return &TracedHandler{handler: handler, tracer: tracer}
}

// HandleRPC serves one call, within a server span if the call carries a trace context.
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

// Context returns the context that carries the span.
func (s tracedStream) Context() context.Context { return s.ctx }
