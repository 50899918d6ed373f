package telemetry

import (
	"context"

	"github.com/sirupsen/logrus"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// loggingExporter logs failed exports. OpenTelemetry would pass them to its
// global error handler, which writes lines that are not JSON.
type loggingExporter struct {
	sdktrace.SpanExporter
	logger logrus.FieldLogger
}

// ExportSpans exports the spans and logs an error instead of returning it.
func (e loggingExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	if err := e.SpanExporter.ExportSpans(ctx, spans); err != nil {
		e.logger.WithError(err).WithField("spans", len(spans)).Error("spans not exported")
	}
	return nil
}
