package transport_test

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"pistachiomount.example/pistachiomount/apipb"
	"pistachiomount.example/pistachiomount/transport"
)

// Guards against a trace context that is not propagated from one daemon to the other.
func TestTracePropagatesAcrossCall(t *testing.T) {
	is := is.New(t)
	spans := tracetest.NewSpanRecorder()
	tracer := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(spans)).Tracer("test")
	security := &transport.Security{Insecure: true}
	mux := drpcmux.New()
	is.NoErr(apipb.DRPCRegisterControl(mux, &controlService{}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		handlers := map[transport.Role]drpc.Handler{transport.RoleControl: transport.NewTracedHandler(mux, tracer)}
		_ = transport.NewServer(security, handlers, discardLogger()).Serve(ctx, listener)
	}()
	client, err := transport.NewClient(listener.Addr().String(), security)
	is.NoErr(err)

	callCtx, root := tracer.Start(context.Background(), "claim")
	reply, err := apipb.NewDRPCControlClient(transport.NewTracedConn(client, tracer)).Watch(callCtx, &apipb.WatchRequest{})
	is.NoErr(err)
	is.Equal(reply.Revision, uint64(7))
	_, err = apipb.NewDRPCControlClient(client).Watch(context.Background(), &apipb.WatchRequest{}) // carries no trace context
	is.NoErr(err)
	root.End()
	is.NoErr(client.Close())
	cancel()
	<-done

	spansByKind := map[trace.SpanKind]sdktrace.ReadOnlySpan{}
	otherTraces := 0
	for _, s := range spans.Ended() {
		if s.SpanContext().TraceID() != root.SpanContext().TraceID() {
			otherTraces++
			continue
		}
		spansByKind[s.SpanKind()] = s
	}
	clientSpan, serverSpan := spansByKind[trace.SpanKindClient], spansByKind[trace.SpanKindServer]
	is.True(clientSpan != nil)
	is.True(serverSpan != nil)
	is.Equal(clientSpan.Parent().SpanID(), root.SpanContext().SpanID())
	is.Equal(serverSpan.Parent().SpanID(), clientSpan.SpanContext().SpanID())
	is.Equal(otherTraces, 0)
}

// Guards against overhead of tracing while it is off.
func TestUntracedCallsAreNotWrapped(t *testing.T) {
	is := is.New(t)
	client, err := transport.NewClient("127.0.0.1:1", &transport.Security{Insecure: true})
	is.NoErr(err)
	is.True(transport.NewTracedConn(client, nil) == drpc.Conn(client))
	mux := drpcmux.New()
	is.True(transport.NewTracedHandler(mux, nil) == drpc.Handler(mux))
}
