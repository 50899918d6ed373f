package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"pistachiomount.example/pistachiomount/gateway/placement"
)

// Reasons of rejections by upstreams, as labels of metrics.
const (
	rejectedFull      = "full" // or without a report of its load
	rejectedFreeSlots = "free_slots"
)

// countRejection counts an attempt that an upstream rejected without running it.
func (m *requestMetrics) countRejection(service string, freeSlots bool) {
	reason := rejectedFull
	if freeSlots {
		reason = rejectedFreeSlots
	}
	m.rejections.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("reason", reason)))
}

// logRejecting logs which upstreams began or ceased to reject requests although they have free slots.
func (g *Gateway) logRejecting() {
	for name, s := range *g.services.Load() {
		var changes []placement.RejectionChange
		s.permits.withTable(func(now time.Time, table *placement.Table) { changes = table.RejectionChanges(now) })
		for _, c := range changes {
			if g.requests.allow(false) {
				g.logRejectionChange(name, c)
			}
		}
	}
}

func (g *Gateway) logRejectionChange(service string, c placement.RejectionChange) {
	entry := g.cfg.Log.WithFields(logrus.Fields{"upstream": c.Upstream, "service": service})
	if c.Rate > 0 {
		entry.WithField("rate", c.Rate).Info("upstream rejects requests although it has free slots")
		return
	}
	entry.WithField("lasted_ms", c.Duration.Milliseconds()).Info("upstream accepts requests again")
}
