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

// TracedConn records a client span for each call and propagates its context in the
// metadata of the call.
type TracedConn struct {
	drpc.Conn
	tracer trace.Tracer
}

// NewTracedConn wraps a connection. If the tracer is nil, it returns the connection
// itself.
func NewTracedConn(conn drpc.Conn, tracer trace.Tracer) drpc.Conn {
	if tracer == nil {
		return conn
	}
	return &TracedConn{Conn: conn, tracer: tracer}
}

// Invoke makes one call within a client span.
func (c *TracedConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	ctx, span := c.tracer.Start(ctx, rpc, trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	if span.SpanContext().IsValid() {
		carrier := propagation.MapCarrier{}
		propagation.TraceContext{}.Inject(ctx, carrier)
		ctx = drpcmetadata.AddPairs(ctx, carrier)
	}
	err := c.Conn.Invoke(ctx, rpc, enc, in, out)
	if err != nil {
		span.SetStatus(codes.Error, "the call failed")
	}
	return errors.Trace(err)
}
