package telemetry

import (
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/propagation"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/trace"
)

// ShutdownTimeout bounds the flush of buffered spans, so that an unresponsive
// collector cannot delay a graceful shutdown.
const ShutdownTimeout = 2 * time.Second

// Telemetry owns the logger and the providers of one process or test instance.
type Telemetry struct {
	Logger         *logrus.Entry
	MeterProvider  metric.MeterProvider
	TracerProvider trace.TracerProvider
	// Propagator carries the trace context in W3C traceparent headers.
	Propagator propagation.TextMapPropagator

	metrics   http.Handler
	shutdowns []func(context.Context) error
}

// Outputs holds the destinations of logs and of traces with the exporter stdout. A nil
// writer selects the standard error stream for logs and standard output for traces.
type Outputs struct {
	Logs, Traces io.Writer
}

// New creates the logger and the providers of a process.
func New(s Settings, identity Identity, outputs Outputs) (*Telemetry, error) {
	logger, err := NewLogger(writerOrDefault(outputs.Logs, os.Stderr), s.LogLevel, identity)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &Telemetry{Logger: logger, Propagator: propagation.TraceContext{}}
	processResource := resource.NewSchemaless(
		attribute.String("service.name", identity.Service),
		attribute.String("service.instance.id", identity.VM),
	)
	if err := t.addMetrics(processResource); err != nil {
		return nil, errors.Trace(err)
	}
	if err := t.addTraces(s, processResource, writerOrDefault(outputs.Traces, os.Stdout)); err != nil {
		return nil, errors.Trace(err)
	}
	return t, nil
}

// MetricsHandler returns a handler that serves the metrics in the Prometheus text format.
func (t *Telemetry) MetricsHandler() http.Handler {
	return t.metrics
}

// Shutdown flushes and stops the providers within ShutdownTimeout. It returns the
// first error.
func (t *Telemetry) Shutdown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ShutdownTimeout)
	defer cancel()
	var first error
	for _, shutdown := range t.shutdowns {
		if err := shutdown(ctx); err != nil && first == nil {
			first = errors.Annotate(err, "shut down telemetry")
		}
	}
	return first
}

func (t *Telemetry) addMetrics(processResource *resource.Resource) error {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo())
	if err != nil {
		return errors.WithType(errors.Annotate(err, "create metrics exporter"), ErrSettings)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader), sdkmetric.WithResource(processResource))
	t.MeterProvider = provider
	t.metrics = promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
	t.shutdowns = append(t.shutdowns, provider.Shutdown)
	return nil
}

func writerOrDefault(w, fallback io.Writer) io.Writer {
	if w == nil {
		return fallback
	}
	return w
}
