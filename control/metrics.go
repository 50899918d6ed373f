package control

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"pistachiomount.example/pistachiomount/apipb"
)

// Names of metric attributes.
const (
	attributeEnvironment = "environment"
	attributeResult      = "result"
)

// daemonMetrics holds the counters and histograms of a control daemon. README.md
// lists the metrics.
type daemonMetrics struct {
	documents metric.Int64Counter
	renewals  metric.Int64Counter
	snapshots metric.Int64Counter
	syncs     metric.Float64Histogram
}

// newDaemonMetrics creates the instruments. Without a meter nothing is recorded.
func newDaemonMetrics(meter metric.Meter) (*daemonMetrics, error) {
	if meter == nil {
		meter = noop.Meter{}
	}
	o := &daemonMetrics{}
	var err error
	for _, c := range []struct {
		counter           *metric.Int64Counter
		name, description string
	}{
		{&o.documents, "pm_control_documents", "Documents submitted to this daemon, by environment and result."},
		{&o.renewals, "pm_control_renewals", "Answered renewals of grants, by environment and result."},
		{&o.snapshots, "pm_control_snapshots", "Snapshots written or received."},
	} {
		if *c.counter, err = meter.Int64Counter(c.name, metric.WithDescription(c.description)); err != nil {
			return nil, errors.Trace(err)
		}
	}
	o.syncs, err = meter.Float64Histogram("pm_control_sync_duration", metric.WithUnit("s"),
		metric.WithDescription("Time to make log entries durable."),
		metric.WithExplicitBucketBoundaries(0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2))
	return o, errors.Trace(err)
}

func (o *daemonMetrics) recordSubmission(env apipb.Environment, result string) {
	o.documents.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String(attributeEnvironment, environmentNames[env]), attribute.String(attributeResult, result)))
}

func (o *daemonMetrics) recordRenewal(env apipb.Environment, reply *apipb.RenewReply, err error) {
	result := "renewed"
	switch {
	case err != nil:
		result = "failed"
	case reply.NotLeader:
		result = "not_leader"
	case reply.StaleIncarnation || reply.StaleSequence:
		result = "stale"
	}
	o.renewals.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String(attributeEnvironment, environmentNames[env]), attribute.String(attributeResult, result)))
}

func (o *daemonMetrics) recordSync(d time.Duration) {
	o.syncs.Record(context.Background(), d.Seconds())
}

func (o *daemonMetrics) recordSnapshot() { o.snapshots.Add(context.Background(), 1) }
