package telemetry

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// addTraces sets the tracer provider. With traces off the provider records and
// allocates nothing and starts no goroutine.
func (t *Telemetry) addTraces(s Settings, processResource *resource.Resource, w io.Writer) error {
	if s.Traces == TracesOff {
		t.TracerProvider = disabledProvider{}
		return nil
	}
	spanExporter, err := newSpanExporter(s, w)
	if err != nil {
		return errors.WithType(errors.Annotate(err, "create trace exporter"), ErrSettings)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithResource(processResource),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.TracesRatio))),
		sdktrace.WithBatcher(loggingExporter{spanExporter, t.Logger}),
	)
	t.TracerProvider = provider
	t.shutdowns = append(t.shutdowns, provider.Shutdown)
	return nil
}

func newSpanExporter(s Settings, w io.Writer) (sdktrace.SpanExporter, error) {
	switch s.Traces {
	case TracesStdout:
		return stdouttrace.New(stdouttrace.WithWriter(w))
	case TracesOTLP:
		return otlptracehttp.New(context.Background(),
			otlptracehttp.WithEndpoint(s.TracesAddress.String()),
			otlptracehttp.WithInsecure(),
			otlptracehttp.WithProxy(noProxy),
		)
	default:
		return nil, errors.NotSupportedf("trace exporter %q", s.Traces)
	}
}

// noProxy makes the exporter ignore HTTP_PROXY and related environment variables.
func noProxy(*http.Request) (*url.URL, error) {
	return nil, nil
}
