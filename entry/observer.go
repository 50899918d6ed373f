package entry

import (
	"context"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"pistachiomount.example/pistachiomount/forward"
)

// requestObserver records metrics of requests.
type requestObserver struct {
	requests metric.Int64Counter
	attempts metric.Int64Counter
	latency  metric.Float64Histogram
}

func newObserver(meter metric.Meter, d *Daemon) (*requestObserver, error) {
	o := &requestObserver{}
	var err error
	if o.requests, err = meter.Int64Counter("pm_requests", metric.WithDescription("Requests by service, customer, status and reason.")); err != nil {
		return nil, errors.Trace(err)
	}
	if o.attempts, err = meter.Int64Counter("pm_attempts", metric.WithDescription("Attempts at upstreams, retries and hedges included.")); err != nil {
		return nil, errors.Trace(err)
	}
	if o.latency, err = meter.Float64Histogram("pm_request_duration", metric.WithUnit("s"),
		metric.WithDescription("Time from the arrival of a request to the end of its response."),
		metric.WithExplicitBucketBoundaries(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30)); err != nil {
		return nil, errors.Trace(err)
	}
	_, err = meter.Float64ObservableGauge("pm_view_age", metric.WithUnit("s"),
		metric.WithDescription("Time since the configuration was last confirmed; -1 before the first confirmation."),
		metric.WithFloat64Callback(func(_ context.Context, obs metric.Float64Observer) error {
			age, ok := d.syncer.load().age(d.cfg.Clock.Now())
			if !ok {
				obs.Observe(-1)
				return nil
			}
			obs.Observe(age.Seconds())
			return nil
		}))
	return o, errors.Trace(err)
}

// RequestEnded records a request that has ended.
func (o *requestObserver) RequestEnded(e forward.RequestSummary) {
	ctx := context.Background()
	attributes := metric.WithAttributes(
		attribute.String("service", e.Service),
		attribute.String("customer", e.Customer),
		attribute.Int("status", e.Status),
		attribute.String("reason", string(e.Reason)),
	)
	o.requests.Add(ctx, 1, attributes)
	service := metric.WithAttributes(attribute.String("service", e.Service))
	o.attempts.Add(ctx, int64(e.Attempts), service)
	o.latency.Record(ctx, e.Elapsed.Seconds(), service)
}
