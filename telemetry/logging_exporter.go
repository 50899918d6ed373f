package telemetry

import (
	"context"

	"github.com/sirupsen/logrus"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// loggingExporter logs failed exports. Without it OpenTelemetry passes them to its
// global error handler, which writes lines that are not JSON.
type loggingExporter struct {
	sdktrace.SpanExporter
	logger logrus.FieldLogger
}

// ExportSpans exports the spans. It logs an error instead of returning it.
func (e loggingExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	if err := e.SpanExporter.ExportSpans(ctx, spans); err != nil {
		e.logger.WithError(err).WithField("spans", len(spans)).Error("failed to export spans")
	}
	return nil
}
